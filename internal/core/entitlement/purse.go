package entitlement

import (
	"math"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	rateSpan    = 10 * time.Second // time constant of the measured use
	lowSpan     = 2 * time.Second  // a purse is refilled when it holds less than the use of this time
	fullSpan    = 10 * time.Second // a refill covers the use of this time
	returnPause = 2 * time.Second  // least time between two returns
	// firstPart is the part of a limit that a holder asks for while it does not know the remainder.
	firstPart = 64
	// spareParts is how many such takes each holder could make from the remainder, so that no holder empties it alone.
	spareParts = 4
)

// purse is what a holder has of one limit in one period.
type purse struct {
	limit     record.Limit
	index     int64
	free      int64 // neither reserved nor used
	own       int64 // taken from the stream, not returned or lent; bounds what can be returned
	want      int64 // largest reservation that was refused since the last refill
	worst     int64 // largest reservation of the period
	remaining int64 // of the limit, as last read
	known     bool  // remaining was read in this period
	holders   int
	pending   *record.Grant // was appended and not read back
	due       time.Time     // of the next append of pending
	delay     time.Duration
	rate      float64 // use per second
	measured  time.Time
	returned  time.Time
	size      int64 // of the latest take
	taken     time.Time
}

// roll empties the purse at the end of its period: a grant is only good in its own.
func (p *purse) roll(now time.Time) {
	i := Index(now, p.limit.Period)
	if i == p.index {
		return
	}
	*p = purse{limit: p.limit, index: i, rate: p.rate, measured: p.measured, returned: now, holders: p.holders}
}

// measure lets the measured use decay and adds an amount to it.
func (p *purse) measure(now time.Time, used int64) {
	if d := now.Sub(p.measured); d > 0 {
		p.rate *= math.Exp(-d.Seconds() / rateSpan.Seconds())
		p.measured = now
	}
	p.rate += float64(used) / rateSpan.Seconds()
}

func (p *purse) use(span time.Duration) int64 {
	return min(p.limit.Amount, int64(math.Ceil(p.rate*span.Seconds())))
}

// takes returns the amount to ask for now, or 0.
func (p *purse) takes(now time.Time) int64 {
	low := max(p.want, p.use(lowSpan))
	if p.free >= low || (p.known && p.remaining == 0) {
		return 0
	}
	n := max(p.use(fullSpan), low) - p.free
	if !p.taken.IsZero() && now.Sub(p.taken) < lowSpan {
		n = max(n, 2*p.size)
	}
	limit := p.limit.Amount / firstPart
	if p.known {
		limit = p.remaining / int64(spareParts*max(1, p.holders))
	}
	return max(1, p.want-p.free, min(n, limit))
}

// returns returns the amount to give back now, or 0.
func (p *purse) returns(now time.Time) int64 {
	if now.Sub(p.returned) < returnPause || now.Sub(p.taken) < returnPause {
		return 0
	}
	keep := max(p.use(fullSpan), p.worst)
	scarce := p.known && p.remaining == 0
	if scarce {
		// Other holders may be refusing work. What is too little for one reservation serves nobody here.
		keep = p.use(lowSpan)
		if p.free < p.worst {
			keep = 0
		}
	}
	n := min(p.free-keep, p.own)
	if n <= 0 || (n < p.free/2 && !scarce) {
		return 0
	}
	return n
}

// credit takes the ruling on the pending record or on another holder's.
func (p *purse) credit(now time.Time, r Ruling, own bool) {
	if own && p.pending != nil && p.pending.Seq == r.Grant.Seq {
		if r.Index == p.index && r.Grant.Kind == record.GrantTake {
			p.free += r.Given
			p.own += r.Given
			p.size, p.taken = r.Grant.Amount, now
		}
		p.pending = nil
	}
	if r.Index == p.index {
		p.remaining, p.known, p.holders = r.Remaining, true, r.Holders
	}
}
