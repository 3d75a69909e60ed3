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

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// ConfigStream is the name of the config stream.
const ConfigStream = "config"

const pageSize = 500 // maximum number of records per read

// Settings holds the timeouts and the snapshot intervals of a follower.
type Settings struct {
	ReadWait        time.Duration // how long the log holds a read open for new records; well below the freshness bound
	CallTimeout     time.Duration // of a call to the log, in addition to ReadWait
	RetryDelay      time.Duration // between a failed read and the next one
	SnapshotRecords uint64        // number of records after which a new snapshot is due
	SnapshotAge     time.Duration // age at which a new snapshot is due; well below the log's retention
}

// DefaultSettings returns settings for a freshness bound of 5 s.
func DefaultSettings() Settings {
	return Settings{
		ReadWait: time.Second, CallTimeout: time.Second, RetryDelay: 100 * time.Millisecond,
		SnapshotRecords: 400, SnapshotAge: 6 * time.Hour,
	}
}

// Follower reads the config stream, applies its changes to the catalog in force, and publishes changes.
type Follower struct {
	settings   Settings
	log        platform.Log
	logger     *zap.Logger
	onChange   func(*config.Catalog)
	onRead     func(start time.Time, end platform.Offset)
	catalog    atomic.Pointer[config.Catalog]
	lastRead   atomic.Int64 // start of the last successful read that reached the end of the stream, in Unix nanoseconds
	readFailed atomic.Bool  // whether the last read failed
	jitter     float64      // factor on the snapshot intervals, so that instances don't write the same snapshot at once

	installMu sync.Mutex // held while a catalog replaces another one, so that onChange sees them in order

	mu      sync.Mutex
	pending map[string]chan publishResult // by ID of the change

	recent []recentChange // oldest first; used by the goroutine of Run alone
}

// publishResult is the result of a published change once its record has been read back from the log.
type publishResult struct {
	revision uint64
	err      error
}

// NewFollower returns a follower. It calls onChange with each new catalog, and after each successful read it calls
// onRead with the time at which the read started and the end of the stream. Both may be nil.
func NewFollower(s Settings, l platform.Log, logger *zap.Logger, onChange func(*config.Catalog), onRead func(time.Time, platform.Offset)) *Follower {
	f := &Follower{
		settings: s, log: l, logger: logger, onChange: onChange, onRead: onRead, pending: map[string]chan publishResult{},
		jitter: 1 + rand.Float64()/2,
	}
	f.catalog.Store(config.NewCatalog())
	return f
}

// Catalog returns the catalog in force.
func (f *Follower) Catalog() *config.Catalog { return f.catalog.Load() }

// LastRead returns the time at which the catalog was last known to be up to date.
func (f *Follower) LastRead() time.Time { return time.Unix(0, f.lastRead.Load()) }

// ReadFailed reports whether the last read of the log failed.
func (f *Follower) ReadFailed() bool { return f.readFailed.Load() }

// RestoreSnapshot restores a catalog from a peer's snapshot and installs it unless the current one is newer.
func (f *Follower) RestoreSnapshot(ch record.Change) error {
	c, err := config.RestoreCatalog(ch)
	if err != nil {
		return &Error{Op: "seed", Kind: ErrNoSnapshot, Err: err}
	}
	f.install(c)
	return nil
}

// Run reads the stream until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.poll(ctx)
		f.readFailed.Store(err != nil)
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.logger.Warn("catalog: The config stream can't be read; trying again.", zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(f.settings.RetryDelay):
		}
	}
}

// poll reads one page of the stream, applies its records, and writes a snapshot if one is due.
func (f *Follower) poll(ctx context.Context) error {
	start := time.Now()
	current := f.Catalog()
	p, err := f.readPage(ctx, platform.Offset(current.Next), f.settings.ReadWait)
	switch {
	case err != nil && !isTrimmed(err):
		return err
	case p.Era < current.Era:
		return errEarlierEra
	case p.ReturnedSince(current.Era, platform.Offset(current.Next)):
		return f.followReturn(ctx, current, p)
	case err != nil:
		c, err := f.restoreSnapshot(ctx, p)
		if err == nil {
			f.install(c)
		}
		return err
	}
	for _, entry := range p.Entries {
		f.apply(p.Now, entry)
	}
	if f.onRead != nil {
		f.onRead(start, platform.Offset(config.Position(p.Era, uint64(p.End))))
	}
	if f.Catalog().Next >= uint64(p.End) {
		f.lastRead.Store(start.UnixNano())
	}
	if f.snapshotDue(p.Now) {
		f.writeSnapshot(ctx)
	}
	return nil
}

// readPage reads records of the stream; wait is how long the log may wait for new ones.
func (f *Follower) readPage(ctx context.Context, from platform.Offset, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.settings.CallTimeout)
	defer cancel()
	return f.log.Read(ctx, ConfigStream, from, pageSize, wait)
}

// restoreSnapshot returns the first snapshot in the log that covers all records that were trimmed, as a page of the log tells.
func (f *Follower) restoreSnapshot(ctx context.Context, trimmed platform.Page) (*config.Catalog, error) {
	for o := trimmed.Oldest; ; {
		p, err := f.readPage(ctx, o, 0)
		switch {
		case err != nil:
			return nil, err
		case p.Era != trimmed.Era:
			return nil, errEarlierEra
		}
		for _, entry := range p.Entries {
			var ch record.Change
			if json.Unmarshal(entry.Data, &ch) != nil || ch.Kind != record.SnapshotWritten || ch.Covers < uint64(p.Oldest) {
				continue
			}
			c, err := config.RestoreCatalog(ch)
			if err != nil {
				return nil, &Error{Op: "restore", Kind: ErrNoSnapshot, Err: err}
			}
			if c.Era != entry.Era {
				continue // its writer did not know yet that the log had returned
			}
			c.Era = p.Era
			return c, nil
		}
		o += platform.Offset(len(p.Entries))
		if len(p.Entries) == 0 {
			return nil, &Error{Op: "restore", Kind: ErrNoSnapshot, Err: errors.New("the log keeps no usable snapshot")}
		}
	}
}

// apply applies the change in an entry to the catalog in force and reports the result to its publisher. The entry was read at a time of
// the log.
func (f *Follower) apply(now time.Time, entry platform.Entry) {
	c, ch, err := f.applyTo(f.Catalog(), now, entry)
	f.install(c)
	f.resolve(c, ch, err)
}

// applyTo returns the catalog that the entry makes of another one, with the entry's change and the error of the catalog that rejected it.
func (f *Follower) applyTo(c *config.Catalog, now time.Time, entry platform.Entry) (*config.Catalog, record.Change, error) {
	var ch record.Change
	if err := json.Unmarshal(entry.Data, &ch); err != nil {
		f.logger.Warn("catalog: Skipped a record that can't be decoded.", zap.Uint64("offset", uint64(entry.Offset)), zap.Error(err))
		return c.SkipOffset(uint64(entry.Offset)), record.Change{}, nil
	}
	next, err := c.ApplyRecord(entry.Era, uint64(entry.Offset), entry.Time, ch)
	if err == nil && next != c && ch.Kind != record.SnapshotWritten {
		f.keepRecent(now, entry, ch)
	}
	return next, ch, err
}

// install replaces the catalog in force unless that one is newer: a peer's snapshot may arrive while the records of a
// page are applied.
func (f *Follower) install(c *config.Catalog) {
	f.installMu.Lock()
	defer f.installMu.Unlock()
	current := f.catalog.Load()
	if c == current || c.Position() < current.Position() {
		return
	}
	f.catalog.Store(c)
	if f.onChange != nil {
		f.onChange(c)
	}
}

// resolve sends the result of a change to its publisher. If the record was appended twice, the result of the first copy
// counts, because the second one is based on an outdated revision.
func (f *Follower) resolve(c *config.Catalog, ch record.Change, err error) {
	f.mu.Lock()
	result, ok := f.pending[ch.ID]
	delete(f.pending, ch.ID)
	f.mu.Unlock()
	if ok {
		result <- publishResult{c.LastRevision(), publishError(c, ch, err)}
	}
}

// publishError returns the error of a change that a catalog rejected with err.
func publishError(c *config.Catalog, ch record.Change, err error) error {
	if err == nil {
		return nil
	}
	var e *config.Error
	if errors.As(err, &e) && e.Kind == config.ErrStaleBase {
		conflict := &Error{Op: "publish", Kind: ErrConflict, Err: err}
		if h := c.History[config.ObjectKey(ch.Kind, ch.Name)]; len(h) > 0 {
			conflict.Winner = h[len(h)-1]
		}
		return conflict
	}
	return &Error{Op: "publish", Kind: ErrRefused, Err: err}
}

// Publish appends a change to the stream and returns its revision once the follower has read it back and applied it.
// The append is repeated until its record appears in the stream, so a lost reply does not matter.
func (f *Follower) Publish(ctx context.Context, ch record.Change) (uint64, error) {
	if ch.ID == "" {
		ch.ID = uuid.NewString()
	}
	b, err := json.Marshal(ch)
	if err != nil {
		return 0, &Error{Op: "publish", Kind: ErrRefused, Err: err}
	}
	result := make(chan publishResult, 1)
	f.mu.Lock()
	f.pending[ch.ID] = result
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.pending, ch.ID)
		f.mu.Unlock()
	}()
	for {
		appendCtx, cancel := context.WithTimeout(ctx, f.settings.ReadWait+f.settings.CallTimeout)
		_, err = f.log.Append(appendCtx, ConfigStream, b)
		cancel()
		select {
		case r := <-result:
			return r.revision, r.err
		case <-ctx.Done():
			return 0, &Error{Op: "publish", Kind: ErrOutcomeUnknown, Err: errors.Join(ctx.Err(), err)}
		case <-time.After(2 * (f.settings.ReadWait + f.settings.CallTimeout)):
		}
	}
}

// snapshotDue reports whether a new snapshot is due, by the number of records since the last one or by its age. Without
// a new one, the log's retention could remove records that no snapshot covers.
func (f *Follower) snapshotDue(now time.Time) bool {
	c := f.Catalog()
	if c.SnapshotTime.IsZero() {
		return false
	}
	return float64(c.Next-c.NextAfterSnapshot) > f.jitter*float64(f.settings.SnapshotRecords) ||
		now.Sub(c.SnapshotTime).Seconds() > f.jitter*f.settings.SnapshotAge.Seconds()
}

// writeSnapshot appends a snapshot of the catalog to the stream.
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
	ctx, cancel := context.WithTimeout(ctx, f.settings.CallTimeout)
	defer cancel()
	if _, err := f.log.Append(ctx, ConfigStream, b); err != nil {
		f.logger.Warn("catalog: The snapshot can't be appended.", zap.Error(err))
	}
}
