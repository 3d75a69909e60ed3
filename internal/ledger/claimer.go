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

// Partitions is the number of claims streams. All instances must agree on it.
const Partitions = 16

// ClaimSettings holds the delays and bounds of a claimer; zero values select the defaults.
type ClaimSettings struct {
	Retry     time.Duration // until an unread claim is appended again
	Wait      time.Duration // until an unread claim is given up
	FlushIdle time.Duration // between a claim and its append when few are made
	FlushLoad time.Duration // the same under load
	Rate      rate.Limit    // appends per second over all partitions; above it FlushLoad applies
	MaxKept   int           // voids and outcomes of a partition that wait for the log; at the bound no new claim is made
}

func (s ClaimSettings) filled() ClaimSettings {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&s.Retry, time.Second)
	def(&s.Wait, 5*time.Second)
	def(&s.FlushIdle, 5*time.Millisecond)
	def(&s.FlushLoad, 50*time.Millisecond)
	if s.Rate == 0 {
		s.Rate = 20 // 9 instances stay below the log's 200 appends/s
	}
	if s.MaxKept == 0 {
		s.MaxKept = 1000
	}
	return s
}

// Key is what a caller wants to run at most once.
type Key struct {
	Organisation string
	Key          string    // UUIDv7
	Deadline     time.Time // nothing is sent from then on
	Resend       bool      // the service honours idempotency keys, so an unknown outcome allows another send
}

// Claimer decides which attempt may run a key.
type Claimer struct {
	ctx      context.Context
	options  Options
	settings ClaimSettings
	limit    *rate.Limiter

	mu    sync.Mutex
	parts [Partitions]*partition
	wg    sync.WaitGroup
}

// NewClaimer returns a claimer whose goroutines end with the context.
func NewClaimer(ctx context.Context, o Options, s ClaimSettings) *Claimer {
	s = s.filled()
	return &Claimer{ctx: ctx, options: o.filled(), settings: s, limit: rate.NewLimiter(s.Rate, int(s.Rate))}
}

// Wait returns when all goroutines of the claimer have ended.
func (c *Claimer) Wait() { c.wg.Wait() }

// Claim returns a ticket with which the request may be sent, or that holds the outcome of an earlier attempt.
// Any error is an *Error; the ticket's attempt never sends after it.
func (c *Claimer) Claim(ctx context.Context, k Key) (*Ticket, error) {
	issued, err := claim.Issued(k.Key)
	if err != nil {
		return nil, &Error{Op: "claim", Kind: ErrBadKey, Err: err}
	}
	p := c.partition(k)
	if p.logTime().After(issued.Add(claim.Window)) {
		return nil, &Error{Op: "claim", Kind: ErrOutcomeExpired}
	}
	if n := p.keptLen(); n >= c.settings.MaxKept {
		return nil, &Error{Op: "claim", Kind: ErrBufferFull, Err: fmt.Errorf("%d claim records are not in the log yet", n)}
	}
	t := &Ticket{
		part: p, now: c.options.Now, recorder: c.options.Recorder, key: k,
		machine: claim.NewClaimant(
			claim.Settings{Retry: c.settings.Retry, Wait: c.settings.Wait},
			claim.Request{
				Organisation: k.Organisation, Key: k.Key, Attempt: uuid.NewString(),
				Instance: c.options.Instance, Deadline: k.Deadline, Resend: k.Resend,
			}),
	}
	begin := c.options.Now()
	err = t.run(ctx, c.ctx)
	c.options.Scope.Timer("claim-time").Record(c.options.Now().Sub(begin))
	if err != nil {
		return nil, err
	}
	return t, nil
}

// Flush returns when all voids and outcomes are in the log, for a planned stop.
func (c *Claimer) Flush(ctx context.Context) error {
	for {
		n := 0
		c.mu.Lock()
		for _, p := range c.parts {
			if p != nil {
				n += p.keptLen()
			}
		}
		c.mu.Unlock()
		if n == 0 {
			return nil
		}
		pause(ctx, c.settings.FlushIdle)
		if err := ctx.Err(); err != nil {
			return &Error{Op: "flush claims", Kind: ErrLogUnavailable, Err: fmt.Errorf("%d records are not in the log: %w", n, err)}
		}
	}
}

func (c *Claimer) partition(k Key) *partition {
	n := xxhash.Sum64String(k.Organisation+"\x00"+k.Key) % Partitions
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.parts[n]
	if p == nil {
		p = newPartition(c.options, c.settings, c.limit, fmt.Sprintf("claims-%02d", n))
		c.parts[n] = p
		c.wg.Go(func() { follow(c.ctx, c.options, p.stream, p) })
		c.wg.Go(func() { p.appendLoop(c.ctx) })
	}
	return p
}

// Ticket is one attempt to run a key.
type Ticket struct {
	part     *partition
	now      func() time.Time
	recorder Recorder
	key      Key

	mu      sync.Mutex
	machine *claim.Claimant
	outcome *record.Outcome
}

// Outcome returns the outcome of an earlier attempt, or nil if the request may be sent.
func (t *Ticket) Outcome() *record.Outcome { return t.outcome }

// Send must return nil right before the request is sent. It allows one send, or several if the key may be resent.
func (t *Ticket) Send() error {
	o := t.step(claim.Event{Kind: claim.Send})
	if o.Allow {
		t.recorder.Event("claim-sent", "organisation", t.key.Organisation, "key", t.key.Key)
		return nil
	}
	if o.Result != "" {
		return t.fault(o.Result)
	}
	return &Error{Op: "send", Kind: ErrState, Err: errors.New("the attempt was sent or has ended")}
}

// Finish states the outcome of the request that was sent.
func (t *Ticket) Finish(o record.Outcome) { t.step(claim.Event{Kind: claim.Finish, Outcome: &o}) }

// Lose states that the answer to the request that was sent is lost.
func (t *Ticket) Lose() { t.step(claim.Event{Kind: claim.Lose}) }

// Void gives the key free if the request was not sent; afterwards it can't be. After a send it is the same as Lose.
// It reports whether "not run" is true: no attempt under the key can have run.
func (t *Ticket) Void() bool { return t.step(claim.Event{Kind: claim.Abandon}).Result == claim.NotRun }

// run steps the attempt until it may send or has ended.
func (t *Ticket) run(ctx, life context.Context) error {
	attempt, rulings := t.machine.Attempt(), make(chan claim.Ruling, 1)
	t.part.register(attempt, rulings)
	defer t.part.unregister(attempt)
	o := t.step(claim.Event{Kind: claim.Start})
	for o.Result == "" {
		timer := time.NewTimer(t.machine.Wake().Sub(t.now()))
		var e claim.Event
		select {
		case r := <-rulings:
			e = claim.Event{Kind: claim.Ruled, Ruling: r}
		case <-timer.C:
			e = claim.Event{Kind: claim.Tick}
		case <-ctx.Done():
			e = claim.Event{Kind: claim.Abandon}
		case <-life.Done():
			e = claim.Event{Kind: claim.Abandon}
		}
		timer.Stop()
		o = t.step(e)
	}
	t.recorder.Event("claim-decided", "organisation", t.key.Organisation, "key", t.key.Key, "result", string(o.Result))
	t.part.count(o.Result)
	if o.Result == claim.MaySend || o.Result == claim.OutcomeKnown {
		t.outcome = o.Outcome
		return nil
	}
	if o.Result == claim.NotRun && ctx.Err() != nil {
		return &Error{Op: "claim", Kind: ErrDeadline, Err: ctx.Err()}
	}
	return t.fault(o.Result)
}

func (t *Ticket) step(e claim.Event) claim.Output {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Kind == claim.Start || e.Kind == claim.Tick {
		e.Holder = t.part.holder(t.key)
	}
	e.LogNow = t.part.logTime()
	o := t.machine.Step(t.now(), e)
	t.part.enqueue(o)
	return o
}

func (t *Ticket) fault(r claim.Result) error {
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
