package ledger

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/bill"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// appendWithCheck handles bills that have been held for long. It reads the stream from the time at which the oldest was
// issued, confirms the bills found there and appends the others together with a check. The reply to such an append
// confirms nothing: the next call reads the bills back from the stream.
func (b *Biller) appendWithCheck(held []record.Bill) error {
	oldest := held[0].Issued
	for _, heldBill := range held {
		if heldBill.Issued.Before(oldest) {
			oldest = heldBill.Issued
		}
	}
	start, err := findFirstSince(b.ctx, b.options.Log, billStream, func(time.Time) time.Time { return oldest.Add(-bill.MaxClockSkew) })
	if err != nil {
		return err
	}
	state, logTime, err := b.readAndConfirm(start.offset)
	if err != nil {
		return err
	}
	proven, trimmed := b.splitUnconfirmed(held, start)
	for _, group := range []struct {
		bills   []record.Bill
		trimmed bool
	}{{proven, false}, {trimmed, true}} {
		if len(group.bills) == 0 {
			continue
		}
		b.options.Logger.Warn("ledger: Bills held for a long time are appended with a check.", zap.Int("bills", len(group.bills)), zap.Bool("unproven", group.trimmed))
		check := &record.BillCheck{Next: state.NextOffset(), Time: logTime, Trimmed: group.trimmed}
		if err := b.appendBatch(group.bills, check); err != nil {
			return err
		}
	}
	return nil
}

// readAndConfirm reads the stream from an offset to its end and confirms the held bills that it finds.
// It returns the state at the end of the stream and the log's time of the last read.
func (b *Biller) readAndConfirm(from platform.Offset) (*bill.Projection, time.Time, error) {
	state := bill.NewProjection(uint64(from))
	for {
		page, err := readLog(b.ctx, b.options.Log, billStream, platform.Offset(state.NextOffset()), maxReadRecords, 0)
		if err != nil {
			return nil, time.Time{}, err
		}
		for _, entry := range page.Entries {
			decisions, err := state.Apply(uint64(entry.Offset), entry.Time, decodeBillBatch(entry.Data))
			if err != nil {
				return nil, time.Time{}, err
			}
			b.mu.Lock()
			confirmed := b.ownBills.ConfirmRead(decisions)
			found := make([]record.Bill, len(decisions))
			for n, d := range decisions {
				found[n] = d.Bill
			}
			b.keepConfirmed(confirmed, found)
			b.mu.Unlock()
			b.confirmBills(confirmed)
		}
		if state.NextOffset() >= uint64(page.End) {
			return state, page.Now, nil
		}
	}
}

// splitUnconfirmed returns the bills that are still held. For the proven ones the stream reaches back to the time of
// issue, so it proves that they are not in the log; for the trimmed ones older records were removed.
func (b *Biller) splitUnconfirmed(held []record.Bill, start streamPosition) (proven, trimmed []record.Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, heldBill := range held {
		switch {
		case !b.ownBills.Contains(heldBill.ID()):
		case start.maxEarlierTime.IsZero() || heldBill.Issued.Add(-bill.MaxClockSkew).After(start.maxEarlierTime):
			proven = append(proven, heldBill)
		default:
			trimmed = append(trimmed, heldBill)
		}
	}
	return proven, trimmed
}

// decodeBillBatch returns an empty batch for a record that can't be decoded. All readers skip the same records, so their
// states stay equal.
func decodeBillBatch(data []byte) record.BillBatch {
	var b record.BillBatch
	if b.UnmarshalBinary(data) != nil {
		return record.BillBatch{}
	}
	return b
}
