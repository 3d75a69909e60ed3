package ingress

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/forward"
)

// How far a response had come when the connection to the endpoint broke, in logs and metrics.
const (
	stageNoHead  = "no-head" // not a byte had arrived
	stageHead    = "head"    // the head, but no event or complete body
	stageEvents  = "events"  // events, for less than harmlessDelay
	stageLasting = "lasting" // events, for harmlessDelay or longer
)

// Reasons for which a broken connection isn't taken for the end of the endpoint's process, in logs and metrics.
const (
	deathNotAnswering = "no answer to a probe" // the host may be unreachable or suspended
	deathListening    = "address answers"      // the endpoint, or another process at its address
	deathUnprobed     = "request has ended"    // the client has left or the deadline has passed
)

// Outcomes of attempts that were given up before the response was complete.
const (
	sendClientLeft = "client left"
	sendDeadline   = "deadline"
)

// An attempt that was given up may have crashed its endpoint all the same. The endpoint is probed after each of the delays, as
// long as it sends nothing to anyone, at a limited rate.
const (
	firstAbandonedCheck      = 100 * time.Millisecond
	secondAbandonedCheck     = 400 * time.Millisecond // after the first
	abandonedProbesPerSecond = 2
	abandonedProbeBurst      = 4
	probeTimeout             = time.Second
)

// stage returns how far the response has come.
func (a *attempt) stage(now time.Time) string {
	switch {
	case a.response == nil:
		return stageNoHead
	case a.dataEvents == 0:
		return stageHead
	case now.Sub(a.firstEventAt) < harmlessDelay:
		return stageEvents
	}
	return stageLasting
}

// probeEndpoint checks whether the endpoint's process has ended. Only then is the request suspected of having crashed it.
func (a *attempt) probeEndpoint(cause error) {
	x, id := a.exchange, a.choice.Endpoint.ID
	result := x.handler.pool.Probe(x.ctx, a.choice.Endpoint.Address)
	now := time.Now()
	switch {
	case x.ctx.Err() != nil:
		a.noteUncountedDeath(now, deathUnprobed, cause)
		return
	case result == forward.Listening:
		a.noteUncountedDeath(now, deathListening, cause)
		return
	}
	state := "unreachable"
	if result == forward.NotListening {
		state = "dead"
		a.recordDeath(now, a.stage(now), cause)
	} else {
		a.noteUncountedDeath(now, deathNotAnswering, cause)
	}
	x.handler.log.logEndpointState(id, state, x.handler.balancer.markUnreachable(now, id), cause)
	x.excludedEndpoints[id] = true
}

// checkAbandoned finds out whether the endpoint's process ends shortly after the attempt was given up.
func (a *attempt) checkAbandoned() {
	stage := a.stage(time.Now())
	var check func(delay, next time.Duration)
	check = func(delay, next time.Duration) {
		time.AfterFunc(delay, func() {
			if !a.probeAbandoned(stage, delay) && next > 0 {
				check(next, 0)
			}
		})
	}
	check(firstAbandonedCheck, secondAbandonedCheck)
}

// probeAbandoned probes the endpoint unless it has sent anything within a period, and reports whether its process has ended.
func (a *attempt) probeAbandoned(stage string, period time.Duration) bool {
	h, address := a.exchange.handler, a.choice.Endpoint.Address
	if active, _, _ := h.pool.Activity(address, period); active || !h.abandonedProbes.Allow() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if h.pool.Probe(ctx, address) != forward.NotListening {
		return false
	}
	now := time.Now()
	a.recordDeath(now, stage, errAbandoned)
	h.log.logEndpointState(a.choice.Endpoint.ID, "dead", h.balancer.markUnreachable(now, a.choice.Endpoint.ID), errAbandoned)
	return true
}

// recordDeath records that the endpoint's process has ended, when the response had come to a stage.
func (a *attempt) recordDeath(now time.Time, stage string, cause error) {
	x := a.exchange
	late := a.harmless || stage == stageLasting
	counted := x.handler.coordinator.prompts.recordDeath(now, endpointDeath{
		endpoint: a.choice.Endpoint, request: x.request.ID, content: x.contentID, parts: x.partIDs, late: late,
	})
	x.handler.metrics.countDeath(stage, "")
	x.handler.log.logDeath(a, stage, "", cause, zap.Bool("against-content", counted), zap.Bool("against-parts", !late && len(x.partIDs) > 0))
}

// noteUncountedDeath logs and counts a broken connection that isn't taken for the end of the endpoint's process.
func (a *attempt) noteUncountedDeath(now time.Time, reason string, cause error) {
	stage := a.stage(now)
	a.exchange.handler.metrics.countDeath(stage, reason)
	a.exchange.handler.log.logDeath(a, stage, reason, cause)
}

// logDeath logs that the connection of a request broke because the endpoint's process ended or, with a reason, why it isn't
// taken for that.
func (l *requestLog) logDeath(a *attempt, stage, reason string, cause error, fields ...zap.Field) {
	if !l.allowLine(l.eventLimiter) {
		return
	}
	msg := "endpoint: Ended under a request."
	if reason != "" {
		msg = "endpoint: A broken connection does not count as its end."
		fields = append(fields, zap.String("reason", reason))
	}
	x := a.exchange
	l.logger.Warn(msg, append(fields, zap.String("request", x.request.ID), zap.String("content", x.contentID),
		zap.String("endpoint", a.choice.Endpoint.ID), zap.String("stage", stage), zap.Int("events", a.dataEvents),
		zap.Duration("since-send", time.Since(a.sentAt)), zap.NamedError("cause", cause))...)
}
