package entitlement

import (
	"math"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	rateTimeConstant  = 10 * time.Second // the time constant of the decay of the usage rate
	refillThreshold   = 2 * time.Second  // a balance that covers less than the usage of this time is refilled
	refillTarget      = 10 * time.Second // a refill covers the usage of this time
	minReturnInterval = 2 * time.Second  // the minimum time between a take or return and the next return
	// initialTakeDivisor divides the limit to get the maximum take of a holder that does not know the remainder.
	initialTakeDivisor = 64
	// takesPerHolder is the number of maximum takes that each active holder could make from the remainder, so that no holder
	// uses it up alone.
	takesPerHolder = 4
)

// limitBalance is the balance of a holder for one limit in one period.
type limitBalance struct {
	limit              record.Limit
	periodIndex        int64
	available          int64         // the amount that is neither reserved nor used
	returnable         int64         // the amount taken from the stream and neither returned nor sent
	largestRefused     int64         // the largest reservation that is waiting for a refill
	largestReservation int64         // the largest recent reservation; it decays with each reservation
	remaining          int64         // the amount of the limit that is not granted, as last read
	remainingKnown     bool          // remaining was read in this period and for the current limits
	activeHolders      int           // the number of active holders of the limit, as last read
	pending            *record.Grant // the record that was appended and not read back, or nil
	retryAt            time.Time     // the time of the next append of pending
	retryDelay         time.Duration
	usageRate          float64 // usage per second
	rateUpdatedAt      time.Time
	lastReturnAt       time.Time
	lastTakeAmount     int64 // the amount that the latest take asked for
	lastTakeAt         time.Time
}

// rollOver resets the balance if its period has ended. A grant is valid only in its own period.
func (lb *limitBalance) rollOver(now time.Time) {
	i := PeriodIndex(now, lb.limit.Period)
	if i == lb.periodIndex {
		return
	}
	*lb = limitBalance{
		limit: lb.limit, periodIndex: i, usageRate: lb.usageRate, rateUpdatedAt: lb.rateUpdatedAt, lastReturnAt: now,
		activeHolders: lb.activeHolders,
	}
}

// recordUsage decays the usage rate and adds an amount to it.
func (lb *limitBalance) recordUsage(now time.Time, used int64) {
	if d := now.Sub(lb.rateUpdatedAt); d > 0 {
		lb.usageRate *= math.Exp(-d.Seconds() / rateTimeConstant.Seconds())
		lb.rateUpdatedAt = now
	}
	lb.usageRate += float64(used) / rateTimeConstant.Seconds()
}

// expectedUsage returns the usage of a time at the current rate, at most the limit.
func (lb *limitBalance) expectedUsage(span time.Duration) int64 {
	return min(lb.limit.Amount, int64(math.Ceil(lb.usageRate*span.Seconds())))
}

// takeAmount returns the amount to take from the stream now, or 0.
func (lb *limitBalance) takeAmount(now time.Time) int64 {
	threshold := max(lb.largestRefused, lb.expectedUsage(refillThreshold))
	if lb.available >= threshold || (lb.remainingKnown && lb.remaining == 0) {
		return 0
	}
	toTake := max(lb.expectedUsage(refillTarget), threshold) - lb.available
	if !lb.lastTakeAt.IsZero() && now.Sub(lb.lastTakeAt) < refillThreshold {
		toTake = max(toTake, 2*lb.lastTakeAmount)
	}
	maxTake := lb.limit.Amount / initialTakeDivisor
	if lb.remainingKnown {
		maxTake = lb.remaining / int64(takesPerHolder*max(1, lb.activeHolders))
	}
	return max(1, lb.largestRefused-lb.available, min(toTake, maxTake))
}

// returnAmount returns the amount to return to the stream now, or 0.
func (lb *limitBalance) returnAmount(now time.Time) int64 {
	if now.Sub(lb.lastReturnAt) < minReturnInterval || now.Sub(lb.lastTakeAt) < minReturnInterval {
		return 0
	}
	keep := max(lb.expectedUsage(refillTarget), lb.largestReservation)
	exhausted := lb.remainingKnown && lb.remaining == 0
	if exhausted {
		// Other holders may be refusing requests. An amount that is too small for a reservation is of no use here.
		keep = lb.expectedUsage(refillThreshold)
		if lb.available < lb.largestReservation {
			keep = 0
		}
	}
	toReturn := min(lb.available-keep, lb.returnable)
	if toReturn <= 0 || (toReturn < lb.available/2 && !exhausted) {
		return 0
	}
	return toReturn
}

// applyDecision updates the balance with the decision on any holder's record of the limit. If isOwn is set, it is this
// holder's record.
func (lb *limitBalance) applyDecision(now time.Time, r Decision, isOwn bool) {
	if isOwn && lb.pending != nil && lb.pending.Seq == r.Grant.Seq {
		if r.PeriodIndex == lb.periodIndex && r.Grant.Kind == record.GrantTake {
			lb.available += r.Granted
			lb.returnable += r.Granted
			lb.lastTakeAmount, lb.lastTakeAt = r.Grant.Amount, now
		}
		lb.pending = nil
	}
	if r.PeriodIndex == lb.periodIndex {
		lb.remaining, lb.remainingKnown, lb.activeHolders = r.Remaining, true, r.ActiveHolders
	}
}
