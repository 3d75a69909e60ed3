package ingress

import (
	"maps"
	"net/http"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
)

// refusalWindow is how long a stalled attempt is kept after the request was sent to another endpoint. An endpoint that can't take a
// request refuses it at once. The first endpoint must have stopped 400 ms after the second one began.
const refusalWindow = 150 * time.Millisecond

// A timer that is later than maxRefusalDelay shows that this process had no processor. Refusals that have arrived meanwhile are read
// within refusalReadTime.
const (
	maxRefusalDelay = 10 * time.Millisecond
	refusalReadTime = 30 * time.Millisecond
)

// beginNext begins attempts at other endpoints until one of them doesn't fail at once, and reports whether there is one. It is called
// by the request's goroutine.
func (a *attempt) beginNext(reserve float64) bool {
	x := a.exchange
	for a.mayMove() && a.reserveRetry(reserve) && !a.hasUnread() {
		now := time.Now()
		c, inFlight, ok := x.handler.balancer.chooseEndpoint(now, a.nextRequest())
		if !ok {
			return false
		}
		b := x.newAttempt(now, c, inFlight)
		b.sendInBackground(true)
		if !b.failedAtOnce(time.Now().Add(refusalWindow)) {
			x.begun = b
			if a.response != nil && a.response.HasBytes() {
				x.discardBegun() // the response that has stalled goes on
				return false
			}
			return true
		}
		b.tentative = true
		if next := b.complete(); next != stepRetry {
			x.noRetryReason = "" // the attempt that has stalled goes on
			return false
		}
	}
	return false
}

// failedAtOnce reports whether the attempt fails before a time.
func (a *attempt) failedAtOnce(end time.Time) bool {
	t := time.NewTimer(time.Until(end))
	defer t.Stop()
	for late := false; ; late = true {
		select {
		case r := <-a.sent:
			a.sent <- r
			return r.err != nil || a.exchange.isFailure(r.response)
		case <-t.C:
		}
		if late || time.Since(end) < maxRefusalDelay {
			return false
		}
		t.Reset(refusalReadTime)
	}
}

// isFailure reports whether the head of a response shows that the response can't be the one that the client gets.
func (x *exchange) isFailure(r *forward.Response) bool {
	a := x.handler.options.Protocol.DecodeResponse(r.Status, r.Header)
	return a.NotExecuted || !a.Signed || a.UnrequestedEncoding || impliesNotExecuted(r.Status) || r.Status >= http.StatusInternalServerError ||
		x.headSent && !x.continuesStream(r)
}

// discardBegun ends an attempt that is under way and whose response nobody waits for, as the client has left, the instance stops or the
// attempt before goes on.
func (x *exchange) discardBegun() {
	b := x.begun
	if b == nil {
		return
	}
	x.begun = nil
	x.attempts++ // an endpoint may have run it
	b.release()
	if r := <-b.sent; r.response != nil {
		r.response.Close(false)
	}
	x.handler.balancer.recordEnd(time.Now(), b.inFlight, false)
}

// mayMove reports whether the request may be sent to another endpoint now.
func (a *attempt) mayMove() bool {
	x, now := a.exchange, time.Now()
	verdict, _ := x.handler.coordinator.prompts.verdict(now, x.inputIDs)
	return !x.unresumable && now.Before(x.deadline) && a.countAttempts() < x.route.MaxAttempts && x.connectFailures < maxConnectFailures && verdict == suspect.PartsAllowed
}

// nextRequest returns the properties of the request for the choice of another endpoint.
func (a *attempt) nextRequest() placement.Request {
	q := a.exchange.placementRequest()
	q.ExcludedEndpoints = maps.Clone(q.ExcludedEndpoints)
	q.ExcludedEndpoints[a.choice.Endpoint.ID] = true
	return q
}
