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
	dueAt time.Time // the time of the next append, or of the adoption of a copy
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
func (h *Buffer) Len() int { return len(h.bills) }

// Contains reports whether a bill is in the buffer.
func (h *Buffer) Contains(b record.BillID) bool {
	_, ok := h.bills[b]
	return ok
}

// Bills returns the bills in the buffer, for a planned stop that can't append them.
func (h *Buffer) Bills() []record.Bill {
	unconfirmed := make([]record.Bill, 0, len(h.bills))
	for _, b := range h.bills {
		unconfirmed = append(unconfirmed, b.bill)
	}
	sortBills(unconfirmed)
	return unconfirmed
}

// Reserve reserves capacity for one bill, or returns an error of kind ErrFull.
func (h *Buffer) Reserve() error {
	if n := len(h.bills) + h.reserved; n >= h.capacity {
		return &Error{Op: "admit", Kind: ErrFull, Err: fmt.Errorf("%d bills are not in the log yet", n)}
	}
	h.reserved++
	return nil
}

// ReleaseReservation releases the capacity that Reserve reserved.
func (h *Buffer) ReleaseReservation() { h.reserved-- }

// Add adds a bill and reports whether it is new. It accepts a bill above the capacity, because the work that the bill
// charges for is done. It sets the time of issue to that of the key, so that a second bill needs a check after the
// projection has evicted the first one.
func (h *Buffer) Add(now time.Time, b record.Bill) bool {
	if _, ok := h.bills[b.ID()]; ok {
		return false
	}
	b.Issued = earliestIssue(b)
	h.bills[b.ID()] = &bufferedBill{bill: b, dueAt: now}
	h.order = append(h.order, b.ID())
	return true
}

// TakeDue returns up to limit bills to append now: those that need no check, and those that do.
func (h *Buffer) TakeDue(now time.Time, limit int) (fresh, check []record.Bill) {
	h.compactOrder()
	for _, k := range h.order {
		b, ok := h.bills[k]
		if !ok || now.Before(b.dueAt) {
			continue
		}
		if len(fresh)+len(check) == limit {
			break
		}
		b.dueAt = now.Add(h.retryDelay)
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
func (h *Buffer) ConfirmAppended(now time.Time, appended []record.Bill) []record.BillID {
	var confirmed []record.BillID
	for _, b := range appended {
		if needsCheck(now, b) {
			continue
		}
		if _, ok := h.bills[b.ID()]; ok {
			delete(h.bills, b.ID())
			confirmed = append(confirmed, b.ID())
		}
	}
	return confirmed
}

// ConfirmRead removes and returns the bills that are confirmed by decisions on records of the stream.
func (h *Buffer) ConfirmRead(decisions []Decision) []record.BillID {
	var confirmed []record.BillID
	for _, r := range decisions {
		k := r.Bill.ID()
		if _, ok := h.bills[k]; ok && r.Verdict != CheckRequired {
			delete(h.bills, k)
			confirmed = append(confirmed, k)
		}
	}
	return confirmed
}

// compactOrder removes confirmed bills from h.order.
func (h *Buffer) compactOrder() {
	remaining := h.order[:0]
	for _, k := range h.order {
		if _, ok := h.bills[k]; ok {
			remaining = append(remaining, k)
		}
	}
	h.order = remaining
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
