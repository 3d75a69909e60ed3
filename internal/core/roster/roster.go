package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
)

// goneFor is how long a removed entry is remembered; registrations that were overtaken arrive within seconds.
const goneFor = 5 * time.Minute

// LapseGrace is how long an entry that expired during an outage of the store may take to come back after it; the
// platform states about two seconds.
const LapseGrace = 2 * time.Second

// Event is what an instance learns of the registry; one field is set.
type Event struct {
	Change *directory.EndpointChange
	Full   []directory.EndpointChange // all entries as of one read; entries that it lacks are gone
	Lost   bool                       // a call to the store failed
	Reach  bool                       // a call to the store succeeded
}

// Action tells what changed.
type Action struct {
	ID       string
	Endpoint directory.Endpoint
	Reason   Reason
}

// Reason says why an endpoint's state changed.
type Reason string

// Reasons.
const (
	Joined   Reason = "joined"
	Leaving  Reason = "leaving"  // it announced its stop
	Removed  Reason = "removed"  // its entry is gone
	Lapsed   Reason = "lapsed"   // its entry went with an outage of the store; it still gets work for LapseGrace
	Replaced Reason = "replaced" // another start under the same identifier
	Returned Reason = "returned" // its entry is back after a lapse
)

type entry struct {
	endpoint directory.Endpoint
	lapse    time.Time // when it is gone unless the entry comes back; zero if the entry stands
	gone     time.Time // since when its entry is kept only to recognise older registrations; zero if it stands
}

// Roster is the set of known endpoints.
type Roster struct {
	entries map[string]*entry
	lost    bool      // the last call to the store failed
	back    time.Time // end of the last outage
}

// New returns an empty roster.
func New() *Roster { return &Roster{entries: map[string]*entry{}} }

// Step applies an event and returns what changed.
func (r *Roster) Step(now time.Time, e Event) []Action {
	var out []Action
	switch {
	case e.Lost:
		r.lost = true
	case e.Reach:
		if r.lost {
			r.lost, r.back = false, now
		}
	case e.Change != nil:
		out = r.change(now, *e.Change, out)
	case e.Full != nil:
		seen := make(map[string]bool, len(e.Full))
		for _, c := range e.Full {
			seen[c.ID] = true
			out = r.change(now, c, out)
		}
		for _, id := range r.ids() {
			if !seen[id] {
				out = r.remove(now, id, out)
			}
		}
	}
	return r.expire(now, out)
}

func (r *Roster) change(now time.Time, c directory.EndpointChange, out []Action) []Action {
	if c.Endpoint == nil {
		return r.remove(now, c.ID, out)
	}
	n := *c.Endpoint
	o := r.entries[c.ID]
	switch {
	case o == nil:
		r.entries[c.ID] = &entry{endpoint: n}
		return append(out, Action{c.ID, n, joined(n)})
	case n.Born < o.endpoint.Born || n.Born == o.endpoint.Born && n.Sequence < o.endpoint.Sequence:
		return out // a registration that was overtaken
	}
	reason := Reason("")
	switch {
	case !o.gone.IsZero():
		reason = joined(n)
	case n.Born != o.endpoint.Born || n.Address != o.endpoint.Address || n.Version != o.endpoint.Version || n.Service != o.endpoint.Service:
		reason = Replaced
	case n.Leaving && !o.endpoint.Leaving:
		reason = Leaving
	case !o.lapse.IsZero():
		reason = Returned
	}
	*o = entry{endpoint: n}
	if reason == "" {
		return out
	}
	return append(out, Action{c.ID, n, reason})
}

func joined(e directory.Endpoint) Reason {
	if e.Leaving {
		return Leaving
	}
	return Joined
}

// remove takes an endpoint out, later if its entry may have expired because of an outage.
func (r *Roster) remove(now time.Time, id string, out []Action) []Action {
	o := r.entries[id]
	if o == nil || !o.gone.IsZero() || !o.lapse.IsZero() {
		return out
	}
	if !o.endpoint.Leaving && !r.back.IsZero() && now.Before(r.back.Add(LapseGrace)) {
		o.lapse = r.back.Add(LapseGrace)
		return append(out, Action{id, o.endpoint, Lapsed})
	}
	o.gone = now
	return append(out, Action{id, o.endpoint, Removed})
}

func (r *Roster) expire(now time.Time, out []Action) []Action {
	for _, id := range r.ids() {
		if o := r.entries[id]; !o.lapse.IsZero() && !now.Before(o.lapse) {
			o.lapse, o.gone = time.Time{}, now
			out = append(out, Action{id, o.endpoint, Removed})
		}
	}
	for id, o := range r.entries {
		if !o.gone.IsZero() && now.Sub(o.gone) >= goneFor {
			delete(r.entries, id)
		}
	}
	return out
}

// ids returns the identifiers of the endpoints that are not gone, in order.
func (r *Roster) ids() []string {
	out := make([]string, 0, len(r.entries))
	for id, o := range r.entries {
		if o.gone.IsZero() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Usable returns the endpoints that may get new work, by service, each list ordered by identifier.
func (r *Roster) Usable() map[string][]directory.Endpoint {
	out := map[string][]directory.Endpoint{}
	for _, o := range r.entries {
		if o.gone.IsZero() && !o.endpoint.Leaving {
			out[o.endpoint.Service] = append(out[o.endpoint.Service], o.endpoint)
		}
	}
	for _, l := range out {
		slices.SortFunc(l, func(a, b directory.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}
