package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// tombstoneTTL is the time for which a removed entry is kept to reject outdated registrations, which arrive within seconds.
const tombstoneTTL = 5 * time.Minute

// LapseGracePeriod is the time after an outage of the store within which entries that expired during it are restored, and after
// its return from an older copy within which lost entries are written again. The platform specifies about two seconds.
const LapseGracePeriod = 2 * time.Second

// Event is an update from the registry or its store; at most one field is set besides StoreReturned. Without one, Apply only
// applies timeouts.
type Event struct {
	Changes       []routing.EndpointChange // changes in their order
	Snapshot      []routing.EndpointChange // snapshot of all entries; entries that it lacks have been removed
	StoreReturned bool                     // Snapshot is the first one after the store came back from an older copy
	StoreFailed   bool                     // a call to the store failed
	StoreReached  bool                     // a call to the store succeeded
}

// Transition is a change of an endpoint's state.
type Transition struct {
	ID       string
	Endpoint routing.Endpoint
	Reason   Reason
}

// Reason is the cause of a change of an endpoint's state.
type Reason string

// Reasons for changes.
const (
	Joined   Reason = "joined"
	Leaving  Reason = "leaving"  // the endpoint announced its stop
	Removed  Reason = "removed"  // the entry was removed, or did not return within LapseGracePeriod
	Lapsed   Reason = "lapsed"   // the entry was removed just after an outage or a return of the store; the endpoint gets requests for LapseGracePeriod
	Replaced Reason = "replaced" // another process, address, version or service under the same identifier
	Returned Reason = "returned" // the entry was restored after a lapse
)

// entry is the last registration of an endpoint.
type entry struct {
	endpoint  routing.Endpoint
	lapsesAt  time.Time // end of the grace period of a lapsed entry, or zero
	removedAt time.Time // time of the removal, or zero; a removed entry is kept to reject outdated registrations
	// left is set if the entry had been removed when the store returned from a copy. The copy may hold it still.
	left bool
}

// outdates reports whether a registration is older than the entry, or the same one of an endpoint that has left. Any
// registration may be written again, but a snapshot may hold what the store's copy held.
func (o *entry) outdates(n routing.Endpoint, inSnapshot bool) bool {
	switch e := o.endpoint; {
	case n.StartedAtMS != e.StartedAtMS:
		return n.StartedAtMS < e.StartedAtMS
	case n.Sequence != e.Sequence:
		return n.Sequence < e.Sequence
	default:
		return e.Leaving && !n.Leaving || o.left && inSnapshot
	}
}

// Roster holds the registered endpoints.
type Roster struct {
	entries   map[string]*entry
	storeDown bool      // the last call to the store failed
	storeUpAt time.Time // end of the last outage, or time of the last return
}

// New returns an empty roster.
func New() *Roster { return &Roster{entries: map[string]*entry{}} }

// Apply applies an event and the timeouts, and returns the resulting changes.
func (r *Roster) Apply(now time.Time, e Event) []Transition {
	var out []Transition
	switch {
	case e.StoreFailed:
		r.storeDown = true
	case e.StoreReached:
		if r.storeDown {
			r.storeDown, r.storeUpAt = false, now
		}
	case e.Changes != nil:
		for _, c := range e.Changes {
			out = r.applyChange(now, c, false, out)
		}
	case e.StoreReturned:
		out = r.applyReturn(now, e.Snapshot)
	case e.Snapshot != nil:
		out = r.applySnapshot(now, e.Snapshot, out)
	}
	return r.expire(now, out)
}

// applyReturn applies the first snapshot after a return of the store. A lapsed entry that the copy holds is registered again,
// and others that the copy lacks may be written again within a new grace period.
func (r *Roster) applyReturn(now time.Time, l []routing.EndpointChange) []Transition {
	r.storeDown, r.storeUpAt = false, now
	for _, o := range r.entries {
		o.left = !o.removedAt.IsZero()
		if !o.lapsesAt.IsZero() {
			o.lapsesAt = now.Add(LapseGracePeriod)
		}
	}
	out := r.applySnapshot(now, l, nil)
	for _, c := range l {
		o := r.entries[c.ID]
		if c.Endpoint == nil || o.lapsesAt.IsZero() || c.Endpoint.StartedAtMS != o.endpoint.StartedAtMS {
			continue
		}
		o.lapsesAt = time.Time{}
		out = append(out, Transition{c.ID, o.endpoint, Returned})
	}
	return out
}

// applySnapshot applies a snapshot.
func (r *Roster) applySnapshot(now time.Time, l []routing.EndpointChange, out []Transition) []Transition {
	seen := make(map[string]bool, len(l))
	for _, c := range l {
		seen[c.ID] = true
		out = r.applyChange(now, c, true, out)
	}
	for _, id := range r.ids() {
		if !seen[id] {
			out = r.remove(now, id, out)
		}
	}
	return out
}

// applyChange applies a registration or removal.
func (r *Roster) applyChange(now time.Time, c routing.EndpointChange, inSnapshot bool, out []Transition) []Transition {
	if c.Endpoint == nil {
		return r.remove(now, c.ID, out)
	}
	n := *c.Endpoint
	o := r.entries[c.ID]
	switch {
	case o == nil:
		r.entries[c.ID] = &entry{endpoint: n}
		return append(out, Transition{c.ID, n, joinReason(n)})
	case o.outdates(n, inSnapshot):
		return out
	}
	reason := Reason("")
	switch {
	case !o.removedAt.IsZero():
		reason = joinReason(n)
	case n.StartedAtMS != o.endpoint.StartedAtMS || n.Address != o.endpoint.Address || n.Version != o.endpoint.Version || n.Service != o.endpoint.Service:
		reason = Replaced
	case n.Leaving && !o.endpoint.Leaving:
		reason = Leaving
	case !o.lapsesAt.IsZero():
		reason = Returned
	}
	*o = entry{endpoint: n}
	if reason == "" {
		return out
	}
	return append(out, Transition{c.ID, n, reason})
}

// joinReason returns the reason for the first registration of an endpoint.
func joinReason(e routing.Endpoint) Reason {
	if e.Leaving {
		return Leaving
	}
	return Joined
}

// remove removes an endpoint, after a grace period if its entry may have expired because of an outage.
func (r *Roster) remove(now time.Time, id string, out []Transition) []Transition {
	o := r.entries[id]
	if o == nil || !o.removedAt.IsZero() || !o.lapsesAt.IsZero() {
		return out
	}
	if !o.endpoint.Leaving && !r.storeUpAt.IsZero() && now.Before(r.storeUpAt.Add(LapseGracePeriod)) {
		o.lapsesAt = r.storeUpAt.Add(LapseGracePeriod)
		return append(out, Transition{id, o.endpoint, Lapsed})
	}
	o.removedAt = now
	return append(out, Transition{id, o.endpoint, Removed})
}

// expire removes lapsed entries after their grace period and deletes old tombstones.
func (r *Roster) expire(now time.Time, out []Transition) []Transition {
	for _, id := range r.ids() {
		if o := r.entries[id]; !o.lapsesAt.IsZero() && !now.Before(o.lapsesAt) {
			o.lapsesAt, o.removedAt = time.Time{}, now
			out = append(out, Transition{id, o.endpoint, Removed})
		}
	}
	for id, o := range r.entries {
		if !o.removedAt.IsZero() && now.Sub(o.removedAt) >= tombstoneTTL {
			delete(r.entries, id)
		}
	}
	return out
}

// ids returns the identifiers of the endpoints that have not been removed, in order.
func (r *Roster) ids() []string {
	out := make([]string, 0, len(r.entries))
	for id, o := range r.entries {
		if o.removedAt.IsZero() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// AvailableEndpoints returns the endpoints that may get new requests by service, ordered by identifier.
func (r *Roster) AvailableEndpoints() map[string][]routing.Endpoint {
	out := map[string][]routing.Endpoint{}
	for _, o := range r.entries {
		if o.removedAt.IsZero() && !o.endpoint.Leaving {
			out[o.endpoint.Service] = append(out[o.endpoint.Service], o.endpoint)
		}
	}
	for _, l := range out {
		slices.SortFunc(l, func(a, b routing.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}
