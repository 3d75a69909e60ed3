package rollout

import "math"

// odds are the odds ratios of bad outcomes that the test looks for; the evidence is their equal mixture.
var odds = [4]float64{3, 8, 25, 100}

// maxControls bounds the samples of the current version in one comparison; more add little power.
const maxControls = 16

// Evidence is the log-likelihood ratio for each of the odds ratios; it adds up over comparisons and instances.
type Evidence [4]float64

// add counts the comparison of one sample of the new version with k samples of the current one.
//
// Given the number of bad outcomes among all k+1, the new version's is bad with a probability that depends
// only on the odds ratio, whatever the common share of bad outcomes is at that moment. The likelihood ratio
// against the tolerated odds ratio is therefore an e-value, also when load or raters change over time.
func (e *Evidence) add(tolerance float64, bad bool, controls, badControls int) {
	m, n := badControls, controls+1
	if bad {
		m++
	}
	if m == 0 || m == n {
		return // every odds ratio explains this equally well
	}
	for i, o := range odds {
		e[i] += math.Log(chance(o, bad, m, n) / chance(tolerance, bad, m, n))
	}
}

// chance returns the probability of the new version's outcome, given m bad outcomes among n.
func chance(odds float64, bad bool, m, n int) float64 {
	p := odds * float64(m) / (odds*float64(m) + float64(n-m))
	if bad {
		return p
	}
	return 1 - p
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
