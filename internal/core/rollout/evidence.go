package rollout

import "math"

// testedOddsRatios are the odds ratios of bad outcomes, new to current version, for which the test looks. It decides by
// the mean of their likelihood ratios.
var testedOddsRatios = [4]float64{3, 8, 25, 100}

// Bounds of the number of samples of each version in one comparison. Comparing single pairs takes about twice as many
// samples to detect the same difference, and larger blocks delay the stop of a version that always fails.
const (
	minBlockSize = 4
	maxBlockSize = 32
)

// outcomes counts the outcomes of one version.
type outcomes struct{ count, bad int }

// badShare returns the share of bad outcomes.
func (o outcomes) badShare() float64 { return float64(o.bad) / float64(max(1, o.count)) }

// add counts an outcome unless maxBlockSize is reached. Whether an outcome is left out does not depend on its value.
func (o *outcomes) add(bad bool) {
	if o.count == maxBlockSize {
		return
	}
	o.count++
	if bad {
		o.bad++
	}
}

// Evidence holds the log-likelihood ratio for each of the tested odds ratios. The evidence of several comparisons or
// instances is the sum of theirs.
type Evidence [4]float64

// add adds the comparison of a block of outcomes of the new version with a block of the current one.
//
// Given the total number of bad outcomes in both blocks, the number in the new version's block has a noncentral
// hypergeometric distribution. It depends on the odds ratio, but not on the share of bad outcomes at that time.
// Therefore the likelihood ratio against the tolerated odds ratio is an e-value even if load or raters change over
// time.
func (e *Evidence) add(toleratedOddsRatio float64, canary, control outcomes) {
	totalBad := canary.bad + control.bad
	if totalBad == 0 || totalBad == canary.count+control.count {
		return // equally likely under every odds ratio
	}
	tolerated := likelihood(toleratedOddsRatio, canary, control)
	for i, o := range testedOddsRatios {
		e[i] += math.Log(likelihood(o, canary, control) / tolerated)
	}
}

// likelihood returns the probability of the new version's number of bad outcomes under an odds ratio, given the total
// number in both blocks.
func likelihood(oddsRatio float64, canary, control outcomes) float64 {
	totalBad := canary.bad + control.bad
	low, high := max(0, totalBad-control.count), min(canary.count, totalBad)
	// The weight of x bad outcomes is C(canary.count, x) * C(control.count, totalBad-x) * oddsRatio^x up to a common
	// factor, so each weight is computed from the one before.
	weight, sum, observed := 1.0, 0.0, 0.0
	for x := low; x <= high; x++ {
		sum += weight
		if x == canary.bad {
			observed = weight
		}
		weight *= oddsRatio * float64(canary.count-x) * float64(totalBad-x) / (float64(x+1) * float64(control.count-totalBad+x+1))
	}
	return observed / sum
}

// plus returns the combined evidence of independent samples.
func (e Evidence) plus(o Evidence) Evidence {
	for i := range e {
		e[i] += o[i]
	}
	return e
}

// logMeanRatio returns the logarithm of the mean likelihood ratio over the tested odds ratios. It factors out the
// greatest ratio so that strong evidence does not overflow.
func (e Evidence) logMeanRatio() float64 {
	greatest := math.Inf(-1)
	for _, x := range e {
		greatest = max(greatest, x)
	}
	sum := 0.0
	for _, x := range e {
		sum += math.Exp(x - greatest)
	}
	return greatest + math.Log(sum/float64(len(e)))
}
