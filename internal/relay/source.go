package relay

import (
	"context"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/feed"
)

// Pace bounds the reads of one topic.
type Pace struct {
	// Join is how long after its start an instance waits for another one's records before it reads the store.
	Join     time.Duration
	Interval time.Duration // from the start of one read of the store to the start of the next
	Fresh    time.Duration // since the last successful call to the store, for which another instance's records count
}

// Source reads a topic from another instance while that has fresh records, and from the store otherwise.
type Source struct {
	hub   *Hub
	store feed.Source
	topic *topic
	pace  Pace
	last  time.Time // start of the last read of the store; Newest and Read are called by one goroutine
}

// fresh reports until when the records from another instance count.
func (s *Source) fresh(now time.Time) (time.Time, bool) {
	if !s.hub.following.Load() || !s.topic.loaded {
		return time.Time{}, false
	}
	end := s.topic.completed.Add(s.pace.Fresh)
	return end, now.Before(end)
}

// Newest returns the newest record of each key.
func (s *Source) Newest(ctx context.Context) (feed.Batch, error) {
	for {
		rung := s.hub.bell.next()
		s.topic.mu.Lock()
		if _, ok := s.fresh(time.Now()); ok {
			defer s.topic.mu.Unlock()
			return s.topic.all(), nil
		}
		s.topic.mu.Unlock()
		left := s.hub.joining(s.pace.Join)
		if left <= 0 {
			break
		}
		if err := pause(ctx, left, rung); err != nil {
			return feed.Batch{}, err
		}
	}
	b, err := s.store.Newest(ctx)
	if err == nil {
		s.topic.full(b, time.Now())
	} else {
		s.topic.lost()
	}
	return b, err
}

// Read returns the records from an offset on and waits for the first one for the time given.
func (s *Source) Read(ctx context.Context, from int64, wait time.Duration) (feed.Batch, error) {
	for end := time.Now().Add(wait); ; {
		now, rung := time.Now(), s.hub.bell.next()
		s.topic.mu.Lock()
		stale, ok := s.fresh(now)
		if !ok {
			s.topic.mu.Unlock()
			return s.read(ctx, from, max(0, end.Sub(now)))
		}
		if s.topic.next > from || !now.Before(end) {
			defer s.topic.mu.Unlock()
			return s.topic.since(from), nil
		}
		s.topic.mu.Unlock()
		if err := pause(ctx, min(end.Sub(now), stale.Sub(now)), rung); err != nil {
			return feed.Batch{}, err
		}
	}
}

// read reads the store and keeps the records for other instances.
func (s *Source) read(ctx context.Context, from int64, wait time.Duration) (feed.Batch, error) {
	if d := s.pace.Interval - time.Since(s.last); d > 0 && !s.last.IsZero() {
		if err := pause(ctx, d, nil); err != nil {
			return feed.Batch{}, err
		}
		wait = max(0, wait-d) // the caller's time for the call covers both
	}
	s.last = time.Now()
	b, err := s.store.Read(ctx, from, wait)
	switch {
	case err != nil:
		s.topic.lost()
	case !b.Trimmed:
		s.topic.add(from, b, time.Now())
	}
	return b, err
}

func pause(ctx context.Context, d time.Duration, wake <-chan struct{}) error {
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
