package ingress

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/core/evacuation"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// evacuationRetryAfter is the shortest Retry-After while all endpoints of a service are evacuated. Evacuations last for minutes,
// and clients that wait for a few seconds notice the end of one soon without a flood of calls meanwhile.
const evacuationRetryAfter = 3 * time.Second

// applyEvacuations applies the evacuations in an update of the operators' topic; a snapshot holds all that are in force.
func (c *controller) applyEvacuations(now time.Time, l []routing.EvacuationChange, u topicUpdate) {
	apply := func(s *evacuation.Set) []evacuation.Transition { return applyEvacuationChanges(s, now, l) }
	switch {
	case u.Return != nil:
		apply = func(s *evacuation.Set) []evacuation.Transition { return s.ApplyReturn(now, l) }
	case u.IsSnapshot:
		apply = func(s *evacuation.Set) []evacuation.Transition { return s.ApplySnapshot(now, l) }
	}
	c.logEvacuations(now, c.balancer.changeEvacuations(now, apply), u.IsSnapshot, u.Evidence)
}

// expireEvacuations ends the evacuations that have not been ordered again in time since a return of the store.
func (c *controller) expireEvacuations(now time.Time) {
	l := c.balancer.changeEvacuations(now, func(s *evacuation.Set) []evacuation.Transition { return s.Expire(now) })
	c.logEvacuations(now, l, true, c.current.configurationEvidence)
}

// applyEvacuationChanges applies changes one after the other.
func applyEvacuationChanges(s *evacuation.Set, now time.Time, l []routing.EvacuationChange) []evacuation.Transition {
	var out []evacuation.Transition
	for _, change := range l {
		if t, ok := s.Apply(now, change); ok {
			out = append(out, t)
		}
	}
	return out
}

// logEvacuations logs and counts transitions.
func (c *controller) logEvacuations(now time.Time, transitions []evacuation.Transition, isSnapshot bool, e changefeed.Evidence) {
	for _, t := range transitions {
		n := 0
		for _, l := range c.roster.AvailableEndpoints() {
			for _, o := range l {
				if o.AvailabilityZone == t.AvailabilityZone {
					n++
				}
			}
		}
		fields := append(originFields(now, e), zap.String("availability-zone", t.AvailabilityZone), zap.Int("endpoints", n), zap.Bool("snapshot", isSnapshot))
		event := "ended"
		switch {
		case !t.Active:
			c.options.Logger.Info("evacuation: Ended; the zone gets requests again.", append(fields, zap.Duration("lasted", t.Duration))...)
		case n == 0 && c.current.registryRead:
			event = "ordered"
			c.options.Logger.Warn("evacuation: Ordered for a zone without endpoints; it applies to those that register later.", fields...)
		default:
			event = "ordered"
			c.options.Logger.Info("evacuation: Ordered; the zone gets no requests.", fields...)
		}
		c.options.MetricsScope.Tagged(map[string]string{"event": event}).Counter("evacuations").Inc(1)
	}
}

// changeEvacuations changes the evacuations and returns what changed.
func (b *balancer) changeEvacuations(now time.Time, apply func(*evacuation.Set) []evacuation.Transition) []evacuation.Transition {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := apply(b.evacuations)
	if len(out) == 0 {
		return nil
	}
	b.table.SetEvacuatedZones(b.evacuations.Zones())
	for _, t := range out {
		if !t.Active {
			b.table.MarkCold(now, t.AvailabilityZone)
		}
	}
	for s, l := range b.services {
		b.updateVersions(s, b.countVersions(l))
	}
	return out
}

// evacuationStatus describes the evacuations in force for the metrics.
type evacuationStatus struct {
	zones     int
	endpoints map[string]int // in evacuated zones, by service
	requests  int            // requests of this instance that are still under way there
}

// evacuationStatus returns the evacuations in force.
func (b *balancer) evacuationStatus() evacuationStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	endpoints, requests := b.table.EvacuatedCounts()
	return evacuationStatus{zones: len(b.evacuations.Zones()), endpoints: endpoints, requests: requests}
}

// explainEvacuation states in a refusal that endpoints are evacuated. Without any other endpoint, the time to come back is a
// few seconds.
func (h *handler) explainEvacuation(e *localError, a placement.Availability, service string) {
	switch {
	case a.Evacuated == 0:
		return
	case a.AllEvacuated():
		e.reason = "all endpoints are in evacuated availability zones"
		e.retryAfter = jitterRetryAfter(evacuationRetryAfter)
	case a.AllUnwilling():
		e.reason = "all endpoints outside evacuated availability zones have asked for no requests"
	default:
		e.reason = "no endpoint outside evacuated availability zones can take it"
	}
	h.metrics.countEvacuationRefusal(service)
}

// countEvacuationRefusal counts a request that was refused while endpoints of its service were evacuated.
func (m *metrics) countEvacuationRefusal(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("evacuation_refusals").Inc(1)
}

// updateEvacuationGauges sets the gauges of the evacuations in force.
func (m *metrics) updateEvacuationGauges(s evacuationStatus) {
	m.scope.Gauge("evacuated_zones").Update(float64(s.zones))
	m.scope.Gauge("evacuated_requests").Update(float64(s.requests))
	for service, n := range s.endpoints {
		m.scope.Tagged(map[string]string{"service": service}).Gauge("evacuated_endpoints").Update(float64(n))
	}
}
