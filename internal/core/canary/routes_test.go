package canary

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// plainRoute is a route of a service whose requests have no sessions.
type plainRoute struct {
	name      string
	perSecond float64
	failures  float64 // share of the requests that fail on any version
	repeated  bool    // a request that fails is repeated on the version in use, and counts if that succeeds
}

// plainFleet runs a roll-out of a plain service on several instances.
type plainFleet struct {
	instances int
	exposure  float64
	duration  time.Duration
	routes    []plainRoute
	weights   []float64     // share of the requests that each instance gets; all the same if nil
	exchange  time.Duration // interval of the reports of load; 100 ms if 0
}

// pickInstance returns an instance for a request.
func (f plainFleet) pickInstance(g *rand.Rand) int {
	if f.weights == nil {
		return g.IntN(f.instances)
	}
	x := g.Float64()
	for i, w := range f.weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return 0
}

// smallFleet has the rates of a small deployment: one kind of request fails often by itself, and there are requests that the old
// version always fails.
var smallFleet = plainFleet{
	instances: 9, exposure: 0.15, duration: 16 * time.Second,
	routes: []plainRoute{{"order", 18.5, 0.004, false}, {"status", 7.4, 0.14, true}, {"added", 5, 0, true}, {"removed", 1.6, 1, false}},
}

// unevenFleet is smallFleet with instances that get different shares of the requests.
func unevenFleet() plainFleet {
	f := smallFleet
	f.weights = []float64{0.4, 0.2, 0.15, 0.1, 0.05, 0.04, 0.03, 0.02, 0.01}
	return f
}

// busyInstanceFleet is smallFleet with an instance that gets most of the requests.
func busyInstanceFleet() plainFleet {
	f := smallFleet
	f.weights = []float64{0.76, 0.03, 0.03, 0.03, 0.03, 0.03, 0.03, 0.03, 0.03}
	return f
}

// run plays a roll-out of a new version that fails a share of the requests of a route, or of all routes if it is empty, beside
// those that the old one fails. The results are the state and the requests to the new version above the exposure limit.
func (f plainFleet) run(seed uint64, route string, failures float64) (state routing.RolloutState, excess float64) {
	exchangeInterval := 100 * time.Millisecond
	if f.exchange > 0 {
		exchangeInterval = f.exchange
	}
	g := rand.New(rand.NewPCG(seed, 11))
	var l []*Rollout
	for range f.instances {
		r := New(DefaultSettings(f.exposure, slack))
		r.SetInstances(f.instances)
		r.UpdateVersions(counts(map[string]int{"v1": 3, "v2": 3}))
		r.ApplyOrder(start, routing.RolloutOrder{Service: "s", Target: "v2", Duration: f.duration}, true)
		r.SetStateRead()
		l = append(l, r)
	}
	rate := 0.0
	for _, r := range f.routes {
		rate += r.perSecond
	}
	pick := func() plainRoute {
		x := g.Float64() * rate
		for _, r := range f.routes {
			if x -= r.perSecond; x < 0 {
				return r
			}
		}
		return f.routes[0]
	}
	all, toTarget := 0, 0
	state = routing.RolloutRunning
	exchangedAt := time.Duration(0)
	for at := time.Duration(0); at < f.duration; at += time.Duration(g.ExpFloat64() / rate * float64(time.Second)) {
		now := start.Add(at)
		if at-exchangedAt >= exchangeInterval {
			exchangedAt = at
			exchangeCounts(l, now)
			for _, r := range l {
				if s, _ := r.StateToPublish(now); s != routing.RolloutRunning && state == routing.RolloutRunning {
					state = s
				}
			}
			if state != routing.RolloutRunning {
				for _, r := range l {
					r.ApplyPublished(routing.RolloutStatus{Service: "s", Target: "v2", State: state})
				}
			}
		}
		r, q := l[f.pickInstance(g)], pick()
		v := r.PickVersionOnRoute(now, g.Float64(), q.name)
		all++
		own, failed := g.Float64() < q.failures, false
		if v == "v2" {
			toTarget++
			failed = (route == "" || route == q.name) && g.Float64() < failures
		}
		switch {
		case !q.repeated || !own && !failed:
			r.RecordOutcome(now, v, q.name, own || failed)
		case !own:
			all++
			r.RecordOutcome(now, v, q.name, true)
			r.RecordOutcome(now, "v1", q.name, false)
		default:
			all++
		}
	}
	return state, float64(toTarget) - f.exposure*float64(all) - slack
}

// TestPlainVersionFailsOneKind guards against a bad version of a service with few requests that is completed, because hardly any of
// its answers were seen before, and against a good one that is rolled back because requests fail by themselves.
func TestPlainVersionFailsOneKind(t *testing.T) {
	const seeds, maxKept, maxFalse = 60, 3, 3
	lateReports := unevenFleet()
	lateReports.exchange = 500 * time.Millisecond
	fleets := map[string]plainFleet{
		"9 instances":               smallFleet,
		"9 uneven instances":        unevenFleet(),
		"9 instances, late reports": lateReports,
		"9 instances, a busy one":   busyInstanceFleet(),
		"6 instances": {
			instances: 6, exposure: 0.15, duration: 16 * time.Second,
			routes: []plainRoute{{"order", 36.9, 0.004, false}, {"status", 14.8, 0.14, true}, {"added", 5, 0, true}, {"removed", 1.6, 1, false}},
		},
	}
	versions := map[string]struct {
		route    string
		failures float64
	}{
		"good":                      {"", 0},
		"two in five of one kind":   {"status", 0.4},
		"half of one kind":          {"status", 0.5},
		"two in five of the orders": {"order", 0.4},
		"a fifth of all":            {"", 0.2},
		"half of all":               {"", 0.5},
	}
	for fleet, f := range fleets {
		for name, v := range versions {
			t.Run(fleet+", "+name, func(t *testing.T) {
				t.Parallel()
				n := map[routing.RolloutState]int{}
				for seed := range uint64(seeds) {
					state, excess := f.run(seed, v.route, v.failures)
					n[state]++
					if v.failures > 0 && excess > 0 {
						t.Errorf("seed %d: %.0f requests above the exposure limit", seed, excess)
					}
				}
				if v.failures == 0 && n[routing.RolloutCompleted] < seeds-maxFalse || v.failures > 0 && n[routing.RolloutRolledBack] < seeds-maxKept {
					t.Errorf("ended as %v", n)
				}
			})
		}
	}
}

// TestUnevenInstancesMissFault guards against a bad version that is completed because the exposure limit was spent on routes that
// have shown enough, for one by instances with few requests.
func TestUnevenInstancesMissFault(t *testing.T) {
	t.Parallel()
	const seeds, maxKept = 1000, 25
	f := plainFleet{
		instances: 6, exposure: 0.15, duration: 16 * time.Second, weights: []float64{0.5, 0.25, 0.12, 0.07, 0.04, 0.02},
		routes: []plainRoute{{"order", 36.9, 0.004, false}, {"status", 14.8, 0.14, true}, {"added", 5, 0, true}, {"removed", 1.6, 1, false}},
	}
	kept := 0
	for seed := range uint64(seeds) {
		state, excess := f.run(seed, "status", 0.3)
		if state != routing.RolloutRolledBack {
			kept++
		}
		if excess > 0 {
			t.Errorf("seed %d: %.0f requests above the exposure limit", seed, excess)
		}
	}
	if kept > maxKept {
		t.Errorf("%d of %d bad versions were not rolled back", kept, seeds)
	}
}

// TestFewRequestsShiftEarly guards against an instance with few requests that moves all of them early, because its part of the
// slack covers them, while a route still lacks answers.
func TestFewRequestsShiftEarly(t *testing.T) {
	for name, c := range map[string]struct {
		answers int // of the new version
		want    bool
	}{
		"route lacks answers":    {0, false},
		"route has shown enough": {20, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newOrderedRollout()
			r.SetInstances(9)
			now := start
			for ; now.Before(start.Add(duration * 9 / 10)); now = now.Add(time.Second) {
				r.RecordOutcome(now, r.PickVersionOnRoute(now, 0.99, "a"), "a", false)
			}
			for range c.answers {
				r.RecordOutcome(now, "v2", "a", false)
			}
			if got := r.TargetShare(now) == 1; got != c.want {
				t.Errorf("all requests shifted: %v, want %v", got, c.want)
			}
		})
	}
}

// TestClearedRouteKeepsLargerShare guards against an exposure limit that is spent on a route that has shown enough rather than on
// one whose answers are still in doubt.
func TestClearedRouteKeepsLargerShare(t *testing.T) {
	for name, c := range map[string]struct {
		bad  int // of the answers of the new version on the route
		want bool
	}{
		"all answers good": {0, false},
		"one answer bad":   {1, true},
	} {
		t.Run(name, func(t *testing.T) {
			const answers = 18
			r := newOrderedRollout()
			now := start
			for ; now.Before(start.Add(duration * 6 / 10)); now = now.Add(200 * time.Millisecond) {
				r.RecordOutcome(now, r.PickVersionOnRoute(now, 0.99, "a"), "a", false)
				r.RecordOutcome(now, r.PickVersionOnRoute(now, 0.99, "b"), "b", false)
			}
			for i := range answers {
				r.RecordOutcome(now, "v2", "a", i < c.bad)
			}
			share := r.TargetShare(now.Add(time.Second))
			if got := r.routeShare("a") > share; got != c.want {
				t.Errorf("share %.3f of the route, %.3f of all; larger: %v, want %v", r.routeShare("a"), share, got, c.want)
			}
		})
	}
}
