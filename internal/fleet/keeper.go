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

	"github.com/cassiaspoke/cassiaspoke/internal/core/lease"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	stream    = "leases"
	readLimit = 500 // records in one read
)

// KeeperSettings are the constants of a keeper.
type KeeperSettings struct {
	ID        string
	Term      time.Duration          // length of a lease
	Poll      time.Duration          // wait of a read, and pause after a failed one
	Candidate func(duty string) bool // whether this instance may ask for a duty; nil lets it ask for each
}

// DefaultKeeperSettings returns the settings used in service. A term of 15 s keeps the appends of a duty at one in
// 5 s and hands it over within 15 s after a holder's death.
func DefaultKeeperSettings(id string) KeeperSettings {
	return KeeperSettings{ID: id, Term: 15 * time.Second, Poll: time.Second}
}

// Keeper takes and renews leases over the log.
type Keeper struct {
	s     KeeperSettings
	log   platform.Log
	zap   *zap.Logger
	scope tally.Scope

	lock    sync.Mutex
	book    *lease.Book
	waiting map[string]chan answer // by record id
	grown   chan struct{}
}

type answer struct {
	offset  uint64
	verdict lease.Verdict
}

// NewKeeper returns a keeper; Run must run while it is in use.
func NewKeeper(s KeeperSettings, log platform.Log, z *zap.Logger, scope tally.Scope) *Keeper {
	return &Keeper{
		s: s, log: log, zap: z, scope: scope,
		book: lease.NewBook(0), waiting: map[string]chan answer{}, grown: make(chan struct{}),
	}
}

// Run folds the leases stream until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.read(ctx); err != nil {
			k.zap.Debug("fleet: Leases could not be read.", zap.Error(err))
			sleep(ctx, k.s.Poll)
		}
	}
}

func (k *Keeper) read(ctx context.Context) error {
	k.lock.Lock()
	from := k.book.Next()
	k.lock.Unlock()
	p, err := k.log.Read(ctx, stream, platform.Offset(from), readLimit, k.s.Poll)
	var e *platform.Error
	if errors.As(err, &e) && e.Kind == platform.ErrTrimmed {
		k.zap.Warn("fleet: Leases were trimmed.", zap.Uint64("from", from), zap.Uint64("oldest", uint64(p.First)))
		k.lock.Lock()
		k.book = lease.NewBook(uint64(p.First))
		k.lock.Unlock()
		return nil
	}
	if err != nil {
		return &Error{Op: "read", Kind: ErrFailed, Err: err}
	}
	k.fold(p)
	return nil
}

func (k *Keeper) fold(p platform.Page) {
	k.lock.Lock()
	defer k.lock.Unlock()
	for _, e := range p.Entries {
		v := k.book.Apply(uint64(e.Offset), e.Time, e.Data)
		var r lease.Record
		if json.Unmarshal(e.Data, &r) != nil {
			continue
		}
		// The first copy of a record whose append was repeated decides.
		if w, ok := k.waiting[r.ID]; ok {
			w <- answer{uint64(e.Offset), v}
			delete(k.waiting, r.ID)
		}
	}
	if k.book.Next() >= uint64(p.Next) {
		k.book.Clock(p.Now)
	}
	close(k.grown)
	k.grown = make(chan struct{})
}

// free reports whether the duty may be asked for, and a channel that is closed at the next read.
func (k *Keeper) free(duty string) (bool, <-chan struct{}) {
	k.lock.Lock()
	defer k.lock.Unlock()
	may := k.s.Candidate == nil || k.s.Candidate(duty)
	return may && !k.book.Now().IsZero() && k.book.Free(duty, k.book.Now()), k.grown
}

// append appends a record and returns what the fold makes of it; it returns ErrUnknown at the deadline.
func (k *Keeper) append(ctx context.Context, r lease.Record, limit time.Duration) (answer, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r.ID = uuid.NewString()
	data, err := json.Marshal(r)
	if err != nil {
		return answer{}, time.Time{}, &Error{Op: string(r.Kind), Kind: ErrFailed, Err: err}
	}
	w := make(chan answer, 1)
	k.lock.Lock()
	k.waiting[r.ID] = w
	k.lock.Unlock()
	defer func() {
		k.lock.Lock()
		delete(k.waiting, r.ID)
		k.lock.Unlock()
	}()
	sent := time.Now()
	if _, err := k.log.Append(ctx, stream, data); err != nil {
		k.scope.Counter("lease-append-errors").Inc(1) // it may have taken effect: the fold tells
	}
	select {
	case a := <-w:
		return a, sent, nil
	case <-ctx.Done():
		return answer{}, sent, &Error{Op: string(r.Kind), Kind: ErrUnknown, Err: ctx.Err()}
	}
}

// Grant is a lease that is held; its token goes with every command.
type Grant struct {
	Duty  string
	Token uint64
	term  atomic.Pointer[lease.Term]
}

// Acts reports whether the holder may act now; ask before every act.
func (g *Grant) Acts() bool { return g.term.Load().Acts(time.Now()) }

// Hold takes the duty whenever it is free and runs work while it is held, until the context ends.
// The context of work ends some time before the lease does. After a pause of the process, work may still act
// once after that: its commands carry the token, and they are idempotent.
func (k *Keeper) Hold(ctx context.Context, duty string, work func(context.Context, *Grant) error) {
	for ctx.Err() == nil {
		free, grown := k.free(duty)
		if !free {
			select {
			case <-ctx.Done():
			case <-grown:
			}
			continue
		}
		r := lease.Record{Kind: lease.Acquire, Duty: duty, Holder: k.s.ID, Term: record.Duration(k.s.Term)}
		a, sent, err := k.append(ctx, r, k.s.Term)
		if err != nil || a.verdict != lease.Granted {
			sleep(ctx, k.s.Poll)
			continue
		}
		k.hold(ctx, duty, a.offset, sent, work)
	}
}

// hold runs work under a granted lease and returns when it is lost or given back.
func (k *Keeper) hold(ctx context.Context, duty string, token uint64, sent time.Time, work func(context.Context, *Grant) error) {
	g := &Grant{Duty: duty, Token: token}
	t := lease.NewTerm(duty, token, sent, k.s.Term)
	g.term.Store(&t)
	k.zap.Info("fleet: Lease taken.", zap.String("duty", duty), zap.Uint64("token", token))
	inner, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- work(inner, g) }()
	err := k.renew(inner, g, done)
	cancel()
	if !errors.Is(err, errDone) {
		err = errors.Join(err, <-done)
	}
	k.zap.Info("fleet: Lease left.", zap.String("duty", duty), zap.Uint64("token", token), zap.Error(err))
	if g.Acts() {
		end := lease.NoTerm(duty)
		g.term.Store(&end)
		r := lease.Record{Kind: lease.Release, Duty: duty, Holder: k.s.ID, Token: token}
		_, _, _ = k.append(context.WithoutCancel(ctx), r, k.s.Poll) // without effect, the lease lapses
	}
}

var errDone = errors.New("work ended")

// renew keeps the lease until it is lost, work ends or the context does.
func (k *Keeper) renew(ctx context.Context, g *Grant, done <-chan error) error {
	for {
		t := *g.term.Load()
		wait := time.NewTimer(time.Until(t.Renew))
		select {
		case <-ctx.Done():
			wait.Stop()
			return ctx.Err()
		case err := <-done:
			wait.Stop()
			return errors.Join(errDone, err)
		case <-wait.C:
		}
		if !g.Acts() {
			return &Error{Op: "renew", Kind: ErrLost, Err: fmt.Errorf("not renewed before %v", t.Stop)}
		}
		r := lease.Record{Kind: lease.Renew, Duty: g.Duty, Holder: k.s.ID, Token: g.Token, Term: record.Duration(k.s.Term)}
		a, sent, err := k.append(ctx, r, min(k.s.Term/4, time.Until(t.Stop)))
		switch {
		case err != nil: // try again until Stop
			n := t
			n.Renew = time.Now().Add(k.s.Term / 20)
			g.term.Store(&n)
		case a.verdict != lease.Renewed:
			return &Error{Op: "renew", Kind: ErrLost, Err: fmt.Errorf("the log says %s", a.verdict)}
		default:
			n := lease.NewTerm(g.Duty, g.Token, sent, k.s.Term)
			g.term.Store(&n)
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
