package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

const (
	// pollWait is how long a read waits for the next record.
	pollWait = 5 * time.Second
	// readTimeout ends a read whose connection has gone silent.
	readTimeout = 10 * time.Second
	// appendTimeout ends an append whose connection has gone silent; the append may still take effect.
	appendTimeout = 2 * time.Second
	readLimit     = 512 // records
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = 2 * time.Second
)

// reader is the fold that a follower feeds.
type reader interface {
	// start finds where to read from and resets the fold; it is called again after records were trimmed.
	start(ctx context.Context) error
	next() platform.Offset
	page(p platform.Page) error
}

// follow feeds a stream to a reader until the context ends.
func follow(ctx context.Context, o Options, stream string, r reader) {
	b := newBackoff()
	started := false
	for ctx.Err() == nil {
		err := followOnce(ctx, o.Log, stream, r, &started)
		if err == nil {
			b.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		o.Scope.Counter("read-errors").Inc(1)
		o.Logger.Debug("ledger: read failed", zap.String("stream", stream), zap.Error(err))
		pause(ctx, b.NextBackOff())
	}
}

func followOnce(ctx context.Context, log platform.Log, stream string, r reader, started *bool) error {
	if !*started {
		if err := r.start(ctx); err != nil {
			return err
		}
		*started = true
	}
	p, err := read(ctx, log, stream, r.next(), readLimit, pollWait)
	if err != nil {
		*started = !trimmed(err)
		return err
	}
	return r.page(p)
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minBackoff, maxBackoff
	return b
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func read(ctx context.Context, log platform.Log, stream string, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return log.Read(ctx, stream, from, limit, wait)
}

func trimmed(err error) bool {
	var e *platform.Error
	return errors.As(err, &e) && e.Kind == platform.ErrTrimmed
}

// span returns the oldest offset that the log keeps of a stream, the end and the log's time.
func span(ctx context.Context, log platform.Log, stream string) (platform.Page, error) {
	p, err := read(ctx, log, stream, 0, 1, 0)
	if trimmed(err) {
		err = nil
	}
	return p, err
}

// place is a position in a stream; Before bounds the time of all earlier records and is zero at offset 0.
type place struct {
	offset platform.Offset
	before time.Time
	now    time.Time
}

// findTime returns the first record of a stream that is not older than t, by binary search over the offsets.
func findTime(ctx context.Context, log platform.Log, stream string, t func(now time.Time) time.Time) (place, error) {
	p, err := span(ctx, log, stream)
	if err != nil {
		return place{}, err
	}
	limit := t(p.Now)
	first, lo, hi := p.First, p.First, p.Next
	for lo < hi {
		mid := lo + (hi-lo)/2
		q, err := read(ctx, log, stream, mid, 1, 0)
		switch {
		case trimmed(err):
			first = q.First
			lo, hi = max(lo, first), max(hi, first)
		case err != nil:
			return place{}, err
		case len(q.Entries) > 0 && q.Entries[0].Time.Before(limit):
			lo = mid + 1
		default:
			hi = mid
		}
	}
	l := place{offset: lo, now: p.Now}
	switch {
	case lo == 0:
	case lo > first:
		l.before = limit.Add(-1)
	default:
		l.before = p.Now
		q, err := read(ctx, log, stream, lo, 1, 0)
		if err != nil {
			return place{}, err
		}
		if len(q.Entries) > 0 {
			l.before = q.Entries[0].Time
		}
	}
	return l, nil
}
