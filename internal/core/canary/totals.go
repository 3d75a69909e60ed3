package canary

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// The other tests compare a new version with one of which a third of the answers fail, and look at its latest answers only. A
// version that fails rarely passes them, but reaches the limit on bad answers all the same once it gets all requests. So all
// answers of both versions since the new one got its first share are compared as well, in a sequential probability ratio
// test whose good version may fail a little more often than the old one does.
const (
	goodRateFactor         = 1.5   // failure rate of a good version over the old version's
	minRareGoodRate        = 0.002 // of a good version, if the old one fails more rarely
	rareRateFactor         = 4     // failure rate of a bad version over a good one's
	minRareBadRate         = 0.03  // of a bad version; the share at which the limit is reached soon after the roll-out
	rareRollbackThreshold  = 5.0   // log-likelihood ratio
	minOldAnswersForTotals = 100   // answers of the old version for an estimate of its rate
)

// Totals holds the answers of both versions since the new one got its first share of the requests.
type Totals struct {
	Old, Target AnswerCounts
}

// String formats the counts for logs.
func (t Totals) String() string {
	return fmt.Sprintf("%.0f of %.0f old answers bad, %.0f of %.0f new ones", t.Old.Bad, t.Old.Answers, t.Target.Bad, t.Target.Answers)
}

// logLikelihoodRatio compares the hypothesis of a bad version with that of a good one.
func (t Totals) logLikelihoodRatio() float64 {
	if t.Old.Answers < minOldAnswersForTotals {
		return 0
	}
	good := t.goodRate()
	return t.Target.likelihoodRatio(good, badRate(good))
}

// goodRate returns the share of bad answers up to which a new version counts as good.
func (t Totals) goodRate() float64 {
	return min(0.2, max(minRareGoodRate, goodRateFactor*(t.Old.Bad+0.5)/(t.Old.Answers+10)))
}

// badRate returns the share of bad answers of a bad version, by that of a good one.
func badRate(good float64) float64 { return max(minRareBadRate, rareRateFactor*good) }

// totalKey names one of the counts in CountsByKey.
type totalKey string

const (
	oldTotalKey    totalKey = "\x00old total"
	targetTotalKey totalKey = "\x00target total"
)

// key returns the key of the count in CountsByKey.
func (k totalKey) key(service, target string) uint64 {
	return xxhash.Sum64String(service + "\x00" + target + string(k))
}

// countTotal counts an answer of either version.
func (t *Totals) countTotal(isTarget, bad bool) {
	c := &t.Old
	if isTarget {
		c = &t.Target
	}
	c.Answers++
	if bad {
		c.Bad++
	}
}

// Totals returns the answers of both versions at all instances.
func (r *Rollout) Totals(service string, others CountsByKey) Totals {
	if r.order == nil {
		return Totals{}
	}
	old, target := others[oldTotalKey.key(service, r.order.target)], others[targetTotalKey.key(service, r.order.target)]
	own := r.evidence.totals
	return Totals{
		Old:    AnswerCounts{own.Old.Answers + old.Answers, own.Old.Bad + old.Bad},
		Target: AnswerCounts{own.Target.Answers + target.Answers, own.Target.Bad + target.Bad},
	}
}

// Summary is what an instance knows of a roll-out, for logs.
type Summary struct {
	Progress  float64 // elapsed share of the roll-out's duration
	Share     float64 // share of the requests that go to the new version
	Totals    Totals  // of all instances
	GoodRate  float64 // share of bad answers up to which the new version counts as good
	Ratio     float64 // log-likelihood ratio of a new version that fails rarely over a good one
	Threshold float64 // of Ratio, from which on the version is rolled back
	Paces     PaceSummary
}

// lastShare returns the share of requests for the new version that the last request met.
func (r *Rollout) lastShare() float64 {
	switch {
	case r.state == routing.RolloutRolledBack:
		return 0
	case r.state == routing.RolloutCompleted || r.shifted:
		return 1
	}
	return r.canaryShare
}

// Summary returns what is known of the roll-out; others are the counts of all other instances.
func (r *Rollout) Summary(now time.Time, service string, others CountsByKey) Summary {
	if r.order == nil {
		return Summary{}
	}
	t := r.Totals(service, others)
	return Summary{
		Progress: r.progress(now), Share: r.lastShare(), Totals: t, GoodRate: t.goodRate(), Ratio: t.logLikelihoodRatio(),
		Threshold: rareRollbackThreshold, Paces: r.PaceSummary(now, service),
	}
}
