package roster

import (
	"net/netip"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func registration(id string, startedAt, sequence int64, leaving bool) Event {
	return Event{Changes: []routing.EndpointChange{{ID: id, Endpoint: &routing.Endpoint{
		ID: id, Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), Version: "v1",
		StartedAtMS: startedAt, Sequence: sequence, Leaving: leaving,
	}}}}
}

func removal(id string) Event { return Event{Changes: []routing.EndpointChange{{ID: id}}} }

// TestAvailableEndpoints guards against requests to endpoints that have left, and against the removal of healthy endpoints.
func TestAvailableEndpoints(t *testing.T) {
	type step struct {
		at    time.Duration
		event Event
	}
	cases := map[string]struct {
		steps []step
		want  bool // whether endpoint "a" may get requests after the last step
	}{
		"joined":                              {[]step{{0, registration("a", 1, 1, false)}}, true},
		"leaving":                             {[]step{{0, registration("a", 1, 1, false)}, {1, registration("a", 1, 2, true)}}, false},
		"outdated registration after leaving": {[]step{{0, registration("a", 1, 2, true)}, {1, registration("a", 1, 1, false)}}, false},
		"registration of an earlier process": {
			[]step{{0, registration("a", 2, 1, true)}, {1, registration("a", 1, 9, false)}}, false,
		},
		"new process under the same ID": {[]step{{0, registration("a", 1, 9, true)}, {1, registration("a", 2, 1, false)}}, true},
		"removed":                       {[]step{{0, registration("a", 1, 1, false)}, {1, removal("a")}}, false},
		"outdated registration after a removal": {
			[]step{{0, registration("a", 1, 5, false)}, {1, removal("a")}, {2, registration("a", 1, 4, false)}}, false,
		},
		"removed right after an outage": {
			[]step{{0, registration("a", 1, 1, false)}, {1, Event{StoreFailed: true}}, {time.Second, Event{StoreReached: true}}, {2 * time.Second, removal("a")}}, true,
		},
		"not restored within the grace period": {
			[]step{
				{0, registration("a", 1, 1, false)},
				{1, Event{StoreFailed: true}},
				{time.Second, Event{StoreReached: true}},
				{2 * time.Second, removal("a")},
				{3*time.Second + 1, Event{}},
			}, false,
		},
		"restored within the grace period": {
			[]step{
				{0, registration("a", 1, 1, false)},
				{1, Event{StoreFailed: true}},
				{time.Second, Event{StoreReached: true}},
				{2 * time.Second, removal("a")},
				{2500 * time.Millisecond, registration("a", 1, 2, false)},
				{9 * time.Second, Event{}},
			}, true,
		},
		"leaving endpoint removed right after an outage": {
			[]step{{0, registration("a", 1, 1, true)}, {1, Event{StoreFailed: true}}, {2, Event{StoreReached: true}}, {3, removal("a")}}, false,
		},
		"missing from a snapshot": {[]step{{0, registration("a", 1, 1, false)}, {1, Event{Snapshot: []routing.EndpointChange{}}}}, false},
	}
	for name, c := range cases {
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
