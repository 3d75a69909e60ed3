package endpoint

import (
	"math"
	"sync/atomic"
	"time"
)

// tokensPerRetry is the number of retry tokens that one retry costs.
const tokensPerRetry = 1000

// RetrySettings limit retries.
type RetrySettings struct {
	Request int           // maximum attempts of one caller's request in all layers, including the first
	Ratio   float64       // retries allowed per first attempt in the fleet
	Burst   int           // maximum number of saved retries
	Floor   time.Duration // interval at which one retry is allowed even without first attempts; 0 means never
}

// DefaultRetries returns the default settings for a fleet of the given number of instances.
func DefaultRetries(fleet int) RetrySettings {
	fleet = max(1, fleet)
	// All instances spend their saved retries at once when a pool fails. In a small fleet, 90 saved retries cover the
	// requests of a few engines; in a large fleet each instance saves 2. With 45, some requests got no answer when 12
	// arrived at one instance at once and an engine answered each with a wrong version.
	return RetrySettings{Request: 4, Ratio: 0.1, Burst: min(16, max(2, 90/fleet)), Floor: 10 * time.Second * time.Duration(fleet)}
}

// Retries limits the ratio of retries to first attempts. Each instance keeps to the ratio, so the fleet does too. It is
// safe for concurrent use.
type Retries struct {
	settings         RetrySettings
	tokens           atomic.Int64 // budget for retries; tokensPerRetry tokens pay for one
	nextFloorRetryAt atomic.Int64 // earliest next retry that needs no tokens, in nanoseconds since the epoch
}

// Attempts counts the attempts of one caller's request. All layers that send for the request share it.
type Attempts struct{ used int }

// NewRetries returns a retry budget without saved retries.
func NewRetries(s RetrySettings) *Retries { return &Retries{settings: s} }

// First records the first attempt of a caller's request and adds to the budget.
func (r *Retries) First() Attempts {
	earned := int64(math.Round(r.settings.Ratio * tokensPerRetry))
	limit := int64(r.settings.Burst) * tokensPerRetry
	for {
		tokens := r.tokens.Load()
		if r.tokens.CompareAndSwap(tokens, min(limit, tokens+earned)) {
			return Attempts{used: 1}
		}
	}
}

// Take reports whether one more attempt may be sent now, and counts it. At least minDuration must be left until the
// deadline.
func (r *Retries) Take(now time.Time, a *Attempts, deadline time.Time, minDuration time.Duration) bool {
	if a.used >= r.settings.Request || (!deadline.IsZero() && !now.Add(minDuration).Before(deadline)) {
		return false
	}
	if !r.spendRetryTokens() && !r.takeFloorRetry(now) {
		return false
	}
	a.used++
	return true
}

func (r *Retries) spendRetryTokens() bool {
	for {
		tokens := r.tokens.Load()
		if tokens < tokensPerRetry {
			return false
		}
		if r.tokens.CompareAndSwap(tokens, tokens-tokensPerRetry) {
			return true
		}
	}
}

func (r *Retries) takeFloorRetry(now time.Time) bool {
	if r.settings.Floor == 0 {
		return false
	}
	at := r.nextFloorRetryAt.Load()
	return now.UnixNano() >= at && r.nextFloorRetryAt.CompareAndSwap(at, now.Add(r.settings.Floor).UnixNano())
}

// remainingShare returns the share that is left after the given age at a half-life.
func remainingShare(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
