package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// simulateInstances runs a roll-out on several instances that exchange their counts ten times a second if pooled is set.
// A share oldFailures of the old version's answers fail. The function answer returns whether an answer of the new version fails
// and its relative gap. The results are the
// number of bad answers before the first instance rolls the version back, and the reason for that.
func simulateInstances(instances, rate int, seed uint64, pooled bool, oldFailures float64, answer func(g *rand.Rand, route string) (failed bool, gap float64)) (badAnswers int, reason string) {
	const exchangeInterval = 100 * time.Millisecond
	g := rand.New(rand.NewPCG(seed, 9))
	settings := DefaultSettings(0.0975, 0.2)
	var l []*Rollout
	for range instances {
		r := New(settings)
		r.UpdateVersions(counts(map[string]int{"v1": 10}))
		r.ApplyOrder(start, routing.RolloutOrder{Service: "s", Target: "v2", Duration: duration}, true)
		r.SetStateRead()
		l = append(l, r)
	}
	rollbackReason := func() string {
		for _, r := range l {
			if _, s, reason := r.Status(); s == routing.RolloutRolledBack {
				return reason
			}
		}
		return ""
	}
	exchangedAt := time.Duration(0)
	for at := time.Duration(0); at < duration; at += time.Second / time.Duration(rate) {
		now := start.Add(at)
		if pooled && at-exchangedAt >= exchangeInterval {
			exchangedAt = at
			exchangeCounts(l, now)
			if reason := rollbackReason(); reason != "" {
				return badAnswers, reason
			}
		}
		r, route := l[g.IntN(instances)], []string{"a", "b", "c"}[g.IntN(3)]
		v := r.PickVersion(now, g.Float64())
		failed, gap := g.Float64() < oldFailures, 1.0
		if v == "v2" {
			failed, gap = answer(g, route)
			if failed || gap > 2 {
				badAnswers++
			}
		}
		r.RecordOutcome(now, v, route, failed)
		r.RecordStreamGap(now, v, route, time.Duration(gap*(0.5+g.Float64())*10*float64(time.Millisecond)))
		if reason := rollbackReason(); reason != "" {
			return badAnswers, reason
		}
	}
	return badAnswers, ""
}

// exchangeCounts passes each instance the answer counts of all others.
func exchangeCounts(l []*Rollout, now time.Time) {
	all := CountsByKey{}
	own := make([]CountsByKey, len(l))
	for i, r := range l {
		own[i] = r.LocalCounts(now, "s")
		all.Merge(own[i])
	}
	for i, r := range l {
		others := CountsByKey{}
		for k, s := range all {
			o := own[i][k]
			others[k] = AnswerCounts{s.Answers - o.Answers, s.Bad - o.Bad}
		}
		r.EvaluatePooled(now, "s", others)
	}
}

// TestPooledEvidence guards against bad versions that are detected later the more instances there are, because each one
// tests its own answers only. The limit of 50 bad answers applies to all instances together.
func TestPooledEvidence(t *testing.T) {
	versions := map[string]func(g *rand.Rand, route string) (bool, float64){
		"half fail":            func(g *rand.Rand, _ string) (bool, float64) { return g.IntN(2) == 0, 1 },
		"half fail on a route": func(g *rand.Rand, r string) (bool, float64) { return r == "a" && g.IntN(2) == 0, 1 },
		"half are slow":        func(g *rand.Rand, _ string) (bool, float64) { return false, 1 + 5*float64(g.IntN(2)) },
		"slow streams, a route": func(_ *rand.Rand, r string) (bool, float64) {
			return false, map[bool]float64{true: 6, false: 1}[r == "b"]
		},
	}
	for name, answer := range versions {
		for _, instances := range []int{6, 78, 195, 770} {
			t.Run(fmt.Sprint(name, ", ", instances), func(t *testing.T) {
				n, reason := simulateInstances(instances, 120+3*instances, uint64(instances), true, 0.01, answer)
				if reason == "" || n > 50 {
					t.Errorf("%d bad answers, stopped: %q", n, reason)
				}
			})
		}
	}
}

// TestPooledEvidenceOfGoodVersion guards against the roll-back of a good version because many instances test it.
func TestPooledEvidenceOfGoodVersion(t *testing.T) {
	for _, instances := range []int{6, 195} {
		for seed := range uint64(10) {
			n, reason := simulateInstances(instances, 120+3*instances, seed, true, 0.01, func(g *rand.Rand, _ string) (bool, float64) {
				return g.Float64() < 0.02, 1
			})
			if reason != "" {
				t.Errorf("%d instances, seed %d: stopped after %d failures: %s", instances, seed, n, reason)
			}
		}
	}
}

// TestCountsDecay guards against early good answers of a version that hide its later failures.
func TestCountsDecay(t *testing.T) {
	var d decayingCount
	for i := range 1000 {
		d.add(start.Add(time.Duration(i)*10*time.Millisecond), false)
	}
	later := start.Add(30 * time.Second)
	for range 5 {
		d.add(later, true)
	}
	if s := d.value(later); s.logLikelihoodRatio(minGoodRate) < pooledRollbackThreshold {
		t.Errorf("%+v after many good answers long ago", s)
	}
}

// TestRollbackReachesOtherInstances guards against a completion by an instance that hasn't read the roll-back of another one in the
// store yet.
func TestRollbackReachesOtherInstances(t *testing.T) {
	stopped, other := newOrderedRollout(), newOrderedRollout()
	at := start.Add(duration / 2)
	for range 10 {
		stopped.RecordOutcome(at, "v2", "a", true)
	}
	if !other.EvaluatePooled(at, "s", stopped.LocalCounts(at, "s")) {
		t.Error("not told to the other instance")
	}
	if s, _ := other.StateToPublish(start.Add(duration)); s != routing.RolloutRolledBack {
		t.Errorf("the other instance would publish %s", s)
	}
	if a, b := stopped.PublishSpread(), other.PublishSpread(); a >= b {
		t.Errorf("the decision is published within %v, and what was told within %v", a, b)
	}
}
