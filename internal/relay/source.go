package relay

import (
	"context"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
)

// ReadPolicy sets when and how often an instance reads one topic from the store itself.
type ReadPolicy struct {
	// StartupWait is how long after its start an instance waits for the records of a seed before it reads the store itself.
	StartupWait time.Duration
	MinInterval time.Duration // minimum time between the starts of two reads of the store
	MaxAge      time.Duration // time since the last successful call to the store for which the records of a seed are used
}

// Source provides the records of a topic received from a seed while they are fresh, and reads the store otherwise.
type Source struct {
	hub    *Hub
	store  changefeed.Source
	topic  *topic
	policy ReadPolicy
	// lastRead is the start of the last read of the store. It needs no lock, as Snapshot and Read are called by one
	// goroutine.
	lastRead time.Time
}

// freshUntil returns until when the records received from a seed are fresh, and whether they are fresh now. The caller must
// hold the topic's lock.
func (s *Source) freshUntil(now time.Time) (time.Time, bool) {
	if !s.hub.following.Load() || !s.topic.loaded {
		return time.Time{}, false
	}
	end := s.topic.lastSuccess.Add(s.policy.MaxAge)
	return end, now.Before(end)
}

// Snapshot returns the newest record of each key and the offset from which to read later changes.
func (s *Source) Snapshot(ctx context.Context) (changefeed.Batch, error) {
	for {
		changed := s.hub.notifier.nextChange()
		s.topic.mu.Lock()
		if _, ok := s.freshUntil(time.Now()); ok {
			defer s.topic.mu.Unlock()
			return s.topic.snapshot(), nil
		}
		s.topic.mu.Unlock()
		timeLeft := s.hub.startupTimeLeft(s.policy.StartupWait)
		if timeLeft <= 0 {
			break
		}
		if err := sleep(ctx, timeLeft, changed); err != nil {
			return changefeed.Batch{}, err
		}
	}
	b, err := s.store.Snapshot(ctx)
	if err == nil {
		s.topic.setSnapshot(b, time.Now())
	} else {
		s.topic.recordFailure()
	}
	return b, err
}

// Read returns the records from an offset on. If there are none, it waits for one until the wait is over.
func (s *Source) Read(ctx context.Context, from int64, wait time.Duration) (changefeed.Batch, error) {
	for end := time.Now().Add(wait); ; {
		now, changed := time.Now(), s.hub.notifier.nextChange()
		s.topic.mu.Lock()
		freshUntil, ok := s.freshUntil(now)
		if !ok {
			s.topic.mu.Unlock()
			return s.readStore(ctx, from, max(0, end.Sub(now)))
		}
		if s.topic.next > from || !now.Before(end) {
			defer s.topic.mu.Unlock()
			return s.topic.recordsFrom(from), nil
		}
		s.topic.mu.Unlock()
		if err := sleep(ctx, min(end.Sub(now), freshUntil.Sub(now)), changed); err != nil {
			return changefeed.Batch{}, err
		}
	}
}

// readStore reads the store, at most once per MinInterval, and adds the records to the topic.
func (s *Source) readStore(ctx context.Context, from int64, wait time.Duration) (changefeed.Batch, error) {
	if d := s.policy.MinInterval - time.Since(s.lastRead); d > 0 && !s.lastRead.IsZero() {
		if err := sleep(ctx, d, nil); err != nil {
			return changefeed.Batch{}, err
		}
		wait = max(0, wait-d) // the caller's timeout covers both
	}
	s.lastRead = time.Now()
	b, err := s.store.Read(ctx, from, wait)
	switch {
	case err != nil:
		s.topic.recordFailure()
	case !b.Trimmed:
		s.topic.addBatch(from, b, time.Now())
	}
	return b, err
}

// sleep waits for a time, or until wake is closed or the context ends; it returns the error of the context.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
	case <-wake:
	}
	return nil
}
