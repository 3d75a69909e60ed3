package cascade

import "time"

const (
	maxVersions = 64 // remembered per class
	errorPrior  = 4  // successes assumed before the first call, so that one failure does not condemn a version
)

// View is an immutable state of the beliefs from which requests are planned.
type View struct {
	settings Settings
	rating   float64 // expected seconds of a rating
	classes  map[string]*estimates
}

// estimates holds the estimates of a class at a time.
type estimates struct {
	made     time.Time
	versions map[string]estimate
	slowest  float64 // greatest expected latency of a version, in seconds
}

// estimate is what a plan needs to know about a version.
type estimate struct {
	mean, deviation float64 // of the pass share
	later           float64 // mean pass share on requests on which an earlier step fell short
	count           float64 // ratings that count
	fresh           bool    // rated lately
	suspicion       float64 // how close the change detector is to its alarm, 0 to 1
	cost            float64 // expected, in micros
	seconds, spread float64 // mean and standard deviation of the latency
	errors          float64 // share of failed calls
	timed           bool    // cost, seconds and spread come from complete answers
}

func (c *class) estimate(s *Settings, now time.Time) *estimates {
	e := &estimates{made: now, versions: make(map[string]estimate, len(c.versions))}
	for n, v := range c.versions {
		x := v.estimate(s, now)
		e.versions[n] = x
		e.slowest = max(e.slowest, x.seconds)
	}
	return e
}

func (v *belief) estimate(s *Settings, now time.Time) estimate {
	var e estimate
	e.mean, e.deviation = v.first.moments(s, now, v.prior)
	e.later, _ = v.later.moments(s, now, e.mean)
	e.count = v.first.count(s, now)
	e.fresh = now.Sub(v.first.last) < s.Stale || now.Sub(v.later.last) < s.Stale
	e.suspicion = min(1, max(v.first.cusum, v.later.cusum)/s.Alarm)
	if v.steady.weight > 0 {
		usual := v.steady.sum / v.steady.weight
		e.timed = true
		e.cost = v.cost.sum / v.cost.weight
		e.seconds = v.latency.mean(s.LoadHalfLife, now, usual)
		e.spread = v.steady.deviation()
	}
	f := 1.0
	if now.After(v.errors.at) {
		f = halving(now.Sub(v.errors.at), s.LoadHalfLife)
	}
	e.errors = v.errors.sum * f / (v.errors.weight*f + errorPrior)
	return e
}

// Health is what the beliefs say about a version in a class, for status pages and metrics.
type Health struct {
	Share     float64 // mean pass share
	Low       float64 // lower bound of the pass share
	Ratings   float64 // that still count
	Suspicion float64 // 1 means that the change detector is at its alarm
	Errors    float64 // share of failed calls
	Latency   time.Duration
}

// Health returns what is known about a version in a class.
func (v *View) Health(class, version string) (Health, bool) {
	c := v.classes[class]
	if c == nil {
		return Health{}, false
	}
	e, ok := c.versions[version]
	return Health{
		Share: e.mean, Low: e.mean - v.settings.Confidence*e.deviation, Ratings: e.count,
		Suspicion: e.suspicion, Errors: e.errors, Latency: time.Duration(e.seconds * float64(time.Second)),
	}, ok
}
