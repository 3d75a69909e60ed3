package ingress

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/requestlimit"
)

// Sources of what an instance knows of an endpoint's limit, in logs and metrics.
const (
	limitFromResponse  = "response"
	limitFromInstances = "instances" // other instances have told it
	limitExpired       = "expiry"    // no response has confirmed it
)

// limitState is what the log and the metrics tell of endpoints with a limit.
type limitState struct {
	changes   []placement.LimitChange
	endpoints map[string]int   // limited endpoints by service
	heldBack  map[string]int64 // choices since the last call that left out an endpoint for its limit, by service
}

// limitState returns the limited endpoints and what has changed since the last call without a response to this instance.
func (b *balancer) limitState(now time.Time) limitState {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := limitState{heldBack: b.table.HeldBack()}
	s.changes, s.endpoints = b.table.LimitChanges(now)
	return s
}

// noteLimitState logs changes of limits that follow from no response, and updates the metrics.
func (h *handler) noteLimitState(s limitState) {
	for _, c := range s.changes {
		source := limitExpired
		if c.Told {
			source = limitFromInstances
		}
		h.noteLimit(c.Endpoint, "", source, c.Change)
	}
	for service, n := range s.endpoints {
		h.metrics.scope.Tagged(map[string]string{"service": service}).Gauge("limited_endpoints").Update(float64(n))
	}
	for service, n := range s.heldBack {
		h.metrics.scope.Tagged(map[string]string{"service": service}).Counter("limited_choices").Inc(n)
	}
}

// noteLimit logs and counts that the limit of an endpoint has changed; request is the one whose response told it, if any.
func (h *handler) noteLimit(id, request, source string, c requestlimit.Change) {
	if !c.Changed() {
		return
	}
	h.metrics.scope.Tagged(map[string]string{"from": source}).Counter("request_limit_changes").Inc(1)
	if !h.log.allowLine(h.log.eventLimiter) {
		return
	}
	fields := []zap.Field{zap.String("endpoint", id), zap.String("from", source)}
	if request != "" {
		fields = append(fields, zap.String("request", request))
	}
	if c.From > 0 {
		fields = append(fields, zap.Float64("previous-limit", c.From))
	}
	if c.To > 0 {
		fields = append(fields, zap.Float64("limit", c.To))
	}
	switch {
	case c.From == 0:
		h.log.logger.Warn("endpoint: Named a request limit.", fields...)
	case c.To == 0:
		h.log.logger.Info("endpoint: Its request limit is over.", fields...)
	default:
		h.log.logger.Warn("endpoint: Changed its request limit.", fields...)
	}
}
