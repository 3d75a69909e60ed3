package placement

import "time"

// Availability counts the endpoints of a service, and those of them that get no requests, by reason.
type Availability struct {
	Endpoints int
	Evacuated int // in evacuated availability zones, whatever else holds for them
	Leaving   int // announced their stop
	Paused    int // asked for no requests for a time
	Ejected   int // refused connections or stopped responding
	Cold      int // cold, and have got what this instance may send them now
	Limited   int // have got what their limit lets this instance send them now
	Full      int // have no memory for a mean request
}

// AllUnwilling reports whether there are endpoints outside evacuated zones and all of them have asked for no requests.
func (a Availability) AllUnwilling() bool {
	n := a.Endpoints - a.Evacuated
	return n > 0 && a.Leaving+a.Paused == n
}

// unavailable returns the number of endpoints that get no requests.
func (a Availability) unavailable() int {
	return a.Evacuated + a.Leaving + a.Paused + a.Ejected + a.Cold + a.Limited + a.Full
}

// AllCold reports whether there are endpoints, none of them can take a request now and at least one is cold.
func (a Availability) AllCold() bool { return a.Cold > 0 && a.unavailable() == a.Endpoints }

// AllLimited reports whether there are endpoints, none of them can take a request now and at least one has got what its limit allows.
func (a Availability) AllLimited() bool { return a.Limited > 0 && a.unavailable() == a.Endpoints }

// AllFull reports whether there are endpoints, none of them can take a request now and the memory of at least one is full.
func (a Availability) AllFull() bool {
	return a.Full > 0 && a.unavailable() == a.Endpoints
}

// Availability returns the counts of a service.
func (t *Table) Availability(now time.Time, service string) Availability {
	a := Availability{Endpoints: len(t.services[service])}
	memory := t.memoryNeed(now, Request{Service: service})
	for _, e := range t.services[service] {
		switch s := t.states[e.ID]; {
		case s.evacuated:
			a.Evacuated++
		case s.leaving:
			a.Leaving++
		case !s.acceptsWork(now):
			a.Paused++
		case s.ejected(now):
			a.Ejected++
		case !t.permits(now, service, s):
			a.Cold++
		case !t.withinLimit(now, s):
			a.Limited++
		case s.memoryFull(&memory):
			a.Full++
		}
	}
	return a
}

// TimeToCapacity estimates the time until a service can take a request: until the first ejection, pause or cold time ends, a limit permits a
// request or the shortest prefill queue is empty, whichever is earlier. It returns 0 for a service without endpoints.
func (t *Table) TimeToCapacity(now time.Time, service string) time.Duration {
	if len(t.services[service]) == 0 {
		return 0
	}
	shortest, found := t.settings.EjectMax, false
	for _, e := range t.services[service] {
		s := t.states[e.ID]
		if s.leaving || s.evacuated {
			continue
		}
		d := time.Duration(s.prefillQueue(now) * float64(time.Millisecond))
		if s.ejected(now) {
			d = s.ejectedUntil.Sub(now)
		}
		d = max(min(d, t.settings.EjectMax), s.pausedUntil.Sub(now), t.coldWait(now, service, s), t.limitWait(now, s))
		if !found || d < shortest {
			shortest, found = d, true
		}
	}
	return shortest
}
