package testfleet

import (
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/instance"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// Checks billed-once, at-most-once, not-run-is-true and config-in-force when the log returns from an older copy, which has none of the
// records, while each instance appends its own records and while they append through a batcher.
func TestLogReturns(t *testing.T) {
	for name, directFleet := range map[string]int{"direct appends": 9, "shared appends": 1} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, Config{EnginesPerZone: 1, AdjustOptions: func(o *instance.Options) { o.MaxDirectAppendFleet = directFleet }})
			order := newIdempotencyKey()
			if a := f.sendOrder(t.Context(), f.callerURLs()[0], "lysror-1", "booking", order); !a.complete {
				t.Fatalf("got %+v, %v", a.refusal, a.err)
			}
			keys := map[string]bool{order: true}
			chat := func(when string, n int) {
				a := f.sendChat(t.Context(), f.callerURLs()[n%len(f.callerURLs())], reportRequest(n))
				if !a.complete {
					t.Errorf("%s: got %+v, %v", when, a.refusal, a.err)
				}
				keys[a.key] = true
			}
			for n := range 6 {
				chat("before the return", n)
			}
			eventually(t, "one bill for each request", func() bool { return len(f.billsByKey(t, "instance-a")) == len(keys) })
			f.Platform.Log.SetFaults(standin.Faults{CopyAge: time.Minute})
			began := time.Now()
			for n := 10; time.Since(began) < 7*time.Second; n++ {
				chat("after the return", n)
				time.Sleep(20 * time.Millisecond)
			}
			for _, url := range f.callerURLs() {
				if a := f.sendOrder(t.Context(), url, "lysror-1", "booking", order); a.refusal != nil && a.refusal.NotRun {
					t.Errorf("the order that ran was refused as not run: %+v", a.refusal)
				}
			}
			if n := f.orderRuns("booking", order); n != 1 {
				t.Errorf("the order ran %d times", n)
			}
			p, err := f.OperatorClient("instance-b").Profile(t.Context(), "lysror-depot")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := f.OperatorClient("instance-b").PublishProfile(t.Context(), client.ProfileChange{Base: p.Revision, Profile: p.Profile}); err != nil {
				t.Errorf("a change after the return: %v", err)
			}
			if _, err := f.AddInstance(t.Context(), "instance-late", "a"); err != nil {
				t.Fatal(err)
			}
			if err := f.WaitUntilReady(t.Context()); err != nil {
				t.Fatal(err)
			}
			for n := range 8 {
				chat("with a late instance", 1000+n)
			}
			eventually(t, "one bill for each request", func() bool { return len(f.billsByKey(t, "instance-late")) == len(keys) })
			for k, n := range f.billsByKey(t, "instance-late") {
				if n != 1 || !keys[k] {
					t.Errorf("%d bills of %s", n, k)
				}
			}
		})
	}
}
