package cascade

import (
	"math"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	maxCandidates = 32 // versions that a plan weighs
	// maxRated versions are weighed as rated steps; with all 19 of them a plan took 16 us instead of 6 us.
	maxRated = 8
)

// option is a candidate with its estimates for one request.
type option struct {
	estimate
	at      int // in Request.Candidates
	end     bool
	worst   float64 // micros
	direct  float64 // objective of a step that ends the plan, without uncertainty
	rated   float64 // objective of a rated step
	optimum float64 // upper bound of the pass share
}

// planner weighs the plans for one request; it lives on the stack.
type planner struct {
	v       *View
	r       *Request
	options [maxCandidates]option
	count   int
	subject int  // option that this request must try first for a roll-out, or -1
	canary  int  // the same if it is the version under roll-out, or -1
	rated   bool // the subject ends the plan and is rated after delivery
	lift    bool
	best    chain
}

// chain is a plan as indices of options; the last one ends it.
type chain struct {
	at        [maxSteps]int8
	length    int
	objective float64
	quality   float64
	worst     float64
	cost      float64
	seconds   float64
}

// Plan returns the plan with the least expected objective; draw is a random number in [0, 1).
func (v *View) Plan(r *Request, draw float64) Plan {
	p := planner{v: v, r: r, canary: -1, subject: -1}
	p.best.objective = math.Inf(1)
	if len(r.Candidates) == 0 {
		return Plan{Problem: ProblemNoCandidate}
	}
	p.weigh(draw)
	if r.Pinned != "" {
		return p.pinned(draw)
	}
	if !p.trust() {
		return Plan{Problem: ProblemNoTrusted}
	}
	p.direct()
	if r.RaterUp && !r.Session {
		p.cascades()
	}
	if p.best.length == 0 {
		return Plan{Problem: ProblemMaxCost}
	}
	trial := p.compare()
	if p.subject < 0 {
		trial = p.explore(draw)
	}
	return p.plan(p.best, draw, trial)
}

// weigh turns candidates into options; a canary outside its share is left out.
func (p *planner) weigh(draw float64) {
	r := p.r
	known := p.v.classes[r.Class]
	control := ""
	for i := range r.Candidates {
		c := &r.Candidates[i]
		if c.Canary && c.Version != r.Pinned {
			u := part(draw, drawCanary+i)
			if p.canary < 0 && u >= c.Share && u < c.Share+min(c.Share, p.v.settings.ControlShare) {
				control = c.Model
			}
			if p.canary >= 0 || u >= c.Share {
				continue
			}
		}
		if p.count == maxCandidates {
			break
		}
		p.options[p.count].at = i
		p.fill(&p.options[p.count], c, known)
		if c.Canary {
			p.canary, p.subject = p.count, p.count
		}
		p.count++
	}
	if control != "" && p.canary < 0 {
		p.subject = p.newest(control)
	}
}

// newest returns the first option of a model, which is its newest active version, or -1.
func (p *planner) newest(model string) int {
	for i := range p.options[:p.count] {
		if c := &p.r.Candidates[p.options[i].at]; c.Model == model && !c.Canary {
			return i
		}
	}
	return -1
}

// fill adds what follows from the request and, where nothing was observed, from the price and the prior.
func (p *planner) fill(o *option, c *Candidate, known *estimates) {
	r, s := p.r, &p.v.settings
	ok := false
	if known != nil {
		o.estimate, ok = known.versions[c.Version]
	}
	if !ok {
		var b belief
		b.prior = c.Prior
		o.mean, o.deviation = b.first.moments(s, time.Time{}, c.Prior)
		o.later = o.mean
	}
	o.worst = (float64(c.Price.Input)*float64(r.Input) + float64(c.Price.Output)*float64(r.MaxOutput)) / 1000
	if !o.timed {
		// Answers are rarely as long as they may be; half is a guess until the first answer.
		o.cost = o.worst / 2
		if known != nil {
			o.seconds = known.slowest
		}
	}
	o.optimum = min(1, o.mean+s.Confidence*o.deviation)
	o.direct = p.weight(o.cost, o.seconds)
	o.rated = p.weight(o.cost, o.seconds+p.v.rating)
}

func (p *planner) weight(cost, seconds float64) float64 {
	return p.r.Weights.Cost*cost + p.r.Weights.Latency*seconds
}

// trust marks the options that may end a plan and reports whether there is one.
// The safe version is always one, but another trusted version replaces it when ratings show that it fell short.
func (p *planner) trust() bool {
	s, share := &p.v.settings, p.r.Quality.Share
	safe, other := -1, false
	for i := range p.options[:p.count] {
		o := &p.options[i]
		if p.r.Candidates[o.at].Safe {
			safe = i
			continue
		}
		o.end = o.fresh && o.count >= s.MinSamples && o.mean-s.Confidence*o.deviation >= share && o.errors <= s.MaxErrors
		other = other || o.end
	}
	if safe >= 0 {
		o := &p.options[safe]
		short := o.count >= s.MinSamples && o.optimum < share
		o.end = !short || !other
		p.lift = short && !other
	}
	return safe >= 0 || other
}

// direct weighs the plans of one step.
func (p *planner) direct() {
	for i := range p.options[:p.count] {
		p.weighChain(chain{at: [maxSteps]int8{int8(i)}, length: 1})
	}
}

// cascades weighs the plans of one or two rated steps before a trusted end.
func (p *planner) cascades() {
	var buf [maxRated]int8
	rated := p.worthRating(buf[:0])
	for e := range p.options[:p.count] {
		if !p.options[e].end {
			continue
		}
		for _, i := range rated {
			if int(i) == e {
				continue
			}
			p.weighChain(chain{at: [maxSteps]int8{i, int8(e)}, length: 2})
			for _, j := range rated {
				if j != i && int(j) != e {
					p.weighChain(chain{at: [maxSteps]int8{i, j, int8(e)}, length: 3})
				}
			}
		}
	}
}

// worthRating returns the options whose rated step costs least per answer that it saves the end.
// The canary is left out: tryCanary places it.
func (p *planner) worthRating(l []int8) []int8 {
	for i := range p.options[:p.count] {
		if i == p.canary {
			continue
		}
		at := len(l)
		for at > 0 && p.ratio(i) < p.ratio(int(l[at-1])) {
			at--
		}
		if at == maxRated {
			continue
		}
		if len(l) < maxRated {
			l = append(l, 0)
		}
		copy(l[at+1:], l[at:])
		l[at] = int8(i)
	}
	return l
}

func (p *planner) ratio(i int) float64 {
	o := &p.options[i]
	return o.rated / max(1e-9, o.mean*(1-o.errors))
}

// weighChain keeps a plan that is allowed and better than the best one so far.
// When the only end falls short of the quality, the better plan is the one with more quality.
func (p *planner) weighChain(c chain) {
	if !p.options[c.at[c.length-1]].end || !p.value(&c) {
		return
	}
	better := c.objective < p.best.objective
	if p.lift && p.best.length > 0 && math.Abs(c.quality-p.best.quality) > 1e-9 {
		better = c.quality > p.best.quality
	}
	if better {
		p.best = c
	}
}

// value computes what a plan is expected to cost and reports whether it fits the request's bounds.
func (p *planner) value(c *chain) bool {
	reach, miss, longest := 1.0, 1.0, 0.0
	c.objective, c.worst, c.cost, c.seconds = 0, 0, 0, 0
	last := c.length - 1
	for i, at := range c.at[:c.length] {
		o := &p.options[at]
		share := o.mean
		if i > 0 && i < last {
			share = o.later
		}
		c.worst += o.worst
		c.cost += reach * o.cost
		longest += o.seconds + 2*o.spread
		if i == last {
			c.objective += reach * (o.direct + p.r.Weights.Exposure*o.deviation)
			c.seconds += reach * o.seconds
			miss *= 1 - share
			break
		}
		c.objective += reach * o.rated
		c.seconds += reach * (o.seconds + p.v.rating)
		longest += p.v.rating
		miss *= 1 - share
		reach *= 1 - share*(1-o.errors)
	}
	c.quality = 1 - miss
	late := p.r.Deadline > 0 && c.length > 1 && longest > p.r.Deadline.Seconds()
	return c.worst <= float64(p.r.MaxCost) && !late
}

// plan turns a chain into the plan that the caller sees.
func (p *planner) plan(c chain, draw float64, trial bool) Plan {
	l := make([]Step, c.length)
	for i, at := range c.at[:c.length] {
		d := &p.r.Candidates[p.options[at].at]
		l[i] = Step{Version: d.Version, Rate: i < c.length-1, Canary: d.Canary}
	}
	end := &p.options[c.at[c.length-1]]
	l[c.length-1].Sample = p.r.RaterUp && p.sample(end, draw)
	return Plan{
		Steps: l, Trial: trial, Quality: c.quality, Uncertainty: end.deviation,
		Cost: record.Micros(math.Ceil(c.cost)), Worst: record.Micros(math.Ceil(c.worst)),
		Latency: time.Duration(c.seconds * float64(time.Second)),
	}
}

// sample decides whether an unrated end is rated after delivery: always in a roll-out, more often for a suspect.
func (p *planner) sample(o *option, draw float64) bool {
	s := &p.v.settings
	if p.rated || p.r.Candidates[o.at].Canary {
		return true
	}
	return part(draw, drawSample) < s.SampleShare+(s.SuspectShare-s.SampleShare)*o.suspicion
}

// pinned returns the one step that keeps a session on its version.
func (p *planner) pinned(draw float64) Plan {
	for i := range p.options[:p.count] {
		if p.r.Candidates[p.options[i].at].Version != p.r.Pinned {
			continue
		}
		c := chain{at: [maxSteps]int8{int8(i)}, length: 1}
		if !p.value(&c) {
			return Plan{Problem: ProblemMaxCost}
		}
		return p.plan(c, draw, false)
	}
	return Plan{Problem: ProblemNotAllowed}
}
