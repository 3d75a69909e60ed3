package cascade

import "time"

const (
	maxVersionsPerClass = 64
	priorSuccesses      = 4 // successful calls assumed before the first one, so that one failure does not exclude a version
)

// Estimates is an immutable snapshot of the estimates from which requests are planned.
type Estimates struct {
	settings   Settings
	ratingTime float64 // expected duration of a rating in seconds
	classes    map[string]*classEstimates
}

// classEstimates holds the estimates for one request class at a point in time.
type classEstimates struct {
	madeAt         time.Time
	versions       map[string]versionEstimate
	slowestSeconds float64 // greatest expected latency of any version
}

// versionEstimate holds the estimates for one version in one class.
type versionEstimate struct {
	passRate, passRateDeviation float64 // mean and standard deviation
	conditional                 []conditionalRate
	ratings                     float64 // number of ratings after decay
	ratedRecently               bool    // the newest rating is younger than Settings.MaxRatingAge
	suspicion                   float64 // progress of the change detector towards its alarm, 0 to 1
	cost                        float64 // mean, in micros
	seconds, secondsDeviation   float64 // mean and standard deviation of the latency
	errorRate                   float64 // share of failed calls
	measured                    bool    // cost and latency come from complete answers
}

// conditionalRate is the pass rate of a version on requests for which only the predecessor ran before and its answer was
// rejected.
type conditionalRate struct {
	predecessor   string
	passRate      float64
	low, high     float64 // confidence bounds
	ratedRecently bool
}

// afterVersion returns the pass rate on requests for which the given version's answer was rejected, and whether enough
// such ratings exist; otherwise the rate is that on all requests.
func (e *versionEstimate) afterVersion(version string) (conditionalRate, bool) {
	for i := range e.conditional {
		if e.conditional[i].predecessor == version {
			return e.conditional[i], true
		}
	}
	return conditionalRate{passRate: e.passRate}, false
}

func (c *classStats) estimate(s *Settings, now time.Time) *classEstimates {
	e := &classEstimates{madeAt: now, versions: make(map[string]versionEstimate, len(c.versions))}
	for n, v := range c.versions {
		x := v.estimate(s, now)
		e.versions[n] = x
		e.slowestSeconds = max(e.slowestSeconds, x.seconds)
	}
	return e
}

func (v *versionStats) estimate(s *Settings, now time.Time) versionEstimate {
	var e versionEstimate
	e.passRate, e.passRateDeviation = v.firstStep.betaMoments(s, now, v.prior)
	e.conditional = v.conditionalRates(s, now)
	e.ratings = v.firstStep.decayedCount(s, now)
	e.ratedRecently = now.Sub(v.firstStep.newestRating) < s.MaxRatingAge || now.Sub(v.laterSteps.newestRating) < s.MaxRatingAge
	e.suspicion = min(1, max(v.firstStep.cusum/v.firstStep.alarmThreshold(s), v.laterSteps.cusum/v.laterSteps.alarmThreshold(s)))
	if v.steadyLatency.weight > 0 {
		longTerm := v.steadyLatency.sum / v.steadyLatency.weight
		e.measured = true
		e.cost = v.cost.sum / v.cost.weight
		e.seconds = v.recentLatency.mean(s.RecentHalfLife, now, longTerm)
		e.secondsDeviation = v.steadyLatency.deviation()
	}
	f := 1.0
	if now.After(v.errorRate.decayedTo) {
		f = decayFactor(now.Sub(v.errorRate.decayedTo), s.RecentHalfLife)
	}
	e.errorRate = v.errorRate.sum * f / (v.errorRate.weight*f + priorSuccesses)
	return e
}

// conditionalRates returns the pass rates by predecessor. Predecessors with too few ratings are left out, since the
// pass rate on all requests is a better estimate for them.
func (v *versionStats) conditionalRates(s *Settings, now time.Time) []conditionalRate {
	l := make([]conditionalRate, 0, len(v.afterVersion))
	for n, p := range v.afterVersion {
		if p.decayedCount(s, now) < s.MinSamples {
			continue
		}
		mean, deviation := p.betaMoments(s, now, 0)
		margin := s.Confidence * deviation
		l = append(l, conditionalRate{n, mean, mean - margin, min(1, mean+margin), now.Sub(p.newestRating) < s.MaxRatingAge})
	}
	return l
}

// Health holds the estimates for a version in a class, for status pages and metrics.
type Health struct {
	PassRate    float64 // mean
	PassRateLow float64 // lower confidence bound
	Ratings     float64 // number of ratings after decay
	Suspicion   float64 // progress of the change detector towards its alarm, 0 to 1
	ErrorRate   float64 // share of failed calls
	Latency     time.Duration
}

// Health returns the estimates for a version in a class, and whether there are any.
func (s *Estimates) Health(class, version string) (Health, bool) {
	c := s.classes[class]
	if c == nil {
		return Health{}, false
	}
	e, ok := c.versions[version]
	return Health{
		PassRate: e.passRate, PassRateLow: e.passRate - s.settings.Confidence*e.passRateDeviation, Ratings: e.ratings,
		Suspicion: e.suspicion, ErrorRate: e.errorRate, Latency: time.Duration(e.seconds * float64(time.Second)),
	}, ok
}
