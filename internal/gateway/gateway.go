package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/answer"
	"github.com/cassiaspoke/cassiaspoke/internal/certificate"
	"github.com/cassiaspoke/cassiaspoke/internal/connlimit"
	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
	"github.com/cassiaspoke/cassiaspoke/internal/servicecall"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

var errAnswerTooLarge = errors.New("the answer exceeds the size limit")

// Settings configures the callers' API.
type Settings struct {
	Instance       string // name of this instance on bills
	MaxBodyBytes   int64  // maximum size of a request body
	MaxAnswerBytes int64  // maximum size of an answer's text
	RequestTimeout time.Duration
	Services       map[string]ServiceSettings // by name
}

// ServiceSettings configures a plain service.
type ServiceSettings struct {
	HonoursIdempotencyKeys bool          // the service runs calls with the same idempotency key at most once
	Price                  record.Micros // per call
}

// Amounts are the parts of an organisation's limits that a request uses.
type Amounts struct {
	Cost     record.Micros
	Tokens   int64
	Requests int64
}

// Reservation is the entitlement of an organisation that is reserved for one request. Settle releases what was not used.
type Reservation interface {
	Settle(used Amounts)
}

// Entitlements reserves the entitlement of an organisation before its request is sent to an endpoint.
type Entitlements interface {
	Reserve(ctx context.Context, o config.Organisation, worst Amounts) (Reservation, error)
}

// Biller accepts the bills of requests. The last byte of an answer may be sent once Bill has returned.
type Biller interface {
	// ReserveBuffer reserves buffer space for the bill of a request. The returned function releases it and is called
	// when the request ends.
	ReserveBuffer() (func(), error)
	Bill(ctx context.Context, b record.Bill) error
}

// AdmissionRequest is a request that needs admission. Pool is the name of the version or the service that it is sent to
// first.
type AdmissionRequest struct {
	Pool         string
	Organisation config.Organisation
	Priority     int
	Deadline     time.Time
}

// Admission refuses requests early under overload, or with an *Error that gives another reason. The function that Admit returns is called when the request ends.
type Admission interface {
	Admit(a AdmissionRequest) (func(), error)
}

// SessionTokens verifies and signs session tokens.
type SessionTokens interface {
	Verify(text, organisation string, now time.Time) (session.Token, error)
	Sign(t session.Token) string
}

// Recorder writes events of the event timeline.
type Recorder interface {
	Write(e timeline.Event)
}

// Dependencies holds the dependencies of a Gateway.
type Dependencies struct {
	Catalog      func() *config.Catalog
	CheckReady   func() error // returns nil while the load balancer may send requests
	CheckServing func() error // returns nil while new requests may start
	Sessions     SessionTokens
	Executor     *answer.Executor
	Orders       *servicecall.Dispatcher
	Entitlements Entitlements
	Biller       Biller
	Admission    Admission
	Content      func(r *answer.Request) answer.Content // identifies the content of a request
	Events       Recorder
	Clock        *timeline.Clock // adds its stamps to replies
	Metrics      http.Handler
	Bodies       connlimit.BodyReader // reads the bodies of requests
	AnswerMemory *memory.Budget       // for answers that are sent when they are complete; nil for no limit
	Scope        tally.Scope
	Logger       *zap.Logger
}

// Gateway serves the callers' API.
type Gateway struct {
	s    Settings
	deps Dependencies
	echo *echo.Echo

	mu       sync.Mutex
	draining bool
	inFlight sync.WaitGroup
}

// New returns a Gateway. The caller serves its Handler.
func New(s Settings, deps Dependencies) *Gateway {
	g := &Gateway{s: s, deps: deps, echo: echo.New()}
	g.echo.HTTPErrorHandler = func(c *echo.Context, err error) {
		newRefusal("route", client.CodeBadRequest, "%w", err).write(c.Response())
	}
	g.echo.POST("/v1/chat/completions", g.handleBillable(g.handleChat))
	g.echo.Any("/v1/services/:service/*", g.handleBillable(g.handleService))
	g.echo.Any("/v1/services/:service", g.handleBillable(g.handleService))
	g.echo.GET("/healthz", func(c *echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	g.echo.GET("/readyz", g.handleReady)
	g.echo.GET("/metrics", func(c *echo.Context) error {
		deps.Metrics.ServeHTTP(c.Response(), c.Request())
		return nil
	})
	return g
}

// Handler returns the HTTP handler of the callers' API.
func (g *Gateway) Handler() http.Handler { return g.echo }

// Drain refuses new requests, and waits until the requests in flight have ended or the context is done.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.draining = true
	g.mu.Unlock()
	done := make(chan struct{})
	go func() {
		g.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &Error{Op: "drain", Kind: client.CodeDeadlineExceeded, Err: ctx.Err()}
	}
}

// startRequest counts a request as in flight. It returns false if the gateway is draining.
func (g *Gateway) startRequest() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return false
	}
	g.inFlight.Add(1)
	return true
}

// handleReady answers readiness checks.
func (g *Gateway) handleReady(c *echo.Context) error {
	if err := g.deps.CheckReady(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// requestMeta identifies one request of a caller. authenticate sets org, and the handlers set id and session.
type requestMeta struct {
	id      string
	session string // short session ID for the event timeline; empty without a session
	org     config.Organisation
	start   time.Time
}

// workHandler handles one billable request. An error that it returns becomes the reply.
type workHandler func(w http.ResponseWriter, r *http.Request, meta *requestMeta, c *echo.Context) error

// handleBillable wraps a handler of billable requests: it records the outcome and replies with the error, if any.
func (g *Gateway) handleBillable(h workHandler) echo.HandlerFunc {
	return func(c *echo.Context) error {
		w, r := c.Response(), c.Request()
		meta := &requestMeta{start: time.Now()}
		err := g.runHandler(h, w, r, meta, c)
		if err == nil {
			g.countRequest("answered", meta)
			g.recordEvent("answered", meta, g.answeredFields(w))
			return nil
		}
		e := toError(err)
		g.recordEvent("refused", meta, map[string]string{"code": string(e.Kind), "error": e.Error()})
		g.deps.Scope.Tagged(map[string]string{"code": string(e.Kind)}).Counter("refusals").Inc(1)
		if !errors.Is(err, errReplyStarted) {
			g.deps.Clock.InjectHeader(w.Header())
			e.write(w)
		}
		return nil
	}
}

// errReplyStarted marks errors after the start of the reply, which can no longer be replaced by an error reply.
var errReplyStarted = errors.New("the reply has started")

// runHandler authenticates a request and runs its handler, if the instance can take and bill it.
func (g *Gateway) runHandler(h workHandler, w http.ResponseWriter, r *http.Request, meta *requestMeta, c *echo.Context) error {
	if err := g.authenticate(r, meta); err != nil {
		return err
	}
	if !g.startRequest() {
		return newRefusal("serve", client.CodeNotReady, "the instance is stopping")
	}
	defer g.inFlight.Done()
	defer g.setDeadlines(w, meta.start)()
	if err := g.deps.CheckServing(); err != nil {
		return newRefusal("serve", client.CodeNotReady, "%w", err)
	}
	release, err := g.deps.Biller.ReserveBuffer()
	if err != nil {
		return newRefusal("serve", client.CodeLogUnavailable, "%w", err)
	}
	defer release()
	return h(w, r, meta, c)
}

// replyGrace is the additional time for writing an error reply after the request timeout.
const replyGrace = 5 * time.Second

// setDeadlines limits the time for reading the body and writing the reply, so that a caller that stalls can't occupy a
// request forever. The returned function removes the write deadline for the next request of the connection. The server
// resets the read deadline itself after it has read the rest of the body.
func (g *Gateway) setDeadlines(w http.ResponseWriter, start time.Time) func() {
	rc, deadline := http.NewResponseController(w), start.Add(g.s.RequestTimeout)
	// An error means that the transport doesn't support deadlines. The limits of the server still apply.
	_ = rc.SetReadDeadline(deadline)
	_ = rc.SetWriteDeadline(deadline.Add(replyGrace))
	return func() { _ = rc.SetWriteDeadline(time.Time{}) }
}

// authenticate looks up the organisation that owns the request's API key.
func (g *Gateway) authenticate(r *http.Request, meta *requestMeta) error {
	// The look-up uses a hash of the key, so its duration reveals nothing about valid keys.
	o, ok := g.deps.Catalog().OrganisationByKeyHash(certificate.HashKey(certificate.BearerKey(r.Header.Get("Authorization"))))
	if !ok {
		return newRefusal("authenticate", client.CodeUnauthorised, "the API key is missing or unknown")
	}
	meta.org = o
	return nil
}

// recordEvent writes an event of a request to the event timeline.
func (g *Gateway) recordEvent(name string, meta *requestMeta, fields map[string]string) {
	g.deps.Events.Write(timeline.Event{
		Component: "gateway", Name: name, Request: meta.id, Organisation: meta.org.Name, Session: meta.session, Fields: fields,
	})
}

// answeredFields returns the fields of the event "answered". Each answer issues a new token, so next-session is the
// session ID of the caller's next request.
func (g *Gateway) answeredFields(w http.ResponseWriter) map[string]string {
	f := map[string]string{}
	if v := w.Header().Get(client.HeaderVersion); v != "" {
		f["version"] = v
	}
	if s := w.Header().Get(client.HeaderSession); s != "" {
		f["next-session"] = timeline.SessionID(s)
	}
	return f
}

// countRequest counts a request and records its latency.
func (g *Gateway) countRequest(name string, meta *requestMeta) {
	g.deps.Scope.Counter(name).Inc(1)
	g.deps.Scope.Timer("latency").Record(time.Since(meta.start))
}
