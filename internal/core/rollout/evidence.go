package rollout

import "math"

// odds are the odds ratios of bad outcomes that the test looks for; the evidence is their equal mixture.
var odds = [4]float64{3, 8, 25, 100}

// Samples of a comparison, of either version. Single pairs need about twice as many samples as blocks to see
// the same difference, and larger blocks delay the stop of a version that always fails.
const (
	minBlock = 4
	maxBlock = 32
)

// outcomes counts outcomes of one version.
type outcomes struct{ count, bad int }

func (o outcomes) share() float64 { return float64(o.bad) / float64(max(1, o.count)) }

// add counts an outcome unless the block is full; which outcomes are left out does not depend on them.
func (o *outcomes) add(bad bool) {
	if o.count == maxBlock {
		return
	}
	o.count++
	if bad {
		o.bad++
	}
}

// Evidence is the log-likelihood ratio for each of the odds ratios; it adds up over comparisons and instances.
type Evidence [4]float64

// add counts the comparison of a block of outcomes of the new version with a block of the current one.
//
// Given the number of bad outcomes in both blocks together, the number among the new version's has a noncentral
// hypergeometric distribution, which depends on the odds ratio only, whatever the common share of bad outcomes
// is at that moment. The likelihood ratio against the tolerated odds ratio is therefore an e-value, also when
// load or raters change over time.
func (e *Evidence) add(tolerance float64, canary, control outcomes) {
	m := canary.bad + control.bad
	if m == 0 || m == canary.count+control.count {
		return // every odds ratio explains this equally well
	}
	null := chance(tolerance, canary, control)
	for i, o := range odds {
		e[i] += math.Log(chance(o, canary, control) / null)
	}
}

// chance returns the probability of the new version's number of bad outcomes, given the number in both blocks.
func chance(odds float64, canary, control outcomes) float64 {
	m := canary.bad + control.bad
	low, high := max(0, m-control.count), min(canary.count, m)
	// Each weight follows from the one before: C(n, x) C(k, m-x) odds^x.
	weight, sum, own := 1.0, 0.0, 0.0
	for x := low; x <= high; x++ {
		sum += weight
		if x == canary.bad {
			own = weight
		}
		weight *= odds * float64(canary.count-x) * float64(m-x) / (float64(x+1) * float64(control.count-m+x+1))
	}
	return own / sum
}

// plus returns the evidence of independent samples taken together.
func (e Evidence) plus(o Evidence) Evidence {
	for i := range e {
		e[i] += o[i]
	}
	return e
}

// ratio returns the logarithm of the mixture's likelihood ratio.
func (e Evidence) ratio() float64 {
	top := math.Inf(-1)
	for _, x := range e {
		top = max(top, x)
	}
	sum := 0.0
	for _, x := range e {
		sum += math.Exp(x - top)
	}
	return top + math.Log(sum/float64(len(e)))
}
