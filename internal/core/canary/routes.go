package canary

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A version may fail on one route only, and routes differ in how often the old version fails on them. So both versions are
// also compared route by route. A route with few requests, or one on which the old version fails often, needs a larger share
// of its requests to show a failure; it gets that from what the exposure limit leaves.
const (
	maxTrialRoutes    = 64   // routes of a service that are compared
	routePriorAnswers = 5.0  // weight of the service's failure rate in the estimate of a route's
	minRouteRate      = 0.02 // failure rate that is assumed at least
	maxRouteRate      = 0.6  // an old version that fails more often can't be told from a bad one

	// extraFailures is the smallest share of further failures on a route that a trial is planned to show.
	extraFailures = 0.2
	// wantedEvidence is the log-likelihood ratio of a good version over a bad one at which a route has shown enough.
	wantedEvidence = 3.0
	// haste is how much faster than evenly until all requests shift a route gets the answers that it lacks. The time left allows
	// more of them if some are bad.
	haste = 1.5
	// closingThreshold is the log-likelihood ratio from which on a version isn't completed. The trial has to end with a
	// decision then, and a missed fault can't be rolled back any more, so it takes less evidence than before.
	closingThreshold = 0.5
	// extraExposure is the share of the exposure limit up to which routes get a larger share of their requests. It is below
	// exposureMargin, as the requests of a single instance vary.
	extraExposure = 0.8
)

// routeKey returns the key of a route's answers in CountsByKey.
func routeKey(service, target, route string, isTarget bool) uint64 {
	version := "old"
	if isTarget {
		version = "target"
	}
	return xxhash.Sum64String(service + "\x00" + target + "\x00route\x00" + version + "\x00" + route)
}

// routeTotals returns this instance's answers on a route since the order, or nil if too many other routes are compared.
func (e *evidence) routeTotals(route string) *Totals {
	t := e.routes[route]
	if t == nil && len(e.routes) < maxTrialRoutes {
		t = &Totals{}
		e.routes[route] = t
	}
	return t
}

// addSessionless records a request without a session, whose version may differ from that of the request before.
func (e *evidence) addSessionless(route string) {
	if len(e.sessionless) < maxTrialRoutes {
		e.sessionless[route] = true
	}
}

// pooledRoute returns the answers of all instances on a route since the order.
func (r *Rollout) pooledRoute(route string) Totals {
	var out Totals
	if t := r.evidence.routes[route]; t != nil {
		out = *t
	}
	old := r.peerCounts[routeKey(r.order.service, r.order.target, route, false)]
	target := r.peerCounts[routeKey(r.order.service, r.order.target, route, true)]
	out.Old.Answers, out.Old.Bad = out.Old.Answers+old.Answers, out.Old.Bad+old.Bad
	out.Target.Answers, out.Target.Bad = out.Target.Answers+target.Answers, out.Target.Bad+target.Bad
	return out
}

// pooledRoutes returns the answers of all instances on each route that this instance knows.
func (r *Rollout) pooledRoutes() map[string]Totals {
	out := make(map[string]Totals, len(r.evidence.routes))
	for route := range r.evidence.routes {
		out[route] = r.pooledRoute(route)
	}
	return out
}

// failureRate estimates how often the old version fails on a route. With few answers on the route, the rate of the whole
// service counts.
func (t Totals) failureRate(service float64) float64 {
	return (t.Old.Bad + routePriorAnswers*service) / (t.Old.Answers + routePriorAnswers)
}

// serviceRate estimates how often the old version fails on all routes together.
func serviceRate(routes map[string]Totals) float64 {
	var t Totals
	for _, o := range routes {
		t.Old.Answers, t.Old.Bad = t.Old.Answers+o.Old.Answers, t.Old.Bad+o.Old.Bad
	}
	return (t.Old.Bad + 0.5) / (t.Old.Answers + routePriorAnswers)
}

// routeRates holds how often the old version fails on each route.
type routeRates struct {
	at      time.Time
	byRoute map[string]float64
	service float64 // on all routes together
}

// routeRatesMaxAge is how long the rates are kept; they change slowly, and estimating them takes time.
const routeRatesMaxAge = 100 * time.Millisecond

// goodRate returns the rate of failures on a route that is expected of a good version.
func (r *Rollout) goodRate(now time.Time, route string) float64 {
	if d := now.Sub(r.rates.at); r.rates.byRoute == nil || d < 0 || d >= routeRatesMaxAge {
		routes := r.pooledRoutes()
		r.rates = routeRates{at: now, byRoute: make(map[string]float64, len(routes)), service: serviceRate(routes)}
		for name, t := range routes {
			r.rates.byRoute[name] = t.failureRate(r.rates.service)
		}
	}
	rate, ok := r.rates.byRoute[route]
	if !ok {
		rate = r.rates.service
	}
	return max(minGoodRate, rate)
}

// comparableTotals returns the answers of both versions, with as many bad ones of the old version as it would have if its
// answers were spread over the routes like those of the new one.
func (r *Rollout) comparableTotals(service string) Totals {
	t := r.Totals(service, r.peerCounts)
	routes := r.pooledRoutes()
	rate, answers, bad := serviceRate(routes), 0.0, 0.0
	for _, o := range routes {
		if x := o.failureRate(rate); x <= maxRouteRate {
			answers, bad = answers+o.Target.Answers, bad+o.Target.Answers*x
		}
	}
	if answers > 0 {
		t.Old.Bad = max(t.Old.Bad, t.Old.Answers*bad/answers)
	}
	return t
}

// increasedRate returns the failure rate of a version that fails on extraFailures more of the requests.
func increasedRate(rate float64) float64 { return rate + extraFailures*(1-rate) }

// evidenceAgainst returns the log-likelihood ratio of a version that fails more often on a route over one that fails at the
// given rate.
func (t Totals) evidenceAgainst(rate float64) float64 {
	if rate > maxRouteRate {
		return 0
	}
	rate = max(rate, minRouteRate)
	return t.Target.likelihoodRatio(rate, increasedRate(rate))
}

// missingAnswers returns how many more answers of a good version are expected to show that it doesn't fail more often than at
// the rate.
func (t Totals) missingAnswers(rate float64) float64 {
	if rate > maxRouteRate {
		return 0
	}
	rate = max(rate, minRouteRate)
	bad := increasedRate(rate)
	perAnswer := rate*math.Log(rate/bad) + (1-rate)*math.Log((1-rate)/(1-bad))
	return max(0, wantedEvidence+t.evidenceAgainst(rate)) / perAnswer
}

// closingReason returns why a version must not be completed, or "" if its answers on no route speak against it. Each route is
// one more chance of a false alarm, which raises the threshold.
func (r *Rollout) closingReason() string {
	routes := r.pooledRoutes()
	service, tested, sum := serviceRate(routes), 0, 0.0
	worst, worstRatio := "", 0.0
	for _, route := range slices.Sorted(maps.Keys(routes)) {
		t := routes[route]
		if t.Target.Answers == 0 {
			continue
		}
		tested++
		x := t.evidenceAgainst(t.failureRate(service))
		sum += x
		if x > worstRatio {
			worst, worstRatio = route, x
		}
	}
	switch {
	case sum >= closingThreshold:
		return "failures at the end of the trial"
	case worst != "" && worstRatio >= closingThreshold+math.Log(float64(tested)):
		return fmt.Sprintf("failures on route %s at the end of the trial", worst)
	}
	return ""
}

// routeShare returns the share of a route's requests without a session that go to the new version until all shift.
func (r *Rollout) routeShare(route string) float64 { return max(r.canaryShare, r.routeShares[route]) }

// planInterval is how often the shares of routes are planned anew.
const planInterval = 100 * time.Millisecond

// planShares sets the shares of requests for the new version until all shift. What the exposure limit leaves beyond
// CanaryShare goes to the routes that have not shown enough yet, and at first the rest to all requests.
func (r *Rollout) planShares(now time.Time) {
	s := r.settings
	routes := r.pooledRoutes()
	missing, left, expected := r.missingByRoute(now, routes)
	r.plannedAt, r.routeShares = now, map[string]float64{}
	sum, scale := sumValues(missing), 0.0
	if sum > 0 {
		scale = min(1, left/sum)
	}
	for route, x := range missing {
		r.routeShares[route] = min(maxCanaryShare, s.CanaryShare+scale*haste*x/r.remainingAnswers(now, routes[route]))
	}
	if r.canaryShare > 0 {
		return // a session that has moved must not return
	}
	// A service with few requests needs a larger share of them to show a failure. The slack allows this.
	extra := canarySlack * r.exposureSlack() / (r.traffic.meanRate(now) * (1 - s.CanaryStart) * r.order.duration.Seconds())
	if sum > 0 {
		extra = min(extra, (left-scale*sum)/expected)
	}
	r.canaryShare = min(maxCanaryShare, s.CanaryShare+extra)
}

func sumValues(m map[string]float64) float64 {
	sum := 0.0
	for _, x := range m {
		sum += x
	}
	return sum
}

// remainingAnswers returns the expected number of answers on a route, of all instances, until all requests shift.
func (r *Rollout) remainingAnswers(now time.Time, t Totals) float64 {
	p := r.progress(now)
	return (t.Old.Answers + t.Target.Answers) * r.unknownPeersFactor() * max(0, r.settings.SteadyShift-p) / p
}

// missingByRoute returns how many answers of the new version routes lack beyond those by CanaryShare, how many the exposure
// limit leaves, and the expected answers of both versions on all routes; all until the requests shift, at all instances.
func (r *Rollout) missingByRoute(now time.Time, routes map[string]Totals) (missing map[string]float64, left, expected float64) {
	s, service := r.settings, serviceRate(routes)
	missing = map[string]float64{}
	for route, t := range routes {
		n := r.remainingAnswers(now, t)
		expected += n
		if !r.evidence.sessionless[route] {
			continue
		}
		if x := min(maxCanaryShare*n, t.missingAnswers(t.failureRate(service))) - s.CanaryShare*n; x > 0 {
			missing[route] = x
		}
	}
	p, picks := r.progress(now), r.pooledPicks()
	total := picks.Answers / p // requests of the whole roll-out
	slack := r.exposureSlack() * float64(r.instances)
	left = extraExposure*(s.MaxExposure*total+slack) - picks.Bad - (1-s.SteadyShift+s.CanaryShare*max(0, s.SteadyShift-p))*total
	return missing, max(0, left), expected
}

// picksKey returns the key of an instance's requests since the order in CountsByKey.
func (r *Rollout) picksKey() uint64 {
	return xxhash.Sum64String(r.order.service + "\x00" + r.order.target + "\x00picks")
}

// unknownPeersFactor returns the factor from this instance's requests to those of all instances; it is 1 if the counts of the
// others are known, as they are added up then.
func (r *Rollout) unknownPeersFactor() float64 {
	if _, known := r.peerCounts[r.picksKey()]; known {
		return 1
	}
	return float64(max(1, r.instances))
}

// pooledPicks returns the requests of all instances since the order; those to the new version count as bad.
func (r *Rollout) pooledPicks() AnswerCounts {
	own, others, x := r.traffic.picks(), r.peerCounts[r.picksKey()], r.unknownPeersFactor()
	return AnswerCounts{own.Answers*x + others.Answers, own.Bad*x + others.Bad}
}
