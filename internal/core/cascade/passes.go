package cascade

import (
	"math"
	"time"
)

// oddsOfChange is the factor on the odds of a failed rating that the change detector looks for.
const oddsOfChange = 4

// passes counts ratings at and below the quality with exponential decay and watches for a change for the worse.
type passes struct {
	pass, fail float64
	at         time.Time // to which the counts are decayed
	last       time.Time // of the newest rating
	cusum      float64   // log-likelihood ratio of a change since the run began
	runPass    float64   // ratings since cusum was last zero
	runFail    float64
}

// add counts ratings made at a time that may lie before other ratings already counted.
// It reports whether they raise the alarm.
func (p *passes) add(s *Settings, made time.Time, pass, fail, prior float64) bool {
	w := 1.0
	if made.After(p.at) {
		f := halving(made.Sub(p.at), s.HalfLife)
		p.pass, p.fail, p.at = p.pass*f, p.fail*f, made
	} else {
		w = halving(p.at.Sub(made), s.HalfLife)
	}
	if made.After(p.last) {
		p.last = made
	}
	alarm := p.detect(s, pass*w, fail*w, prior)
	p.pass += pass * w
	p.fail += fail * w
	if n := p.pass + p.fail; n > s.MaxWeight {
		p.pass, p.fail = p.pass*s.MaxWeight/n, p.fail*s.MaxWeight/n
	}
	return alarm
}

// detect is a CUSUM test of the remembered share against one with oddsOfChange times the odds of failure.
// At the alarm only the ratings since the suspected change are kept, so one bad stretch outweighs a long good past.
// With few ratings the mean is no reference yet, and it follows a change by itself.
func (p *passes) detect(s *Settings, pass, fail, prior float64) bool {
	if p.pass+p.fail < s.MinSamples {
		return false
	}
	m, _ := p.moments(s, p.at, prior)
	was := min(max(m, 0.02), 0.995)
	bad := oddsOfChange * (1 - was) / (was + oddsOfChange*(1-was))
	p.cusum += pass*math.Log((1-bad)/was) + fail*math.Log(bad/(1-was))
	if p.cusum <= 0 {
		p.cusum, p.runPass, p.runFail = 0, 0, 0
		return false
	}
	p.runPass += pass
	p.runFail += fail
	if p.cusum < s.Alarm {
		return false
	}
	p.pass, p.fail = p.runPass-pass, p.runFail-fail // add counts the newest ratings
	p.cusum, p.runPass, p.runFail = 0, 0, 0
	return true
}

// moments returns the mean of the Beta belief about the pass share at a time, and its standard deviation.
func (p *passes) moments(s *Settings, now time.Time, prior float64) (mean, deviation float64) {
	a, b := 1.0, 1.0 // an unknown prior is the uniform distribution
	if prior > 0 {
		a, b = s.PriorWeight*prior, s.PriorWeight*(1-prior)
	}
	f := 1.0
	if now.After(p.at) {
		f = halving(now.Sub(p.at), s.HalfLife)
	}
	a, b = a+p.pass*f, b+p.fail*f
	mean = a / (a + b)
	return mean, math.Sqrt(mean * (1 - mean) / (a + b + 1))
}

// count returns the number of ratings that still count at a time.
func (p *passes) count(s *Settings, now time.Time) float64 {
	n := p.pass + p.fail
	if now.After(p.at) {
		n *= halving(now.Sub(p.at), s.HalfLife)
	}
	return n
}

func halving(d, half time.Duration) float64 { return math.Exp2(-float64(d) / float64(half)) }

// average is a mean and variance with exponential decay.
type average struct {
	weight, sum, square float64
	at                  time.Time
}

// add counts n values made at a time with a sum and a sum of squares.
func (a *average) add(half time.Duration, made time.Time, n, sum, square float64) {
	w := 1.0
	if made.After(a.at) {
		f := halving(made.Sub(a.at), half)
		a.weight, a.sum, a.square, a.at = a.weight*f, a.sum*f, a.square*f, made
	} else {
		w = halving(a.at.Sub(made), half)
	}
	a.weight += n * w
	a.sum += sum * w
	a.square += square * w
}

// mean returns the mean of the values and an extra one, which fills in as the values fade.
func (a *average) mean(half time.Duration, now time.Time, extra float64) float64 {
	f := 1.0
	if now.After(a.at) {
		f = halving(now.Sub(a.at), half)
	}
	return (a.sum*f + extra) / (a.weight*f + 1)
}

// deviation returns the standard deviation of the values.
func (a *average) deviation() float64 {
	if a.weight < 1e-9 {
		return 0
	}
	m := a.sum / a.weight
	return math.Sqrt(max(0, a.square/a.weight-m*m))
}
