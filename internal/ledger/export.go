package ledger

import (
	"context"
	"errors"
	"fmt"
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

// Export calls fn with each bill that counts from an offset to the end of the stream and returns the next offset.
// Two exports over adjoining offsets together return each bill once. The error is an *Error or that of fn.
func Export(ctx context.Context, log platform.Log, from platform.Offset, fn func(Exported) error) (platform.Offset, error) {
	p, err := read(ctx, log, billStream, from, 1, 0)
	switch {
	case trimmed(err):
		return from, &Error{Op: "export", Kind: ErrTrimmed, Err: fmt.Errorf("offset %d, oldest is %d", from, p.First)}
	case err != nil:
		return from, &Error{Op: "export", Kind: ErrLogUnavailable, Err: err}
	case len(p.Entries) == 0:
		return from, nil
	}
	first := p.Entries[0].Time
	// One more nanosecond lets the bound of findTime lie below the look-back of the first record.
	start, err := findTime(ctx, log, billStream, func(time.Time) time.Time { return first.Add(-bill.LookBack - 1) })
	if err != nil {
		return from, &Error{Op: "export", Kind: ErrLogUnavailable, Err: err}
	}
	x := exporter{log: log, from: from, before: start.before, fold: bill.NewFold(uint64(start.offset)), fn: fn}
	err = x.run(ctx)
	return max(from, platform.Offset(x.fold.Next())), err
}

type exporter struct {
	log    platform.Log
	from   platform.Offset
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
		for _, e := range p.Entries {
			if err := x.entry(e); err != nil {
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
	}
	return nil
}
