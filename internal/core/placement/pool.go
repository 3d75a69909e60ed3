package placement

import "time"

// PoolLoad is the load of all endpoints of a service that may get requests.
type PoolLoad struct {
	Utilisation float64       // requests per slot
	Wait        time.Duration // mean wait before an endpoint begins with a new request
}

// PoolLoad returns the load of a service's endpoints, with the waits of a model.
func (t *Table) PoolLoad(now time.Time, service, model string) PoolLoad {
	m := t.latencyModel(service, model)
	n, running, slots, wait := 0, 0.0, 0.0, 0.0
	r, l := &Request{Service: service}, t.services[service]
	for i, s := range t.serviceStates[service] {
		e := &l[i]
		if !t.eligible(now, r, e, s) || s.avoided(now) {
			continue
		}
		n++
		running += s.running(now, t.settings.ReportTTL)
		slots += float64(max(1, e.Slots))
		wait += s.prefillQueue(now) + t.slotWaitMS(now, e.Slots, s, m)
	}
	if n == 0 {
		return PoolLoad{}
	}
	return PoolLoad{Utilisation: running / slots, Wait: milliseconds(wait / float64(n))}
}

// OwnTime returns the estimated time to the first byte without the waits for earlier requests.
func (c Choice) OwnTime() time.Duration { return max(0, c.TimeToFirstByte-c.PrefillWait-c.SlotWait) }

// Work estimates the milliseconds of an endpoint's time that a request takes: the prefill delays all other requests, and the rest of
// the time is shared by the slots.
func (t *Table) Work(r Request, c Choice) float64 {
	m := t.latencyModel(r.Service, r.Model)
	return m.perTokenMS*float64(c.UncachedTokens) + m.totalMS/float64(max(1, c.Endpoint.Slots))
}

// slotWaitMS estimates the milliseconds that a new request waits for a slot.
func (t *Table) slotWaitMS(now time.Time, slots int, s *state, m *latencyModel) float64 {
	n := float64(max(1, slots))
	return max(0, s.running(now, t.settings.ReportTTL)+1-n) / n * m.unitTotalMS * s.latencyFactor
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
