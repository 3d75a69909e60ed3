package roster

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// TestMain fixes rapid's seed so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// snapshot returns a snapshot with the entries of registrations.
func snapshot(l ...Event) Event {
	out := Event{Snapshot: []routing.EndpointChange{}}
	for _, e := range l {
		out.Snapshot = append(out.Snapshot, e.Changes...)
	}
	return out
}

// storeReturn returns the first snapshot after a return of the store, with the entries of registrations.
func storeReturn(l ...Event) Event {
	out := snapshot(l...)
	out.StoreReturned = true
	return out
}

// TestStoreReturns guards against an endpoint that is dropped because the store came back from a copy without it, and against
// requests to one that had left because the copy holds it still.
func TestStoreReturns(t *testing.T) {
	const second = time.Second
	joined := registration("a", 1, 5, false)
	type step struct {
		at    time.Duration
		event Event
	}
	for name, c := range map[string]struct {
		steps []step
		want  bool // whether endpoint "a" may get requests after the last step
	}{
		"not in the copy":                            {[]step{{0, joined}, {9 * second, storeReturn()}}, true},
		"not in an empty copy":                       {[]step{{0, joined}, {9 * second, Event{StoreReturned: true}}}, true},
		"not in the copy, until the end of grace":    {[]step{{0, joined}, {9 * second, storeReturn()}, {11*second - 1, Event{}}}, true},
		"not in the copy, after the grace":           {[]step{{0, joined}, {9 * second, storeReturn()}, {11 * second, Event{}}}, false},
		"written again within the grace":             {[]step{{0, joined}, {9 * second, storeReturn()}, {10 * second, joined}, {20 * second, Event{}}}, true},
		"written again after the grace":              {[]step{{0, joined}, {9 * second, storeReturn()}, {12 * second, Event{}}, {13 * second, joined}}, true},
		"older one in the copy":                      {[]step{{0, joined}, {9 * second, storeReturn(registration("a", 1, 3, false))}, {20 * second, Event{}}}, true},
		"unreadable in the copy":                     {[]step{{0, joined}, {9 * second, storeReturn(removal("a"))}}, true},
		"removed within the grace":                   {[]step{{0, joined}, {9 * second, storeReturn(joined)}, {10 * second, removal("a")}}, true},
		"removed within the grace, after it":         {[]step{{0, joined}, {9 * second, storeReturn(joined)}, {10 * second, removal("a")}, {11 * second, Event{}}}, false},
		"removed after the grace":                    {[]step{{0, joined}, {9 * second, storeReturn(joined)}, {11 * second, removal("a")}}, false},
		"not in a later snapshot within the grace":   {[]step{{0, joined}, {9 * second, storeReturn()}, {10 * second, snapshot()}}, true},
		"not in a later snapshot after the grace":    {[]step{{0, joined}, {9 * second, storeReturn(joined)}, {11 * second, snapshot()}}, false},
		"second return within the grace":             {[]step{{0, joined}, {9 * second, storeReturn()}, {10 * second, storeReturn()}, {12*second - 1, Event{}}}, true},
		"second return within the grace, after it":   {[]step{{0, joined}, {9 * second, storeReturn()}, {10 * second, storeReturn()}, {12 * second, Event{}}}, false},
		"second return with an older one":            {[]step{{0, joined}, {9 * second, storeReturn()}, {10 * second, storeReturn(registration("a", 1, 3, false))}, {20 * second, Event{}}}, true},
		"removed before, in the copy":                {[]step{{0, joined}, {1, removal("a")}, {2, storeReturn(joined)}}, false},
		"removed before, older one in the copy":      {[]step{{0, joined}, {1, removal("a")}, {2, storeReturn(registration("a", 1, 3, false))}}, false},
		"removed before, in a later snapshot":        {[]step{{0, joined}, {1, removal("a")}, {2, storeReturn(joined)}, {3, snapshot(joined)}}, false},
		"removed before, in a second copy":           {[]step{{0, joined}, {1, removal("a")}, {2, storeReturn(joined)}, {3, storeReturn(joined)}}, false},
		"removed before, lives":                      {[]step{{0, joined}, {1, removal("a")}, {2, storeReturn(registration("a", 1, 6, false))}}, true},
		"removed before, another process":            {[]step{{0, joined}, {1, removal("a")}, {2, storeReturn(registration("a", 2, 1, false))}}, true},
		"removed before, an earlier process":         {[]step{{0, joined}, {1, removal("a")}, {2, storeReturn(registration("a", 0, 9, false))}}, false},
		"removed before, registers after the return": {[]step{{0, joined}, {1, removal("a")}, {2, storeReturn()}, {3, joined}}, true},
		"leaving, older one in the copy":             {[]step{{0, joined}, {1, registration("a", 1, 6, true)}, {2, storeReturn(joined)}}, false},
		"leaving, same sequence in the copy":         {[]step{{0, registration("a", 1, 5, true)}, {1, storeReturn(joined)}}, false},
		"leaving, same sequence in a change":         {[]step{{0, registration("a", 1, 5, true)}, {1, joined}}, false},
		"leaving, not in the copy":                   {[]step{{0, registration("a", 1, 5, true)}, {1, storeReturn()}}, false},
		"leaving, not in the copy, written again":    {[]step{{0, joined}, {1, registration("a", 1, 6, true)}, {2, storeReturn()}, {3, joined}}, false},
		"leaves within the grace":                    {[]step{{0, joined}, {9 * second, storeReturn()}, {10 * second, registration("a", 1, 6, true)}}, false},
		"left before, removed, in the copy":          {[]step{{0, joined}, {1, registration("a", 1, 6, true)}, {2, removal("a")}, {3, storeReturn(joined)}}, false},
		"leaving, a higher sequence in the copy":     {[]step{{0, registration("a", 1, 5, true)}, {1, storeReturn(registration("a", 1, 6, false))}}, true},
		"outage, return, outage":                     {[]step{{0, joined}, {8 * second, Event{StoreFailed: true}}, {9 * second, storeReturn()}, {10 * second, Event{StoreReached: true}}, {11*second - 1, Event{}}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := New()
			for _, s := range c.steps {
				r.Apply(start.Add(s.at), s.event)
			}
			if got := len(r.AvailableEndpoints()["s"]) == 1; got != c.want {
				t.Errorf("may get requests: %v, want %v", got, c.want)
			}
		})
	}
}

// TestReasonsAfterReturn guards against changes at a return that the log doesn't show, or shows twice.
func TestReasonsAfterReturn(t *testing.T) {
	r, joined := New(), registration("a", 1, 5, false)
	var got []Reason
	for i, e := range []Event{joined, storeReturn(), storeReturn(), storeReturn(registration("a", 1, 3, false)), storeReturn(), joined, storeReturn(), {}, {}} {
		for _, x := range r.Apply(start.Add(time.Duration(i)*time.Second), e) {
			got = append(got, x.Reason)
		}
	}
	if want := []Reason{Joined, Lapsed, Returned, Lapsed, Returned, Lapsed, Removed}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// returnModel applies the records of one endpoint to a roster in random order, with returns of the store between them.
type returnModel struct {
	roster   *Roster
	now      time.Time
	records  []routing.EndpointChange // registrations of the endpoint's processes, in their order
	known    *routing.Endpoint        // newest registration that the roster has got
	removed  bool                     // since then, and not within a grace period
	graceEnd time.Time
}

// newer reports whether a registration is newer than another one.
func newer(a, b *routing.Endpoint) bool {
	return b == nil || a.StartedAtMS > b.StartedAtMS || a.StartedAtMS == b.StartedAtMS && a.Sequence > b.Sequence
}

// apply applies an event that holds a registration or a removal, and checks its effect.
func (m *returnModel) apply(t *rapid.T, e Event, c routing.EndpointChange) {
	if e.StoreReturned {
		m.graceEnd = m.now.Add(LapseGracePeriod)
	}
	before := m.roster.AvailableEndpoints()["s"]
	m.roster.Apply(m.now, e)
	after := m.roster.AvailableEndpoints()["s"]
	switch {
	case c.Endpoint != nil && newer(c.Endpoint, m.known):
		m.known, m.removed = c.Endpoint, false
	case c.Endpoint == nil && m.known != nil && (m.known.Leaving || !m.now.Before(m.graceEnd)):
		m.removed = true
	}
	switch {
	case m.known == nil:
	case m.known.Leaving && len(after) > 0:
		t.Fatalf("%v: an endpoint that announced its leaving gets requests: %v", e, after)
	case e.StoreReturned && m.removed && len(before) == 0 && len(after) > 0:
		t.Fatalf("%v: an endpoint that was removed gets requests: %v", e, after)
	case len(before) > 0 && len(after) == 0 && !m.known.Leaving && m.now.Before(m.graceEnd):
		t.Fatalf("%v: an endpoint is dropped within the grace period: %v", e, before)
	case len(after) > 0 && (after[0].StartedAtMS != m.known.StartedAtMS || after[0].Sequence != m.known.Sequence):
		t.Fatalf("%v: went back from %v to %v", e, m.known, after)
	}
}

// TestEndpointsNeverGoBack guards against orders of returns, copies and records written again in which a leaving endpoint, or an
// older registration, comes back.
func TestEndpointsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &returnModel{roster: New(), now: start}
		startedAt, sequence, leaving := int64(1), int64(0), false
		older := func() routing.EndpointChange {
			if len(m.records) == 0 {
				return routing.EndpointChange{ID: "a"}
			}
			return rapid.SampledFrom(m.records).Draw(t, "record")
		}
		snapshotOf := func(c routing.EndpointChange, returned bool) Event {
			e := Event{Snapshot: []routing.EndpointChange{}, StoreReturned: returned}
			if c.Endpoint != nil {
				e.Snapshot = append(e.Snapshot, c)
			}
			return e
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { m.now = m.now.Add(300 * time.Millisecond) },
			"register": func(t *rapid.T) {
				if leaving && rapid.Bool().Draw(t, "restart") {
					startedAt, sequence, leaving = startedAt+1, 0, false
				}
				leaving = leaving || rapid.IntRange(0, 3).Draw(t, "leaving") == 0
				sequence++
				e := registration("a", startedAt, sequence, leaving)
				m.records = append(m.records, e.Changes...)
				if rapid.Bool().Draw(t, "seen") {
					m.apply(t, e, e.Changes[0])
				}
			},
			"remove": func(t *rapid.T) { m.apply(t, removal("a"), routing.EndpointChange{ID: "a"}) },
			"write again": func(t *rapid.T) {
				c := older()
				m.apply(t, Event{Changes: []routing.EndpointChange{c}}, c)
			},
			"return": func(t *rapid.T) {
				c := older()
				m.apply(t, snapshotOf(c, true), c)
			},
			"return without it": func(t *rapid.T) {
				m.apply(t, snapshotOf(routing.EndpointChange{}, true), routing.EndpointChange{})
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(rapid.SampledFrom([]time.Duration{time.Second, LapseGracePeriod}).Draw(t, "wait"))
				m.apply(t, Event{}, routing.EndpointChange{Endpoint: m.known})
			},
		})
	})
}
