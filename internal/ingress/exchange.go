package ingress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/admission"
	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
)

const (
	maxConnectFailures  = 6                      // failed connections after which a request is given up
	lateResponseGrace   = 50 * time.Millisecond  // after the deadline, for an endpoint's own response that it has passed
	minRetryAfter       = 300 * time.Millisecond // shortest time after which a refused client may retry
	minRetryAfterSpread = 700 * time.Millisecond // shortest time over which the retries of clients are spread
)

var (
	errStalled        = errors.New("no byte received within the expected time")
	errRefusedContent = errors.New("the content of the request crashes endpoints")
	errRefusedPart    = errors.New("a part of the prompt crashes endpoints")
	errAbandoned      = errors.New("the request had been given up before")
	errDeadlinePassed = errors.New("the deadline has passed")
	errInstanceStops  = errors.New("the instance stops")
)

// exchange is the state of one client request while it is served.
type exchange struct {
	handler            *handler
	w                  http.ResponseWriter
	r                  *http.Request
	responseController *http.ResponseController
	start              time.Time
	deadline           time.Time // the earlier of the client's deadline and the route's timeout
	ctx                context.Context

	snapshot     *snapshot
	route        *routing.Route
	organisation string
	priority     int
	request      attributes.ClientRequest
	body         []byte
	hasBody      bool
	contentID    string   // identifier of the content, which repeats of the request share
	partIDs      []string // identifiers of the prompt's parts that other requests may share
	inputIDs     []string // contentID and partIDs
	trial        bool     // the request may be sent in spite of a refusal, until an endpoint may have run it

	service           string
	version           string
	model             string
	excludedEndpoints map[string]bool
	attempts          int                 // attempts that may have reached an endpoint
	connectFailures   int                 // attempts that could not connect
	retryReserved     bool                // the retry budget was already charged for the next attempt
	begun             *attempt            // next attempt, which is under way already; nil if none is
	claimed           *claim              // endpoint for the next attempt; nil if none is claimed
	mayHaveRun        bool                // an endpoint may have run the request
	lastFailure       *bufferedResponse   // the endpoint's latest 5xx response
	serverError       *attempt            // attempt that got a 5xx response, while the repeat hasn't shown whether the version is to blame
	failsAnywhere     bool                // the request has got 5xx responses from two endpoints, so no version is to blame
	bodyMemory        *memory.Reservation // for the body of the request
	responseMemory    *memory.Reservation // for endpoints' responses

	headSent      bool // the head of the response was written to the client
	status        int  // written to the client
	events        int  // events with data that were written to the client
	endSeen       bool // an endpoint's stream ended after a whole event, but it isn't certain that it was complete
	unresumable   bool // the last event that the client has bears no identifier after which an endpoint could go on
	firstByte     time.Duration
	history       []attemptRecord
	localError    *localError
	abortConn     bool                    // the response is truncated, so the connection is to be closed
	clientLeft    bool                    // the client closed its connection
	noRetryReason string                  // why no further attempt was made
	availability  *placement.Availability // of the endpoints when none could take the request
	refusedMark   *suspect.PartMark       // the content or part of the prompt for which the request was not sent
	admission     *admission.Decision     // nil before the decision
	firstErr      error                   // the first error of an attempt, for the log
}

// attemptRecord describes one attempt for the log.
type attemptRecord struct {
	endpoint string
	model    string
	version  string
	outcome  string
	events   int             // events with data that the endpoint sent
	framing  forward.Framing // of the response; "" if there is none
	expected time.Duration
	took     time.Duration
}

// bufferedResponse is a complete response that has not been written to the client.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// nextStep tells how a request proceeds after an attempt.
type nextStep int

const (
	stepRetry  nextStep = iota // make another attempt if one is allowed
	stepDone                   // the client has the response or has closed its connection
	stepGiveUp                 // make no further attempt
)

// serve makes attempts until the client has a response or no further attempt is allowed.
func (x *exchange) serve() {
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.deadline.Add(lateResponseGrace), errDeadlinePassed)
	defer cancel()
	x.ctx = ctx
	x.excludedEndpoints = map[string]bool{}
	defer x.discardBegun()
	defer x.dropClaim()
	defer x.settleServerError()
	x.service = x.route.PickService(rand.Float64())
	x.handler.balancer.countRequest(time.Now(), x.service)
	x.version = x.handler.balancer.pickVersion(time.Now(), x.service, x.route.Name, &x.request)
	x.pickModel()
	if localErr := x.admit(); localErr != nil {
		x.finishUnserved(localErr)
		return
	}
	for {
		next, localErr := x.attemptOnce()
		switch {
		case localErr != nil:
			x.finishUnserved(localErr)
			return
		case next == stepDone:
			return
		case next == stepGiveUp:
			x.finishUnserved(nil)
			return
		}
	}
}

// settleServerError counts a 5xx response against its version, as no other endpoint has given one.
func (x *exchange) settleServerError() {
	if a := x.serverError; a != nil {
		x.serverError = nil
		a.recordVersionResult(false)
	}
}

// pickModel keeps the model that was picked for the request if the route has it, and picks the smallest one otherwise.
func (x *exchange) pickModel() {
	switch {
	case x.request.Model != attributes.AnyModel || len(x.route.Models) == 0:
		x.model = ""
	case !slices.Contains(x.route.Models, x.model):
		x.model = x.route.Models[0]
	}
}

// attemptOnce makes one attempt if the deadline, the route and the retry budget allow it.
func (x *exchange) attemptOnce() (nextStep, *localError) {
	if a := x.begun; a != nil {
		x.begun = nil
		return x.completeAttempt(a), nil
	}
	now := time.Now()
	if x.checkClientLeft() {
		return stepDone, nil
	}
	if !now.Before(x.deadline) {
		return x.giveUp("deadline"), nil
	}
	if localErr := x.checkStop(); localErr != nil || x.handler.stopDue.Err() != nil {
		return x.giveUp("instance stops"), localErr
	}
	if localErr := x.refreshConfiguration(); localErr != nil {
		return x.giveUp("configuration"), localErr
	}
	if localErr := x.checkSuspicion(now); localErr != nil {
		return x.giveUp(refusalReason(x.refusedMark)), localErr
	}
	if x.unresumable {
		return x.giveUp("no event identifier"), nil
	}
	if !x.attemptsLeft() {
		return x.giveUp("attempts"), nil
	}
	if x.connectFailures >= maxConnectFailures {
		return x.giveUp("unreachable endpoints"), nil
	}
	c, inFlight, ok := x.takeClaim()
	if !ok {
		c, inFlight, ok = x.handler.balancer.chooseEndpoint(now, x.placementRequest())
	}
	if !ok {
		return x.giveUp("no endpoint"), nil
	}
	if x.attempts > 0 && !x.retryReserved && !x.handler.balancer.takeRetry(now, x.service, 0) {
		x.handler.balancer.recordEnd(now, inFlight, false)
		return x.giveUp("retry budget"), nil
	}
	return x.completeAttempt(x.newAttempt(now, c, inFlight)), nil
}

// completeAttempt makes an attempt and gives the reason if no other one may follow.
func (x *exchange) completeAttempt(a *attempt) nextStep {
	next := a.complete()
	if next == stepGiveUp && x.noRetryReason == "" {
		x.giveUp("may have run")
	}
	return next
}

// checkSuspicion returns an error if the content or a part of the prompt crashes endpoints. It waits if that is about to be
// decided. A refusal that has lasted long enough is tried with a single request of all instances.
func (x *exchange) checkSuspicion(now time.Time) *localError {
	c := x.handler.coordinator
	verdict, mark := c.prompts.verdict(now, x.inputIDs)
	if verdict == suspect.PartsPending {
		verdict, mark = c.prompts.awaitDecision(x.ctx, x.inputIDs)
	}
	if verdict == suspect.PartsAllowed || verdict == suspect.PartsPending || x.trial && !x.mayHaveRun {
		return nil
	}
	if verdict == suspect.PartsOnTrial && !x.mayHaveRun {
		if x.trial = c.claimTrial(x.ctx, now, mark.Part); x.trial {
			x.handler.log.logTrial(x.request.ID, now, mark)
			return nil
		}
	}
	x.refusedMark = &mark
	localErr := &localError{
		status: http.StatusServiceUnavailable, reason: "a part of its prompt crashes endpoints",
		retryAfter: jitterRetryAfter(c.prompts.remainingRefusal(now, mark)),
	}
	if mark.Content {
		localErr.reason = "its content has crashed endpoints"
		x.recordError(errRefusedContent)
	} else {
		x.recordError(errRefusedPart)
	}
	return localErr
}

// refusalReason returns why no further attempt is made for a request with a refused content or part.
func refusalReason(m *suspect.PartMark) string {
	if m.Content {
		return "content"
	}
	return "prompt part"
}

// giveUp records why no further attempt is made.
func (x *exchange) giveUp(reason string) nextStep {
	x.noRetryReason = reason
	return stepGiveUp
}

// placementRequest returns the properties of the request that decide which endpoint gets it.
func (x *exchange) placementRequest() placement.Request {
	return placement.Request{
		Service: x.service, Model: x.effectiveModel(), PromptTokens: x.request.PromptTokens, Prefix: x.request.PromptParts, OutputTokens: x.request.MaxOutputTokens,
		BodyBytes: len(x.body), AtMostOnce: !x.route.Repeatable(), Version: x.version, ExcludedEndpoints: x.excludedEndpoints,
		SampleKey: xxhash.Sum64String(x.request.ID),
	}
}

// effectiveModel returns the model that the router picked or, failing that, the one that the request names.
func (x *exchange) effectiveModel() string {
	if x.model != "" {
		return x.model
	}
	return x.request.Model
}

// refreshConfiguration applies a configuration that was published since the last attempt. If it does not allow the request, an
// attempt for which a retry was reserved is still made as the configuration before allows.
func (x *exchange) refreshConfiguration() *localError {
	latest := x.handler.snapshot.Load()
	if latest.configuration == x.snapshot.configuration || x.headSent {
		x.snapshot = latest
		return nil
	}
	if x.retryReserved {
		// An attempt was given up for the next one. Without a route, the client would get neither response.
		if _, _, localErr := x.findRoute(latest.configuration); localErr != nil {
			return nil
		}
	}
	x.snapshot = latest
	oldDeadline := x.deadline
	if localErr := x.matchRoute(latest.configuration); localErr != nil {
		return localErr
	}
	if t := x.route.Timeout; t > 0 {
		x.deadline = minTime(oldDeadline, x.start.Add(t))
	}
	x.pickModel()
	if !x.route.SendsTo(x.service) {
		x.service = x.route.PickService(rand.Float64())
		x.version = x.handler.balancer.pickVersion(time.Now(), x.service, x.route.Name, &x.request)
	}
	return nil
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// checkClientLeft reports whether the client has closed its connection, and records it.
func (x *exchange) checkClientLeft() bool {
	if x.r.Context().Err() != nil {
		x.clientLeft = true
	}
	return x.clientLeft
}

// attemptsLeft reports whether the route allows another attempt.
func (x *exchange) attemptsLeft() bool { return x.attempts < x.route.MaxAttempts }

// finishUnserved responds to a request for which no further attempt is made.
func (x *exchange) finishUnserved(localErr *localError) {
	switch {
	case x.checkClientLeft():
	case x.headSent:
		x.abortConn = true
	case localErr != nil && !x.mayHaveRun:
		x.writeLocalError(localErr)
	case x.lastFailure != nil:
		x.writeResponse(x.lastFailure)
	case x.mayHaveRun && !time.Now().Before(x.deadline):
		x.writeLocalError(&localError{status: http.StatusGatewayTimeout, reason: "deadline passed", err: x.firstErr})
	case x.mayHaveRun:
		x.writeLocalError(&localError{status: http.StatusBadGateway, reason: "no whole answer", err: x.firstErr})
	default:
		now := time.Now()
		a := x.handler.balancer.availability(now, x.service)
		x.availability = &a
		localErr := &localError{status: http.StatusServiceUnavailable, reason: "no endpoint can take it", err: x.firstErr}
		switch {
		case a.AllUnwilling():
			localErr.reason = "all endpoints have asked for no requests"
		case a.AllCold():
			localErr.reason = "all endpoints are cold"
		case a.AllLimited():
			localErr.reason = "all endpoints have got what their request limits allow"
		case a.AllFull():
			localErr.reason = "the memory of the engines is full"
		}
		localErr.retryAfter = jitterRetryAfter(max(minRetryAfter, x.handler.balancer.estimateCapacityWait(now, x.service)))
		x.handler.explainEvacuation(localErr, a, x.service)
		x.writeLocalError(localErr)
	}
}

// jitterRetryAfter adds a random time, so that clients that are refused at the same time do not retry at the same time.
func jitterRetryAfter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(max(d, minRetryAfterSpread))))
}

// recordError keeps the first error for the log.
func (x *exchange) recordError(err error) {
	if x.firstErr == nil {
		x.firstErr = err
	}
}

// outboundRequest returns the request to send to the chosen endpoint.
func (x *exchange) outboundRequest(c placement.Choice, now time.Time) forward.Request {
	s := attributes.EndpointRequest{
		Endpoint: c.Endpoint.ID, Organisation: x.organisation, Timeout: x.deadline.Sub(now), Model: x.model,
		Urgency: x.urgency(c, now),
	}
	if x.headSent {
		s.LastEventID = x.request.LastEventID
	}
	return forward.Request{
		ID: x.request.ID, Method: x.r.Method, Target: requestTarget(x.r), Host: x.r.Host, Body: x.body, HasBody: x.hasBody,
		Header: x.handler.options.Protocol.EndpointRequestHeader(x.r.Header, s),
	}
}
