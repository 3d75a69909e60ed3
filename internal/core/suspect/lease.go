package suspect

import (
	"slices"
	"time"
)

// Lease is the exclusive claim of a suspect on an endpoint, as peers see it.
type Lease struct {
	Content  ContentHash `json:"content"`
	Endpoint uint64      `json:"endpoint"` // hash of the identifier
	Started  bool        `json:"started,omitempty"`
}

// claim is a lease held by this instance.
type claim struct {
	endpoint  uint64
	claimedAt time.Time
	started   bool
}

// peerLeases holds the leases in a peer's latest report. They are valid until the next report or their expiry.
type peerLeases struct {
	leases    []Lease
	expiresAt time.Time
}

// HasLease reports whether a suspect of this instance or of a peer has a lease on the endpoint.
func (r *Registry) HasLease(now time.Time, endpoint string) bool {
	e := hashEndpoint(endpoint)
	for _, c := range r.claims {
		if c.endpoint == e {
			return true
		}
	}
	return r.anyPeerLease(now, func(_ string, l Lease) bool { return l.Endpoint == e })
}

// anyPeerLease reports whether a valid lease of any peer matches.
func (r *Registry) anyPeerLease(now time.Time, match func(peer string, l Lease) bool) bool {
	for n, p := range r.peerLeases {
		if now.Before(p.expiresAt) && slices.ContainsFunc(p.leases, func(l Lease) bool { return match(n, l) }) {
			return true
		}
	}
	return false
}

// AcquireLease claims an endpoint for a suspect, unless the content already has a claim or another suspect has a lease
// on the endpoint. Before sending the request, the caller must send the result of Report to its peers, wait for
// Settings.ClaimDelay and call ConfirmLease. If AcquireLease returns false, the caller may try again until the
// request's deadline.
func (r *Registry) AcquireLease(now time.Time, c ContentHash, endpoint string) bool {
	if _, busy := r.claims[c]; busy || r.Verdict(now, c) == Refuse || r.HasLease(now, endpoint) ||
		r.anyPeerLease(now, func(_ string, l Lease) bool { return l.Content == c }) {
		return false
	}
	r.claims[c] = claim{endpoint: hashEndpoint(endpoint), claimedAt: now}
	return true
}

// ConfirmLease reports whether a claimed suspect may start. Two instances may claim the same endpoint, or endpoints for the
// same content, before they hear of each other. Then the suspect that has started keeps its claim, or else the one of the
// instance with the lower name. If ConfirmLease returns false, the claim is dropped and the caller must ask for the
// verdict on the content again.
func (r *Registry) ConfirmLease(now time.Time, c ContentHash) bool {
	own, ok := r.claims[c]
	if !ok {
		return false
	}
	conflict := r.anyPeerLease(now, func(peer string, l Lease) bool {
		return (l.Content == c || l.Endpoint == own.endpoint) && (l.Started || peer < r.settings.Instance)
	})
	if conflict || now.Sub(own.claimedAt) < r.settings.ClaimDelay || r.Verdict(now, c) == Refuse {
		delete(r.claims, c)
		return false
	}
	own.started = true
	r.claims[c] = own
	return true
}

// ReleaseLease drops the claim of a suspect. A suspect that finished without crashing its endpoint is cleared. The argument
// finished is false if it never started, was cancelled or failed. If the endpoint died, RecordDeath must be called before
// ReleaseLease.
func (r *Registry) ReleaseLease(now time.Time, c ContentHash, finished bool) {
	if _, ok := r.claims[c]; !ok {
		return
	}
	delete(r.claims, c)
	if m := r.marks[c]; m != nil && finished {
		m.ClearedAt = now
		r.snapshot = nil
	}
}
