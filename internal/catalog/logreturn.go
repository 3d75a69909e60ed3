package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	// keepChanges is the time, by the log's clock, for which a change is kept so that it can be appended again.
	keepChanges = 2 * time.Minute
	// returnWaits is the number of reads with ReadWait for which changes that this instance can't append are awaited from others.
	returnWaits = 1
)

var errEarlierEra = &Error{Op: "read", Kind: ErrLogUnavailable, Err: errors.New("the pages of the log are of different eras")}

// recentChange is an accepted change that a return of the log from an older copy may lose.
type recentChange struct {
	change record.Change
	object string
	offset platform.Offset
	time   time.Time
}

// keepRecent keeps the change in an entry that was read at a time of the log, and drops those that were kept for long enough.
func (f *Follower) keepRecent(now time.Time, entry platform.Entry, ch record.Change) {
	f.recent = slices.DeleteFunc(f.recent, func(r recentChange) bool { return r.change.ID == ch.ID || now.Sub(r.time) > keepChanges })
	if now.Sub(entry.Time) <= keepChanges {
		f.recent = append(f.recent, recentChange{ch, config.ObjectKey(ch.Kind, ch.Name), entry.Offset, entry.Time})
	}
}

// lostChanges returns the changes of the catalog before that the log lacks, in their order. The copy ended at an offset.
func (f *Follower) lostChanges(c, before *config.Catalog, copyEnd platform.Offset) []record.Change {
	var lost []record.Change
	for _, r := range f.recent {
		if r.offset >= copyEnd && before.HasChange(r.object, r.change.ID) && !c.HasChange(r.object, r.change.ID) {
			lost = append(lost, r.change)
		}
	}
	return lost
}

// followReturn replaces the catalog in force after the log has returned from an older copy, as a page of the log shows. The one in force
// stays until the log holds its latest changes again, which all instances append that have read them.
func (f *Follower) followReturn(ctx context.Context, current *config.Catalog, p platform.Page) error {
	c, copyEnd, err := f.rebuild(ctx, p)
	if err != nil {
		return err
	}
	lost := f.lostChanges(c, current, copyEnd)
	if len(lost) > 0 {
		pause(ctx, time.Duration(rand.Float64()*float64(f.settings.ReadWait))) // so that mostly one instance appends them
	}
	appended := 0
	for _, ch := range lost {
		var done bool
		if c, done, err = f.appendAgain(ctx, c, current, ch); err != nil {
			return err
		}
		if done {
			appended++
		}
	}
	for range returnWaits {
		if !lacksChange(c, current) {
			break
		}
		pause(ctx, f.settings.ReadWait)
		if c, _, err = f.catchUp(ctx, c); err != nil {
			return err
		}
	}
	if current.Next > 0 {
		f.logger.Warn("catalog: The log has returned from an older copy.", zap.Uint64("era-before", current.Era), zap.Uint64("era", p.Era),
			zap.Uint64("offset-before", current.Next), zap.Uint64("offset", uint64(p.End)), zap.Int("changes-again", appended), zap.Bool("changes-lost", lacksChange(c, current)))
	}
	f.replace(current, c)
	return nil
}

// lacksChange reports whether a catalog lacks the latest change of an object in the catalog before, and has no newer one instead.
func lacksChange(c, before *config.Catalog) bool {
	for object, h := range before.History {
		if c.HasChange(object, h[len(h)-1].ID) {
			continue
		}
		if latest := c.History[object]; len(latest) == 0 || before.HasChange(object, latest[len(latest)-1].ID) {
			return true
		}
	}
	return false
}

// appendAgain appends a lost change again, based on the revision that its object has now, and reports whether it did. It doesn't if another
// instance has, or if an operator has changed the object since the return.
func (f *Follower) appendAgain(ctx context.Context, c, before *config.Catalog, ch record.Change) (*config.Catalog, bool, error) {
	c, _, err := f.catchUp(ctx, c)
	if err != nil {
		return c, false, err
	}
	object := config.ObjectKey(ch.Kind, ch.Name)
	if h := c.History[object]; c.HasChange(object, ch.ID) || (len(h) > 0 && !before.HasChange(object, h[len(h)-1].ID)) {
		return c, false, nil
	}
	ch.Base = c.CurrentRevision(ch)
	b, err := json.Marshal(ch)
	if err != nil {
		return c, false, &Error{Op: "append again", Kind: ErrRefused, Err: err}
	}
	appendCtx, cancel := context.WithTimeout(ctx, f.settings.CallTimeout)
	defer cancel()
	if _, err := f.log.Append(appendCtx, ConfigStream, b); err != nil {
		return c, false, err
	}
	c, _, err = f.catchUp(ctx, c)
	return c, true, err
}

// rebuild returns the catalog that the records of the log make in the era of a page, and the end of the older copy. A log that tells no
// era doesn't show that end if records were appended since.
func (f *Follower) rebuild(ctx context.Context, noticed platform.Page) (c *config.Catalog, copyEnd platform.Offset, err error) {
	c = config.NewCatalog()
	c.Era = noticed.Era
	p, err := f.readPage(ctx, 0, 0)
	switch {
	case p.Era != noticed.Era && (err == nil || isTrimmed(err)):
		return nil, 0, errEarlierEra
	case isTrimmed(err):
		if c, err = f.restoreSnapshot(ctx, p); err != nil {
			return nil, 0, err
		}
	case err != nil:
		return nil, 0, err
	}
	return f.catchUp(ctx, c)
}

// catchUp applies the records up to the end of the stream to a catalog that is not in force. It also returns the offset after the last of
// them that was appended in an earlier era; at a log that tells no era, their end.
func (f *Follower) catchUp(ctx context.Context, c *config.Catalog) (_ *config.Catalog, copyEnd platform.Offset, err error) {
	copyEnd = platform.Offset(c.Next)
	for {
		p, err := f.readPage(ctx, platform.Offset(c.Next), 0)
		if err != nil {
			return c, 0, err
		}
		if p.Era != c.Era || uint64(p.End) < c.Next {
			return c, 0, errEarlierEra
		}
		for _, entry := range p.Entries {
			next, ch, err := f.applyTo(c, p.Now, entry)
			f.resolve(next, ch, err)
			c = next
			if entry.Era < p.Era || p.Era == 0 {
				copyEnd = entry.Offset + 1
			}
		}
		if c.Next >= uint64(p.End) {
			return c, copyEnd, nil
		}
	}
}

// replace replaces the catalog in force, unless a peer's snapshot has done so.
func (f *Follower) replace(current, c *config.Catalog) {
	f.installMu.Lock()
	defer f.installMu.Unlock()
	if f.catalog.Load() != current {
		return
	}
	f.catalog.Store(c)
	if f.onChange != nil {
		f.onChange(c)
	}
}

func isTrimmed(err error) bool {
	var e *platform.Error
	return errors.As(err, &e) && e.Kind == platform.ErrTrimmed
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
