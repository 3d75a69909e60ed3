package canary

import "time"

// rateWindow is the shortest interval over which the current request rate is measured. Bursts last seconds, so it is
// shorter than that; an interval with few requests is extended until it has minRateSamples of them.
const rateWindow = 500 * time.Millisecond

// trafficStats counts the requests of a service that this instance has received since a roll-out began.
type trafficStats struct {
	since            time.Time
	total, toTarget  int
	intervalStart    time.Time
	count, prevCount int           // requests in the current and in the previous interval
	prevInterval     time.Duration // length of the previous interval
}

// add counts a request.
func (t *trafficStats) add(now time.Time, toTarget bool) {
	t.total++
	if toTarget {
		t.toTarget++
	}
	t.rotateInterval(now)
	t.count++
}

// rotateInterval starts a new interval if the current one is long enough and has enough requests.
func (t *trafficStats) rotateInterval(now time.Time) {
	if t.intervalStart.IsZero() {
		t.intervalStart = now
	}
	if d := now.Sub(t.intervalStart); d >= rateWindow && t.count >= minRateSamples {
		t.prevCount, t.prevInterval, t.count, t.intervalStart = t.count, d, 0, now
	}
}

// targetShare returns the share of all requests that went to the new version.
func (t *trafficStats) targetShare() float64 { return float64(t.toTarget) / float64(max(1, t.total)) }

// picks returns the numbers of requests; those to the new version count as bad.
func (t *trafficStats) picks() AnswerCounts {
	return AnswerCounts{float64(t.total), float64(t.toTarget)}
}

// meanRate returns the mean number of requests per second since the roll-out began.
func (t *trafficStats) meanRate(now time.Time) float64 {
	return float64(max(1, t.total)) / max(now.Sub(t.since), time.Millisecond).Seconds()
}

// currentRate returns the number of requests per second over the last two intervals, or the mean rate if these have too
// few requests.
func (t *trafficStats) currentRate(now time.Time) float64 {
	t.rotateInterval(now)
	n, d := t.prevCount+t.count, t.prevInterval+now.Sub(t.intervalStart)
	if n < minRateSamples || d <= 0 {
		return t.meanRate(now)
	}
	return float64(n) / d.Seconds()
}

// minRateSamples is the smallest number of requests from which a rate is calculated.
const minRateSamples = 8
