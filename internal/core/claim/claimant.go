package claim

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// outcomeGrace is added to an attempt's time limit for its outcome record to reach the log.
const outcomeGrace = 10 * time.Second

// Request is what an attempt wants to run.
type Request struct {
	Organisation string
	Key          string // UUIDv7
	Attempt      string // unique over all instances
	Instance     string
	Deadline     time.Time // nothing is sent from then on
	Resend       bool      // the service honours idempotency keys, so a request whose outcome is unknown may be sent again
}

// Settings holds the delays of a claimant.
type Settings struct {
	Retry time.Duration // until a claim that was not read back is appended again; doubles each time
	Wait  time.Duration // until a claim that was not read back is given up
}

// Phase is where an attempt stands.
type Phase string

// Phases of an attempt.
const (
	Claiming Phase = "claiming"
	Granted  Phase = "granted" // it may send
	Sent     Phase = "sent"    // only an outcome or "unknown" can follow
	Closed   Phase = "closed"
)

// EventKind names what happened to an attempt.
type EventKind string

// Kinds of event.
const (
	Start   EventKind = "start"
	Ruled   EventKind = "ruled"   // the fold ruled on the attempt's claim
	Tick    EventKind = "tick"    // time has passed
	Abandon EventKind = "abandon" // the caller gives up
	Send    EventKind = "send"    // the caller wants to send
	Finish  EventKind = "finish"  // the service answered
	Lose    EventKind = "lose"    // the service's answer was lost
)

// Event is one input of a claimant; LogNow is the latest known log time.
type Event struct {
	Kind    EventKind
	Ruling  Ruling          // for Ruled
	Holder  *Holder         // for Start and Tick: the attempt that holds the key, if known
	LogNow  time.Time       // for Start, Tick and Ruled
	Outcome *record.Outcome // for Finish
}

// Result is how an attempt ended, or that it may send.
type Result string

// Results of an attempt.
const (
	MaySend        Result = "may-send"
	NotRun         Result = "not-run"         // this attempt never sent and never will
	InProgress     Result = "in-progress"     // another attempt holds the key
	OutcomeKnown   Result = "outcome-known"   // another attempt ran the key; its outcome follows
	OutcomeUnknown Result = "outcome-unknown" // an attempt may have run the key
	OutcomeExpired Result = "outcome-expired" // the key is too old to be run
	BadKey         Result = "bad-key"         // the key's time of issue is in the future
	Finished       Result = "finished"        // this attempt has its outcome
)

// Output is what the driver does after a step, in the order of the fields.
type Output struct {
	Append  *record.Claim   // may be lost
	Keep    *record.Claim   // is appended until it is in the log
	Allow   bool            // the request may be sent now, once
	Result  Result          // empty if the step decided nothing
	Outcome *record.Outcome // for OutcomeKnown
}

// Claimant is the state machine of one attempt; it has no clock and does no I/O.
type Claimant struct {
	settings Settings
	request  Request
	phase    Phase
	holder   string // attempt under which an outcome is recorded
	resent   bool   // another attempt may have run the key, so "not run" can't be said
	limit    time.Duration
	delay    time.Duration
	retry    time.Time
	giveUp   time.Time
}

// NewClaimant returns the state machine of a request.
func NewClaimant(s Settings, r Request) *Claimant {
	return &Claimant{settings: s, request: r, phase: Claiming, holder: r.Attempt, delay: s.Retry}
}

// Attempt returns the id of the attempt.
func (c *Claimant) Attempt() string { return c.request.Attempt }

// Phase returns where the attempt stands.
func (c *Claimant) Phase() Phase { return c.phase }

// Wake returns when the next Tick is due; it is zero when none is needed.
func (c *Claimant) Wake() time.Time {
	switch {
	case c.phase != Claiming:
		return time.Time{}
	case c.retry.Before(c.giveUp):
		return c.retry
	}
	return c.giveUp
}

// Step takes one event at a time and returns what to do.
func (c *Claimant) Step(now time.Time, e Event) Output {
	switch {
	case e.Kind == Start && c.phase == Claiming:
		return c.start(now, e)
	case e.Kind == Tick && c.phase == Claiming:
		return c.tick(now, e)
	case e.Kind == Ruled && c.phase == Claiming:
		return c.ruled(now, e)
	case e.Kind == Send:
		return c.send(now)
	case e.Kind == Finish && c.phase == Sent && e.Outcome != nil:
		c.phase = Closed
		return Output{Keep: c.outcome(*e.Outcome), Result: Finished}
	case c.phase == Sent && (e.Kind == Lose || e.Kind == Abandon):
		c.phase = Closed
		return Output{Keep: c.outcome(record.Outcome{Unknown: true}), Result: OutcomeUnknown}
	case e.Kind == Abandon && c.phase != Closed:
		return c.void()
	}
	return Output{}
}

func (c *Claimant) start(now time.Time, e Event) Output {
	if e.Holder != nil {
		return c.taken(*e.Holder, e.LogNow)
	}
	c.limit = c.request.Deadline.Sub(now) + outcomeGrace
	c.giveUp = now.Add(c.settings.Wait)
	if c.request.Deadline.Before(c.giveUp) {
		c.giveUp = c.request.Deadline
	}
	return c.appendClaim(now)
}

func (c *Claimant) tick(now time.Time, e Event) Output {
	switch {
	case !now.Before(c.giveUp) && e.Holder != nil && e.Holder.Attempt != c.request.Attempt:
		// The own claim can still win if the holder voids first, so it is voided as well.
		v := c.record(record.ClaimVoid)
		o := c.taken(*e.Holder, e.LogNow)
		if o.Result != MaySend {
			o.Keep = v
		}
		return o
	case !now.Before(c.giveUp):
		return c.void()
	case !now.Before(c.retry):
		return c.appendClaim(now)
	}
	return Output{}
}

func (c *Claimant) ruled(now time.Time, e Event) Output {
	switch e.Ruling.Verdict {
	case Won:
		// The claimer may have been paused since it appended the claim.
		if !now.Before(c.request.Deadline) {
			return c.void()
		}
		c.phase = Granted
		return Output{Result: MaySend}
	case Taken:
		return c.taken(e.Ruling.Holder, e.LogNow)
	case Expired:
		c.phase = Closed
		return Output{Result: OutcomeExpired}
	case Early:
		// A void outside the window does not count. A delayed copy of the claim may still take the key, which then
		// ends as outcome-unknown; it never runs twice.
		c.phase = Closed
		return Output{Result: BadKey}
	}
	return c.void()
}

func (c *Claimant) taken(h Holder, logNow time.Time) Output {
	c.phase = Closed
	switch {
	case h.Unknown(logNow) && c.request.Resend:
		c.phase, c.resent, c.holder = Granted, true, h.Attempt
		return Output{Result: MaySend}
	case h.Unknown(logNow):
		return Output{Result: OutcomeUnknown}
	case h.Outcome != nil:
		return Output{Result: OutcomeKnown, Outcome: h.Outcome}
	}
	return Output{Result: InProgress}
}

// send allows one send, or several when the service drops duplicates by key.
func (c *Claimant) send(now time.Time) Output {
	again := c.phase == Sent && c.request.Resend
	if c.phase != Granted && !again {
		return Output{}
	}
	if !now.Before(c.request.Deadline) {
		if again {
			return Output{}
		}
		return c.void()
	}
	c.phase = Sent
	return Output{Allow: true}
}

func (c *Claimant) appendClaim(now time.Time) Output {
	c.retry = now.Add(c.delay)
	c.delay *= 2
	r := c.record(record.ClaimTake)
	r.Limit = record.Duration(c.limit)
	return Output{Append: r}
}

// void ends an attempt that has not sent. A resent request may have run under its first attempt.
func (c *Claimant) void() Output {
	c.phase = Closed
	if c.resent {
		return Output{Result: OutcomeUnknown}
	}
	return Output{Keep: c.record(record.ClaimVoid), Result: NotRun}
}

func (c *Claimant) outcome(o record.Outcome) *record.Claim {
	if len(o.Body) > MaxBody {
		o.Body, o.Kept = nil, false
	}
	r := c.record(record.ClaimOutcome)
	r.Attempt, r.Outcome = c.holder, &o
	return r
}

func (c *Claimant) record(k record.ClaimKind) *record.Claim {
	return &record.Claim{
		Kind: k, Organisation: c.request.Organisation, Key: c.request.Key,
		Attempt: c.request.Attempt, Instance: c.request.Instance,
	}
}
