package ingress

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
)

// engineStatuses returns what the metrics tell of engines, by service.
func (b *balancer) engineStatuses(now time.Time) map[string]placement.EngineStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.EngineStatuses(now)
}

// engineLog logs when the memory of all engines of a service becomes scarce and when it no longer is, and updates the metrics of services
// whose configuration states the memory of their engines.
type engineLog struct {
	logger *zap.Logger
	scope  tally.Scope
	full   map[string]bool
}

// update records the states of all services. It is called at intervals, which limits the rate of the log lines.
func (l *engineLog) update(statuses map[string]placement.EngineStatus) {
	for service, s := range statuses {
		scope := l.scope.Tagged(map[string]string{"service": service})
		scope.Gauge("prompt_retention_seconds").Update(s.Retention.Seconds())
		scope.Gauge("engine_memory_share").Update(s.MemoryShare)
		scope.Gauge("engines_nearly_full").Update(float64(s.NearlyFull))
		scope.Gauge("engine_slowdown").Update(s.Slowdown)
		scope.Counter("prompt_tokens").Inc(s.PromptTokens)
		scope.Counter("prompt_tokens_expected_cached").Inc(s.CachedTokens)
		scope.Counter("memory_scarce_choices").Inc(s.Scarce)
		full := s.Engines > 0 && s.NearlyFull == s.Engines
		if full == l.full[service] {
			continue
		}
		l.full[service] = full
		message := "placement: The memory of all engines is nearly full."
		if !full {
			message = "placement: Engines have free memory again."
		}
		l.logger.Info(message, zap.String("service", service), zap.Int("engines", s.Engines), zap.Int("nearly-full", s.NearlyFull), zap.Float64("highest-share", s.MemoryShare))
	}
}

// countEscalation counts a decision on the larger model for an answer with a confidence.
func (m *metrics) countEscalation(service, outcome string) {
	m.scope.Tagged(map[string]string{"service": service, "outcome": outcome}).Counter("escalations").Inc(1)
}
