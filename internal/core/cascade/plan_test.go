package cascade

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// learned returns a view after n ratings of each version with the given pass rate, a latency of one second and the list
// price as cost.
func learned(n int, share map[string]float64) *Estimates {
	b := NewEstimator(Settings{})
	for i := range n {
		for _, v := range []string{"cheap@1", "mid@1", "best@1", "new@1"} {
			s, ok := share[v]
			if !ok {
				continue
			}
			score := 0.0
			if math.Floor(float64(i+1)*s) > math.Floor(float64(i)*s) {
				score = 1
			}
			b.Observe(epoch, Outcome{
				Class: "c", Version: v, Rated: true, Score: score, MinScore: 0.5, Completed: true,
				Cost: price(v).Output, Latency: time.Second,
			})
		}
	}
	return b.Estimates(epoch)
}

// price returns the list price of a version.
func price(v string) record.Price {
	return record.Price{Output: map[string]record.Micros{"cheap@1": 10, "mid@1": 40, "best@1": 100, "new@1": 20}[v]}
}

// request returns a request with the given versions as candidates, of which best@1 is the safe one.
func request(l ...string) *Request {
	r := &Request{
		Class: "c", Quality: record.Quality{MinScore: 0.5, Share: 0.9}, Weights: record.Weights{Cost: 1},
		RaterAvailable: true, MaxCost: 1000, MaxOutputTokens: 1000,
	}
	for _, v := range l {
		r.Candidates = append(r.Candidates, Candidate{Version: v, Model: v, Price: price(v), Safe: v == "best@1"})
	}
	return r
}

// noExploration is a draw at which a plan neither explores nor is rated after delivery.
const noExploration = 0.5

// names formats a plan as its problem and its versions, with " > " after each rated step.
func names(p Plan) string {
	s := string(p.Problem)
	for _, t := range p.Steps {
		s += t.Version
		if t.RateBeforeDelivery {
			s += " > "
		}
	}
	return s
}

// Checks the choice between single steps and cascades, and that no version without enough good ratings is a final step.
func TestPlan(t *testing.T) {
	all := []string{"cheap@1", "mid@1", "best@1"}
	passRates := map[string]float64{"cheap@1": 0.8, "mid@1": 0.97, "best@1": 0.99}
	for name, c := range map[string]struct {
		n      int
		share  map[string]float64
		change func(*Request)
		want   string
	}{
		"cascade with the cheapest trusted version last": {500, passRates, nil, "cheap@1 > mid@1"},
		"no ratings":                              {0, nil, nil, "cheap@1 > mid@1 > best@1"},
		"too few ratings for trust":               {20, map[string]float64{"mid@1": 1, "cheap@1": 0.1}, nil, "mid@1 > best@1"},
		"bad cheap version":                       {500, map[string]float64{"cheap@1": 0.1, "mid@1": 0.97}, nil, "mid@1"},
		"only the safe version meets the quality": {500, map[string]float64{"cheap@1": 0.01, "mid@1": 0.2}, nil, "best@1"},
		"latency makes a cascade too slow":        {500, passRates, func(r *Request) { r.Weights.Latency = 1000 }, "mid@1"},
		"deadline excludes a cascade":             {500, passRates, func(r *Request) { r.Deadline = 1500 * time.Millisecond }, "mid@1"},
		"no rating service":                       {500, passRates, func(r *Request) { r.RaterAvailable = false }, "mid@1"},
		"no rating service and few ratings":       {20, passRates, func(r *Request) { r.RaterAvailable = false }, "best@1"},
		"session runs on one trusted version":     {500, passRates, func(r *Request) { r.InSession = true }, "mid@1"},
		"pinned":                                  {500, passRates, func(r *Request) { r.PinnedVersion = "cheap@1" }, "cheap@1"},
		"pinned to a version not allowed":         {500, passRates, func(r *Request) { r.PinnedVersion = "other@1" }, "not-allowed"},
		"worst-case cost excludes a cascade":      {500, passRates, func(r *Request) { r.MaxCost = 45 }, "mid@1"},
		"worst-case cost excludes every plan":     {500, passRates, func(r *Request) { r.MaxCost = 30 }, "max-cost"},
		"no trusted version":                      {0, nil, func(r *Request) { r.Candidates = r.Candidates[:2] }, "no-trusted"},
		"no candidate":                            {0, nil, func(r *Request) { r.Candidates = nil }, "no-candidate"},
		"safe version misses the quality":         {500, map[string]float64{"cheap@1": 0.6, "mid@1": 0.7, "best@1": 0.5}, nil, "cheap@1 > mid@1 > best@1"},
	} {
		r := request(all...)
		if c.change != nil {
			c.change(r)
		}
		if got := names(learned(c.n, c.share).Plan(r, noExploration)); got != c.want {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
}

// A final step that meets the quality only together with the step before it needs ratings after that very step.
func TestPlanJoint(t *testing.T) {
	for name, c := range map[string]struct {
		after string
		pass  int // of 10 ratings
		age   time.Duration
		want  string
	}{
		"meets the quality jointly":  {"cheap@1", 9, 0, "cheap@1 > mid@1"},
		"misses the quality jointly": {"cheap@1", 2, 0, "cheap@1 > best@1"},
		"rated after another step":   {"new@1", 9, 0, "cheap@1 > mid@1 > best@1"},
		"ratings are too old":        {"cheap@1", 9, 6 * time.Minute, "cheap@1 > mid@1 > best@1"},
	} {
		b := NewEstimator(Settings{})
		for i := range 1000 {
			first, second := rating("cheap@1", epoch, i%10 < 8), rating("mid@1", epoch, i%10 < c.pass)
			second.Predecessor = c.after
			b.Observe(epoch, first)
			b.Observe(epoch, second)
		}
		r := request("cheap@1", "mid@1", "best@1")
		if got := names(b.Estimates(epoch.Add(c.age)).Plan(r, noExploration)); got != c.want {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
}

// An option that is trusted only after another step must also be tried and rated as first step.
func TestPlanTrials(t *testing.T) {
	b := NewEstimator(Settings{})
	for i := range 1000 {
		second := rating("mid@1", epoch, i%10 < 9)
		second.Predecessor = "cheap@1"
		b.Observe(epoch, rating("cheap@1", epoch, i%10 < 8))
		b.Observe(epoch, second)
	}
	v, r, total := b.Estimates(epoch), request("cheap@1", "mid@1", "best@1"), 20000
	r.Weights.Latency = 100 // a rating takes 0.2 s, so that mid@1 alone would be better than cheap@1 > mid@1
	seen := map[string]int{}
	for i := range total {
		p := v.Plan(r, float64(i)/float64(total))
		seen[names(p)]++
		if p.Exploratory != (names(p) != "cheap@1 > mid@1") {
			t.Fatalf("plan %s, exploratory %v", names(p), p.Exploratory)
		}
	}
	if seen["mid@1 > best@1"] == 0 || total-seen["cheap@1 > mid@1"] > total*3/100 {
		t.Errorf("plans %v, want mid@1 first in some of the 2 %% of requests that explore", seen)
	}
}

// A canary must run in its share of the requests only, and be rated before delivery until it has enough ratings.
func TestPlanCanary(t *testing.T) {
	for name, c := range map[string]struct {
		n    int
		want string
	}{
		"unproven": {20, "new@1 > "},
		"proven":   {500, "new@1"},
	} {
		v := learned(c.n, map[string]float64{"new@1": 0.99, "cheap@1": 0.1, "mid@1": 0.1, "best@1": 0.99})
		r := request("cheap@1", "mid@1", "best@1", "new@1")
		r.Candidates[3].Canary, r.Candidates[3].CanaryShare = true, 0.1
		canaryRuns, total := 0, 20000
		for i := range total {
			p := v.Plan(r, float64(i)/float64(total))
			if p.Steps[0].Version == "new@1" {
				canaryRuns++
				if got := names(p); len(got) < len(c.want) || got[:len(c.want)] != c.want || p.Steps[len(p.Steps)-1].Version == "new@1" != (c.n > 100) {
					t.Fatalf("%s: got %q", name, got)
				}
			}
		}
		if got := float64(canaryRuns) / float64(total); math.Abs(got-0.1) > 0.01 {
			t.Errorf("%s: canary ran in %v of the requests, want 0.1", name, got)
		}
	}
}

// Checks the invariant allowed-version and that the final step is trusted, and compares the plan with an exhaustive search.
func TestPlanAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 1)
		s := map[string]float64{"cheap@1": share.Draw(t, "cheap"), "mid@1": share.Draw(t, "mid"), "best@1": share.Draw(t, "best"), "new@1": share.Draw(t, "new")}
		v := learned(rapid.SampledFrom([]int{0, 10, 40, 200}).Draw(t, "n"), s)
		r := request(rapid.Permutation([]string{"cheap@1", "mid@1", "best@1", "new@1"}).Draw(t, "candidates")[:rapid.IntRange(1, 4).Draw(t, "count")]...)
		r.RaterAvailable = rapid.Bool().Draw(t, "rater")
		r.MaxCost = record.Micros(rapid.IntRange(5, 250).Draw(t, "max-cost"))
		r.Weights.Latency = rapid.SampledFrom([]float64{0, 5, 50}).Draw(t, "latency")
		r.Weights.Exposure = rapid.SampledFrom([]float64{0, 100}).Draw(t, "exposure")
		draw := rapid.Float64Range(0, 0.999).Draw(t, "draw")
		p := v.Plan(r, draw)
		want, belowQuality := naive(v, r)
		if (p.Problem != "") != math.IsInf(want, 1) {
			t.Fatalf("problem %q, naive objective %v", p.Problem, want)
		}
		if p.Problem != "" {
			return
		}
		if p.WorstCost > r.MaxCost {
			t.Fatalf("worst case %d over %d", p.WorstCost, r.MaxCost)
		}
		chain := make([]Candidate, len(p.Steps))
		for i, step := range p.Steps {
			for _, c := range r.Candidates {
				if c.Version == step.Version {
					chain[i] = c
				}
			}
			if chain[i].Version == "" || step.RateBeforeDelivery != (i < len(p.Steps)-1) {
				t.Fatalf("step %+v", step)
			}
		}
		got := objective(v, r, chain)
		if math.IsInf(got, 1) {
			t.Fatalf("plan %s breaks a rule", names(p))
		}
		if !p.Exploratory && !belowQuality && got > want+1e-6 {
			t.Fatalf("plan %s has objective %v, naive %v", names(p), got, want)
		}
	})
}

// naive returns the lowest objective of all plans, and whether the ratings show that the safe version misses the quality.
func naive(v *Estimates, r *Request) (float64, bool) {
	best, belowQuality := math.Inf(1), false
	var walk func([]Candidate)
	walk = func(l []Candidate) {
		if len(l) > 0 {
			best = min(best, objective(v, r, l))
		}
		if len(l) == 3 {
			return
		}
	next:
		for _, c := range r.Candidates {
			for _, o := range l {
				if o.Version == c.Version {
					continue next
				}
			}
			walk(append(l[:len(l):len(l)], c))
		}
	}
	walk(nil)
	for _, c := range r.Candidates {
		h, ok := v.Health(r.Class, c.Version)
		belowQuality = belowQuality || c.Safe && ok && h.Ratings >= 30 && 2*h.PassRate-h.PassRateLow < r.Quality.Share
	}
	return best, belowQuality
}

// objective computes the objective of a plan from Estimates.Health. A plan that breaks a rule has an infinite objective.
func objective(v *Estimates, r *Request, l []Candidate) float64 {
	sum, reached, worst := 0.0, 1.0, record.Micros(0)
	for i, c := range l {
		h, ok := v.Health(r.Class, c.Version)
		cost, seconds := float64(c.Price.Output), h.Latency.Seconds()
		if !ok {
			cost, h.PassRate, h.PassRateLow = cost/2, 0.5, 0.5-2*math.Sqrt(0.25/3)
		}
		worst += c.Price.Output
		if i < len(l)-1 {
			sum += reached * (cost*r.Weights.Cost + (seconds+0.2)*r.Weights.Latency)
			reached *= 1 - h.PassRate // there are no ratings of later steps here
			continue
		}
		if !c.Safe && (!ok || h.Ratings < 30 || h.PassRateLow < r.Quality.Share) {
			return math.Inf(1)
		}
		sum += reached * (cost*r.Weights.Cost + seconds*r.Weights.Latency + r.Weights.Exposure*(h.PassRate-h.PassRateLow)/2)
	}
	if worst > r.MaxCost || (len(l) > 1 && !r.RaterAvailable) {
		return math.Inf(1)
	}
	return sum
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{4, 19} {
		v := learned(200, map[string]float64{"cheap@1": 0.8, "mid@1": 0.97, "best@1": 0.99})
		r := request("cheap@1", "mid@1", "best@1")
		for i := len(r.Candidates); i < n; i++ {
			r.Candidates = append(r.Candidates, Candidate{Version: fmt.Sprintf("v@%d", i), Price: record.Price{Output: record.Micros(20 + i)}})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				_ = v.Plan(r, float64(i%1000)/1000)
			}
		})
	}
}

// A canary without enough ratings must not run in requests that cannot be rated before delivery.
func TestPlanCanaryUnrated(t *testing.T) {
	v := learned(20, map[string]float64{"new@1": 0.99, "best@1": 0.99})
	for name, change := range map[string]func(*Request){
		"no rating service": func(r *Request) { r.RaterAvailable = false },
		"session":           func(r *Request) { r.InSession = true },
	} {
		r := request("best@1", "new@1")
		r.Candidates[1].Canary, r.Candidates[1].CanaryShare = true, 1
		change(r)
		if got := names(v.Plan(r, noExploration)); got != "best@1" {
			t.Errorf("%s: got %q", name, got)
		}
	}
}

// The current version must run first in as many requests as its canary and be rated in them, so that both are comparable.
func TestPlanControl(t *testing.T) {
	v := learned(20, map[string]float64{"new@1": 0.7, "cheap@1": 0.7, "mid@1": 0.99, "best@1": 0.99})
	r := request("mid@1", "cheap@1", "best@1", "new@1")
	r.Candidates[3].Canary, r.Candidates[3].CanaryShare, r.Candidates[3].Model = true, 0.05, "best@1"
	seen, total := map[string]int{}, 20000
	for i := range total {
		if p := v.Plan(r, float64(i)/float64(total)); p.Steps[0].RateBeforeDelivery || p.Steps[0].RateAfterDelivery {
			seen[p.Steps[0].Version]++
		}
	}
	for _, version := range []string{"new@1", "best@1"} {
		if got := float64(seen[version]) / float64(total); math.Abs(got-0.05) > 0.005 {
			t.Errorf("%s ran first and was rated in %v of the requests, want 0.05", version, got)
		}
	}
}
