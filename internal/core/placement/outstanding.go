package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// othersFor is how long what other instances told of their requests counts; they tell it several times a second.
const othersFor = time.Second

// Outstanding is the work that is under way at an endpoint.
type Outstanding struct {
	Requests int
	Prefill  float64 // milliseconds, of requests that have not begun to answer
}

// Loads holds the work under way by the key of the endpoint; endpoints without any are left out.
type Loads map[uint32]Outstanding

// Key returns the key of an endpoint among loads.
func Key(endpoint string) uint32 { return uint32(xxhash.Sum64String(endpoint)) }

// Own returns what this instance has under way.
func (t *Table) Own() Loads {
	out := Loads{}
	for _, s := range t.states {
		if s.own > 0 {
			out[uint32(s.hash)] = Outstanding{Requests: s.own, Prefill: s.pending}
		}
	}
	return out
}

// SetOthers records what the other instances had under way at a time.
func (t *Table) SetOthers(at time.Time, l Loads) {
	for _, s := range t.states {
		s.others, s.heard = l[uint32(s.hash)], at
	}
}
