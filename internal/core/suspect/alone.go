package suspect

import (
	"slices"
	"time"
)

// Lease is a suspect's claim on an endpoint.
type Lease struct {
	Content  Content `json:"content"`
	Endpoint uint64  `json:"endpoint"` // hash of the identifier
	Started  bool    `json:"started,omitempty"`
}

// hold is a lease of this instance.
type hold struct {
	endpoint uint64
	since    time.Time
	started  bool
}

// peerHold is what a peer said it claims, until it says otherwise or the time is over.
type peerHold struct {
	leases []Lease
	until  time.Time
}

// Occupied reports whether a suspect has a claim on an endpoint, here or at a peer.
func (r *Register) Occupied(now time.Time, endpoint string) bool {
	e := hashEndpoint(endpoint)
	for _, h := range r.running {
		if h.endpoint == e {
			return true
		}
	}
	return r.leased(now, func(_ string, l Lease) bool { return l.Endpoint == e })
}

// leased reports whether a peer's lease matches.
func (r *Register) leased(now time.Time, match func(peer string, l Lease) bool) bool {
	for n, h := range r.leases {
		if now.Before(h.until) && slices.ContainsFunc(h.leases, func(l Lease) bool { return match(n, l) }) {
			return true
		}
	}
	return false
}

// Acquire claims an endpoint for a suspect, unless the same content has a claim already or another suspect has one
// there. Tell the peers (Digest) at once, wait Settings.Settle and call Confirm before sending. When the result is
// false the caller waits, within its deadline.
func (r *Register) Acquire(now time.Time, c Content, endpoint string) bool {
	if _, busy := r.running[c]; busy || r.Judge(now, c) == Refuse || r.Occupied(now, endpoint) ||
		r.leased(now, func(_ string, l Lease) bool { return l.Content == c }) {
		return false
	}
	r.running[c] = hold{endpoint: hashEndpoint(endpoint), since: now}
	return true
}

// Confirm reports whether a claimed suspect may start now. Two instances can claim one endpoint, or endpoints for one
// content, before they hear of each other; then the one that started, else the one with the lower name, keeps its
// claim. When the result is false the claim is gone and the caller judges the content again.
func (r *Register) Confirm(now time.Time, c Content) bool {
	h, ok := r.running[c]
	if !ok {
		return false
	}
	lost := r.leased(now, func(peer string, l Lease) bool {
		return (l.Content == c || l.Endpoint == h.endpoint) && (l.Started || peer < r.settings.Instance)
	})
	if lost || now.Sub(h.since) < r.settings.Settle || r.Judge(now, c) == Refuse {
		delete(r.running, c)
		return false
	}
	h.started = true
	r.running[c] = h
	return true
}

// Release ends a suspect's claim. One that finished alone is cleared: it did not crash its endpoint. One that never
// started, was cancelled or failed has not finished. Call Death before Release when the endpoint died.
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
