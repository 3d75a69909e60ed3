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
	Wait           time.Duration // time after which a claim that was not read back is given up
	IdleFlushDelay time.Duration // time between a claim and its append while appends stay below MaxAppendRate
	FlushLoad      time.Duration // time between a claim and its append above MaxAppendRate
	MaxAppendRate  rate.Limit    // appends per second, summed over all partitions, above which FlushLoad applies
	MaxUnconfirmed int           // voids and outcomes of a partition that wait for the log; once reached, Claim refuses
}

func (s ClaimSettings) withDefaults() ClaimSettings {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&s.RetryDelay, time.Second)
	setDefault(&s.Wait, 5*time.Second)
	setDefault(&s.IdleFlushDelay, 5*time.Millisecond)
	setDefault(&s.FlushLoad, 50*time.Millisecond)
	if s.MaxAppendRate == 0 {
		s.MaxAppendRate = 20 // keeps 9 instances below the log's limit of 200 appends/s
	}
	if s.MaxUnconfirmed == 0 {
		s.MaxUnconfirmed = 1000
	}
	return s
}

// Key identifies a request that must run at most once.
type Key struct {
	Organisation string
	Key          string    // UUIDv7
	Deadline     time.Time // the request is not sent at or after this time
	Resend       bool      // the service honours idempotency keys, so the request may be sent again after an unknown outcome
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

// Claim returns a Ticket that either permits the request to be sent or holds the outcome of an earlier attempt.
// Errors are of type *Error; after an error this attempt never sends the request.
func (c *Claimer) Claim(ctx context.Context, k Key) (*Ticket, error) {
	issued, err := claim.Issued(k.Key)
	if err != nil {
		return nil, &Error{Op: "claim", Kind: ErrBadKey, Err: err}
	}
	p := c.partitionFor(k)
	if p.logTime().After(issued.Add(claim.Window)) {
		return nil, &Error{Op: "claim", Kind: ErrOutcomeExpired}
	}
	if n := p.unconfirmedLen(); n >= c.settings.MaxUnconfirmed {
		return nil, &Error{Op: "claim", Kind: ErrBufferFull, Err: fmt.Errorf("%d claim records are not in the log yet", n)}
	}
	t := &Ticket{
		partition: p, now: c.options.Now, recorder: c.options.Recorder, key: k,
		claimant: claim.NewClaimant(
			claim.Settings{Retry: c.settings.RetryDelay, Wait: c.settings.Wait},
			claim.Request{
				Organisation: k.Organisation, Key: k.Key, Attempt: uuid.NewString(),
				Instance: c.options.Instance, Deadline: k.Deadline, Resend: k.Resend,
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

// Flush waits until all voids and outcomes are in the log; it is called on a planned stop.
func (c *Claimer) Flush(ctx context.Context) error {
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
func (c *Claimer) partitionFor(k Key) *partition {
	n := xxhash.Sum64String(k.Organisation+"\x00"+k.Key) % ClaimPartitions
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
	key       Key

	mu       sync.Mutex
	claimant *claim.Claimant
	outcome  *record.Outcome
}

// Outcome returns the outcome of an earlier attempt, or nil if this attempt may send the request.
func (t *Ticket) Outcome() *record.Outcome { return t.outcome }

// Send must be called right before the request is sent, which is permitted only if Send returns nil. It permits one send,
// or several if Key.Resend is set.
func (t *Ticket) Send() error {
	o := t.stepClaimant(claim.Event{Kind: claim.Send})
	if o.Allow {
		t.recorder.Event("claim-sent", "organisation", t.key.Organisation, "key", t.key.Key)
		return nil
	}
	if o.Result != "" {
		return t.resultError(o.Result)
	}
	return &Error{Op: "send", Kind: ErrWrongState, Err: errors.New("the attempt was sent or has ended")}
}

// Finish records the outcome of a request that was sent.
func (t *Ticket) Finish(o record.Outcome) {
	t.stepClaimant(claim.Event{Kind: claim.Finish, Outcome: &o})
}

// Lose records that the answer to a request that was sent is lost.
func (t *Ticket) Lose() { t.stepClaimant(claim.Event{Kind: claim.Lose}) }

// Void releases the key if the request was not sent, and prevents this attempt from sending it. After a send it does the
// same as Lose. It reports whether the request has not run: no attempt under the key can have run it.
func (t *Ticket) Void() bool {
	return t.stepClaimant(claim.Event{Kind: claim.Abandon}).Result == claim.NotRun
}

// awaitDecision runs the attempt until it may send the request or has ended.
func (t *Ticket) awaitDecision(ctx, claimerCtx context.Context) error {
	attempt, rulings := t.claimant.Attempt(), make(chan claim.Ruling, 1)
	t.partition.register(attempt, rulings)
	defer t.partition.unregister(attempt)
	o := t.stepClaimant(claim.Event{Kind: claim.Start})
	for o.Result == "" {
		timer := time.NewTimer(t.claimant.Wake().Sub(t.now()))
		var event claim.Event
		select {
		case r := <-rulings:
			event = claim.Event{Kind: claim.Ruled, Ruling: r}
		case <-timer.C:
			event = claim.Event{Kind: claim.Tick}
		case <-ctx.Done():
			event = claim.Event{Kind: claim.Abandon}
		case <-claimerCtx.Done():
			event = claim.Event{Kind: claim.Abandon}
		}
		timer.Stop()
		o = t.stepClaimant(event)
	}
	t.recorder.Event("claim-decided", "organisation", t.key.Organisation, "key", t.key.Key, "result", string(o.Result))
	t.partition.countResult(o.Result)
	if o.Result == claim.MaySend || o.Result == claim.OutcomeKnown {
		t.outcome = o.Outcome
		return nil
	}
	if o.Result == claim.NotRun && ctx.Err() != nil {
		return &Error{Op: "claim", Kind: ErrDeadline, Err: ctx.Err()}
	}
	return t.resultError(o.Result)
}

// stepClaimant passes an event to the attempt's state machine and adds the resulting records to the partition.
func (t *Ticket) stepClaimant(e claim.Event) claim.Output {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Kind == claim.Start || e.Kind == claim.Tick {
		e.Holder = t.partition.keyHolder(t.key)
	}
	e.LogNow = t.partition.logTime()
	o := t.claimant.Step(t.now(), e)
	t.partition.addRecords(o)
	return o
}

// resultError returns the error for a result that does not permit a send.
func (t *Ticket) resultError(r claim.Result) error {
	kind := map[claim.Result]ErrorKind{
		claim.InProgress:     ErrInProgress,
		claim.OutcomeUnknown: ErrOutcomeUnknown,
		claim.OutcomeExpired: ErrOutcomeExpired,
		claim.BadKey:         ErrBadKey,
		claim.NotRun:         ErrLogUnavailable,
	}[r]
	if r == claim.NotRun && !t.now().Before(t.key.Deadline) {
		kind = ErrDeadline
	}
	return &Error{Op: "claim", Kind: kind}
}
