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
}

// smallFleet has the rates of a small deployment: one kind of request fails often by itself, and there are requests that the old
// version always fails.
var smallFleet = plainFleet{
	instances: 9, exposure: 0.15, duration: 16 * time.Second,
	routes: []plainRoute{{"order", 18.5, 0.004, false}, {"status", 7.4, 0.14, true}, {"added", 5, 0, true}, {"removed", 1.6, 1, false}},
}

// run plays a roll-out of a new version that fails a share of the requests of a route, or of all routes if it is empty, beside
// those that the old one fails. The results are the state and the requests to the new version above the exposure limit.
func (f plainFleet) run(seed uint64, route string, failures float64) (state routing.RolloutState, excess float64) {
	const exchangeInterval = 100 * time.Millisecond
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
		r, q := l[g.IntN(f.instances)], pick()
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
	fleets := map[string]plainFleet{
		"9 instances": smallFleet,
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
