package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/call"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
)

// A request that may be repeated goes to another endpoint after a silence of silenceFactor times the expected time
// and silenceBase, and not before silenceShare of the route's objective.
const (
	silenceFactor = 4
	silenceBase   = 100 * time.Millisecond
	silenceShare  = 0.5
	gapFactor     = 2                     // times the route's longest pause, after which a stream may go on elsewhere
	gapLeast      = time.Second           // above the delay that a long prompt causes to the streams beside it
	gapBytes      = 4 << 10               // of a body within gapLeast, which a slow answer has and a stalled one has not
	drainTime     = 50 * time.Millisecond // for the rest of a refusal, which saves a connection
)

// attempt is one send to one endpoint.
type attempt struct {
	exchange *exchange
	choice   placement.Choice
	token    *placement.Token
	sent     time.Time
	first    time.Time // when the first event came
	last     time.Time // and the newest one
	reply    *forward.Reply
	answer   call.Answer
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

func (a *attempt) run() step {
	x := a.exchange
	a.ctx, a.cancel = context.WithCancelCause(x.ctx)
	defer a.cancel(nil)
	h := hop{
		endpoint: a.choice.Endpoint.ID, model: x.chosen(), version: a.choice.Endpoint.Version, expected: a.choice.Start,
	}
	s, what := a.send() // may pick the model of the next send
	x.handler.metrics.send(what)
	h.outcome, h.took = what, time.Since(a.sent)
	x.trace = append(x.trace, h)
	return s
}

// send makes the send and handles the head of the answer.
func (a *attempt) send() (step, string) {
	x, id := a.exchange, a.choice.Endpoint.ID
	silence := a.watch()
	// A further send has no spare one behind it, so it does not risk a pooled connection that may have ended.
	fresh := !x.route.Repeatable() || x.sends > 0
	reply, err := x.handler.pool.Send(a.ctx, a.choice.Endpoint.Address, x.outbound(a.choice, a.sent), fresh,
		func(h http.Header) bool {
			return x.handler.options.Protocol.Answer(http.StatusOK, h).RequestID == x.request.ID
		})
	silence()
	if err != nil {
		return a.failed(err)
	}
	a.reply = reply
	a.answer = x.handler.options.Protocol.Answer(reply.Status, reply.Header)
	x.sends++
	x.handler.balancer.started(time.Now(), a.token, a.answer.Load)
	if !a.answer.NotExecuted {
		a.stopped(x.handler.balancer.answered(a.choice.Endpoint, x.route.Name, a.token.Slowness()))
	}
	reply.SetIdle(a.answer.IdleTimeout)
	if a.answer.Close {
		reply.Leave()
	}
	switch {
	case a.answer.NotExecuted:
		x.avoid[id] = true
		a.finish(false, a.reply.Drain(drainTime))
		if reply.Status == http.StatusMisdirectedRequest {
			x.handler.balancer.unreachable(time.Now(), id)
		}
		return again, fmt.Sprintf("not executed (%d)", reply.Status)
	case !a.answer.Sealed || a.answer.Encoded:
		x.ran = true
		return a.spoilt(errors.New("an answer without the endpoint's signature"))
	case promises(reply.Status):
		x.ran = true
		return a.spoilt(fmt.Errorf("status %d, which promises that the request has not run, without the endpoint's word for it", reply.Status))
	case reply.Status >= http.StatusInternalServerError:
		x.ran = true
		return a.erred()
	case x.delivered || a.isStream():
		x.ran = true
		return a.stream()
	}
	x.ran = true
	return a.plain()
}

// promises reports whether clients take a status as a promise that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// failed handles a send without an answer.
func (a *attempt) failed(err error) (step, string) {
	x, id, now := a.exchange, a.choice.Endpoint.ID, time.Now()
	x.note(err)
	x.handler.balancer.ended(now, a.token, false)
	kind := forward.KindOf(err)
	if kind == forward.ErrConnect {
		x.missed++
		x.avoid[id] = true
		d := x.handler.balancer.unreachable(now, id)
		x.handler.log.endpoint(id, "unreachable", d, err)
		return again, "not connected"
	}
	x.sends++
	x.ran = true
	if x.left() {
		return done, "client left"
	}
	if kind == forward.ErrStopped {
		if !errors.Is(err, errSilent) {
			return x.settle("deadline"), "deadline"
		}
		x.allowed = true
		a.stopped(x.handler.balancer.answered(a.choice.Endpoint, x.route.Name, a.token.Waited(now)))
	}
	if kind == forward.ErrNoReply || kind == forward.ErrStale {
		a.probe(err)
	}
	if kind != forward.ErrStale {
		x.avoid[id] = true
		x.handler.balancer.outcome(now, a.choice.Endpoint, x.route.Name, false, false)
	}
	if !x.route.Repeatable() {
		return settled, string(kind)
	}
	return again, string(kind)
}

// probe finds out whether the endpoint has ended. Only then its requests are suspected of having crashed it.
func (a *attempt) probe(cause error) {
	x, id := a.exchange, a.choice.Endpoint.ID
	l := x.handler.pool.Probe(x.ctx, a.choice.Endpoint.Address)
	if l == forward.Alive || x.ctx.Err() != nil {
		return
	}
	now, state := time.Now(), "unreachable"
	if l == forward.Ended {
		state = "dead"
		x.handler.board.death(now, id, x.content)
	}
	x.handler.log.endpoint(id, state, x.handler.balancer.unreachable(now, id), cause)
	x.avoid[id] = true
}

// erred handles a failure that the endpoint answered.
func (a *attempt) erred() (step, string) {
	x := a.exchange
	what := strconv.Itoa(a.reply.Status)
	b, err := a.readAll()
	if err != nil {
		return a.spoilt(err)
	}
	a.finish(true, true)
	a.judge(false)
	x.avoid[a.choice.Endpoint.ID] = true
	if !x.delivered {
		x.last = &whole{status: a.reply.Status, header: x.handler.options.Protocol.Inbound(a.reply.Header), body: b}
	}
	if !x.route.Repeatable() {
		return settled, what
	}
	return again, what
}

// spoilt handles an answer that can't be used.
func (a *attempt) spoilt(err error) (step, string) {
	x := a.exchange
	x.note(err)
	a.finish(false, false)
	if x.left() {
		return done, "client left"
	}
	if forward.KindOf(err) == forward.ErrStopped {
		return x.settle("deadline"), "deadline"
	}
	a.judge(false)
	x.avoid[a.choice.Endpoint.ID] = true
	if !x.route.Repeatable() {
		return settled, "spoilt"
	}
	return again, "spoilt"
}

// plain delivers an answer that is not a stream.
func (a *attempt) plain() (step, string) {
	x := a.exchange
	b, err := a.readAll()
	if err != nil {
		return a.spoilt(err)
	}
	a.finish(true, true)
	a.judge(true)
	x.deliver(&whole{status: a.reply.Status, header: x.handler.options.Protocol.Inbound(a.reply.Header), body: b})
	return done, strconv.Itoa(a.reply.Status)
}

// judge records how the endpoint did.
func (a *attempt) judge(ok bool) {
	x := a.exchange
	why := x.handler.balancer.outcome(time.Now(), a.choice.Endpoint, x.route.Name, ok, true)
	a.stopped(why)
}

// stopped logs why an answer stopped a roll-out, if it did.
func (a *attempt) stopped(why string) {
	if why != "" {
		a.exchange.handler.log.rollout(a.exchange.service, a.choice.Endpoint.Version, why)
	}
}

// finish ends the send; clean tells whether the connection may be used again.
func (a *attempt) finish(answered, clean bool) {
	a.reply.Close(clean)
	a.exchange.handler.balancer.ended(time.Now(), a.token, answered)
}

// readAll reads a body that is not a stream.
func (a *attempt) readAll() ([]byte, error) {
	x := a.exchange
	if err := a.guardBody(); err != nil {
		return nil, err
	}
	return a.reply.ReadAll(x.handler.options.MaxAnswer, x.answers.Grow)
}

// deliver writes a whole answer to the client.
func (x *exchange) deliver(a *whole) {
	h := x.w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	if x.r.Method != http.MethodHead && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps the server from adding one that the endpoint did not send
	}
	x.status, x.delivered = a.status, true
	x.firstByte = time.Since(x.start)
	x.w.WriteHeader(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		x.note(err)
		x.gone = true
	}
}
