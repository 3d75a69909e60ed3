package coldstart

import (
	"math"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

const (
	boundPeriod = time.Second
	maxWindow   = 200 * time.Millisecond // long enough that an instance with 11 requests a second usually has one to send
	// transitSpread is how much the times that requests take to the endpoint may differ. Requests that are sent within a second
	// may arrive in less, and the reverse.
	transitSpread = 50 * time.Millisecond
	// excessProbability bounds the probability that the instances exceed a bound in one period. 30 endpoints that are cold for
	// 3 s give some hundred independent seconds, so it happens less than once in a thousand returns of an availability zone.
	excessProbability = 1e-6
	maxInterval       = 24 * time.Hour // a longer interval counts as no permission at all
)

// Limit holds the settings from which the hard bound of a service follows.
type Limit struct {
	Overshoot float64 // factor of the rate that a service tolerates
	Slack     float64 // requests beyond that
}

// bound returns the bound on the requests to a cold endpoint.
func (l Limit) bound(c routing.ColdStart) Bound {
	return Bound{PerSecond: c.PerSecond, Most: int(c.PerSecond*l.Overshoot + l.Slack), Period: boundPeriod, Window: maxWindow}
}

// Bound limits the requests of all instances together to an endpoint.
type Bound struct {
	PerSecond float64       // on average
	Most      int           // in any Period
	Period    time.Duration // at least
	Window    time.Duration // longest window; a longer one is used by instances with few requests too, but permits a lower rate
}

// Pace is the rate at which one instance may send requests to an endpoint: one in each window, and one window in each
// interval. Without an interval no request may be sent.
type Pace struct {
	Interval time.Duration
	Window   time.Duration
}

// NewPace returns the pace at a cold endpoint for a number of instances.
func NewPace(instances int, c routing.ColdStart, l Limit) Pace { return l.bound(c).Pace(instances) }

// Pace returns the pace for a number of instances.
func (b Bound) Pace(instances int) Pace {
	low, high := 0.0, b.PerSecond // requests per second of all instances together
	if !(b.excess(instances, b.paceOf(instances, high)) <= excessProbability) {
		for range 40 {
			mid := (low + high) / 2
			if b.excess(instances, b.paceOf(instances, mid)) <= excessProbability {
				low = mid
			} else {
				high = mid
			}
		}
		high = low
	}
	return b.paceOf(instances, high)
}

// paceOf returns the pace at which a number of instances send at most the given number of requests a second on average.
func (b Bound) paceOf(instances int, perSecond float64) Pace {
	s := float64(instances) / perSecond
	if !(s < maxInterval.Seconds()) {
		return Pace{}
	}
	p := Pace{Interval: time.Duration(s * float64(time.Second))}
	if p.Interval <= 1 {
		return Pace{}
	}
	p.Window = min(b.Window, p.Interval/2)
	return p
}

// excess returns the probability that more than Most windows of all instances touch a period. Windows of one instance that
// touch it are as many as fit on average, rounded down or up.
func (b Bound) excess(instances int, p Pace) float64 {
	if p.Interval == 0 {
		return 0
	}
	mean := float64(b.Period+p.Window+transitSpread) / float64(p.Interval)
	whole := math.Floor(mean)
	certain := float64(instances) * whole
	if certain > float64(b.Most) {
		return 1
	}
	return binomialTail(instances, mean-whole, b.Most-int(certain))
}

// negligibleShare is the share of a sum below which a term ends the summation of falling terms.
const negligibleShare = 1e-9

// binomialTail returns the probability of more than k successes in n trials with probability p.
func binomialTail(n int, p float64, k int) float64 {
	if k >= n || p <= 0 {
		return 0
	}
	all, _ := math.Lgamma(float64(n + 1))
	a, _ := math.Lgamma(float64(k + 2))
	b, _ := math.Lgamma(float64(n - k))
	term := math.Exp(all - a - b + float64(k+1)*math.Log(p) + float64(n-k-1)*math.Log1p(-p)) // probability of k+1 successes
	sum, odds := 0.0, p/(1-p)
	for i := k + 1; i <= n; i++ {
		sum += term
		ratio := odds * float64(n-i) / float64(i+1)
		if ratio < 1 && term < negligibleShare*sum {
			break
		}
		term *= ratio
	}
	return min(sum, 1)
}

// Allows reports whether a request may be sent now, when the latest one was sent at sentAt. The phase is a random number of the
// instance and the endpoint that does not change.
func (p Pace) Allows(now, sentAt time.Time, phase uint64) bool {
	if p.Interval == 0 {
		return false
	}
	start := p.windowStart(now, phase)
	if now.Sub(start) >= p.Window {
		return false
	}
	// The second condition holds by itself unless the pace has changed since the last request.
	return sentAt.IsZero() || sentAt.Before(start) && now.Sub(sentAt) >= p.Interval-p.Window
}

// Wait returns the time until the next window starts.
func (p Pace) Wait(now time.Time, phase uint64) time.Duration {
	if p.Interval == 0 {
		return maxInterval
	}
	return p.windowStart(now, phase).Add(p.Interval).Sub(now)
}

// windowStart returns the start of the interval's window at or before now; phase shifts the windows of different instances and
// endpoints against each other.
func (p Pace) windowStart(now time.Time, phase uint64) time.Time {
	offset := int64(float64(phase>>11) / (1 << 53) * float64(p.Interval))
	return now.Add(-time.Duration((now.UnixNano() + offset) % int64(p.Interval)))
}
