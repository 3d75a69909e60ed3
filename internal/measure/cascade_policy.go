package measure

import (
	"fmt"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// cascadeViewPeriod is how often the view that requests read is published.
const cascadeViewPeriod = 250 * time.Millisecond

// fixedCascade runs the same plan for a class and phase, and one version directly while ratings are away.
type fixedCascade struct {
	plans [][2][]int // by class and phase: versions in order, all but the last one rated
}

func sameCascade(u *cascadeUser, versions ...int) *fixedCascade {
	f := &fixedCascade{plans: make([][2][]int, len(u.classes))}
	for i := range f.plans {
		f.plans[i] = [2][]int{versions, versions}
	}
	return f
}

func (f *fixedCascade) plan(_ time.Duration, q *cascadeRequest, blind bool) []cascadeStep {
	l := f.plans[q.class][q.phase]
	if blind {
		l = l[len(l)-1:]
	}
	steps := make([]cascadeStep, len(l))
	for i, v := range l {
		steps[i] = cascadeStep{version: v, rate: i < len(l)-1}
	}
	return steps
}

func (f *fixedCascade) observe(time.Duration, cascadeOutcome) {}

// learnedCascade is the product's policy on one instance.
type learnedCascade struct {
	user       *cascadeUser
	beliefs    *cascade.Estimator
	view       *cascade.Estimates
	viewed     time.Duration
	candidates []cascade.Candidate
	index      map[string]int
	problems   int
}

func newLearnedCascade(u *cascadeUser, s cascade.Settings) *learnedCascade {
	p := &learnedCascade{user: u, beliefs: cascade.NewEstimator(s), candidates: u.candidates(), index: map[string]int{}}
	for i, v := range u.versions {
		p.index[v.name] = i
	}
	p.view = p.beliefs.Estimates(cascadeEpoch)
	return p
}

func (p *learnedCascade) plan(now time.Duration, q *cascadeRequest, blind bool) []cascadeStep {
	if now-p.viewed >= cascadeViewPeriod {
		p.view, p.viewed = p.beliefs.Estimates(cascadeEpoch.Add(now)), now
	}
	k := &p.user.classes[q.class]
	r := cascade.Request{
		Class: k.name, Candidates: p.candidates, Quality: record.Quality{MinScore: cascadeMinScore, Share: p.user.owed},
		Weights: p.user.weights, RaterAvailable: !blind, MaxCost: 1 << 30, InputTokens: int(q.input), MaxOutputTokens: int(2 * k.output),
	}
	l := p.view.Plan(&r, q.draw)
	if l.Problem != "" {
		p.problems++
		return []cascadeStep{{version: cascadeBest}}
	}
	steps := make([]cascadeStep, len(l.Steps))
	for i, s := range l.Steps {
		steps[i] = cascadeStep{p.index[s.Version], s.RateBeforeDelivery, s.RateAfterDelivery}
	}
	return steps
}

func (p *learnedCascade) observe(now time.Duration, o cascadeOutcome) {
	v := &p.user.versions[o.version]
	x := cascade.Outcome{Class: p.user.classes[o.q.class].name, Version: v.name, Predecessor: o.after, MinScore: cascadeMinScore}
	if o.done {
		x.Completed, x.Cost, x.Latency = true, record.Micros(v.cost(o.q)), o.latency
	}
	if o.rated {
		x.Rated, x.RatingTime, x.Score = true, o.rating, cascadeShort
		if o.q.pass[o.version] {
			x.Score = cascadePass
		}
	}
	p.beliefs.Observe(cascadeEpoch.Add(now), x)
}

// cascadePlans lists the plans that the fixed policy with known rates may use.
func cascadePlans(blind bool) [][]int {
	var l [][]int
	for a := range cascadeVersions {
		l = append(l, []int{a})
		for b := range cascadeVersions {
			if blind || a == b {
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

// knowingCascade returns the fixed plans of least objective that hold the quality in every class and phase, or
// those of the best quality if none holds it, found by coordinate descent on the very requests that it is measured on.
func knowingCascade(u *cascadeUser, c cascadeCase, l []cascadeRequest) (*fixedCascade, *cascadeResult, error) {
	best := sameCascade(u, cascadeBest)
	res, err := runCascade(u, c, l, best)
	if err != nil {
		return nil, nil, fmt.Errorf("run the fixed plan: %w", err)
	}
	if res.worst() < u.owed {
		// The descent changes one class at a time, so it needs a start that holds the quality if one is to be found.
		best = sameCascade(u, 0, 1, cascadeBest)
		if res, err = runCascade(u, c, l, best); err != nil {
			return nil, nil, fmt.Errorf("run the fixed plan: %w", err)
		}
	}
	for range 2 {
		for class := range u.classes {
			for phase := range 2 {
				var next *fixedCascade
				if next, res, err = improveCascade(u, c, l, best, res, class, phase); err != nil {
					return nil, nil, err
				}
				best = next
			}
		}
	}
	return best, res, nil
}

// betterCascade prefers the quality, as far as it can be had, and then the objective.
func betterCascade(u *cascadeUser, r, than *cascadeResult) bool {
	if r.worst() >= u.owed && than.worst() >= u.owed {
		return r.objective < than.objective
	}
	return r.worst() > than.worst()
}

// improveCascade tries all plans for one class and phase.
func improveCascade(u *cascadeUser, c cascadeCase, l []cascadeRequest, f *fixedCascade, res *cascadeResult, class, phase int) (*fixedCascade, *cascadeResult, error) {
	plans := cascadePlans(c.blind && phase == 1)
	tried := make([]*fixedCascade, len(plans))
	results := make([]*cascadeResult, len(plans))
	errs := make(chan error, len(plans))
	for i, p := range plans {
		go func() {
			t := &fixedCascade{plans: append([][2][]int(nil), f.plans...)}
			t.plans[class][phase] = p
			var err error
			results[i], err = runCascade(u, c, l, t)
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
		if betterCascade(u, r, res) {
			f, res = tried[i], r
		}
	}
	return f, res, nil
}
