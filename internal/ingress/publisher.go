package ingress

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
)

// publishSpread is the time over which instances that reach the same state try to publish it; the first one wins and
// the others read its record.
const publishSpread = time.Second

// publisher reads and writes the states of roll-outs while one is under way.
type publisher struct {
	options   Options
	balancer  *balancer
	published map[string]directory.RolloutStatus
	due       map[string]time.Time // when a state that the store lacks is to be written
	schedules schedules
}

func newPublisher(o Options, b *balancer) *publisher {
	return &publisher{
		options: o, balancer: b, published: map[string]directory.RolloutStatus{}, due: map[string]time.Time{},
		schedules: schedules{options: o, balancer: b, settled: map[string]string{}},
	}
}

// run reads and writes states until the context ends.
func (p *publisher) run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	var read, failed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		wanted := p.wanted(now)
		if len(wanted) == 0 || now.Sub(failed) < p.options.Feeds.Status {
			continue
		}
		if due := p.anyDue(now, wanted); !due && now.Sub(read) < p.options.Feeds.Status {
			continue
		}
		read = now
		if !p.sync(ctx, wanted) {
			failed = now
		}
	}
}

// wanted returns the states that the store has to hold, of the services whose last state is not final there.
func (p *publisher) wanted(now time.Time) map[string]directory.RolloutStatus {
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	out := map[string]directory.RolloutStatus{}
	for s, r := range p.balancer.rollouts {
		state, ok := r.Step(now)
		if !ok {
			continue
		}
		target, _, _ := r.Status()
		w := directory.RolloutStatus{Service: s, Target: target, State: state}
		if p.published[s] != w || state == directory.RolloutRunning {
			out[s] = w
		}
	}
	return out
}

func (p *publisher) anyDue(now time.Time, wanted map[string]directory.RolloutStatus) bool {
	for s, w := range wanted {
		if p.published[s] == w {
			continue
		}
		if p.due[s].IsZero() {
			p.due[s] = now.Add(time.Duration(rand.Int64N(int64(publishSpread))))
		}
		if !now.Before(p.due[s]) {
			return true
		}
	}
	return false
}

// sync reads the states of all roll-outs and writes those that are due; it reports whether the store answered.
func (p *publisher) sync(ctx context.Context, wanted map[string]directory.RolloutStatus) bool {
	c, cancel := context.WithTimeout(ctx, p.options.Feeds.Operators.Timeout)
	defer cancel()
	p.schedules.settle(c)
	b, err := p.options.Status.Newest(c)
	if err != nil {
		p.options.Logger.Warn("roll-out: The published states can't be read.", zap.Error(err))
		return false
	}
	for _, r := range b.Records {
		s, err := p.options.Records.Status(r.Key, r.Value)
		switch {
		case err != nil:
			p.options.Logger.Warn("roll-out: A published state can't be read.", zap.Int64("offset", r.Offset), zap.Error(err))
		case s.Service != "":
			p.read(s)
		}
	}
	p.confirm(wanted)
	now := time.Now()
	for s, w := range wanted {
		o := p.published[s]
		if o == w || o.Target == w.Target && o.State != directory.RolloutRunning || p.due[s].IsZero() || now.Before(p.due[s]) {
			continue
		}
		p.write(c, w, b.Next)
		break // the end of the topic has moved
	}
	return true
}

// confirm tells the roll-outs that the published states were read.
func (p *publisher) confirm(wanted map[string]directory.RolloutStatus) {
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	for s := range wanted {
		p.balancer.rollout(s).Confirm()
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

// write publishes a state if nothing was published since the read; otherwise the next read decides anew.
func (p *publisher) write(ctx context.Context, s directory.RolloutStatus, at int64) {
	r, err := p.options.Records.StatusRecord(s)
	if err == nil {
		err = p.options.Status.Append(ctx, r, at)
	}
	delete(p.due, s.Service)
	if err != nil {
		p.options.Logger.Warn("roll-out: The state was not published.", zap.String("service", s.Service), zap.String("state", string(s.State)), zap.Error(err))
		return
	}
	p.read(s)
}
