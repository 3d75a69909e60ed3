package changefeed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// Record is a keyed record of a topic; an empty value removes the key.
type Record struct {
	Key      string
	Value    []byte
	Position Position
}

// Batch is the result of a read.
type Batch struct {
	Records  []Record
	Next     Position // at which the next read starts
	Trimmed  bool     // the store does not have the records at the requested position; a snapshot is to be read
	Evidence Evidence
}

// Evidence says where records come from and how recent they are.
type Evidence struct {
	Origin string    // OriginStore, or the address of the instance that passed the records on
	Basis  Basis     // how AsOf is known
	AsOf   time.Time // the records include all that the store had at this time; zero if that is not known
}

// OriginStore is the origin of records that this instance has read itself.
const OriginStore = "store"

// Basis is the way in which an instance knows how recent records are.
type Basis string

// Bases of evidence.
const (
	BasisNone      Basis = "none"      // another instance sent the records, and no call of this one tells their age
	BasisRead      Basis = "read"      // a call of this instance to the store
	BasisConfirmed Basis = "confirmed" // a call of this instance to the one that sent the records
)

// Source reads the records of one topic.
type Source interface {
	// Snapshot returns the newest record of each key and the position from which to read later changes.
	Snapshot(ctx context.Context) (Batch, error)
	// Read returns the records from a position on. If there are none, it waits for one until the wait is over.
	Read(ctx context.Context, from Position, wait time.Duration) (Batch, error)
}

// Update is the result of one call to the store.
type Update struct {
	Records    []Record
	IsSnapshot bool      // Records is a snapshot with the newest record of each existing key
	Next       Position  // at which the next read starts
	Return     *Return   // set for the first snapshot after the store has come back from an older copy
	CalledAt   time.Time // start of the call
	Evidence   Evidence  // of the records
	Err        error     // set if the call failed
}

// Return describes that the store has come back from an older copy.
type Return struct {
	From Position // at which the next read would have started
}

// Options sets the timing of a follower's calls to the store.
type Options struct {
	Wait    time.Duration // how long the store waits for a record before it returns an empty result
	Timeout time.Duration // of a call, in addition to Wait
	// SnapshotTimeout is the timeout of a snapshot, which may take several calls; Timeout if zero.
	SnapshotTimeout time.Duration
	RetryInterval   time.Duration // mean time from the start of a failed call to the next call; doubles with each failure, up to MaxRetryInterval
	// MaxRetryInterval is the upper limit of RetryInterval. It limits the load that many instances put on a store that
	// refuses their calls.
	MaxRetryInterval time.Duration
}

// retryJitter is the fraction by which the time to a retry varies at random, as many instances lose the store at the same
// time.
const retryJitter = 0.25

// Follower reads one topic continuously and passes its records on.
type Follower struct {
	source  Source
	options Options
	emit    func(Update)
	restart chan struct{}
}

// NewFollower returns a follower that passes each update to emit, from a single goroutine.
func NewFollower(s Source, o Options, emit func(Update)) *Follower {
	return &Follower{source: s, options: o, emit: emit, restart: make(chan struct{}, 1)}
}

// Restart cancels a pending call and reads again, as a call that was pending when the store failed may never get a
// response.
func (f *Follower) Restart() {
	select {
	case f.restart <- struct{}{}:
	default:
	}
}

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var next Position
	known, loaded, failed, retry := false, false, false, f.options.RetryInterval
	for ctx.Err() == nil {
		u, trimmed, cancelled := f.call(ctx, loaded, next, failed)
		if ctx.Err() != nil {
			return
		}
		if cancelled {
			continue
		}
		delay := time.Duration(0)
		if u.Err == nil && !trimmed && known && u.Next.Era < next.Era {
			u.Err = errOldEra
		}
		failed = u.Err != nil
		switch {
		case u.Err != nil:
			// The duration of the failed call counts towards the retry time. So the return of the store is noticed
			// within the longer of the call's timeout and the retry time, not within their sum.
			delay = time.Duration((1-retryJitter+2*retryJitter*rand.Float64())*float64(retry)) - time.Since(u.CalledAt)
			retry = min(2*retry, max(f.options.RetryInterval, f.options.MaxRetryInterval))
		case trimmed || loaded && u.Next.Era > next.Era:
			loaded, trimmed = false, true
		default:
			if known && u.Next.Era > next.Era {
				u.Return = &Return{From: next}
			}
			known, loaded, next, retry = true, true, u.Next, f.options.RetryInterval
		}
		if !trimmed {
			f.emit(u)
		}
		f.sleep(ctx, delay)
	}
}

// errOldEra states that a source still has the records of before a return of the store.
var errOldEra = errors.New("records of an earlier era")

// call makes one call to the store. It reports whether a snapshot is to be read instead, and whether Restart cancelled the call.
func (f *Follower) call(ctx context.Context, loaded bool, next Position, failed bool) (u Update, trimmed, cancelled bool) {
	wait := time.Duration(0)
	// After a failed call the store is read without a wait. A call that waits would be pending for longest just when
	// the store returns.
	if loaded && !failed {
		wait = f.options.Wait
	}
	timeout := wait + f.options.Timeout
	if !loaded {
		timeout = max(timeout, f.options.SnapshotTimeout)
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	u = Update{CalledAt: time.Now(), IsSnapshot: !loaded}
	done := make(chan struct{})
	var b Batch
	go func() {
		defer close(done)
		if loaded {
			b, u.Err = f.source.Read(callCtx, next, wait)
		} else {
			b, u.Err = f.source.Snapshot(callCtx)
		}
	}()
	restarted := false
	select {
	case <-done:
	case <-f.restart:
		restarted = true
		cancel()
		<-done
	}
	u.Records, u.Next, u.Evidence = b.Records, b.Next, b.Evidence
	if u.Evidence.Basis == "" { // the source is the store itself
		u.Evidence = Evidence{Origin: OriginStore, Basis: BasisRead, AsOf: u.CalledAt}
	}
	return u, b.Trimmed, restarted && u.Err != nil
}

// sleep waits for a time, or until the context ends or Restart is called.
func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-f.restart:
	}
}
