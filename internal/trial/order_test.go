package trial

import (
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/instance"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// Guards at-most-once and not-run-is-true: a service runs an order and its reply is lost.
func TestOrderReplyLost(t *testing.T) {
	w := newTestWorld(t, Settings{Engines: 1})
	for _, s := range w.Services["booking"] {
		s.SetFaults(standin.Faults{LoseReplies: 1})
	}
	key := newKey()
	codes := map[client.Code]bool{client.CodeOutcomeUnknown: true, client.CodeInProgress: true}
	for n := range 4 {
		a := w.order(t.Context(), w.bases()[n%3], "lysror-1", "booking", key)
		if a.whole || a.refused == nil || a.refused.NotRun || !codes[a.refused.Code] {
			t.Errorf("copy %d: got %+v, %v; want an unknown outcome", n, a.refused, a.err)
		}
	}
	// Other instances say "in progress" until the unknown outcome is in the log.
	eventually(t, "an unknown outcome at each instance", func() bool {
		for _, b := range w.bases() {
			a := w.order(t.Context(), b, "lysror-1", "booking", key)
			if a.refused == nil || a.refused.Code != client.CodeOutcomeUnknown {
				return false
			}
		}
		return true
	})
	if n := w.runs("booking", key); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// Guards not-run-is-true and at-most-once in a log outage: an order is refused and does not run later; chat goes on.
func TestLogOutage(t *testing.T) {
	w := newTestWorld(t, Settings{Engines: 1, Adjust: func(o *instance.Options) {
		o.Ledger.Claims.ClaimTimeout = 300 * time.Millisecond
	}})
	// The first order makes the instance follow the partition.
	if a := w.order(t.Context(), w.bases()[0], "lysror-1", "booking", newKey()); !a.whole {
		t.Fatalf("got %+v, %v", a.refused, a.err)
	}
	w.Platform.Log.SetFaults(standin.Faults{Down: true})
	key := newKey()
	a := w.order(t.Context(), w.bases()[0], "lysror-1", "booking", key)
	if a.refused == nil || !a.refused.NotRun || a.refused.Code != client.CodeLogUnavailable {
		t.Fatalf("got %+v, %v; want a refusal that says not-run", a.refused, a.err)
	}
	b := w.ask(t.Context(), w.bases()[0], report(1))
	if !b.whole {
		t.Errorf("chat stopped in the outage: %v %+v", b.err, b.refused)
	}
	w.Platform.Log.SetFaults(standin.Faults{})
	eventually(t, "the bill of the outage", func() bool { return w.billed(t, "instance-a")[b.key] == 1 })
	if n := w.runs("booking", key); n != 0 {
		t.Errorf("the refused order ran %d times", n)
	}
	eventually(t, "the order under its old key", func() bool { return w.order(t.Context(), w.bases()[1], "lysror-1", "booking", key).whole })
	if n := w.runs("booking", key); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// Guards leaving-endpoint by a service's own word, which the table once ignored because the report had no time.
func TestServiceLeaves(t *testing.T) {
	w := newTestWorld(t, Settings{Engines: 1})
	base := w.Members["instance-a"].Callers
	// The instance prefers the service of its own zone, which is the first one.
	w.Services["booking"][0].AnnounceLeaving()
	if a := w.order(t.Context(), base, "lysror-1", "booking", newKey()); !a.whole {
		t.Fatalf("got %+v, %v", a.refused, a.err)
	}
	if n := len(w.Services["booking"][0].RunCounts()); n != 1 {
		t.Fatalf("the leaving service ran %d orders, want the one that tells of its leaving", n)
	}
	for range 10 {
		if a := w.order(t.Context(), base, "lysror-1", "booking", newKey()); !a.whole {
			t.Fatalf("got %+v, %v", a.refused, a.err)
		}
	}
	if n := len(w.Services["booking"][0].RunCounts()); n != 1 {
		t.Errorf("the leaving service ran %d more orders", n-1)
	}
}

// Guards not-run-is-true for a service that honours keys: an order whose outcome is unknown may be sent again, and
// when that can't be done the refusal must not say that the order did not run.
func TestResendIsNotNotRun(t *testing.T) {
	w := newTestWorld(t, Settings{Engines: 1, Honouring: []string{"booking"}})
	for _, s := range w.Services["booking"] {
		s.SetFaults(standin.Faults{LoseReplies: 100})
	}
	key := newKey()
	base := w.Members["instance-a"].Callers
	if a := w.order(t.Context(), base, "lysror-1", "booking", key); a.refused == nil || a.refused.NotRun {
		t.Fatalf("got %+v, %v; want an unknown outcome", a.refused, a.err)
	}
	for _, s := range w.Services["booking"] {
		s.Close()
	}
	// The copy is told "in progress" until the unknown outcome is in the log; then it is sent again, in vain.
	var a answered
	eventually(t, "a second send", func() bool {
		a = w.order(t.Context(), base, "lysror-1", "booking", key)
		if a.refused != nil && a.refused.NotRun {
			t.Fatalf("got %+v; the order may have run", a.refused)
		}
		return a.refused != nil && a.refused.Code != client.CodeInProgress
	})
}

// Guards billed-once and at-most-once when instances share their appends, as those of a large fleet do: a batcher is
// lost under traffic, and its records reach the log another way, once.
func TestSharedAppends(t *testing.T) {
	w := newTestWorld(t, Settings{Engines: 1, Adjust: func(o *instance.Options) { o.MaxDirectAppendFleet = 1 }})
	keys := map[string]bool{}
	ask := func(n int) {
		a := w.ask(t.Context(), w.bases()[n%len(w.bases())], report(n))
		if !a.whole {
			t.Fatalf("not whole: %v %+v", a.err, a.refused)
		}
		keys[a.key] = true
	}
	place := func(n int) {
		key := newKey()
		base := w.bases()[n%len(w.bases())]
		if a := w.order(t.Context(), base, "lysror-1", "booking", key); !a.whole {
			t.Fatalf("order %d: %v %+v", n, a.err, a.refused)
		}
		// The copy is told "in progress" until the batcher has appended the outcome.
		eventually(t, "the reply to a copy", func() bool { return w.order(t.Context(), base, "lysror-1", "booking", key).whole })
		if r := w.runs("booking", key); r != 1 {
			t.Errorf("order %d ran %d times", n, r)
		}
		keys[key] = true
	}
	for n := range 6 {
		ask(n)
		place(n)
	}
	w.Crash("instance-b")
	for n := range 6 {
		ask(100 + n)
		place(100 + n)
	}
	eventually(t, "one bill for each answer", func() bool { return len(w.billed(t, "instance-a")) == len(keys) })
	for k, n := range w.billed(t, "instance-a") {
		if n != 1 || !keys[k] {
			t.Errorf("%d bills of %s", n, k)
		}
	}
}

// Guards billed-once against a roll-out of the router in a log outage: the instances stop one after the other, and the
// last one has all bills when the log is back.
func TestStopInLogOutage(t *testing.T) {
	w := newTestWorld(t, Settings{Engines: 1, Adjust: func(o *instance.Options) { o.Ledger.FlushTimeout = 300 * time.Millisecond }})
	w.Platform.Log.SetFaults(standin.Faults{Down: true})
	want := map[string]bool{}
	for n := range 6 {
		a := w.ask(t.Context(), w.bases()[n%2], report(n))
		if !a.whole {
			t.Fatalf("not whole: %v %+v", a.err, a.refused)
		}
		want[a.key] = true
	}
	for _, id := range []string{"instance-a", "instance-b"} {
		if err := w.Stop(id); err != nil {
			t.Fatal(err)
		}
	}
	w.Platform.Log.SetFaults(standin.Faults{})
	eventually(t, "one bill for each answer", func() bool { return len(w.billed(t, "instance-c")) == len(want) })
}
