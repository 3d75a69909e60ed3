package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/escalation"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
)

// isStream reports whether a response is forwarded event by event.
func (x *exchange) isStream(r *forward.Response) bool {
	return x.route.Kind == routing.Stream && r.Status < http.StatusMultipleChoices && strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream")
}

// continuesStream reports whether a response may go on with the stream that the client has begun to get.
func (x *exchange) continuesStream(r *forward.Response) bool {
	return x.isStream(r) && r.Status == x.status
}

// forwardStream forwards whole events as they arrive. If the model's confidence is too low, it has the request sent to a
// larger model before any event is forwarded.
func (a *attempt) forwardStream() (nextStep, string) {
	x := a.exchange
	if model := a.largerModel(); model != "" {
		a.finishResponse(false, false)
		a.recordResult(true)
		x.model, x.retryReserved = model, true
		return stepRetry, "confidence " + strconv.Itoa(a.attributes.Confidence)
	}
	events := forward.NewEventReader(a.response.Body, x.awaitResponseMemory)
	resumed := x.headSent && x.request.LastEventID != ""
	extendWait := a.watchEvents()
	if err := extendWait(time.Now()); err != nil {
		return a.handleBrokenStream(err)
	}
	for idleBytes := 0; ; {
		event, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) && a.response.Unframed && a.dataEvents == 0 && !x.endSeen:
			return a.handleBrokenStream(a.response.WrapReadError("read event", errEndedEarly))
		case errors.Is(err, io.EOF):
			if err := a.confirmEnd(); err != nil {
				x.endSeen = x.endSeen || forward.KindOf(err) == forward.ErrUnconfirmed
				return a.handleBrokenStream(err)
			}
			if a.dataEvents < gapSampleEvents {
				a.recordMeanGap(a.dataEvents)
			}
			return a.finishStream()
		case err != nil:
			return a.handleBrokenStream(a.response.WrapReadError("read event", err))
		}
		if idleBytes += len(event.Bytes); event.HasData {
			a.dataEvents, idleBytes, a.lastEventAt = a.dataEvents+1, 0, time.Now()
			if a.dataEvents == 1 {
				a.firstEventAt = a.lastEventAt
				if err := x.handler.coordinator.prompts.unwatch(a); err != nil {
					return a.handleBrokenStream(&forward.Error{Op: "read event", Kind: forward.ErrCancelled, Err: err})
				}
			}
			if a.dataEvents == gapSampleEvents {
				a.recordMeanGap(a.dataEvents) // the end of a slow stream would come too late
			}
			if a.lastEventAt.Sub(a.firstEventAt) >= harmlessDelay {
				a.recordHarmless(a.lastEventAt)
			}
			if err := extendWait(a.lastEventAt); err != nil {
				return a.handleBrokenStream(err)
			}
		}
		switch {
		case x.exceedsTokenLimit():
			_, outcome := a.rejectResponse(errEndlessStream)
			return x.giveUp("endless answer"), outcome // the client already has more events than the response may have
		case idleBytes > maxIdleEventBytes:
			return a.rejectResponse(errEndlessStream)
		case !x.isNewEvent(event.ID):
			return a.rejectResponse(errRepeatedEvent)
		case resumed && a.dataEvents == 1 && event.HasData && event.ID == "":
			return a.rejectResponse(errNoEventID)
		}
		if err := x.writeEvent(a, event, events.Buffered()); err != nil {
			x.recordError(err)
			x.clientLeft = true
			a.finishResponse(false, false)
			return stepDone, sendClientLeft
		}
	}
}

// confirmEnd returns an error unless an unframed response is complete. An endpoint stops at the deadline, which ends such a response
// like any other. One that is known to leave may stop right after its last response, which it sends whole.
func (a *attempt) confirmEnd() error {
	x := a.exchange
	switch {
	case !a.response.Unframed:
		return nil
	case !time.Now().Before(x.deadline.Add(-deadlineMargin)):
		return &forward.Error{Op: "confirm end", Kind: forward.ErrUnconfirmed, Err: errDeadlinePassed}
	}
	err := a.response.ConfirmEnd()
	resumes := x.headSent && x.route.Resumable && x.attemptsLeft()
	if forward.KindOf(err) == forward.ErrUnconfirmed && !resumes && !x.handler.balancer.isAvailable(a.choice.Endpoint) {
		return nil
	}
	return err
}

// deadlineMargin is how much sooner than its deadline a request may end at the endpoint, which counts in whole milliseconds.
const deadlineMargin = 5 * time.Millisecond

// awaitResponseMemory reserves memory for an event. Other responses may hold it for a moment.
func (x *exchange) awaitResponseMemory(n int64) error {
	ctx, cancel := context.WithTimeout(x.ctx, maxAdmissionWait)
	defer cancel()
	return x.responseMemory.GrowWait(ctx, n)
}

const (
	gapSampleEvents   = 5        // events from which the mean gap of a stream is computed
	maxIdleEventBytes = 64 << 10 // bytes without data, such as comments, between two events
	maxExtraEvents    = 2        // allowed beyond one for each token: the start and the end of a response may have events of their own
)

var (
	errEndlessStream = errors.New("stream does not end")
	errEndedEarly    = errors.New("connection closed before the first byte of the body")
	errRepeatedEvent = errors.New("event was already delivered to the client")
	// errNoEventID states that the rest of a stream whose events have identifiers begins with one that has none, such as an
	// error of the endpoint.
	errNoEventID = errors.New("rest of the stream begins with an event without an identifier")
)

// isNewEvent reports whether an event follows the last one that the client has. Identifiers that are not numbers count as
// new.
func (x *exchange) isNewEvent(id string) bool {
	last, err := strconv.ParseInt(x.request.LastEventID, 10, 64)
	if err != nil {
		return true
	}
	n, err := strconv.ParseInt(id, 10, 64)
	return err != nil || n > last
}

// exceedsTokenLimit reports whether the response has more events than the client's token limit allows.
func (x *exchange) exceedsTokenLimit() bool {
	return x.request.MaxOutputTokens > 0 && x.events > x.request.MaxOutputTokens+maxExtraEvents
}

// recordMeanGap records the mean time between the first events of the response.
func (a *attempt) recordMeanGap(events int) {
	if events > 1 {
		x := a.exchange
		gap := a.lastEventAt.Sub(a.firstEventAt) / time.Duration(events-1)
		kind := x.route.Name + " " + x.effectiveModel()
		a.logRolloutStop(x.handler.balancer.recordEventGap(a.choice.Endpoint, kind, gap))
		a.logRolloutStop(x.handler.balancer.recordPace(a.choice.Endpoint, kind, gap))
	}
}

// largerModel returns the larger model to send the request to, or "" to keep this response.
func (a *attempt) largerModel() string {
	x := a.exchange
	if x.headSent || x.model == "" || !x.attemptsLeft() {
		return ""
	}
	now := time.Now()
	c := escalation.Input{
		Confidence: a.attributes.Confidence, Models: x.route.Models, Model: x.model,
		RemainingAttempts: x.route.MaxAttempts - x.attempts, Objective: x.route.LatencyObjective, Remaining: x.start.Add(x.route.LatencyObjective).Sub(now),
	}
	q := x.placementRequest()
	q.Model = x.route.Models[len(x.route.Models)-1]
	if choice, ok := x.handler.balancer.findEndpoint(now, q); ok {
		c.TimeToFirstEvent, c.PrefillWait, c.Utilisation, c.RelativeWork = choice.TimeToFirstByte, choice.PrefillWait, choice.Utilisation, choice.RelativeWork
	} else {
		return ""
	}
	model := x.handler.options.Escalation.EscalationModel(c)
	if model == "" {
		if c.PrefillWait, c.Utilisation = 0, 0; x.handler.options.Escalation.EscalationModel(c) != "" {
			x.handler.metrics.countEscalation(x.service, "kept-for-load")
		}
		return ""
	}
	if q.Model = model; !x.claimEndpoint(now, q) {
		return ""
	}
	if !x.handler.balancer.takeRetry(now, x.service, 0) {
		x.dropClaim()
		x.handler.metrics.countEscalation(x.service, "retry-budget")
		return ""
	}
	x.handler.metrics.countEscalation(x.service, "sent")
	return model
}

// writeEvent writes an event to the client, and flushes it unless more of the stream is buffered.
func (x *exchange) writeEvent(a *attempt, event forward.Event, more bool) error {
	if !x.headSent {
		x.writeHead(a)
	}
	if _, err := x.w.Write(event.Bytes); err != nil {
		return err
	}
	if event.HasData {
		x.events++
		x.unresumable = event.ID == ""
	}
	if event.ID != "" {
		x.request.LastEventID = event.ID
	}
	if more {
		return nil
	}
	return x.responseController.Flush()
}

// writeHead writes the status and the header of a stream to the client.
func (x *exchange) writeHead(a *attempt) {
	h := x.w.Header()
	for k, v := range x.handler.options.Protocol.ClientResponseHeader(a.response.Header) {
		h[k] = v
	}
	x.status, x.headSent = a.response.Status, true
	x.firstByte = time.Since(x.start)
	x.w.WriteHeader(a.response.Status)
}

// finishStream handles the end of a complete stream.
func (a *attempt) finishStream() (nextStep, string) {
	x := a.exchange
	if !x.headSent {
		x.writeHead(a)
	}
	if err := x.responseController.Flush(); err != nil {
		x.recordError(err)
		x.clientLeft = true
	}
	a.finishResponse(true, true)
	a.recordResult(true)
	a.recordHarmless(time.Now())
	a.recordCompletion()
	return stepDone, "complete"
}

// handleBrokenStream handles a stream that broke off or stalled.
func (a *attempt) handleBrokenStream(err error) (nextStep, string) {
	x := a.exchange
	x.recordError(err)
	a.finishResponse(false, false)
	switch {
	case x.checkClientLeft():
		return stepDone, sendClientLeft
	case forward.KindOf(err) == forward.ErrCancelled:
		return x.giveUpCancelled(err)
	}
	if brokeOff(err) {
		a.probeEndpoint(err)
	}
	x.excludedEndpoints[a.choice.Endpoint.ID] = true
	x.handler.balancer.recordOutcome(time.Now(), a.choice.Endpoint, false)
	if !x.route.Resumable {
		return stepGiveUp, "broken"
	}
	return stepRetry, "broken"
}
