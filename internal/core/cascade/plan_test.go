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

// learned returns a view after n ratings of each version with the given pass share, one second of latency
// and the list price as cost.
func learned(n int, share map[string]float64) *View {
	b := New(Settings{})
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
				Class: "c", Version: v, Rated: true, Score: score, MinScore: 0.5, Done: true,
				Cost: price(v).Output, Latency: time.Second,
			})
		}
	}
	return b.View(epoch)
}

func price(v string) record.Price {
	return record.Price{Output: map[string]record.Micros{"cheap@1": 10, "mid@1": 40, "best@1": 100, "new@1": 20}[v]}
}

func request(l ...string) *Request {
	r := &Request{
		Class: "c", Quality: record.Quality{MinScore: 0.5, Share: 0.9}, Weights: record.Weights{Cost: 1},
		RaterUp: true, MaxCost: 1000, MaxOutput: 1000,
	}
	for _, v := range l {
		r.Candidates = append(r.Candidates, Candidate{Version: v, Model: v, Price: price(v), Safe: v == "best@1"})
	}
	return r
}

// noTrial is a draw in which a request neither explores nor samples.
const noTrial = 0.5

func names(p Plan) string {
	s := string(p.Problem)
	for _, t := range p.Steps {
		s += t.Version
		if t.Rate {
			s += " > "
		}
	}
	return s
}

// Guards the choice between direct calls and cascades, and that unproven versions never end a plan unrated.
func TestPlan(t *testing.T) {
	all := []string{"cheap@1", "mid@1", "best@1"}
	usual := map[string]float64{"cheap@1": 0.8, "mid@1": 0.97, "best@1": 0.99}
	for name, c := range map[string]struct {
		n      int
		share  map[string]float64
		change func(*Request)
		want   string
	}{
		"cascade into the cheapest trusted":   {500, usual, nil, "cheap@1 > mid@1"},
		"nothing known":                       {0, nil, nil, "cheap@1 > mid@1 > best@1"},
		"few ratings are no trust":            {20, map[string]float64{"mid@1": 1, "cheap@1": 0.1}, nil, "mid@1 > best@1"},
		"bad cheap version":                   {500, map[string]float64{"cheap@1": 0.1, "mid@1": 0.97}, nil, "mid@1"},
		"only the safe version is good":       {500, map[string]float64{"cheap@1": 0.01, "mid@1": 0.2}, nil, "best@1"},
		"latency makes a cascade too slow":    {500, usual, func(r *Request) { r.Weights.Latency = 1000 }, "mid@1"},
		"deadline excludes a cascade":         {500, usual, func(r *Request) { r.Deadline = 1500 * time.Millisecond }, "mid@1"},
		"ratings away":                        {500, usual, func(r *Request) { r.RaterUp = false }, "mid@1"},
		"ratings away and little known":       {20, usual, func(r *Request) { r.RaterUp = false }, "best@1"},
		"session runs on one trusted version": {500, usual, func(r *Request) { r.Session = true }, "mid@1"},
		"pinned":                              {500, usual, func(r *Request) { r.Pinned = "cheap@1" }, "cheap@1"},
		"pinned to a version not allowed":     {500, usual, func(r *Request) { r.Pinned = "other@1" }, "not-allowed"},
		"worst case bounds the cascade":       {500, usual, func(r *Request) { r.MaxCost = 45 }, "mid@1"},
		"nothing fits":                        {500, usual, func(r *Request) { r.MaxCost = 30 }, "max-cost"},
		"no trusted version":                  {0, nil, func(r *Request) { r.Candidates = r.Candidates[:2] }, "no-trusted"},
		"no candidate":                        {0, nil, func(r *Request) { r.Candidates = nil }, "no-candidate"},
		"safe version fell short":             {500, map[string]float64{"cheap@1": 0.6, "mid@1": 0.7, "best@1": 0.5}, nil, "cheap@1 > mid@1 > best@1"},
	} {
		r := request(all...)
		if c.change != nil {
			c.change(r)
		}
		if got := names(learned(c.n, c.share).Plan(r, noTrial)); got != c.want {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
}

// Guards an end that is good enough only together with the step before it: it needs ratings after that very step.
func TestPlanJoint(t *testing.T) {
	for name, c := range map[string]struct {
		after string
		pass  int // of 10 ratings
		age   time.Duration
		want  string
	}{
		"good together":       {"cheap@1", 9, 0, "cheap@1 > mid@1"},
		"not good enough":     {"cheap@1", 2, 0, "cheap@1 > best@1"},
		"after another step":  {"new@1", 9, 0, "cheap@1 > mid@1 > best@1"},
		"ratings are too old": {"cheap@1", 9, 6 * time.Minute, "cheap@1 > mid@1 > best@1"},
	} {
		b := New(Settings{})
		for i := range 1000 {
			first, second := rating("cheap@1", epoch, i%10 < 8), rating("mid@1", epoch, i%10 < c.pass)
			second.After = c.after
			b.Observe(epoch, first)
			b.Observe(epoch, second)
		}
		r := request("cheap@1", "mid@1", "best@1")
		if got := names(b.View(epoch.Add(c.age)).Plan(r, noTrial)); got != c.want {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
}

// Guards against an end that is trusted only behind another step and is never rated on all requests.
func TestPlanTrials(t *testing.T) {
	b := New(Settings{})
	for i := range 1000 {
		second := rating("mid@1", epoch, i%10 < 9)
		second.After = "cheap@1"
		b.Observe(epoch, rating("cheap@1", epoch, i%10 < 8))
		b.Observe(epoch, second)
	}
	v, r, total := b.View(epoch), request("cheap@1", "mid@1", "best@1"), 20000
	r.Weights.Latency = 100 // a rating takes 0.2 s, so mid@1 alone would be better than cheap@1 before it
	seen := map[string]int{}
	for i := range total {
		p := v.Plan(r, float64(i)/float64(total))
		seen[names(p)]++
		if p.Trial != (names(p) != "cheap@1 > mid@1") {
			t.Fatalf("plan %s, trial %v", names(p), p.Trial)
		}
	}
	if seen["mid@1 > best@1"] == 0 || total-seen["cheap@1 > mid@1"] > total*3/100 {
		t.Errorf("plans %v, want mid@1 first in a part of the 2 %% of trials", seen)
	}
}

// Guards the exposure cap of a canary, and that it is rated before it has ratings enough.
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
		r.Candidates[3].Canary, r.Candidates[3].Share = true, 0.1
		seen, total := 0, 20000
		for i := range total {
			p := v.Plan(r, float64(i)/float64(total))
			if p.Steps[0].Version == "new@1" {
				seen++
				if got := names(p); len(got) < len(c.want) || got[:len(c.want)] != c.want || p.Steps[len(p.Steps)-1].Version == "new@1" != (c.n > 100) {
					t.Fatalf("%s: got %q", name, got)
				}
			}
		}
		if got := float64(seen) / float64(total); math.Abs(got-0.1) > 0.01 {
			t.Errorf("%s: canary ran in %v of the requests, want 0.1", name, got)
		}
	}
}

// Guards allowed-version and the rule that the end of a plan is trusted, and compares the choice with a naive search.
func TestPlanAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 1)
		s := map[string]float64{"cheap@1": share.Draw(t, "cheap"), "mid@1": share.Draw(t, "mid"), "best@1": share.Draw(t, "best"), "new@1": share.Draw(t, "new")}
		v := learned(rapid.SampledFrom([]int{0, 10, 40, 200}).Draw(t, "n"), s)
		r := request(rapid.Permutation([]string{"cheap@1", "mid@1", "best@1", "new@1"}).Draw(t, "candidates")[:rapid.IntRange(1, 4).Draw(t, "count")]...)
		r.RaterUp = rapid.Bool().Draw(t, "rater")
		r.MaxCost = record.Micros(rapid.IntRange(5, 250).Draw(t, "max-cost"))
		r.Weights.Latency = rapid.SampledFrom([]float64{0, 5, 50}).Draw(t, "latency")
		r.Weights.Exposure = rapid.SampledFrom([]float64{0, 100}).Draw(t, "exposure")
		draw := rapid.Float64Range(0, 0.999).Draw(t, "draw")
		p := v.Plan(r, draw)
		want, short := naive(v, r)
		if (p.Problem != "") != math.IsInf(want, 1) {
			t.Fatalf("problem %q, naive objective %v", p.Problem, want)
		}
		if p.Problem != "" {
			return
		}
		if p.Worst > r.MaxCost {
			t.Fatalf("worst case %d over %d", p.Worst, r.MaxCost)
		}
		chain := make([]Candidate, len(p.Steps))
		for i, step := range p.Steps {
			for _, c := range r.Candidates {
				if c.Version == step.Version {
					chain[i] = c
				}
			}
			if chain[i].Version == "" || step.Rate != (i < len(p.Steps)-1) {
				t.Fatalf("step %+v", step)
			}
		}
		got := objective(v, r, chain)
		if math.IsInf(got, 1) {
			t.Fatalf("plan %s breaks a rule", names(p))
		}
		if !p.Trial && !short && got > want+1e-6 {
			t.Fatalf("plan %s has objective %v, naive %v", names(p), got, want)
		}
	})
}

// naive returns the least objective of all plans, and whether the safe version is known to fall short.
func naive(v *View, r *Request) (float64, bool) {
	best, short := math.Inf(1), false
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
		short = short || c.Safe && ok && h.Ratings >= 30 && 2*h.Share-h.Low < r.Quality.Share
	}
	return best, short
}

// objective computes the objective of a plan from the published health; a plan against the rules costs infinitely much.
func objective(v *View, r *Request, l []Candidate) float64 {
	sum, reach, worst := 0.0, 1.0, record.Micros(0)
	for i, c := range l {
		h, ok := v.Health(r.Class, c.Version)
		cost, seconds := float64(c.Price.Output), h.Latency.Seconds()
		if !ok {
			cost, h.Share, h.Low = cost/2, 0.5, 0.5-2*math.Sqrt(0.25/3)
		}
		worst += c.Price.Output
		if i < len(l)-1 {
			sum += reach * (cost*r.Weights.Cost + (seconds+0.2)*r.Weights.Latency)
			reach *= 1 - h.Share // later steps have no ratings of their own here
			continue
		}
		if !c.Safe && (!ok || h.Ratings < 30 || h.Low < r.Quality.Share) {
			return math.Inf(1)
		}
		sum += reach * (cost*r.Weights.Cost + seconds*r.Weights.Latency + r.Weights.Exposure*(h.Share-h.Low)/2)
	}
	if worst > r.MaxCost || (len(l) > 1 && !r.RaterUp) {
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

// Guards against an unproven canary that runs where nobody can rate it before delivery.
func TestPlanCanaryUnrated(t *testing.T) {
	v := learned(20, map[string]float64{"new@1": 0.99, "best@1": 0.99})
	for name, change := range map[string]func(*Request){
		"ratings away": func(r *Request) { r.RaterUp = false },
		"session":      func(r *Request) { r.Session = true },
	} {
		r := request("best@1", "new@1")
		r.Candidates[1].Canary, r.Candidates[1].Share = true, 1
		change(r)
		if got := names(v.Plan(r, noTrial)); got != "best@1" {
			t.Errorf("%s: got %q", name, got)
		}
	}
}

// Guards a fair comparison: the current version sees as many of the same requests as its canary, and is rated.
func TestPlanControl(t *testing.T) {
	v := learned(20, map[string]float64{"new@1": 0.7, "cheap@1": 0.7, "mid@1": 0.99, "best@1": 0.99})
	r := request("mid@1", "cheap@1", "best@1", "new@1")
	r.Candidates[3].Canary, r.Candidates[3].Share, r.Candidates[3].Model = true, 0.05, "best@1"
	seen, total := map[string]int{}, 20000
	for i := range total {
		if p := v.Plan(r, float64(i)/float64(total)); p.Steps[0].Rate || p.Steps[0].Sample {
			seen[p.Steps[0].Version]++
		}
	}
	for _, version := range []string{"new@1", "best@1"} {
		if got := float64(seen[version]) / float64(total); math.Abs(got-0.05) > 0.005 {
			t.Errorf("%s ran first and was rated in %v of the requests, want 0.05", version, got)
		}
	}
}
