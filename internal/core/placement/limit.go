package placement

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/requestlimit"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// RecordLimit records the limit that an endpoint states in the response to a request that was sent at sentAt, 0 if it states none, and
// returns how it has changed.
func (t *Table) RecordLimit(now, sentAt time.Time, e routing.Endpoint, perSecond float64) requestlimit.Change {
	s := t.states[e.ID]
	if s == nil || s.startedAtMS != e.StartedAtMS || s.address != e.Address || perSecond == attributes.UnknownRequestLimit {
		return requestlimit.Change{}
	}
	c := s.limit.RecordResponse(now, sentAt, perSecond)
	t.hasLimits = t.hasLimits || perSecond > 0
	if c.Changed() {
		t.forgetUnwilling(now)
		s.limitNoticed, s.askedAt = c.To, now
	}
	return c
}

// LimitChange is a change of an endpoint's limit that follows from no response to this instance.
type LimitChange struct {
	Endpoint string
	Told     bool // other instances have told it; otherwise no response has confirmed the limit
	requestlimit.Change
}

// LimitChanges returns the limits that have changed since the last call other than by RecordLimit, and the present number of limited
// endpoints of each service.
func (t *Table) LimitChanges(now time.Time) ([]LimitChange, map[string]int) {
	var changes []LimitChange
	counts := make(map[string]int, len(t.services))
	if t.cold.fleet.CoveredBy(now, 0) {
		t.recordLimitReports(now) // there are no other instances
	}
	t.hasLimits = false
	for _, s := range t.states {
		t.hasLimits = t.hasLimits || s.limit.PerSecond(now) > 0
	}
	for service, l := range t.services {
		counts[service] = 0
		for i, s := range t.serviceStates[service] {
			limit := s.limit.PerSecond(now)
			if limit > 0 {
				counts[service]++
			}
			if limit != s.limitNoticed {
				changes = append(changes, LimitChange{l[i].ID, !s.limit.Expired(now), requestlimit.Change{From: s.limitNoticed, To: limit}})
				s.limitNoticed = limit
			}
		}
	}
	slices.SortFunc(changes, func(a, b LimitChange) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return changes, counts
}

// limited reports whether an endpoint has a limit.
func (t *Table) limited(now time.Time, s *state) bool {
	return t.hasLimits && s.limit.PerSecond(now) > 0
}

// withinLimit reports whether an endpoint has no limit or this instance may send it a request in spite of it.
func (t *Table) withinLimit(now time.Time, s *state) bool {
	if !t.limited(now, s) || s.limit.Allows(now, t.cold.fleet.Size(now), t.coldPhase(s)) {
		return true
	}
	t.heldBack = true
	return false
}

// limitWait returns the time until an endpoint may get a request under its limit. It is bounded, because other instances may send earlier
// and the limit may end.
func (t *Table) limitWait(now time.Time, s *state) time.Duration {
	if t.withinLimit(now, s) {
		return 0
	}
	return min(s.limit.Wait(now, t.cold.fleet.Size(now), t.coldPhase(s)), t.settings.EjectMax)
}

// countHeldBack counts the present choice if it leaves out an endpoint for its limit.
func (t *Table) countHeldBack(service string) {
	if !t.heldBack {
		return
	}
	if t.heldBackCount == nil {
		t.heldBackCount = map[string]int64{}
	}
	t.heldBackCount[service]++
}

// HeldBack returns the number of choices since the last call that left out an endpoint because it had got what its limit allows, by
// service.
func (t *Table) HeldBack() map[string]int64 {
	out := t.heldBackCount
	t.heldBackCount = nil
	return out
}

// Limits holds what endpoints have lately said of their limits, by a hash of the process.
type Limits map[uint32]requestlimit.Statement

// Add adds statements that were known some time ago; of two on the same process the newer one counts.
func (l Limits) Add(o Limits, elapsed time.Duration) {
	for k, s := range o {
		s.Age += elapsed
		if old, ok := l[k]; !ok || s.Newer(old) {
			l[k] = s
		}
	}
}

// SameLimits reports whether two sets state the same limits, whatever their ages.
func (l Limits) SameLimits(o Limits) bool {
	return maps.EqualFunc(l, o, func(a, b requestlimit.Statement) bool { return a.PerSecond == b.PerSecond })
}

// processHash returns the key of an endpoint's process in Limits.
func processHash(e routing.Endpoint) uint32 {
	return uint32(xxhash.Sum64String(e.ID + " " + strconv.FormatInt(e.StartedAtMS, 10) + " " + e.Address.String()))
}

// LocalLimits returns what endpoints have said to this instance.
func (t *Table) LocalLimits(now time.Time) Limits {
	out := Limits{}
	for _, s := range t.states {
		if !s.limit.Stated() {
			continue
		}
		if l, ok := s.limit.Own(now); ok {
			out[s.process] = l
		}
	}
	return out
}

// SetRemoteLimits records what endpoints have said to a number of other instances.
func (t *Table) SetRemoteLimits(now time.Time, l Limits, others int) {
	if len(l) > 0 {
		for _, s := range t.states {
			if r, ok := l[s.process]; ok {
				s.limit.RecordOthers(now, r)
				s.askedAt, t.hasLimits = now, true
			}
		}
	}
	if t.cold.fleet.CoveredBy(now, others) {
		t.recordLimitReports(now)
	}
}

// recordLimitReports records that most other instances have told what endpoints have said to them.
func (t *Table) recordLimitReports(now time.Time) {
	if !t.hasLimits {
		return
	}
	for _, s := range t.states {
		s.limit.RecordReports(now)
	}
}
