package relay

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
)

// ReadPolicy sets when and how often an instance reads one topic from the store itself.
type ReadPolicy struct {
	// StartupWait is how long after its start an instance waits for the records of a seed before it reads the store itself.
	StartupWait time.Duration
	MinInterval time.Duration // minimum time between the starts of two reads of the store
	MaxAge      time.Duration // age up to which the records of a seed are used
	Timeout     time.Duration // of a read of the store, in addition to the time that it waits; none if zero
	// Required makes an instance leave a seed that does not confirm recent records of the topic.
	Required bool
}

// Source provides the records of a topic received from a seed while they are fresh, and reads the store otherwise.
type Source struct {
	hub   *Hub
	name  string // of the topic, in logs and metrics
	store changefeed.Source
	topic *topic
	// The fields below need no lock, as Snapshot and Read are called by one goroutine.

	lastRead time.Time // start of the last read of the store
	direct   bool      // the last records came from the store
	recheck  bool      // the last read returned records, so it does not show that they were the last ones when it ended
	metrics  sourceMetrics
}

// sourceMetrics records where the records of one topic come from and how recent they are.
type sourceMetrics struct {
	reads tally.Counter // reads of the store by this instance
	age   tally.Gauge   // of the records in seconds, as this instance knows it
}

// relayedEvidence returns the evidence of records that a seed has sent. The caller must hold the topic's lock.
func (s *Source) relayedEvidence() changefeed.Evidence {
	e := changefeed.Evidence{Basis: changefeed.BasisNone}
	if a := s.hub.seed.Load(); a != nil {
		e.Origin = a.String()
	}
	if s.topic.confirmedAsOf != unknown {
		e.Basis, e.AsOf = changefeed.BasisConfirmed, s.hub.asTime(s.topic.confirmedAsOf)
	}
	return e
}

// observe logs when this instance starts or stops reading the topic from the store itself, and updates the metrics.
func (s *Source) observe(direct bool, e changefeed.Evidence, reason string) {
	if direct {
		s.metrics.reads.Inc(1)
	}
	if !e.AsOf.IsZero() {
		s.metrics.age.Update(time.Since(e.AsOf).Seconds())
	}
	if s.direct == direct || s.hub.IsSeed() {
		s.direct = direct
		return
	}
	s.direct = direct
	fields := []zap.Field{zap.String("topic", s.name), zap.String("from", e.Origin), zap.String("age-by", string(e.Basis)), zap.String("reason", reason)}
	if !e.AsOf.IsZero() {
		fields = append(fields, zap.Duration("age", time.Since(e.AsOf)))
	}
	s.hub.options.Logger.Info("relay: The origin of a topic's records changed.", fields...)
}

// recentFor returns for how long the records of a seed remain usable, and whether they are. The caller must hold the topic's
// lock.
func (s *Source) recentFor() (time.Duration, bool) {
	if s.hub.seed.Load() == nil || !s.topic.loaded {
		return 0, false
	}
	d := s.topic.confirmedAsOf.add(s.topic.policy.MaxAge).sub(s.hub.now())
	return d, d > 0 && s.topic.confirmedAsOf != unknown
}

// Snapshot returns the newest record of each key and the position from which to read later changes.
func (s *Source) Snapshot(ctx context.Context) (changefeed.Batch, error) {
	for {
		changed := s.hub.notifier.nextChange()
		s.topic.mu.Lock()
		if _, ok := s.recentFor(); ok {
			defer s.topic.mu.Unlock()
			return s.withRelayedEvidence(s.topic.snapshot()), nil
		}
		s.topic.mu.Unlock()
		timeLeft := s.hub.startupTimeLeft(s.topic.policy.StartupWait)
		if timeLeft <= 0 {
			break
		}
		if err := sleep(ctx, timeLeft, changed); err != nil {
			return changefeed.Batch{}, err
		}
	}
	calledAt := s.hub.now()
	b, err := s.store.Snapshot(ctx)
	if err != nil {
		s.topic.recordFailure()
		return b, err
	}
	s.topic.setSnapshot(b, calledAt)
	return s.withReadEvidence(b, calledAt), nil
}

// Read returns the records from a position on. If there are none, it waits for one until the wait is over.
func (s *Source) Read(ctx context.Context, from changefeed.Position, wait time.Duration) (changefeed.Batch, error) {
	for end := time.Now().Add(wait); ; {
		now, changed := time.Now(), s.hub.notifier.nextChange()
		s.topic.mu.Lock()
		recentFor, ok := s.recentFor()
		if !ok {
			s.topic.mu.Unlock()
			return s.readStore(ctx, from, max(0, end.Sub(now)))
		}
		if from.Before(s.topic.next) || !now.Before(end) {
			defer s.topic.mu.Unlock()
			return s.withRelayedEvidence(s.topic.recordsFrom(from)), nil
		}
		s.topic.mu.Unlock()
		if err := sleep(ctx, min(end.Sub(now), recentFor), changed); err != nil {
			return changefeed.Batch{}, err
		}
	}
}

// readStore reads the store, at most once per MinInterval, and adds the records to the topic.
func (s *Source) readStore(ctx context.Context, from changefeed.Position, wait time.Duration) (changefeed.Batch, error) {
	if d := s.topic.policy.MinInterval - time.Since(s.lastRead); d > 0 && !s.lastRead.IsZero() {
		if err := sleep(ctx, d, nil); err != nil {
			return changefeed.Batch{}, err
		}
		wait = max(0, wait-d) // the caller's timeout covers both
	}
	if s.recheck || !s.direct && !s.hub.IsSeed() {
		wait = 0 // the response shows at once what the store has now
	}
	if s.topic.policy.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait+s.topic.policy.Timeout)
		defer cancel()
	}
	s.lastRead = time.Now()
	asOf := s.hub.now()
	b, err := s.store.Read(ctx, from, wait)
	switch {
	case err != nil:
		s.topic.recordFailure()
		return b, err
	case b.Trimmed:
		return b, nil
	}
	// A read that has waited in vain shows that there was no record until its wait was over.
	if len(b.Records) == 0 && s.hub.now().sub(asOf) >= wait {
		asOf = asOf.add(wait)
	}
	s.recheck = len(b.Records) > 0 && s.hub.hasFollowers()
	s.topic.addBatch(from, b, asOf)
	return s.withReadEvidence(b, asOf), nil
}

// withRelayedEvidence adds the evidence to records that a seed has sent. The caller must hold the topic's lock.
func (s *Source) withRelayedEvidence(b changefeed.Batch) changefeed.Batch {
	b.Evidence = s.relayedEvidence()
	s.observe(false, b.Evidence, reasonRelayed)
	return b
}

// withReadEvidence adds the evidence to records read from the store.
func (s *Source) withReadEvidence(b changefeed.Batch, asOf instant) changefeed.Batch {
	b.Evidence = changefeed.Evidence{Origin: changefeed.OriginStore, Basis: changefeed.BasisRead, AsOf: s.hub.asTime(asOf)}
	reason := reasonLate
	if s.hub.seed.Load() == nil {
		reason = reasonNoSeed
	}
	s.observe(true, b.Evidence, reason)
	return b
}

// Reasons in the log for a change of the origin of a topic's records.
const (
	reasonRelayed = "the records of a seed are recent"
	reasonLate    = "the records of the seed are too old"
	reasonNoSeed  = "no seed sends records"
)

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
