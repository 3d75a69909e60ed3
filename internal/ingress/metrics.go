package ingress

import (
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cassiaspoke/cassiaspoke/internal/forward"
)

// metrics counts requests by outcome and records their durations.
type metrics struct {
	scope         tally.Scope
	outcomes      map[string]tally.Counter
	requestTime   tally.Histogram
	firstByteTime tally.Histogram
	otherOutcomes tally.Counter
}

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{scope: s, outcomes: map[string]tally.Counter{}, otherOutcomes: s.Counter("requests_other")}
	for _, o := range []string{outcomeServed, outcomeEndpointFailed, outcomeRefused, outcomeUnknown, outcomeTruncated, outcomeClientLeft, outcomeInvalid} {
		m.outcomes[o] = s.Tagged(map[string]string{"outcome": o}).Counter("requests")
	}
	b := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	m.requestTime, m.firstByteTime = s.Histogram("request_time", b), s.Histogram("first_byte_time", b)
	return m
}

// recordRequest counts a request by its outcome and records its total time and the time to the first byte.
func (m *metrics) recordRequest(outcome string, total, firstByte time.Duration) {
	c := m.outcomes[outcome]
	if c == nil {
		c = m.otherOutcomes
	}
	c.Inc(1)
	m.requestTime.RecordDuration(total)
	if firstByte > 0 {
		m.firstByteTime.RecordDuration(firstByte)
	}
}

// countAttempt counts an attempt by its outcome; a number at the outcome's end is left out.
func (m *metrics) countAttempt(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": trimNumber(outcome)}).Counter("sends").Inc(1)
}

// countResponse counts a response by how its end is marked and by the outcome of the attempt; a number at the outcome's end is left out.
func (m *metrics) countResponse(f forward.Framing, outcome string) {
	m.scope.Tagged(map[string]string{"framing": string(f), "outcome": trimNumber(outcome)}).Counter("responses").Inc(1)
}

// trimNumber returns an outcome without the number at its end.
func trimNumber(outcome string) string { return strings.TrimRight(outcome, " ()0123456789") }

// countUnwilling counts an endpoint that has asked for no requests.
func (m *metrics) countUnwilling(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("endpoints_unwilling").Inc(1)
}

// countDeath counts a broken connection by how far the response had come; reason tells why it does not count as the end of the
// endpoint's process and is empty if it does.
func (m *metrics) countDeath(stage, reason string) {
	m.scope.Tagged(map[string]string{"stage": stage, "not-counted": reason}).Counter("endpoint_ends").Inc(1)
}

// updateGauges sets the gauges of this instance's current state.
func (m *metrics) updateGauges(v *snapshot, active int64, endpoints map[string]int, refusedParts int, l *requestLog, dropped int64) {
	m.scope.Gauge("active_requests").Update(float64(active))
	for s, n := range endpoints {
		m.scope.Tagged(map[string]string{"service": s}).Gauge("endpoints").Update(float64(n))
	}
	if v.configuration != nil {
		m.scope.Gauge("configuration_version").Update(float64(v.configuration.Version))
	}
	if at := v.configurationEvidence.AsOf; !at.IsZero() {
		m.scope.Gauge("configuration_age_seconds").Update(time.Since(at).Seconds())
	}
	if at := v.registryEvidence.AsOf; !at.IsZero() {
		m.scope.Gauge("registry_age_seconds").Update(time.Since(at).Seconds())
	}
	m.scope.Gauge("refused_prompt_parts").Update(float64(refusedParts))
	m.scope.Gauge("log_omitted").Update(float64(l.omitted.Load()))
	m.scope.Gauge("log_dropped").Update(float64(dropped))
}
