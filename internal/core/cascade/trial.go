package cascade

import "math"

// Uses of a request's random draw; each gets an independent part of it.
const (
	drawTrial = iota
	drawPick
	drawSample
	drawCanary // plus the candidate's index
)

// part derives an independent number in [0, 1) from a draw with the SplitMix64 finalizer.
func part(draw float64, use int) float64 {
	x := math.Float64bits(draw) + uint64(use+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}

// compare puts the version under roll-out, or in as many requests the one that it replaces, in front of the plan.
// Both see the same mix of requests this way, so that their ratings can be compared.
func (p *planner) compare() bool {
	if p.subject < 0 {
		return false
	}
	if p.options[p.subject].end {
		c := chain{at: [maxSteps]int8{int8(p.subject)}, length: 1}
		if p.value(&c) {
			p.best, p.rated = c, true
			return true
		}
	}
	return p.prepend(p.subject)
}

// explore adds a version that may turn out better as a rated step, in a small share of the requests.
func (p *planner) explore(draw float64) bool {
	if part(draw, drawTrial) >= p.v.settings.TrialShare || !p.r.RaterUp || p.r.Session {
		return false
	}
	var l [2 * maxCandidates]int8
	n := 0
	for i := range p.options[:p.count] {
		if p.promising(i) {
			l[n] = int8(i)
			n++
		}
		if p.promisingEnd(i) {
			l[n] = int8(i + maxCandidates)
			n++
		}
	}
	if n == 0 {
		return false
	}
	i := int(l[int(part(draw, drawPick)*float64(n))])
	if i >= maxCandidates {
		return p.insert(i - maxCandidates)
	}
	return p.prepend(i)
}

// promising reports whether an option could beat the best plan if it were as good as ratings leave possible.
func (p *planner) promising(i int) bool {
	o := &p.options[i]
	if i == int(p.best.at[0]) {
		return false
	}
	rated, direct := o.rated, o.direct
	if !o.timed {
		rated, direct = p.weight(o.cost, 0), p.weight(o.cost, 0)
	}
	if !o.end && o.optimum >= p.r.Quality.Share && direct < p.best.objective {
		return true
	}
	end := &p.options[p.best.at[p.best.length-1]]
	return rated+(1-o.optimum)*end.direct < p.best.objective
}

// promisingEnd reports whether an option could replace what follows the first step of the best plan
// if it were as good after that step as ratings leave possible.
func (p *planner) promisingEnd(i int) bool {
	if p.best.length < 2 || p.best.length == maxSteps || p.contains(i) {
		return false
	}
	first, o := &p.options[p.best.at[0]], &p.options[i]
	a, ok := o.behind(p.version(int(p.best.at[0])))
	if !ok {
		a.high = 1
	}
	if o.end || p.joint(int(p.best.at[0]), i) || 1-(1-first.mean)*(1-a.high) < p.r.Quality.Share {
		return false
	}
	return first.rated+(1-first.mean)*o.direct < p.best.objective
}

func (p *planner) contains(i int) bool {
	for _, at := range p.best.at[:p.best.length] {
		if int(at) == i {
			return true
		}
	}
	return false
}

// insert puts a rated step behind the first one; the end stays, so the delivered quality does not fall.
func (p *planner) insert(i int) bool {
	c := chain{at: [maxSteps]int8{p.best.at[0], int8(i)}, length: p.best.length + 1}
	copy(c.at[2:], p.best.at[1:p.best.length])
	if !p.value(&c) {
		return false
	}
	p.best = c
	return true
}

// prepend puts a rated step in front of the best plan; the end stays, so the delivered quality does not fall.
func (p *planner) prepend(i int) bool {
	if !p.r.RaterUp || p.r.Session {
		return false
	}
	if int(p.best.at[p.best.length-1]) == i {
		return p.first(i)
	}
	model := p.r.Candidates[p.options[i].at].Model
	c := chain{at: [maxSteps]int8{int8(i)}, length: 1}
	alone := p.options[p.best.at[p.best.length-1]].end
	for n, at := range p.best.at[:p.best.length] {
		same := int(at) == i || (alone && i == p.subject && p.r.Candidates[p.options[at].at].Model == model)
		if n < p.best.length-1 && same {
			continue // a second version of the same model adds cost but little quality, unless the end relies on it
		}
		c.at[c.length] = at
		c.length++
	}
	if !p.value(&c) {
		return false
	}
	p.best = c
	return true
}

// first puts the end of the best plan to the front, rated, before the best end that is trusted alone.
// Without it, an end that is trusted only behind another step would never be rated on all requests.
func (p *planner) first(i int) bool {
	if p.options[i].end {
		return false
	}
	end := -1
	for e := range p.options[:p.count] {
		if p.options[e].end && (end < 0 || p.options[e].direct < p.options[end].direct) {
			end = e
		}
	}
	if end < 0 {
		return false
	}
	c := chain{at: [maxSteps]int8{int8(i), int8(end)}, length: 2}
	if !p.value(&c) {
		return false
	}
	p.best = c
	return true
}
