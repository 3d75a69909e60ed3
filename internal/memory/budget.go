package memory

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// initialBufferSize is the size in bytes of a new read buffer. The buffer doubles as bytes arrive and ignores the stated
// length of a body, so a sender can't make an instance reserve memory by only stating a length.
const initialBufferSize = 4 << 10

// smallShare is the share of a budget that a reservation of up to initialBufferSize bytes may have to count as small.
const smallShare = 1. / 1024

// Budget limits the bytes that are reserved at one time for one purpose. A single reservation may hold no more bytes than
// remain free for all others, so a few that keep growing leave room for small ones (dynamic thresholds, Choudhury and
// Hahne 1998). Reservations that stop growing without being released still add up: each takes half of what the others left. So the
// last quarter of the budget is kept for reservations of up to 4 KiB.
type Budget struct {
	size int64

	mu      sync.Mutex
	used    int64
	freed   chan struct{}             // closed and replaced when bytes are released
	senders map[*Reservation]struct{} // reservations that end early when others need their bytes
}

// NewBudget returns a budget of size bytes, all of them free.
func NewBudget(size int64) *Budget { return &Budget{size: size, freed: make(chan struct{})} }

// MaxBodySize returns the size in bytes of the largest body that ReadAll can read. That is one byte less than can be
// reserved, as the end of a body is only detected by a read into one more byte.
func (b *Budget) MaxBodySize() int64 { return b.size/2 - 1 }

// Reservation is a reservation of bytes from a budget; it is not safe for concurrent use.
type Reservation struct {
	budget   *Budget
	reserved int64
	cancel   func() // ends the transfer; nil if there is none, guarded by budget.mu
	begun    time.Time
	lastRead time.Time
	received int64
}

// NewReservation returns a new reservation of zero bytes.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b} }

// tryReserve reserves n more bytes and returns nil. If too few are free, it returns a channel that is closed when bytes are
// released.
func (r *Reservation) tryReserve(n int64) <-chan struct{} {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasRoom(r.reserved+n, n) {
		b.cancelSlowest(r, time.Now())
		return b.freed
	}
	b.used += n
	r.reserved += n
	return nil
}

// hasRoom reports whether a reservation of total bytes may have n more. The caller must hold the lock.
func (b *Budget) hasRoom(total, n int64) bool {
	left := b.size - b.used - n
	if total <= min(initialBufferSize, int64(smallShare*float64(b.size))) {
		return left >= 0
	}
	return left >= max(total, b.size/4)
}

// Grow reserves n more bytes, or fails at once if too few are free.
func (r *Reservation) Grow(n int64) error {
	if r.tryReserve(n) != nil {
		return &Error{Op: "grow", Kind: ErrBudgetExceeded}
	}
	return nil
}

// GrowWait reserves n more bytes, and waits until enough are free or the context ends.
func (r *Reservation) GrowWait(ctx context.Context, n int64) error {
	for {
		freed := r.tryReserve(n)
		if freed == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{Op: "wait", Kind: ErrBudgetExceeded, Err: ctx.Err()}
		case <-freed:
		}
	}
}

// Release releases all bytes of the reservation.
func (r *Reservation) Release() {
	if r.reserved == 0 {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.senders, r)
	r.cancel = nil
	b.used -= r.reserved
	r.reserved = 0
	close(b.freed)
	b.freed = make(chan struct{})
}

// ReadAll reads until the end, or fails if there are more than limit bytes. It calls reserve before its buffer grows by n
// bytes.
func ReadAll(r io.Reader, limit int64, reserve func(n int64) error) ([]byte, error) {
	var b []byte
	for {
		if len(b) == cap(b) {
			if int64(len(b)) > limit {
				return nil, &Error{Op: "read", Kind: ErrTooLarge, Err: fmt.Errorf("more than %d bytes", limit)}
			}
			n := min(max(initialBufferSize, 2*int64(cap(b))), limit+1)
			if err := reserve(n - int64(cap(b))); err != nil {
				return nil, err
			}
			b = append(make([]byte, 0, n), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case int64(len(b)) > limit:
			return nil, &Error{Op: "read", Kind: ErrTooLarge, Err: fmt.Errorf("more than %d bytes", limit)}
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}
