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
	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/core/rollout"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	eventQueueSize     = 4096                   // maximum number of events that wait for the control goroutine
	tickInterval       = 100 * time.Millisecond // interval between updates of the published views
	maxRaterFailures   = 3                      // consecutive failed ratings after which the service counts as unavailable
	raterRetryInterval = 5 * time.Second        // time until an unavailable rating service is tried again
)

// control owns the endpoint table, the quality estimates of versions and the roll-out driver. Only the control goroutine
// changes them. Goroutines that serve requests read the views that it publishes, and post events to it.
type control struct {
	table        *endpoint.Table
	estimator    *cascade.Estimator
	engines      *engine.Client
	instanceList platform.InstanceList
	listInterval time.Duration // interval between reads of the instance list
	events       *timeline.Writer
	logger       *zap.Logger
	scope        tally.Scope
	probes       sync.WaitGroup // running probes

	queue      chan any
	ctx        context.Context
	endpoints  atomic.Pointer[endpoint.View]
	estimates  atomic.Pointer[cascade.Estimates]
	candidates atomic.Pointer[map[string][]cascade.Candidate] // by profile
	instances  atomic.Pointer[[]platform.Instance]            // last list that was read
	catalog    atomic.Pointer[config.Catalog]
	services   []string
	rater      raterHealth
	driver     *rollout.Driver
	rollOuts   atomic.Pointer[rollOutState]
	publish    func(record.Change)
	fleetSize  func() int // returns the number of instances that are believed to run
	knownSize  int        // fleet size last passed to the endpoint table and to admission control

	states          map[string]endpoint.State // last recorded state by endpoint; used by the control goroutine only
	statesCheckedAt time.Time                 // used by the control goroutine only

	evacuatedZones []string   // as of the last catalog; used by the goroutine that follows the config stream only
	admissionMu    sync.Mutex // guards admission
	admission      *endpoint.AdmissionController
}

// raterHealth records whether the rating service is available.
type raterHealth struct {
	failures atomic.Int64 // consecutive failed ratings
	retryAt  atomic.Int64 // time of the next try, in Unix nanoseconds
}

func newControl(ctx context.Context, o Options, engines *engine.Client, seed uint64) *control {
	s := o.Endpoints
	s.Seed = seed
	c := &control{
		table: endpoint.NewTable(s), estimator: cascade.NewEstimator(o.Cascade), engines: engines, instanceList: o.InstanceList, listInterval: o.ListInterval,
		events: o.EventWriter, logger: o.Logger, scope: o.Scope.SubScope("endpoints"),
		services: slices.Sorted(maps.Keys(o.Gateway.Services)),
		queue:    make(chan any, eventQueueSize), ctx: ctx, admission: endpoint.NewAdmissionController(o.Admission),
		driver: rollout.NewDriver(o.RollOut),
	}
	c.endpoints.Store(c.table.View())
	c.estimates.Store(c.estimator.Estimates(time.Now()))
	c.candidates.Store(&map[string][]cascade.Candidate{})
	c.catalog.Store(config.NewCatalog())
	c.rollOuts.Store(&rollOutState{})
	c.instances.Store(&[]platform.Instance{})
	return c
}

// runEventLoop handles events until the context ends. It is the control goroutine.
func (c *control) runEventLoop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			c.probes.Wait()
			return
		case e := <-c.queue:
			c.handleEvent(time.Now(), e)
		case now := <-t.C:
			c.updateFleetSize(now)
			c.handleEvent(now, endpoint.Tick{})
			c.updateRollOuts(now, rollout.Tick{})
			c.estimates.Store(c.estimator.Estimates(now))
			c.updateCapacities(now)
			c.recordStateChanges(now)
		}
	}
}

// updateFleetSize passes the number of instances that share the endpoints to the endpoint table and admission control.
func (c *control) updateFleetSize(now time.Time) {
	if n := c.fleetSize(); n != c.knownSize {
		c.knownSize = n
		c.handleEvent(now, endpoint.FleetResized{FleetSize: n})
		c.admissionMu.Lock()
		c.admission.SetFleetSize(n)
		c.admissionMu.Unlock()
	}
}

// handleEvent applies an event to the state of the control goroutine.
func (c *control) handleEvent(now time.Time, e any) {
	switch e := e.(type) {
	case endpoint.Event:
		for _, a := range c.table.Apply(now, e) {
			c.probeEndpoint(a)
		}
		c.endpoints.Store(c.table.View())
	case cascade.Outcome:
		c.estimator.Observe(now, e)
		c.updateRollOuts(now, rollout.SampleObserved{Version: e.Version, Sample: newSample(e)})
	case rollout.Event:
		c.updateRollOuts(now, e)
	case func(time.Time):
		e(now)
	}
}

// probeEndpoint requests the load of an endpoint over a new connection and posts the result.
func (c *control) probeEndpoint(a endpoint.ProbeRequest) {
	c.probes.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, a.Timeout)
		defer cancel()
		l, err := c.engines.Probe(ctx, a.Address)
		e := endpoint.ProbeFinished{Endpoint: a.Endpoint, OK: err == nil}
		c.recordProbe("probed", a.ID, okText(err))
		if err == nil {
			r := l.Report()
			e.Report = endpoint.Report{
				Time: time.Now(), Load: r.Outstanding, Slots: r.Slots, Versions: r.Versions, Leaving: r.Leaving, HasWait: r.HasWait, Wait: r.Wait,
			}
		}
		c.scope.Tagged(map[string]string{"ok": okText(err)}).Counter("probes").Inc(1)
		c.postEvent(e)
	})
}

// recordProbe writes an event about a probe of an endpoint to the timeline.
func (c *control) recordProbe(name, id, ok string) {
	c.events.Write(timeline.Event{Component: "endpoint", Name: name, Endpoint: id, Fields: map[string]string{"ok": ok}})
}

// recordLeaving writes an event for each endpoint that is leaving in the new list but was not in the previous one.
func (c *control) recordLeaving(previous, current []platform.Instance) {
	wasLeaving := make(map[string]bool, len(previous))
	for _, i := range previous {
		wasLeaving[i.ID] = i.Leaving
	}
	for _, i := range current {
		if i.Leaving && !wasLeaving[i.ID] {
			c.events.Write(timeline.Event{Component: "endpoint", Name: "leaving", Endpoint: i.ID})
		}
	}
}

// okText returns the text that labels the result of a probe.
func okText(err error) string {
	if err != nil {
		return "no"
	}
	return "yes"
}

// postEvent sends an event to the control goroutine. It blocks while the queue is full, so that no failure is lost.
func (c *control) postEvent(e any) {
	select {
	case c.queue <- e:
	case <-c.ctx.Done():
	}
}

// pollInstanceList periodically reads the platform's instance list until the context ends.
func (c *control) pollInstanceList() {
	for {
		ctx, cancel := context.WithTimeout(c.ctx, c.listInterval+time.Second)
		l, err := c.instanceList.Instances(ctx)
		cancel()
		switch {
		case err == nil:
			c.recordLeaving(*c.instances.Swap(&l), l)
			c.postEvent(endpoint.InstancesListed{Instances: l})
		case c.ctx.Err() == nil:
			c.logger.Warn("endpoints: The instance list could not be read; the previous list stays in use.", zap.Error(err))
			c.scope.Counter("list-failures").Inc(1)
		}
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(c.listInterval):
		}
	}
}

// applyCatalog stores a new catalog and the candidates of its profiles, and passes it to the roll-out driver.
func (c *control) applyCatalog(catalog *config.Catalog) {
	c.postEvent(rollout.CatalogChanged{Catalog: catalog})
	c.applyEvacuatedZones(catalog.EvacuatedZones())
	candidates := make(map[string][]cascade.Candidate, len(catalog.Profiles))
	for name := range catalog.Profiles {
		candidates[name] = cascade.Candidates(catalog, name)
	}
	c.candidates.Store(&candidates)
	c.catalog.Store(catalog)
}

// View returns the current view of the endpoint table.
func (c *control) View() *endpoint.View { return c.endpoints.Load() }

// Record posts an event of an endpoint, such as a success or a failure of a request.
func (c *control) Record(e endpoint.Event) {
	c.postEvent(e)
	if f, ok := e.(endpoint.RequestFailed); ok {
		c.scope.Tagged(map[string]string{"kind": string(f.Kind)}).Counter("failures").Inc(1)
	}
}

// Estimates returns the current quality estimates of versions.
func (c *control) Estimates() *cascade.Estimates { return c.estimates.Load() }

// Observe updates the estimates and the roll-outs with the outcome of an answer.
func (c *control) Observe(o cascade.Outcome) { c.postEvent(o) }

// RaterAvailable reports whether to send a rating. While the service is unavailable, it returns true to one caller per retry
// interval.
func (c *control) RaterAvailable() bool {
	if c.rater.failures.Load() < maxRaterFailures {
		return true
	}
	now, retryAt := time.Now().UnixNano(), c.rater.retryAt.Load()
	return now >= retryAt && c.rater.retryAt.CompareAndSwap(retryAt, now+int64(raterRetryInterval))
}

// recordRating updates the health of the rating service with the result of a rating. It ignores cancelled ratings.
func (c *control) recordRating(err error) {
	if err == nil {
		c.rater.failures.Store(0)
		return
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	c.rater.retryAt.Store(time.Now().Add(raterRetryInterval).UnixNano())
	c.rater.failures.Add(1)
}
