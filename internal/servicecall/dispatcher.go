package servicecall

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
)

// Call is a call of an organisation to a plain service. IdempotencyKey and HonoursKeys matter for orders only.
type Call struct {
	RequestID      string
	Organisation   string
	Service        string
	Method         string
	Path           string // including the query
	Header         http.Header
	Body           []byte
	IdempotencyKey string // a UUIDv7
	HonoursKeys    bool   // the service runs repeated calls with the same key only once
	Deadline       time.Time
}

// Reply is a service's reply.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool // this is the stored reply of an earlier order with the same key

	release func() // releases the memory of the body; nil if it has none of its own
}

// Release releases the memory of the reply, which must not be used any more.
func (r Reply) Release() {
	if r.release != nil {
		r.release()
	}
}

// Ticket is the right to run an order once.
type Ticket interface {
	// BeginSend is called once, right before the order is sent. If it returns an error, the order must not be sent.
	BeginSend() error
	// RecordOutcome records the outcome of a sent order.
	RecordOutcome(r Reply)
	// RecordUnknown records that the outcome of a sent order is unknown.
	RecordUnknown()
	// VoidClaim releases the key of an order that was not sent and won't be sent. It reports whether no earlier attempt with
	// the key can have run either. There may be earlier ones, because an order whose outcome is unknown may be sent
	// again to a service that honours keys.
	VoidClaim() bool
}

// Claimer grants the ticket for the key of an order, or returns the stored reply if an order with that key has
// finished.
type Claimer interface {
	Claim(ctx context.Context, c Call) (Ticket, *Reply, error)
}

// EndpointPool provides the endpoints to choose from and receives the results of calls to them.
type EndpointPool interface {
	View() *endpoint.View
	Record(ev endpoint.Event)
}

// Recorder writes events to the timeline.
type Recorder interface {
	Write(e timeline.Event)
}

// Settings holds the availability zone of the instance and the timeouts of calls to services.
type Settings struct {
	AvailabilityZone string
	EndpointTimeout  time.Duration // how long a call waits for a free endpoint
	EndpointInterval time.Duration // between two checks for a free endpoint
	LookupTimeout    time.Duration // of one attempt of a lookup
	OrderTimeout     time.Duration // from sending an order to its reply
	Hedge            endpoint.HedgeSettings
}

// DefaultSettings returns settings for an availability zone.
func DefaultSettings(availabilityZone string) Settings {
	return Settings{
		AvailabilityZone: availabilityZone, EndpointTimeout: 2 * time.Second, EndpointInterval: 10 * time.Millisecond,
		LookupTimeout: 2 * time.Second, OrderTimeout: 10 * time.Second, Hedge: endpoint.DefaultHedgeSettings(),
	}
}

// Dispatcher makes calls to plain services.
type Dispatcher struct {
	settings    Settings
	pool        EndpointPool
	claimer     Claimer
	retries     *endpoint.RetryBudget
	engines     *engine.Client
	events      Recorder
	checkConfig func() error // returns an error unless the configuration is known to be in force
	hedger      hedger
}

// NewDispatcher returns a Dispatcher; checkConfig returns an error unless the configuration is known to be in force.
func NewDispatcher(s Settings, checkConfig func() error, p EndpointPool, c Claimer, b *endpoint.RetryBudget, e *engine.Client, r Recorder) *Dispatcher {
	return &Dispatcher{
		settings: s, checkConfig: checkConfig, pool: p, claimer: c, retries: b, engines: e, events: r,
		hedger: hedger{hedge: endpoint.NewHedger(s.Hedge)},
	}
}

// triedEndpoints holds the endpoints that a call was sent to most recently; they are not chosen again.
type triedEndpoints struct {
	exclude [6]endpoint.Handle
	n       int // number of attempts
}

func (t *triedEndpoints) add(h endpoint.Handle) {
	t.exclude[t.n%len(t.exclude)] = h
	t.n++
}

// Lookup makes an idempotent call. It tries another endpoint after a failure, and sends a copy to a second endpoint
// when the reply of the first one is late.
func (d *Dispatcher) Lookup(ctx context.Context, c Call) (Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	attempts := d.retries.RecordFirstAttempt()
	copies := d.hedger.countLookup()
	var tried triedEndpoints
	for {
		e, err := d.waitForEndpoint(ctx, c.Service, &tried)
		if err != nil {
			return Reply{}, &Error{Op: "lookup", Kind: noEndpointKind(err, tried.n), NotRun: tried.n == 0, Err: err}
		}
		if err := d.checkConfig(); err != nil {
			e.EndRequest()
			return Reply{}, &Error{Op: "lookup", Kind: ErrNotReady, NotRun: tried.n == 0, Err: err}
		}
		r, err := d.lookupHedged(ctx, c, e, &tried, &copies)
		if err == nil {
			return newReply(r), nil
		}
		switch {
		case ctx.Err() != nil:
			return Reply{}, &Error{Op: "lookup", Kind: ErrDeadlineExceeded, Err: err}
		case !d.retries.TakeRetry(time.Now(), &attempts, c.Deadline, 0):
			return Reply{}, &Error{Op: "lookup", Kind: ErrNoCapacity, Err: err}
		}
	}
}

// PlaceOrder makes a call that runs at most once. It claims the key of the order first and sends the order only if the claim
// is granted.
func (d *Dispatcher) PlaceOrder(ctx context.Context, c Call) (Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	ticket, stored, err := d.claimer.Claim(ctx, c)
	if err != nil {
		d.writeEvent("order-refused", c, "", err)
		return Reply{}, err
	}
	if stored != nil {
		d.writeEvent("order-replayed", c, "", nil)
		stored.Replayed = true
		return *stored, nil
	}
	r, err := d.sendOrder(ctx, c, ticket)
	if err != nil {
		return Reply{}, err
	}
	ticket.RecordOutcome(r)
	d.writeEvent("order-finished", c, "", nil)
	return r, nil
}

// sendOrder sends a claimed order. After a failure it sends the order again only if the service honours keys.
func (d *Dispatcher) sendOrder(ctx context.Context, c Call, ticket Ticket) (Reply, error) {
	var tried triedEndpoints
	attempts := d.retries.RecordFirstAttempt()
	e, line, err := d.connect(ctx, c, &tried)
	if err != nil {
		return Reply{}, d.releaseClaim(c, ticket, noEndpointKind(err, tried.n), err)
	}
	if err := d.confirmSend(c, ticket); err != nil {
		line.Close()
		e.EndRequest()
		return Reply{}, err
	}
	for {
		d.writeEvent("order-sent", c, e.ID, nil)
		started := time.Now()
		// From here on the order may run. If the caller disconnects, the reply must still be read, or the outcome
		// would be unknown.
		r, err := line.Call(context.WithoutCancel(ctx), d.serviceCall(c), d.settings.OrderTimeout)
		e.EndRequest()
		d.reportResult(e, c, started, r, err)
		if err == nil {
			return newReply(r), nil
		}
		d.writeEvent("order-lost", c, e.ID, err)
		tried.add(e.Endpoint)
		if !c.HonoursKeys || !d.retries.TakeRetry(time.Now(), &attempts, c.Deadline, 0) {
			ticket.RecordUnknown()
			return Reply{}, &Error{Op: "place", Kind: ErrOutcomeUnknown, Err: err}
		}
		if e, line, err = d.connect(ctx, c, &tried); err != nil {
			ticket.RecordUnknown()
			return Reply{}, &Error{Op: "place", Kind: ErrOutcomeUnknown, Err: err}
		}
	}
}

// confirmSend checks right before an order is sent that it still may be, because the process may have been paused since
// the claim.
func (d *Dispatcher) confirmSend(c Call, ticket Ticket) error {
	if err := d.checkConfig(); err != nil {
		return d.releaseClaim(c, ticket, ErrNotReady, err)
	}
	err := ticket.BeginSend()
	if err == nil {
		return nil
	}
	ticket.VoidClaim()
	d.writeEvent("order-void", c, "", err)
	return fmt.Errorf("place: %w", err)
}

// releaseClaim gives up an order that was not sent. The error that it returns is of the given kind only if no earlier
// attempt can have run.
func (d *Dispatcher) releaseClaim(c Call, ticket Ticket, kind ErrorKind, err error) error {
	notRun := ticket.VoidClaim()
	d.writeEvent("order-void", c, "", err)
	if !notRun {
		kind = ErrOutcomeUnknown
	}
	return &Error{Op: "place", Kind: kind, NotRun: notRun, Err: err}
}

// connect waits for a free endpoint of the service and opens a connection to it without sending anything. If that
// fails, it tries other endpoints.
func (d *Dispatcher) connect(ctx context.Context, c Call, tried *triedEndpoints) (endpoint.Choice, *engine.SingleUseConn, error) {
	giveUp := time.Now().Add(d.settings.EndpointTimeout)
	for {
		e, err := d.waitForEndpoint(ctx, c.Service, tried)
		if err != nil {
			return e, nil, err
		}
		started := time.Now()
		line, err := d.engines.Connect(ctx, e.Address)
		if err == nil {
			return e, line, nil
		}
		e.EndRequest()
		d.reportResult(e, c, started, engine.ServiceReply{}, err)
		tried.add(e.Endpoint)
		if time.Now().After(giveUp) {
			return e, nil, err
		}
	}
}

// errEvacuated states that no endpoint is left because of evacuations.
var errEvacuated = errors.New("all endpoints are in evacuated availability zones")

// noEndpointKind returns the kind of error for a call that got no endpoint after some attempts.
func noEndpointKind(err error, attempts int) ErrorKind {
	if attempts == 0 && errors.Is(err, errEvacuated) {
		return ErrEvacuated
	}
	return ErrNoCapacity
}

// waitForEndpoint waits for a free endpoint of the service and counts the call as outstanding there.
func (d *Dispatcher) waitForEndpoint(ctx context.Context, service string, tried *triedEndpoints) (endpoint.Choice, error) {
	giveUp := time.Now().Add(d.settings.EndpointTimeout)
	for {
		now := time.Now()
		c, ok := d.pool.View().Choose(endpoint.Query{
			Service: service, Zone: d.settings.AvailabilityZone, Excluded: tried.exclude, RandomDraws: [2]float64{rand.Float64(), rand.Float64()}, Now: now,
		})
		if ok {
			c.BeginRequest(now)
			if !c.EndpointBlocked() {
				return c, nil
			}
			c.EndRequest()
		}
		if !ok && d.pool.View().AllEvacuated("", service) {
			return endpoint.Choice{}, fmt.Errorf("service %s: %w", service, errEvacuated)
		}
		if now.After(giveUp) {
			return endpoint.Choice{}, fmt.Errorf("no endpoint of service %s", service)
		}
		select {
		case <-ctx.Done():
			return endpoint.Choice{}, ctx.Err()
		case <-time.After(d.settings.EndpointInterval):
		}
	}
}

// serviceCall returns the call in the form that the client of the endpoints takes.
func (d *Dispatcher) serviceCall(c Call) engine.ServiceCall {
	return engine.ServiceCall{Method: c.Method, Path: c.Path, Header: c.Header, Body: c.Body, Key: c.IdempotencyKey, ID: c.RequestID}
}

// failureKinds maps the errors of the endpoints' client to the failures that the endpoint table distinguishes.
var failureKinds = map[engine.ErrorKind]endpoint.FailKind{
	engine.ErrRefused:        endpoint.FailRefused,
	engine.ErrConnectionLost: endpoint.FailConnectionLost,
	engine.ErrTimeout:        endpoint.FailStalled,
	engine.ErrTooLarge:       endpoint.FailErrorStatus,
	engine.ErrTruncated:      endpoint.FailErrorStatus,
}

// reportResult reports the result of a call to the endpoint pool. It also writes a failure to the timeline.
func (d *Dispatcher) reportResult(e endpoint.Choice, c Call, started time.Time, r engine.ServiceReply, err error) {
	var failure *engine.Error
	switch {
	case errors.As(err, &failure):
		if k, ok := failureKinds[failure.Kind]; ok {
			d.pool.Record(endpoint.RequestFailed{Endpoint: e.Endpoint, Started: started, Kind: k})
		}
	case r.Status >= http.StatusInternalServerError:
		d.recordReport(e, r.Report)
		d.pool.Record(endpoint.RequestFailed{Endpoint: e.Endpoint, Started: started, Kind: endpoint.FailErrorStatus})
	default:
		d.recordReport(e, r.Report)
		d.pool.Record(endpoint.RequestAnswered{Endpoint: e.Endpoint, Started: started})
	}
	if err != nil && (failure == nil || failure.Kind != engine.ErrCancelled) {
		d.writeEvent("call-failed", c, e.ID, err)
	}
}

// recordReport records the report of a reply as of the time at which its head arrived. Its body may have taken long, and other replies may
// have reported since.
func (d *Dispatcher) recordReport(e endpoint.Choice, r engine.Report) {
	if r.Leaving {
		e.BlockEndpoint() // takes effect in all views at once, before the table handles the event
	}
	d.pool.Record(endpoint.ReportReceived{Endpoint: e.Endpoint, Report: endpoint.Report{Time: r.ReceivedAt, Leaving: r.Leaving}})
}

// writeEvent writes an event about a call to the timeline.
func (d *Dispatcher) writeEvent(name string, c Call, endpoint string, err error) {
	e := timeline.Event{Component: "order", Name: name, Request: c.RequestID, Organisation: c.Organisation, Endpoint: endpoint}
	if err != nil {
		e.Fields = map[string]string{"error": err.Error()}
	}
	d.events.Write(e)
}

// newReply converts the reply of an endpoint.
func newReply(r engine.ServiceReply) Reply {
	return Reply{Status: r.Status, ContentType: r.Header.Get("Content-Type"), Body: r.Body, release: r.Release}
}
