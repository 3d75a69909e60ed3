package ingress

import (
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics counts requests by outcome and measures their times.
type metrics struct {
	scope    tally.Scope
	outcomes map[string]tally.Counter
	whole    tally.Histogram
	first    tally.Histogram
	other    tally.Counter
}

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{scope: s, outcomes: map[string]tally.Counter{}, other: s.Counter("requests_other")}
	for _, o := range []string{outcomeServed, outcomeFailed, outcomeRefused, outcomeUnknown, outcomeCut, outcomeLeft, outcomeInvalid} {
		m.outcomes[o] = s.Tagged(map[string]string{"outcome": o}).Counter("requests")
	}
	b := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	m.whole, m.first = s.Histogram("request_time", b), s.Histogram("first_byte_time", b)
	return m
}

func (m *metrics) request(outcome string, whole, first time.Duration) {
	c := m.outcomes[outcome]
	if c == nil {
		c = m.other
	}
	c.Inc(1)
	m.whole.RecordDuration(whole)
	if first > 0 {
		m.first.RecordDuration(first)
	}
}

// send counts one send by how it ended; outcomes with a number are counted without it.
func (m *metrics) send(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": strings.TrimRight(outcome, " ()0123456789")}).Counter("sends").Inc(1)
}

// state sets the gauges of what the instance believes.
func (m *metrics) state(v *View, active int64, endpoints map[string]int, l *requestLog, dropped int64) {
	m.scope.Gauge("active_requests").Update(float64(active))
	for s, n := range endpoints {
		m.scope.Tagged(map[string]string{"service": s}).Gauge("endpoints").Update(float64(n))
	}
	if v.Directory != nil {
		m.scope.Gauge("configuration_version").Update(float64(v.Directory.Version))
		m.scope.Gauge("configuration_age_seconds").Update(time.Since(v.OperatorsAt).Seconds())
	}
	if !v.RegistryAt.IsZero() {
		m.scope.Gauge("registry_age_seconds").Update(time.Since(v.RegistryAt).Seconds())
	}
	m.scope.Gauge("log_omitted").Update(float64(l.omitted.Load()))
	m.scope.Gauge("log_dropped").Update(float64(dropped))
}
