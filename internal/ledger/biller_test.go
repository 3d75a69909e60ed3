package ledger

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// brokenWitness is a Witness that never takes a bill.
type brokenWitness struct{}

func (brokenWitness) HoldBill(context.Context, record.Bill) error { return errors.New("no peer") }

// exportCounts returns how often each bill is exported from an offset on.
func exportCounts(t *testing.T, log platform.Log, from platform.Offset) map[record.BillID]int {
	t.Helper()
	n := map[record.BillID]int{}
	_, err := ExportBills(context.Background(), log, from, func(x ExportedBill) error {
		n[x.Bill.ID()]++
		if x.Unproven {
			t.Errorf("bill %v is unproven", x.Bill.ID())
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against sending the last byte of an answer before a witness or the log has the bill, and against lost or doubled
// bills.
func TestBillerRelease(t *testing.T) {
	for name, tc := range map[string]struct {
		witness Witness
		faults  standin.Faults
		want    ErrorKind
	}{
		"log":                 {},
		"log reply lost":      {faults: standin.Faults{LoseReplies: 2}},
		"broken witness":      {witness: brokenWitness{}},
		"log down":            {faults: standin.Faults{Down: true}, want: ErrLogUnavailable},
		"both down":           {witness: brokenWitness{}, faults: standin.Faults{Down: true}, want: ErrLogUnavailable},
		"log down, witnessed": {witness: &Biller{}, faults: standin.Faults{Down: true}},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(ctx context.Context, o Options, log *standin.Log, wait func(interface{ Wait() })) {
				peer := NewBiller(ctx, o, nil, BillSettings{})
				wait(peer)
				if _, ok := tc.witness.(*Biller); ok {
					tc.witness = peer
				}
				b := NewBiller(ctx, o, tc.witness, BillSettings{})
				wait(b)
				log.SetFaults(tc.faults)
				short, cancel := context.WithTimeout(ctx, 20*time.Second)
				defer cancel()
				l := record.Bill{Organisation: "lys", Key: "k", Cost: 7}
				if err := b.RecordBill(short, l); errorKind(err) != tc.want {
					t.Errorf("bill: %v, want %q", err, tc.want)
				}
				log.SetFaults(standin.Faults{})
				if err := errors.Join(b.FlushBills(ctx), peer.FlushBills(ctx)); err != nil {
					t.Fatal(err)
				}
				if n := exportCounts(t, log, 0); len(n) != 1 || n[l.ID()] != 1 {
					t.Errorf("exported %v", n)
				}
			})
		})
	}
}

// Guards against a bill that is lost because its holder dies, and against a bill that counts twice because two instances
// append it after a long outage.
func TestBillerLongOutage(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, o Options, log *standin.Log, wait func(interface{ Wait() })) {
		peer := NewBiller(ctx, o, nil, BillSettings{})
		wait(peer)
		dying, kill := context.WithCancel(ctx)
		lost := NewBiller(dying, o, peer, BillSettings{})
		alive := NewBiller(ctx, o, peer, BillSettings{})
		wait(lost)
		wait(alive)
		log.SetFaults(standin.Faults{Down: true})
		one, two := record.Bill{Organisation: "lys", Key: "1"}, record.Bill{Organisation: "lys", Key: "2"}
		if err := errors.Join(lost.RecordBill(ctx, one), alive.RecordBill(ctx, two)); err != nil {
			t.Fatal(err)
		}
		kill()
		time.Sleep(40 * time.Minute)
		log.SetFaults(standin.Faults{LoseReplies: 2})
		time.Sleep(time.Minute)
		if n := alive.HeldBills() + peer.HeldBills(); n != 0 {
			t.Errorf("%d bills are still held", n)
		}
		for from := range platform.Offset(2) {
			if n := exportCounts(t, log, from); from == 0 && (n[one.ID()] != 1 || n[two.ID()] != 1 || len(n) != 2) {
				t.Errorf("exported %v", n)
			}
		}
	})
}

// Guards against admitting work whose bill does not fit into the buffer.
func TestBillerBound(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, o Options, log *standin.Log, wait func(interface{ Wait() })) {
		b := NewBiller(ctx, o, nil, BillSettings{MaxHeldBills: 1})
		wait(b)
		log.SetFaults(standin.Faults{Down: true})
		a, err := b.ReserveBuffer()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := b.ReserveBuffer(); errorKind(err) != ErrBufferFull {
			t.Errorf("admission at the bound: %v", err)
		}
		a.Close()
		a.Close()
		if _, err := b.ReserveBuffer(); err != nil {
			t.Errorf("admission after a close: %v", err)
		}
	})
}
