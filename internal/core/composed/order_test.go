package composed

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/claim"
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/core/entitlement"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// stepClaim mirrors Ticket.stepAttempt.
func (t *task) stepClaim(k claim.EventKind, o *record.Outcome) claim.Output {
	e := claim.Event{Kind: k, Outcome: o, LogTime: t.inst.claimLogTime}
	if (k == claim.EventStart || k == claim.EventTimer) && t.inst.claimProjection != nil {
		if h, ok := t.inst.claimProjection.HolderOf(t.call.org, t.call.key); ok {
			e.Holder = &h
		}
	}
	if k == claim.EventDecided {
		e.Decision = *t.decision
	}
	return t.inst.queueClaims(t.attemptState.Handle(t.now(), e))
}

// awaitClaim mirrors Ticket.awaitDecision.
func (t *task) awaitClaim() bool {
	var o claim.Output
	switch {
	case t.attemptState == nil:
		t.attemptState = claim.NewAttemptState(claim.Settings{RetryDelay: time.Second, ClaimTimeout: 5 * time.Second}, claim.Request{
			Organisation: t.call.org, Key: t.call.key, Attempt: t.id, Instance: t.inst.id, Deadline: t.deadline, AllowResend: t.call.honoursKey,
		})
		o = t.stepClaim(claim.EventStart, nil)
	case t.decision != nil:
		o = t.stepClaim(claim.EventDecided, nil)
	case !t.now().Before(t.attemptState.NextTick()):
		o = t.stepClaim(claim.EventTimer, nil)
	}
	switch o.Result {
	case "":
		return false
	case claim.MaySend:
		t.attempts = t.inst.retries.RecordFirstAttempt()
		return t.startPhase(t.connectOrder)
	case claim.OutcomeKnown:
		if o.Outcome.Unknown || !o.Outcome.Kept {
			return t.finish(false)
		}
		// A replayed reply is billed again under the same ID and uses none of the entitlement.
		t.billCall()
		t.usedAmounts = entitlement.Amounts{}
		return true
	}
	return t.finish(o.Result == claim.NotRun)
}

// connectOrder mirrors Dispatcher.connect and Dispatcher.sendOrder up to the send.
func (t *task) connectOrder() bool {
	inst, now := t.inst, t.now()
	c, ok := inst.endpointTable.View().Choose(endpoint.Query{
		Service: "order", Zone: inst.zone, Excluded: t.exclude, RandomDraws: [2]float64{inst.w.drawFloat(), inst.w.drawFloat()}, Now: now,
	})
	if ok && inst.isFresh() {
		c.BeginRequest(now)
		e := inst.w.endpoint(c.ID)
		if !e.dead && !c.EndpointBlocked() {
			return t.sendOrder(c, e)
		}
		c.EndRequest()
		inst.stepEndpoints(endpoint.RequestFailed{Endpoint: c.Endpoint, Started: now, Kind: endpoint.FailRefused})
		t.exclude[t.failures%len(t.exclude)] = c.Endpoint
		t.failures++
	}
	if now.Sub(t.phaseStart) <= 2*time.Second {
		return false
	}
	if t.sent {
		return t.loseOrder()
	}
	t.stepClaim(claim.EventAbandon, nil)
	return t.finish(true)
}

// sendOrder mirrors the rest of Dispatcher.sendOrder. The claim is checked last, right before the send.
func (t *task) sendOrder(c endpoint.Choice, e *fakeEndpoint) bool {
	if !t.sent {
		if !t.stepClaim(claim.EventSend, nil).AllowSend {
			c.EndRequest()
			t.stepClaim(claim.EventAbandon, nil)
			return t.finish(true)
		}
		t.sent = true
	}
	t.inst.w.checkSend(t, e, "")
	reply := t.inst.w.executeOrder(t, e)
	sentAt := t.now()
	return t.startPhase(func() bool {
		if !t.now().After(sentAt) {
			return false
		}
		c.EndRequest()
		if reply {
			t.inst.leavingInAnswer[e.id] = e.leaving
			// With the time of the report, the endpoint table learns from answers that a service leaves, as in
			// Dispatcher.reportResult.
			t.inst.stepEndpoints(endpoint.RequestAnswered{Endpoint: c.Endpoint, Started: sentAt, Report: endpoint.Report{Time: t.now(), Leaving: e.leaving}})
			t.stepClaim(claim.EventResponse, &record.Outcome{Status: 200, Body: []byte(t.call.key), Kept: true})
			return t.billCall()
		}
		t.inst.stepEndpoints(endpoint.RequestFailed{Endpoint: c.Endpoint, Started: sentAt, Kind: endpoint.FailConnectionLost})
		t.exclude[t.failures%len(t.exclude)] = c.Endpoint
		t.failures++
		if t.call.honoursKey && t.inst.retries.TakeRetry(t.now(), &t.attempts, t.deadline, 0) {
			return t.startPhase(t.connectOrder)
		}
		return t.loseOrder()
	})
}

// loseOrder mirrors Ticket.RecordUnknown: the order may have run, so the reserved amounts count as used.
func (t *task) loseOrder() bool {
	t.stepClaim(claim.EventResponseLost, nil)
	t.usedAmounts = t.reservedAmounts
	return t.finish(false)
}
