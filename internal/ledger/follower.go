package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

const (
	// pollWait is the time that a read at the end of the stream waits for the next record.
	pollWait = 5 * time.Second
	// readTimeout ends a read when the connection no longer answers.
	readTimeout = 10 * time.Second
	// appendTimeout ends an append when the connection no longer answers; the append may still take effect.
	appendTimeout  = 2 * time.Second
	maxReadRecords = 512
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// streamReader derives a state from the records of a stream.
type streamReader interface {
	// initialise finds the offset to read from and resets the state. It is called again when the log has trimmed records
	// that were not read yet, and after logReturned.
	initialise(ctx context.Context) error
	// era returns the log's era at the start of the latest call of initialise.
	era() uint64
	// logReturned tells the reader that records of its state may be lost, none of which is later than a time of the log.
	logReturned(at time.Time)
	nextOffset() platform.Offset
	applyPage(p platform.Page) error
}

// followStream passes the records of a stream to a reader until ctx is cancelled.
func followStream(ctx context.Context, o Options, stream string, r streamReader) {
	b := newBackoff()
	f := streamFollower{options: o, stream: stream, reader: r}
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if err == nil {
			b.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		o.Scope.Counter("read-errors").Inc(1)
		o.Logger.Debug("ledger: The stream could not be read.", zap.String("stream", stream), zap.Error(err))
		sleep(ctx, b.NextBackOff())
	}
}

// streamFollower is the position of a reader in a stream.
type streamFollower struct {
	options Options
	stream  string
	reader  streamReader
	started bool
}

// readOnce initialises the reader if needed and passes one page of records to it.
func (f *streamFollower) readOnce(ctx context.Context) error {
	if !f.started {
		if err := f.reader.initialise(ctx); err != nil {
			return err
		}
		f.started = true
	}
	era, next := f.reader.era(), f.reader.nextOffset()
	p, err := readLog(ctx, f.options.Log, f.stream, next, maxReadRecords, pollWait)
	switch {
	case err != nil && !isTrimmed(err):
		return err
	case p.Era < era:
		return &Error{Op: "read", Kind: ErrLogUnavailable, Err: fmt.Errorf("page of era %d after %d", p.Era, era)}
	case p.ReturnedSince(era, next):
		f.started = false
		f.options.Scope.Counter("log-returns").Inc(1)
		f.options.Logger.Warn("ledger: The log has returned from an older copy.", zap.String("stream", f.stream),
			zap.Uint64("era-before", era), zap.Uint64("era", p.Era), zap.Uint64("offset-before", uint64(next)), zap.Uint64("offset", uint64(p.End)))
		f.reader.logReturned(returnTime(p, era))
		return nil
	case err != nil:
		f.started = false
		return err
	}
	return f.reader.applyPage(p)
}

// returnTime returns the log's time of the return that a reader of an era has noticed by a page.
func returnTime(p platform.Page, era uint64) time.Time {
	if p.Era > era {
		return p.EraStart
	}
	return p.Now
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minBackoff, maxBackoff
	return b
}

// sleep waits for a duration or until ctx is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// readLog reads a page of records and fails if the log does not answer in time.
func readLog(ctx context.Context, log platform.Log, stream string, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return log.Read(ctx, stream, from, limit, wait)
}

func isTrimmed(err error) bool {
	var e *platform.Error
	return errors.As(err, &e) && e.Kind == platform.ErrTrimmed
}

// streamBounds returns a page whose Oldest, End and Now are the oldest offset of a stream, its end and the log's time.
func streamBounds(ctx context.Context, log platform.Log, stream string) (platform.Page, error) {
	p, err := readLog(ctx, log, stream, 0, 1, 0)
	if isTrimmed(err) {
		err = nil
	}
	return p, err
}

// streamPosition is a position in a stream. No record before it is later than maxEarlierTime, which is zero at offset 0.
type streamPosition struct {
	offset         platform.Offset
	maxEarlierTime time.Time
	logTime        time.Time // the log's time when the position was found
	era            uint64    // of the log when the search for the position began
	eraStart       time.Time
}

// findFirstSince returns the position of the first record that is not older than a time, by binary search over the
// offsets. The function since returns this time, given the log's time now.
func findFirstSince(ctx context.Context, log platform.Log, stream string, since func(now time.Time) time.Time) (streamPosition, error) {
	bounds, err := streamBounds(ctx, log, stream)
	if err != nil {
		return streamPosition{}, err
	}
	limit := since(bounds.Now)
	first, lo, hi := bounds.Oldest, bounds.Oldest, bounds.End
	for lo < hi {
		mid := lo + (hi-lo)/2
		q, err := readLog(ctx, log, stream, mid, 1, 0)
		switch {
		case isTrimmed(err):
			first = q.Oldest
			lo, hi = max(lo, first), max(hi, first)
		case err != nil:
			return streamPosition{}, err
		case len(q.Entries) > 0 && q.Entries[0].Time.Before(limit):
			lo = mid + 1
		default:
			hi = mid
		}
	}
	position := streamPosition{offset: lo, logTime: bounds.Now, era: bounds.Era, eraStart: bounds.EraStart}
	switch {
	case lo == 0:
	case lo > first:
		position.maxEarlierTime = limit.Add(-1)
	default:
		position.maxEarlierTime = bounds.Now
		q, err := readLog(ctx, log, stream, lo, 1, 0)
		if err != nil {
			return streamPosition{}, err
		}
		if len(q.Entries) > 0 {
			position.maxEarlierTime = q.Entries[0].Time
		}
	}
	return position, nil
}
