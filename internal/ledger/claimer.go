package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/cassiaspoke/cassiaspoke/internal/core/claim"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// ClaimPartitions is the number of claims streams. All instances must use the same number, because it decides in which
// stream the claims of a key are recorded.
const ClaimPartitions = 16

// ClaimSettings holds the delays and limits of a Claimer; zero values select the defaults.
type ClaimSettings struct {
	RetryDelay     time.Duration // time after which a claim that was not read back is appended again
	ClaimTimeout   time.Duration // time after which a claim that was not read back is given up
	IdleFlushDelay time.Duration // time between a claim and its append while appends stay below MaxAppendRate
	BusyFlushDelay time.Duration // time between a claim and its append above MaxAppendRate
	MaxAppendRate  rate.Limit    // appends per second, summed over all partitions, above which BusyFlushDelay applies
	MaxUnconfirmed int           // voids and outcomes of a partition that wait for the log; once reached, ClaimKey refuses
}

func (s ClaimSettings) withDefaults() ClaimSettings {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&s.RetryDelay, time.Second)
	setDefault(&s.ClaimTimeout, 5*time.Second)
	setDefault(&s.IdleFlushDelay, 5*time.Millisecond)
	setDefault(&s.BusyFlushDelay, 50*time.Millisecond)
	if s.MaxAppendRate == 0 {
		s.MaxAppendRate = 20 // keeps 9 instances below the log's limit of 200 appends/s
	}
	if s.MaxUnconfirmed == 0 {
		s.MaxUnconfirmed = 1000
	}
	return s
}

// ClaimRequest identifies a request that must run at most once.
type ClaimRequest struct {
	Organisation   string
	IdempotencyKey string    // UUIDv7
	Deadline       time.Time // the request is not sent at or after this time
	AllowResend    bool      // the service honours idempotency keys, so the request may be sent again after an unknown outcome
}

// Claimer decides which of several attempts may send the request of a key.
type Claimer struct {
	ctx           context.Context
	options       Options
	settings      ClaimSettings
	appendLimiter *rate.Limiter

	mu         sync.Mutex
	partitions [ClaimPartitions]*partition
	wg         sync.WaitGroup
}

// NewClaimer returns a Claimer whose goroutines end when ctx is cancelled.
func NewClaimer(ctx context.Context, o Options, s ClaimSettings) *Claimer {
	s = s.withDefaults()
	return &Claimer{ctx: ctx, options: o.withDefaults(), settings: s, appendLimiter: rate.NewLimiter(s.MaxAppendRate, int(s.MaxAppendRate))}
}

// Wait returns when all goroutines of the claimer have ended.
func (c *Claimer) Wait() { c.wg.Wait() }

// ClaimKey returns a Ticket that either permits the request to be sent or holds the outcome of an earlier attempt.
// Errors are of type *Error; after an error this attempt never sends the request.
func (c *Claimer) ClaimKey(ctx context.Context, k ClaimRequest) (*Ticket, error) {
	issued, err := claim.KeyIssueTime(k.IdempotencyKey)
	if err != nil {
		return nil, &Error{Op: "claim", Kind: ErrInvalidKey, Err: err}
	}
	p := c.partitionFor(k)
	if p.logTime().After(issued.Add(claim.ClaimWindow)) {
		return nil, &Error{Op: "claim", Kind: ErrOutcomeExpired}
	}
	if n := p.unconfirmedLen(); n >= c.settings.MaxUnconfirmed {
		return nil, &Error{Op: "claim", Kind: ErrBufferFull, Err: fmt.Errorf("%d claim records are not in the log yet", n)}
	}
	t := &Ticket{
		partition: p, now: c.options.Now, recorder: c.options.Recorder, key: k,
		attemptState: claim.NewAttemptState(
			claim.Settings{RetryDelay: c.settings.RetryDelay, ClaimTimeout: c.settings.ClaimTimeout},
			claim.Request{
				Organisation: k.Organisation, Key: k.IdempotencyKey, Attempt: uuid.NewString(),
				Instance: c.options.Instance, Deadline: k.Deadline, AllowResend: k.AllowResend,
			}),
	}
	start := c.options.Now()
	err = t.awaitDecision(ctx, c.ctx)
	c.options.Scope.Timer("claim-time").Record(c.options.Now().Sub(start))
	if err != nil {
		return nil, err
	}
	return t, nil
}

// FlushRecords waits until all voids and outcomes are in the log; it is called on a planned stop.
func (c *Claimer) FlushRecords(ctx context.Context) error {
	for {
		remaining := 0
		c.mu.Lock()
		for _, p := range c.partitions {
			if p != nil {
				remaining += p.unconfirmedLen()
			}
		}
		c.mu.Unlock()
		if remaining == 0 {
			return nil
		}
		sleep(ctx, c.settings.IdleFlushDelay)
		if err := ctx.Err(); err != nil {
			return &Error{Op: "flush claims", Kind: ErrLogUnavailable, Err: fmt.Errorf("%d claim records are not in the log: %w", remaining, err)}
		}
	}
}

// partitionFor returns the partition of a key and starts to follow its stream on first use.
func (c *Claimer) partitionFor(k ClaimRequest) *partition {
	n := xxhash.Sum64String(k.Organisation+"\x00"+k.IdempotencyKey) % ClaimPartitions
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.partitions[n]
	if p == nil {
		p = newPartition(c.options, c.settings, c.appendLimiter, fmt.Sprintf("claims-%02d", n))
		c.partitions[n] = p
		c.wg.Go(func() { followStream(c.ctx, c.options, p.stream, p) })
		c.wg.Go(func() { p.appendLoop(c.ctx) })
	}
	return p
}

// Ticket is one attempt to run the request of a key.
type Ticket struct {
	partition *partition
	now       func() time.Time
	recorder  Recorder
	key       ClaimRequest

	mu           sync.Mutex
	attemptState *claim.AttemptState
	outcome      *record.Outcome
}

// Outcome returns the outcome of an earlier attempt, or nil if this attempt may send the request.
func (t *Ticket) Outcome() *record.Outcome { return t.outcome }

// BeginSend must be called right before the request is sent, which is permitted only if BeginSend returns nil. It
// permits one send, or several if ClaimRequest.AllowResend is set.
func (t *Ticket) BeginSend() error {
	o := t.stepAttempt(claim.Event{Kind: claim.EventSend})
	if o.AllowSend {
		t.recorder.Event("claim-sent", "organisation", t.key.Organisation, "key", t.key.IdempotencyKey)
		return nil
	}
	if o.Result != "" {
		return t.resultError(o.Result)
	}
	return &Error{Op: "send", Kind: ErrWrongState, Err: errors.New("the attempt was sent or has ended")}
}

// RecordOutcome records the outcome of a request that was sent.
func (t *Ticket) RecordOutcome(o record.Outcome) {
	t.stepAttempt(claim.Event{Kind: claim.EventResponse, Outcome: &o})
}

// RecordUnknown records that the answer to a request that was sent is lost.
func (t *Ticket) RecordUnknown() { t.stepAttempt(claim.Event{Kind: claim.EventResponseLost}) }

// VoidClaim releases the key if the request was not sent, and prevents this attempt from sending it. After a send it does the
// same as RecordUnknown. It reports whether the request has not run: no attempt under the key can have run it.
func (t *Ticket) VoidClaim() bool {
	return t.stepAttempt(claim.Event{Kind: claim.EventAbandon}).Result == claim.NotRun
}

// awaitDecision runs the attempt until it may send the request or has ended.
func (t *Ticket) awaitDecision(ctx, claimerCtx context.Context) error {
	attempt, decisions := t.attemptState.AttemptID(), make(chan claim.Decision, 1)
	t.partition.register(attempt, decisions)
	defer t.partition.unregister(attempt)
	o := t.stepAttempt(claim.Event{Kind: claim.EventStart})
	for o.Result == "" {
		timer := time.NewTimer(t.attemptState.NextTick().Sub(t.now()))
		var event claim.Event
		select {
		case r := <-decisions:
			event = claim.Event{Kind: claim.EventDecided, Decision: r}
		case <-timer.C:
			event = claim.Event{Kind: claim.EventTimer}
		case <-ctx.Done():
			event = claim.Event{Kind: claim.EventAbandon}
		case <-claimerCtx.Done():
			event = claim.Event{Kind: claim.EventAbandon}
		}
		timer.Stop()
		o = t.stepAttempt(event)
	}
	t.recorder.Event("claim-decided", "organisation", t.key.Organisation, "key", t.key.IdempotencyKey, "result", string(o.Result))
	t.partition.countResult(o.Result)
	if o.Result == claim.MaySend || o.Result == claim.OutcomeKnown {
		t.outcome = o.Outcome
		return nil
	}
	if o.Result == claim.NotRun && ctx.Err() != nil {
		return &Error{Op: "claim", Kind: ErrDeadlineExceeded, Err: ctx.Err()}
	}
	return t.resultError(o.Result)
}

// stepAttempt passes an event to the attempt's state machine and adds the resulting records to the partition.
func (t *Ticket) stepAttempt(e claim.Event) claim.Output {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Kind == claim.EventStart || e.Kind == claim.EventTimer {
		e.Holder = t.partition.keyHolder(t.key)
	}
	e.LogTime = t.partition.logTime()
	o := t.attemptState.Handle(t.now(), e)
	t.partition.addRecords(o)
	return o
}

// resultError returns the error for a result that does not permit a send.
func (t *Ticket) resultError(r claim.Result) error {
	kind := map[claim.Result]ErrorKind{
		claim.InProgress:     ErrInProgress,
		claim.OutcomeUnknown: ErrOutcomeUnknown,
		claim.OutcomeExpired: ErrOutcomeExpired,
		claim.BadKey:         ErrInvalidKey,
		claim.NotRun:         ErrLogUnavailable,
	}[r]
	if r == claim.NotRun && !t.now().Before(t.key.Deadline) {
		kind = ErrDeadlineExceeded
	}
	return &Error{Op: "claim", Kind: kind}
}
