package admission

import "math"

// demand is what an organisation asks of a service, in the unit of Usages.
type demand struct {
	usage float64
	usual float64 // usage in calm time, 0 if unknown
	// usualRequests is the number of requests from which the usual usage is known.
	usualRequests int
}

// usualMargin allows for the error of the usual usage, which an instance knows from its own part of the traffic.
const usualMargin = 1.25

// protected returns the part of the usage that is shed last.
func (d demand) protected() float64 { return min(d.usage, usualMargin*d.usual) }

// highestUsual returns what the usual usage may be in view of the few requests from which it is known. The work of requests varies as
// much as its mean, so the variance of a sum of n is 2/n of its square; two standard deviations are rarely exceeded.
func (d demand) highestUsual() float64 {
	return d.usual * (1 + 2*math.Sqrt(2/float64(max(1, d.usualRequests))))
}

// fairLevel is the result of dividing the capacity of a service among organisations.
type fairLevel struct {
	level     float64
	intoUsual bool // what exceeds the usual usage isn't enough, so the level applies to the usual usages
}

// roundingError bounds the relative error of sums of usages.
const roundingError = 1e-9

// levelSteps bisections find a level to a millionth of the largest usage.
const levelSteps = 20

// divide returns the level above which the usage of organisations is shed, so that the given share of all work is shed. It takes what
// exceeds the usual usages first.
func divide(l []demand, shed float64) fairLevel {
	total, excess, highest := 0.0, 0.0, 0.0
	for _, d := range l {
		total += d.usage
		excess += d.usage - d.protected()
		highest = max(highest, d.usage)
	}
	f := fairLevel{level: highest, intoUsual: excess*(1+roundingError) < shed*total}
	low := 0.0
	for range levelSteps {
		middle := (low + f.level) / 2
		if (fairLevel{middle, f.intoUsual}).shedWork(l) < shed*total*(1-roundingError) {
			f.level = middle
		} else {
			low = middle
		}
	}
	return f
}

// allowed returns the part of a demand that is served.
func (f fairLevel) allowed(d demand) float64 {
	if f.intoUsual {
		return min(d.protected(), f.level)
	}
	return min(d.usage, max(d.protected(), f.level))
}

// shedWork returns the work of all organisations that isn't served.
func (f fairLevel) shedWork(l []demand) float64 {
	sum := 0.0
	for _, d := range l {
		sum += d.usage - f.allowed(d)
	}
	return sum
}

// refusedShare returns the share of an organisation's work that isn't served.
func (f fairLevel) refusedShare(d demand) float64 {
	if d.usage <= 0 {
		return 0
	}
	return 1 - f.allowed(d)/d.usage
}

// An organisation stands out if its usage has grown this much more over the usual one than all usages together have, and is
// a sizeable part of them. The usages of a single instance vary more than those of all.
const (
	deferGrowth      = 1.6
	ownDeferGrowth   = 2.5
	minStandOutShare = 0.1
)

// excessShare returns by how much the organisations that stand out exceed their usual usages, as a share of all work, and a
// function that reports whether an organisation stands out.
func excessShare(l []demand, growth float64) (float64, func(demand) bool) {
	usage, usual, excess := 0.0, 0.0, 0.0
	for _, d := range l {
		usage, usual = usage+d.usage, usual+d.usual
	}
	out := func(d demand) bool {
		return d.usual > 0 && d.usage > minStandOutShare*usage && d.usage*usual > growth*usage*d.highestUsual()
	}
	for _, d := range l {
		if out(d) {
			excess += d.usage - d.protected()
		}
	}
	return excess / max(usage, 1e-9), out
}
