package ingress

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/requestlimit"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// recordRegistrations records the cold times that registry entries state, also those that change nothing else.
func (b *balancer) recordRegistrations(now time.Time, l []routing.EndpointChange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range l {
		if c.Endpoint != nil {
			b.table.RecordRegistration(now, *c.Endpoint)
		}
	}
}

// recordResponse records that an endpoint responded to a request, and the cold time and the limit that the response states. It
// returns how the limit has changed.
func (b *balancer) recordResponse(now, sentAt time.Time, e routing.Endpoint, warmUp time.Duration, limit float64) requestlimit.Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.RecordResponse(now, sentAt, e, warmUp)
	return b.table.RecordLimit(now, sentAt, e, limit)
}

// coldState is what the log and the metrics tell of cold endpoints.
type coldState struct {
	changes   []placement.ColdChange
	endpoints map[string]int   // cold endpoints by service
	sends     map[string]int64 // requests to cold endpoints since the last call, by service
	instances int              // that are assumed to share the pace
}

// coldState returns the cold endpoints and what has changed since the last call.
func (b *balancer) coldState(now time.Time) coldState {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := coldState{sends: b.table.ColdSends(), instances: b.table.Instances(now)}
	s.changes, s.endpoints = b.table.ColdChanges(now)
	return s
}

// noteColdState logs which endpoints have become cold or warm, and updates the metrics.
func (h *handler) noteColdState(s coldState) {
	h.metrics.recordColdState(s)
	for _, c := range s.changes {
		if !h.log.allowLine(h.log.eventLimiter) {
			return
		}
		fields := []zap.Field{zap.String("service", c.Service), zap.String("endpoint", c.Endpoint), zap.Int("instances", s.instances)}
		if c.Cold {
			h.log.logger.Info("endpoint: Cold; requests to it are limited.", append(fields, zap.Duration("remaining", c.Remaining))...)
		} else {
			h.log.logger.Info("endpoint: Warm.", append(fields, zap.Int("requests-while-cold", c.Sends))...)
		}
	}
}

// recordColdState updates the metrics of cold endpoints.
func (m *metrics) recordColdState(s coldState) {
	m.scope.Gauge("cold_instances").Update(float64(s.instances))
	for service, n := range s.endpoints {
		m.scope.Tagged(map[string]string{"service": service}).Gauge("cold_endpoints").Update(float64(n))
	}
	for service, n := range s.sends {
		m.scope.Tagged(map[string]string{"service": service}).Counter("cold_sends").Inc(n)
	}
}
