package cascade

import (
	"math"
	"time"
)

// detectedOddsFactor is the increase in the odds of a rejected answer that the change detector tests for.
const detectedOddsFactor = 4

// baseAlarmRatings is the number of ratings in a half-life up to which the alarm threshold stays close to
// Settings.AlarmThreshold.
const baseAlarmRatings = 1000

// ratingCounts counts accepted and rejected answers with exponential decay and detects a drop of the pass rate with a
// CUSUM test.
type ratingCounts struct {
	accepted, rejected float64   // scaled down so that their sum is at most Settings.MaxRatings
	uncapped           float64   // sum of both counts without that limit
	decayedTo          time.Time // time to which the counts are decayed
	newestRating       time.Time // time of the newest rating
	cusum              float64   // log-likelihood ratio of a change since cusum was last zero
	acceptedInRun      float64   // accepted answers since cusum was last zero
	rejectedInRun      float64   // rejected answers since cusum was last zero
}

// add counts ratings, which may be older than ratings counted before, and reports whether they raise the alarm.
func (c *ratingCounts) add(s *Settings, at time.Time, accepted, rejected, prior float64) bool {
	w := 1.0
	if at.After(c.decayedTo) {
		f := decayFactor(at.Sub(c.decayedTo), s.HalfLife)
		c.accepted, c.rejected, c.uncapped, c.decayedTo = c.accepted*f, c.rejected*f, c.uncapped*f, at
	} else {
		w = decayFactor(c.decayedTo.Sub(at), s.HalfLife)
	}
	if at.After(c.newestRating) {
		c.newestRating = at
	}
	alarm := c.detectChange(s, accepted*w, rejected*w, prior)
	c.accepted += accepted * w
	c.rejected += rejected * w
	c.uncapped += (accepted + rejected) * w
	if n := c.accepted + c.rejected; n > s.MaxRatings {
		c.accepted, c.rejected = c.accepted*s.MaxRatings/n, c.rejected*s.MaxRatings/n
	}
	return alarm
}

// detectChange is a CUSUM test of the current pass rate against one with detectedOddsFactor times the odds of rejection.
// An alarm drops all ratings before the suspected change, so that a long good history does not hide recent rejections.
// There is no test below Settings.MinSamples: the mean is not yet a reliable reference and follows a change quickly.
func (c *ratingCounts) detectChange(s *Settings, accepted, rejected, prior float64) bool {
	if c.accepted+c.rejected < s.MinSamples {
		return false
	}
	mean, _ := c.betaMoments(s, c.decayedTo, prior)
	passRate := min(max(mean, 0.02), 0.995)
	rejectionRate := detectedOddsFactor * (1 - passRate) / (passRate + detectedOddsFactor*(1-passRate))
	c.cusum += accepted*math.Log((1-rejectionRate)/passRate) + rejected*math.Log(rejectionRate/(1-passRate))
	if c.cusum <= 0 {
		c.cusum, c.acceptedInRun, c.rejectedInRun = 0, 0, 0
		return false
	}
	c.acceptedInRun += accepted
	c.rejectedInRun += rejected
	if c.cusum < c.alarmThreshold(s) {
		return false
	}
	c.accepted, c.rejected = c.acceptedInRun-accepted, c.rejectedInRun-rejected // the caller counts the newest ratings
	c.cusum, c.acceptedInRun, c.rejectedInRun = 0, 0, 0
	return true
}

// alarmThreshold returns the log-likelihood ratio at which the alarm is raised. It grows with the number of ratings in a
// half-life to bound the false alarms per unit of time. With a constant threshold, versions rated on every request had
// a false alarm every few thousand requests and lost trust, because the ratings kept at an alarm are biased towards
// rejections.
func (c *ratingCounts) alarmThreshold(s *Settings) float64 {
	return s.AlarmThreshold + math.Log1p(c.uncapped/baseAlarmRatings)
}

// betaMoments returns the mean and standard deviation of the Beta posterior of the pass rate at a time.
func (c *ratingCounts) betaMoments(s *Settings, now time.Time, prior float64) (mean, deviation float64) {
	a, b := 1.0, 1.0 // an unknown prior is the uniform distribution
	if prior > 0 {
		a, b = s.PriorWeight*prior, s.PriorWeight*(1-prior)
	}
	f := 1.0
	if now.After(c.decayedTo) {
		f = decayFactor(now.Sub(c.decayedTo), s.HalfLife)
	}
	a, b = a+c.accepted*f, b+c.rejected*f
	mean = a / (a + b)
	return mean, math.Sqrt(mean * (1 - mean) / (a + b + 1))
}

// decayedCount returns the number of ratings after decay to a time.
func (c *ratingCounts) decayedCount(s *Settings, now time.Time) float64 {
	n := c.accepted + c.rejected
	if now.After(c.decayedTo) {
		n *= decayFactor(now.Sub(c.decayedTo), s.HalfLife)
	}
	return n
}

// decayFactor returns the weight that is left after a duration.
func decayFactor(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}

// decayingAverage tracks a mean and a variance with exponential decay.
type decayingAverage struct {
	weight, sum, squareSum float64
	decayedTo              time.Time
}

// add counts n values, given by their sum and sum of squares, which may be older than values counted before.
func (a *decayingAverage) add(halfLife time.Duration, at time.Time, n, sum, squareSum float64) {
	w := 1.0
	if at.After(a.decayedTo) {
		f := decayFactor(at.Sub(a.decayedTo), halfLife)
		a.weight, a.sum, a.squareSum, a.decayedTo = a.weight*f, a.sum*f, a.squareSum*f, at
	} else {
		w = decayFactor(a.decayedTo.Sub(at), halfLife)
	}
	a.weight += n * w
	a.sum += sum * w
	a.squareSum += squareSum * w
}

// mean returns the mean of the values and one extra value, whose influence grows as the values decay.
func (a *decayingAverage) mean(halfLife time.Duration, now time.Time, extra float64) float64 {
	f := 1.0
	if now.After(a.decayedTo) {
		f = decayFactor(now.Sub(a.decayedTo), halfLife)
	}
	return (a.sum*f + extra) / (a.weight*f + 1)
}

// deviation returns the standard deviation of the values.
func (a *decayingAverage) deviation() float64 {
	if a.weight < 1e-9 {
		return 0
	}
	m := a.sum / a.weight
	return math.Sqrt(max(0, a.squareSum/a.weight-m*m))
}
