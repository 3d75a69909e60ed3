package cascade

import (
	"maps"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// MultiplePredecessors is the value of Outcome.Predecessor for a step with two or more earlier steps.
const MultiplePredecessors = "*"

// Outcome is the result of one step of a plan. The rating of a delivered answer may follow in an Outcome of its own.
type Outcome struct {
	Class       string
	Version     string
	Prior       float64       // expected pass rate of the version before any rating; 0 means unknown
	Predecessor string        // version of the earlier step whose answer was rejected, MultiplePredecessors for two or more, empty for none
	CompletedAt time.Time     // time at which the answer was complete; zero means now
	Rated       bool          // the answer was rated, and Score is valid
	Score       float64       // 0 to 1
	MinScore    float64       // lowest score at which the answer is accepted
	Completed   bool          // the answer is complete, and Cost and Latency are valid
	Cost        record.Micros // cost of this step
	Latency     time.Duration // duration of this step without the rating
	RatingTime  time.Duration // duration of the rating; 0 means unknown
	Failed      bool          // the call failed, and there is no answer
}

// versionStats holds the statistics of one version in one class.
type versionStats struct {
	prior                        float64
	firstStep, laterSteps        ratingCounts             // as first step, and after a rejected answer
	afterVersion                 map[string]*ratingCounts // as second step, by the version of the first one
	cost                         decayingAverage
	recentLatency, steadyLatency decayingAverage // with half-lives RecentHalfLife and HalfLife
	errorRate                    decayingAverage
}

// classStats holds the statistics of one request class.
type classStats struct {
	versions map[string]*versionStats
	lastSeen time.Time
	changed  bool
}

// Estimator collects statistics of versions per request class. It is not safe for concurrent use.
type Estimator struct {
	settings   Settings
	classes    map[string]*classStats
	ratingTime decayingAverage
	lastView   *Estimates
	pending    map[itemKey]*Item
	sequence   uint64
	peers      map[string]*peer
}

// NewEstimator returns an Estimator without outcomes; settings that are zero take their defaults.
func NewEstimator(s Settings) *Estimator {
	s = s.withDefaults()
	return &Estimator{
		settings: s,
		classes:  map[string]*classStats{},
		lastView: &Estimates{settings: s, ratingTime: s.InitialRatingTime.Seconds()},
		pending:  map[itemKey]*Item{},
		peers:    map[string]*peer{},
	}
}

// Observe adds an outcome to the statistics; outcomes may arrive late, out of order, or not at all.
func (e *Estimator) Observe(now time.Time, o Outcome) {
	if o.CompletedAt.IsZero() || o.CompletedAt.After(now) {
		o.CompletedAt = now
	}
	i := Item{Class: o.Class, Version: o.Version, Predecessor: o.Predecessor, Prior: o.Prior}
	switch {
	case o.Rated && o.Score >= o.MinScore:
		i.Accepted = 1
	case o.Rated:
		i.Rejected = 1
	}
	if o.Failed {
		i.FailedCalls = 1
	} else if o.Completed {
		l := o.Latency.Seconds()
		i.CompletedCalls, i.CostSum, i.LatencySum, i.LatencySquareSum = 1, float64(o.Cost), l, l*l
	}
	if o.RatingTime > 0 {
		e.ratingTime.add(e.settings.RecentHalfLife, o.CompletedAt, 1, o.RatingTime.Seconds(), 0)
	}
	e.addItem(o.CompletedAt, i)
	e.addPending(i)
}

// addItem adds the sums of an item to the statistics.
func (e *Estimator) addItem(at time.Time, i Item) {
	s := &e.settings
	v := e.statsFor(at, i)
	if i.Accepted+i.Rejected > 0 {
		v.addRatings(s, at, i)
	}
	if i.CompletedCalls > 0 {
		v.cost.add(s.HalfLife, at, i.CompletedCalls, i.CostSum, 0)
		v.recentLatency.add(s.RecentHalfLife, at, i.CompletedCalls, i.LatencySum, i.LatencySquareSum)
		v.steadyLatency.add(s.HalfLife, at, i.CompletedCalls, i.LatencySum, i.LatencySquareSum)
	}
	if i.CompletedCalls+i.FailedCalls > 0 {
		v.errorRate.add(s.RecentHalfLife, at, i.CompletedCalls+i.FailedCalls, i.FailedCalls, 0)
	}
}

// addRatings counts ratings separately by the earlier steps, since requests that reach a later step are harder.
func (v *versionStats) addRatings(s *Settings, at time.Time, i Item) {
	if i.Predecessor == "" {
		v.firstStep.add(s, at, i.Accepted, i.Rejected, v.prior)
		return
	}
	if v.laterSteps.add(s, at, i.Accepted, i.Rejected, 0) {
		// A drop on hard requests makes the earlier ratings on all requests unreliable as well.
		v.firstStep.accepted, v.firstStep.rejected = 0, 0
	}
	if i.Predecessor == MultiplePredecessors {
		return
	}
	p := v.afterVersion[i.Predecessor]
	if p == nil {
		if len(v.afterVersion) >= maxVersionsPerClass {
			return
		}
		if v.afterVersion == nil {
			v.afterVersion = map[string]*ratingCounts{}
		}
		p = &ratingCounts{}
		v.afterVersion[i.Predecessor] = p
	}
	p.add(s, at, i.Accepted, i.Rejected, 0)
}

// statsFor returns the statistics of an item's version and creates them if needed. Versions beyond the limit of a class
// get statistics that are discarded.
func (e *Estimator) statsFor(at time.Time, i Item) *versionStats {
	c := e.classes[i.Class]
	if c == nil {
		if len(e.classes) >= e.settings.MaxClasses {
			e.evictOldestClass()
		}
		c = &classStats{versions: map[string]*versionStats{}}
		e.classes[i.Class] = c
	}
	c.changed = true
	if at.After(c.lastSeen) {
		c.lastSeen = at
	}
	v := c.versions[i.Version]
	if v == nil {
		v = &versionStats{}
		if len(c.versions) < maxVersionsPerClass {
			c.versions[i.Version] = v
		}
	}
	if i.Prior > 0 {
		v.prior = i.Prior
	}
	return v
}

// evictOldestClass drops the class whose newest outcome is the oldest.
func (e *Estimator) evictOldestClass() {
	oldest := ""
	for n, c := range e.classes {
		o := e.classes[oldest]
		if o == nil || c.lastSeen.Before(o.lastSeen) || (c.lastSeen.Equal(o.lastSeen) && n < oldest) {
			oldest = n
		}
	}
	delete(e.classes, oldest)
}

// Estimates returns an immutable snapshot of the estimates. Classes without a recent change are shared with the last one.
func (e *Estimator) Estimates(now time.Time) *Estimates {
	s := &e.settings
	n := &Estimates{settings: *s, ratingTime: e.ratingTime.mean(s.RecentHalfLife, now, s.InitialRatingTime.Seconds())}
	n.classes = make(map[string]*classEstimates, len(e.classes))
	for name, c := range e.classes {
		old := e.lastView.classes[name]
		if c.changed || old == nil || now.Sub(old.madeAt) > s.MaxRatingAge/4 {
			old, c.changed = c.estimate(s, now), false
		}
		n.classes[name] = old
	}
	e.lastView = n
	return n
}

// Retain drops the statistics of versions for which keep returns false, such as withdrawn ones.
func (e *Estimator) Retain(keep func(version string) bool) {
	for _, c := range e.classes {
		before := len(c.versions)
		maps.DeleteFunc(c.versions, func(v string, _ *versionStats) bool { return !keep(v) })
		for _, v := range c.versions {
			maps.DeleteFunc(v.afterVersion, func(v string, _ *ratingCounts) bool { return !keep(v) })
		}
		c.changed = c.changed || len(c.versions) != before
	}
}
