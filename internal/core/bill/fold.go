package bill

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	// HoldBound is how long after its issue a bill counts without a check.
	HoldBound = 10 * time.Minute
	// Skew bounds the difference between an instance's clock and the log's.
	Skew = time.Minute
	// LookBack is how far before its start, by log time, a reader begins to read.
	LookBack = HoldBound + Skew
)

// Verdict is what the fold says about a bill in the stream.
type Verdict string

// Verdicts on a bill.
const (
	First     Verdict = "first"     // the bill counts
	Duplicate Verdict = "duplicate" // an earlier copy counts
	Late      Verdict = "late"      // the copy does not count; its holder must check the stream and append it again
	Unproven  Verdict = "unproven"  // the stream no longer proves that no earlier copy counts; an operator decides
)

// Ruling is the verdict on one bill; every reader makes the same ruling.
type Ruling struct {
	Bill    record.Bill
	Verdict Verdict
}

// id identifies a bill in a fold. Callers choose keys, so the hash must resist collisions.
type id [16]byte

func newID(b record.BillID) id {
	h := sha256.Sum256([]byte(b.Organisation + "\x00" + b.Key))
	return id(h[:16])
}

// Fold keeps the first bill per organisation and key after all offsets below Next.
type Fold struct {
	next    uint64
	now     time.Time
	seen    map[id]struct{}
	minutes map[int64][]id // seen bills by minute of log time
	oldest  int64
}

// NewFold returns a fold that starts at an offset; its rulings hold from LookBack after the start on.
func NewFold(start uint64) *Fold {
	return &Fold{next: start, seen: map[id]struct{}{}, minutes: map[int64][]id{}}
}

// Next returns the offset that the fold needs next.
func (f *Fold) Next() uint64 { return f.next }

// Len returns the number of bills that the fold remembers.
func (f *Fold) Len() int { return len(f.seen) }

// Apply folds the batch at an offset and returns the rulings on its bills; offsets below Next are ignored.
func (f *Fold) Apply(offset uint64, now time.Time, b record.BillBatch) ([]Ruling, error) {
	if offset < f.next {
		return nil, nil
	}
	if offset > f.next {
		return nil, &Error{Op: "apply", Kind: ErrGap, Err: fmt.Errorf("offset %d after %d", offset, f.next)}
	}
	f.next++
	if now.After(f.now) {
		f.now = now
	}
	f.forget()
	l := make([]Ruling, len(b.Bills))
	for n, bill := range b.Bills {
		l[n] = Ruling{bill, f.rule(offset, bill, b.Check)}
	}
	return l, nil
}

func (f *Fold) rule(offset uint64, b record.Bill, check *record.BillCheck) Verdict {
	k := newID(b.ID())
	if _, ok := f.seen[k]; ok {
		return Duplicate
	}
	fresh := check != nil && check.Next <= offset && within(f.now, check.Time)
	v := First
	switch {
	case within(f.now, b.Issued):
	case !fresh:
		return Late
	case check.Trimmed:
		v = Unproven
	}
	f.seen[k] = struct{}{}
	m := minute(f.now)
	f.minutes[m] = append(f.minutes[m], k)
	return v
}

// within reports whether the log's time now is at most HoldBound after t, and not before t by more than Skew.
func within(now, t time.Time) bool {
	d := now.Sub(t)
	return -Skew <= d && d <= HoldBound
}

// forget drops bills of which no further copy can count.
func (f *Fold) forget() {
	limit := minute(f.now.Add(-LookBack - Skew))
	if f.oldest == 0 {
		f.oldest = limit
	}
	for ; f.oldest < limit; f.oldest++ {
		for _, k := range f.minutes[f.oldest] {
			delete(f.seen, k)
		}
		delete(f.minutes, f.oldest)
	}
}

func minute(t time.Time) int64 { return t.Unix() / 60 }
