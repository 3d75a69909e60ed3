package bill

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Witness is the buffer of copies that an instance keeps of other instances' bills.
type Witness struct {
	bound   int
	silence time.Duration
	bills   map[record.BillID]held
}

// NewWitness returns a buffer for a number of copies; a copy that its holder has not released after silence is adopted.
func NewWitness(bound int, silence time.Duration) *Witness {
	return &Witness{bound: bound, silence: silence, bills: map[record.BillID]held{}}
}

// Len returns the number of copies in the buffer.
func (w *Witness) Len() int { return len(w.bills) }

// Hold keeps a copy, or refuses when the buffer is at its bound; a repeated message keeps one copy.
func (w *Witness) Hold(now time.Time, b record.Bill) error {
	if _, ok := w.bills[b.ID()]; ok {
		return nil
	}
	if len(w.bills) >= w.bound {
		return &Error{Op: "hold", Kind: ErrFull, Err: fmt.Errorf("%d copies are held", len(w.bills))}
	}
	w.bills[b.ID()] = held{bill: b, due: now.Add(w.silence)}
	return nil
}

// Release drops copies whose bills are in the log.
func (w *Witness) Release(l []record.BillID) {
	for _, k := range l {
		delete(w.bills, k)
	}
}

// Adopt removes and returns the copies whose holder is silent; the caller appends them as its own.
func (w *Witness) Adopt(now time.Time) []record.Bill {
	var l []record.Bill
	for k, b := range w.bills {
		if !now.Before(b.due) {
			l = append(l, b.bill)
			delete(w.bills, k)
		}
	}
	sortBills(l)
	return l
}

// All removes and returns every copy, for a planned stop.
func (w *Witness) All() []record.Bill {
	l := make([]record.Bill, 0, len(w.bills))
	for _, b := range w.bills {
		l = append(l, b.bill)
	}
	clear(w.bills)
	sortBills(l)
	return l
}

func sortBills(l []record.Bill) {
	slices.SortFunc(l, func(a, b record.Bill) int {
		return cmp.Or(a.Issued.Compare(b.Issued), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Key, b.Key))
	})
}
