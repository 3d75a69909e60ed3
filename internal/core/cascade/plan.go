package cascade

import (
	"math"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	maxCandidates = 32
	// maxRatedVersions limits the versions considered as rated steps. Planning with all 19 candidates of a profile took
	// 16 us instead of 6 us.
	maxRatedVersions = 8
	// explorationConfidence is greater than the default of Settings.Confidence, so that a few bad first ratings do not stop
	// the exploration of a version.
	explorationConfidence = 3
)

// option is a candidate with its estimates for one request.
type option struct {
	versionEstimate
	candidate          int     // index in Request.Candidates
	canEnd             bool    // trusted as the final step, which is not rated before delivery
	worstCost          float64 // cost of the longest answer in micros
	finalObjective     float64 // objective as the final step, without the penalty for uncertainty
	ratedObjective     float64 // objective as a step that is rated before delivery
	passRateHigh       float64 // upper confidence bound
	optimisticPassRate float64 // upper confidence bound for exploration
}

// planner searches for the best plan for one request. It is allocated on the stack.
type planner struct {
	view            *Estimates
	request         *Request
	options         [maxCandidates]option
	count           int
	comparedOption  int  // option that must run first for the comparison in a roll-out, or -1
	canaryOption    int  // option in a roll-out, or -1
	rateFinalStep   bool // the compared option is the final step and must be rated after delivery
	maximiseQuality bool // only the safe version can end a plan and misses the quality: prefer quality to the objective
	best            optionChain
}

// optionChain is a plan as a list of option indices, in the order of the steps.
type optionChain struct {
	options        [maxSteps]int8
	length         int
	objective      float64 // expected, with the penalty for uncertainty
	quality        float64 // expected
	worstCost      float64 // micros
	cost           float64 // expected, in micros
	seconds        float64 // expected latency
	finalStepShare float64 // share of requests that reach the final step
}

// Plan returns the plan with the lowest expected objective, which is the weighted sum of cost, latency and uncertainty.
// A share of the requests gets another plan, for a roll-out or for exploration. The draw is a random number in [0, 1).
func (s *Estimates) Plan(r *Request, draw float64) Plan {
	p := planner{view: s, request: r, canaryOption: -1, comparedOption: -1}
	p.best.objective = math.Inf(1)
	if len(r.Candidates) == 0 {
		return Plan{Problem: ProblemNoCandidate}
	}
	p.selectOptions(draw)
	if r.PinnedVersion != "" {
		return p.pinnedPlan(draw)
	}
	if !p.markFinalOptions() {
		return Plan{Problem: ProblemNoTrusted}
	}
	p.considerSingleSteps()
	if r.RaterAvailable && !r.InSession {
		p.considerCascades()
	}
	if p.best.length == 0 {
		return Plan{Problem: ProblemMaxCost}
	}
	exploratory := p.startWithCompared()
	if p.comparedOption < 0 {
		exploratory = p.startExploration(draw)
	}
	return p.newPlan(p.best, draw, exploratory)
}

// selectOptions turns candidates into options. It drops a canary if the draw is outside its share.
func (p *planner) selectOptions(draw float64) {
	r := p.request
	estimates := p.view.classes[r.Class]
	controlModel := ""
	for i := range r.Candidates {
		c := &r.Candidates[i]
		if c.Canary && c.Version != r.PinnedVersion {
			u := subDraw(draw, drawCanary+i)
			if p.canaryOption < 0 && u >= c.CanaryShare && u < c.CanaryShare+min(c.CanaryShare, p.view.settings.ControlShare) {
				controlModel = c.Model
			}
			if p.canaryOption >= 0 || u >= c.CanaryShare {
				continue
			}
		}
		if p.count == maxCandidates {
			break
		}
		p.options[p.count].candidate = i
		p.fillOption(&p.options[p.count], c, estimates)
		if c.Canary {
			p.canaryOption, p.comparedOption = p.count, p.count
		}
		p.count++
	}
	if controlModel != "" && p.canaryOption < 0 {
		p.comparedOption = p.currentOption(controlModel)
	}
}

// currentOption returns the first option of a model, which is its newest active version, or -1 if there is none.
func (p *planner) currentOption(model string) int {
	for i := range p.options[:p.count] {
		if c := &p.request.Candidates[p.options[i].candidate]; c.Model == model && !c.Canary {
			return i
		}
	}
	return -1
}

// fillOption computes the estimates for an option. Where there are no observations they are based on the price and the
// prior.
func (p *planner) fillOption(o *option, c *Candidate, estimates *classEstimates) {
	r, s := p.request, &p.view.settings
	ok := false
	if estimates != nil {
		o.versionEstimate, ok = estimates.versions[c.Version]
	}
	if !ok {
		var stats versionStats
		stats.prior = c.Prior
		o.passRate, o.passRateDeviation = stats.firstStep.betaMoments(s, time.Time{}, c.Prior)
	}
	o.worstCost = (float64(c.Price.Input)*float64(r.InputTokens) + float64(c.Price.Output)*float64(r.MaxOutputTokens)) / 1000
	if !o.measured {
		// Answers rarely have the greatest length, so half of it is the estimate until the first answer.
		o.cost = o.worstCost / 2
		if estimates != nil {
			o.seconds = estimates.slowestSeconds
		}
	}
	o.passRateHigh = min(1, o.passRate+s.Confidence*o.passRateDeviation)
	o.optimisticPassRate = min(1, o.passRate+explorationConfidence*o.passRateDeviation)
	o.finalObjective = p.objective(o.cost, o.seconds)
	o.ratedObjective = p.objective(o.cost, o.seconds+p.view.ratingTime)
}

// objective returns the weighted sum of cost and latency.
func (p *planner) objective(cost, seconds float64) float64 {
	return p.request.Weights.Cost*cost + p.request.Weights.Latency*seconds
}

// markFinalOptions marks the options that can end a plan and reports whether there are any. The safe version can always
// end a plan, unless its ratings show that it misses the quality and there is another trusted version.
func (p *planner) markFinalOptions() bool {
	s, minPassRate := &p.view.settings, p.request.Quality.Share
	safe, otherTrusted := -1, false
	for i := range p.options[:p.count] {
		o := &p.options[i]
		if p.request.Candidates[o.candidate].Safe {
			safe = i
			continue
		}
		o.canEnd = o.ratedRecently && o.ratings >= s.MinSamples && o.passRate-s.Confidence*o.passRateDeviation >= minPassRate && o.errorRate <= s.MaxErrorRate
		otherTrusted = otherTrusted || o.canEnd
	}
	if safe >= 0 {
		o := &p.options[safe]
		belowQuality := o.ratings >= s.MinSamples && o.passRateHigh < minPassRate
		o.canEnd = !belowQuality || !otherTrusted
		p.maximiseQuality = belowQuality && !otherTrusted
	}
	return safe >= 0 || otherTrusted
}

// considerSingleSteps considers the plans with one step.
func (p *planner) considerSingleSteps() {
	for i := range p.options[:p.count] {
		if p.options[i].canEnd {
			p.consider(optionChain{options: [maxSteps]int8{int8(i)}, length: 1})
		}
	}
}

// considerCascades considers the plans with one or two rated steps before a final step.
func (p *planner) considerCascades() {
	var buf [maxRatedVersions]int8
	rated := p.bestRatedOptions(buf[:0])
	for e := range p.options[:p.count] {
		for _, i := range rated {
			if int(i) == e || (!p.options[e].canEnd && !p.meetsQualityJointly(int(i), e)) {
				continue
			}
			p.consider(optionChain{options: [maxSteps]int8{i, int8(e)}, length: 2})
			for _, j := range rated {
				if j != i && int(j) != e && p.options[e].canEnd {
					p.consider(optionChain{options: [maxSteps]int8{i, j, int8(e)}, length: 3})
				}
			}
		}
	}
}

// meetsQualityJointly reports whether a rated step and a final step that is not trusted alone meet the quality together.
// It uses the pass rate of the final step after rejections by this very rated step, which accounts for requests that
// are hard for both.
func (p *planner) meetsQualityJointly(i, e int) bool {
	s, first, final := &p.view.settings, &p.options[i], &p.options[e]
	if e == p.canaryOption || p.request.Candidates[final.candidate].Safe || final.errorRate > s.MaxErrorRate || first.ratings < s.MinSamples {
		return false
	}
	a, ok := final.afterVersion(p.optionVersion(i))
	low := first.passRate - s.Confidence*first.passRateDeviation
	return ok && a.ratedRecently && 1-(1-low)*(1-a.low) >= p.request.Quality.Share
}

// optionVersion returns the version of an option.
func (p *planner) optionVersion(i int) string {
	return p.request.Candidates[p.options[i].candidate].Version
}

// bestRatedOptions returns the options with the lowest objective per accepted answer as a rated step, in this order. The
// canary is not among them, since startWithCompared adds it to the plan.
func (p *planner) bestRatedOptions(l []int8) []int8 {
	for i := range p.options[:p.count] {
		if i == p.canaryOption {
			continue
		}
		at := len(l)
		for at > 0 && p.objectivePerPass(i) < p.objectivePerPass(int(l[at-1])) {
			at--
		}
		if at == maxRatedVersions {
			continue
		}
		if len(l) < maxRatedVersions {
			l = append(l, 0)
		}
		copy(l[at+1:], l[at:])
		l[at] = int8(i)
	}
	return l
}

// objectivePerPass returns the objective of a rated step per accepted answer.
func (p *planner) objectivePerPass(i int) float64 {
	o := &p.options[i]
	return o.ratedObjective / max(1e-9, o.passRate*(1-o.errorRate))
}

// consider replaces the best plan if the given one is within the limits and better. If maximiseQuality is set, the
// plan with the higher quality is the better one.
func (p *planner) consider(c optionChain) {
	if !p.evaluate(&c) {
		return
	}
	better := c.objective < p.best.objective
	if p.maximiseQuality && p.best.length > 0 && math.Abs(c.quality-p.best.quality) > 1e-9 {
		better = c.quality > p.best.quality
	}
	if better {
		p.best = c
	}
}

// evaluate computes the expected values of a plan and reports whether it is within the limits of the request.
func (p *planner) evaluate(c *optionChain) bool {
	reached, rejected, slowSeconds := 1.0, 1.0, 0.0
	c.objective, c.worstCost, c.cost, c.seconds = 0, 0, 0, 0
	last := c.length - 1
	for i, index := range c.options[:c.length] {
		o := &p.options[index]
		passRate := o.passRate
		if i == 1 {
			a, _ := o.afterVersion(p.optionVersion(int(c.options[0])))
			passRate = a.passRate
		}
		c.worstCost += o.worstCost
		c.cost += reached * o.cost
		slowSeconds += o.seconds + 2*o.secondsDeviation
		if i == last {
			c.objective += reached * (o.finalObjective + p.request.Weights.Exposure*o.passRateDeviation)
			c.seconds += reached * o.seconds
			rejected *= 1 - passRate
			break
		}
		c.objective += reached * o.ratedObjective
		c.seconds += reached * (o.seconds + p.view.ratingTime)
		slowSeconds += p.view.ratingTime
		rejected *= 1 - passRate
		reached *= 1 - passRate*(1-o.errorRate)
	}
	c.quality, c.finalStepShare = 1-rejected, reached
	// The deadline applies to latencies of two standard deviations above the mean.
	late := p.request.Deadline > 0 && c.length > 1 && slowSeconds > p.request.Deadline.Seconds()
	return c.worstCost <= float64(p.request.MaxCost) && !late
}

// newPlan converts a chain to a Plan.
func (p *planner) newPlan(c optionChain, draw float64, exploratory bool) Plan {
	l := make([]Step, c.length)
	for i, index := range c.options[:c.length] {
		d := &p.request.Candidates[p.options[index].candidate]
		l[i] = Step{Version: d.Version, RateBeforeDelivery: i < c.length-1, Canary: d.Canary}
	}
	final := &p.options[c.options[c.length-1]]
	l[c.length-1].RateAfterDelivery = p.request.RaterAvailable && p.ratesAfterDelivery(final, c.finalStepShare, draw)
	return Plan{
		Steps: l, Exploratory: exploratory, ExpectedQuality: c.quality, Uncertainty: final.passRateDeviation,
		ExpectedCost: record.Micros(math.Ceil(c.cost)), WorstCost: record.Micros(math.Ceil(c.worstCost)),
		ExpectedLatency: time.Duration(c.seconds * float64(time.Second)),
	}
}

// ratesAfterDelivery reports whether the answer of a final step is rated after delivery. This is always so in a roll-out,
// and more frequent if the change detector is close to its alarm. The sample share refers to all requests, so that a
// final step reached by few requests is rated in a larger share of them.
func (p *planner) ratesAfterDelivery(o *option, reached, draw float64) bool {
	s := &p.view.settings
	if p.rateFinalStep || p.request.Candidates[o.candidate].Canary {
		return true
	}
	return subDraw(draw, drawSample)*reached < s.SampleShare+(s.MaxSampleShare-s.SampleShare)*o.suspicion
}

// pinnedPlan returns a plan with the pinned version of a session as its only step.
func (p *planner) pinnedPlan(draw float64) Plan {
	for i := range p.options[:p.count] {
		if p.request.Candidates[p.options[i].candidate].Version != p.request.PinnedVersion {
			continue
		}
		c := optionChain{options: [maxSteps]int8{int8(i)}, length: 1}
		if !p.evaluate(&c) {
			return Plan{Problem: ProblemMaxCost}
		}
		return p.newPlan(c, draw, false)
	}
	return Plan{Problem: ProblemNotAllowed}
}
