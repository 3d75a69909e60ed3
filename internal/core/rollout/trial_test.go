package rollout

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against more false stops than the settings allow. For a version whose odds ratio of bad outcomes is tolerated,
// the expected likelihood ratio of a comparison, found by enumerating all outcomes, must be at most 1, so that the
// product of the ratios is a supermartingale.
func TestEvidenceIsSupermartingale(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, k := rapid.IntRange(1, 6).Draw(t, "canaries"), rapid.IntRange(1, 6).Draw(t, "controls")
		current := rapid.Float64Range(0.001, 0.9).Draw(t, "current")
		ratio := rapid.Float64Range(0.2, 1.5).Draw(t, "odds ratio")
		canary := ratio * current / (1 - current + ratio*current)
		var mean [len(testedOddsRatios)]float64
		for set := range 1 << (n + k) {
			x, y := outcomes{n, bits.OnesCount(uint(set & (1<<n - 1)))}, outcomes{k, bits.OnesCount(uint(set >> n))}
			p := math.Pow(canary, float64(x.bad)) * math.Pow(1-canary, float64(n-x.bad)) *
				math.Pow(current, float64(y.bad)) * math.Pow(1-current, float64(k-y.bad))
			var e Evidence
			e.add(1.5, x, y)
			for i := range mean {
				mean[i] += p * math.Exp(e[i])
			}
		}
		for i, m := range mean {
			if m > 1+1e-9 {
				t.Fatalf("expected likelihood ratio for odds %v is %v", testedOddsRatios[i], m)
			}
		}
	})
}

// Guards against a wrong likelihood ratio or mean, by comparison with a sum over all ways to distribute the bad
// outcomes.
func TestEvidenceAgainstNaive(t *testing.T) {
	naiveLikelihood := func(oddsRatio float64, x, y outcomes) float64 {
		matching, sum := 0.0, 0.0
		for set := range 1 << (x.count + y.count) {
			if bits.OnesCount(uint(set)) != x.bad+y.bad {
				continue
			}
			n := bits.OnesCount(uint(set & (1<<x.count - 1)))
			sum += math.Pow(oddsRatio, float64(n))
			if n == x.bad {
				matching += math.Pow(oddsRatio, float64(n))
			}
		}
		return matching / sum
	}
	rapid.Check(t, func(t *rapid.T) {
		var e Evidence
		product := [len(testedOddsRatios)]float64{1, 1, 1, 1}
		for range rapid.IntRange(0, 10).Draw(t, "blocks") {
			x, y := outcomes{count: rapid.IntRange(1, 5).Draw(t, "canaries")}, outcomes{count: rapid.IntRange(1, 5).Draw(t, "controls")}
			x.bad, y.bad = rapid.IntRange(0, x.count).Draw(t, "bad canaries"), rapid.IntRange(0, y.count).Draw(t, "bad controls")
			e.add(1.5, x, y)
			for i, o := range testedOddsRatios {
				product[i] *= naiveLikelihood(o, x, y) / naiveLikelihood(1.5, x, y)
			}
		}
		want := math.Log((product[0] + product[1] + product[2] + product[3]) / 4)
		if got := e.logMeanRatio(); math.Abs(got-want) > 1e-6 {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
	if got := (Evidence{5000, 0, 0, 0}).logMeanRatio(); got < 4990 || math.IsInf(got, 0) {
		t.Errorf("got %v for strong evidence", got)
	}
}

// feedTrial gives a trial n samples of each version; rated is the share of answers that are rated.
func feedTrial(t *Trial, n int, canaryShort, canaryFailed, rated float64, slow time.Duration) Verdict {
	r := rand.New(rand.NewPCG(1, 2))
	for range n {
		for _, canary := range []bool{false, true} {
			short, failed, latency := 0.03, 0.002, time.Duration(r.ExpFloat64()*float64(time.Second))
			if canary {
				short, failed, latency = canaryShort, canaryFailed, latency+slow
			}
			o := Sample{Canary: canary, Class: "c", Latency: latency, Failed: r.Float64() < failed}
			o.Completed = !o.Failed
			t.Observe(epoch, 100, o)
			if r.Float64() < rated {
				t.Observe(epoch, 100, Sample{Canary: canary, Class: "c", Rated: true, BelowMinScore: r.Float64() < short})
			}
		}
	}
	return t.Verdict(100)
}

// Guards against bad versions that pass and against stages that pass without ratings.
func TestTrialVerdict(t *testing.T) {
	for name, c := range map[string]struct {
		n                    int
		short, failed, rated float64
		slow                 time.Duration
		want                 Verdict
		metric               Metric
	}{
		"healthy":                {300, 0.03, 0.002, 1, 0, Pass, ""},
		"too few samples":        {50, 0.03, 0.002, 1, 0, Continue, ""},
		"half the ratings":       {400, 0.03, 0.002, 0.5, 0, Pass, ""},
		"no ratings":             {300, 0.03, 0.002, 0, 0, Continue, ""},
		"short answers":          {300, 0.4, 0.002, 1, 0, Stop, MetricRatings},
		"errors, no ratings":     {300, 0.03, 0.4, 0, 0, Stop, MetricErrors},
		"slow":                   {300, 0.03, 0.002, 1, 3 * time.Second, Stop, MetricLatency},
		"short, many lost":       {900, 0.4, 0.002, 0.2, 0, Stop, MetricRatings},
		"better than the other":  {300, 0, 0, 1, 0, Pass, ""},
		"errors are caught soon": {60, 0.03, 0.6, 1, 0, Stop, MetricErrors},
	} {
		tr := NewTrial(Settings{})
		if got := feedTrial(tr, c.n, c.short, c.failed, c.rated, c.slow); got != c.want || tr.StoppedBy() != c.metric {
			t.Errorf("%s: got %s %q, want %s %q", name, got, tr.StoppedBy(), c.want, c.metric)
		}
	}
}

// Guards against an advance while there is evidence against the version, but too little to stop it.
func TestTrialCaution(t *testing.T) {
	for ratio, want := range map[float64]Verdict{5: Pass, 20: Continue, 2900: Continue, 3100: Stop} {
		tr, x := NewTrial(Settings{}), math.Log(ratio)
		tr.local = State{Ratings: 100, Calls: 100, Evidence: [3]Evidence{1: {x, x, x, x}}}
		if got := tr.Verdict(100); got != want {
			t.Errorf("likelihood ratio %v: got %s, want %s", ratio, got, want)
		}
	}
}

// Guards against a stage that passes while the new version is clearly worse, but the evidence does not stop it.
func TestTrialMargin(t *testing.T) {
	for name, c := range map[string]struct {
		metric int
		bad    int // bad outcomes among 100; the current version has 20
		want   Verdict
	}{
		"ratings within": {0, 22, Pass},
		"ratings beyond": {0, 23, Continue},
		"errors beyond":  {1, 23, Continue},
		"slow within":    {2, 30, Pass},
		"slow beyond":    {2, 31, Continue},
	} {
		tr := NewTrial(Settings{})
		tr.local.Ratings, tr.local.Calls = 100, 100
		tr.local.Tallies[c.metric] = Tally{100, c.bad, 100, 20}
		if got := tr.Verdict(100); got != c.want {
			t.Errorf("%s: got %s, want %s", name, got, c.want)
		}
	}
}

// Guards against a version that gets more requests although its answers are never rated, and against one that is kept
// from requests for ever.
func TestTrialAcceptsRequests(t *testing.T) {
	tr := NewTrial(Settings{})
	for range 250 {
		tr.Observe(epoch, 10, Sample{Canary: true, Class: "c", Completed: true})
	}
	if tr.AcceptsRequests() {
		t.Error("accepts requests with 250 unrated answers")
	}
	tr.Observe(epoch.Add(5*time.Minute), 10, Sample{Class: "c"})
	if !tr.AcceptsRequests() {
		t.Error("accepts no requests after half of the unrated answers expired")
	}
}

// Guards against evidence that is not pooled: evidence that suffices only together with that of peers must stop the
// version.
func TestTrialStopsByPeers(t *testing.T) {
	tr, peer := NewTrial(Settings{}), NewTrial(Settings{})
	if a, b := feedTrial(tr, 12, 0.6, 0.002, 1, 0), feedTrial(peer, 12, 0.6, 0.002, 1, 0); a != Continue || b != Continue {
		t.Fatalf("got %s and %s before the merge", a, b)
	}
	for i := range 4 {
		tr.Merge(string(rune('a'+i)), peer.State())
	}
	if got := tr.Verdict(100); got != Stop {
		t.Errorf("got %s, want stop", got)
	}
}

// Guards against samples of peers that count twice or get lost when states arrive repeatedly or in another order.
func TestTrialMerge(t *testing.T) {
	whole, a, b := NewTrial(Settings{}), NewTrial(Settings{}), NewTrial(Settings{})
	var states []State
	for range 30 {
		feedTrial(a, 10, 0.2, 0.002, 1, 0)
		states = append(states, a.State())
	}
	feedTrial(b, 100, 0.2, 0.002, 1, 0)
	whole.local = a.State()
	whole.Merge("b", b.State())
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTrial(Settings{})
		tr.local = b.State()
		for _, delivered := range rapid.Permutation(states).Draw(t, "order") {
			tr.Merge("a", delivered)
			tr.Merge("a", states[0])
		}
		if got, want := tr.poolStates(), whole.poolStates(); got != want {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}
