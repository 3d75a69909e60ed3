package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// restoredRetention is how long the restoration of a zone, or the end of an order, is remembered. Endpoints that return from an
// evacuation are cold for seconds, and a copy of the store is seconds old.
const restoredRetention = 10 * time.Minute

// ReturnGracePeriod is the time after a return of the store from an older copy for which evacuations that the copy lacks stay in
// force. The operators write their orders again meanwhile.
const ReturnGracePeriod = 2 * time.Second

// Transition is the begin or the end of an evacuation.
type Transition struct {
	AvailabilityZone string
	Active           bool
	Duration         time.Duration // for which an evacuation that ended was in force
}

// Set holds the evacuated availability zones. It is not safe for concurrent use.
type Set struct {
	evacuated map[string]time.Time // begin of the evacuation, by zone
	restored  map[string]time.Time // end of the last evacuation, by zone
	ended     map[string]time.Time // end of the last order, by zone; not of one that was only lost
	lost      map[string]bool      // evacuations in force that the store's copy lacks
	graceEnd  time.Time            // until which lost evacuations stay in force
}

// NewSet returns a set without evacuated zones.
func NewSet() *Set {
	return &Set{evacuated: map[string]time.Time{}, restored: map[string]time.Time{}, ended: map[string]time.Time{}, lost: map[string]bool{}}
}

// Apply applies a change and reports the transition, if there is one. A repeated order, or the end of one that is not in force,
// changes nothing.
func (s *Set) Apply(now time.Time, c routing.EvacuationChange) (Transition, bool) {
	delete(s.lost, c.AvailabilityZone)
	if c.Active {
		delete(s.ended, c.AvailabilityZone)
	} else {
		record(s.ended, now, c.AvailabilityZone)
	}
	return s.set(now, c)
}

// set begins or ends an evacuation.
func (s *Set) set(now time.Time, c routing.EvacuationChange) (Transition, bool) {
	begin, active := s.evacuated[c.AvailabilityZone]
	switch {
	case c.Active == active:
		return Transition{}, false
	case c.Active:
		s.evacuated[c.AvailabilityZone] = now
		delete(s.restored, c.AvailabilityZone)
		return Transition{AvailabilityZone: c.AvailabilityZone, Active: true}, true
	}
	delete(s.evacuated, c.AvailabilityZone)
	record(s.restored, now, c.AvailabilityZone)
	return Transition{AvailabilityZone: c.AvailabilityZone, Duration: now.Sub(begin)}, true
}

// record sets the time of a zone and forgets those that are long ago.
func record(l map[string]time.Time, now time.Time, zone string) {
	maps.DeleteFunc(l, func(_ string, at time.Time) bool { return now.Sub(at) >= restoredRetention })
	l[zone] = now
}

// ApplySnapshot applies a snapshot of all orders in force: an evacuation of a zone that it lacks has ended, unless it was lost at a
// return of the store and the grace period is not over.
func (s *Set) ApplySnapshot(now time.Time, l []routing.EvacuationChange) []Transition {
	active := map[string]bool{}
	for _, c := range l {
		active[c.AvailabilityZone] = c.Active
	}
	var out []Transition
	for _, z := range slices.Sorted(maps.Keys(s.evacuated)) {
		if active[z] || s.lost[z] && now.Before(s.graceEnd) {
			continue
		}
		if t, ok := s.Apply(now, routing.EvacuationChange{AvailabilityZone: z}); ok {
			out = append(out, t)
		}
	}
	for _, z := range slices.Sorted(maps.Keys(active)) {
		if t, ok := s.Apply(now, routing.EvacuationChange{AvailabilityZone: z, Active: active[z]}); ok {
			out = append(out, t)
		}
	}
	return out
}

// ApplyReturn applies the first snapshot after a return of the store from an older copy. Evacuations that it lacks stay in force
// until Expire ends them. Those whose end is known aren't ordered again.
func (s *Set) ApplyReturn(now time.Time, l []routing.EvacuationChange) []Transition {
	active := map[string]bool{}
	for _, c := range l {
		active[c.AvailabilityZone] = c.Active
	}
	s.graceEnd = now.Add(ReturnGracePeriod)
	for z := range s.evacuated {
		if active[z] {
			delete(s.lost, z)
		} else {
			s.lost[z] = true
		}
	}
	var out []Transition
	for _, z := range slices.Sorted(maps.Keys(active)) {
		if at, ok := s.ended[z]; !active[z] || ok && now.Sub(at) < restoredRetention {
			continue
		}
		if t, ok := s.set(now, routing.EvacuationChange{AvailabilityZone: z, Active: true}); ok {
			out = append(out, t)
		}
	}
	return out
}

// Expire ends the evacuations that were lost at a return of the store and have not been ordered again within ReturnGracePeriod.
func (s *Set) Expire(now time.Time) []Transition {
	if len(s.lost) == 0 || now.Before(s.graceEnd) {
		return nil
	}
	var out []Transition
	for _, z := range slices.Sorted(maps.Keys(s.lost)) {
		if t, ok := s.set(now, routing.EvacuationChange{AvailabilityZone: z}); ok {
			out = append(out, t)
		}
	}
	clear(s.lost)
	return out
}

// Contains reports whether a zone is evacuated.
func (s *Set) Contains(zone string) bool {
	_, ok := s.evacuated[zone]
	return ok
}

// Zones returns the evacuated zones in order.
func (s *Set) Zones() []string { return slices.Sorted(maps.Keys(s.evacuated)) }

// RestoredAt returns when the last evacuation of a zone ended; it is zero if the zone is evacuated, was never evacuated, or was
// restored long ago.
func (s *Set) RestoredAt(zone string) time.Time { return s.restored[zone] }
