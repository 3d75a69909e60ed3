package measure

import (
	"fmt"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// cascadeViewInterval is the time between two updates of the view from which requests are planned.
const cascadeViewInterval = 250 * time.Millisecond

// fixedCascade uses one plan for each class and phase. While ratings are unavailable it runs only the last version of
// the plan.
type fixedCascade struct {
	plans [][2][]int // by class and phase: versions in order; all answers but the last are rated
}

// uniformCascade uses the same versions for all classes and phases.
func uniformCascade(w *cascadeWorkload, versions ...int) *fixedCascade {
	f := &fixedCascade{plans: make([][2][]int, len(w.classes))}
	for i := range f.plans {
		f.plans[i] = [2][]int{versions, versions}
	}
	return f
}

func (f *fixedCascade) plan(_ time.Duration, q *cascadeRequest, ratingsUnavailable bool) []cascadeStep {
	l := f.plans[q.class][q.phase]
	if ratingsUnavailable {
		l = l[len(l)-1:]
	}
	steps := make([]cascadeStep, len(l))
	for i, v := range l {
		steps[i] = cascadeStep{version: v, rateFirst: i < len(l)-1}
	}
	return steps
}

func (f *fixedCascade) observe(time.Duration, cascadeOutcome) {}

// learnedCascade runs the cascade policy of an instance.
type learnedCascade struct {
	workload      *cascadeWorkload
	beliefs       *cascade.Estimator
	view          *cascade.Estimates
	viewPublished time.Duration
	candidates    []cascade.Candidate
	index         map[string]int
	failedPlans   int
}

func newLearnedCascade(w *cascadeWorkload, s cascade.Settings) *learnedCascade {
	p := &learnedCascade{workload: w, beliefs: cascade.NewEstimator(s), candidates: w.candidates(), index: map[string]int{}}
	for i, v := range w.versions {
		p.index[v.name] = i
	}
	p.view = p.beliefs.Estimates(cascadeEpoch)
	return p
}

func (p *learnedCascade) plan(now time.Duration, q *cascadeRequest, ratingsUnavailable bool) []cascadeStep {
	if now-p.viewPublished >= cascadeViewInterval {
		p.view, p.viewPublished = p.beliefs.Estimates(cascadeEpoch.Add(now)), now
	}
	k := &p.workload.classes[q.class]
	r := cascade.Request{
		Class: k.name, Candidates: p.candidates, Quality: record.Quality{MinScore: cascadeMinScore, Share: p.workload.requiredQuality},
		Weights: p.workload.weights, RaterAvailable: !ratingsUnavailable, MaxCost: 1 << 30, InputTokens: int(q.input), MaxOutputTokens: int(2 * k.output),
	}
	l := p.view.Plan(&r, q.draw)
	if l.Problem != "" {
		p.failedPlans++
		return []cascadeStep{{version: cascadeBest}}
	}
	steps := make([]cascadeStep, len(l.Steps))
	for i, s := range l.Steps {
		steps[i] = cascadeStep{p.index[s.Version], s.RateBeforeDelivery, s.RateAfterDelivery}
	}
	return steps
}

func (p *learnedCascade) observe(now time.Duration, o cascadeOutcome) {
	v := &p.workload.versions[o.version]
	x := cascade.Outcome{Class: p.workload.classes[o.q.class].name, Version: v.name, Predecessor: o.precedingVersion, MinScore: cascadeMinScore}
	if o.done {
		x.Completed, x.Cost, x.Latency = true, record.Micros(v.cost(o.q)), o.latency
	}
	if o.rated {
		x.Rated, x.RatingTime, x.Score = true, o.ratingTime, cascadeFailScore
		if o.q.pass[o.version] {
			x.Score = cascadePassScore
		}
	}
	p.beliefs.Observe(cascadeEpoch.Add(now), x)
}

// candidatePlans lists the plans among which optimiseFixedCascade chooses.
func candidatePlans(ratingsUnavailable bool) [][]int {
	var l [][]int
	for a := range cascadeVersions {
		l = append(l, []int{a})
		for b := range cascadeVersions {
			if ratingsUnavailable || a == b {
				continue
			}
			l = append(l, []int{a, b})
			if c := cascadeVersions - a - b; c != a && c != b {
				l = append(l, []int{a, b, c})
			}
		}
	}
	return l
}

// optimiseFixedCascade returns the fixed plans with the lowest objective that reach the required quality in every class
// and phase, or those with the best quality if none does. It uses coordinate descent over the same requests on which the
// plans are then compared.
func optimiseFixedCascade(w *cascadeWorkload, c cascadeCase, l []cascadeRequest) (*fixedCascade, *cascadeResult, error) {
	best := uniformCascade(w, cascadeBest)
	res, err := simulateCascade(w, c, l, best)
	if err != nil {
		return nil, nil, fmt.Errorf("simulate the fixed plan: %w", err)
	}
	if res.worstClassShare() < w.requiredQuality {
		// The descent changes one class at a time, so it finds a feasible solution only from a feasible start.
		best = uniformCascade(w, 0, 1, cascadeBest)
		if res, err = simulateCascade(w, c, l, best); err != nil {
			return nil, nil, fmt.Errorf("simulate the fixed plan: %w", err)
		}
	}
	for range 2 {
		for class := range w.classes {
			for phase := range 2 {
				var next *fixedCascade
				if next, res, err = improveClassPlan(w, c, l, best, res, class, phase); err != nil {
					return nil, nil, err
				}
				best = next
			}
		}
	}
	return best, res, nil
}

// isBetterCascade compares the objectives if both results reach the required quality, otherwise the worst quality.
func isBetterCascade(w *cascadeWorkload, r, other *cascadeResult) bool {
	if r.worstClassShare() >= w.requiredQuality && other.worstClassShare() >= w.requiredQuality {
		return r.objective < other.objective
	}
	return r.worstClassShare() > other.worstClassShare()
}

// improveClassPlan tries all plans for one class and phase and returns the best cascade with its result.
func improveClassPlan(w *cascadeWorkload, c cascadeCase, l []cascadeRequest, f *fixedCascade, res *cascadeResult, class, phase int) (*fixedCascade, *cascadeResult, error) {
	plans := candidatePlans(c.ratingsUnavailable && phase == 1)
	tried := make([]*fixedCascade, len(plans))
	results := make([]*cascadeResult, len(plans))
	errs := make(chan error, len(plans))
	for i, p := range plans {
		go func() {
			t := &fixedCascade{plans: append([][2][]int(nil), f.plans...)}
			t.plans[class][phase] = p
			var err error
			results[i], err = simulateCascade(w, c, l, t)
			tried[i] = t
			errs <- err
		}()
	}
	var first error
	for range plans {
		if err := <-errs; err != nil {
			first = err
		}
	}
	if first != nil {
		return nil, nil, first
	}
	for i, r := range results {
		if isBetterCascade(w, r, res) {
			f, res = tried[i], r
		}
	}
	return f, res, nil
}
