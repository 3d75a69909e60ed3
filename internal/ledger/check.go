package ledger

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/bill"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// appendChecked handles bills that were held for long: it reads the stream since their issue, confirms those that are
// in it and appends the others with a check. The next call reads them back, so they are confirmed only by the stream.
func (b *Biller) appendChecked(l []record.Bill) error {
	oldest := l[0].Issued
	for _, x := range l {
		if x.Issued.Before(oldest) {
			oldest = x.Issued
		}
	}
	from, err := findTime(b.ctx, b.options.Log, billStream, func(time.Time) time.Time { return oldest.Add(-bill.Skew) })
	if err != nil {
		return err
	}
	f, now, err := b.readBills(from.offset)
	if err != nil {
		return err
	}
	proven, trimmed := b.missing(l, from)
	for _, g := range []struct {
		bills   []record.Bill
		trimmed bool
	}{{proven, false}, {trimmed, true}} {
		if len(g.bills) == 0 {
			continue
		}
		b.options.Logger.Warn("ledger: bills were held for long", zap.Int("bills", len(g.bills)), zap.Bool("unproven", g.trimmed))
		check := &record.BillCheck{Next: f.Next(), Time: now, Trimmed: g.trimmed}
		if err := b.append(g.bills, check); err != nil {
			return err
		}
	}
	return nil
}

// readBills reads the stream from an offset to its end and confirms the held bills in it.
func (b *Biller) readBills(from platform.Offset) (*bill.Fold, time.Time, error) {
	f := bill.NewFold(uint64(from))
	for {
		p, err := read(b.ctx, b.options.Log, billStream, platform.Offset(f.Next()), readLimit, 0)
		if err != nil {
			return nil, time.Time{}, err
		}
		for _, e := range p.Entries {
			l, err := f.Apply(uint64(e.Offset), e.Time, decodeBills(e.Data))
			if err != nil {
				return nil, time.Time{}, err
			}
			b.mu.Lock()
			done := b.holder.Read(l)
			b.mu.Unlock()
			b.confirm(done)
		}
		if f.Next() >= uint64(p.Next) {
			return f, p.Now, nil
		}
	}
}

// missing splits the bills that are still held by whether the stream reaches back to their issue.
func (b *Biller) missing(l []record.Bill, from place) (proven, trimmed []record.Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range l {
		switch {
		case !b.holder.Holds(x.ID()):
		case from.before.IsZero() || x.Issued.Add(-bill.Skew).After(from.before):
			proven = append(proven, x)
		default:
			trimmed = append(trimmed, x)
		}
	}
	return proven, trimmed
}

// decodeBills returns no bills for a record that can't be read; every reader drops the same record.
func decodeBills(data []byte) record.BillBatch {
	var b record.BillBatch
	if b.UnmarshalBinary(data) != nil {
		return record.BillBatch{}
	}
	return b
}
