package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// remoteLoadTTL bounds the age of the loads that other instances report; they report several times a second.
const remoteLoadTTL = time.Second

// EndpointLoad is the work in progress at an endpoint.
type EndpointLoad struct {
	Requests  int
	PrefillMS float64 // milliseconds of prefill for the requests without a first byte
}

// Loads holds the work in progress by endpoint key; it has no entries for idle endpoints.
type Loads map[uint32]EndpointLoad

// EndpointKey returns the key of an endpoint in Loads.
func EndpointKey(endpoint string) uint32 { return uint32(xxhash.Sum64String(endpoint)) }

// LocalLoads returns the requests that this instance has in progress.
func (t *Table) LocalLoads() Loads {
	out := Loads{}
	for _, s := range t.states {
		if s.localRequests > 0 {
			out[uint32(s.hash)] = EndpointLoad{Requests: s.localRequests, PrefillMS: s.localPrefillMS}
		}
	}
	return out
}

// SetRemoteLoads records the work that the other instances had in progress at a time.
func (t *Table) SetRemoteLoads(at time.Time, l Loads) {
	for _, s := range t.states {
		s.remote, s.remoteAt = l[uint32(s.hash)], at
	}
}
