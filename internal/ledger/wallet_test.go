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

// organisationWithLimit returns an organisation that may make n requests per hour.
func organisationWithLimit(n int64) record.Organisation {
	return record.Organisation{Name: "lys", Limits: []record.Limit{
		{Unit: record.UnitRequests, Amount: n, Period: record.Duration(time.Hour)},
	}}
}

// spendLimit makes one request through each wallet in turn until all refuse, and returns the number of requests.
func spendLimit(ctx context.Context, t *testing.T, o record.Organisation, l ...*Wallet) int64 {
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
			if errorKind(err) != ErrEntitlementExhausted {
				t.Fatal(err)
			}
			refused++
			time.Sleep(3 * time.Second)
		}
	}
	return n
}

// Guards against two instances that together spend more than the limit, and against a part of the limit that neither can
// spend.
func TestWalletShared(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, o Options, log *standin.Log, wait func(interface{ Wait() })) {
		a, b := NewWallet(ctx, o, WalletSettings{}), NewWallet(ctx, o, WalletSettings{})
		wait(a)
		wait(b)
		log.SetFaults(standin.Faults{LoseReplies: 5})
		if n := spendLimit(ctx, t, organisationWithLimit(100), a, b); n != 100 {
			t.Errorf("%d of 100 requests", n)
		}
		time.Sleep(time.Hour)
		if n := spendLimit(ctx, t, organisationWithLimit(100), a, b); n != 100 {
			t.Errorf("%d of 100 requests in the next period", n)
		}
	})
}

// Guards against grants that stay spent after a planned stop because they were not returned.
func TestWalletReturn(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, o Options, _ *standin.Log, wait func(interface{ Wait() })) {
		a, b := NewWallet(ctx, o, WalletSettings{}), NewWallet(ctx, o, WalletSettings{})
		wait(a)
		wait(b)
		r, err := a.Reserve(ctx, organisationWithLimit(100), 1, entitlement.Amounts{Requests: 60})
		if err != nil {
			t.Fatal(err)
		}
		r.Settle(entitlement.Amounts{})
		if err := a.ReturnGrants(ctx); err != nil {
			t.Fatal(err)
		}
		if n := spendLimit(ctx, t, organisationWithLimit(100), b); n != 100 {
			t.Errorf("%d of 100 requests", n)
		}
	})
}

// Guards against a planned stop that never ends because the wallet takes grants again while it returns them.
func TestWalletReturnEnds(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, o Options, log *standin.Log, wait func(interface{ Wait() })) {
		w := NewWallet(ctx, o, WalletSettings{})
		wait(w)
		r, err := w.Reserve(ctx, organisationWithLimit(1_000_000), 1, entitlement.Amounts{Requests: 1})
		if err != nil {
			t.Fatal(err)
		}
		r.Settle(entitlement.Amounts{Requests: 1})
		x, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		if err := w.ReturnGrants(x); err != nil {
			t.Fatal(err)
		}
		end := platform.Offset(log.AppendCount())
		time.Sleep(time.Minute)
		p, err := log.Read(ctx, grantStream, end, 100, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range p.Entries {
			for _, g := range decodeGrantBatch(e.Data).Grants {
				t.Errorf("after the return: %+v", g)
			}
		}
	})
}

// Guards against an instance that starts after old records were removed and grants again what was granted before.
func TestWalletRetention(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, o Options, log *standin.Log, wait func(interface{ Wait() })) {
		a := NewWallet(ctx, o, WalletSettings{MaxSnapshotAge: time.Minute})
		wait(a)
		if n := spendLimit(ctx, t, organisationWithLimit(100), a); n != 100 {
			t.Fatalf("%d of 100 requests", n)
		}
		time.Sleep(10 * time.Minute)
		p, err := log.Read(ctx, grantStream, 0, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		for name, below := range map[string]platform.Offset{"snapshot kept": p.End - 1, "everything trimmed": p.End} {
			log.Trim(grantStream, below)
			b := NewWallet(ctx, o, WalletSettings{})
			wait(b)
			if n := spendLimit(ctx, t, organisationWithLimit(100), b); n != 0 {
				t.Errorf("%s: %d requests above the limit", name, n)
			}
		}
	})
}
