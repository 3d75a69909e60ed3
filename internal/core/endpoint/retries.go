package endpoint

import (
	"math"
	"sync/atomic"
	"time"
)

// milli is the unit of the retry tokens: thousandths of a retry.
const milli = 1000

// RetrySettings bound retries.
type RetrySettings struct {
	Request int           // attempts of one caller request over all layers, the first included
	Ratio   float64       // retries for each first attempt over the fleet
	Burst   int           // unused retries kept at most
	Floor   time.Duration // one retry is allowed each Floor even without first attempts; 0 means none
}

// DefaultRetries returns the settings for a fleet of the given number of instances.
func DefaultRetries(fleet int) RetrySettings {
	fleet = max(1, fleet)
	// The saved retries of all instances are spent at once when a pool fails. 90 in a small fleet cover the requests
	// of a few engines; an instance of a large one keeps 2. At 45, 12 requests at once to one instance and an engine
	// that answered each with a wrong version left some of them without an answer.
	return RetrySettings{Request: 4, Ratio: 0.1, Burst: min(16, max(2, 90/fleet)), Floor: 10 * time.Second * time.Duration(fleet)}
}

// Retries holds the ratio of retries to first attempts; each instance keeps it, so the fleet does. It is safe for
// concurrent use.
type Retries struct {
	settings RetrySettings
	tokens   atomic.Int64 // thousandths of a retry
	floorAt  atomic.Int64 // next retry from the floor, nanoseconds since the epoch
}

// Attempts is the budget of one caller request; all layers that send for it share one.
type Attempts struct{ used int }

// NewRetries returns a budget without saved retries.
func NewRetries(s RetrySettings) *Retries { return &Retries{settings: s} }

// First counts the first attempt of a caller request.
func (r *Retries) First() Attempts {
	add := int64(math.Round(r.settings.Ratio * milli))
	limit := int64(r.settings.Burst) * milli
	for {
		t := r.tokens.Load()
		if r.tokens.CompareAndSwap(t, min(limit, t+add)) {
			return Attempts{used: 1}
		}
	}
}

// Take reports whether one more attempt may be sent now, and counts it. The deadline must leave time for need, the
// shortest useful attempt.
func (r *Retries) Take(now time.Time, a *Attempts, deadline time.Time, need time.Duration) bool {
	if a.used >= r.settings.Request || (!deadline.IsZero() && !now.Add(need).Before(deadline)) {
		return false
	}
	if !r.spend() && !r.floor(now) {
		return false
	}
	a.used++
	return true
}

func (r *Retries) spend() bool {
	for {
		t := r.tokens.Load()
		if t < milli {
			return false
		}
		if r.tokens.CompareAndSwap(t, t-milli) {
			return true
		}
	}
}

func (r *Retries) floor(now time.Time) bool {
	if r.settings.Floor == 0 {
		return false
	}
	at := r.floorAt.Load()
	return now.UnixNano() >= at && r.floorAt.CompareAndSwap(at, now.Add(r.settings.Floor).UnixNano())
}

// halved returns the share that is left after an age at a half-life.
func halved(age, half time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(half))
}
