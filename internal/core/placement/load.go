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
	t.loadsAt = at
	for _, s := range t.states {
		s.remote, s.remoteAt = l[uint32(s.hash)], at
	}
}

// loadsFresh reports whether the loads of the other instances are recent enough to use. Those of an endpoint that was added later
// are unknown until the next report, see state.remoteFresh.
func (t *Table) loadsFresh(now time.Time) bool {
	return !t.loadsAt.IsZero() && now.Sub(t.loadsAt) < remoteLoadTTL
}

// Pauses holds for how much longer endpoints want no requests, by EndpointKey.
type Pauses map[uint32]time.Duration

// maxSharedPause limits for how long what other instances have heard from an endpoint counts. They repeat it in time while it
// holds.
const maxSharedPause = time.Second

// LocalPauses returns what endpoints have asked of this instance.
func (t *Table) LocalPauses(now time.Time) Pauses {
	out := Pauses{}
	for _, s := range t.states {
		switch {
		case s.leaving:
			out[uint32(s.hash)] = maxSharedPause
		case !s.acceptsWork(now):
			out[uint32(s.hash)] = min(s.pausedUntil.Sub(now), maxSharedPause)
		}
	}
	return out
}

// SetRemotePauses records what endpoints have asked of other instances. Such endpoints get requests only if no other can take
// them.
func (t *Table) SetRemotePauses(now time.Time, l Pauses) {
	for _, s := range t.states {
		s.remotePausedUntil = time.Time{}
		if d, ok := l[uint32(s.hash)]; ok {
			s.remotePausedUntil = now.Add(min(d, maxSharedPause))
		}
	}
}
