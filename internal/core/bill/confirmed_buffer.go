package bill

import (
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// ConfirmedBuffer keeps bills for a while after they were confirmed to be in the log, as a log that returns from an older copy loses the
// latest ones. The zero value keeps none.
type ConfirmedBuffer struct {
	capacity int
	keepFor  time.Duration
	bills    []confirmedBill // oldest first
}

type confirmedBill struct {
	bill  record.Bill
	until time.Time
}

// NewConfirmedBuffer returns an empty buffer with a capacity in bills, each of which it keeps for a time.
func NewConfirmedBuffer(capacity int, keepFor time.Duration) ConfirmedBuffer {
	return ConfirmedBuffer{capacity: capacity, keepFor: keepFor}
}

// Add adds bills and drops those that were kept for long enough, and the oldest ones above the capacity.
func (c *ConfirmedBuffer) Add(now time.Time, bills []record.Bill) {
	for _, b := range bills {
		c.bills = append(c.bills, confirmedBill{b, now.Add(c.keepFor)})
	}
	c.dropExpired(now)
	if over := len(c.bills) - c.capacity; over > 0 {
		c.bills = slices.Delete(c.bills, 0, over)
	}
}

// TakeAll removes and returns the bills that were not kept for long enough yet.
func (c *ConfirmedBuffer) TakeAll(now time.Time) []record.Bill {
	c.dropExpired(now)
	taken := make([]record.Bill, 0, len(c.bills))
	for _, b := range c.bills {
		taken = append(taken, b.bill)
	}
	c.bills = nil
	return taken
}

func (c *ConfirmedBuffer) dropExpired(now time.Time) {
	n := 0
	for n < len(c.bills) && !now.Before(c.bills[n].until) {
		n++
	}
	c.bills = slices.Delete(c.bills, 0, n)
}
