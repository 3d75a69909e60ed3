package suspect

import "time"

// Occupied reports whether a suspect runs on an endpoint, here or at a peer.
func (r *Register) Occupied(now time.Time, endpoint string) bool {
	e := hashEndpoint(endpoint)
	if now.Before(r.leased[e]) {
		return true
	}
	for _, o := range r.running {
		if o == e {
			return true
		}
	}
	return false
}

// Acquire lets a suspect start on an endpoint, unless the same content runs already or another suspect runs there.
// The caller waits, within its deadline, when the result is false.
func (r *Register) Acquire(now time.Time, c Content, endpoint string) bool {
	if _, busy := r.running[c]; busy || r.Judge(now, c) == Refuse || r.Occupied(now, endpoint) {
		return false
	}
	r.running[c] = hashEndpoint(endpoint)
	return true
}

// Release ends a suspect's run. One that finished alone is cleared: it did not crash its endpoint. Call Death
// before Release when the endpoint died.
func (r *Register) Release(now time.Time, c Content, finished bool) {
	if _, ok := r.running[c]; !ok {
		return
	}
	delete(r.running, c)
	if m := r.marks[c]; m != nil && finished {
		m.Cleared = now
		r.view = nil
	}
}
