package endpoint

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latencies that hedging records, in microseconds, and their precision in digits.
const (
	hedgeLowest  = 100
	hedgeHighest = int64(10 * time.Minute / time.Microsecond)
	hedgeDigits  = 2
)

// HedgeSettings tune hedging.
type HedgeSettings struct {
	Quantile float64       // share of answers in percent that come before a second copy is sent
	Samples  int64         // latencies needed before anything is hedged
	Window   time.Duration // latencies older than two windows are forgotten
	Ratio    float64       // second copies for each first attempt
	Burst    int           // unused copies kept at most
}

// DefaultHedge returns the settings that docs/measurements/endpoint.md explains.
func DefaultHedge() HedgeSettings {
	return HedgeSettings{Quantile: 95, Samples: 100, Window: 30 * time.Second, Ratio: 0.02, Burst: 5}
}

// Hedge decides when a second copy of a request is sent. Its caller serialises the calls.
type Hedge struct {
	settings HedgeSettings
	pools    map[string]*latencies
	budget   *Retries
}

// latencies holds the times to the first token of a pool in the present and the last window.
type latencies struct {
	now, last *hdrhistogram.Histogram
	started   time.Time
}

// NewHedge returns a hedge without latencies, which copies nothing.
func NewHedge(s HedgeSettings) *Hedge {
	return &Hedge{
		settings: s, pools: map[string]*latencies{},
		budget: NewRetries(RetrySettings{Request: 2, Ratio: s.Ratio, Burst: s.Burst}),
	}
}

// Observe records the time to the first token (or to the answer of a service) of one attempt.
func (h *Hedge) Observe(now time.Time, pool string, took time.Duration) {
	l := h.pools[pool]
	if l == nil {
		l = &latencies{now: newHistogram(), last: newHistogram(), started: now}
		h.pools[pool] = l
	}
	if now.Sub(l.started) >= h.settings.Window {
		l.now, l.last, l.started = l.last, l.now, now
		l.now.Reset()
	}
	_ = l.now.RecordValue(min(hedgeHighest, max(hedgeLowest, took.Microseconds()))) // within the bounds
}

// First counts a first attempt; it earns the budget for copies.
func (h *Hedge) First() Attempts { return h.budget.First() }

// After returns how long to wait for the first token before a copy is sent, and false when none may be sent. Only
// an idempotent request of a profile that weighs latency is copied; need is the shortest useful attempt.
func (h *Hedge) After(now time.Time, pool string, idempotent bool, weight float64, deadline time.Time) (time.Duration, bool) {
	l := h.pools[pool]
	if !idempotent || weight <= 0 || l == nil || l.now.TotalCount()+l.last.TotalCount() < h.settings.Samples {
		return 0, false
	}
	d := time.Duration(max(l.now.ValueAtQuantile(h.settings.Quantile), l.last.ValueAtQuantile(h.settings.Quantile))) * time.Microsecond
	if !deadline.IsZero() && !now.Add(d).Before(deadline) {
		return 0, false
	}
	return d, true
}

// Take reports whether the copy may be sent when its time has come, and counts it.
func (h *Hedge) Take(now time.Time, a *Attempts, deadline time.Time) bool {
	return h.budget.Take(now, a, deadline, 0)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(hedgeLowest, hedgeHighest, hedgeDigits)
}
