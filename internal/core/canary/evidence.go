package canary

import (
	"math"
	"time"
)

// Failures are judged by a sequential probability ratio test of two hypotheses: the failure rate of a good version and
// that of a bad one. A false alarm only delays a roll-out, whereas a missed fault exposes callers, so few failures
// suffice.
//
// The latency ratio of an answer is the time to its first byte, or until the request was given up, over the expected time.
const (
	minGoodRate       = 0.05 // the old version's rate is used if it is higher
	minBadRate        = 0.35
	rollbackThreshold = 5.0 // log-likelihood ratio; at minGoodRate, the first three answers exceed it if all fail
	// minLogLikelihood bounds how far earlier successes outweigh later failures. After many successes, five failures in a
	// row exceed rollbackThreshold at minGoodRate.
	minLogLikelihood = -3

	// A version whose mean latency ratio exceeds the old version's by the factor maxLatencyRatio is slow.
	maxLatencyRatio = 3.0
	// minBaselineLatency is the lower bound of the old version's mean latency ratio, which is far below 1 if the expected
	// times are too long. Without the bound, all answers would then look slow.
	minBaselineLatency = 0.5
	maxGapRatio        = 2.0 // low enough to detect a version that streams only half of its answers slowly
	minSlowSamples     = 6   // answers of the new version, or streams of either version, that are needed for a comparison
	maxRoutes          = 256 // routes that are judged on their own, and kinds of streams
)

// evidence holds what the answers of the new version show, compared with those of the old one.
type evidence struct {
	baseline     tally                // answers of the old version
	byRoute      map[string]*tally    // answers of the new version, by route
	total        tally                // answers of the new version on all routes
	baselineGaps map[string]*gapStats // old version, by kind of stream
	gapRatios    gapRatioStats
	slowBaseline tally                          // streams of the old version; a slow one counts as failed
	recent       map[failureMode]*decayingCount // decaying counts of the new version's answers, for EvaluatePooled
	paces        *paceEvidence
	totals       Totals             // this instance's answers
	routes       map[string]*Totals // the same by route, since the order
	sessionless  map[string]bool    // routes that have had requests without a session
}

// gapStats sums the logarithms of the gaps of one kind of stream on the old version. The gap of a stream is the mean time
// between its events.
type gapStats struct {
	n      int     // streams
	logSum float64 // sum of the logarithms of the gaps in milliseconds
}

// gapRatioStats compares the new version's gaps with the old version's gaps for the same kind of stream. Unlike the time
// to the first byte, gaps do not depend on an engine's prompt cache, which is empty on a new version.
type gapRatioStats struct {
	n      int
	logSum float64 // sum of the logarithms of the ratios
}

// tally counts the outcomes and latencies of answers.
type tally struct {
	n, failed     int
	logLikelihood float64 // log-likelihood ratio of a bad version against a good one
	latencyLogSum float64 // sum of the logarithms of the latency ratios
	latencies     int
}

func newEvidence() *evidence {
	return &evidence{byRoute: map[string]*tally{}, baselineGaps: map[string]*gapStats{}, recent: map[failureMode]*decayingCount{}, routes: map[string]*Totals{}, sessionless: map[string]bool{}, paces: newPaceEvidence()}
}

// addOutcome counts an answer.
func (t *tally) addOutcome(failed bool) {
	t.n++
	if failed {
		t.failed++
	}
}

// addLatency adds the latency ratio of an answer. The ratio is clamped so that one answer has limited weight.
func (t *tally) addLatency(ratio float64) {
	t.latencyLogSum += math.Log(min(max(ratio, 0.1), 20))
	t.latencies++
}

// testOutcome updates the log-likelihood ratio with an answer and reports whether it reaches the threshold.
func (t *tally) testOutcome(failed bool, goodRate float64) bool {
	badRate := max(minBadRate, min(2*goodRate, 0.9))
	if failed {
		t.logLikelihood += math.Log(badRate / goodRate)
	} else {
		t.logLikelihood += math.Log((1 - badRate) / (1 - goodRate))
	}
	t.logLikelihood = max(t.logLikelihood, minLogLikelihood)
	return t.logLikelihood >= rollbackThreshold
}

// meanLatencyRatio returns the geometric mean of the latency ratios, or 1 if there are none.
func (t *tally) meanLatencyRatio() float64 {
	if t.latencies == 0 {
		return 1
	}
	return math.Exp(t.latencyLogSum / float64(t.latencies))
}

// addOutcome records an answer of the new version, which a good version fails at a rate, and returns the reason for a roll-back,
// or "".
func (e *evidence) addOutcome(route string, failed bool, goodRate float64) string {
	t := e.routeTally(route)
	t.addOutcome(failed)
	e.total.addOutcome(failed)
	if goodRate > maxRouteRate {
		return ""
	}
	routeFails, totalFails := t.testOutcome(failed, goodRate), e.total.testOutcome(failed, goodRate)
	switch {
	case totalFails:
		return "failures"
	case routeFails:
		return "failures on one route"
	}
	return ""
}

// goodSlowRate returns the rate of slow streams that is expected of a good version.
func (e *evidence) goodSlowRate() float64 {
	t := e.slowBaseline
	return min(maxRouteRate, max(minGoodRate, (float64(t.failed)+0.5)/float64(t.n+10)))
}

// routeTally returns the tally of a route. Beyond maxRoutes it returns one that is not kept, so the answers of further
// routes count only towards the total.
func (e *evidence) routeTally(route string) *tally {
	t := e.byRoute[route]
	if t == nil {
		t = &tally{}
		if len(e.byRoute) < maxRoutes {
			e.byRoute[route] = t
		}
	}
	return t
}

// addLatency records the latency ratio of an answer of the new version and returns the reason for a roll-back, or "".
func (e *evidence) addLatency(route string, ratio float64) string {
	t := e.routeTally(route)
	t.addLatency(ratio)
	e.total.addLatency(ratio)
	baseline := max(minBaselineLatency, e.baseline.meanLatencyRatio())
	switch {
	case e.total.latencies >= minSlowSamples && e.total.meanLatencyRatio() > maxLatencyRatio*baseline:
		return "slow"
	case t.latencies >= minSlowSamples && t.meanLatencyRatio() > maxLatencyRatio*baseline:
		return "slow on one route"
	}
	return ""
}

// addGap records the mean time between the events of a stream and returns the reason for a roll-back, or "".
func (e *evidence) addGap(now time.Time, kind string, isTarget bool, ms float64) string {
	g := e.baselineGaps[kind]
	if g == nil {
		if len(e.baselineGaps) >= maxRoutes {
			return ""
		}
		g = &gapStats{}
		e.baselineGaps[kind] = g
	}
	x := math.Log(max(ms, minGapMS))
	slow := g.n >= minSlowSamples && x-g.logSum/float64(g.n) > math.Log(slowStreamRatio)
	if !isTarget {
		e.slowBaseline.addOutcome(slow)
		g.n, g.logSum = g.n+1, g.logSum+x
		return ""
	}
	if g.n < minSlowSamples {
		return ""
	}
	e.countRecent(now, true, slow, kind)
	e.gapRatios.n, e.gapRatios.logSum = e.gapRatios.n+1, e.gapRatios.logSum+x-g.logSum/float64(g.n)
	if e.gapRatios.n >= minSlowSamples && e.gapRatios.logSum/float64(e.gapRatios.n) > math.Log(maxGapRatio) {
		return "slow streams"
	}
	return ""
}

// minGapMS is the lower bound for gaps between events; shorter ones are not told apart.
const minGapMS = 0.5
