package answer

import (
	"strings"

	"github.com/cassiaspoke/cassiaspoke/internal/memory"
)

// heldText is the text of an answer that is kept, with its memory.
type heldText struct {
	builder     strings.Builder
	reservation *memory.Reservation // nil for no limit
	reserved    int
}

func newHeldText(b *memory.Budget) *heldText {
	if b == nil {
		return &heldText{}
	}
	return &heldText{reservation: b.NewReservation()}
}

// add appends a piece, or fails if there is no memory for it.
func (t *heldText) add(s string) error {
	if n := t.builder.Len() + len(s); t.reservation != nil && n > t.builder.Cap() {
		n = max(n, 2*t.builder.Cap()+len(s)) // the builder may double
		if n > t.reserved {
			if err := t.reservation.Grow(int64(n - t.reserved)); err != nil {
				return &Error{Op: "keep", Kind: ErrOverload, Err: err}
			}
			t.reserved = n
		}
	}
	t.builder.WriteString(s)
	return nil
}

// String returns the text.
func (t *heldText) String() string { return t.builder.String() }

// release drops the text and releases its memory.
func (t *heldText) release() {
	t.builder.Reset()
	if t.reservation != nil {
		t.reservation.Release()
		t.reserved = 0
	}
}
