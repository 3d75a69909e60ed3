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
	Samples    int64         // minimum number of recorded latencies
	Window     time.Duration // latencies older than two windows are discarded
	Ratio      float64       // second copies allowed per first attempt
	Burst      int           // maximum number of saved copies
}

// DefaultHedge returns the default settings; docs/measurements/endpoint.md explains the values.
func DefaultHedge() HedgeSettings {
	return HedgeSettings{Percentile: 95, Samples: 100, Window: 30 * time.Second, Ratio: 0.02, Burst: 5}
}

// Hedge decides when to send a second copy of a request. It is not safe for concurrent use.
type Hedge struct {
	settings HedgeSettings
	pools    map[string]*latencyWindows
	budget   *Retries
}

// latencyWindows hold a pool's latencies to the first token in the current and the previous window.
type latencyWindows struct {
	current, previous *hdrhistogram.Histogram
	startedAt         time.Time
}

// NewHedge returns a hedge that sends no copies before it has recorded enough latencies.
func NewHedge(s HedgeSettings) *Hedge {
	return &Hedge{
		settings: s, pools: map[string]*latencyWindows{},
		budget: NewRetries(RetrySettings{Request: 2, Ratio: s.Ratio, Burst: s.Burst}),
	}
}

// Observe records the latency to the first token (or to the answer of a service) of one attempt.
func (h *Hedge) Observe(now time.Time, pool string, latency time.Duration) {
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

// First counts the first attempt of a request, which adds to the budget for copies.
func (h *Hedge) First() Attempts { return h.budget.First() }

// After returns how long to wait for the first token before sending a copy, and false if no copy may be sent. Only an
// idempotent request is copied, and only if the profile's weight of latency is positive.
func (h *Hedge) After(now time.Time, pool string, idempotent bool, weight float64, deadline time.Time) (time.Duration, bool) {
	windows := h.pools[pool]
	if !idempotent || weight <= 0 || windows == nil ||
		windows.current.TotalCount()+windows.previous.TotalCount() < h.settings.Samples {
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

// Take reports whether the copy may be sent now, and counts it.
func (h *Hedge) Take(now time.Time, a *Attempts, deadline time.Time) bool {
	return h.budget.Take(now, a, deadline, 0)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(hedgeMinLatencyMicros, hedgeMaxLatencyMicros, hedgeSignificantDigits)
}
