package composed

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/claim"
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/core/entitlement"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// claimStep mirrors Ticket.step.
func (t *task) claimStep(k claim.EventKind, o *record.Outcome) claim.Output {
	e := claim.Event{Kind: k, Outcome: o, LogNow: t.n.logNow}
	if (k == claim.Start || k == claim.Tick) && t.n.claims != nil {
		if h, ok := t.n.claims.Holder(t.c.org, t.c.key); ok {
			e.Holder = &h
		}
	}
	if k == claim.Ruled {
		e.Ruling = *t.ruling
	}
	return t.n.keep(t.claim.Step(t.now(), e))
}

// claiming mirrors Ticket.run.
func (t *task) claiming() bool {
	var o claim.Output
	switch {
	case t.claim == nil:
		t.claim = claim.NewClaimant(claim.Settings{Retry: time.Second, Wait: 5 * time.Second}, claim.Request{
			Organisation: t.c.org, Key: t.c.key, Attempt: t.id, Instance: t.n.id, Deadline: t.deadline, Resend: t.c.honours,
		})
		o = t.claimStep(claim.Start, nil)
	case t.ruling != nil:
		o = t.claimStep(claim.Ruled, nil)
	case !t.now().Before(t.claim.Wake()):
		o = t.claimStep(claim.Tick, nil)
	}
	switch o.Result {
	case "":
		return false
	case claim.MaySend:
		t.attempts = t.n.retries.First()
		return t.then(t.connect)
	case claim.OutcomeKnown:
		if o.Outcome.Unknown || !o.Outcome.Kept {
			return t.end(false)
		}
		// A replayed reply is billed again under the same id, and uses nothing of the entitlement.
		t.charge()
		t.used = entitlement.Amounts{}
		return true
	}
	return t.end(o.Result == claim.NotRun)
}

// connect mirrors Desk.connect and Desk.place up to the send: the ticket is asked last.
func (t *task) connect() bool {
	n, now := t.n, t.now()
	c, ok := n.table.View().Choose(endpoint.Query{
		Service: "order", Zone: n.zone, Exclude: t.exclude, Draws: [2]float64{n.w.draw(), n.w.draw()}, Now: now,
	})
	if ok && n.fresh() {
		c.Begin(now)
		e := n.w.engine(c.ID)
		if !e.dead && !c.Barred() {
			return t.place(c, e)
		}
		c.End()
		n.pool(endpoint.Failed{Endpoint: c.Endpoint, Started: now, Kind: endpoint.FailRefused})
		t.exclude[t.failed%len(t.exclude)] = c.Endpoint
		t.failed++
	}
	if now.Sub(t.since) <= 2*time.Second {
		return false
	}
	if t.sent {
		return t.lost()
	}
	t.claimStep(claim.Abandon, nil)
	return t.end(true)
}

func (t *task) place(c endpoint.Choice, e *engine) bool {
	if !t.sent {
		if !t.claimStep(claim.Send, nil).Allow {
			c.End()
			t.claimStep(claim.Abandon, nil)
			return t.end(true)
		}
		t.sent = true
	}
	t.n.w.checkSend(t, e, "")
	reply := t.n.w.order(t, e)
	at := t.now()
	return t.then(func() bool {
		if !t.now().After(at) {
			return false
		}
		c.End()
		if reply {
			t.n.ownLeft[e.id] = e.leaving
			// Desk.report leaves the time out, so the table does not learn that a service leaves from its answers.
			t.n.pool(endpoint.Answered{Endpoint: c.Endpoint, Started: at, Report: endpoint.Report{Time: t.now(), Leaving: e.leaving}})
			t.claimStep(claim.Finish, &record.Outcome{Status: 200, Body: []byte(t.c.key), Kept: true})
			return t.charge()
		}
		t.n.pool(endpoint.Failed{Endpoint: c.Endpoint, Started: at, Kind: endpoint.FailDied})
		t.exclude[t.failed%len(t.exclude)] = c.Endpoint
		t.failed++
		if t.c.honours && t.n.retries.Take(t.now(), &t.attempts, t.deadline, 0) {
			return t.then(t.connect)
		}
		return t.lost()
	})
}

// lost mirrors Ticket.Lose: the order may have run, so the entitlement stays spent.
func (t *task) lost() bool {
	t.claimStep(claim.Lose, nil)
	t.used = t.worst
	return t.end(false)
}
