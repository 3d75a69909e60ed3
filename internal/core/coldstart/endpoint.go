package coldstart

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// RegistryLag is the longest time until a registry entry is known after it was written.
const RegistryLag = 2500 * time.Millisecond

const (
	// clockTolerance bounds the differences between the clocks of endpoints and instances.
	clockTolerance = 10 * time.Second
	// failureRetention is the time for which an endpoint that could not be reached counts as cold. Endpoints register within
	// RegistryLag of their start, so a process that returns later is known to be cold from its entry.
	failureRetention = time.Minute
)

// Endpoint is what an instance believes about the coldness of one process, with the requests that it sent because of that. The
// zero value is a warm endpoint without a registry entry.
type Endpoint struct {
	registered      bool
	sequence        int64
	registeredUntil time.Time // end of the cold time that the registry states
	observedUntil   time.Time // end of the cold time that follows from responses and failures
	observedAt      time.Time // latest response or failure that observedUntil or failed follows from
	failed          bool      // it could not be reached and has not responded since
	sentAt          time.Time // latest request while it was cold
	suspected       bool      // Cold has to look at the times; false for nearly all endpoints, which keeps a choice cheap
}

// Register records a registry entry received now. An entry that is not newer than the last one changes nothing.
func (e *Endpoint) Register(now time.Time, r routing.Endpoint) {
	if e.registered && r.Sequence <= e.sequence {
		return
	}
	outdated := !e.registered && readLate(now, r)
	e.registered, e.sequence, e.registeredUntil = true, r.Sequence, time.Time{}
	if r.WarmUpRemaining > 0 && !outdated {
		e.registeredUntil, e.suspected = now.Add(r.WarmUpRemaining), true
		return
	}
	// An entry received soon after an observation may have been written before it.
	if !e.observedAt.IsZero() && now.Sub(e.observedAt) >= RegistryLag {
		e.observedUntil, e.failed = time.Time{}, false
	}
}

// readLate reports whether an entry is the first of a process that started long ago. An instance that starts reads entries of any age.
func readLate(now time.Time, r routing.Endpoint) bool {
	return r.Sequence <= 1 && r.StartedAtMS > 0 && now.Sub(time.UnixMilli(r.StartedAtMS)) > r.WarmUpRemaining+clockTolerance
}

// Registered reports whether a registry entry was recorded.
func (e *Endpoint) Registered() bool { return e.registered }

// RecordFailure records that the endpoint could not be reached or that its process ended.
func (e *Endpoint) RecordFailure(now time.Time) {
	e.failed, e.observedAt, e.suspected = true, now, true
}

// RecordResponse records a response to a request sent at sentAt, with the cold time that the response states or
// attributes.UnknownWarmUp. After a failure the endpoint counts as cold for duration, unless the response says otherwise.
func (e *Endpoint) RecordResponse(now, sentAt time.Time, warmUp, duration time.Duration) {
	switch {
	case sentAt.Before(e.observedAt):
		// The response may be older than a failure.
	case warmUp != attributes.UnknownWarmUp:
		e.failed, e.registeredUntil = false, time.Time{}
		e.observedUntil, e.observedAt, e.suspected = now.Add(warmUp), now, warmUp > 0
	case e.failed:
		e.failed, e.observedAt = false, now
		if end := now.Add(duration); end.After(e.observedUntil) {
			e.observedUntil = end
		}
	}
}

// MarkCold records that the endpoint may be cold until a time.
func (e *Endpoint) MarkCold(now, until time.Time) {
	if until.After(e.observedUntil) {
		e.observedUntil = until
	}
	e.observedAt, e.suspected = now, true
}

// Cold reports whether the endpoint counts as cold. Times must not decrease from call to call.
func (e *Endpoint) Cold(now time.Time) bool { return e.suspected && e.check(now) }

// check reports whether a belief holds, and lets later calls of Cold skip the times if none does.
func (e *Endpoint) check(now time.Time) bool {
	e.suspected = now.Before(e.registeredUntil) || now.Before(e.observedUntil) || e.unanswered(now)
	return e.suspected
}

// unanswered reports whether the endpoint failed lately and has not responded since.
func (e *Endpoint) unanswered(now time.Time) bool {
	return e.failed && now.Sub(e.observedAt) < failureRetention
}

// Remaining returns the time until the endpoint is expected to be warm, 0 if it is.
func (e *Endpoint) Remaining(now time.Time, duration time.Duration) time.Duration {
	d := max(0, e.registeredUntil.Sub(now), e.observedUntil.Sub(now))
	if e.unanswered(now) {
		d = max(d, duration)
	}
	return d
}

// Allows reports whether a request may be sent to the endpoint while it is cold. The phase is a random number of the instance and the
// endpoint that does not change.
func (e *Endpoint) Allows(now time.Time, p Pace, phase uint64) bool {
	return p.Allows(now, e.sentAt, phase)
}

// RecordSend records a request that Allows permitted.
func (e *Endpoint) RecordSend(now time.Time) { e.sentAt = now }

// Succeed returns the state of a new process in place of this one. It may not get a second request in the same window.
func (e *Endpoint) Succeed() Endpoint { return Endpoint{sentAt: e.sentAt} }
