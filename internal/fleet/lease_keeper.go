package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/core/lease"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	leaseStream = "leases"
	readLimit   = 500 // maximum number of records in one read
)

// LeaseKeeperSettings configures a LeaseKeeper.
type LeaseKeeperSettings struct {
	InstanceID   string
	Term         time.Duration          // duration of a lease
	PollInterval time.Duration          // maximum wait of a read for new records, and pause after a failed read
	MayAcquire   func(duty string) bool // reports whether this instance may acquire a duty; nil allows every duty
}

// DefaultLeaseKeeperSettings returns the production settings. With a term of 15 s, each duty costs one append in 5 s,
// and another instance takes it over within 15 s after its holder fails.
func DefaultLeaseKeeperSettings(id string) LeaseKeeperSettings {
	return LeaseKeeperSettings{InstanceID: id, Term: 15 * time.Second, PollInterval: time.Second}
}

// LeaseKeeper acquires and renews leases by records in the log.
type LeaseKeeper struct {
	settings LeaseKeeperSettings
	log      platform.Log
	logger   *zap.Logger
	scope    tally.Scope

	mu             sync.Mutex
	leases         *lease.State
	pendingAppends map[string]chan appendResult // by record id
	updated        chan struct{}                // closed and replaced after each read
}

// appendResult is the position of an appended record, which is the token of a lease that it grants, and the result of applying it.
type appendResult struct {
	token  uint64
	result lease.Result
}

// NewLeaseKeeper returns a keeper. FollowStream must run as long as the keeper is in use.
func NewLeaseKeeper(s LeaseKeeperSettings, log platform.Log, logger *zap.Logger, scope tally.Scope) *LeaseKeeper {
	return &LeaseKeeper{
		settings: s, log: log, logger: logger, scope: scope,
		leases: lease.NewState(0), pendingAppends: map[string]chan appendResult{}, updated: make(chan struct{}),
	}
}

// FollowStream reads the leases stream and applies its records until the context ends.
func (k *LeaseKeeper) FollowStream(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.readStream(ctx); err != nil {
			k.logger.Debug("fleet: The leases stream could not be read.", zap.Error(err))
			sleep(ctx, k.settings.PollInterval)
		}
	}
}

func (k *LeaseKeeper) readStream(ctx context.Context) error {
	k.mu.Lock()
	from, era := k.leases.Next(), k.leases.Era()
	k.mu.Unlock()
	p, err := k.log.Read(ctx, leaseStream, platform.Offset(from), readLimit, k.settings.PollInterval)
	var e *platform.Error
	trimmed := errors.As(err, &e) && e.Kind == platform.ErrTrimmed
	switch {
	case err != nil && !trimmed:
		return &Error{Op: "read", Kind: ErrFailed, Err: err}
	case p.Era < era:
		return &Error{Op: "read", Kind: ErrFailed, Err: fmt.Errorf("page of era %d after %d", p.Era, era)}
	case p.ReturnedSince(era, platform.Offset(from)):
		start := p.EraStart
		if p.Era == era {
			start = p.Now
		}
		k.logger.Warn("fleet: The log has returned from an older copy.", zap.Uint64("era-before", era), zap.Uint64("era", p.Era),
			zap.Uint64("offset-before", from), zap.Uint64("offset", uint64(p.End)))
		k.mu.Lock()
		k.leases = lease.NewStateAfterReturn(uint64(p.Oldest), p.Era, start)
		k.mu.Unlock()
		return nil
	case trimmed:
		k.logger.Warn("fleet: The leases stream was trimmed past the read position.", zap.Uint64("from", from), zap.Uint64("oldest", uint64(p.Oldest)))
		k.mu.Lock()
		k.leases = lease.NewStateAfterReturn(uint64(p.Oldest), p.Era, p.EraStart)
		k.mu.Unlock()
		return nil
	}
	k.applyPage(p)
	return nil
}

// applyPage applies the records of a page and delivers their results to the appends that wait for them.
func (k *LeaseKeeper) applyPage(p platform.Page) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range p.Entries {
		token := config.Position(e.Era, uint64(e.Offset))
		v := k.leases.ApplyRecord(token, uint64(e.Offset), e.Time, e.Data)
		var r lease.Record
		if json.Unmarshal(e.Data, &r) != nil {
			continue
		}
		// If a repeated append left several copies of a record, the first copy determines the result.
		if result, ok := k.pendingAppends[r.ID]; ok {
			result <- appendResult{token, v}
			delete(k.pendingAppends, r.ID)
		}
	}
	if k.leases.Next() >= uint64(p.End) {
		k.leases.AdvanceClock(p.Now)
	}
	close(k.updated)
	k.updated = make(chan struct{})
}

// canAcquire reports whether this instance may acquire the duty now, and returns a channel that the next read closes.
func (k *LeaseKeeper) canAcquire(duty string) (bool, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	allowed := k.settings.MayAcquire == nil || k.settings.MayAcquire(duty)
	return allowed && !k.leases.Now().IsZero() && k.leases.Available(duty, k.leases.Now()), k.updated
}

// appendRecord appends a record and returns the result of applying it and the time when it was sent. It returns
// ErrOutcomeUnknown if the record has not been read back within the timeout.
func (k *LeaseKeeper) appendRecord(ctx context.Context, r lease.Record, timeout time.Duration) (appendResult, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.ID = uuid.NewString()
	data, err := json.Marshal(r)
	if err != nil {
		return appendResult{}, time.Time{}, &Error{Op: string(r.Kind), Kind: ErrFailed, Err: err}
	}
	result := make(chan appendResult, 1)
	k.mu.Lock()
	k.pendingAppends[r.ID] = result
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.pendingAppends, r.ID)
		k.mu.Unlock()
	}()
	sent := time.Now()
	if _, err := k.log.Append(ctx, leaseStream, data); err != nil {
		k.scope.Counter("lease-append-errors").Inc(1) // it may have taken effect, so wait until the record is read
	}
	select {
	case a := <-result:
		return a, sent, nil
	case <-ctx.Done():
		return appendResult{}, sent, &Error{Op: string(r.Kind), Kind: ErrOutcomeUnknown, Err: ctx.Err()}
	}
}

// HeldLease is a lease that this instance holds. Every command carries its fencing token.
type HeldLease struct {
	Duty  string
	Token uint64
	term  atomic.Pointer[lease.HeldLease] // replaced by each renewal
}

// Valid reports whether the holder may act now. Check it before every action.
func (h *HeldLease) Valid() bool { return h.term.Load().Valid(time.Now()) }

// HoldLease acquires the duty whenever it is available and runs work while the lease is held, until the context ends.
// It cancels the context of work some time before the lease ends. After a pause of the process, work may still perform
// one action later than that. This is safe because its commands carry the fencing token and are idempotent.
func (k *LeaseKeeper) HoldLease(ctx context.Context, duty string, work func(context.Context, *HeldLease) error) {
	for ctx.Err() == nil {
		available, updated := k.canAcquire(duty)
		if !available {
			select {
			case <-ctx.Done():
			case <-updated:
			}
			continue
		}
		r := lease.Record{Kind: lease.Acquire, Duty: duty, Holder: k.settings.InstanceID, Term: record.Duration(k.settings.Term)}
		a, sent, err := k.appendRecord(ctx, r, k.settings.Term)
		if err != nil || a.result != lease.Granted {
			sleep(ctx, k.settings.PollInterval)
			continue
		}
		k.runWithLease(ctx, duty, a.token, sent, work)
	}
}

// runWithLease runs work under a granted lease. It returns when work ends or the lease is lost, and releases the lease
// if it is still valid.
func (k *LeaseKeeper) runWithLease(ctx context.Context, duty string, token uint64, sent time.Time, work func(context.Context, *HeldLease) error) {
	h := &HeldLease{Duty: duty, Token: token}
	t := lease.NewHeldLease(duty, token, sent, k.settings.Term)
	h.term.Store(&t)
	k.logger.Info("fleet: The lease was acquired.", zap.String("duty", duty), zap.Uint64("token", token))
	workCtx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- work(workCtx, h) }()
	err := k.renewLease(workCtx, h, done)
	cancel()
	if !errors.Is(err, errWorkEnded) {
		err = errors.Join(err, <-done)
	}
	k.logger.Info("fleet: The lease is no longer held.", zap.String("duty", duty), zap.Uint64("token", token), zap.Error(err))
	if h.Valid() {
		ended := lease.NoHeldLease(duty)
		h.term.Store(&ended)
		r := lease.Record{Kind: lease.Release, Duty: duty, Holder: k.settings.InstanceID, Token: token}
		// If the release has no effect, the lease expires.
		_, _, _ = k.appendRecord(context.WithoutCancel(ctx), r, k.settings.PollInterval)
	}
}

var errWorkEnded = errors.New("work ended")

// renewLease renews the lease until it is lost, work ends or the context ends.
func (k *LeaseKeeper) renewLease(ctx context.Context, h *HeldLease, done <-chan error) error {
	for {
		t := *h.term.Load()
		timer := time.NewTimer(time.Until(t.RenewAt))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case err := <-done:
			timer.Stop()
			return errors.Join(errWorkEnded, err)
		case <-timer.C:
		}
		if !h.Valid() {
			return &Error{Op: "renew", Kind: ErrLeaseLost, Err: fmt.Errorf("the lease was not renewed before %v", t.ValidUntil)}
		}
		r := lease.Record{Kind: lease.Renew, Duty: h.Duty, Holder: k.settings.InstanceID, Token: h.Token, Term: record.Duration(k.settings.Term)}
		a, sent, err := k.appendRecord(ctx, r, min(k.settings.Term/4, time.Until(t.ValidUntil)))
		switch {
		case err != nil: // retry until ValidUntil of the lease
			n := t
			n.RenewAt = time.Now().Add(k.settings.Term / 20)
			h.term.Store(&n)
		case a.result != lease.Renewed:
			return &Error{Op: "renew", Kind: ErrLeaseLost, Err: fmt.Errorf("the renewal was refused: %s", a.result)}
		default:
			n := lease.NewHeldLease(h.Duty, h.Token, sent, k.settings.Term)
			h.term.Store(&n)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
