package roster

import (
	"net/netip"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func change(id string, born, sequence int64, leaving bool) Event {
	return Event{Change: &directory.EndpointChange{ID: id, Endpoint: &directory.Endpoint{
		ID: id, Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), Version: "v1",
		Born: born, Sequence: sequence, Leaving: leaving,
	}}}
}

func gone(id string) Event { return Event{Change: &directory.EndpointChange{ID: id}} }

// TestUsable guards against work for endpoints that have left, and against the loss of endpoints that are well.
func TestUsable(t *testing.T) {
	type step struct {
		at    time.Duration
		event Event
	}
	cases := map[string]struct {
		steps []step
		want  bool // whether endpoint "a" may get work after the last step
	}{
		"joined":                        {[]step{{0, change("a", 1, 1, false)}}, true},
		"leaving":                       {[]step{{0, change("a", 1, 1, false)}, {1, change("a", 1, 2, true)}}, false},
		"older registration after that": {[]step{{0, change("a", 1, 2, true)}, {1, change("a", 1, 1, false)}}, false},
		"registration of an older start": {
			[]step{{0, change("a", 2, 1, true)}, {1, change("a", 1, 9, false)}}, false,
		},
		"new start under the same id": {[]step{{0, change("a", 1, 9, true)}, {1, change("a", 2, 1, false)}}, true},
		"removed":                     {[]step{{0, change("a", 1, 1, false)}, {1, gone("a")}}, false},
		"older registration after the removal": {
			[]step{{0, change("a", 1, 5, false)}, {1, gone("a")}, {2, change("a", 1, 4, false)}}, false,
		},
		"removed right after an outage": {
			[]step{{0, change("a", 1, 1, false)}, {1, Event{Lost: true}}, {time.Second, Event{Reach: true}}, {2 * time.Second, gone("a")}}, true,
		},
		"still missing later": {
			[]step{
				{0, change("a", 1, 1, false)},
				{1, Event{Lost: true}},
				{time.Second, Event{Reach: true}},
				{2 * time.Second, gone("a")},
				{3*time.Second + 1, Event{}},
			}, false,
		},
		"back after a lapse": {
			[]step{
				{0, change("a", 1, 1, false)},
				{1, Event{Lost: true}},
				{time.Second, Event{Reach: true}},
				{2 * time.Second, gone("a")},
				{2500 * time.Millisecond, change("a", 1, 2, false)},
				{9 * time.Second, Event{}},
			}, true,
		},
		"leaving one removed right after an outage": {
			[]step{{0, change("a", 1, 1, true)}, {1, Event{Lost: true}}, {2, Event{Reach: true}}, {3, gone("a")}}, false,
		},
		"missing from a full read": {[]step{{0, change("a", 1, 1, false)}, {1, Event{Full: []directory.EndpointChange{}}}}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New()
			for _, s := range c.steps {
				r.Step(start.Add(s.at), s.event)
			}
			if got := len(r.Usable()["s"]) == 1; got != c.want {
				t.Errorf("may get work: %v, want %v", got, c.want)
			}
		})
	}
}
