package bill

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	// MaxUncheckedAge is the maximum age of a bill that counts without a check of the stream.
	MaxUncheckedAge = 10 * time.Minute
	// MaxClockSkew is the maximum difference between an instance's clock and the log's clock.
	MaxClockSkew = time.Minute
	// ReadLookback is how far before its start time, by the log's clock, a reader begins to read the stream.
	ReadLookback = MaxUncheckedAge + MaxClockSkew
)

// Verdict tells whether a bill in the stream counts.
type Verdict string

// Verdicts on a bill.
const (
	Accepted      Verdict = "first"     // no earlier copy counts, so this one counts
	Duplicate     Verdict = "duplicate" // an earlier copy counts
	CheckRequired Verdict = "late"      // the bill does not count; its holder must check the stream and append it again
	Unverifiable  Verdict = "unproven"  // an earlier copy may have been trimmed from the stream, so an operator decides
)

// Decision is the verdict on one bill. Every reader reaches the same verdict.
type Decision struct {
	Bill    record.Bill
	Verdict Verdict
}

// billHash identifies a bill in a projection. Callers choose keys, so the hash must resist collisions.
type billHash [16]byte

func hashBillID(b record.BillID) billHash {
	h := sha256.Sum256([]byte(b.Organisation + "\x00" + b.Key))
	return billHash(h[:16])
}

// Projection is the state of the bills stream after the records at all offsets below NextOffset: the first bill of each
// organisation and key.
type Projection struct {
	nextOffset   uint64
	logTime      time.Time // the time of the latest record
	seen         map[billHash]struct{}
	seenByMinute map[int64][]billHash // by minute of log time
	oldestMinute int64                // the earliest minute in seenByMinute
}

// NewProjection returns a projection that starts at an offset. Its decisions are valid from ReadLookback after its
// first record on.
func NewProjection(start uint64) *Projection {
	return &Projection{nextOffset: start, seen: map[billHash]struct{}{}, seenByMinute: map[int64][]billHash{}}
}

// NextOffset returns the offset of the next record to apply.
func (p *Projection) NextOffset() uint64 { return p.nextOffset }

// Len returns the number of bills in the projection.
func (p *Projection) Len() int { return len(p.seen) }

// Apply applies the batch at an offset and returns the decisions on its bills. It ignores offsets below NextOffset.
func (p *Projection) Apply(offset uint64, now time.Time, b record.BillBatch) ([]Decision, error) {
	if offset < p.nextOffset {
		return nil, nil
	}
	if offset > p.nextOffset {
		return nil, &Error{Op: "apply", Kind: ErrGap, Err: fmt.Errorf("offset %d after %d", offset, p.nextOffset)}
	}
	p.nextOffset++
	if now.After(p.logTime) {
		p.logTime = now
	}
	p.evictExpired()
	decisions := make([]Decision, len(b.Bills))
	for n, bill := range b.Bills {
		decisions[n] = Decision{bill, p.decide(offset, bill, b.Check)}
	}
	return decisions, nil
}

// decide returns the verdict on a bill and records a bill that counts.
func (p *Projection) decide(offset uint64, b record.Bill, check *record.BillCheck) Verdict {
	k := hashBillID(b.ID())
	if _, ok := p.seen[k]; ok {
		return Duplicate
	}
	checked := check != nil && check.Next <= offset && isFresh(p.logTime, check.Time)
	v := Accepted
	switch {
	case isFresh(p.logTime, b.Issued):
	case !checked:
		return CheckRequired
	case check.Trimmed:
		v = Unverifiable
	}
	p.seen[k] = struct{}{}
	m := unixMinute(p.logTime)
	p.seenByMinute[m] = append(p.seenByMinute[m], k)
	return v
}

// isFresh reports whether t is at most MaxUncheckedAge before and at most MaxClockSkew after the log time now.
func isFresh(now, t time.Time) bool {
	d := now.Sub(t)
	return -MaxClockSkew <= d && d <= MaxUncheckedAge
}

// evictExpired drops the bills of which no later copy can count without a check.
func (p *Projection) evictExpired() {
	limit := unixMinute(p.logTime.Add(-ReadLookback - MaxClockSkew))
	if p.oldestMinute == 0 {
		p.oldestMinute = limit
	}
	for ; p.oldestMinute < limit; p.oldestMinute++ {
		for _, k := range p.seenByMinute[p.oldestMinute] {
			delete(p.seen, k)
		}
		delete(p.seenByMinute, p.oldestMinute)
	}
}

func unixMinute(t time.Time) int64 { return t.Unix() / 60 }
