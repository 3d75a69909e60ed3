package canary

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

const (
	countHalfLife           = 3 * time.Second // short, because a version may start to fail after many good answers
	pooledRollbackThreshold = 6.0             // log-likelihood ratio; higher than rollbackThreshold because it is checked more often
	slowStreamRatio         = 3.0             // a stream with a gap above this multiple of the old version's mean is slow
	minReportedAnswers      = 0.01            // decayed counts below this are not sent to other instances
)

// AnswerCounts counts the answers of a new version and the bad ones among them. Counts decay with age.
type AnswerCounts struct {
	Answers float64
	Bad     float64
}

// CountsByKey holds answer counts by a hash of service, new version and failure mode. The counts of several instances
// add up.
type CountsByKey map[uint64]AnswerCounts

// Merge adds the counts of other instances.
func (t CountsByKey) Merge(others CountsByKey) {
	for k, s := range others {
		o := t[k]
		t[k] = AnswerCounts{o.Answers + s.Answers, o.Bad + s.Bad}
	}
}

// failureMode is a way in which answers can be bad: failures or slow streams, on one route or on all.
type failureMode struct {
	slow  bool
	route string // empty for all routes
}

// key returns the key of the failure mode in CountsByKey.
func (m failureMode) key(service, target string) uint64 {
	s := service + "\x00" + target + "\x00" + m.route
	if m.slow {
		s += "\x00slow"
	}
	return xxhash.Sum64String(s)
}

// decayingCount holds counts that decay exponentially with countHalfLife.
type decayingCount struct {
	counts    AnswerCounts
	updatedAt time.Time
}

// value returns the counts decayed to the given time.
func (d *decayingCount) value(now time.Time) AnswerCounts {
	x := math.Exp2(-float64(now.Sub(d.updatedAt)) / float64(countHalfLife))
	return AnswerCounts{d.counts.Answers * x, d.counts.Bad * x}
}

// add counts an answer.
func (d *decayingCount) add(now time.Time, bad bool) {
	d.counts, d.updatedAt = d.value(now), now
	d.counts.Answers++
	if bad {
		d.counts.Bad++
	}
}

// countRecent counts an answer of the new version for its route and for all routes.
func (e *evidence) countRecent(now time.Time, slow, bad bool, route string) {
	for _, m := range []failureMode{{slow, ""}, {slow, route}} {
		d := e.recent[m]
		if d == nil {
			if len(e.recent) >= 2*maxRoutes {
				continue
			}
			d = &decayingCount{}
			e.recent[m] = d
		}
		d.add(now, bad)
	}
}

// LocalCounts returns this instance's answer counts of the new version, to be sent to other instances.
func (r *Rollout) LocalCounts(now time.Time, service string) CountsByKey {
	out := CountsByKey{}
	if r.order != nil && r.state == routing.RolloutRolledBack {
		out[r.stopKey()] = AnswerCounts{Answers: 1, Bad: 1}
	}
	if !r.Running() {
		return out
	}
	if c := r.observedProgress(now); c.Answers > 0 {
		out[r.progressKey()] = c
	}
	for m, d := range r.evidence.recent {
		if s := d.value(now); s.Answers >= minReportedAnswers {
			out[m.key(service, r.order.target)] = s
		}
	}
	for k, c := range map[totalKey]AnswerCounts{oldTotalKey: r.evidence.totals.Old, targetTotalKey: r.evidence.totals.Target} {
		if c.Answers > 0 {
			out[k.key(service, r.order.target)] = c
		}
	}
	out[r.picksKey()] = r.traffic.picks()
	for route, t := range r.evidence.routes {
		if t.Old.Answers > 0 {
			out[routeKey(service, r.order.target, route, false)] = t.Old
		}
		if t.Target.Answers > 0 {
			out[routeKey(service, r.order.target, route, true)] = t.Target
		}
	}
	return out
}

// stoppedElsewhere is the reason for a roll-back that another instance has decided on.
const stoppedElsewhere = "stopped at another instance"

// stopKey returns the key in CountsByKey by which an instance tells the others that it has rolled the version back. The state in
// the store takes longer, and another instance may publish a completion until then.
func (r *Rollout) stopKey() uint64 {
	return xxhash.Sum64String(r.order.service + "\x00" + r.order.target + "\x00stopped\x00" + r.order.duration.String())
}

// EvaluatePooled tests the answer counts of all instances together and reports whether it rolled the version back. The
// limit on bad answers applies to all instances together, and the more instances there are, the fewer bad answers each
// one sees.
func (r *Rollout) EvaluatePooled(now time.Time, service string, others CountsByKey) bool {
	if !r.Running() || !r.order.stateRead {
		return false
	}
	r.peerCounts = others
	r.alignToPeers(now, others)
	if others[r.stopKey()].Answers > 0 {
		return r.rollBack(stoppedElsewhere)
	}
	if r.progress(now) >= r.settings.SteadyShift {
		if reason := r.closingReason(); reason != "" {
			return r.rollBack(reason)
		}
	}
	for m := range r.evidence.recent {
		answers, goodRate := r.recentAnswers(now, m)
		threshold := pooledRollbackThreshold
		if !m.slow {
			threshold += math.Log(float64(max(1, len(r.evidence.routes))))
		}
		if answers.logLikelihoodRatio(goodRate) >= threshold {
			reason := "failures"
			if m.slow {
				reason = "slow streams"
			}
			return r.rollBack(reason + " at all instances together")
		}
	}
	if r.comparableTotals(service).logLikelihoodRatio() >= rareRollbackThreshold {
		return r.rollBack("rare failures at all instances together")
	}
	return false
}

// pooledRecent returns the recent answers of the new version at all instances.
func (r *Rollout) pooledRecent(now time.Time, m failureMode) AnswerCounts {
	s, o := r.evidence.recent[m].value(now), r.peerCounts[m.key(r.order.service, r.order.target)]
	return AnswerCounts{s.Answers + o.Answers, s.Bad + o.Bad}
}

// recentAnswers returns the recent answers of the new version at all instances that are compared, and the share of them that
// is bad in this way if the version is good. Routes on which the old version nearly always fails aren't compared.
func (r *Rollout) recentAnswers(now time.Time, m failureMode) (answers AnswerCounts, goodRate float64) {
	answers = r.pooledRecent(now, m)
	if m.slow {
		return answers, r.evidence.goodSlowRate()
	}
	if m.route != "" {
		goodRate = r.goodRate(now, m.route)
		if goodRate > maxRouteRate {
			return AnswerCounts{}, maxRouteRate
		}
		return answers, goodRate
	}
	compared, bad := 0.0, 0.0 // of known routes; the bad ones as expected
	for o := range r.evidence.recent {
		if o.slow || o.route == "" {
			continue
		}
		s, rate := r.pooledRecent(now, o), r.goodRate(now, o.route)
		if rate > maxRouteRate {
			answers.Answers, answers.Bad = answers.Answers-s.Answers, answers.Bad-s.Bad
			continue
		}
		compared, bad = compared+s.Answers, bad+rate*s.Answers
	}
	if compared == 0 {
		return AnswerCounts{}, maxRouteRate
	}
	return answers, max(minGoodRate, bad/compared)
}

// logLikelihoodRatio compares the hypothesis of a bad version with that of a good one, whose answers are bad at goodRate.
func (s AnswerCounts) logLikelihoodRatio(goodRate float64) float64 {
	return s.likelihoodRatio(goodRate, max(minBadRate, min(2*goodRate, 0.9)))
}

// likelihoodRatio returns the log-likelihood ratio of two rates of bad answers.
func (s AnswerCounts) likelihoodRatio(goodRate, badRate float64) float64 {
	return s.Bad*math.Log(badRate/goodRate) + (s.Answers-s.Bad)*math.Log((1-badRate)/(1-goodRate))
}
