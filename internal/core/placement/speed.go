package placement

import (
	"math"
	"time"
)

// SpeedSettings are the parameters of the use of attributes.Load.WorkTime.
type SpeedSettings struct {
	TTL    time.Duration // age at which a figure of an endpoint no longer counts
	Weight float64       // exponent of a fresh figure in the estimate
	Min    float64       // bounds on the effect of a figure on the estimate
	Max    float64
}

// DefaultSpeedSettings returns an instance's settings.
func DefaultSpeedSettings() SpeedSettings {
	return SpeedSettings{
		TTL:    500 * time.Millisecond, // the figure changes many times a second
		Weight: 0.7,                    // part of the change is over before the request's work begins
		Min:    0.7,                    // an endpoint that is fast for a moment must not attract the requests of all instances
		Max:    3,
	}
}

// workTimeWeight is the weight of a new figure in the mean of an endpoint's figures.
const workTimeWeight = 0.1

// passingSpeed is how long work takes at an endpoint, relative to the endpoint's own mean. What lasts is in the mean, and so in the
// endpoint's latency factor only.
type passingSpeed struct {
	last float64   // logarithm of the last figure
	mean float64   // of the logarithms
	at   time.Time // of the last figure; zero if the endpoint states none
}

func (p *passingSpeed) record(now time.Time, workTime float64) {
	if workTime <= 0 {
		return
	}
	p.last, p.at = math.Log(workTime), now
	p.mean += workTimeWeight * (p.last - p.mean)
}

// slowdown returns the last figure over the mean, as a factor on times, or 0 if it is too old.
func (p *passingSpeed) slowdown(now time.Time, s SpeedSettings) float64 {
	if p.at.IsZero() || now.Sub(p.at) >= s.TTL {
		return 0
	}
	return min(max(math.Exp(p.last-p.mean), 1/s.Max), s.Max)
}

// extraMS returns the time that the passing speed adds to an amount of work that begins now. It affects the work of the next
// SpeedSettings.TTL only, because the speed changes until then.
func (p *passingSpeed) extraMS(now time.Time, workMS float64, s SpeedSettings) float64 {
	age := now.Sub(p.at)
	if p.at.IsZero() || age >= s.TTL {
		return 0
	}
	x := s.Weight * (1 - float64(age)/float64(s.TTL)) * (p.last - p.mean)
	return (min(max(math.Exp(x), s.Min), s.Max) - 1) * min(workMS, float64(s.TTL)/float64(time.Millisecond))
}

// meanSlowdown returns the mean slowdown during a request, given that at its beginning and that at its end, either of which may
// be unknown (0).
func meanSlowdown(sent, ended float64) float64 {
	switch {
	case sent == 0 && ended == 0:
		return 1
	case sent == 0:
		return ended
	case ended == 0:
		return sent
	}
	return math.Sqrt(sent * ended)
}
