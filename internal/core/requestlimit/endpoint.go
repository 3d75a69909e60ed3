package requestlimit

import "time"

// Endpoint is what an instance knows of the limit of one process. The zero value is a process that has never named a limit.
type Endpoint struct {
	own statement // what it has said to this instance
}

// statement is what an endpoint has said of its limit.
type statement struct {
	perSecond float64 // 0 if it has no limit any more
	at        time.Time
}

// retention is how long a statement counts that no later response confirms.
const retention = 30 * time.Second

// retentionOf returns how long a limit counts. An endpoint with a low limit gets requests at longer intervals, and its responses are
// what confirms the limit.
func retentionOf(perSecond float64) time.Duration {
	return max(retention, time.Duration(expectedRequests/perSecond*float64(time.Second)))
}

// expectedRequests is the number of requests after which at least one response has most likely confirmed a limit.
const expectedRequests = 20

// holds reports whether the statement names a limit that is in force.
func (s statement) holds(now time.Time) bool {
	return s.perSecond > 0 && now.Sub(s.at) < retentionOf(s.perSecond)
}

// Change tells how the limit of an endpoint differs from the one before; 0 is no limit.
type Change struct {
	From, To float64 // requests a second
}

// Changed reports whether the limit differs.
func (c Change) Changed() bool { return c.From != c.To }

// PerSecond returns the limit in force, or 0 if there is none.
func (e *Endpoint) PerSecond(now time.Time) float64 {
	if !e.own.holds(now) {
		return 0
	}
	return e.own.perSecond
}

// RecordResponse records that a response received now states a limit, or none if it is 0.
func (e *Endpoint) RecordResponse(now time.Time, perSecond float64) Change {
	if perSecond == 0 && e.own.at.IsZero() {
		return Change{}
	}
	c := Change{From: e.PerSecond(now), To: perSecond}
	e.own = statement{perSecond, now}
	return c
}

// Stated reports whether the endpoint has ever named a limit.
func (e *Endpoint) Stated() bool { return !e.own.at.IsZero() }
