package claim

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// outcomeGrace is the time that an outcome record may take to reach the log. It is added to the attempt's time limit.
const outcomeGrace = 10 * time.Second

// Request describes the request that an attempt wants to send.
type Request struct {
	Organisation string
	Key          string // UUIDv7
	Attempt      string // identifier that is unique across all instances
	Instance     string
	Deadline     time.Time // the request is not sent at this time or later
	Resend       bool      // a request with an unknown outcome may be sent again, as the service honours idempotency keys
}

// Settings holds the delays of a claimant.
type Settings struct {
	Retry time.Duration // the first delay before an unconfirmed claim is appended again; it doubles each time
	Wait  time.Duration // the time after which the attempt gives up an unconfirmed claim
}

// Phase is the state of an attempt.
type Phase string

// Phases of an attempt.
const (
	Claiming Phase = "claiming" // the claim is not decided
	Granted  Phase = "granted"  // the request may be sent
	Sent     Phase = "sent"     // the attempt can end only with an outcome or as unknown
	Closed   Phase = "closed"   // the attempt has ended
)

// EventKind is the type of an event.
type EventKind string

// Kinds of event.
const (
	Start   EventKind = "start"   // the attempt begins
	Ruled   EventKind = "ruled"   // the projection decided on the attempt's claim
	Tick    EventKind = "tick"    // a timer fired
	Abandon EventKind = "abandon" // the caller gives up the attempt
	Send    EventKind = "send"    // the caller wants to send the request
	Finish  EventKind = "finish"  // the service responded
	Lose    EventKind = "lose"    // the service's response was lost
)

// Event is an input of a claimant.
type Event struct {
	Kind    EventKind
	Ruling  Ruling          // for Ruled
	Holder  *Holder         // for Start and Tick: the attempt that holds the key, or nil if it is unknown
	LogNow  time.Time       // for Start, Tick and Ruled: the latest known log time
	Outcome *record.Outcome // for Finish
}

// Result tells how an attempt ended or that its request may be sent.
type Result string

// Results of an attempt.
const (
	MaySend        Result = "may-send"        // the request may be sent
	NotRun         Result = "not-run"         // the request was not sent and will not be
	InProgress     Result = "in-progress"     // another attempt holds the key and has no outcome yet
	OutcomeKnown   Result = "outcome-known"   // another attempt ran the key; Output.Outcome holds its outcome
	OutcomeUnknown Result = "outcome-unknown" // an attempt may have run the key
	OutcomeExpired Result = "outcome-expired" // the key was issued too long ago to be claimed
	BadKey         Result = "bad-key"         // the key's time of issue is in the future
	Finished       Result = "finished"        // this attempt has an outcome
)

// Output lists the actions that the driver takes after a step, in the order of the fields.
type Output struct {
	Append  *record.Claim   // is appended to the log once; it may be lost
	Keep    *record.Claim   // is appended to the log repeatedly until the log contains it
	Allow   bool            // the request may be sent now, and only once
	Result  Result          // is empty if the step had no result
	Outcome *record.Outcome // is set with OutcomeKnown
}

// Claimant is the state machine of one attempt. It reads no clock and does no I/O.
type Claimant struct {
	settings       Settings
	request        Request
	phase          Phase
	outcomeAttempt string        // the attempt under which the outcome is recorded
	mayHaveRun     bool          // an earlier attempt may have run the key, so NotRun is not a possible result
	timeLimit      time.Duration // of the attempt, for its claim record
	retryDelay     time.Duration // before the next append of the claim
	retryAt        time.Time
	giveUpAt       time.Time
}

// NewClaimant returns the state machine of an attempt to send a request.
func NewClaimant(s Settings, r Request) *Claimant {
	return &Claimant{settings: s, request: r, phase: Claiming, outcomeAttempt: r.Attempt, retryDelay: s.Retry}
}

// Attempt returns the identifier of the attempt.
func (c *Claimant) Attempt() string { return c.request.Attempt }

// Phase returns the state of the attempt.
func (c *Claimant) Phase() Phase { return c.phase }

// Wake returns the time at which the next Tick is due. It is zero if no Tick is needed.
func (c *Claimant) Wake() time.Time {
	switch {
	case c.phase != Claiming:
		return time.Time{}
	case c.retryAt.Before(c.giveUpAt):
		return c.retryAt
	}
	return c.giveUpAt
}

// Step handles an event and returns the actions to take. Events that don't fit the phase have no effect.
func (c *Claimant) Step(now time.Time, e Event) Output {
	switch {
	case e.Kind == Start && c.phase == Claiming:
		return c.handleStart(now, e)
	case e.Kind == Tick && c.phase == Claiming:
		return c.handleTick(now, e)
	case e.Kind == Ruled && c.phase == Claiming:
		return c.handleDecision(now, e)
	case e.Kind == Send:
		return c.handleSend(now)
	case e.Kind == Finish && c.phase == Sent && e.Outcome != nil:
		c.phase = Closed
		return Output{Keep: c.outcomeRecord(*e.Outcome), Result: Finished}
	case c.phase == Sent && (e.Kind == Lose || e.Kind == Abandon):
		c.phase = Closed
		return Output{Keep: c.outcomeRecord(record.Outcome{Unknown: true}), Result: OutcomeUnknown}
	case e.Kind == Abandon && c.phase != Closed:
		return c.closeUnsent()
	}
	return Output{}
}

func (c *Claimant) handleStart(now time.Time, e Event) Output {
	if e.Holder != nil {
		return c.resolveHeldKey(*e.Holder, e.LogNow)
	}
	c.timeLimit = c.request.Deadline.Sub(now) + outcomeGrace
	c.giveUpAt = now.Add(c.settings.Wait)
	if c.request.Deadline.Before(c.giveUpAt) {
		c.giveUpAt = c.request.Deadline
	}
	return c.appendClaim(now)
}

func (c *Claimant) handleTick(now time.Time, e Event) Output {
	switch {
	case !now.Before(c.giveUpAt) && e.Holder != nil && e.Holder.Attempt != c.request.Attempt:
		// This attempt's claim can still win if the holder voids its own first, so this one is voided as well.
		v := c.newRecord(record.ClaimVoid)
		o := c.resolveHeldKey(*e.Holder, e.LogNow)
		if o.Result != MaySend {
			o.Keep = v
		}
		return o
	case !now.Before(c.giveUpAt):
		return c.closeUnsent()
	case !now.Before(c.retryAt):
		return c.appendClaim(now)
	}
	return Output{}
}

func (c *Claimant) handleDecision(now time.Time, e Event) Output {
	switch e.Ruling.Verdict {
	case Won:
		// The process may have been paused after it appended the claim.
		if !now.Before(c.request.Deadline) {
			return c.closeUnsent()
		}
		c.phase = Granted
		return Output{Result: MaySend}
	case HeldByOther:
		return c.resolveHeldKey(e.Ruling.Holder, e.LogNow)
	case Expired:
		c.phase = Closed
		return Output{Result: OutcomeExpired}
	case Early:
		// A void outside the window has no effect. A delayed copy of the claim may still win the key, and the key then
		// ends as outcome-unknown. It never runs twice.
		c.phase = Closed
		return Output{Result: BadKey}
	}
	return c.closeUnsent()
}

// resolveHeldKey ends an attempt whose key is held by another one, or lets it resend the request.
func (c *Claimant) resolveHeldKey(h Holder, logTime time.Time) Output {
	c.phase = Closed
	switch {
	case h.HasUnknownOutcome(logTime) && c.request.Resend:
		c.phase, c.mayHaveRun, c.outcomeAttempt = Granted, true, h.Attempt
		return Output{Result: MaySend}
	case h.HasUnknownOutcome(logTime):
		return Output{Result: OutcomeUnknown}
	case h.Outcome != nil:
		return Output{Result: OutcomeKnown, Outcome: h.Outcome}
	}
	return Output{Result: InProgress}
}

// handleSend allows one send, or several if the service drops duplicates by their key.
func (c *Claimant) handleSend(now time.Time) Output {
	isResend := c.phase == Sent && c.request.Resend
	if c.phase != Granted && !isResend {
		return Output{}
	}
	if !now.Before(c.request.Deadline) {
		if isResend {
			return Output{}
		}
		return c.closeUnsent()
	}
	c.phase = Sent
	return Output{Allow: true}
}

func (c *Claimant) appendClaim(now time.Time) Output {
	c.retryAt = now.Add(c.retryDelay)
	c.retryDelay *= 2
	r := c.newRecord(record.ClaimTake)
	r.Limit = record.Duration(c.timeLimit)
	return Output{Append: r}
}

// closeUnsent ends an attempt that has not sent its request. The outcome is unknown if an earlier attempt may have run
// the key.
func (c *Claimant) closeUnsent() Output {
	c.phase = Closed
	if c.mayHaveRun {
		return Output{Result: OutcomeUnknown}
	}
	return Output{Keep: c.newRecord(record.ClaimVoid), Result: NotRun}
}

// outcomeRecord returns the claim record of an outcome, without a body that is too large.
func (c *Claimant) outcomeRecord(o record.Outcome) *record.Claim {
	if len(o.Body) > MaxBody {
		o.Body, o.Kept = nil, false
	}
	r := c.newRecord(record.ClaimOutcome)
	r.Attempt, r.Outcome = c.outcomeAttempt, &o
	return r
}

func (c *Claimant) newRecord(k record.ClaimKind) *record.Claim {
	return &record.Claim{
		Kind: k, Organisation: c.request.Organisation, Key: c.request.Key,
		Attempt: c.request.Attempt, Instance: c.request.Instance,
	}
}
