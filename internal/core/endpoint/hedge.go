package endpoint

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latencies that hedging records, in microseconds, and the number of significant digits.
const (
	hedgeMinLatencyMicros  = 100
	hedgeMaxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	hedgeSignificantDigits = 2
)

// HedgeSettings configure hedged requests.
type HedgeSettings struct {
	Percentile float64       // percentile of the latency, from 0 to 100, after which a second copy is sent
	MinSamples int64         // minimum number of recorded latencies
	Window     time.Duration // latencies older than two windows are discarded
	CopyRatio  float64       // second copies allowed per first attempt
	Burst      int           // maximum number of saved copies
}

// DefaultHedgeSettings returns the default settings; docs/measurements/endpoint.md explains the values.
func DefaultHedgeSettings() HedgeSettings {
	return HedgeSettings{Percentile: 95, MinSamples: 100, Window: 30 * time.Second, CopyRatio: 0.02, Burst: 5}
}

// Hedger decides when to send a second copy of a request. It is not safe for concurrent use.
type Hedger struct {
	settings HedgeSettings
	pools    map[string]*latencyWindows
	budget   *RetryBudget
}

// latencyWindows hold a pool's latencies to the first token in the current and the previous window.
type latencyWindows struct {
	current, previous *hdrhistogram.Histogram
	startedAt         time.Time
}

// NewHedger returns a Hedger that sends no copies before it has recorded enough latencies.
func NewHedger(s HedgeSettings) *Hedger {
	return &Hedger{
		settings: s, pools: map[string]*latencyWindows{},
		budget: NewRetryBudget(RetrySettings{MaxAttempts: 2, RetryRatio: s.CopyRatio, MaxSavedRetries: s.Burst}),
	}
}

// RecordLatency records the latency to the first token (or to the answer of a service) of one attempt.
func (h *Hedger) RecordLatency(now time.Time, pool string, latency time.Duration) {
	windows := h.pools[pool]
	if windows == nil {
		windows = &latencyWindows{current: newHistogram(), previous: newHistogram(), startedAt: now}
		h.pools[pool] = windows
	}
	if now.Sub(windows.startedAt) >= h.settings.Window {
		windows.current, windows.previous, windows.startedAt = windows.previous, windows.current, now
		windows.current.Reset()
	}
	// The value is within the histogram's bounds, so there is no error.
	_ = windows.current.RecordValue(min(hedgeMaxLatencyMicros, max(hedgeMinLatencyMicros, latency.Microseconds())))
}

// RecordFirstAttempt counts the first attempt of a request, which adds to the budget for copies.
func (h *Hedger) RecordFirstAttempt() AttemptCount { return h.budget.RecordFirstAttempt() }

// CopyDelay returns how long to wait for the first token before sending a copy, and false if no copy may be sent. Only an
// idempotent request is copied, and only if the profile's weight of latency is positive.
func (h *Hedger) CopyDelay(now time.Time, pool string, idempotent bool, weight float64, deadline time.Time) (time.Duration, bool) {
	windows := h.pools[pool]
	if !idempotent || weight <= 0 || windows == nil ||
		windows.current.TotalCount()+windows.previous.TotalCount() < h.settings.MinSamples {
		return 0, false
	}
	delay := time.Duration(max(
		windows.current.ValueAtQuantile(h.settings.Percentile),
		windows.previous.ValueAtQuantile(h.settings.Percentile),
	)) * time.Microsecond
	if !deadline.IsZero() && !now.Add(delay).Before(deadline) {
		return 0, false
	}
	return delay, true
}

// TakeCopy reports whether the copy may be sent now, and counts it.
func (h *Hedger) TakeCopy(now time.Time, a *AttemptCount, deadline time.Time) bool {
	return h.budget.TakeRetry(now, a, deadline, 0)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(hedgeMinLatencyMicros, hedgeMaxLatencyMicros, hedgeSignificantDigits)
}
