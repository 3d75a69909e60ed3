package memory

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

func kindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// endlessReader never reaches its end.
type endlessReader struct{}

func (endlessReader) Read(b []byte) (int, error) { return len(b), nil }

// TestReadAll guards against reading a body beyond its limit or the budget, and against changing it.
func TestReadAll(t *testing.T) {
	for name, c := range map[string]struct {
		r     io.Reader
		limit int64
		size  int64
		want  int
		kind  ErrorKind
	}{
		"empty":           {strings.NewReader(""), 10, 1 << 20, 0, ""},
		"at the limit":    {strings.NewReader(strings.Repeat("x", 10)), 10, 1 << 20, 10, ""},
		"above the limit": {strings.NewReader(strings.Repeat("x", 11)), 10, 1 << 20, 0, ErrTooLarge},
		"in small pieces": {iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 9000))), 1 << 20, 1 << 20, 9000, ""},
		"without end":     {endlessReader{}, 1 << 16, 1 << 20, 0, ErrTooLarge},
		"beyond budget":   {endlessReader{}, 1 << 20, 1 << 16, 0, ErrBudgetExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(c.size)
			h := b.NewReservation()
			out, err := ReadAll(c.r, c.limit, h.Grow)
			if kindOf(err) != c.kind || len(out) != c.want || !bytes.Equal(out, bytes.Repeat([]byte("x"), c.want)) {
				t.Errorf("%d bytes, error %v", len(out), err)
			}
			h.Release()
			if err := b.NewReservation().Grow(b.MaxBodySize()); err != nil {
				t.Errorf("after all bytes were released: %v", err)
			}
		})
	}
}

// TestTruncatedBody guards against returning a truncated body as a complete one.
func TestTruncatedBody(t *testing.T) {
	r := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF))
	if out, err := ReadAll(r, 100, NewBudget(1<<20).NewReservation().Grow); err == nil {
		t.Errorf("got truncated body %q without an error", out)
	}
}

// TestGrowWait guards against a wait that does not end with its context, and against released bytes that a waiting
// reservation does not get.
func TestGrowWait(t *testing.T) {
	b := NewBudget(100)
	first, second := b.NewReservation(), b.NewReservation()
	if err := first.Grow(50); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := second.GrowWait(ctx, 30); kindOf(err) != ErrBudgetExceeded {
		t.Errorf("beyond the budget: %v", err)
	}
	first.Release()
	if err := second.GrowWait(t.Context(), 30); err != nil {
		t.Errorf("after the other reservation was released: %v", err)
	}
}

// TestFewLeaveRoom guards against reservations that keep growing and leave nothing for small ones.
func TestFewLeaveRoom(t *testing.T) {
	b := NewBudget(1 << 20)
	for range 100 {
		for h := b.NewReservation(); h.Grow(4<<10) == nil; {
		}
	}
	small := 0
	for ; small < 100 && b.NewReservation().Grow(100) == nil; small++ {
	}
	if small < 20 {
		t.Errorf("room for only %d small reservations beside 100 large ones", small)
	}
}

// TestMaxBodySize guards against a budget that has no room for a single body of the size that MaxBodySize returns, or
// has room for a larger one.
func TestMaxBodySize(t *testing.T) {
	for _, size := range []int64{1 << 20, 1<<20 + 1, 100_000} {
		b := NewBudget(size)
		for name, c := range map[string]struct {
			n  int64
			ok bool
		}{"most": {b.MaxBodySize(), true}, "more": {b.MaxBodySize() + 1, false}} {
			h := b.NewReservation()
			_, err := ReadAll(strings.NewReader(strings.Repeat("x", int(c.n))), b.MaxBodySize(), h.Grow)
			if (err == nil) != c.ok {
				t.Errorf("%s of %d bytes: %v", name, size, err)
			}
			h.Release()
		}
	}
}

// TestStalledLeaveRoom guards against reservations that took what they could and keep it, because their senders have stopped, and
// leave nothing for small ones: each may take half of what the ones before it left.
func TestStalledLeaveRoom(t *testing.T) {
	const size, all = 184 << 20 / 16, 524 // of the smallest instances, and their requests at a time
	for name, c := range map[string]struct {
		largest int64 // of the stalled reservations
		stalled int
	}{
		"large":         {4 << 20, 100},
		"one after one": {4 << 20, 12},
		"of 128 KiB":    {128 << 10, 400},
		"of 8 KiB":      {8 << 10, all - 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(size)
			for range c.stalled {
				r, n := b.NewReservation(), int64(initialBufferSize)
				for total := n; total <= c.largest && r.Grow(n) == nil; total += n {
					n = total
				}
			}
			for i := range all - c.stalled {
				if err := b.NewReservation().Grow(initialBufferSize); err != nil {
					t.Fatalf("reservation %d of %d bytes: %v", i, initialBufferSize, err)
				}
			}
		})
	}
}
