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

// ExportedBill is a bill that counts, together with the log record that holds it.
type ExportedBill struct {
	Offset platform.Offset `json:"offset"` // offset of the record
	Time   time.Time       `json:"time"`   // time at which the log took the record
	Bill   record.Bill     `json:"bill"`
	// Unproven reports that the log no longer reaches back far enough to prove that no earlier copy of the bill counts.
	Unproven bool `json:"unproven,omitempty"`
}

// ExportProgress tells how far an export has read: Next is the offset to continue from, End the end of the stream as last
// read.
type ExportProgress struct{ Next, End platform.Offset }

// ExportBills calls fn with each bill that counts, from an offset to the end of the stream, and returns the offset to
// continue from. Exports that each continue where the last one ended return each bill once. The error is an *Error or the
// error of fn.
func ExportBills(ctx context.Context, log platform.Log, from platform.Offset, fn func(ExportedBill) error) (platform.Offset, error) {
	s, err := ExportBillsPage(ctx, log, from, math.MaxInt, fn)
	return s.Next, err
}

// ExportBillsPage works like ExportBills but stops after the record in which the number of bills reaches limit. It
// never stops within a record, because an export can only continue at the start of a record.
func ExportBillsPage(ctx context.Context, log platform.Log, from platform.Offset, limit int, fn func(ExportedBill) error) (ExportProgress, error) {
	progress := ExportProgress{Next: from, End: from}
	p, err := readLog(ctx, log, billStream, from, 1, 0)
	switch {
	case isTrimmed(err):
		return progress, &Error{Op: "export", Kind: ErrTrimmed, Err: fmt.Errorf("offset %d, oldest is %d", from, p.Oldest)}
	case err != nil:
		return progress, &Error{Op: "export", Kind: ErrLogUnavailable, Err: err}
	case len(p.Entries) == 0:
		return progress, nil
	}
	first := p.Entries[0].Time
	// One more nanosecond puts the bound that findFirstSince returns before the look-back of the first record.
	start, err := findFirstSince(ctx, log, billStream, func(time.Time) time.Time { return first.Add(-bill.ReadLookback - 1) })
	if err != nil {
		return progress, &Error{Op: "export", Kind: ErrLogUnavailable, Err: err}
	}
	x := billExporter{log: log, from: from, remaining: limit, maxEarlierTime: start.maxEarlierTime, state: bill.NewProjection(uint64(start.offset)), fn: fn}
	err = x.exportRecords(ctx)
	next := max(from, platform.Offset(x.state.NextOffset()))
	return ExportProgress{Next: next, End: max(next, x.end)}, err
}

// billExporter reads the bills stream and passes the bills that count to fn.
type billExporter struct {
	log            platform.Log
	from           platform.Offset
	remaining      int             // number of bills until the export stops
	end            platform.Offset // end of the stream, as last read
	maxEarlierTime time.Time       // no record before the start of the read is later; zero if the read starts at offset 0
	state          *bill.Projection
	fn             func(ExportedBill) error
}

func (x *billExporter) exportRecords(ctx context.Context) error {
	for {
		p, err := readLog(ctx, x.log, billStream, platform.Offset(x.state.NextOffset()), maxReadRecords, 0)
		if err != nil {
			return &Error{Op: "export", Kind: ErrLogUnavailable, Err: err}
		}
		x.end = p.End
		for _, e := range p.Entries {
			if err := x.exportRecord(e); err != nil || x.remaining <= 0 {
				return err
			}
		}
		if x.state.NextOffset() >= uint64(p.End) {
			return nil
		}
	}
}

func (x *billExporter) exportRecord(e platform.Entry) error {
	decisions, err := x.state.Apply(uint64(e.Offset), e.Time, decodeBillBatch(e.Data))
	var gap *bill.Error
	if errors.As(err, &gap) {
		return nil // the records came out of order; the next read starts at the missing offset
	}
	if e.Offset < x.from {
		return nil
	}
	lookBackTrimmed := !x.maxEarlierTime.IsZero() && !e.Time.Add(-bill.ReadLookback).After(x.maxEarlierTime)
	for _, r := range decisions {
		if r.Verdict != bill.Accepted && r.Verdict != bill.Unverifiable {
			continue
		}
		err := x.fn(ExportedBill{Offset: e.Offset, Time: e.Time, Bill: r.Bill, Unproven: lookBackTrimmed || r.Verdict == bill.Unverifiable})
		if err != nil {
			return err
		}
		x.remaining--
	}
	return nil
}
