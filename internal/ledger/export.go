package ledger

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/bill"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Exported is a bill that counts.
type Exported struct {
	Offset platform.Offset `json:"offset"` // of the record that holds it
	Time   time.Time       `json:"time"`   // of that record, by the log
	Bill   record.Bill     `json:"bill"`
	// Unproven is set when the log no longer reaches back far enough to prove that no earlier copy counts.
	Unproven bool `json:"unproven,omitempty"`
}

// Span is a read part of a stream: Next is the offset to continue from, End the end of the stream as last read.
type Span struct{ Next, End platform.Offset }

// Export calls fn with each bill that counts from an offset to the end of the stream and returns the next offset.
// Two exports over adjoining offsets together return each bill once. The error is an *Error or that of fn.
func Export(ctx context.Context, log platform.Log, from platform.Offset, fn func(Exported) error) (platform.Offset, error) {
	s, err := ExportPage(ctx, log, from, math.MaxInt, fn)
	return s.Next, err
}

// ExportPage does as Export and stops after the record that holds the limit's last bill; a record is never split,
// because only the border of a record is an offset to continue from.
func ExportPage(ctx context.Context, log platform.Log, from platform.Offset, limit int, fn func(Exported) error) (Span, error) {
	here := Span{Next: from, End: from}
	p, err := read(ctx, log, billStream, from, 1, 0)
	switch {
	case trimmed(err):
		return here, &Error{Op: "export", Kind: ErrTrimmed, Err: fmt.Errorf("offset %d, oldest is %d", from, p.First)}
	case err != nil:
		return here, &Error{Op: "export", Kind: ErrLogUnavailable, Err: err}
	case len(p.Entries) == 0:
		return here, nil
	}
	first := p.Entries[0].Time
	// One more nanosecond lets the bound of findTime lie below the look-back of the first record.
	start, err := findTime(ctx, log, billStream, func(time.Time) time.Time { return first.Add(-bill.LookBack - 1) })
	if err != nil {
		return here, &Error{Op: "export", Kind: ErrLogUnavailable, Err: err}
	}
	x := exporter{log: log, from: from, left: limit, before: start.before, fold: bill.NewFold(uint64(start.offset)), fn: fn}
	err = x.run(ctx)
	next := max(from, platform.Offset(x.fold.Next()))
	return Span{Next: next, End: max(next, x.end)}, err
}

type exporter struct {
	log    platform.Log
	from   platform.Offset
	left   int             // bills until the export stops
	end    platform.Offset // of the stream, as last read
	before time.Time
	fold   *bill.Fold
	fn     func(Exported) error
}

func (x *exporter) run(ctx context.Context) error {
	for {
		p, err := read(ctx, x.log, billStream, platform.Offset(x.fold.Next()), readLimit, 0)
		if err != nil {
			return &Error{Op: "export", Kind: ErrLogUnavailable, Err: err}
		}
		x.end = p.Next
		for _, e := range p.Entries {
			if err := x.entry(e); err != nil || x.left <= 0 {
				return err
			}
		}
		if x.fold.Next() >= uint64(p.Next) {
			return nil
		}
	}
}

func (x *exporter) entry(e platform.Entry) error {
	l, err := x.fold.Apply(uint64(e.Offset), e.Time, decodeBills(e.Data))
	var gap *bill.Error
	if errors.As(err, &gap) {
		return nil // the delivery was out of order; the next read begins at the offset that is missing
	}
	if e.Offset < x.from {
		return nil
	}
	blind := !x.before.IsZero() && !e.Time.Add(-bill.LookBack).After(x.before)
	for _, r := range l {
		if r.Verdict != bill.First && r.Verdict != bill.Unproven {
			continue
		}
		err := x.fn(Exported{Offset: e.Offset, Time: e.Time, Bill: r.Bill, Unproven: blind || r.Verdict == bill.Unproven})
		if err != nil {
			return err
		}
		x.left--
	}
	return nil
}
