package placement

import (
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// newLimitedTable returns a table of a single instance with some endpoints, the first of which has named a limit.
func newLimitedTable(limit float64, endpoints int) (*Table, []routing.Endpoint) {
	t := New(DefaultSettings("a"))
	t.SetAlone()
	l := newEndpoints(endpoints, "a")
	t.SetEndpoints(l)
	t.RecordLimit(start, start, l[service][0], limit)
	return t, l[service]
}

// TestLimitedChoice guards against a second request to an endpoint in the time of one, against one that gets no request in its time, and
// against a limit that holds on for the process that takes the endpoint's place.
func TestLimitedChoice(t *testing.T) {
	table, l := newLimitedTable(1, 1)
	count := func(from, to time.Duration) int {
		n := 0
		for at := from; at < to; at += 10 * time.Millisecond {
			q := promptRequest(1)
			if c, ok := table.Choose(start.Add(at), q); ok {
				table.RecordEnd(start.Add(at), table.RecordSend(start.Add(at), q, c), true)
				n++
			}
		}
		return n
	}
	if n := count(0, 10*time.Second); n < 9 || n > 11 {
		t.Errorf("%d requests in 10 s, limit 1 a second", n)
	}
	if n := table.HeldBack()[service]; n < 900 {
		t.Errorf("%d choices held back", n)
	}
	old := l[0]
	again := old
	again.StartedAtMS++
	table.SetEndpoints(map[string][]routing.Endpoint{service: {again}})
	if n := count(11*time.Second, 12*time.Second); n != 100 {
		t.Errorf("%d of 100 requests to the new process", n)
	}
	table.RecordLimit(start.Add(12*time.Second), start.Add(12*time.Second), old, 1) // late response of the old process
	if n := count(12*time.Second, 13*time.Second); n != 100 {
		t.Errorf("%d of 100 requests to the new process after a response of the old one", n)
	}
}

// TestLimitAfterRegistrationExpires guards against a limit that is forgotten when a registration expires and comes back, as after an outage
// of the store.
func TestLimitAfterRegistrationExpires(t *testing.T) {
	table, l := newLimitedTable(0.1, 2)
	table.SetEndpoints(map[string][]routing.Endpoint{service: l[1:]})
	table.SetEndpoints(map[string][]routing.Endpoint{service: l})
	if _, counts := table.LimitChanges(start.Add(time.Second)); counts[service] != 1 {
		t.Errorf("%d limited endpoints, want 1", counts[service])
	}
}

// TestLimitChanges guards against a limit whose end is not reported because no response told it.
func TestLimitChanges(t *testing.T) {
	table, l := newLimitedTable(2, 2)
	if c, counts := table.LimitChanges(start.Add(time.Second)); len(c) != 0 || counts[service] != 1 {
		t.Errorf("changes %v, counts %v", c, counts)
	}
	c, counts := table.LimitChanges(start.Add(time.Minute))
	if len(c) != 1 || c[0].Endpoint != l[0].ID || c[0].From != 2 || c[0].To != 0 || counts[service] != 0 {
		t.Errorf("changes %v, counts %v", c, counts)
	}
	if c, _ := table.LimitChanges(start.Add(2 * time.Minute)); len(c) != 0 {
		t.Errorf("changes again: %v", c)
	}
}

// TestAllLimited guards against requests that are refused for their limits without that reason or a time to come back in which a request is
// permitted.
func TestAllLimited(t *testing.T) {
	table, l := newLimitedTable(0.5, 3)
	for _, e := range l {
		table.RecordLimit(start, start, e, 0.5)
	}
	refused, served := 0, 0
	for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
		now, q := start.Add(at), promptRequest(1)
		c, ok := table.Choose(now, q)
		if ok {
			served++
			table.RecordEnd(now, table.RecordSend(now, q, c), true)
			continue
		}
		refused++
		a, d := table.Availability(now, service), table.TimeToCapacity(now, service)
		if !a.AllLimited() || a.Limited != 3 || d <= 0 || d > 2*time.Second {
			t.Fatalf("at %v: %+v, time to capacity %v", at, a, d)
		}
		if _, ok := table.Choose(now.Add(d), q); !ok {
			t.Fatalf("at %v: no request is permitted after the time to capacity, %v", at, d)
		}
	}
	if served < 27 || served > 33 || refused == 0 {
		t.Errorf("%d served, %d refused", served, refused)
	}
}
