package ingress

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
	"github.com/cassiaspoke/cassiaspoke/internal/feed"
)

// publishEvery is a fraction of the time that is left between the move of all requests and the deadline of a roll-out.
const publishEvery = 50 * time.Millisecond

// publisher follows the published states of roll-outs and writes those that are due.
type publisher struct {
	options  Options
	balancer *balancer
	board    *board

	mu        sync.Mutex
	loaded    bool
	next      int64
	published map[string]directory.RolloutStatus
	due       map[string]time.Time // when a state that the store lacks is to be written
}

func newPublisher(o Options, b *balancer, d *board) *publisher {
	return &publisher{
		options: o, balancer: b, board: d, published: map[string]directory.RolloutStatus{}, due: map[string]time.Time{},
	}
}

// run writes what is due until the context ends.
func (p *publisher) run(ctx context.Context) {
	t := time.NewTicker(publishEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		p.board.step(ctx, now)
		for _, s := range p.wanted(now) {
			if at, ok := p.take(now, s); ok {
				p.write(ctx, s, at)
			}
		}
	}
}

// apply takes the records of the topic.
func (p *publisher) apply(u feed.Update) {
	if u.Err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loaded, p.next = true, u.Next
	for _, r := range u.Records {
		s, err := p.options.Records.Status(r.Key, r.Value)
		switch {
		case err != nil:
			p.options.Logger.Warn("roll-out: A published state can't be read.", zap.Int64("offset", r.Offset), zap.Error(err))
		case s.Service != "":
			p.read(s)
		}
	}
}

// read applies a published state.
func (p *publisher) read(s directory.RolloutStatus) {
	if p.published[s.Service] == s {
		return
	}
	p.published[s.Service] = s
	delete(p.due, s.Service)
	p.balancer.mu.Lock()
	applied := p.balancer.rollout(s.Service).Published(s)
	p.balancer.mu.Unlock()
	p.options.Logger.Info("roll-out: Published state read.", zap.String("service", s.Service), zap.String("version", s.Target),
		zap.String("state", string(s.State)), zap.Bool("changed", applied))
}

// wanted returns the states of all roll-outs as this instance sees them, once the published ones were read.
func (p *publisher) wanted(now time.Time) []directory.RolloutStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded {
		return nil
	}
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	var out []directory.RolloutStatus
	for service, r := range p.balancer.rollouts {
		r.Published(p.published[service]) // read before the order was
		r.Confirm()
		if state, ok := r.Step(now); ok {
			target, _, _ := r.Status()
			out = append(out, directory.RolloutStatus{Service: service, Target: target, State: state})
		}
	}
	return out
}

// take reports whether a state is to be written now, and the end of the topic for which that holds.
func (p *publisher) take(now time.Time, s directory.RolloutStatus) (int64, bool) {
	p.balancer.mu.Lock()
	spread := p.balancer.rollout(s.Service).Spread()
	p.balancer.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.published[s.Service]
	if o == s || o.Target == s.Target && o.State != directory.RolloutRunning {
		return 0, false
	}
	return p.next, due(now, p.due, s.Service, spread)
}

// write publishes a state if nothing was published since the last read; otherwise the next read decides anew.
func (p *publisher) write(ctx context.Context, s directory.RolloutStatus, at int64) {
	c, cancel := context.WithTimeout(ctx, p.options.Feeds.Operators.Timeout)
	defer cancel()
	r, err := p.options.Records.StatusRecord(s)
	if err == nil {
		err = p.options.Status.Append(c, at, r)
	}
	if err != nil {
		p.options.Logger.Warn("roll-out: The state was not published.", zap.String("service", s.Service), zap.String("state", string(s.State)), zap.Error(err))
		return
	}
	p.options.Logger.Info("roll-out: State published.", zap.String("service", s.Service), zap.String("version", s.Target),
		zap.String("state", string(s.State)), zap.Int64("offset", at))
}
