package load

import (
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// Range of the latency histograms in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = int64(maxDuration / time.Microsecond)
	significantDigits = 3
)

// LatencyQuantiles holds latency quantiles in milliseconds.
type LatencyQuantiles struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

// Report holds the results of a run.
type Report struct {
	Requests        int              `json:"requests"`           // requests sent
	Unsent          int              `json:"unsent"`             // requests not sent because Concurrency requests were outstanding
	Completed       int              `json:"whole"`              // answers received to the end
	Failures        map[string]int64 `json:"failures,omitempty"` // failed requests by error code
	FirstToken      LatencyQuantiles `json:"first-token"`        // latency of the first token
	BetweenTokens   LatencyQuantiles `json:"between-tokens"`     // time between two tokens of an answer
	Tokens          int64            `json:"tokens"`             // events with text; an event counts as one token
	TokensPerSecond float64          `json:"tokens-per-second"`
	ElapsedSeconds  float64          `json:"seconds"` // from the start until the last answer ended
}

// recorder collects the results of the requests of a run.
type recorder struct {
	mu                        sync.Mutex
	results                   Report
	firstToken, betweenTokens *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		results: Report{Failures: map[string]int64{}}, firstToken: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		betweenTokens: hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

func (r *recorder) recordUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results.Unsent++
}

// recordToken records the time before a token: since the request was due for the first token, since the previous token
// otherwise.
func (r *recorder) recordToken(d time.Duration, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.betweenTokens
	if first {
		h = r.firstToken
	}
	_ = h.RecordValue(min(maxMicros, max(minMicros, d.Microseconds()))) // cannot fail: the value is within the histogram's range
	r.results.Tokens++
}

// recordResult counts a complete answer, or a failure by its error code.
func (r *recorder) recordResult(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results.Requests++
	var e *client.Error
	switch {
	case err == nil:
		r.results.Completed++
	case errors.As(err, &e):
		r.results.Failures[string(e.Code)]++
	default:
		r.results.Failures[string(client.CodeTransport)]++
	}
}

func (r *recorder) report(elapsed time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results.FirstToken, r.results.BetweenTokens = quantiles(r.firstToken), quantiles(r.betweenTokens)
	r.results.ElapsedSeconds = elapsed.Seconds()
	r.results.TokensPerSecond = float64(r.results.Tokens) / elapsed.Seconds()
	return r.results
}

func quantiles(h *hdrhistogram.Histogram) LatencyQuantiles {
	q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	return LatencyQuantiles{q(50), q(95), q(99)}
}
