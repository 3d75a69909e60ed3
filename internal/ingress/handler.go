package ingress

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/cassiaspoke/cassiaspoke/internal/connlimit"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
)

const (
	bodyReadTimeout       = 10 * time.Second       // for a client to send a body after the head
	defaultRequestTimeout = time.Minute            // for requests without a deadline on a route without a timeout
	maxAdmissionWait      = 250 * time.Millisecond // enough for the few calls to the store of a starting instance
	admissionWaitShare    = 0.125                  // share of the client's deadline, if that is shorter
	minStartupRetryAfter  = 500 * time.Millisecond // for clients of an instance without a configuration
	maxStartupRetryAfter  = 3 * time.Second        // upper limit before the random spread is added
)

// handler serves clients' requests.
type handler struct {
	options        Options
	snapshot       *atomic.Pointer[snapshot]
	balancer       *balancer
	pool           *forward.Pool
	coordinator    *coordinator
	metrics        *metrics
	log            *requestLog
	unknownHeaders *unknownHeaders
	stopping       *atomic.Bool
	serverClosed   *atomic.Bool               // the grace period is over, and connections with requests under way were closed
	stopDeadline   *atomic.Pointer[time.Time] // end of the grace period; set once the load balancer has noticed the stop
	stopDue        context.Context            // ends when requests under way have to end
	startedAt      time.Time
	// abandonedProbes limits the probes of endpoints whose requests were given up.
	abandonedProbes *rate.Limiter
	ready           <-chan struct{} // closed once the configuration and the endpoints are known
}

// ServeHTTP serves one request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		handler: h, w: w, r: r, start: time.Now(), snapshot: h.snapshot.Load(), responseController: http.NewResponseController(w),
		bodyMemory: h.options.RequestMemory.NewReservation(), responseMemory: h.options.ResponseMemory.NewReservation(),
	}
	defer x.bodyMemory.Release()
	defer x.responseMemory.Release()
	// net/http drops a Content-Length next to a chunked encoding, so a message with both can't be detected here. By its
	// length, the bytes that follow on the connection may belong to its body, so they must not be parsed as a request.
	if h.stopping.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if !r.ProtoAtLeast(1, 1) {
		resetOnClose(r.Context(), true) // without chunks, only a reset is distinguishable from the end of the body
	}
	if localErr := x.prepareRequest(); localErr != nil {
		x.limitBodyDrain()
		x.writeLocalError(localErr)
	} else {
		x.serve()
	}
	x.logOutcome()
	if x.abortConn || x.clientLeft {
		// Close the connection without terminating the body, so that a truncated response does not look complete, and without the empty
		// response that net/http sends if there is none. A client that is taken to have left may still read.
		panic(http.ErrAbortHandler)
	}
	resetOnClose(r.Context(), false)
}

// prepareRequest parses the header, matches the route and the organisation, reads the body and sets the deadline.
func (x *exchange) prepareRequest() *localError {
	request, err := x.handler.options.Protocol.DecodeRequest(x.r.Header)
	x.request = request
	if err != nil {
		return newLocalError(http.StatusBadRequest, "malformed header", err)
	}
	if request.ID == "" {
		return newLocalError(http.StatusBadRequest, "no request identifier", nil)
	}
	if !x.snapshot.ready() {
		x.awaitReady()
	}
	if !x.snapshot.ready() {
		localErr := &localError{
			status: http.StatusServiceUnavailable, reason: "no configuration",
			retryAfter: startupRetryAfter(x.start.Sub(x.handler.startedAt)),
		}
		if x.snapshot.configuration != nil {
			localErr.reason = "endpoints not known yet"
		}
		return localErr
	}
	if localErr := x.matchRoute(x.snapshot.configuration); localErr != nil {
		return localErr
	}
	if localErr := x.readBody(); localErr != nil {
		return localErr
	}
	x.partIDs = sharedPartIDs(&x.request)
	x.contentID = contentID(suspect.HashContent(x.organisation, []byte(requestTarget(x.r)), x.body))
	x.inputIDs = append([]string{x.contentID}, x.partIDs...)
	timeout := x.request.Timeout
	if routeTimeout := x.route.Timeout; routeTimeout > 0 && (timeout == 0 || routeTimeout < timeout) {
		timeout = routeTimeout
	}
	if timeout == 0 {
		timeout = defaultRequestTimeout
	}
	x.deadline = x.start.Add(timeout)
	return x.checkStop()
}

// checkStop returns an error if the request may outlast this instance, unless an endpoint may have run it already.
func (x *exchange) checkStop() *localError {
	stopDeadline := x.handler.stopDeadline.Load()
	if stopDeadline == nil || x.mayHaveRun || !x.deadline.After(*stopDeadline) {
		return nil
	}
	return &localError{
		status: http.StatusServiceUnavailable, reason: "the instance stops before its answer may end", retryAfter: jitterRetryAfter(0),
	}
}

// awaitReady waits up to admissionWait for the first configuration and endpoints, which a starting instance reads in a few
// calls to the store.
func (x *exchange) awaitReady() {
	t := time.NewTimer(x.admissionWait())
	defer t.Stop()
	select {
	case <-x.handler.ready:
	case <-t.C:
	case <-x.r.Context().Done():
	}
	x.snapshot = x.handler.snapshot.Load()
}

// admissionWait returns how long a request may wait for the configuration or for memory.
func (x *exchange) admissionWait() time.Duration {
	if share := time.Duration(admissionWaitShare * float64(x.request.Timeout)); share > 0 {
		return min(maxAdmissionWait, share)
	}
	return maxAdmissionWait
}

// startupRetryAfter returns the time after which a client of an instance without a configuration may retry. The longer
// the store has been unavailable, the longer it is expected to stay so. The random spread keeps clients from retrying at
// the same time.
func startupRetryAfter(uptime time.Duration) time.Duration {
	d := min(max(minStartupRetryAfter, uptime), maxStartupRetryAfter)
	return d + time.Duration(rand.Int64N(int64(d/2)))
}

// matchRoute applies a configuration to the request: it sets the route, the organisation and the priority, and checks the
// API key and the size of the header.
func (x *exchange) matchRoute(config *routing.Configuration) *localError {
	route, org, localErr := x.findRoute(config)
	x.route = route
	if route == nil {
		return localErr
	}
	x.organisation, x.priority = "", route.Priority
	if org != nil {
		x.organisation = org.Name
		if org.Priority != nil {
			x.priority = *org.Priority
		}
	}
	return localErr
}

// findRoute returns the route and, unless the route is public, the organisation of the request in a configuration. It returns
// an error if the configuration does not allow the request.
func (x *exchange) findRoute(config *routing.Configuration) (*routing.Route, *routing.Organisation, *localError) {
	path, _, _ := strings.Cut(requestTarget(x.r), "?")
	route := config.MatchRoute(x.r.Host, path)
	if route == nil {
		return nil, nil, newLocalError(http.StatusNotFound, "no route", nil)
	}
	var org *routing.Organisation
	if !route.Public && config.RequiresKeys() {
		if org = config.OrganisationByKey(x.request.APIKey); org == nil {
			return route, nil, newLocalError(http.StatusUnauthorized, "unknown key", nil)
		}
	}
	if n := headerSize(x.r.Header); config.Limits.HeaderBytes > 0 && n > config.Limits.HeaderBytes {
		return route, org, newLocalError(http.StatusRequestHeaderFieldsTooLarge, "header too large", nil)
	}
	return route, org, nil
}

// readBody reads the body of the client's request.
func (x *exchange) readBody() *localError {
	limit := x.handler.options.MaxRequestBytes
	if configured := x.snapshot.configuration.Limits.BodyBytes; configured > 0 {
		limit = min(configured, x.handler.options.RequestMemory.MaxBodySize())
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	x.hasBody = true
	if x.r.ContentLength > limit {
		return newLocalError(http.StatusRequestEntityTooLarge, "body too large", nil)
	}
	if err := x.responseController.SetReadDeadline(time.Now().Add(bodyReadTimeout)); err != nil {
		return newLocalError(http.StatusBadRequest, "connection lost", err)
	}
	var slow atomic.Bool
	body, stopTracking := x.bodyMemory.TrackProgress(http.MaxBytesReader(x.w, x.r.Body, limit), func() {
		slow.Store(true)
		_ = x.responseController.SetReadDeadline(time.Now())
	})
	b, err := memory.ReadAll(body, limit, x.awaitBodyMemory)
	stopTracking()
	var tooLarge *http.MaxBytesError
	var noMemory *memory.Error
	switch {
	case errors.As(err, &tooLarge):
		return newLocalError(http.StatusRequestEntityTooLarge, "body too large", nil)
	case errors.As(err, &noMemory):
		x.countLimit(connlimit.ReasonBodyMemory)
		return &localError{
			status: http.StatusServiceUnavailable, reason: "no memory for its body", retryAfter: jitterRetryAfter(minRetryAfter), err: err,
		}
	case err != nil || slow.Load(): // the deadline has cancelled the request, too, if the body is complete
		return x.bodyError(err, slow.Load())
	}
	x.body = b
	// net/http sets a deadline of its own when it reads the next request on the connection.
	if err := x.responseController.SetReadDeadline(time.Time{}); err != nil {
		return newLocalError(http.StatusBadRequest, "connection lost", err)
	}
	return nil
}

// awaitBodyMemory reserves memory for the body and waits up to admissionWait for it.
func (x *exchange) awaitBodyMemory(n int64) error {
	ctx, cancel := context.WithTimeout(x.r.Context(), x.admissionWait())
	defer cancel()
	return x.bodyMemory.GrowWait(ctx, n)
}

// requestTarget returns the path and query as the client sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// headerSize returns the size of a header on the wire.
func headerSize(h http.Header) int {
	n := 0
	for k, l := range h {
		for _, v := range l {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

// localError is an error response that the instance generates itself.
type localError struct {
	status     int
	reason     string
	retryAfter time.Duration // time after which the client may retry; 0 if none is stated
	err        error
}

// newLocalError returns an error response that states no time for a retry.
func newLocalError(status int, reason string, err error) *localError {
	return &localError{status: status, reason: reason, err: err}
}

// writeLocalError responds with an error that the instance generates itself.
func (x *exchange) writeLocalError(e *localError) {
	x.localError = e
	for k, v := range x.handler.options.Protocol.RefusalHeader(x.request.ID, e.retryAfter) {
		x.w.Header()[k] = v
	}
	x.status = e.status
	x.w.WriteHeader(e.status)
	if _, err := io.WriteString(x.w, e.reason+"\n"); err != nil {
		x.recordError(err)
	}
}
