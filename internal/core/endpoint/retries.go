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
	MaxAttempts     int           // maximum attempts of one caller's request in all layers, including the first
	RetryRatio      float64       // retries allowed per first attempt in the fleet
	MaxSavedRetries int           // maximum number of saved retries
	FloorInterval   time.Duration // interval at which one retry is allowed even without first attempts; 0 means never
}

// DefaultRetrySettings returns the default settings for a fleet of the given number of instances.
func DefaultRetrySettings(fleet int) RetrySettings {
	fleet = max(1, fleet)
	// All instances spend their saved retries at once when a pool fails. In a small fleet, 90 saved retries cover the
	// requests of a few engines; in a large fleet each instance saves 2. With 45, some requests got no answer when 12
	// arrived at one instance at once and an engine answered each with a wrong version.
	return RetrySettings{MaxAttempts: 4, RetryRatio: 0.1, MaxSavedRetries: min(16, max(2, 90/fleet)), FloorInterval: 10 * time.Second * time.Duration(fleet)}
}

// RetryBudget limits the ratio of retries to first attempts. Each instance keeps to the ratio, so the fleet does too. It is
// safe for concurrent use.
type RetryBudget struct {
	settings         RetrySettings
	tokens           atomic.Int64 // budget for retries; tokensPerRetry tokens pay for one
	nextFloorRetryAt atomic.Int64 // earliest next retry that needs no tokens, in nanoseconds since the epoch
}

// AttemptCount counts the attempts of one caller's request. All layers that send for the request share it.
type AttemptCount struct{ used int }

// NewRetryBudget returns a retry budget without saved retries.
func NewRetryBudget(s RetrySettings) *RetryBudget { return &RetryBudget{settings: s} }

// RecordFirstAttempt records the first attempt of a caller's request and adds to the budget.
func (b *RetryBudget) RecordFirstAttempt() AttemptCount {
	earned := int64(math.Round(b.settings.RetryRatio * tokensPerRetry))
	limit := int64(b.settings.MaxSavedRetries) * tokensPerRetry
	for {
		tokens := b.tokens.Load()
		if b.tokens.CompareAndSwap(tokens, min(limit, tokens+earned)) {
			return AttemptCount{used: 1}
		}
	}
}

// TakeRetry reports whether one more attempt may be sent now, and counts it. At least minDuration must be left until the
// deadline.
func (b *RetryBudget) TakeRetry(now time.Time, a *AttemptCount, deadline time.Time, minDuration time.Duration) bool {
	if a.used >= b.settings.MaxAttempts || (!deadline.IsZero() && !now.Add(minDuration).Before(deadline)) {
		return false
	}
	if !b.spendRetryTokens() && !b.takeFloorRetry(now) {
		return false
	}
	a.used++
	return true
}

func (b *RetryBudget) spendRetryTokens() bool {
	for {
		tokens := b.tokens.Load()
		if tokens < tokensPerRetry {
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-tokensPerRetry) {
			return true
		}
	}
}

func (b *RetryBudget) takeFloorRetry(now time.Time) bool {
	if b.settings.FloorInterval == 0 {
		return false
	}
	at := b.nextFloorRetryAt.Load()
	return now.UnixNano() >= at && b.nextFloorRetryAt.CompareAndSwap(at, now.Add(b.settings.FloorInterval).UnixNano())
}

// remainingShare returns the share that is left after the given age at a half-life.
func remainingShare(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
