package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Stream is the name of the config stream.
const Stream = "config"

const pageSize = 500 // records of one read

// Settings bounds the follower.
type Settings struct {
	Wait          time.Duration // of one read for new records; well below the freshness bound
	Timeout       time.Duration // of one call beyond its wait
	Retry         time.Duration // after a failed read
	SnapshotEvery uint64        // records between two snapshots
	SnapshotAge   time.Duration // between two snapshots; well below the log's retention
}

// DefaultSettings suits a freshness bound of 5 s.
func DefaultSettings() Settings {
	return Settings{Wait: time.Second, Timeout: time.Second, Retry: 100 * time.Millisecond, SnapshotEvery: 400, SnapshotAge: 6 * time.Hour}
}

// Follower folds the config stream into the catalog in force.
type Follower struct {
	s      Settings
	log    platform.Log
	logger *zap.Logger
	notify func(*profile.Catalog)
	onRead func(sent time.Time, next platform.Offset)
	state  atomic.Pointer[profile.Catalog]
	read   atomic.Int64 // start of the last successful read that reached the end, in Unix nanoseconds
	down   atomic.Bool
	jitter float64

	putting sync.Mutex // orders changes of state with their notifications

	mu    sync.Mutex
	waits map[string]chan verdict
}

type verdict struct {
	revision uint64
	err      error
}

// NewFollower returns a follower. From Run it calls notify with each new catalog, and onRead with the start and the
// end of the stream of each successful read; both may be nil.
func NewFollower(s Settings, l platform.Log, logger *zap.Logger, notify func(*profile.Catalog), onRead func(time.Time, platform.Offset)) *Follower {
	f := &Follower{
		s: s, log: l, logger: logger, notify: notify, onRead: onRead, waits: map[string]chan verdict{},
		jitter: 1 + rand.Float64()/2, // so that instances don't write the same snapshot at once
	}
	f.state.Store(profile.New())
	return f
}

// Catalog returns the catalog in force.
func (f *Follower) Catalog() *profile.Catalog { return f.state.Load() }

// LastRead returns when the catalog was last known to be the newest.
func (f *Follower) LastRead() time.Time { return time.Unix(0, f.read.Load()) }

// Down reports whether the last read of the log failed.
func (f *Follower) Down() bool { return f.down.Load() }

// Seed puts a peer's snapshot in force if it is newer than the own catalog.
func (f *Follower) Seed(ch record.Change) error {
	c, err := profile.Restore(ch)
	if err != nil {
		return &Error{Op: "seed", Kind: ErrSnapshot, Err: err}
	}
	f.put(c)
	return nil
}

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.turn(ctx)
		f.down.Store(err != nil)
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.logger.Warn("catalog: The config stream can't be read.", zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(f.s.Retry):
		}
	}
}

func (f *Follower) turn(ctx context.Context) error {
	start := time.Now()
	p, err := f.page(ctx, platform.Offset(f.Catalog().Next), f.s.Wait)
	var e *platform.Error
	if errors.As(err, &e) && e.Kind == platform.ErrTrimmed {
		return f.restore(ctx, p.First)
	}
	if err != nil {
		return err
	}
	for _, x := range p.Entries {
		f.fold(x)
	}
	if f.onRead != nil {
		f.onRead(start, p.Next)
	}
	if f.Catalog().Next >= uint64(p.Next) {
		f.read.Store(start.UnixNano())
	}
	if f.snapshotDue(p.Now) {
		f.writeSnapshot(ctx)
	}
	return nil
}

func (f *Follower) page(ctx context.Context, from platform.Offset, wait time.Duration) (platform.Page, error) {
	x, cancel := context.WithTimeout(ctx, wait+f.s.Timeout)
	defer cancel()
	return f.log.Read(x, Stream, from, pageSize, wait)
}

// restore looks for a snapshot that covers everything below the oldest record kept.
func (f *Follower) restore(ctx context.Context, first platform.Offset) error {
	for o := first; ; {
		p, err := f.page(ctx, o, 0)
		if err != nil {
			return err
		}
		for _, x := range p.Entries {
			var ch record.Change
			if json.Unmarshal(x.Data, &ch) != nil || ch.Kind != record.SnapshotWritten || ch.Covers < uint64(p.First) {
				continue
			}
			return f.Seed(ch)
		}
		o += platform.Offset(len(p.Entries))
		if len(p.Entries) == 0 {
			return &Error{Op: "restore", Kind: ErrSnapshot, Err: errors.New("the log keeps no usable snapshot")}
		}
	}
}

func (f *Follower) fold(x platform.Entry) {
	var ch record.Change
	if err := json.Unmarshal(x.Data, &ch); err != nil {
		f.logger.Warn("catalog: A record can't be decoded.", zap.Uint64("offset", uint64(x.Offset)), zap.Error(err))
		f.put(f.Catalog().Skip(uint64(x.Offset)))
		return
	}
	c, err := f.Catalog().Apply(uint64(x.Offset), x.Time, ch)
	f.put(c)
	f.settle(ch, c.Next, err)
}

// put takes a catalog into force unless a newer one is: a peer's snapshot may come while a page is folded.
func (f *Follower) put(c *profile.Catalog) {
	f.putting.Lock()
	defer f.putting.Unlock()
	old := f.state.Load()
	if c == old || c.Next < old.Next {
		return
	}
	f.state.Store(c)
	if f.notify != nil {
		f.notify(c)
	}
}

// settle answers the publisher of a change. Only the first copy of a record counts: a repeated one has a stale base.
func (f *Follower) settle(ch record.Change, revision uint64, err error) {
	f.mu.Lock()
	w, ok := f.waits[ch.ID]
	delete(f.waits, ch.ID)
	f.mu.Unlock()
	if ok {
		w <- verdict{revision, f.refusal(ch, err)}
	}
}

func (f *Follower) refusal(ch record.Change, err error) error {
	if err == nil {
		return nil
	}
	var e *profile.Error
	if errors.As(err, &e) && e.Kind == profile.ErrStale {
		out := &Error{Op: "publish", Kind: ErrConflict, Err: err}
		if h := f.Catalog().History[profile.Object(ch.Kind, ch.Name)]; len(h) > 0 {
			out.Winner = h[len(h)-1]
		}
		return out
	}
	return &Error{Op: "publish", Kind: ErrRefused, Err: err}
}

// Publish appends a change and returns its revision once the fold has accepted it.
// A lost append reply is resolved by reading the record back; the append is repeated if it doesn't appear.
func (f *Follower) Publish(ctx context.Context, ch record.Change) (uint64, error) {
	if ch.ID == "" {
		ch.ID = uuid.NewString()
	}
	b, err := json.Marshal(ch)
	if err != nil {
		return 0, &Error{Op: "publish", Kind: ErrRefused, Err: err}
	}
	w := make(chan verdict, 1)
	f.mu.Lock()
	f.waits[ch.ID] = w
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.waits, ch.ID)
		f.mu.Unlock()
	}()
	for {
		x, cancel := context.WithTimeout(ctx, f.s.Wait+f.s.Timeout)
		_, err = f.log.Append(x, Stream, b)
		cancel()
		select {
		case v := <-w:
			return v.revision, v.err
		case <-ctx.Done():
			return 0, &Error{Op: "publish", Kind: ErrUnknown, Err: errors.Join(ctx.Err(), err)}
		case <-time.After(2 * (f.s.Wait + f.s.Timeout)):
		}
	}
}

// snapshotDue reports whether retention could remove records that no snapshot covers.
func (f *Follower) snapshotDue(now time.Time) bool {
	c := f.Catalog()
	if c.SnapshotTime.IsZero() {
		return false
	}
	return float64(c.Next-c.SnapshotAt) > f.jitter*float64(f.s.SnapshotEvery) ||
		now.Sub(c.SnapshotTime).Seconds() > f.jitter*f.s.SnapshotAge.Seconds()
}

func (f *Follower) writeSnapshot(ctx context.Context) {
	ch, err := f.Catalog().Snapshot(uuid.NewString())
	if err != nil {
		f.logger.Error("catalog: The snapshot can't be encoded.", zap.Error(err))
		return
	}
	b, err := json.Marshal(ch)
	if err != nil {
		f.logger.Error("catalog: The snapshot can't be encoded.", zap.Error(err))
		return
	}
	x, cancel := context.WithTimeout(ctx, f.s.Timeout)
	defer cancel()
	if _, err := f.log.Append(x, Stream, b); err != nil {
		f.logger.Warn("catalog: The snapshot can't be appended.", zap.Error(err))
	}
}
