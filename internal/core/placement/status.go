package placement

import "time"

// EngineStatus describes the engines of a service whose configuration states their memory.
type EngineStatus struct {
	Retention    time.Duration // for which an engine is expected to hold an unused prompt
	MemoryShare  float64       // memory in use at the fullest engine, as a share
	Engines      int
	NearlyFull   int     // engines above MemorySettings.PreferredShare
	Slowdown     float64 // highest passing slowdown of an engine; 1 is usual, 0 unknown
	Scarce       int64   // choices since the last call in which an engine might have been too full
	PromptTokens int64   // of the requests sent since the last call
	CachedTokens int64   // of PromptTokens, expected to be cached at the engine
}

// EngineStatuses returns the statuses by service.
func (t *Table) EngineStatuses(now time.Time) map[string]EngineStatus {
	out := make(map[string]EngineStatus, len(t.pools))
	for service, p := range t.pools {
		states := t.serviceStates[service]
		x, running, n := EngineStatus{Engines: len(states), PromptTokens: p.promptTokens, CachedTokens: p.cachedTokens, Scarce: p.scarce}, 0.0, memoryNeed{}
		p.promptTokens, p.cachedTokens, p.scarce = 0, 0, 0
		if p.size > 0 {
			n.mean = p.sizeSquared / p.size
		}
		for _, s := range states {
			s.runningNow = s.running(now, t.settings.ReportTTL)
			running += s.runningNow
			x.Slowdown = max(x.Slowdown, s.speed.slowdown(now, t.settings.Speed))
			share := s.heldTokens(&n) / float64(p.cacheTokens)
			x.MemoryShare = max(x.MemoryShare, share)
			if share > t.settings.Memory.PreferredShare {
				x.NearlyFull++
			}
		}
		x.Retention = t.retention(p, t.writeRate(now, p, len(states)), running/float64(max(1, len(states))))
		out[service] = x
	}
	return out
}
