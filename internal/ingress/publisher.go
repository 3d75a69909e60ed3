package ingress

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// publishInterval is a small part of the time between the move of all requests and the deadline of a roll-out.
const publishInterval = 50 * time.Millisecond

// publisher follows the published states of roll-outs and publishes those that are due.
type publisher struct {
	options     Options
	balancer    *balancer
	coordinator *coordinator

	mu        sync.Mutex
	loaded    bool // the topic has been read
	next      changefeed.Position
	published map[string]routing.RolloutStatus
	writes    *conditionalWrites // by service
}

// newPublisher returns a publisher that has read no states.
func newPublisher(o Options, b *balancer, c *coordinator) *publisher {
	return &publisher{
		options: o, balancer: b, coordinator: c, published: map[string]routing.RolloutStatus{}, writes: newConditionalWrites(),
	}
}

// publishStates publishes due states and shares due records until the context ends.
func (p *publisher) publishStates(ctx context.Context) {
	t := time.NewTicker(publishInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		p.coordinator.exchangeRecords(ctx, now)
		for _, s := range p.statesToPublish(now) {
			if at, ok := p.claimWrite(now, s); ok {
				p.publishState(ctx, s, at)
			}
		}
	}
}

// applyUpdate applies an update of the status topic.
func (p *publisher) applyUpdate(u changefeed.Update) {
	if u.Err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loaded, p.next = true, u.Next
	if u.Return != nil {
		noteReturn(p.options, topicStatus, u, zap.Int("known", len(p.published)))
		clear(p.published) // a state that the copy lacks is published again
	}
	for _, r := range u.Records {
		s, err := p.options.Codec.DecodeRolloutStatus(r.Key, r.Value)
		switch {
		case err != nil:
			p.options.Logger.Warn("roll-out: Failed to decode a published state.", zap.Stringer("position", r.Position), zap.Error(err))
		case s.Service != "":
			p.applyStatus(s, u.Return != nil)
		}
	}
}

// applyStatus applies a published state. It may be older than the one that this instance knows if it is copied, as the store has come
// back from an older copy.
func (p *publisher) applyStatus(s routing.RolloutStatus, copied bool) {
	if p.published[s.Service] == s {
		return
	}
	p.published[s.Service] = s
	p.writes.drop(s.Service)
	p.balancer.mu.Lock()
	r, applied := p.balancer.rolloutOf(s.Service), false
	if copied {
		applied = r.ApplyCopiedState(s)
	} else {
		applied = r.ApplyPublished(s)
	}
	p.balancer.mu.Unlock()
	p.options.Logger.Info("roll-out: Read a published state.", zap.String("service", s.Service), zap.String("version", s.Target),
		zap.String("state", string(s.State)), zap.Bool("changed", applied))
}

// statesToPublish returns the states that this instance would publish, or nil until the published ones are read.
func (p *publisher) statesToPublish(now time.Time) []routing.RolloutStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded {
		return nil
	}
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	var out []routing.RolloutStatus
	for service, r := range p.balancer.rollouts {
		r.ApplyPublished(p.published[service]) // the state may have been read before the order
		r.SetStateRead()
		if state, ok := r.StateToPublish(now); ok {
			target, _, _ := r.Status()
			out = append(out, routing.RolloutStatus{Service: service, Target: target, State: state})
		}
	}
	return out
}

// claimWrite reports whether a state is to be published now, and the position at which the topic has to end for the write.
func (p *publisher) claimWrite(now time.Time, s routing.RolloutStatus) (changefeed.Position, bool) {
	spread := p.publishSpread(s.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	published := p.published[s.Service]
	if published == s || published.Target == s.Target && published.State != routing.RolloutRunning && !p.overrules(published) {
		return changefeed.Position{}, false
	}
	return p.next, p.writes.due(now, s.Service, p.next, spread)
}

// overrules reports whether this instance knows that the store has lost another final state than the one that is published.
func (p *publisher) overrules(published routing.RolloutStatus) bool {
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	return p.balancer.rolloutOf(published.Service).Overrules(published)
}

// publishSpread returns the time over which the instances spread their writes of the state of a service's roll-out.
func (p *publisher) publishSpread(service string) time.Duration {
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	return p.balancer.rolloutOf(service).PublishSpread()
}

// publishState publishes a state if the topic still ends at the position; otherwise the decision is repeated after the
// next read.
func (p *publisher) publishState(ctx context.Context, s routing.RolloutStatus, at changefeed.Position) {
	callCtx, cancel := context.WithTimeout(ctx, p.options.Feeds.Operators.Timeout)
	defer cancel()
	r, err := p.options.Codec.EncodeRolloutStatus(s)
	if err == nil {
		err = p.options.StatusTopic.Append(callCtx, at, r)
	}
	if err != nil {
		spread := p.publishSpread(s.Service)
		p.mu.Lock()
		p.writes.recordFailure(time.Now(), s.Service, at, spread)
		p.mu.Unlock()
		p.options.Logger.Warn("roll-out: Failed to publish a state.", zap.String("service", s.Service), zap.String("state", string(s.State)), zap.Error(err))
		return
	}
	p.balancer.mu.Lock()
	p.balancer.rolloutOf(s.Service).ApplyPublished(s) // the store may lose it before it is read
	p.balancer.mu.Unlock()
	p.options.Logger.Info("roll-out: Published a state.", append(p.balancer.describeRollout(time.Now(), s.Service), zap.String("service", s.Service),
		zap.String("version", s.Target), zap.String("state", string(s.State)), zap.Stringer("position", at))...)
}
