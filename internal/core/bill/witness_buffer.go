package bill

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// WitnessBuffer is the buffer of an instance's copies of other instances' bills.
type WitnessBuffer struct {
	capacity      int
	holderTimeout time.Duration
	bills         map[record.BillID]bufferedBill
}

// NewWitnessBuffer returns an empty buffer with a capacity in copies. TakeUnreleased returns a copy that its holder has
// not released within holderTimeout.
func NewWitnessBuffer(capacity int, holderTimeout time.Duration) *WitnessBuffer {
	return &WitnessBuffer{capacity: capacity, holderTimeout: holderTimeout, bills: map[record.BillID]bufferedBill{}}
}

// Len returns the number of copies in the buffer.
func (w *WitnessBuffer) Len() int { return len(w.bills) }

// Add adds a copy, or returns an error of kind ErrFull. It ignores a copy that is in the buffer already.
func (w *WitnessBuffer) Add(now time.Time, b record.Bill) error {
	if _, ok := w.bills[b.ID()]; ok {
		return nil
	}
	if len(w.bills) >= w.capacity {
		return &Error{Op: "hold", Kind: ErrFull, Err: fmt.Errorf("%d copies are held", len(w.bills))}
	}
	w.bills[b.ID()] = bufferedBill{bill: b, dueAt: now.Add(w.holderTimeout)}
	return nil
}

// Remove removes and returns the copies of bills that are in the log.
func (w *WitnessBuffer) Remove(ids []record.BillID) []record.Bill {
	var removed []record.Bill
	for _, k := range ids {
		if b, ok := w.bills[k]; ok {
			removed = append(removed, b.bill)
			delete(w.bills, k)
		}
	}
	return removed
}

// TakeUnreleased removes and returns the copies that their holders did not release in time. The caller appends them as
// its own bills.
func (w *WitnessBuffer) TakeUnreleased(now time.Time) []record.Bill {
	var taken []record.Bill
	for k, b := range w.bills {
		if !now.Before(b.dueAt) {
			taken = append(taken, b.bill)
			delete(w.bills, k)
		}
	}
	sortBills(taken)
	return taken
}

// Drain removes and returns all copies, for a planned stop.
func (w *WitnessBuffer) Drain() []record.Bill {
	all := make([]record.Bill, 0, len(w.bills))
	for _, b := range w.bills {
		all = append(all, b.bill)
	}
	clear(w.bills)
	sortBills(all)
	return all
}

// sortBills orders bills by time of issue, organisation and key, so that the results don't depend on the map order.
func sortBills(l []record.Bill) {
	slices.SortFunc(l, func(a, b record.Bill) int {
		return cmp.Or(a.Issued.Compare(b.Issued), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Key, b.Key))
	})
}
