package ingress

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/feed"
)

// schedule is the start of a roll-out as instances tell each other. Its time comes from the time of day, which may be
// seconds off; a roll-out's phases leave room for that.
type schedule struct {
	Version string    `json:"version"`
	Started time.Time `json:"started"`
}

// schedules settles when the roll-outs began, once for each order.
type schedules struct {
	options  Options
	balancer *balancer
	settled  map[string]string // version by service
}

// settle reads the start of each roll-out that is not settled, or writes this instance's own.
func (s *schedules) settle(ctx context.Context) {
	open := s.open()
	if len(open) == 0 {
		return
	}
	b, err := s.options.Schedules.Newest(ctx)
	if err != nil {
		s.options.Logger.Warn("roll-out: The starts of roll-outs can't be read.", zap.Error(err))
		return
	}
	known := map[string]schedule{}
	for _, r := range b.Records {
		var v schedule
		if err := json.Unmarshal(r.Value, &v); err != nil {
			s.options.Logger.Warn("roll-out: A start can't be read.", zap.String("service", r.Key), zap.Error(err))
			continue
		}
		known[r.Key] = v
	}
	for service, own := range open {
		if k, ok := known[service]; ok && k.Version == own.Version {
			s.adopt(service, k)
			continue
		}
		if err := s.write(ctx, service, own, b.Next); err != nil {
			s.options.Logger.Warn("roll-out: The start was not written.", zap.String("service", service), zap.Error(err))
			return // another instance has written, so the next read tells
		}
		s.settled[service] = own.Version
		b.Next++
	}
}

// open returns the starts that are not settled.
func (s *schedules) open() map[string]schedule {
	s.balancer.mu.Lock()
	defer s.balancer.mu.Unlock()
	out := map[string]schedule{}
	for service, r := range s.balancer.rollouts {
		if v, _, _ := r.Status(); v != "" && s.settled[service] != v {
			out[service] = schedule{Version: v, Started: time.Now().Add(-time.Since(r.Started()))}
		}
	}
	return out
}

func (s *schedules) adopt(service string, k schedule) {
	now := time.Now()
	elapsed := now.Round(0).Sub(k.Started)
	s.balancer.mu.Lock()
	s.balancer.rollout(service).Began(now, elapsed)
	s.balancer.mu.Unlock()
	s.settled[service] = k.Version
	s.options.Logger.Info("roll-out: Start read.", zap.String("service", service), zap.String("version", k.Version), zap.Duration("elapsed", elapsed))
}

func (s *schedules) write(ctx context.Context, service string, v schedule, at int64) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("schedule: %w", err)
	}
	return s.options.Schedules.Append(ctx, feed.Record{Key: service, Value: b}, at)
}
