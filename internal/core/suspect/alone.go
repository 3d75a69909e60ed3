package suspect

import (
	"slices"
	"time"
)

// Lease is a suspect that runs on an endpoint.
type Lease struct {
	Content  Content `json:"content"`
	Endpoint uint64  `json:"endpoint"` // hash of the identifier
}

// peerHold is what a peer said it runs, until it says otherwise or the time is over.
type peerHold struct {
	leases []Lease
	until  time.Time
}

// Occupied reports whether a suspect runs on an endpoint, here or at a peer.
func (r *Register) Occupied(now time.Time, endpoint string) bool {
	e := hashEndpoint(endpoint)
	return r.leased(now, func(l Lease) bool { return l.Endpoint == e })
}

// leased reports whether a suspect that matches runs here or at a peer.
func (r *Register) leased(now time.Time, match func(Lease) bool) bool {
	for c, e := range r.running {
		if match(Lease{c, e}) {
			return true
		}
	}
	for _, h := range r.leases {
		if now.Before(h.until) && slices.ContainsFunc(h.leases, match) {
			return true
		}
	}
	return false
}

// Acquire lets a suspect start on an endpoint, unless the same content runs already or another suspect runs there.
// The caller waits, within its deadline, when the result is false.
func (r *Register) Acquire(now time.Time, c Content, endpoint string) bool {
	e := hashEndpoint(endpoint)
	if r.Judge(now, c) == Refuse || r.leased(now, func(l Lease) bool { return l.Content == c || l.Endpoint == e }) {
		return false
	}
	r.running[c] = e
	return true
}

// Release ends a suspect's run. One that finished alone is cleared: it did not crash its endpoint. Call Death
// before Release when the endpoint died.
func (r *Register) Release(now time.Time, c Content, finished bool) {
	if _, ok := r.running[c]; !ok {
		return
	}
	delete(r.running, c)
	if m := r.marks[c]; m != nil && finished {
		m.Cleared = now
		r.view = nil
	}
}
