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

	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
)

const (
	bodyTime    = 10 * time.Second       // for a client to send a body after its head
	defaultWait = time.Minute            // for requests that state no deadline on a route without a timeout
	startHold   = 250 * time.Millisecond // for an instance that has just started to read the configuration, some calls to the store
	holdShare   = 0.125                  // of the client's time, if that is shorter
	startWait   = 500 * time.Millisecond // least time until a client of an instance without a configuration may come back
	startMost   = 3 * time.Second        // the longest
)

// handler serves the clients' requests.
type handler struct {
	options  Options
	view     *atomic.Pointer[View]
	balancer *balancer
	pool     *forward.Pool
	board    *board
	metrics  *metrics
	log      *requestLog
	stopping *atomic.Bool
	closed   *atomic.Bool               // the grace period is over, so connections were closed under requests
	stopEnd  *atomic.Pointer[time.Time] // when that will be, once the balancer has noticed the stop
	started  time.Time
	ready    <-chan struct{} // closed when the configuration and the endpoints are known
}

// ServeHTTP answers one request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		handler: h, w: w, r: r, start: time.Now(), view: h.view.Load(), control: http.NewResponseController(w),
		bodies: h.options.Bodies.Hold(), answers: h.options.Answers.Hold(),
	}
	defer x.bodies.Free()
	defer x.answers.Free()
	// The server drops a Content-Length beside chunks, so such a message can't be told from a proper one. What follows
	// it on the connection may be a part of its body by the length, and is not taken for a request.
	if h.stopping.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if f := x.prepare(); f != nil {
		x.refuse(f)
	} else {
		x.run()
	}
	x.report()
	if x.abort {
		// Ends the connection without the end of the body, so that a cut answer does not look complete.
		if !r.ProtoAtLeast(1, 1) {
			resetAtEnd(r.Context()) // without chunks only a reset differs from the end of the body
		}
		panic(http.ErrAbortHandler)
	}
}

// prepare finds the route and the organisation and reads the body.
func (x *exchange) prepare() *failure {
	q, err := x.handler.options.Protocol.Request(x.r.Header)
	x.request = q
	if err != nil {
		return refusal(http.StatusBadRequest, "malformed header", err)
	}
	if q.ID == "" {
		return refusal(http.StatusBadRequest, "no request identifier", nil)
	}
	if !x.view.Ready() {
		x.hold()
	}
	if !x.view.Ready() {
		f := &failure{status: http.StatusServiceUnavailable, reason: "no configuration", wait: startRetry(x.start.Sub(x.handler.started))}
		if x.view.Directory != nil {
			f.reason = "endpoints not known yet"
		}
		return f
	}
	if f := x.admit(x.view.Directory); f != nil {
		return f
	}
	if f := x.readBody(); f != nil {
		return f
	}
	x.content = suspect.Sum(x.organisation, []byte(target(x.r)), x.body)
	if x.handler.board.judge(x.start, x.content) {
		return &failure{status: http.StatusServiceUnavailable, reason: "its content has crashed endpoints"}
	}
	wait := x.request.Deadline
	if t := x.route.Timeout; t > 0 && (wait == 0 || t < wait) {
		wait = t
	}
	if wait == 0 {
		wait = defaultWait
	}
	x.until = x.start.Add(wait)
	if end := x.handler.stopEnd.Load(); end != nil && x.until.After(*end) {
		return &failure{status: http.StatusServiceUnavailable, reason: "the instance stops before its answer may end", wait: spreadWait(0)}
	}
	return nil
}

// hold waits a little for the first configuration and the endpoints, which a starting instance reads within some calls.
func (x *exchange) hold() {
	t := time.NewTimer(x.briefly())
	defer t.Stop()
	select {
	case <-x.handler.ready:
	case <-t.C:
	case <-x.r.Context().Done():
	}
	x.view = x.handler.view.Load()
}

// briefly is for how long a request may wait before it has a place here.
func (x *exchange) briefly() time.Duration {
	if q := time.Duration(holdShare * float64(x.request.Deadline)); q > 0 {
		return min(startHold, q)
	}
	return startHold
}

// startRetry is when a client of an instance without a configuration may come back. The longer the store has been away,
// the longer it is expected to stay away; the spread keeps clients from coming back together.
func startRetry(up time.Duration) time.Duration {
	d := min(max(startWait, up), startMost)
	return d + time.Duration(rand.Int64N(int64(d/2)))
}

// admit matches the request against a configuration.
func (x *exchange) admit(d *directory.Directory) *failure {
	path, _, _ := strings.Cut(target(x.r), "?")
	x.route = d.Match(x.r.Host, path)
	if x.route == nil {
		return refusal(http.StatusNotFound, "no route", nil)
	}
	x.organisation, x.urgency = "", x.route.Priority
	if !x.route.Public && d.Closed() {
		o := d.Holder(x.request.Key)
		if o == nil {
			return refusal(http.StatusUnauthorized, "unknown key", nil)
		}
		x.organisation = o.Name
		if o.Priority != nil {
			x.urgency = *o.Priority
		}
	}
	if n := headerBytes(x.r.Header); d.Limits.HeaderBytes > 0 && n > d.Limits.HeaderBytes {
		return refusal(http.StatusRequestHeaderFieldsTooLarge, "header too large", nil)
	}
	return nil
}

func (x *exchange) readBody() *failure {
	limit := x.handler.options.MaxBody
	if l := x.view.Directory.Limits.BodyBytes; l > 0 {
		limit = min(l, x.handler.options.Bodies.Most())
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	x.hasBody = true
	if x.r.ContentLength > limit {
		return refusal(http.StatusRequestEntityTooLarge, "body too large", nil)
	}
	if err := x.control.SetReadDeadline(time.Now().Add(bodyTime)); err != nil {
		return refusal(http.StatusBadRequest, "connection lost", err)
	}
	b, err := memory.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit), limit, x.room)
	var large *http.MaxBytesError
	var full *memory.Error
	switch {
	case errors.As(err, &large):
		return refusal(http.StatusRequestEntityTooLarge, "body too large", nil)
	case errors.As(err, &full):
		return &failure{status: http.StatusServiceUnavailable, reason: "no memory for its body", wait: spreadWait(backWait), err: err}
	case err != nil:
		return refusal(http.StatusBadRequest, "body cut off", err)
	}
	x.body = b
	// The server's read of the next request on the connection sets its own deadline.
	if err := x.control.SetReadDeadline(time.Time{}); err != nil {
		return refusal(http.StatusBadRequest, "connection lost", err)
	}
	return nil
}

// room waits a little for memory for the body.
func (x *exchange) room(n int64) error {
	ctx, cancel := context.WithTimeout(x.r.Context(), x.briefly())
	defer cancel()
	return x.bodies.Wait(ctx, n)
}

// target is the path and query as the client sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func headerBytes(h http.Header) int {
	n := 0
	for k, l := range h {
		for _, v := range l {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

// failure is an answer that the router gives itself.
type failure struct {
	status int
	reason string
	wait   time.Duration // until the client may come back; 0 says nothing
	err    error
}

func refusal(status int, reason string, err error) *failure {
	return &failure{status: status, reason: reason, err: err}
}

// refuse answers with a failure of the router's own.
func (x *exchange) refuse(f *failure) {
	x.failure = f
	for k, v := range x.handler.options.Protocol.Refusal(x.request.ID, f.wait) {
		x.w.Header()[k] = v
	}
	x.status = f.status
	x.w.WriteHeader(f.status)
	if _, err := io.WriteString(x.w, f.reason+"\n"); err != nil {
		x.note(err)
	}
}
