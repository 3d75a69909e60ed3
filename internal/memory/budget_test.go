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

// endless yields bytes without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// TestReadAll guards against bodies that are read beyond their limit or the budget, and against ones that are changed.
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
		"without end":     {endless{}, 1 << 16, 1 << 20, 0, ErrTooLarge},
		"beyond budget":   {endless{}, 1 << 20, 1 << 16, 0, ErrFull},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(c.size)
			h := b.Hold()
			out, err := ReadAll(c.r, c.limit, h.Grow)
			if kindOf(err) != c.kind || len(out) != c.want || !bytes.Equal(out, bytes.Repeat([]byte("x"), c.want)) {
				t.Errorf("%d bytes, error %v", len(out), err)
			}
			h.Free()
			if err := b.Hold().Grow(b.Most()); err != nil {
				t.Errorf("after the end: %v", err)
			}
		})
	}
}

// TestCut guards against a body that is cut off and taken for a whole one.
func TestCut(t *testing.T) {
	r := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF))
	if out, err := ReadAll(r, 100, NewBudget(1<<20).Hold().Grow); err == nil {
		t.Errorf("%q without an error", out)
	}
}

// TestHoldWaits guards against a wait that does not end with its context, and against bytes that are not handed on.
func TestHoldWaits(t *testing.T) {
	b := NewBudget(100)
	a, c := b.Hold(), b.Hold()
	if err := a.Grow(50); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := c.Wait(ctx, 30); kindOf(err) != ErrFull {
		t.Errorf("beyond the budget: %v", err)
	}
	a.Free()
	if err := c.Wait(t.Context(), 30); err != nil {
		t.Errorf("after the end of another one: %v", err)
	}
}

// TestFewLeaveRoom guards against users that grow without end and leave nothing for small ones.
func TestFewLeaveRoom(t *testing.T) {
	b := NewBudget(1 << 20)
	for range 100 {
		for h := b.Hold(); h.Grow(4<<10) == nil; {
		}
	}
	small := 0
	for ; small < 100 && b.Hold().Grow(100) == nil; small++ {
	}
	if small < 20 {
		t.Errorf("room for %d small users beside 100 large ones", small)
	}
}

// TestMost guards against a budget that can't take a single body of the size that it states, or takes a larger one.
func TestMost(t *testing.T) {
	for _, size := range []int64{1 << 20, 1<<20 + 1, 100_000} {
		b := NewBudget(size)
		for name, c := range map[string]struct {
			n  int64
			ok bool
		}{"most": {b.Most(), true}, "more": {b.Most() + 1, false}} {
			h := b.Hold()
			_, err := ReadAll(strings.NewReader(strings.Repeat("x", int(c.n))), b.Most(), h.Grow)
			if (err == nil) != c.ok {
				t.Errorf("%s of %d bytes: %v", name, size, err)
			}
			h.Free()
		}
	}
}
