package testfleet

import (
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/instance"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// Checks at-most-once and not-run-is-true when a service runs an order and its reply is lost.
func TestOrderReplyLost(t *testing.T) {
	f := newTestFleet(t, Config{EnginesPerZone: 1})
	for _, s := range f.Services["booking"] {
		s.SetFaults(standin.Faults{LoseReplies: 1})
	}
	key := newIdempotencyKey()
	codes := map[client.Code]bool{client.CodeOutcomeUnknown: true, client.CodeInProgress: true}
	for n := range 4 {
		a := f.sendOrder(t.Context(), f.callerURLs()[n%3], "lysror-1", "booking", key)
		if a.complete || a.refusal == nil || a.refusal.NotRun || !codes[a.refusal.Code] {
			t.Errorf("copy %d: got %+v, %v; want an unknown outcome", n, a.refusal, a.err)
		}
	}
	// Other instances refuse with "in progress" until the unknown outcome is in the log.
	eventually(t, "an unknown outcome at each instance", func() bool {
		for _, b := range f.callerURLs() {
			a := f.sendOrder(t.Context(), b, "lysror-1", "booking", key)
			if a.refusal == nil || a.refusal.Code != client.CodeOutcomeUnknown {
				return false
			}
		}
		return true
	})
	if n := f.orderRuns("booking", key); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// Checks not-run-is-true and at-most-once in a log outage: an order is refused and does not run later, and chat requests
// are still answered.
func TestLogOutage(t *testing.T) {
	f := newTestFleet(t, Config{EnginesPerZone: 1, AdjustOptions: func(o *instance.Options) {
		o.Ledger.Claims.ClaimTimeout = 300 * time.Millisecond
	}})
	// The first order makes the instance follow the partition of the claims.
	if a := f.sendOrder(t.Context(), f.callerURLs()[0], "lysror-1", "booking", newIdempotencyKey()); !a.complete {
		t.Fatalf("got %+v, %v", a.refusal, a.err)
	}
	f.Platform.Log.SetFaults(standin.Faults{Down: true})
	key := newIdempotencyKey()
	a := f.sendOrder(t.Context(), f.callerURLs()[0], "lysror-1", "booking", key)
	if a.refusal == nil || !a.refusal.NotRun || a.refusal.Code != client.CodeLogUnavailable {
		t.Fatalf("got %+v, %v; want a refusal that says not-run", a.refusal, a.err)
	}
	b := f.sendChat(t.Context(), f.callerURLs()[0], reportRequest(1))
	if !b.complete {
		t.Errorf("chat stopped in the outage: %v %+v", b.err, b.refusal)
	}
	f.Platform.Log.SetFaults(standin.Faults{})
	eventually(t, "the bill of the outage", func() bool { return f.billsByKey(t, "instance-a")[b.key] == 1 })
	if n := f.orderRuns("booking", key); n != 0 {
		t.Errorf("the refused order ran %d times", n)
	}
	eventually(t, "the order under its old key", func() bool { return f.sendOrder(t.Context(), f.callerURLs()[1], "lysror-1", "booking", key).complete })
	if n := f.orderRuns("booking", key); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// Checks leaving-endpoint when only the service itself reports that it leaves. The endpoint table once ignored this
// report because it carried no time.
func TestServiceLeaves(t *testing.T) {
	f := newTestFleet(t, Config{EnginesPerZone: 1})
	url := f.Instances["instance-a"].CallerURL
	// The instance prefers the endpoint in its own availability zone, which is the first one.
	f.Services["booking"][0].AnnounceLeaving()
	if a := f.sendOrder(t.Context(), url, "lysror-1", "booking", newIdempotencyKey()); !a.complete {
		t.Fatalf("got %+v, %v", a.refusal, a.err)
	}
	if n := len(f.Services["booking"][0].RunCounts()); n != 1 {
		t.Fatalf("the leaving service ran %d orders, want only the one whose reply reports that it leaves", n)
	}
	for range 10 {
		if a := f.sendOrder(t.Context(), url, "lysror-1", "booking", newIdempotencyKey()); !a.complete {
			t.Fatalf("got %+v, %v", a.refusal, a.err)
		}
	}
	if n := len(f.Services["booking"][0].RunCounts()); n != 1 {
		t.Errorf("the leaving service ran %d more orders", n-1)
	}
}

// Checks not-run-is-true for a service that honours idempotency keys: an order with an unknown outcome may be sent again.
// If that fails, the refusal must not say that the order did not run.
func TestFailedResendMayHaveRun(t *testing.T) {
	f := newTestFleet(t, Config{EnginesPerZone: 1, IdempotentServices: []string{"booking"}})
	for _, s := range f.Services["booking"] {
		s.SetFaults(standin.Faults{LoseReplies: 100})
	}
	key := newIdempotencyKey()
	url := f.Instances["instance-a"].CallerURL
	if a := f.sendOrder(t.Context(), url, "lysror-1", "booking", key); a.refusal == nil || a.refusal.NotRun {
		t.Fatalf("got %+v, %v; want an unknown outcome", a.refusal, a.err)
	}
	for _, s := range f.Services["booking"] {
		s.Close()
	}
	// The copy is refused with "in progress" until the unknown outcome is in the log. Then it is sent again and fails.
	var a response
	eventually(t, "a second send", func() bool {
		a = f.sendOrder(t.Context(), url, "lysror-1", "booking", key)
		if a.refusal != nil && a.refusal.NotRun {
			t.Fatalf("got %+v; the order may have run", a.refusal)
		}
		return a.refusal != nil && a.refusal.Code != client.CodeInProgress
	})
}

// Checks billed-once and at-most-once when instances send their records to a batcher, as in a large fleet. A batcher
// crashes under load, and its records must still reach the log, exactly once.
func TestSharedAppends(t *testing.T) {
	f := newTestFleet(t, Config{EnginesPerZone: 1, AdjustOptions: func(o *instance.Options) { o.MaxDirectAppendFleet = 1 }})
	keys := map[string]bool{}
	chat := func(n int) {
		a := f.sendChat(t.Context(), f.callerURLs()[n%len(f.callerURLs())], reportRequest(n))
		if !a.complete {
			t.Fatalf("incomplete answer: %v %+v", a.err, a.refusal)
		}
		keys[a.key] = true
	}
	order := func(n int) {
		key := newIdempotencyKey()
		url := f.callerURLs()[n%len(f.callerURLs())]
		if a := f.sendOrder(t.Context(), url, "lysror-1", "booking", key); !a.complete {
			t.Fatalf("order %d: %v %+v", n, a.err, a.refusal)
		}
		// The copy is refused with "in progress" until the batcher has appended the outcome.
		eventually(t, "the reply to a copy", func() bool { return f.sendOrder(t.Context(), url, "lysror-1", "booking", key).complete })
		if r := f.orderRuns("booking", key); r != 1 {
			t.Errorf("order %d ran %d times", n, r)
		}
		keys[key] = true
	}
	for n := range 6 {
		chat(n)
		order(n)
	}
	f.CrashInstance("instance-b")
	for n := range 6 {
		chat(100 + n)
		order(100 + n)
	}
	eventually(t, "one bill for each answer", func() bool { return len(f.billsByKey(t, "instance-a")) == len(keys) })
	for k, n := range f.billsByKey(t, "instance-a") {
		if n != 1 || !keys[k] {
			t.Errorf("%d bills of %s", n, k)
		}
	}
}

// Checks billed-once when a new release of the router is rolled out during a log outage: the instances stop one after
// another, and the last one appends all bills once the log is available again.
func TestStopInLogOutage(t *testing.T) {
	f := newTestFleet(t, Config{EnginesPerZone: 1, AdjustOptions: func(o *instance.Options) { o.Ledger.FlushTimeout = 300 * time.Millisecond }})
	f.Platform.Log.SetFaults(standin.Faults{Down: true})
	want := map[string]bool{}
	for n := range 6 {
		a := f.sendChat(t.Context(), f.callerURLs()[n%2], reportRequest(n))
		if !a.complete {
			t.Fatalf("incomplete answer: %v %+v", a.err, a.refusal)
		}
		want[a.key] = true
	}
	for _, id := range []string{"instance-a", "instance-b"} {
		if err := f.StopInstance(id); err != nil {
			t.Fatal(err)
		}
	}
	f.Platform.Log.SetFaults(standin.Faults{})
	eventually(t, "one bill for each answer", func() bool { return len(f.billsByKey(t, "instance-c")) == len(want) })
}
