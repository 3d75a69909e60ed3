package load

import (
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// Bounds of the recorded times, in microseconds, and their precision in digits.
const (
	lowest  = 1
	highest = int64(maxTime / time.Microsecond)
	digits  = 3
)

// Times are quantiles in milliseconds.
type Times struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

// Report is what a run measured.
type Report struct {
	Requests  int              `json:"requests"` // sent
	Unsent    int              `json:"unsent"`   // due while too many were under way
	Whole     int              `json:"whole"`    // answers that ended properly
	Failures  map[string]int64 `json:"failures,omitempty"`
	First     Times            `json:"first-token"`
	Between   Times            `json:"between-tokens"`
	Tokens    int64            `json:"tokens"`
	PerSecond float64          `json:"tokens-per-second"`
	Seconds   float64          `json:"seconds"`
}

// meter collects what the requests of a run measure.
type meter struct {
	mu             sync.Mutex
	r              Report
	first, between *hdrhistogram.Histogram
}

func newMeter() *meter {
	return &meter{
		r: Report{Failures: map[string]int64{}}, first: hdrhistogram.New(lowest, highest, digits),
		between: hdrhistogram.New(lowest, highest, digits),
	}
}

func (m *meter) unsent() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.r.Unsent++
}

func (m *meter) token(d time.Duration, first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.between
	if first {
		h = m.first
	}
	_ = h.RecordValue(min(highest, max(lowest, d.Microseconds()))) // within the bounds
	m.r.Tokens++
}

// ended counts an answer, or a failure by its code.
func (m *meter) ended(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.r.Requests++
	var e *client.Error
	switch {
	case err == nil:
		m.r.Whole++
	case errors.As(err, &e):
		m.r.Failures[string(e.Code)]++
	default:
		m.r.Failures[string(client.CodeTransport)]++
	}
}

func (m *meter) report(took time.Duration) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.r.First, m.r.Between = times(m.first), times(m.between)
	m.r.Seconds = took.Seconds()
	m.r.PerSecond = float64(m.r.Tokens) / took.Seconds()
	return m.r
}

func times(h *hdrhistogram.Histogram) Times {
	q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	return Times{q(50), q(95), q(99)}
}
