package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
)

// fleet plays a roll-out over instances that tell each other what they see ten times a second, and returns the bad answers
// until the first one stops it, or all of them.
func fleet(instances, perSecond int, seed uint64, pooled bool, bad func(g *rand.Rand, route string) (failed bool, gap float64)) (badAnswers int, why string) {
	const every = 100 * time.Millisecond
	g := rand.New(rand.NewPCG(seed, 9))
	settings := DefaultSettings(0.0975, 0.2)
	var l []*Rollout
	for range instances {
		r := New(settings)
		r.Versions(map[string]int{"v1": 10})
		r.Order(start, directory.RolloutOrder{Service: "s", Target: "v2", Duration: duration}, true)
		r.Confirm()
		l = append(l, r)
	}
	stopped := func() string {
		for _, r := range l {
			if _, s, w := r.Status(); s == directory.RolloutRolledBack {
				return w
			}
		}
		return ""
	}
	told := time.Duration(0)
	for at := time.Duration(0); at < duration; at += time.Second / time.Duration(perSecond) {
		now := start.Add(at)
		if pooled && at-told >= every {
			told = at
			share(l, now)
			if w := stopped(); w != "" {
				return badAnswers, w
			}
		}
		r, route := l[g.IntN(instances)], []string{"a", "b", "c"}[g.IntN(3)]
		v := r.Pick(now, g.Float64())
		failed, gap := g.Float64() < 0.01, 1.0
		if v == "v2" {
			failed, gap = bad(g, route)
			if failed || gap > 2 {
				badAnswers++
			}
		}
		r.Outcome(now, v, route, failed)
		r.Streamed(now, v, route, time.Duration(gap*(0.5+g.Float64())*10*float64(time.Millisecond)))
		if w := stopped(); w != "" {
			return badAnswers, w
		}
	}
	return badAnswers, ""
}

func share(l []*Rollout, now time.Time) {
	all := Trials{}
	own := make([]Trials, len(l))
	for i, r := range l {
		own[i] = r.Seen(now, "s")
		all.Add(own[i])
	}
	for i, r := range l {
		others := Trials{}
		for k, s := range all {
			o := own[i][k]
			others[k] = Seen{s.Answers - o.Answers, s.Bad - o.Bad}
		}
		r.Judge(now, "s", others)
	}
}

// TestPooledEvidence guards against bad versions that are seen the later the more instances there are, as each one judges
// by its own answers only: the bound on bad answers, 50, is the fleet's.
func TestPooledEvidence(t *testing.T) {
	ways := map[string]func(g *rand.Rand, route string) (bool, float64){
		"half fail":            func(g *rand.Rand, _ string) (bool, float64) { return g.IntN(2) == 0, 1 },
		"half fail on a route": func(g *rand.Rand, r string) (bool, float64) { return r == "a" && g.IntN(2) == 0, 1 },
		"half are slow":        func(g *rand.Rand, _ string) (bool, float64) { return false, 1 + 5*float64(g.IntN(2)) },
		"slow streams, a route": func(_ *rand.Rand, r string) (bool, float64) {
			return false, map[bool]float64{true: 6, false: 1}[r == "b"]
		},
	}
	for name, way := range ways {
		for _, instances := range []int{6, 78, 195, 770} {
			t.Run(fmt.Sprint(name, ", ", instances), func(t *testing.T) {
				n, why := fleet(instances, 120+3*instances, uint64(instances), true, way)
				if why == "" || n > 50 {
					t.Errorf("%d bad answers, stopped: %q", n, why)
				}
			})
		}
	}
}

// TestPooledEvidenceOfGood guards against a good version that is stopped because many instances look at it.
func TestPooledEvidenceOfGood(t *testing.T) {
	for _, instances := range []int{6, 195} {
		for seed := range uint64(10) {
			n, why := fleet(instances, 120+3*instances, seed, true, func(g *rand.Rand, _ string) (bool, float64) {
				return g.Float64() < 0.02, 1
			})
			if why != "" {
				t.Errorf("%d instances, seed %d: stopped after %d failures: %s", instances, seed, n, why)
			}
		}
	}
}

// TestFading guards against good answers of a version's beginning that hide its failures later.
func TestFading(t *testing.T) {
	var f fading
	for i := range 1000 {
		f.add(start.Add(time.Duration(i)*10*time.Millisecond), false)
	}
	later := start.Add(30 * time.Second)
	for range 5 {
		f.add(later, true)
	}
	if s := f.value(later); s.ratio(goodShare) < poolStop {
		t.Errorf("%+v after many good answers long ago", s)
	}
}
