package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/entitlement"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

func limited(n int64) record.Organisation {
	return record.Organisation{Name: "lys", Limits: []record.Limit{
		{Unit: record.UnitRequests, Amount: n, Period: record.Duration(time.Hour)},
	}}
}

// spend makes one request through each wallet in turn until all refuse, and returns the number of requests.
func spend(ctx context.Context, t *testing.T, o record.Organisation, l ...*Wallet) int64 {
	t.Helper()
	var n int64
	for refused := 0; refused < 3*len(l); {
		for _, w := range l {
			r, err := w.Reserve(ctx, o, 1, entitlement.Amounts{Requests: 1})
			if err == nil {
				r.Settle(entitlement.Amounts{Requests: 1})
				n, refused = n+1, 0
				continue
			}
			if kind(err) != ErrExhausted {
				t.Fatal(err)
			}
			refused++
			time.Sleep(3 * time.Second)
		}
	}
	return n
}

// Guards against two instances that together spend more than the limit, and against a limit that can't be used up.
func TestWalletShared(t *testing.T) {
	fixture(t, func(ctx context.Context, o Options, log *standin.Log, wait func(interface{ Wait() })) {
		a, b := NewWallet(ctx, o, WalletSettings{}), NewWallet(ctx, o, WalletSettings{})
		wait(a)
		wait(b)
		log.Set(standin.Faults{LoseReplies: 5})
		if n := spend(ctx, t, limited(100), a, b); n != 100 {
			t.Errorf("%d of 100 requests", n)
		}
		time.Sleep(time.Hour)
		if n := spend(ctx, t, limited(100), a, b); n != 100 {
			t.Errorf("%d of 100 requests in the next period", n)
		}
	})
}

// Guards against grants that a planned stop takes with it.
func TestWalletReturn(t *testing.T) {
	fixture(t, func(ctx context.Context, o Options, _ *standin.Log, wait func(interface{ Wait() })) {
		a, b := NewWallet(ctx, o, WalletSettings{}), NewWallet(ctx, o, WalletSettings{})
		wait(a)
		wait(b)
		r, err := a.Reserve(ctx, limited(100), 1, entitlement.Amounts{Requests: 60})
		if err != nil {
			t.Fatal(err)
		}
		r.Settle(entitlement.Amounts{})
		if err := a.Return(ctx); err != nil {
			t.Fatal(err)
		}
		if n := spend(ctx, t, limited(100), b); n != 100 {
			t.Errorf("%d of 100 requests", n)
		}
	})
}

// Guards against refills that take the grants again while a planned stop returns them, so that it never ends.
func TestWalletReturnEnds(t *testing.T) {
	fixture(t, func(ctx context.Context, o Options, log *standin.Log, wait func(interface{ Wait() })) {
		w := NewWallet(ctx, o, WalletSettings{})
		wait(w)
		r, err := w.Reserve(ctx, limited(1_000_000), 1, entitlement.Amounts{Requests: 1})
		if err != nil {
			t.Fatal(err)
		}
		r.Settle(entitlement.Amounts{Requests: 1})
		x, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		if err := w.Return(x); err != nil {
			t.Fatal(err)
		}
		end := platform.Offset(log.Appends())
		time.Sleep(time.Minute)
		p, err := log.Read(ctx, grantStream, end, 100, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range p.Entries {
			for _, g := range decodeGrants(e.Data).Grants {
				t.Errorf("after the return: %+v", g)
			}
		}
	})
}

// Guards against a reader that starts after retention and grants again what was granted before.
func TestWalletRetention(t *testing.T) {
	fixture(t, func(ctx context.Context, o Options, log *standin.Log, wait func(interface{ Wait() })) {
		a := NewWallet(ctx, o, WalletSettings{SnapshotAge: time.Minute})
		wait(a)
		if n := spend(ctx, t, limited(100), a); n != 100 {
			t.Fatalf("%d of 100 requests", n)
		}
		time.Sleep(10 * time.Minute)
		p, err := log.Read(ctx, grantStream, 0, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		for name, below := range map[string]platform.Offset{"snapshot kept": p.Next - 1, "everything trimmed": p.Next} {
			log.Trim(grantStream, below)
			b := NewWallet(ctx, o, WalletSettings{})
			wait(b)
			if n := spend(ctx, t, limited(100), b); n != 0 {
				t.Errorf("%s: %d requests above the limit", name, n)
			}
		}
	})
}
