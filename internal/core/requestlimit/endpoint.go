package requestlimit

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/coldstart"
)

// Endpoint is what an instance knows of the limit of one process, with its requests under that limit. The zero value is a process that has
// never named a limit.
type Endpoint struct {
	own    statement // what it has said to this instance
	others statement // what it has said to other instances
	endAt  time.Time // when it first said to this instance that the latest limit is over
	sentAt time.Time // latest request while it had a limit
	toldAt time.Time // latest time until which another instance would have told of a newer statement

	suspected     bool // PerSecond has to look at the statements; false for nearly all endpoints, which keeps a choice cheap
	pace          coldstart.Pace
	paceInstances int     // instances for which pace was computed; 0 if it has not been
	paceLimit     float64 // limit for which pace was computed, at most that in force
}

// statement is what an endpoint has said of its limit.
type statement struct {
	perSecond float64 // 0 if it has no limit any more
	at        time.Time
}

const (
	retention    = 30 * time.Second // how long a limit counts that no later response confirms
	endRetention = 40 * time.Second // how long other instances are told that a limit is over; longer than retention
	// maxToldRetention bounds how long a limit counts beyond retention because no other instance tells of a newer response.
	maxToldRetention = 10 * time.Minute
)

// retentionOf returns how long a limit counts. An endpoint with a low limit gets requests at longer intervals, and its responses are
// what confirms the limit.
func retentionOf(perSecond float64) time.Duration {
	return max(retention, time.Duration(expectedRequests/perSecond*float64(time.Second)))
}

// expectedRequests is the number of requests after which at least one response has most likely confirmed a limit.
const expectedRequests = 20

// holds reports whether a statement names a limit that is in force. Time in which other instances would have told of a newer response does
// not count: the endpoint has got no request, and all instances that forget its limit at once would send it a wave.
func (e *Endpoint) holds(s statement, now time.Time) bool {
	from := s.at
	if e.toldAt.After(from) {
		from = e.toldAt
	}
	if latest := s.at.Add(maxToldRetention); from.After(latest) {
		from = latest
	}
	return s.perSecond > 0 && now.Sub(from) < retentionOf(s.perSecond)
}

// RecordReports records that other instances have told of all responses that they got. A limit that has expired stays so, since the
// end of a limit is told only for a time.
func (e *Endpoint) RecordReports(now time.Time) {
	if e.PerSecond(now) > 0 {
		e.toldAt = now
	}
}

// Change tells how the limit of an endpoint differs from the one before; 0 is no limit.
type Change struct {
	From, To float64 // requests a second
}

// Changed reports whether the limit differs.
func (c Change) Changed() bool { return c.From != c.To }

// PerSecond returns the limit in force, or 0 if there is none. Times must not decrease from call to call.
func (e *Endpoint) PerSecond(now time.Time) float64 {
	if !e.suspected {
		return 0
	}
	return e.check(now)
}

// check returns the limit in force, and lets later calls of PerSecond skip the statements if there is none.
func (e *Endpoint) check(now time.Time) float64 {
	s := e.latest()
	if e.suspected = e.holds(s, now); !e.suspected {
		return 0
	}
	return s.perSecond
}

// Expired reports whether the latest statement is a limit that no response has confirmed for too long.
func (e *Endpoint) Expired(now time.Time) bool {
	s := e.latest()
	return s.perSecond > 0 && !e.holds(s, now)
}

// latest returns the newer of the two statements.
func (e *Endpoint) latest() statement {
	if e.others.at.After(e.own.at) {
		return e.others
	}
	return e.own
}

// RecordResponse records that the response to a request that was sent at sentAt states a limit, or none if it is 0. Without a limit it counts
// from sentAt, as an endpoint may decide what a response says when it gets the request, and begin the response long after it has named
// a limit in others.
func (e *Endpoint) RecordResponse(now, sentAt time.Time, perSecond float64) Change {
	n := statement{perSecond, now}
	if perSecond == 0 {
		n.at = sentAt
		if !e.Stated() || n.at.Before(e.latest().at) {
			return Change{}
		}
	}
	c := Change{From: e.PerSecond(now), To: perSecond}
	if perSecond == 0 && (c.From > 0 || e.endAt.IsZero()) {
		e.endAt = now
	}
	e.own, e.suspected = n, true
	return c
}

// Statement is what an endpoint has said to one instance, as that tells others. Ages instead of times keep clocks out of it.
type Statement struct {
	PerSecond float64       // 0 if the limit is over
	Age       time.Duration // since the endpoint said so
}

// Newer reports whether the statement is newer than another.
func (s Statement) Newer(o Statement) bool { return s.Age < o.Age }

// Own returns what the endpoint has said to this instance, and false if that is not worth telling. What others have said is left out, or it
// would become younger by the time on the way whenever an instance passes it on.
func (e *Endpoint) Own(now time.Time) (Statement, bool) {
	told := e.holds(e.own, now) || !e.endAt.IsZero() && e.own.perSecond == 0 && now.Sub(e.endAt) < endRetention
	return Statement{e.own.perSecond, now.Sub(e.own.at)}, told
}

// RecordOthers records what other instances told at a time. It counts unless a newer statement is known.
func (e *Endpoint) RecordOthers(now time.Time, s Statement) {
	n := statement{s.PerSecond, now.Add(-s.Age)}
	if s.PerSecond > 0 {
		n.perSecond = max(s.PerSecond, attributes.MinRequestLimit)
	}
	if n.at.After(e.others.at) {
		e.others, e.suspected = n, true
	}
}

// The bound on the requests of all instances: in any boundPeriod overshoot times what the limit allows, and slack.
const (
	boundPeriod = 4 * time.Second
	overshoot   = 1.5
	slack       = 5
	maxWindow   = 2 * time.Second // long enough for an instance with half a request a second to use most of its windows
)

// NewPace returns the pace of one instance at an endpoint with a limit.
func NewPace(instances int, perSecond float64) coldstart.Pace {
	most := int(overshoot*perSecond*boundPeriod.Seconds() + slack)
	return coldstart.Bound{PerSecond: perSecond, Most: most, Period: boundPeriod, Window: maxWindow}.Pace(instances)
}

// Allows reports whether a number of instances permits that this one sends a request now. The phase is a random number of the instance and
// the endpoint that does not change.
func (e *Endpoint) Allows(now time.Time, instances int, phase uint64) bool {
	limit := e.PerSecond(now)
	return limit == 0 || e.paceFor(instances, limit).Allows(now, e.sentAt, phase)
}

// Wait returns the time until this instance may send a request, 0 if it may now.
func (e *Endpoint) Wait(now time.Time, instances int, phase uint64) time.Duration {
	if e.Allows(now, instances, phase) {
		return 0
	}
	return e.paceFor(instances, e.PerSecond(now)).Wait(now, phase)
}

// A pace is kept until the limit falls below that of the pace or rises to paceRise times that, and a lower pace leaves room for further falls.
// With each new pace the windows move, so that more instances than usual meet one.
const (
	paceRise = 1.25
	paceRoom = 0.9
)

// paceFor returns the pace for a number of instances and a limit.
func (e *Endpoint) paceFor(instances int, limit float64) coldstart.Pace {
	switch {
	case e.paceInstances == 0 || limit >= paceRise*e.paceLimit:
		e.paceLimit = limit
	case limit < e.paceLimit:
		e.paceLimit = max(paceRoom*limit, attributes.MinRequestLimit)
	case e.paceInstances == instances:
		return e.pace
	}
	e.pace, e.paceInstances = NewPace(instances, e.paceLimit), instances
	return e.pace
}

// RecordSend records a request that Allows permitted.
func (e *Endpoint) RecordSend(now time.Time) {
	if e.suspected {
		e.sentAt = now
	}
}

// Stated reports whether the endpoint has ever named a limit.
func (e *Endpoint) Stated() bool { return !e.own.at.IsZero() || !e.others.at.IsZero() }
