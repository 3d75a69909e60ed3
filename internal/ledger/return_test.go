package ledger

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/entitlement"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Guards against an order that runs twice, or is reported as not run, because the claim of its first attempt was lost when the log
// returned from an older copy, and against instances that claim no key any more after that.
func TestClaimerReturnedLog(t *testing.T) {
	for name, tc := range map[string]struct {
		following bool          // the second instance has read the lost claim
		regrow    int           // claims of other keys after the return, so that the stream grows past the position of readers
		wait      time.Duration // between the return and the second attempt
	}{
		"following":          {following: true},
		"following, regrown": {following: true, regrow: 4},
		"started later":      {},
		"long after":         {wait: 10 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(ctx context.Context, o Options, log *standin.Log, wait func(interface{ Wait() })) {
				first, second := NewClaimer(ctx, o, ClaimSettings{}), NewClaimer(ctx, o, ClaimSettings{})
				wait(first)
				wait(second)
				order := func() ClaimRequest {
					return ClaimRequest{Organisation: "lys", IdempotencyKey: newKey(t), Deadline: time.Now().Add(30 * time.Second)}
				}
				k := order()
				ticket, err := first.ClaimKey(ctx, k)
				if err != nil || ticket.BeginSend() != nil {
					t.Fatalf("first attempt: %v", err)
				}
				if tc.following {
					if _, err := second.ClaimKey(ctx, k); errorKind(err) != ErrInProgress {
						t.Fatalf("second attempt before the return: %v", err)
					}
				}
				time.Sleep(time.Second)
				returnLog(log)
				for range tc.regrow {
					if _, err := log.Append(ctx, second.partitionFor(k).stream, []byte("{}")); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(tc.wait)
				k.Deadline = time.Now().Add(30 * time.Second)
				again, err := second.ClaimKey(ctx, k)
				var e *Error
				switch {
				case err == nil && again.BeginSend() == nil:
					t.Error("the order may be sent twice")
				case errors.As(err, &e) && e.NotRun():
					t.Errorf("the order ran, but its second attempt was told: %v", err)
				}
				time.Sleep(2 * time.Minute)
				late := NewClaimer(ctx, o, ClaimSettings{})
				wait(late)
				// Its claim gets an offset that the other instances have read before.
				next := order()
				for late.partitionFor(next).stream != first.partitionFor(k).stream {
					next = order()
				}
				if ticket, err := late.ClaimKey(ctx, next); err != nil || ticket.BeginSend() != nil {
					t.Fatalf("a key that was issued after the return: %v", err)
				}
				for _, c := range []*Claimer{first, second} {
					if ticket, err := c.ClaimKey(ctx, next); err == nil && ticket.BeginSend() == nil {
						t.Error("an order of the new era may be sent twice")
					}
					if ticket, err := c.ClaimKey(ctx, order()); err != nil || ticket.BeginSend() != nil {
						t.Errorf("a key of the new era: %v", err)
					}
				}
			})
		})
	}
}

// returnLog lets the log return from a copy that is 5 s old.
func returnLog(log *standin.Log) {
	log.SetFaults(standin.Faults{CopyAge: 5 * time.Second})
	log.SetFaults(standin.Faults{})
}

// Guards against a part of a limit that is given out twice because its grant was lost when the log returned from an older copy, against
// parts that their holders lose, and against a limit that stays closed in later periods.
func TestWalletReturnedLog(t *testing.T) {
	for name, tc := range map[string]struct {
		before int64 // requests of each instance before the copy is made
		after  int64 // requests of each instance between the copy and the return
		regrow int   // records after the return, so that the stream grows past the position of readers
	}{
		"all lost":      {after: 30},
		"some lost":     {before: 5, after: 25},
		"regrown":       {before: 5, after: 25, regrow: 50},
		"few requests":  {after: 1},
		"nothing after": {before: 30},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(ctx context.Context, o Options, log *standin.Log, wait func(interface{ Wait() })) {
				limited := organisationWithLimit(100)
				wallets := []*Wallet{NewWallet(ctx, o, WalletSettings{}), NewWallet(ctx, o, WalletSettings{})}
				wait(wallets[0])
				wait(wallets[1])
				var n int64
				spend := func(times int64) {
					for range times {
						for _, w := range wallets {
							if r, err := w.Reserve(ctx, limited, 1, entitlement.Amounts{Requests: 1}); err == nil {
								r.Settle(entitlement.Amounts{Requests: 1})
								n++
							}
						}
					}
				}
				spend(tc.before)
				time.Sleep(20 * time.Second)
				spend(tc.after)
				var held int64
				for _, w := range wallets {
					held += heldBy(w, limited.Limits[0])
				}
				returnLog(log)
				for range tc.regrow {
					if _, err := log.Append(ctx, grantStream, []byte("{}")); err != nil {
						t.Fatal(err)
					}
				}
				late := NewWallet(ctx, o, WalletSettings{})
				wait(late)
				spent := n
				n += spendLimit(ctx, t, limited, append(wallets, late)...)
				if n > 100 || n < spent+held {
					t.Errorf("%d of 100 requests, of which %d before the return, when %d were held", n, spent, held)
				}
				time.Sleep(time.Hour)
				if n := spendLimit(ctx, t, limited, append(wallets, late)...); n != 100 {
					t.Errorf("%d of 100 requests in the next period", n)
				}
			})
		})
	}
}

// heldBy returns what a wallet holds of a limit.
func heldBy(w *Wallet, l record.Limit) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.byOrganisation["lys"].Available(l.Unit, l.Period)
}

// releasingWitness is a Witness and a WitnessReleaser.
type releasingWitness struct{ *Biller }

// returningLog returns from an older copy after an append, before its reply arrives.
type returningLog struct {
	*standin.Log
	returnNow func(stream string) bool
	noticed   func() // returns when the instance has noticed the return
}

// Append appends a record.
func (l returningLog) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	o, err := l.Log.Append(ctx, stream, data)
	if l.returnNow(stream) {
		time.Sleep(time.Second)
		returnLog(l.Log)
		l.noticed()
	}
	return o, err
}

// Guards against a bill that is lost because the log lost its record with a return from an older copy, while its holder or its witness
// lives, and against a bill that counts twice.
func TestBillerReturnedLog(t *testing.T) {
	for name, tc := range map[string]struct {
		kill      bool          // the holder dies before the return
		wait      time.Duration // between the confirmation and the return
		regrow    int           // records after the return, so that the stream grows past the lost record
		lateReply bool          // the reply to the append arrives after the return
	}{
		"holder lives":          {},
		"holder lives, regrown": {regrow: 10},
		"witness lives":         {kill: true},
		"record kept":           {wait: 30 * time.Second},
		"late reply":            {lateReply: true},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(ctx context.Context, o Options, log *standin.Log, wait func(interface{ Wait() })) {
				follow := func(ctx context.Context, b *Biller) {
					o := o
					o.Log, o.OnReturn = log, b.LogReturned
					w := NewWallet(ctx, o, WalletSettings{})
					wait(b)
					wait(w)
				}
				witness := NewBiller(ctx, o, nil, BillSettings{})
				follow(ctx, witness)
				late := tc.lateReply
				o.Log = returningLog{log, func(stream string) bool {
					r := late && stream == billStream
					late = late && !r
					return r
				}, func() { time.Sleep(10 * time.Millisecond) }}
				holderCtx, kill := context.WithCancel(ctx)
				defer kill()
				holder := NewBiller(holderCtx, o, releasingWitness{witness}, BillSettings{})
				follow(holderCtx, holder)
				l := record.Bill{Organisation: "lys", Key: newKey(t), Cost: 7}
				if err := holder.RecordBill(ctx, l); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2*time.Second + tc.wait)
				if n := holder.HeldBills(); n != 0 && !tc.lateReply {
					t.Fatalf("%d bills are held after the confirmation", n)
				}
				if tc.kill {
					kill()
				}
				if !tc.lateReply {
					returnLog(log)
				}
				for range tc.regrow {
					if _, err := log.Append(ctx, billStream, []byte("x")); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Minute)
				if n := exportCounts(t, log, 0); len(n) != 1 || n[l.ID()] != 1 {
					t.Errorf("exported %v", n)
				}
				if n := witness.HeldBills(); n != 0 {
					t.Errorf("the witness holds %d bills", n)
				}
			})
		})
	}
}

// Guards against a part of a limit that is given out twice because an instance started from a snapshot that was written in the new era by one
// that did not know yet that the log had returned from an older copy.
func TestWalletSnapshotOfEarlierEra(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, o Options, log *standin.Log, wait func(interface{ Wait() })) {
		limited := organisationWithLimit(100)
		a := NewWallet(ctx, o, WalletSettings{MaxSnapshotAge: 100 * time.Hour})
		wait(a)
		if n := spendLimit(ctx, t, limited, a); n != 100 {
			t.Fatalf("%d of 100 requests", n)
		}
		a.mu.Lock()
		stale, err := a.state.Snapshot(a.logTime())
		a.mu.Unlock()
		if err != nil {
			t.Fatal(err)
		}
		log.SetFaults(standin.Faults{CopyAge: time.Hour})
		time.Sleep(time.Hour)
		if n := spendLimit(ctx, t, limited, a); n != 100 {
			t.Fatalf("%d of 100 requests in the next period", n)
		}
		for range stale.Covers {
			if _, err := log.Append(ctx, grantStream, []byte("{}")); err != nil {
				t.Fatal(err)
			}
		}
		a.appendBatch(record.GrantBatch{Snapshot: &stale})
		log.Trim(grantStream, platform.Offset(stale.Covers))
		late := NewWallet(ctx, o, WalletSettings{})
		wait(late)
		if n := spendLimit(ctx, t, limited, late); n != 0 {
			t.Errorf("%d requests above the limit", n)
		}
	})
}
