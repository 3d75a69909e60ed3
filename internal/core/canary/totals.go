package canary

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
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
	good := min(0.2, max(minRareGoodRate, goodRateFactor*(t.Old.Bad+0.5)/(t.Old.Answers+10)))
	return t.Target.likelihoodRatio(good, max(minRareBadRate, rareRateFactor*good))
}

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
	if !r.Running() {
		return Totals{}
	}
	old, target := others[oldTotalKey.key(service, r.order.target)], others[targetTotalKey.key(service, r.order.target)]
	own := r.evidence.totals
	return Totals{
		Old:    AnswerCounts{own.Old.Answers + old.Answers, own.Old.Bad + old.Bad},
		Target: AnswerCounts{own.Target.Answers + target.Answers, own.Target.Bad + target.Bad},
	}
}
