package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
)

// A repeatable request is sent to another endpoint if no byte of the response arrives within firstByteFactor times the
// expected time plus firstByteMargin, but not before firstByteObjectiveShare of the route's objective has passed.
const (
	firstByteFactor         = 4
	firstByteMargin         = 100 * time.Millisecond
	firstByteObjectiveShare = 0.5
	eventGapFactor          = 2                     // a stream without an event for this multiple of the route's longest gap has stalled
	minStallTimeout         = time.Second           // longer than a long prompt delays other streams of the endpoint
	minBodyProgress         = 4 << 10               // bytes of a body that even a slow endpoint sends within minStallTimeout
	drainTimeout            = 50 * time.Millisecond // to read the rest of a refusal, so that the connection can be reused
)

// attempt is one attempt to serve a request at an endpoint.
type attempt struct {
	exchange     *exchange
	choice       placement.Choice
	inFlight     *placement.InFlightRequest
	sentAt       time.Time
	firstEventAt time.Time // when the first event with data arrived
	lastEventAt  time.Time // when the latest event with data arrived
	dataEvents   int       // events with data that arrived
	harmless     bool      // the endpoint lived on after it began the response
	response     *forward.Response
	attributes   attributes.Response
	ctx          context.Context
	cancel       context.CancelCauseFunc
	stopOnStop   func() bool     // undoes the cancellation at the stop of the instance
	tentative    bool            // failed at once, while the response of the attempt before is kept
	sent         chan sendResult // receives the result of a send in the background; nil if it is not sent so
}

// sendResult is the result of sending a request: a response whose head has arrived, or an error.
type sendResult struct {
	response *forward.Response
	err      error
}

// newAttempt returns an attempt at an endpoint for which the retry budget is charged.
func (x *exchange) newAttempt(now time.Time, c placement.Choice, inFlight *placement.InFlightRequest) *attempt {
	x.retryReserved = false
	x.handler.balancer.recordWork(now, x.organisation, x.placementRequest(), c)
	a := &attempt{exchange: x, choice: c, inFlight: inFlight, sentAt: now}
	a.ctx, a.cancel = context.WithCancelCause(x.ctx)
	a.stopOnStop = context.AfterFunc(x.handler.stopDue, func() { a.cancel(errInstanceStops) })
	x.handler.coordinator.prompts.watch(a)
	return a
}

// release ends the attempt.
func (a *attempt) release() {
	_ = a.exchange.handler.coordinator.prompts.unwatch(a) // the attempt has ended
	a.stopOnStop()
	a.cancel(nil)
}

// sendInBackground begins to send the request, for which complete waits.
func (a *attempt) sendInBackground(newConn bool) {
	send := a.prepareSend(newConn)
	a.sent = make(chan sendResult, 1)
	go func() { a.sent <- send() }()
}

// prepareSend returns a function that sends the request and waits for the head of the response. The function doesn't use the
// exchange, so that it may run beside the request's goroutine. NewConn opens a connection for it in any case.
func (a *attempt) prepareSend(newConn bool) func() sendResult {
	x := a.exchange
	// A retry may be the last attempt, so it does not risk a pooled connection that the endpoint may have closed.
	newConn = newConn || !x.route.Repeatable() || x.attempts > 0
	pool, protocol, address, q := x.handler.pool, x.handler.options.Protocol, a.choice.Endpoint.Address, x.outboundRequest(a.choice, a.sentAt)
	return func() sendResult {
		r, err := pool.Send(a.ctx, address, q, newConn, func(h http.Header) bool {
			return protocol.DecodeResponse(http.StatusOK, h).RequestID == q.ID
		})
		return sendResult{r, err}
	}
}

// complete makes the attempt, or goes on with one that is sent in the background, and records it in the metrics and in the request's
// history.
func (a *attempt) complete() nextStep {
	x := a.exchange
	defer a.release()
	record := attemptRecord{
		endpoint: a.choice.Endpoint.ID, model: x.effectiveModel(), version: a.choice.Endpoint.Version, expected: a.choice.TimeToFirstByte,
	}
	next, outcome := a.sendRequest() // may change the model for the next attempt
	if outcome == sendClientLeft || outcome == sendDeadline {
		a.checkAbandoned()
	}
	x.handler.metrics.countAttempt(outcome)
	record.outcome, record.events, record.took = outcome, a.dataEvents, time.Since(a.sentAt)
	if a.response != nil {
		record.framing = a.response.Framing()
		x.handler.metrics.countResponse(record.framing, outcome)
	}
	x.history = append(x.history, record)
	return next
}

// sendRequest sends the request and handles the response. It returns the outcome for the log.
func (a *attempt) sendRequest() (nextStep, string) {
	x, id := a.exchange, a.choice.Endpoint.ID
	result := a.awaitResponse()
	if result.err != nil {
		return a.handleSendError(result.err)
	}
	response := result.response
	a.response = response
	a.attributes = x.handler.options.Protocol.DecodeResponse(response.Status, response.Header)
	a.recordEndpointState()
	x.attempts++
	x.handler.balancer.recordFirstByte(time.Now(), a.inFlight, a.attributes.Load)
	if !a.attributes.NotExecuted {
		a.logRolloutStop(x.handler.balancer.recordSlowness(a.choice.Endpoint, x.route.Name, a.inFlight.Slowness()))
	}
	response.SetIdleTimeout(a.attributes.IdleTimeout)
	if a.attributes.CloseConnection {
		response.DisableReuse()
	}
	switch {
	case a.attributes.NotExecuted:
		x.excludedEndpoints[id] = true
		a.finishResponse(false, a.response.Drain(drainTimeout))
		if response.Status == http.StatusMisdirectedRequest {
			x.handler.balancer.markUnreachable(time.Now(), id)
		}
		return stepRetry, fmt.Sprintf("not executed (%d)", response.Status)
	case !a.attributes.Signed || a.attributes.UnrequestedEncoding:
		x.mayHaveRun = true
		return a.rejectResponse(errors.New("response without the endpoint's signature"))
	case impliesNotExecuted(response.Status):
		x.mayHaveRun = true
		return a.rejectResponse(fmt.Errorf("status %d implies that the request has not run, but the endpoint does not confirm it", response.Status))
	case response.Status >= http.StatusInternalServerError:
		x.mayHaveRun = true
		return a.handleServerError()
	case x.headSent && !x.continuesStream(response):
		x.mayHaveRun = true
		next, _ := a.rejectResponse(fmt.Errorf("status %d and content type %q instead of the rest of the stream", response.Status, response.Header.Get("Content-Type")))
		return next, fmt.Sprintf("not resumed (%d)", response.Status)
	case x.isStream(response):
		x.mayHaveRun = true
		return a.forwardStream()
	}
	x.mayHaveRun = true
	return a.forwardBuffered()
}

// recordEndpointState records what the endpoint says of itself in its response.
func (a *attempt) recordEndpointState() {
	x, id, now := a.exchange, a.choice.Endpoint.ID, time.Now()
	if a.response.Status == http.StatusMisdirectedRequest {
		return // another endpoint has taken over the address
	}
	// Without a signature or a mark the response is no evidence of a stop, which would count until the endpoint starts again.
	genuine := a.attributes.Signed || a.attributes.NotExecuted
	if genuine {
		c := x.handler.balancer.recordResponse(now, a.sentAt, a.choice.Endpoint, a.attributes.WarmUpRemaining, a.statedLimit())
		x.handler.noteLimit(id, x.request.ID, limitFromResponse, c)
		x.handler.unknownHeaders.note(id, x.request.ID, a.attributes.UnknownHeaders)
	}
	if genuine && a.attributes.Leaving && x.handler.balancer.markLeaving(now, id) {
		x.handler.noteUnwilling(id, x.request.ID, unwillingLeaving, 0)
	}
	if d := a.attributes.RetryAfter; d > 0 && x.handler.balancer.pause(now, id, d) {
		x.handler.noteUnwilling(id, x.request.ID, unwillingPaused, d)
	}
}

// statedLimit returns the limit that the response states. Only a success without one tells that a limit is over, since an endpoint may
// leave the header out of errors.
func (a *attempt) statedLimit() float64 {
	if l := a.attributes.RequestLimit; l > 0 || a.attributes.Signed && a.response.Status < http.StatusInternalServerError {
		return l
	}
	return attributes.UnknownRequestLimit
}

// impliesNotExecuted reports whether clients conclude from a status that the request has not run.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// handleSendError handles an attempt that got no response.
func (a *attempt) handleSendError(err error) (nextStep, string) {
	x, id, now := a.exchange, a.choice.Endpoint.ID, time.Now()
	x.recordError(err)
	x.handler.balancer.recordEnd(now, a.inFlight, false)
	kind := forward.KindOf(err)
	if kind == forward.ErrConnect {
		x.connectFailures++
		x.excludedEndpoints[id] = true
		pause := x.handler.balancer.markUnreachable(now, id)
		x.handler.log.logEndpointState(id, "unreachable", pause, err)
		return stepRetry, "not connected"
	}
	x.attempts++
	x.mayHaveRun = true
	if x.checkClientLeft() {
		return stepDone, sendClientLeft
	}
	if kind == forward.ErrCancelled {
		if !errors.Is(err, errStalled) {
			return x.giveUpCancelled(err)
		}
		a.logRolloutStop(x.handler.balancer.recordSlowness(a.choice.Endpoint, x.route.Name, a.inFlight.SlownessAt(now)))
	}
	if kind == forward.ErrNoResponse || kind == forward.ErrStale {
		a.probeEndpoint(err)
	}
	if kind != forward.ErrStale {
		x.excludedEndpoints[id] = true
		x.handler.balancer.recordOutcome(now, a.choice.Endpoint, false)
	}
	if !x.route.Repeatable() {
		return stepGiveUp, string(kind)
	}
	return stepRetry, string(kind)
}

// giveUpCancelled gives up after the request itself was cancelled.
func (x *exchange) giveUpCancelled(err error) (nextStep, string) {
	if errors.Is(err, errRefusedPart) {
		return x.giveUp("prompt part"), "prompt part"
	}
	if errors.Is(err, errRefusedContent) {
		return x.giveUp("content"), "content"
	}
	if errors.Is(err, errInstanceStops) {
		return x.giveUp("instance stops"), "instance stops"
	}
	return x.giveUp("deadline"), sendDeadline
}

// recordHarmless records that the endpoint lived on after it began the response.
func (a *attempt) recordHarmless(now time.Time) {
	if a.harmless {
		return
	}
	a.harmless = true
	a.exchange.handler.coordinator.prompts.recordResponse(now, a.exchange.partIDs)
}

// recordCompletion records that the endpoint has completed its response.
func (a *attempt) recordCompletion() {
	a.exchange.handler.coordinator.prompts.recordCompletion(time.Now(), a.exchange.contentID)
}

// handleServerError handles a 5xx response of the endpoint.
func (a *attempt) handleServerError() (nextStep, string) {
	x := a.exchange
	outcome := strconv.Itoa(a.response.Status)
	body, err := a.readServerError()
	if err != nil {
		return a.rejectResponse(err)
	}
	a.finishResponse(true, true)
	a.recordServerError()
	a.recordCompletion()
	x.excludedEndpoints[a.choice.Endpoint.ID] = true
	if !x.headSent && !a.tentative {
		x.lastFailure = &bufferedResponse{status: a.response.Status, header: x.handler.options.Protocol.ClientResponseHeader(a.response.Header), body: body}
	}
	if !x.route.Repeatable() {
		return stepGiveUp, outcome
	}
	return stepRetry, outcome
}

// readServerError returns the body of a 5xx response. A response that is kept meanwhile must not wait for it, so it is not needed then.
func (a *attempt) readServerError() ([]byte, error) {
	if !a.tentative {
		return a.readResponseBody()
	}
	if !a.response.Drain(drainTimeout) {
		return nil, fmt.Errorf("status %d without its body", a.response.Status)
	}
	return nil, nil
}

// brokeOff reports whether the connection ended before the response did, rather than that it fell silent.
func brokeOff(err error) bool {
	return forward.KindOf(err) == forward.ErrTruncated && !forward.IsTimeout(err)
}

// rejectResponse handles a response that can't be used.
func (a *attempt) rejectResponse(err error) (nextStep, string) {
	x := a.exchange
	x.recordError(err)
	a.finishResponse(false, false)
	if x.checkClientLeft() {
		return stepDone, sendClientLeft
	}
	if forward.KindOf(err) == forward.ErrCancelled {
		return x.giveUpCancelled(err)
	}
	if forward.KindOf(err) == forward.ErrUnconfirmed {
		x.handler.balancer.recordOutcome(time.Now(), a.choice.Endpoint, false) // it says nothing about the version
	} else {
		a.recordResult(false)
	}
	if brokeOff(err) {
		a.probeEndpoint(err)
	}
	x.excludedEndpoints[a.choice.Endpoint.ID] = true
	if !x.route.Repeatable() {
		return stepGiveUp, "spoilt"
	}
	return stepRetry, "spoilt"
}

// forwardBuffered reads a response that is not a stream and writes it to the client.
func (a *attempt) forwardBuffered() (nextStep, string) {
	x := a.exchange
	body, err := a.readResponseBody()
	if err == nil && a.response.Unframed && len(body) == 0 {
		err = a.response.WrapReadError("read body", errEndedEarly)
	}
	if err != nil {
		return a.rejectResponse(err)
	}
	a.finishResponse(true, true)
	a.recordResult(true)
	a.recordHarmless(time.Now())
	a.recordCompletion()
	a.logRolloutStop(x.handler.balancer.recordPlainPace(a.choice.Endpoint, x.route.Name, time.Since(a.sentAt)))
	x.writeResponse(&bufferedResponse{status: a.response.Status, header: x.handler.options.Protocol.ClientResponseHeader(a.response.Header), body: body})
	return stepDone, strconv.Itoa(a.response.Status)
}

// recordResult records whether the endpoint's response was good.
func (a *attempt) recordResult(ok bool) {
	x := a.exchange
	x.handler.balancer.recordOutcome(time.Now(), a.choice.Endpoint, ok)
	x.settleServerError()
	a.recordVersionResult(ok)
}

// recordVersionResult records the result of the endpoint's version.
func (a *attempt) recordVersionResult(ok bool) {
	x := a.exchange
	a.logRolloutStop(x.handler.balancer.recordResult(time.Now(), a.choice.Endpoint, x.route.Name, ok))
}

// recordServerError records a 5xx response. A request may fail at any endpoint, which tells nothing about a version. So a request
// without a session is repeated on the version in use, and its failure counts against the version only if the repeat succeeds.
func (a *attempt) recordServerError() {
	x := a.exchange
	x.handler.balancer.recordOutcome(time.Now(), a.choice.Endpoint, false)
	switch {
	case x.request.Session != "" || x.headSent || !x.route.Repeatable():
		a.recordVersionResult(false)
	case x.failsAnywhere:
	case x.serverError != nil:
		x.serverError, x.failsAnywhere = nil, true
	case !x.attemptsLeft():
		a.recordVersionResult(false)
	default:
		x.serverError = a
		if v := x.handler.balancer.fallbackVersion(x.service, a.choice.Endpoint.Version); v != "" {
			x.version = v
		}
	}
}

// logRolloutStop logs that a response stopped a roll-out, unless the reason is empty.
func (a *attempt) logRolloutStop(reason string) {
	if reason != "" {
		x := a.exchange
		x.handler.log.logRolloutStop(x.service, a.choice.Endpoint.Version, reason, x.handler.balancer.describeRollout(time.Now(), x.service))
	}
}

// finishResponse ends the attempt. Complete tells whether the response is complete, and reusable whether the connection
// may be reused.
func (a *attempt) finishResponse(complete, reusable bool) {
	a.response.Close(reusable)
	a.exchange.handler.balancer.recordEnd(time.Now(), a.inFlight, complete)
}

// readResponseBody reads the whole body of a response that is not a stream.
func (a *attempt) readResponseBody() ([]byte, error) {
	x := a.exchange
	if err := a.watchBody(); err != nil {
		return nil, err
	}
	body, err := a.response.ReadAll(x.handler.options.MaxResponseBytes, x.responseMemory.Grow)
	if err != nil {
		return nil, err
	}
	return body, a.confirmEnd()
}

// writeResponse writes a buffered response to the client.
func (x *exchange) writeResponse(resp *bufferedResponse) {
	h := x.w.Header()
	for k, v := range resp.header {
		h[k] = v
	}
	if x.r.Method != http.MethodHead && resp.status != http.StatusNoContent && resp.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from adding a type that the endpoint did not send
	}
	x.status, x.headSent = resp.status, true
	x.firstByte = time.Since(x.start)
	x.w.WriteHeader(resp.status)
	if _, err := x.w.Write(resp.body); err != nil {
		x.recordError(err)
		x.clientLeft = true
	}
}
