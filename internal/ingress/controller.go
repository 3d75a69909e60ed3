package ingress

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/core/roster"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

const controlInterval = 100 * time.Millisecond // between checks of state that changes with time alone

// controller maintains the configuration and the endpoint registry. Only its goroutine changes them.
type controller struct {
	options          Options
	balancer         *balancer
	snapshot         *atomic.Pointer[snapshot]
	roster           *roster.Roster
	updates          chan topicUpdate
	reachable        map[string]bool // whether the last read of a topic succeeded, by topic
	onStoreRecovered func()          // called when reads of a topic succeed again
	current          snapshot
	returnedAt       time.Time     // when the store was last seen to have come back from an older copy
	ready            chan struct{} // closed when requests can be served
}

// topicUpdate is an update with the topic that it belongs to.
type topicUpdate struct {
	topic string
	changefeed.Update
}

// Names of topics in logs.
const (
	topicOperators = "operators"
	topicRegistry  = "registry"
	topicStatus    = "status"
	topicInstances = "instances"
)

// newController returns a controller without a configuration or endpoints.
func newController(o Options, b *balancer, v *atomic.Pointer[snapshot]) *controller {
	return &controller{
		options: o, balancer: b, snapshot: v, roster: roster.New(), updates: make(chan topicUpdate, 16),
		reachable: map[string]bool{topicOperators: true, topicRegistry: true}, onStoreRecovered: func() {},
		ready: make(chan struct{}),
	}
}

// applyUpdates applies updates until the context ends.
func (c *controller) applyUpdates(ctx context.Context) {
	t := time.NewTicker(controlInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-c.updates:
			c.applyUpdate(time.Now(), u)
		case <-t.C:
			c.applyRosterEvent(time.Now(), roster.Event{})
			c.expireEvacuations(time.Now())
		}
	}
}

// updateHandler returns a function that passes updates of a topic to the controller's goroutine.
func (c *controller) updateHandler(ctx context.Context, topic string) func(changefeed.Update) {
	return func(u changefeed.Update) {
		select {
		case c.updates <- topicUpdate{topic, u}:
		case <-ctx.Done():
		}
	}
}

// applyUpdate applies an update of a topic and publishes a new snapshot.
func (c *controller) applyUpdate(now time.Time, u topicUpdate) {
	c.logReachability(u)
	if u.Err != nil {
		if u.topic == topicRegistry {
			c.applyRosterEvent(now, roster.Event{StoreFailed: true})
		}
		return
	}
	if u.Return != nil {
		c.returnedAt = now
		noteReturn(c.options, u.topic, u.Update)
	}
	if u.topic == topicOperators {
		c.applyOperatorRecords(now, u)
	} else {
		c.applyRegistryRecords(now, u)
	}
	v := c.current
	if old := c.snapshot.Swap(&v); v.ready() && !old.ready() {
		close(c.ready)
	}
}

// logReachability logs when reads of a topic start to fail and when they succeed again.
func (c *controller) logReachability(u topicUpdate) {
	ok := u.Err == nil
	if c.reachable[u.topic] == ok {
		return
	}
	c.reachable[u.topic] = ok
	if ok {
		c.onStoreRecovered()
		c.options.Logger.Info("store: Regained.", zap.String("topic", u.topic), zap.Stringer("next", u.Next))
	} else {
		c.options.Logger.Warn("store: Lost; the last known state stays in use.", zap.String("topic", u.topic), zap.Error(u.Err))
	}
}

// applyOperatorRecords applies configurations, roll-out orders and evacuations.
func (c *controller) applyOperatorRecords(now time.Time, u topicUpdate) {
	var evacuations []routing.EvacuationChange
	for _, r := range u.Records {
		change, err := c.options.Codec.DecodeOperatorRecord(r.Key, r.Value)
		switch {
		case err != nil:
			c.options.Logger.Error("configuration: A record can't be read; the one in force stays.", zap.Stringer("position", r.Position), zap.Error(err))
		case change.Configuration != nil:
			c.applyConfiguration(now, change.Configuration, r.Position, u.Evidence)
		case change.Order != nil:
			c.applyRolloutOrder(now, *change.Order, r.Position, u.IsSnapshot)
		case change.Evacuation != nil:
			evacuations = append(evacuations, *change.Evacuation)
		}
	}
	c.applyEvacuations(now, evacuations, u)
	c.current.configurationEvidence = u.Evidence
}

// applyConfiguration activates a configuration unless one of the same or a newer version is active.
func (c *controller) applyConfiguration(now time.Time, config *routing.Configuration, p changefeed.Position, e changefeed.Evidence) {
	old := c.current.configuration
	if old != nil && config.Version <= old.Version {
		return
	}
	c.current.configuration = config
	c.balancer.setServices(config.Services)
	c.options.Logger.Info("configuration: In force.", append(originFields(now, e), zap.Int64("version", config.Version), zap.Stringer("position", p),
		zap.Int("routes", len(config.Routes)), zap.Int("organisations", len(config.Organisations)))...)
}

// copyPeriod is the time after a return of the store in which its snapshots may lack what operators have yet to write again.
const copyPeriod = time.Minute

// applyRolloutOrder starts a roll-out. The exact time of an order in a snapshot is unknown, and after a return of the store it may be
// older than the one in force.
func (c *controller) applyRolloutOrder(now time.Time, o routing.RolloutOrder, p changefeed.Position, isSnapshot bool) {
	c.balancer.mu.Lock()
	r := c.balancer.rolloutOf(o.Service)
	var started bool
	if isSnapshot && now.Sub(c.returnedAt) < copyPeriod {
		started = r.ApplyCopiedOrder(now, o)
	} else {
		started = r.ApplyOrder(now, o, !isSnapshot)
	}
	current := r.CurrentVersion()
	c.balancer.mu.Unlock()
	if started {
		c.options.Logger.Info("roll-out: Received an order.", zap.String("service", o.Service), zap.String("version", o.Target),
			zap.String("in-use", current), zap.Duration("within", o.Duration), zap.Stringer("position", p), zap.Bool("just-given", !isSnapshot))
	}
}

// applyRegistryRecords applies entries of the endpoint registry.
func (c *controller) applyRegistryRecords(now time.Time, u topicUpdate) {
	c.applyRosterEvent(now, roster.Event{StoreReached: true})
	changes := make([]routing.EndpointChange, 0, len(u.Records))
	for _, r := range u.Records {
		change, err := c.options.Codec.DecodeRegistration(r.Key, r.Value)
		if err != nil {
			// The change of an unreadable entry holds no endpoint, so it removes the endpoint that the entry replaces.
			c.options.Logger.Warn("registry: An entry can't be read.", zap.String("endpoint", r.Key), zap.Stringer("position", r.Position), zap.Error(err))
		}
		changes = append(changes, change)
	}
	c.current.registryRead, c.current.registryEvidence = true, u.Evidence
	defer func() { c.balancer.recordRegistrations(now, changes) }()
	if u.IsSnapshot {
		c.applyRosterEvent(now, roster.Event{Snapshot: changes, StoreReturned: u.Return != nil})
		return
	}
	// The endpoints are set once for many changes, as this takes time for each endpoint. Changes of the same endpoint are set one
	// after another, so that a process which has replaced another one is not taken for it.
	first, seen := 0, map[string]bool{}
	for i, change := range changes {
		if seen[change.ID] {
			c.applyRosterEvent(now, roster.Event{Changes: changes[first:i]})
			first = i
			clear(seen)
		}
		seen[change.ID] = true
	}
	if first < len(changes) {
		c.applyRosterEvent(now, roster.Event{Changes: changes[first:]})
	}
}

// applyRosterEvent applies an event to the roster and updates the balancer if the endpoints changed.
func (c *controller) applyRosterEvent(now time.Time, event roster.Event) {
	changes := c.roster.Apply(now, event)
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		c.options.Logger.Info("endpoint: Registration changed.", append(originFields(now, c.current.registryEvidence),
			zap.String("endpoint", change.ID), zap.String("change", string(change.Reason)),
			zap.String("service", change.Endpoint.Service), zap.String("version", change.Endpoint.Version), zap.Stringer("address", change.Endpoint.Address),
			zap.String("availability-zone", change.Endpoint.AvailabilityZone), zap.Int64("sequence", change.Endpoint.Sequence))...)
	}
	c.balancer.setEndpoints(c.roster.AvailableEndpoints())
}
