package order

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

// Call is one call of an organisation to a plain service.
type Call struct {
	ID           string
	Organisation string
	Service      string
	Method       string
	Path         string // with the query
	Header       http.Header
	Body         []byte
	Key          string // UUIDv7, for an order
	HonoursKeys  bool
	Deadline     time.Time
}

// Reply is a service's reply; Replayed marks the stored reply of an earlier call with the same key.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool
}

// Ticket is the right to run an order once.
type Ticket interface {
	// Send is called last before the order is sent, at most once; an error means that it must not be sent.
	Send() error
	// Finish records the outcome of a sent order.
	Finish(r Reply)
	// Lose records that the outcome of a sent order is unknown.
	Lose()
	// Void gives the key back; this attempt was not and will not be sent. It reports whether no earlier attempt can
	// have run either, which a service that honours keys allows to be sent again.
	Void() bool
}

// Claims grants tickets; a key that already has an outcome returns it instead.
type Claims interface {
	Claim(ctx context.Context, c Call) (Ticket, *Reply, error)
}

// Pool chooses endpoints and learns how they did.
type Pool interface {
	View() *endpoint.View
	Event(ev endpoint.Event)
}

// Recorder writes events of the time line.
type Recorder interface {
	Write(e timeline.Event)
}

// Settings tune calls to services.
type Settings struct {
	Zone      string
	QueueWait time.Duration // for an endpoint
	QueueStep time.Duration // between two tries for an endpoint
	Lookup    time.Duration // of one attempt of a lookup
	Order     time.Duration // of an order, from sending it to its reply
	Hedge     endpoint.HedgeSettings
}

// DefaultSettings returns settings for an availability zone.
func DefaultSettings(zone string) Settings {
	return Settings{
		Zone: zone, QueueWait: 2 * time.Second, QueueStep: 10 * time.Millisecond,
		Lookup: 2 * time.Second, Order: 10 * time.Second, Hedge: endpoint.DefaultHedge(),
	}
}

// Desk makes calls to plain services.
type Desk struct {
	s       Settings
	pool    Pool
	claims  Claims
	retries *endpoint.Retries
	engines *engine.Client
	events  Recorder
	serving func() error
	hedge   hedge
}

// NewDesk returns a desk; serving returns nil if the configuration is known to be in force.
func NewDesk(s Settings, serving func() error, p Pool, c Claims, b *endpoint.Retries, e *engine.Client, r Recorder) *Desk {
	return &Desk{s: s, serving: serving, pool: p, claims: c, retries: b, engines: e, events: r, hedge: hedge{core: endpoint.NewHedge(s.Hedge)}}
}

// tries are the endpoints that a call has used up.
type tries struct {
	exclude [6]endpoint.Handle
	n       int
}

func (t *tries) add(h endpoint.Handle) {
	t.exclude[t.n%len(t.exclude)] = h
	t.n++
}

// Lookup makes an idempotent call, on another endpoint after a failure, and on a second one when the first is late.
func (d *Desk) Lookup(ctx context.Context, c Call) (Reply, error) {
	x, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	a := d.retries.First()
	copies := d.hedge.first()
	var t tries
	for {
		e, err := d.choose(x, c.Service, &t)
		if err != nil {
			return Reply{}, &Error{Op: "lookup", Kind: ErrCapacity, NotRun: t.n == 0, Err: err}
		}
		if err := d.serving(); err != nil {
			e.End()
			return Reply{}, &Error{Op: "lookup", Kind: ErrStale, NotRun: t.n == 0, Err: err}
		}
		r, err := d.hedged(x, c, e, &t, &copies)
		if err == nil {
			return reply(r), nil
		}
		switch {
		case x.Err() != nil:
			return Reply{}, &Error{Op: "lookup", Kind: ErrDeadline, Err: err}
		case !d.retries.Take(time.Now(), &a, c.Deadline, 0):
			return Reply{}, &Error{Op: "lookup", Kind: ErrCapacity, Err: err}
		}
	}
}

// Place makes a call that runs at most once: it is claimed first, and sent only by the claim's winner.
func (d *Desk) Place(ctx context.Context, c Call) (Reply, error) {
	x, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	ticket, prior, err := d.claims.Claim(x, c)
	if err != nil {
		d.event("order-refused", c, "", err)
		return Reply{}, err
	}
	if prior != nil {
		d.event("order-replayed", c, "", nil)
		prior.Replayed = true
		return *prior, nil
	}
	r, err := d.place(x, c, ticket)
	if err != nil {
		return Reply{}, err
	}
	ticket.Finish(r)
	d.event("order-finished", c, "", nil)
	return r, nil
}

func (d *Desk) place(ctx context.Context, c Call, ticket Ticket) (Reply, error) {
	var t tries
	a := d.retries.First()
	e, line, err := d.connect(ctx, c, &t)
	if err != nil {
		return Reply{}, d.void(c, ticket, ErrCapacity, err)
	}
	if err := d.maySend(c, ticket); err != nil {
		line.Close()
		e.End()
		return Reply{}, err
	}
	for {
		d.event("order-sent", c, e.ID, nil)
		started := time.Now()
		// The order is under way: the caller's departure must not turn its outcome into an unknown one.
		r, err := line.Service(context.WithoutCancel(ctx), d.wire(c), d.s.Order)
		e.End()
		d.report(e, c, started, r, err)
		if err == nil {
			return reply(r), nil
		}
		d.event("order-lost", c, e.ID, err)
		t.add(e.Endpoint)
		if !c.HonoursKeys || !d.retries.Take(time.Now(), &a, c.Deadline, 0) {
			ticket.Lose()
			return Reply{}, &Error{Op: "place", Kind: ErrUnknown, Err: err}
		}
		if e, line, err = d.connect(ctx, c, &t); err != nil {
			ticket.Lose()
			return Reply{}, &Error{Op: "place", Kind: ErrUnknown, Err: err}
		}
	}
}

// maySend asks last before an order is sent; the process may have been paused meanwhile.
func (d *Desk) maySend(c Call, ticket Ticket) error {
	if err := d.serving(); err != nil {
		return d.void(c, ticket, ErrStale, err)
	}
	err := ticket.Send()
	if err == nil {
		return nil
	}
	ticket.Void()
	d.event("order-void", c, "", err)
	return fmt.Errorf("place: %w", err)
}

// void gives an attempt up and says truly whether the order can have run.
func (d *Desk) void(c Call, ticket Ticket, k ErrorKind, err error) error {
	notRun := ticket.Void()
	d.event("order-void", c, "", err)
	if !notRun {
		k = ErrUnknown
	}
	return &Error{Op: "place", Kind: k, NotRun: notRun, Err: err}
}

// connect opens a connection to an endpoint; nothing is sent on it.
func (d *Desk) connect(ctx context.Context, c Call, t *tries) (endpoint.Choice, *engine.Line, error) {
	limit := time.Now().Add(d.s.QueueWait)
	for {
		e, err := d.choose(ctx, c.Service, t)
		if err != nil {
			return e, nil, err
		}
		started := time.Now()
		line, err := d.engines.Connect(ctx, e.Address)
		if err == nil {
			return e, line, nil
		}
		e.End()
		d.report(e, c, started, engine.ServiceReply{}, err)
		t.add(e.Endpoint)
		if time.Now().After(limit) {
			return e, nil, err
		}
	}
}

// choose waits for an endpoint of the service.
func (d *Desk) choose(ctx context.Context, service string, t *tries) (endpoint.Choice, error) {
	limit := time.Now().Add(d.s.QueueWait)
	for {
		now := time.Now()
		c, ok := d.pool.View().Choose(endpoint.Query{
			Service: service, Zone: d.s.Zone, Exclude: t.exclude, Draws: [2]float64{rand.Float64(), rand.Float64()}, Now: now,
		})
		if ok {
			c.Begin(now)
			if !c.Barred() {
				return c, nil
			}
			c.End()
		}
		if now.After(limit) {
			return endpoint.Choice{}, fmt.Errorf("no endpoint of service %s", service)
		}
		select {
		case <-ctx.Done():
			return endpoint.Choice{}, ctx.Err()
		case <-time.After(d.s.QueueStep):
		}
	}
}

func (d *Desk) wire(c Call) engine.ServiceCall {
	return engine.ServiceCall{Method: c.Method, Path: c.Path, Header: c.Header, Body: c.Body, Key: c.Key, ID: c.ID}
}

// failKinds maps what the client saw to what the endpoint table learns.
var failKinds = map[engine.ErrorKind]endpoint.FailKind{
	engine.ErrRefused: endpoint.FailRefused,
	engine.ErrDied:    endpoint.FailDied,
	engine.ErrSilent:  endpoint.FailSilent,
}

func (d *Desk) report(e endpoint.Choice, c Call, started time.Time, r engine.ServiceReply, err error) {
	var x *engine.Error
	switch {
	case errors.As(err, &x):
		if k, ok := failKinds[x.Kind]; ok {
			d.pool.Event(endpoint.Failed{Endpoint: e.Endpoint, Started: started, Kind: k})
		}
	case r.Status >= http.StatusInternalServerError:
		d.pool.Event(endpoint.Failed{Endpoint: e.Endpoint, Started: started, Kind: endpoint.FailStatus})
	default:
		if r.Report.Leaving {
			e.Bar() // in all views at once, before the table hears of it
		}
		d.pool.Event(endpoint.Answered{Endpoint: e.Endpoint, Started: started, Report: endpoint.Report{Time: time.Now(), Leaving: r.Report.Leaving}})
	}
	if err != nil && (x == nil || x.Kind != engine.ErrCancelled) {
		d.event("call-failed", c, e.ID, err)
	}
}

func (d *Desk) event(name string, c Call, endpoint string, err error) {
	e := timeline.Event{Part: "order", Name: name, Request: c.ID, Organisation: c.Organisation, Endpoint: endpoint}
	if err != nil {
		e.Fields = map[string]string{"error": err.Error()}
	}
	d.events.Write(e)
}

func reply(r engine.ServiceReply) Reply {
	return Reply{Status: r.Status, ContentType: r.Header.Get("Content-Type"), Body: r.Body}
}
