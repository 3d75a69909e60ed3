package bill

import (
	"fmt"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/claim"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// checkAge is the age from which a bill is appended with a check and confirmed only by reading the stream.
// Half of HoldBound leaves the other half for clock skew and for an append that is delayed on its way.
const checkAge = HoldBound / 2

// held is a bill that is not known to be in the log.
type held struct {
	bill record.Bill
	due  time.Time // of the next append
}

// Holder is the buffer of an instance's own bills; it never drops a bill before it is in the log.
type Holder struct {
	bound    int
	retry    time.Duration
	admitted int // requests that were let in and have no bill yet
	bills    map[record.BillID]*held
	order    []record.BillID // oldest first; may hold ids that were confirmed
}

// NewHolder returns a buffer for a number of bills; an append without a reply is repeated after retry.
func NewHolder(bound int, retry time.Duration) *Holder {
	return &Holder{bound: bound, retry: retry, bills: map[record.BillID]*held{}}
}

// Len returns the number of bills in the buffer.
func (h *Holder) Len() int { return len(h.bills) }

// Holds reports whether a bill is in the buffer.
func (h *Holder) Holds(b record.BillID) bool {
	_, ok := h.bills[b]
	return ok
}

// Bills returns the held bills that are not known to be in the log, for a planned stop that can't append them.
func (h *Holder) Bills() []record.Bill {
	l := make([]record.Bill, 0, len(h.bills))
	for _, b := range h.bills {
		l = append(l, b.bill)
	}
	sortBills(l)
	return l
}

// Admit keeps room for one bill, or refuses when the buffer is at its bound.
func (h *Holder) Admit() error {
	if n := len(h.bills) + h.admitted; n >= h.bound {
		return &Error{Op: "admit", Kind: ErrFull, Err: fmt.Errorf("%d bills are not in the log yet", n)}
	}
	h.admitted++
	return nil
}

// Cancel gives up the room of a request that has no bill.
func (h *Holder) Cancel() { h.admitted-- }

// Add takes a bill, also above the bound: the work it charges for is done. It reports whether the bill is new.
// The bill counts as issued when its key was, so that a copy made after the fold has forgotten the first one needs a check.
func (h *Holder) Add(now time.Time, b record.Bill) bool {
	if _, ok := h.bills[b.ID()]; ok {
		return false
	}
	b.Issued = firstIssue(b)
	h.bills[b.ID()] = &held{bill: b, due: now}
	h.order = append(h.order, b.ID())
	return true
}

// Due returns up to limit bills to append now, the fresh ones and the ones that need a check apart.
func (h *Holder) Due(now time.Time, limit int) (fresh, check []record.Bill) {
	h.compact()
	for _, k := range h.order {
		b, ok := h.bills[k]
		if !ok || now.Before(b.due) {
			continue
		}
		if len(fresh)+len(check) == limit {
			break
		}
		b.due = now.Add(h.retry)
		if needsCheck(now, b.bill) {
			check = append(check, b.bill)
		} else {
			fresh = append(fresh, b.bill)
		}
	}
	return fresh, check
}

// Appended takes the log's reply to an append of fresh bills and returns those that are now confirmed.
// The reply carries no record time, so it confirms only bills that are far from HoldBound.
func (h *Holder) Appended(now time.Time, l []record.Bill) []record.BillID {
	var done []record.BillID
	for _, b := range l {
		if needsCheck(now, b) {
			continue
		}
		if _, ok := h.bills[b.ID()]; ok {
			delete(h.bills, b.ID())
			done = append(done, b.ID())
		}
	}
	return done
}

// Read takes rulings read from the stream and returns the bills that are confirmed by them.
func (h *Holder) Read(l []Ruling) []record.BillID {
	var done []record.BillID
	for _, r := range l {
		k := r.Bill.ID()
		if _, ok := h.bills[k]; ok && r.Verdict != Late {
			delete(h.bills, k)
			done = append(done, k)
		}
	}
	return done
}

func (h *Holder) compact() {
	l := h.order[:0]
	for _, k := range h.order {
		if _, ok := h.bills[k]; ok {
			l = append(l, k)
		}
	}
	h.order = l
}

// firstIssue returns when the first bill under a key can have been issued. An order is replayed, and billed again under
// its key, for as long as its outcome is known. Other keys stand for one request only while they are this young: the
// caller chooses them, and a key from long ago must not make the stream unable to prove that the bill is the first.
func firstIssue(b record.Bill) time.Time {
	t, err := claim.Issued(b.Key)
	old := b.Service == "" && b.Issued.Sub(t) > claim.Window+HoldBound
	if err != nil || old || t.After(b.Issued) {
		return b.Issued
	}
	return t
}

func needsCheck(now time.Time, b record.Bill) bool {
	d := now.Sub(b.Issued)
	return d > checkAge || d < -Skew/2
}
