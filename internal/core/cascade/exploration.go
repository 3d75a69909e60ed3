package cascade

import "math"

// Uses of the random draw of a request; each one gets an independent number from subDraw.
const (
	drawExplore = iota
	drawOption
	drawSample
	drawCanary // plus the index of the candidate
)

// subDraw derives an independent number in [0, 1) from a draw with the SplitMix64 finaliser.
func subDraw(draw float64, use int) float64 {
	x := math.Float64bits(draw) + uint64(use+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}

// startWithCompared makes the compared option the first step of the plan and reports whether it did. In equal shares of
// the requests this is the canary and the version that it replaces. Both get the same mix of requests, so that their
// ratings are comparable.
func (p *planner) startWithCompared() bool {
	if p.comparedOption < 0 {
		return false
	}
	if p.options[p.comparedOption].canEnd {
		c := optionChain{options: [maxSteps]int8{int8(p.comparedOption)}, length: 1}
		if p.evaluate(&c) {
			p.best, p.rateFinalStep = c, true
			return true
		}
	}
	return p.prependRatedStep(p.comparedOption)
}

// startExploration adds a random promising option to the plan as a rated step, in a small share of the requests. It
// reports whether it changed the plan.
func (p *planner) startExploration(draw float64) bool {
	if subDraw(draw, drawExplore) >= p.view.settings.ExplorationShare || !p.request.RaterAvailable || p.request.InSession {
		return false
	}
	var l [2 * maxCandidates]int8
	n := 0
	for i := range p.options[:p.count] {
		if p.isPromisingFirst(i) {
			l[n] = int8(i)
			n++
		}
		if p.isPromisingSecond(i) {
			l[n] = int8(i + maxCandidates)
			n++
		}
	}
	if n == 0 {
		return false
	}
	i := int(l[int(subDraw(draw, drawOption)*float64(n))])
	if i >= maxCandidates {
		return p.insertSecondStep(i - maxCandidates)
	}
	return p.prependRatedStep(i)
}

// isPromisingFirst reports whether an option as first step could improve on the best plan if its pass rate were as high
// as its ratings allow.
func (p *planner) isPromisingFirst(i int) bool {
	o := &p.options[i]
	if i == int(p.best.options[0]) {
		return false
	}
	ratedObjective, finalObjective := o.ratedObjective, o.finalObjective
	if !o.measured {
		ratedObjective, finalObjective = p.objective(o.cost, 0), p.objective(o.cost, 0)
	}
	if !o.canEnd && o.optimisticPassRate >= p.request.Quality.Share && finalObjective < p.best.objective {
		return true
	}
	final := &p.options[p.best.options[p.best.length-1]]
	return ratedObjective+(1-o.optimisticPassRate)*final.finalObjective < p.best.objective
}

// isPromisingSecond reports whether an option could replace all steps after the first one of the best plan if its pass
// rate after that step were as high as its ratings allow.
func (p *planner) isPromisingSecond(i int) bool {
	if p.best.length < 2 || p.best.length == maxSteps || p.bestContains(i) {
		return false
	}
	first, o := &p.options[p.best.options[0]], &p.options[i]
	a, ok := o.afterVersion(p.optionVersion(int(p.best.options[0])))
	if !ok {
		a.high = 1
	}
	if o.canEnd || p.meetsQualityJointly(int(p.best.options[0]), i) || 1-(1-first.passRate)*(1-a.high) < p.request.Quality.Share {
		return false
	}
	return first.ratedObjective+(1-first.passRate)*o.finalObjective < p.best.objective
}

// bestContains reports whether an option is a step of the best plan.
func (p *planner) bestContains(i int) bool {
	for _, index := range p.best.options[:p.best.length] {
		if int(index) == i {
			return true
		}
	}
	return false
}

// insertSecondStep inserts a rated step after the first one. The final step does not change, so that the quality does
// not drop.
func (p *planner) insertSecondStep(i int) bool {
	c := optionChain{options: [maxSteps]int8{p.best.options[0], int8(i)}, length: p.best.length + 1}
	copy(c.options[2:], p.best.options[1:p.best.length])
	if !p.evaluate(&c) {
		return false
	}
	p.best = c
	return true
}

// prependRatedStep inserts a rated step before the best plan. The final step does not change, so that the quality does
// not drop.
func (p *planner) prependRatedStep(i int) bool {
	if !p.request.RaterAvailable || p.request.InSession {
		return false
	}
	if int(p.best.options[p.best.length-1]) == i {
		return p.moveFinalStepFirst(i)
	}
	model := p.request.Candidates[p.options[i].candidate].Model
	c := optionChain{options: [maxSteps]int8{int8(i)}, length: 1}
	trustedAlone := p.options[p.best.options[p.best.length-1]].canEnd
	for n, index := range p.best.options[:p.best.length] {
		redundant := int(index) == i || (trustedAlone && i == p.comparedOption && p.request.Candidates[p.options[index].candidate].Model == model)
		if n < p.best.length-1 && redundant {
			continue // another version of the same model adds cost but little quality, unless the final step is only trusted after it
		}
		c.options[c.length] = index
		c.length++
	}
	if !p.evaluate(&c) {
		return false
	}
	p.best = c
	return true
}

// moveFinalStepFirst makes the final step of the best plan a rated first step, followed by the best option that can end a
// plan by itself. Otherwise an option trusted only after another step would never collect ratings on all requests.
func (p *planner) moveFinalStepFirst(i int) bool {
	if p.options[i].canEnd {
		return false
	}
	final := -1
	for e := range p.options[:p.count] {
		if p.options[e].canEnd && (final < 0 || p.options[e].finalObjective < p.options[final].finalObjective) {
			final = e
		}
	}
	if final < 0 {
		return false
	}
	c := optionChain{options: [maxSteps]int8{int8(i), int8(final)}, length: 2}
	if !p.evaluate(&c) {
		return false
	}
	p.best = c
	return true
}
