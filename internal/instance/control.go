package instance

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/internal/core/rollout"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	controlQueue = 4096                   // events that wait for the control goroutine
	tickEvery    = 100 * time.Millisecond // of the endpoint table and the beliefs
	raterTries   = 3                      // failed ratings in a row before the service counts as away
	raterPause   = 5 * time.Second        // until it is tried again
)

// control owns the endpoint table and the beliefs about versions. One goroutine changes them;
// traffic goroutines read the views that it publishes and post events.
type control struct {
	table   *endpoint.Table
	beliefs *cascade.Beliefs
	engines *engine.Client
	list    platform.InstanceList
	every   time.Duration
	events  *timeline.Writer
	logger  *zap.Logger
	scope   tally.Scope
	probes  sync.WaitGroup

	queue      chan any
	ctx        context.Context
	endpoints  atomic.Pointer[endpoint.View]
	estimates  atomic.Pointer[cascade.View]
	candidates atomic.Pointer[map[string][]cascade.Candidate]
	listed     atomic.Pointer[[]platform.Instance]
	catalog    atomic.Pointer[profile.Catalog]
	services   []string
	rater      raterState
	driver     *rollout.Driver
	closed     atomic.Pointer[closedVersions]
	publish    func(record.Change)
	fleet      func() int // instances that are believed to run
	sized      int        // the size that the endpoint table has

	states    map[string]endpoint.State // of the control goroutine
	noted     time.Time                 // of the control goroutine
	admitting sync.Mutex
	admission *endpoint.Admission
}

// raterState tells whether the rating service answers.
type raterState struct {
	failures atomic.Int64
	retry    atomic.Int64 // when it is tried again, in Unix nanoseconds
}

func newControl(ctx context.Context, o Options, engines *engine.Client, seed uint64) *control {
	s := o.Endpoints
	s.Seed = seed
	c := &control{
		table: endpoint.NewTable(s), beliefs: cascade.New(o.Cascade), engines: engines, list: o.List, every: o.ListEvery,
		events: o.Events, logger: o.Logger, scope: o.Scope.SubScope("endpoints"),
		services: slices.Sorted(maps.Keys(o.Gateway.Services)),
		queue:    make(chan any, controlQueue), ctx: ctx, admission: endpoint.NewAdmission(o.Admission),
		driver: rollout.NewDriver(o.RollOut),
	}
	c.endpoints.Store(c.table.View())
	c.estimates.Store(c.beliefs.View(time.Now()))
	c.candidates.Store(&map[string][]cascade.Candidate{})
	c.catalog.Store(profile.New())
	c.closed.Store(&closedVersions{})
	c.listed.Store(&[]platform.Instance{})
	return c
}

// run folds events until the context ends.
func (c *control) run() {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			c.probes.Wait()
			return
		case e := <-c.queue:
			c.step(time.Now(), e)
		case now := <-t.C:
			c.resize(now)
			c.step(now, endpoint.Tick{})
			c.judge(now, rollout.Tick{})
			c.estimates.Store(c.beliefs.View(now))
			c.measure(now)
			c.noteStates(now)
		}
	}
}

// resize tells the endpoint table how many instances share the endpoints.
func (c *control) resize(now time.Time) {
	if n := c.fleet(); n != c.sized {
		c.sized = n
		c.step(now, endpoint.Resized{Fleet: n})
		c.admitting.Lock()
		c.admission.Resize(n)
		c.admitting.Unlock()
	}
}

func (c *control) step(now time.Time, e any) {
	switch e := e.(type) {
	case endpoint.Event:
		for _, a := range c.table.Step(now, e) {
			c.probe(a)
		}
		c.endpoints.Store(c.table.View())
	case cascade.Outcome:
		c.beliefs.Observe(now, e)
		c.judge(now, rollout.SampleSeen{Version: e.Version, Sample: sampleOf(e)})
	case rollout.Event:
		c.judge(now, e)
	case func(time.Time):
		e(now)
	}
}

// probe asks an endpoint for its load on a new connection.
func (c *control) probe(a endpoint.Action) {
	c.probes.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, a.Timeout)
		defer cancel()
		l, err := c.engines.Probe(ctx, a.Address)
		p := endpoint.Probed{Endpoint: a.Endpoint, OK: err == nil}
		c.note("probed", a.ID, okText(err))
		if err == nil {
			r := l.Report()
			p.Report = endpoint.Report{
				Time: time.Now(), Load: r.Outstanding, Slots: r.Slots, Versions: r.Versions, Leaving: r.Leaving, Waits: r.Waits, Wait: r.Wait,
			}
		}
		c.scope.Tagged(map[string]string{"ok": okText(err)}).Counter("probes").Inc(1)
		c.post(p)
	})
}

func (c *control) note(name, id, ok string) {
	c.events.Write(timeline.Event{Part: "endpoint", Name: name, Endpoint: id, Fields: map[string]string{"ok": ok}})
}

// noteLeaving notes the endpoints that a list calls leaving and the one before did not.
func (c *control) noteLeaving(before, now []platform.Instance) {
	known := make(map[string]bool, len(before))
	for _, i := range before {
		known[i.ID] = i.Leaving
	}
	for _, i := range now {
		if i.Leaving && !known[i.ID] {
			c.events.Write(timeline.Event{Part: "endpoint", Name: "leaving", Endpoint: i.ID})
		}
	}
}

func okText(err error) string {
	if err != nil {
		return "no"
	}
	return "yes"
}

// post hands an event to the control goroutine; it waits when the queue is full, so that no failure is lost.
func (c *control) post(e any) {
	select {
	case c.queue <- e:
	case <-c.ctx.Done():
	}
}

// follow reads the platform's list of instances until the context ends.
func (c *control) follow() {
	for {
		x, cancel := context.WithTimeout(c.ctx, c.every+time.Second)
		l, err := c.list.Instances(x)
		cancel()
		switch {
		case err == nil:
			c.noteLeaving(*c.listed.Swap(&l), l)
			c.post(endpoint.Listed{Instances: l})
		case c.ctx.Err() == nil:
			c.logger.Warn("endpoints: The instance list can't be read; the last one stays.", zap.Error(err))
			c.scope.Counter("list-failures").Inc(1)
		}
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(c.every):
		}
	}
}

// apply takes over a new catalog.
func (c *control) apply(k *profile.Catalog) {
	c.post(rollout.CatalogChanged{Catalog: k})
	m := make(map[string][]cascade.Candidate, len(k.Profiles))
	for n := range k.Profiles {
		m[n] = cascade.Candidates(k, n)
	}
	c.candidates.Store(&m)
	c.catalog.Store(k)
}

// View returns the endpoints.
func (c *control) View() *endpoint.View { return c.endpoints.Load() }

// Event reports how an endpoint did.
func (c *control) Event(e endpoint.Event) {
	c.post(e)
	if f, ok := e.(endpoint.Failed); ok {
		c.scope.Tagged(map[string]string{"kind": string(f.Kind)}).Counter("failures").Inc(1)
	}
}

// Beliefs returns what is believed about versions.
func (c *control) Beliefs() *cascade.View { return c.estimates.Load() }

// Observe learns from an outcome.
func (c *control) Observe(o cascade.Outcome) { c.post(o) }

// RaterUp reports whether the rating service answered lately; after failures it is tried again now and then.
func (c *control) RaterUp() bool {
	if c.rater.failures.Load() < raterTries {
		return true
	}
	now, at := time.Now().UnixNano(), c.rater.retry.Load()
	return now >= at && c.rater.retry.CompareAndSwap(at, now+int64(raterPause))
}

// rated notes whether a rating succeeded.
func (c *control) rated(err error) {
	if err == nil {
		c.rater.failures.Store(0)
		return
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	c.rater.retry.Store(time.Now().Add(raterPause).UnixNano())
	c.rater.failures.Add(1)
}
