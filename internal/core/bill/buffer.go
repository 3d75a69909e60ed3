package bill

import (
	"fmt"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/claim"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// checkAge is the maximum age of a bill that is appended without a check and confirmed by the log's reply alone. The other
// half of MaxUncheckedAge is left for clock skew and for an append that is delayed in the network.
const checkAge = MaxUncheckedAge / 2

// bufferedBill is a bill that is not confirmed to be in the log.
type bufferedBill struct {
	bill  record.Bill
	dueAt time.Time // the time of the next append, or the time at which a copy is taken over
}

// Buffer is the buffer of an instance's own bills. It keeps a bill until the bill is confirmed to be in the log.
type Buffer struct {
	capacity   int
	retryDelay time.Duration
	reserved   int // calls of Reserve without a ReleaseReservation yet
	bills      map[record.BillID]*bufferedBill
	order      []record.BillID // oldest first; it may contain bills that were confirmed
}

// NewBuffer returns an empty buffer with a capacity in bills. An unconfirmed bill is appended again after retryDelay.
func NewBuffer(capacity int, retryDelay time.Duration) *Buffer {
	return &Buffer{capacity: capacity, retryDelay: retryDelay, bills: map[record.BillID]*bufferedBill{}}
}

// Len returns the number of bills in the buffer.
func (u *Buffer) Len() int { return len(u.bills) }

// Contains reports whether a bill is in the buffer.
func (u *Buffer) Contains(b record.BillID) bool {
	_, ok := u.bills[b]
	return ok
}

// Bills returns the bills in the buffer, for a planned stop that can't append them.
func (u *Buffer) Bills() []record.Bill {
	unconfirmed := make([]record.Bill, 0, len(u.bills))
	for _, b := range u.bills {
		unconfirmed = append(unconfirmed, b.bill)
	}
	sortBills(unconfirmed)
	return unconfirmed
}

// Reserve reserves capacity for one bill, or returns an error of kind ErrFull.
func (u *Buffer) Reserve() error {
	if n := len(u.bills) + u.reserved; n >= u.capacity {
		return &Error{Op: "admit", Kind: ErrFull, Err: fmt.Errorf("%d bills are not in the log yet", n)}
	}
	u.reserved++
	return nil
}

// ReleaseReservation releases the capacity that Reserve reserved.
func (u *Buffer) ReleaseReservation() { u.reserved-- }

// Add adds a bill and reports whether it is new. It accepts a bill above the capacity, because the work that the bill
// charges for is done. It sets the time of issue to that of the key, so that a second bill needs a check after the
// projection has evicted the first one.
func (u *Buffer) Add(now time.Time, b record.Bill) bool {
	if _, ok := u.bills[b.ID()]; ok {
		return false
	}
	b.Issued = earliestIssue(b)
	u.bills[b.ID()] = &bufferedBill{bill: b, dueAt: now}
	u.order = append(u.order, b.ID())
	return true
}

// TakeDue returns up to limit bills to append now: those that need no check, and those that do.
func (u *Buffer) TakeDue(now time.Time, limit int) (fresh, check []record.Bill) {
	u.compactOrder()
	for _, k := range u.order {
		b, ok := u.bills[k]
		if !ok || now.Before(b.dueAt) {
			continue
		}
		if len(fresh)+len(check) == limit {
			break
		}
		b.dueAt = now.Add(u.retryDelay)
		if needsCheck(now, b.bill) {
			check = append(check, b.bill)
		} else {
			fresh = append(fresh, b.bill)
		}
	}
	return fresh, check
}

// ConfirmAppended removes and returns the bills that are confirmed by the log's reply to an append of fresh bills. The reply
// contains no record time, so it confirms only bills that don't need a check yet.
func (u *Buffer) ConfirmAppended(now time.Time, appended []record.Bill) []record.BillID {
	var confirmed []record.BillID
	for _, b := range appended {
		if needsCheck(now, b) {
			continue
		}
		if _, ok := u.bills[b.ID()]; ok {
			delete(u.bills, b.ID())
			confirmed = append(confirmed, b.ID())
		}
	}
	return confirmed
}

// ConfirmRead removes and returns the bills that are confirmed by decisions on records of the stream.
func (u *Buffer) ConfirmRead(decisions []Decision) []record.BillID {
	var confirmed []record.BillID
	for _, r := range decisions {
		k := r.Bill.ID()
		if _, ok := u.bills[k]; ok && r.Verdict != CheckRequired {
			delete(u.bills, k)
			confirmed = append(confirmed, k)
		}
	}
	return confirmed
}

// compactOrder removes confirmed bills from h.order.
func (u *Buffer) compactOrder() {
	remaining := u.order[:0]
	for _, k := range u.order {
		if _, ok := u.bills[k]; ok {
			remaining = append(remaining, k)
		}
	}
	u.order = remaining
}

// earliestIssue returns the earliest time at which a bill with the same key can have been issued: the time of issue of the
// key. An order is replayed, and billed again under its key, for as long as its outcome is known. Any other key that is
// older than ClaimWindow + MaxUncheckedAge counts as a new request and keeps the bill's own time of issue: callers choose the
// keys, and with an old one the stream could not prove that no earlier copy of the bill counts.
func earliestIssue(b record.Bill) time.Time {
	t, err := claim.KeyIssueTime(b.Key)
	newRequest := b.Service == "" && b.Issued.Sub(t) > claim.ClaimWindow+MaxUncheckedAge
	if err != nil || newRequest || t.After(b.Issued) {
		return b.Issued
	}
	return t
}

// needsCheck reports whether a bill must be appended with a check of the stream.
func needsCheck(now time.Time, b record.Bill) bool {
	d := now.Sub(b.Issued)
	return d > checkAge || d < -MaxClockSkew/2
}
