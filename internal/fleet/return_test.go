package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/lease"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
)

// TestKeeperReturnedLog guards against a second holder of a duty whose lease was lost when the log returned from an older copy, against a
// holder that can't renew after that, and against tokens that go back.
func TestKeeperReturnedLog(t *testing.T) {
	const term = 3 * time.Second
	var clockOffset atomic.Int64
	g := newKeeperGroup(t)
	g.log = standin.NewLog(func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) })
	hold := func(held *atomic.Pointer[HeldLease]) func(context.Context, *HeldLease) error {
		return func(ctx context.Context, h *HeldLease) error {
			held.Store(h)
			<-ctx.Done()
			return nil
		}
	}
	var first, second, third atomic.Pointer[HeldLease]
	for range 3 {
		if _, err := g.log.Append(context.Background(), leaseStream, []byte("{}")); err != nil {
			t.Fatal(err)
		}
	}
	a := g.startKeeperWithTerm(t, "a", term, hold(&first))
	waitUntil(t, "a holds the duty", func() bool { return first.Load() != nil })
	g.startKeeperWithTerm(t, "b", term, hold(&second))
	g.log.SetFaults(standin.Faults{CopyAge: time.Minute})
	g.startKeeperWithTerm(t, "c", term, hold(&third))
	for began := time.Now(); time.Since(began) < term; time.Sleep(time.Millisecond) {
		if first.Load().Valid() && (second.Load() != nil || third.Load() != nil) {
			t.Fatal("two holders may act")
		}
	}
	if !first.Load().Valid() || second.Load() != nil || third.Load() != nil {
		t.Errorf("after the return, a's lease is valid: %v; b and c got %v, %v", first.Load().Valid(), second.Load(), third.Load())
	}
	a.stop()
	clockOffset.Store(int64(lease.MaxTerm))
	waitUntil(t, "another instance holds the duty", func() bool { return second.Load() != nil || third.Load() != nil })
	for _, held := range []*HeldLease{second.Load(), third.Load()} {
		if held != nil && held.Token <= first.Load().Token {
			t.Errorf("the next token is %d, after %d", held.Token, first.Load().Token)
		}
	}
}
