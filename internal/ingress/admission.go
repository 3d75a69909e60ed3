package ingress

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/admission"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// admit decides whether the request is served. It is called once, before the first send; later the request is never refused for load.
func (x *exchange) admit() *localError {
	now := time.Now()
	if !now.Before(x.deadline) {
		return nil // the first attempt answers it
	}
	d, ok := x.handler.balancer.admit(now, x.snapshot.configuration, x.placementRequest(), admission.Request{
		Service: x.service, Organisation: x.organisation, Priority: x.priority, Objective: x.route.LatencyObjective, Remaining: x.deadline.Sub(now),
		Draw: rand.Float64(), RetryDraw: rand.Float64(),
	})
	if !ok {
		return nil // no endpoint can take it, which the first attempt answers
	}
	x.admission = &d
	e := &localError{status: http.StatusServiceUnavailable, retryAfter: d.RetryAfter}
	switch d.Reason {
	case admission.Admitted:
		return nil
	case admission.Deadline:
		e.reason = "it can't be served within its deadline"
	case admission.Share:
		e.status, e.reason = http.StatusTooManyRequests, "the service is short of capacity and the organisation uses more than its share"
	default:
		e.reason = "the service is short of capacity"
	}
	x.noRetryReason = "admission"
	x.handler.metrics.countAdmissionRefusal(x.service, d.Reason)
	return e
}

// urgency returns the urgency of the request at the endpoint of an attempt.
func (x *exchange) urgency(c placement.Choice, now time.Time) int {
	estimate, deferred := c.TimeToFirstByte, false
	if x.admission != nil {
		deferred = x.admission.Deferred
		if len(x.history) == 0 {
			estimate = x.admission.TimeToFirstByte
		}
	}
	objective := x.route.LatencyObjective
	inTime := x.headSent || objective <= 0 || admission.CanMeetObjective(estimate, x.start.Add(objective).Sub(now))
	return admission.Urgency(c.OwnTime(), x.priority, inTime && !deferred)
}

// admissionFields returns why the request was refused, for the log.
func (x *exchange) admissionFields() []zap.Field {
	d := x.admission
	if d == nil || d.Reason == admission.Admitted {
		return nil
	}
	return []zap.Field{
		zap.String("admission", string(d.Reason)), zap.Duration("wait", d.Wait), zap.Duration("objective", x.route.LatencyObjective),
		zap.Float64("shed", d.Shed), zap.Float64("usage", d.Usage), zap.Float64("level", d.Level), zap.Duration("usage-age", d.UsageAge),
	}
}

// admit completes a request with the estimates for the best endpoint and decides on it. It returns false if no endpoint can take the
// request.
func (b *balancer) admit(now time.Time, config *routing.Configuration, q placement.Request, r admission.Request) (admission.Decision, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.admissionConfiguration != config {
		b.admissionConfiguration = config
		names := make([]string, 0, len(config.Organisations))
		for i := range config.Organisations {
			names = append(names, config.Organisations[i].Name)
		}
		b.admission.SetOrganisations(names)
	}
	c, ok := b.pickEndpoint(now, &q)
	if !ok {
		return admission.Decision{}, false
	}
	pool := b.table.PoolLoad(now, q.Service, q.Model)
	r.TimeToFirstByte, r.Wait = c.TimeToFirstByte, c.PrefillWait+c.SlotWait
	r.PoolWait, r.PoolUtilisation, r.Work = pool.Wait, pool.Utilisation, b.table.Work(q, c)
	return b.admission.Decide(now, r), true
}

// recordWork records the work of a request that is sent to an endpoint.
func (b *balancer) recordWork(now time.Time, organisation string, q placement.Request, c placement.Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admission.RecordWork(now, q.Service, organisation, b.table.Work(q, c))
}

// admissionStatuses returns the state of admission control by service.
func (b *balancer) admissionStatuses(now time.Time) map[string]admission.Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.admission.Statuses(now)
}

// countAdmissionRefusal counts a request that was refused for load.
func (m *metrics) countAdmissionRefusal(service string, r admission.Reason) {
	m.scope.Tagged(map[string]string{"service": service, "reason": string(r)}).Counter("admission_refusals").Inc(1)
}

// shortageLog logs when services begin and cease to be short of capacity, and sets the gauges of admission control.
type shortageLog struct {
	logger *zap.Logger
	scope  tally.Scope
	short  map[string]bool
}

// update records the states of all services. It is called at intervals, which limits the rate of the log lines.
func (l *shortageLog) update(statuses map[string]admission.Status) {
	for service, s := range statuses {
		scope := l.scope.Tagged(map[string]string{"service": service})
		scope.Gauge("admission_shed").Update(s.Shed)
		scope.Gauge("admission_wait_seconds").Update(s.Wait.Seconds())
		scope.Gauge("admission_level").Update(s.Level)
		if short := s.Shed > 0; short != l.short[service] {
			l.short[service] = short
			message := "admission: The service is short of capacity."
			if !short {
				message = "admission: The service has capacity again."
			}
			l.logger.Info(message, zap.String("service", service), zap.Duration("wait", s.Wait), zap.Float64("shed", s.Shed), zap.Float64("level", s.Level))
		}
	}
}
