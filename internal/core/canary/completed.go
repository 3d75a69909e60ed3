package canary

import (
	"fmt"
	"math"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

const (
	completedHalfLife     = 30 * time.Second // of the answers of a version in use, long enough for an instance with few requests
	completedWarnInterval = 10 * time.Second // between two warnings about the same version
)

// completedVersion counts the answers of a new version after its roll-out has been completed.
type completedVersion struct {
	counts    AnswerCounts // older ones less
	updatedAt time.Time
	warnedAt  time.Time
}

// Regression compares a version in use with the one that it has replaced.
type Regression struct {
	Recent   AnswerCounts // of the version in use, older ones less
	GoodRate float64      // share of bad answers up to which it counts as good
}

// String formats the comparison for logs.
func (g Regression) String() string {
	return fmt.Sprintf("%.1f of %.1f recent answers bad, expected up to %.3f of them", g.Recent.Bad, g.Recent.Answers, g.GoodRate)
}

// RecordCompleted records how an answer of a version ended whose roll-out is completed. It reports whether the version now
// fails clearly more often than the old one did, at most once in a while. Nothing can be rolled back then, as the endpoints
// of the old version have stopped.
func (r *Rollout) RecordCompleted(now time.Time, version string, failed bool) (Regression, bool) {
	if r.state != routing.RolloutCompleted || version != r.order.target {
		return Regression{}, false
	}
	c := &r.completed
	x := math.Exp2(-float64(now.Sub(c.updatedAt)) / float64(completedHalfLife))
	c.counts, c.updatedAt = AnswerCounts{c.counts.Answers*x + 1, c.counts.Bad * x}, now
	if !failed {
		return Regression{}, false
	}
	c.counts.Bad++
	g := Regression{Recent: c.counts, GoodRate: r.evidence.totals.goodRate()}
	if now.Sub(c.warnedAt) < completedWarnInterval || g.Recent.likelihoodRatio(g.GoodRate, badRate(g.GoodRate)) < rareRollbackThreshold {
		return g, false
	}
	c.warnedAt = now
	return g, true
}
