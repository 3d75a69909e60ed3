package ingress

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics counts requests by outcome and measures their times.
type metrics struct {
	outcomes map[string]tally.Counter
	whole    tally.Histogram
	first    tally.Histogram
	other    tally.Counter
}

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{outcomes: map[string]tally.Counter{}, other: s.Counter("requests_other")}
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
