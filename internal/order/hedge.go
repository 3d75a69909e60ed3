package order

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
)

// latencyWeight makes every lookup worth a copy: a driver or a baker waits for it.
const latencyWeight = 1

// hedge serialises the calls to the core's hedge.
type hedge struct {
	mu   sync.Mutex
	core *endpoint.Hedge
}

func (h *hedge) first() endpoint.Attempts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.First()
}

func (h *hedge) observe(service string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.Observe(time.Now(), service, took)
}

func (h *hedge) after(service string, deadline time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.After(time.Now(), service, true, latencyWeight, deadline)
}

func (h *hedge) take(a *endpoint.Attempts, deadline time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Take(time.Now(), a, deadline)
}

// outcome is the end of one copy of a lookup.
type outcome struct {
	reply engine.ServiceReply
	err   error
}

// hedged makes a lookup on an endpoint, and a copy on another one when the reply is late. The first good reply counts.
func (d *Desk) hedged(ctx context.Context, c Call, e endpoint.Choice, t *tries, a *endpoint.Attempts) (engine.ServiceReply, error) {
	t.add(e.Endpoint)
	wait, ok := d.hedge.after(c.Service, c.Deadline)
	if !ok {
		o := d.ask(ctx, c, e)
		return o.reply, o.err
	}
	x, cancel := context.WithCancel(ctx)
	defer cancel() // ends the copy that is still under way
	done := make(chan outcome, 2)
	go func() { done <- d.ask(x, c, e) }()
	late := time.NewTimer(wait)
	defer late.Stop()
	for running := 1; ; {
		select {
		case o := <-done:
			if running--; o.err == nil || running == 0 {
				return o.reply, o.err
			}
		case <-late.C:
			if second, ok := d.second(c, t, a); ok {
				running++
				go func() { done <- d.ask(x, c, second) }()
			}
		}
	}
}

// second returns an endpoint for a copy, if one is free now and the budget of copies allows it.
func (d *Desk) second(c Call, t *tries, a *endpoint.Attempts) (endpoint.Choice, bool) {
	now := time.Now()
	e, ok := d.pool.View().Choose(endpoint.Query{
		Service: c.Service, Zone: d.s.Zone, Exclude: t.exclude, Draws: [2]float64{rand.Float64(), rand.Float64()}, Now: now,
	})
	if !ok || !d.hedge.take(a, c.Deadline) {
		return e, false
	}
	e.Begin(now)
	if e.Barred() {
		e.End()
		return e, false
	}
	t.add(e.Endpoint)
	d.event("copied", c, e.ID, nil)
	return e, true
}

// ask makes a lookup on one endpoint.
func (d *Desk) ask(ctx context.Context, c Call, e endpoint.Choice) outcome {
	started := time.Now()
	r, err := d.engines.Service(ctx, e.Address, d.wire(c), d.s.Lookup)
	e.End()
	d.report(e, c, started, r, err)
	switch {
	case err == nil && r.Status >= http.StatusInternalServerError:
		err = fmt.Errorf("status %d", r.Status)
	case err == nil:
		d.hedge.observe(c.Service, time.Since(started))
	}
	return outcome{r, err}
}
