package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

const (
	minRequestLimit   = 2.0 // requests a second that an endpoint names
	maxRequestLimit   = 3.0
	minLimitDuration  = 6 * time.Second
	maxLimitDuration  = 9 * time.Second
	limitPeriod       = 4 * time.Second
	limitOvershoot    = 1.5 // requests in limitPeriod over those that the limit allows on average
	limitSlack        = 5   // further ones
	limitTellTime     = 500 * time.Millisecond
	limitedAtOnce     = 2                      // schedules that run side by side, each of which limits one endpoint at a time
	limitScheduleSeed = 4                      // of draws that leave the rest of the schedule as it is
	limitPause        = 500 * time.Millisecond // if there is no endpoint to limit
)

// limitSpan is a time in which an endpoint names a limit.
type limitSpan struct {
	perSecond   float64
	from, until time.Time
}

// nameLimits lets endpoints name limits, one after the other, until a time.
func (f *fleet) nameLimits(ctx context.Context, index uint64, until time.Time) {
	rng := rand.New(rand.NewPCG(f.options.Seed, limitScheduleSeed+index))
	service := []string{standin.EngineService, standin.PlainService}[index%2]
	for ctx.Err() == nil {
		d := minLimitDuration + time.Duration(rng.Int64N(int64(maxLimitDuration-minLimitDuration)))
		if !time.Now().Add(d).Before(until) {
			return
		}
		e := f.drawEndpoint(service, rng)
		if e == nil {
			time.Sleep(limitPause)
			continue
		}
		s := limitSpan{perSecond: minRequestLimit + rng.Float64()*(maxRequestLimit-minRequestLimit), from: time.Now()}
		f.addEvent("%s names a limit of %.2f requests a second, %v", e.ID, s.perSecond, d.Round(time.Millisecond))
		e.SetRequestLimit(s.perSecond)
		time.Sleep(d)
		s.until = time.Now()
		e.SetRequestLimit(0)
		f.mu.Lock()
		e.limits = append(e.limits, s)
		f.mu.Unlock()
	}
}

// processKey identifies a run of an instance.
type processKey struct {
	instance *instance
	number   int
}

// checkLimits checks that an endpoint gets no more requests than its limit allows from the processes that have passed on a response with it.
// A restart, pause or cut of an instance since then excuses it.
func (c *checker) checkLimits() {
	known := map[string]*request{}
	for _, q := range c.fleet.requests {
		known[q.ID] = q
	}
	byEndpoint := map[*endpoint][]arrival{}
	for _, l := range c.arrivals {
		for _, a := range l {
			if known[a.ID] != nil {
				byEndpoint[a.endpoint] = append(byEndpoint[a.endpoint], a)
			}
		}
	}
	for e, l := range byEndpoint {
		slices.SortFunc(l, func(a, b arrival) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
		for _, s := range e.limits {
			c.checkLimit(e, s, l, known)
		}
	}
}

// checkLimit checks one limit of an endpoint, by all that has arrived there.
func (c *checker) checkLimit(e *endpoint, s limitSpan, l []arrival, known map[string]*request) {
	toldAt := map[processKey]time.Time{}
	var named time.Time
	for _, a := range l {
		if a.NamedLimit == 0 || a.ReceivedAt.Before(s.from) || a.ReceivedAt.After(s.until) {
			continue
		}
		if named.IsZero() {
			named = a.ReceivedAt
		}
		q := known[a.ID]
		if k := (processKey{q.instance, q.processNumber}); q.response.Complete && a.Ran && (toldAt[k].IsZero() || q.end.Before(toldAt[k])) {
			toldAt[k] = q.end
		}
	}
	if named.IsZero() {
		return
	}
	allowed := int(limitOvershoot*s.perSecond*limitPeriod.Seconds() + limitSlack)
	var counted []time.Time
	for _, a := range l {
		q := known[a.ID]
		told := toldAt[processKey{q.instance, q.processNumber}]
		if a.ReceivedAt.Before(named.Add(stabilityWindow)) || a.ReceivedAt.After(s.until) || told.IsZero() || a.ReceivedAt.Sub(told) < limitTellTime ||
			c.excused(q.instance, e, told, a.ReceivedAt) {
			continue
		}
		counted = append(counted, a.ReceivedAt)
		for a.ReceivedAt.Sub(counted[0]) >= limitPeriod {
			counted = counted[1:]
		}
		if len(counted) > allowed {
			c.addViolation(q, "reached %s as number %d in %v, its limit of %.2f requests a second allows %d", e.ID, len(counted), limitPeriod, s.perSecond, allowed)
		}
	}
}

// excused reports whether an instance, or the link of an endpoint, was disturbed in a period.
func (c *checker) excused(n *instance, e *endpoint, from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return anyOverlaps(n.disturbances, from, to) || anyOverlaps(e.linkDisturbances, from, to)
}
