package servicecall

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

// latencyWeight is the latency weight of every lookup. It is high enough for copies, because a driver or a baker waits
// for the reply.
const latencyWeight = 1

// hedger makes an endpoint.Hedger safe for concurrent use.
type hedger struct {
	mu    sync.Mutex
	hedge *endpoint.Hedger
}

// countLookup counts a lookup, which adds to the budget of copies.
func (h *hedger) countLookup() endpoint.AttemptCount {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedge.RecordFirstAttempt()
}

// observe records how long an endpoint of the service took to reply.
func (h *hedger) observe(service string, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedge.RecordLatency(time.Now(), service, latency)
}

// delay returns how long to wait for a reply before a copy is sent, and false if none may be sent.
func (h *hedger) delay(service string, deadline time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedge.CopyDelay(time.Now(), service, true, latencyWeight, deadline)
}

// takeBudget reports whether the budget allows a copy now, and counts it.
func (h *hedger) takeBudget(copies *endpoint.AttemptCount, deadline time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedge.TakeCopy(time.Now(), copies, deadline)
}

// lookupResult is the result of one attempt of a lookup.
type lookupResult struct {
	reply engine.ServiceReply
	err   error
}

// lookupHedged sends a lookup to an endpoint, and a copy to another one when the reply is late. It returns the first
// successful reply.
func (d *Dispatcher) lookupHedged(ctx context.Context, c Call, e endpoint.Choice, tried *triedEndpoints, copies *endpoint.AttemptCount) (engine.ServiceReply, error) {
	tried.add(e.Endpoint)
	wait, ok := d.hedger.delay(c.Service, c.Deadline)
	if !ok {
		r := d.lookupOnce(ctx, c, e)
		return r.reply, r.err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the attempt that is still running
	results, done := make(chan lookupResult), make(chan struct{})
	defer close(done)
	lookUp := func(e endpoint.Choice) {
		r := d.lookupOnce(ctx, c, e)
		select {
		case results <- r:
		case <-done:
			r.reply.Release()
		}
	}
	go lookUp(e)
	delay := time.NewTimer(wait)
	defer delay.Stop()
	for running := 1; ; {
		select {
		case r := <-results:
			if running--; r.err == nil || running == 0 {
				return r.reply, r.err
			}
		case <-delay.C:
			if second, ok := d.secondEndpoint(c, tried, copies); ok {
				running++
				go lookUp(second)
			}
		}
	}
}

// secondEndpoint returns an endpoint for a copy, and false if none is free now or the budget does not allow a copy.
func (d *Dispatcher) secondEndpoint(c Call, tried *triedEndpoints, copies *endpoint.AttemptCount) (endpoint.Choice, bool) {
	now := time.Now()
	e, ok := d.pool.View().Choose(endpoint.Query{
		Service: c.Service, Zone: d.settings.AvailabilityZone, Excluded: tried.exclude, RandomDraws: [2]float64{rand.Float64(), rand.Float64()}, Now: now,
	})
	if !ok || !d.hedger.takeBudget(copies, c.Deadline) {
		return e, false
	}
	e.BeginRequest(now)
	if e.EndpointBlocked() {
		e.EndRequest()
		return e, false
	}
	tried.add(e.Endpoint)
	d.writeEvent("copied", c, e.ID, nil)
	return e, true
}

// lookupOnce sends a lookup to an endpoint and reports the result. A reply with a status of 500 or more is an error.
func (d *Dispatcher) lookupOnce(ctx context.Context, c Call, e endpoint.Choice) lookupResult {
	started := time.Now()
	r, err := d.engines.CallService(ctx, e.Address, d.serviceCall(c), d.settings.LookupTimeout)
	e.EndRequest()
	d.reportResult(e, c, started, r, err)
	switch {
	case err == nil && r.Status >= http.StatusInternalServerError:
		r.Release()
		err = fmt.Errorf("status %d", r.Status)
	case err == nil:
		d.hedger.observe(c.Service, time.Since(started))
	}
	return lookupResult{r, err}
}
