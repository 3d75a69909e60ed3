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
	AllowResend  bool      // a request with an unknown outcome may be sent again, as the service honours idempotency keys
}

// Settings holds the delays of an attempt.
type Settings struct {
	RetryDelay   time.Duration // the first delay before an unconfirmed claim is appended again; it doubles each time
	ClaimTimeout time.Duration // the time after which the attempt gives up an unconfirmed claim
}

// Phase is the state of an attempt.
type Phase string

// Phases of an attempt.
const (
	PhaseClaiming Phase = "claiming" // the claim is not decided
	PhaseGranted  Phase = "granted"  // the request may be sent
	PhaseSent     Phase = "sent"     // the attempt can end only with an outcome or as unknown
	PhaseClosed   Phase = "closed"   // the attempt has ended
)

// EventKind is the type of an event.
type EventKind string

// Kinds of event.
const (
	EventStart        EventKind = "start"   // the attempt begins
	EventDecided      EventKind = "ruled"   // the projection decided on the attempt's claim
	EventTimer        EventKind = "tick"    // a timer fired
	EventAbandon      EventKind = "abandon" // the caller gives up the attempt
	EventSend         EventKind = "send"    // the caller wants to send the request
	EventResponse     EventKind = "finish"  // the service responded
	EventResponseLost EventKind = "lose"    // the service's response was lost
)

// Event is an input of an attempt.
type Event struct {
	Kind     EventKind
	Decision Decision        // for EventDecided
	Holder   *Holder         // for EventStart and EventTimer: the attempt that holds the key, or nil if it is unknown
	LogTime  time.Time       // for EventStart, EventTimer and EventDecided: the latest known log time
	Outcome  *record.Outcome // for EventResponse
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
	AppendOnce        *record.Claim   // is appended to the log once; it may be lost
	AppendUntilStored *record.Claim   // is appended to the log repeatedly until the log contains it
	AllowSend         bool            // the request may be sent now, and only once
	Result            Result          // is empty if the step had no result
	Outcome           *record.Outcome // is set with OutcomeKnown
}

// AttemptState is the state machine of one attempt. It reads no clock and does no I/O.
type AttemptState struct {
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

// NewAttemptState returns the state machine of an attempt to send a request.
func NewAttemptState(s Settings, r Request) *AttemptState {
	return &AttemptState{settings: s, request: r, phase: PhaseClaiming, outcomeAttempt: r.Attempt, retryDelay: s.RetryDelay}
}

// AttemptID returns the identifier of the attempt.
func (a *AttemptState) AttemptID() string { return a.request.Attempt }

// Phase returns the state of the attempt.
func (a *AttemptState) Phase() Phase { return a.phase }

// NextTick returns the time at which the next EventTimer is due. It is zero if none is needed.
func (a *AttemptState) NextTick() time.Time {
	switch {
	case a.phase != PhaseClaiming:
		return time.Time{}
	case a.retryAt.Before(a.giveUpAt):
		return a.retryAt
	}
	return a.giveUpAt
}

// Handle handles an event and returns the actions to take. Events that don't fit the phase have no effect.
func (a *AttemptState) Handle(now time.Time, e Event) Output {
	switch {
	case e.Kind == EventStart && a.phase == PhaseClaiming:
		return a.handleStart(now, e)
	case e.Kind == EventTimer && a.phase == PhaseClaiming:
		return a.handleTick(now, e)
	case e.Kind == EventDecided && a.phase == PhaseClaiming:
		return a.handleDecision(now, e)
	case e.Kind == EventSend:
		return a.handleSend(now)
	case e.Kind == EventResponse && a.phase == PhaseSent && e.Outcome != nil:
		a.phase = PhaseClosed
		return Output{AppendUntilStored: a.outcomeRecord(*e.Outcome), Result: Finished}
	case a.phase == PhaseSent && (e.Kind == EventResponseLost || e.Kind == EventAbandon):
		a.phase = PhaseClosed
		return Output{AppendUntilStored: a.outcomeRecord(record.Outcome{Unknown: true}), Result: OutcomeUnknown}
	case e.Kind == EventAbandon && a.phase != PhaseClosed:
		return a.closeUnsent()
	}
	return Output{}
}

func (a *AttemptState) handleStart(now time.Time, e Event) Output {
	if e.Holder != nil {
		return a.resolveHeldKey(*e.Holder, e.LogTime)
	}
	a.timeLimit = a.request.Deadline.Sub(now) + outcomeGrace
	a.giveUpAt = now.Add(a.settings.ClaimTimeout)
	if a.request.Deadline.Before(a.giveUpAt) {
		a.giveUpAt = a.request.Deadline
	}
	return a.appendClaim(now)
}

func (a *AttemptState) handleTick(now time.Time, e Event) Output {
	switch {
	case !now.Before(a.giveUpAt) && e.Holder != nil && e.Holder.Attempt != a.request.Attempt:
		// This attempt's claim can still win if the holder voids its own first, so this one is voided as well.
		v := a.newRecord(record.ClaimVoid)
		o := a.resolveHeldKey(*e.Holder, e.LogTime)
		if o.Result != MaySend {
			o.AppendUntilStored = v
		}
		return o
	case !now.Before(a.giveUpAt):
		return a.closeUnsent()
	case !now.Before(a.retryAt):
		return a.appendClaim(now)
	}
	return Output{}
}

func (a *AttemptState) handleDecision(now time.Time, e Event) Output {
	switch e.Decision.Verdict {
	case Won:
		// The process may have been paused after it appended the claim.
		if !now.Before(a.request.Deadline) {
			return a.closeUnsent()
		}
		a.phase = PhaseGranted
		return Output{Result: MaySend}
	case HeldByOther:
		return a.resolveHeldKey(e.Decision.Holder, e.LogTime)
	case Expired:
		a.phase = PhaseClosed
		return Output{Result: OutcomeExpired}
	case IssuedInFuture:
		// A void outside the window has no effect. A delayed copy of the claim may still win the key, and the key then
		// ends as outcome-unknown. It never runs twice.
		a.phase = PhaseClosed
		return Output{Result: BadKey}
	case Incomplete:
		// A record that the reader doesn't have may have let an earlier attempt run the key.
		a.phase = PhaseClosed
		return Output{AppendUntilStored: a.newRecord(record.ClaimVoid), Result: OutcomeUnknown}
	}
	return a.closeUnsent()
}

// resolveHeldKey ends an attempt whose key is held by another one, or lets it resend the request.
func (a *AttemptState) resolveHeldKey(h Holder, logTime time.Time) Output {
	a.phase = PhaseClosed
	switch {
	case h.HasUnknownOutcome(logTime) && a.request.AllowResend:
		a.phase, a.mayHaveRun, a.outcomeAttempt = PhaseGranted, true, h.Attempt
		return Output{Result: MaySend}
	case h.HasUnknownOutcome(logTime):
		return Output{Result: OutcomeUnknown}
	case h.Outcome != nil:
		return Output{Result: OutcomeKnown, Outcome: h.Outcome}
	}
	return Output{Result: InProgress}
}

// handleSend allows one send, or several if the service drops duplicates by their key.
func (a *AttemptState) handleSend(now time.Time) Output {
	isResend := a.phase == PhaseSent && a.request.AllowResend
	if a.phase != PhaseGranted && !isResend {
		return Output{}
	}
	if !now.Before(a.request.Deadline) {
		if isResend {
			return Output{}
		}
		return a.closeUnsent()
	}
	a.phase = PhaseSent
	return Output{AllowSend: true}
}

func (a *AttemptState) appendClaim(now time.Time) Output {
	a.retryAt = now.Add(a.retryDelay)
	a.retryDelay *= 2
	r := a.newRecord(record.ClaimTake)
	r.Limit = record.Duration(a.timeLimit)
	return Output{AppendOnce: r}
}

// closeUnsent ends an attempt that has not sent its request. The outcome is unknown if an earlier attempt may have run
// the key.
func (a *AttemptState) closeUnsent() Output {
	a.phase = PhaseClosed
	if a.mayHaveRun {
		return Output{Result: OutcomeUnknown}
	}
	return Output{AppendUntilStored: a.newRecord(record.ClaimVoid), Result: NotRun}
}

// outcomeRecord returns the claim record of an outcome, without a body that is too large.
func (a *AttemptState) outcomeRecord(o record.Outcome) *record.Claim {
	if len(o.Body) > MaxBodyBytes {
		o.Body, o.Kept = nil, false
	}
	r := a.newRecord(record.ClaimOutcome)
	r.Attempt, r.Outcome = a.outcomeAttempt, &o
	return r
}

func (a *AttemptState) newRecord(k record.ClaimKind) *record.Claim {
	return &record.Claim{
		Kind: k, Organisation: a.request.Organisation, Key: a.request.Key,
		Attempt: a.request.Attempt, Instance: a.request.Instance,
	}
}
