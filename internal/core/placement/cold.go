package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/bitmix"
	"github.com/cassiaspoke/cassiaspoke/internal/core/coldstart"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// coldStarts is what a table knows of cold starts besides the states of the endpoints.
type coldStarts struct {
	services map[string]routing.ColdStart // services whose cold endpoints are limited
	fleet    coldstart.Fleet
	paces    map[string]coldPace // by service
	sends    map[string]int64    // requests to cold endpoints since the last call of ColdSends, by service
}

// coldPace is the pace of a service for a number of instances.
type coldPace struct {
	instances int
	pace      coldstart.Pace
}

// SetColdStarts replaces what the configuration says of cold endpoints, by service.
func (t *Table) SetColdStarts(l map[string]routing.ColdStart) {
	t.cold.services, t.cold.paces = map[string]routing.ColdStart{}, map[string]coldPace{}
	for s, c := range l {
		if c.PerSecond > 0 {
			t.cold.services[s] = c
		}
	}
}

// SetAlone records that there are no other instances.
func (t *Table) SetAlone() { t.cold.fleet.SetAlone() }

// SetOtherInstances records the number of other instances that a report covers. If it covers none, this instance is cut off, and the
// last known number remains the best estimate for the rates of prompts.
func (t *Table) SetOtherInstances(now time.Time, n int) {
	t.cold.fleet.Observe(now, n)
	if n > 0 {
		t.SetInstances(n + 1)
	}
}

// Instances returns the number of instances that share the pace of cold endpoints.
func (t *Table) Instances(now time.Time) int { return t.cold.fleet.Size(now) }

// RecordNewEndpoints records the registry entries of endpoints that were added by SetEndpoints. It must be called before the next
// choice.
func (t *Table) RecordNewEndpoints(now time.Time) {
	for _, l := range t.services {
		for _, e := range l {
			if s := t.states[e.ID]; !s.cold.Registered() {
				s.cold.Register(now, e)
			}
		}
	}
}

// RecordRegistration records a registry entry received now. It changes nothing if the entry belongs to another process than that
// of the endpoint.
func (t *Table) RecordRegistration(now time.Time, e routing.Endpoint) {
	if s := t.states[e.ID]; s != nil && s.startedAtMS == e.StartedAtMS && s.address == e.Address {
		s.cold.Register(now, e)
	}
}

// RecordResponse records that an endpoint responded to a request that was sent at sentAt, with the time until it is warm that the
// response states or attributes.UnknownWarmUp.
func (t *Table) RecordResponse(now, sentAt time.Time, e routing.Endpoint, warmUp time.Duration) {
	if s := t.states[e.ID]; s != nil && s.startedAtMS == e.StartedAtMS && s.address == e.Address {
		s.cold.RecordResponse(now, sentAt, warmUp, t.cold.services[e.Service].Duration)
	}
}

// MarkCold records that the endpoints of an availability zone may be cold, as after the end of its evacuation. It returns their
// number. They may have become cold shortly before, so the lag of the registry counts too.
func (t *Table) MarkCold(now time.Time, availabilityZone string) int {
	n := 0
	for service, c := range t.cold.services {
		for _, e := range t.services[service] {
			if e.AvailabilityZone == availabilityZone {
				t.states[e.ID].cold.MarkCold(now, now.Add(c.Duration+coldstart.RegistryLag))
				n++
			}
		}
	}
	return n
}

// permits reports whether an endpoint is warm or may get a request in spite of being cold.
func (t *Table) permits(now time.Time, service string, s *state) bool {
	return !s.cold.Cold(now) || t.permitsCold(now, service, s)
}

// permitsCold reports whether a cold endpoint may get a request.
func (t *Table) permitsCold(now time.Time, service string, s *state) bool {
	c, limited := t.cold.services[service]
	return !limited || s.cold.Allows(now, t.coldPace(now, service, c), t.coldPhase(s))
}

// coldPhase returns a number that differs between instances and endpoints.
func (t *Table) coldPhase(s *state) uint64 { return bitmix.Mix(t.settings.ColdSeed ^ s.hash) }

// coldPace returns the pace of a service for the present number of instances.
func (t *Table) coldPace(now time.Time, service string, c routing.ColdStart) coldstart.Pace {
	n := t.cold.fleet.Size(now)
	p, ok := t.cold.paces[service]
	if !ok || p.instances != n {
		p = coldPace{n, coldstart.NewPace(n, c, t.settings.ColdLimit)}
		t.cold.paces[service] = p
	}
	return p.pace
}

// recordColdSend uses the permission for a request to a cold endpoint.
func (t *Table) recordColdSend(now time.Time, service string, s *state) {
	if !s.cold.Cold(now) {
		return
	}
	s.cold.RecordSend(now)
	if _, limited := t.cold.services[service]; limited {
		if t.cold.sends == nil {
			t.cold.sends = map[string]int64{}
		}
		t.cold.sends[service]++
		s.coldSends++
	}
}

// coldWait returns the time until a cold endpoint is expected to be warm, or 0 if it may get a request now.
func (t *Table) coldWait(now time.Time, service string, s *state) time.Duration {
	if t.permits(now, service, s) {
		return 0
	}
	return s.cold.Remaining(now, t.cold.services[service].Duration)
}

// ColdChange is the begin or end of the time in which an endpoint counts as cold.
type ColdChange struct {
	Service   string
	Endpoint  string
	Cold      bool
	Remaining time.Duration // expected time until it is warm
	Sends     int           // requests that this instance sent it while it was cold, at the end
}

// ColdChanges returns what has changed since the last call for endpoints of services that limit requests to cold ones, and the
// present number of cold endpoints of each such service.
func (t *Table) ColdChanges(now time.Time) ([]ColdChange, map[string]int) {
	var changes []ColdChange
	counts := map[string]int{}
	for service, c := range t.cold.services {
		counts[service] = 0
		for _, e := range t.services[service] {
			s := t.states[e.ID]
			cold := s.cold.Cold(now)
			if cold {
				counts[service]++
			}
			if cold == s.coldNoticed {
				continue
			}
			changes = append(changes, ColdChange{service, e.ID, cold, s.cold.Remaining(now, c.Duration), s.coldSends})
			s.coldNoticed = cold
			if !cold {
				s.coldSends = 0
			}
		}
	}
	slices.SortFunc(changes, func(a, b ColdChange) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return changes, counts
}

// ColdSends returns the number of requests to cold endpoints since the last call, by service.
func (t *Table) ColdSends() map[string]int64 {
	out := t.cold.sends
	t.cold.sends = nil
	return out
}
