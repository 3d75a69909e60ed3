package ingress

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
	"github.com/cassiaspoke/cassiaspoke/internal/core/roster"
	"github.com/cassiaspoke/cassiaspoke/internal/feed"
)

const tick = 100 * time.Millisecond // between looks at what time alone changes

// control owns the configuration and the registry; its goroutine alone changes them.
type control struct {
	options  Options
	balancer *balancer
	view     *atomic.Pointer[View]
	roster   *roster.Roster
	updates  chan update
	reached  map[string]bool // whether the last call for a topic succeeded
	regained func()          // called when a topic was lost and is back
	now      View
	ready    chan struct{} // closed when requests can be served
}

// update is an update of one topic.
type update struct {
	topic string
	feed.Update
}

// Topics by their names in logs.
const (
	topicOperators = "operators"
	topicRegistry  = "registry"
)

func newControl(o Options, b *balancer, v *atomic.Pointer[View]) *control {
	return &control{
		options: o, balancer: b, view: v, roster: roster.New(), updates: make(chan update, 16),
		reached: map[string]bool{topicOperators: true, topicRegistry: true}, regained: func() {},
		ready: make(chan struct{}),
	}
}

// run applies updates until the context ends.
func (c *control) run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-c.updates:
			c.apply(time.Now(), u)
		case <-t.C:
			c.endpoints(time.Now(), roster.Event{})
		}
	}
}

// follow returns the function that hands updates of a topic to the control goroutine.
func (c *control) follow(ctx context.Context, topic string) func(feed.Update) {
	return func(u feed.Update) {
		select {
		case c.updates <- update{topic, u}:
		case <-ctx.Done():
		}
	}
}

func (c *control) apply(now time.Time, u update) {
	c.reach(u)
	if u.Err != nil {
		if u.topic == topicRegistry {
			c.endpoints(now, roster.Event{Lost: true})
		}
		return
	}
	if u.topic == topicOperators {
		c.operators(now, u)
	} else {
		c.registry(now, u)
	}
	v := c.now
	if old := c.view.Swap(&v); v.Ready() && !old.Ready() {
		close(c.ready)
	}
}

// reach logs when the store is lost and regained.
func (c *control) reach(u update) {
	ok := u.Err == nil
	if c.reached[u.topic] == ok {
		return
	}
	c.reached[u.topic] = ok
	if ok {
		c.regained()
		c.options.Logger.Info("store: Regained.", zap.String("topic", u.topic), zap.Int64("next", u.Next))
	} else {
		c.options.Logger.Warn("store: Lost; the last known state stays in use.", zap.String("topic", u.topic), zap.Error(u.Err))
	}
}

func (c *control) operators(now time.Time, u update) {
	for _, r := range u.Records {
		o, err := c.options.Records.Operator(r.Key, r.Value)
		switch {
		case err != nil:
			c.options.Logger.Error("configuration: A record can't be read; the one in force stays.", zap.Int64("offset", r.Offset), zap.Error(err))
		case o.Directory != nil:
			c.configure(o.Directory, r.Offset)
		case o.Order != nil:
			c.order(now, *o.Order, r.Offset, !u.Full)
		}
	}
	c.now.OperatorsAt = u.At
}

// configure puts a configuration in force unless a newer one is.
func (c *control) configure(d *directory.Directory, offset int64) {
	old := c.now.Directory
	if old != nil && d.Version <= old.Version {
		return
	}
	c.now.Directory = d
	c.options.Logger.Info("configuration: In force.", zap.Int64("version", d.Version), zap.Int64("offset", offset),
		zap.Int("routes", len(d.Routes)), zap.Int("organisations", len(d.Organisations)))
}

// order starts a roll-out; exact tells whether the order has just been given.
func (c *control) order(now time.Time, o directory.RolloutOrder, offset int64, exact bool) {
	c.balancer.mu.Lock()
	started := c.balancer.rollout(o.Service).Order(now, o, exact)
	c.balancer.mu.Unlock()
	if started {
		c.options.Logger.Info("roll-out: Ordered.", zap.String("service", o.Service), zap.String("version", o.Target),
			zap.Duration("within", o.Duration), zap.Int64("offset", offset), zap.Bool("just-given", exact))
	}
}

func (c *control) registry(now time.Time, u update) {
	c.endpoints(now, roster.Event{Reach: true})
	l := make([]directory.EndpointChange, 0, len(u.Records))
	for _, r := range u.Records {
		e, err := c.options.Records.Registration(r.Key, r.Value)
		if err != nil {
			// An entry that can't be read names no endpoint, so one that it replaces is gone.
			c.options.Logger.Warn("registry: An entry can't be read.", zap.String("endpoint", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
		}
		l = append(l, e)
	}
	c.now.RegistryAt = u.At
	if u.Full {
		c.endpoints(now, roster.Event{Full: l})
		return
	}
	for i := range l {
		c.endpoints(now, roster.Event{Change: &l[i]})
	}
}

// endpoints applies an event and publishes the endpoints if it changed them.
func (c *control) endpoints(now time.Time, e roster.Event) {
	l := c.roster.Step(now, e)
	if len(l) == 0 {
		return
	}
	for _, a := range l {
		c.options.Logger.Info("endpoint: Registration changed.", zap.String("endpoint", a.ID), zap.String("change", string(a.Reason)),
			zap.String("service", a.Endpoint.Service), zap.String("version", a.Endpoint.Version), zap.Stringer("address", a.Endpoint.Address),
			zap.String("availability-zone", a.Endpoint.AvailabilityZone), zap.Int64("sequence", a.Endpoint.Sequence),
			zap.Duration("registry-age", now.Sub(c.now.RegistryAt)))
	}
	c.balancer.setEndpoints(c.roster.Usable())
}
