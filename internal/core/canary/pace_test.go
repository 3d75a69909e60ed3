package canary

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// paceLoad is a service whose old endpoints are busy while those of a new version get few requests.
type paceLoad struct {
	instances int
	rate      float64 // requests per second
	slowdown  float64 // of the new version
	busy      float64 // standard deviation of the logarithm of the gaps on busy endpoints
}

// simulatePaces runs the part of a roll-out before all requests shift. It returns how many answers the new version had given
// when it was rolled back, or 0 if it was not.
func simulatePaces(c paceLoad, seed uint64) int {
	g := rand.New(rand.NewPCG(seed, 31))
	var l []*Rollout
	for range c.instances {
		r := New(DefaultSettings(exposure, slack/float64(c.instances)))
		r.UpdateVersions(counts(map[string]int{"v1": 9}))
		r.ApplyOrder(start, routing.RolloutOrder{Service: "s", Target: "v2", Duration: duration}, true)
		r.SetStateRead()
		l = append(l, r)
	}
	answers, exchangedAt := 0, time.Duration(0)
	for at := time.Duration(0); at < duration*9/10; at += time.Duration(float64(time.Second) / c.rate) {
		now := start.Add(at)
		if at-exchangedAt >= 400*time.Millisecond {
			exchangedAt = at
			exchangePaces(l, now)
		}
		r := l[g.IntN(len(l))]
		v := r.PickVersion(now, g.Float64())
		if r.shifted {
			break
		}
		kind := fmt.Sprint("kind-", g.IntN(6))
		pace := 18.0
		if g.IntN(3) == 0 {
			pace *= 1.3 // a third of the endpoints have slower hardware
		}
		if v == "v2" {
			answers++
			pace *= c.slowdown * math.Exp(0.05*math.Abs(g.NormFloat64()))
		} else {
			pace *= math.Exp(math.Abs(g.NormFloat64()) * c.busy)
		}
		r.RecordPace(now, "s", v, kind, time.Duration(pace*float64(time.Millisecond)))
		if r.EvaluatePace(now, "s") {
			return answers
		}
	}
	return 0
}

// exchangePaces passes each instance the sums of all others.
func exchangePaces(l []*Rollout, now time.Time) {
	all := PacesByKey{}
	own := make([]PacesByKey, len(l))
	for i, r := range l {
		own[i] = r.LocalPaces(now, "s")
		all.Merge(own[i])
	}
	for i, r := range l {
		others := PacesByKey{}
		for k, s := range all {
			others[k] = PaceSum{s.Answers - own[i][k].Answers, s.LogSum - own[i][k].LogSum}
		}
		r.SetPeerPaces(now, others)
	}
}

// TestSlowVersionOnIdleEndpoints guards against a slow version that is completed because its endpoints are idle while those
// of the old version are busy, at instances that see few answers each.
func TestSlowVersionOnIdleEndpoints(t *testing.T) {
	for _, instances := range []int{6, 9, 78, 195, 770} {
		for _, slowdown := range []float64{1, 1.5, 2, 4.5} {
			for _, busy := range []float64{0.05, 0.5, 0.9} {
				t.Run(fmt.Sprint(instances, " instances, slowdown ", slowdown, ", busy ", busy), func(t *testing.T) {
					seeds := uint64(5)
					if instances > 50 {
						seeds = 1
					}
					for seed := range seeds {
						n := simulatePaces(paceLoad{instances, 74 + 2*float64(instances), slowdown, busy}, seed)
						if slowdown == 1 && n > 0 {
							t.Errorf("seed %d: a good version was rolled back after %d answers", seed, n)
						}
						if slowdown > 1 && (n == 0 || n > maxFailures) {
							t.Errorf("seed %d: rolled back after %d answers, want 1 to %d", seed, n, maxFailures)
						}
					}
				})
			}
		}
	}
}

// TestPlainAnswersOfGoodVersion guards against a good version of a plain service that counts as slow. The times of plain answers differ
// by the work of each request, so that few of a good version's answers are as fast as the fastest ones of the old version.
func TestPlainAnswersOfGoodVersion(t *testing.T) {
	const instances, rate, share, seeds, falseAlarms = 9, 35, 0.3, 100, 2
	rolledBack := 0
	for seed := range uint64(seeds) {
		g := rand.New(rand.NewPCG(seed, 37))
		var l []*Rollout
		for range instances {
			l = append(l, newOrderedRollout())
		}
		exchangedAt := time.Duration(0)
		for at := time.Duration(0); at < duration*9/10; at += time.Second / rate {
			now := start.Add(at)
			if at-exchangedAt >= 400*time.Millisecond {
				exchangedAt = at
				exchangePaces(l, now)
			}
			r, v := l[g.IntN(instances)], "v1"
			if at > duration/2 && g.Float64() < share {
				v = "v2"
			}
			r.RecordPlainPace(now, "s", v, fmt.Sprint("route-", g.IntN(3)), time.Duration(15*math.Exp(0.5*g.NormFloat64())*float64(time.Millisecond)))
			if r.EvaluatePace(now, "s") {
				rolledBack++
				break
			}
		}
	}
	if rolledBack > falseAlarms {
		t.Errorf("rolled back on %d of %d seeds", rolledBack, seeds)
	}
}
