package memory

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
)

const firstRead = 4 << 10 // bytes of a buffer at first; it doubles, so that a stated length alone takes nothing

// Budget bounds the bytes that are held at one time for one purpose. One user may take no more than is left for all
// others, so a few that never stop growing leave room for small ones (dynamic thresholds, Choudhury and Hahne 1998).
type Budget struct {
	size int64

	mu    sync.Mutex
	used  int64
	freed chan struct{} // closed and replaced when bytes are given back
}

// NewBudget returns an unused budget of some bytes.
func NewBudget(size int64) *Budget { return &Budget{size: size, freed: make(chan struct{})} }

// Most returns the bytes of the largest body that can be read; its end shows one byte later.
func (b *Budget) Most() int64 { return b.size/2 - 1 }

// Hold is what one user of a budget has taken; it is not safe for concurrent use.
type Hold struct {
	budget *Budget
	taken  int64
}

// Hold returns a hold without any bytes.
func (b *Budget) Hold() *Hold { return &Hold{budget: b} }

// take takes bytes if they are free, and returns a channel that tells of bytes given back otherwise.
func (h *Hold) take(n int64) <-chan struct{} {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.taken+n > b.size-b.used-n {
		return b.freed
	}
	b.used += n
	h.taken += n
	return nil
}

// Grow takes more bytes, or fails at once if they are not free.
func (h *Hold) Grow(n int64) error {
	if h.take(n) != nil {
		return &Error{Op: "grow", Kind: ErrFull}
	}
	return nil
}

// Wait takes more bytes and waits for them until the context ends.
func (h *Hold) Wait(ctx context.Context, n int64) error {
	for {
		freed := h.take(n)
		if freed == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{Op: "wait", Kind: ErrFull, Err: ctx.Err()}
		case <-freed:
		}
	}
}

// Free gives all bytes back.
func (h *Hold) Free() {
	if h.taken == 0 {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= h.taken
	h.taken = 0
	close(b.freed)
	b.freed = make(chan struct{})
}

// ReadAll reads to the end, but not more than a limit; grow is asked before the buffer grows.
func ReadAll(r io.Reader, limit int64, grow func(n int64) error) ([]byte, error) {
	var b []byte
	for {
		if len(b) == cap(b) {
			if int64(len(b)) > limit {
				return nil, &Error{Op: "read", Kind: ErrTooLarge, Err: fmt.Errorf("more than %d bytes", limit)}
			}
			n := min(max(firstRead, 2*int64(cap(b))), limit+1)
			if err := grow(n - int64(cap(b))); err != nil {
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
