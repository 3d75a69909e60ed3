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
	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/order"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

var errTooLong = errors.New("the answer exceeds the size limit")

// Settings bounds the callers' API.
type Settings struct {
	Instance       string
	BodyBytes      int64
	StreamBytes    int64
	RequestTimeout time.Duration
	Services       map[string]Service
}

// Service is a plain service that callers may call by name.
type Service struct {
	HonoursKeys bool
	Price       record.Micros
}

// Amounts are what a request uses of an organisation's limits.
type Amounts struct {
	Cost     record.Micros
	Tokens   int64
	Requests int64
}

// Reservation holds an organisation's entitlement for one request.
type Reservation interface {
	Settle(used Amounts)
}

// Wallet reserves entitlement before work is sent.
type Wallet interface {
	Reserve(ctx context.Context, o profile.Organisation, worst Amounts) (Reservation, error)
}

// Biller takes the bill of a request; the last byte of an answer may be released once Bill returns.
type Biller interface {
	// Admit keeps room for the bill of a request; the returned function gives it back at the request's end.
	Admit() (func(), error)
	Bill(ctx context.Context, b record.Bill) error
}

// Arrival is work that asks for admission; Pool is the version or the service that it goes to first.
type Arrival struct {
	Pool         string
	Organisation profile.Organisation
	Priority     int
	Deadline     time.Time
}

// Admission refuses work early under overload. The returned function ends the request.
type Admission interface {
	Admit(a Arrival) (func(), error)
}

// Verifier checks and signs session tokens.
type Verifier interface {
	Verify(text, organisation string, now time.Time) (session.Token, error)
	Sign(t session.Token) string
}

// Recorder writes events of the time line.
type Recorder interface {
	Write(e timeline.Event)
}

// Parts are what the gateway works with.
type Parts struct {
	Catalog   func() *profile.Catalog
	Ready     func() error // nil if the load balancer may send work
	Serving   func() error // nil if new work may start
	Sessions  Verifier
	Maker     *answer.Maker
	Orders    *order.Desk
	Wallet    Wallet
	Biller    Biller
	Admission Admission
	Digest    func(r *answer.Request) uint64
	Events    Recorder
	Clock     *timeline.Clock // its stamps go out with replies
	Metrics   http.Handler
	Scope     tally.Scope
	Logger    *zap.Logger
}

// Gateway serves callers.
type Gateway struct {
	s    Settings
	p    Parts
	echo *echo.Echo

	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// New returns a gateway; serve its Handler.
func New(s Settings, p Parts) *Gateway {
	g := &Gateway{s: s, p: p, echo: echo.New()}
	g.echo.HTTPErrorHandler = func(c *echo.Context, err error) {
		refuse("route", client.CodeBadRequest, "%w", err).write(c.Response())
	}
	g.echo.POST("/v1/chat/completions", g.work(g.chat))
	g.echo.Any("/v1/services/:service/*", g.work(g.service))
	g.echo.Any("/v1/services/:service", g.work(g.service))
	g.echo.GET("/healthz", func(c *echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	g.echo.GET("/readyz", g.ready)
	g.echo.GET("/metrics", func(c *echo.Context) error {
		p.Metrics.ServeHTTP(c.Response(), c.Request())
		return nil
	})
	return g
}

// Handler returns the HTTP handler of the callers' API.
func (g *Gateway) Handler() http.Handler { return g.echo }

// Drain refuses new work, and waits until the work under way has ended or the context ends.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	done := make(chan struct{})
	go func() {
		g.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &Error{Op: "drain", Kind: client.CodeDeadlineExceeded, Err: ctx.Err()}
	}
}

// begin counts a request in unless the gateway drains.
func (g *Gateway) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running.Add(1)
	return true
}

func (g *Gateway) ready(c *echo.Context) error {
	if err := g.p.Ready(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// task is one authenticated request.
type task struct {
	id      string
	session string // short identifier for the time line; empty without a session
	org     profile.Organisation
	start   time.Time
}

type handler func(w http.ResponseWriter, r *http.Request, t *task, c *echo.Context) error

// work wraps the handlers of billable work.
func (g *Gateway) work(h handler) echo.HandlerFunc {
	return func(c *echo.Context) error {
		w, r := c.Response(), c.Request()
		t := &task{start: time.Now()}
		err := g.serve(h, w, r, t, c)
		if err == nil {
			g.count("answered", t)
			g.event("answered", t, g.answered(w))
			return nil
		}
		e := seen(err)
		g.event("refused", t, map[string]string{"code": string(e.Kind), "error": e.Error()})
		g.p.Scope.Tagged(map[string]string{"code": string(e.Kind)}).Counter("refusals").Inc(1)
		if !errors.Is(err, errStarted) {
			g.p.Clock.Outgoing(w.Header())
			e.write(w)
		}
		return nil
	}
}

// errStarted marks an error that was already reported inside a stream.
var errStarted = errors.New("the reply has started")

func (g *Gateway) serve(h handler, w http.ResponseWriter, r *http.Request, t *task, c *echo.Context) error {
	if err := g.authenticate(r, t); err != nil {
		return err
	}
	if !g.begin() {
		return refuse("serve", client.CodeNotReady, "the instance is stopping")
	}
	defer g.running.Done()
	defer g.limit(w, t.start)()
	if err := g.p.Serving(); err != nil {
		return refuse("serve", client.CodeNotReady, "%w", err)
	}
	release, err := g.p.Biller.Admit()
	if err != nil {
		return refuse("serve", client.CodeLogUnavailable, "%w", err)
	}
	defer release()
	return h(w, r, t, c)
}

// replyGrace is the time to write a refusal after the request's own time has passed.
const replyGrace = 5 * time.Second

// limit bounds the time to read the body and to write the reply, so that a caller that stalls can't hold a request
// for ever. The returned function lifts the bound on writing for the connection's next request; the server sets the
// one on reading itself, after it has read the rest of the body.
func (g *Gateway) limit(w http.ResponseWriter, start time.Time) func() {
	c, end := http.NewResponseController(w), start.Add(g.s.RequestTimeout)
	// An error means that the transport knows no deadlines; the limits of the server still hold.
	_ = c.SetReadDeadline(end)
	_ = c.SetWriteDeadline(end.Add(replyGrace))
	return func() { _ = c.SetWriteDeadline(time.Time{}) }
}

func (g *Gateway) authenticate(r *http.Request, t *task) error {
	// The look-up is by the key's hash, so its time tells nothing about a key.
	o, ok := g.p.Catalog().Organisation(certificate.HashKey(certificate.Bearer(r.Header.Get("Authorization"))))
	if !ok {
		return refuse("authenticate", client.CodeUnauthorised, "the API key is missing or unknown")
	}
	t.org = o
	return nil
}

// event writes an event of a request.
func (g *Gateway) event(name string, t *task, fields map[string]string) {
	g.p.Events.Write(timeline.Event{
		Part: "gateway", Name: name, Request: t.id, Organisation: t.org.Name, Session: t.session, Fields: fields,
	})
}

// answered returns the fields of an answer's event. Each answer gives a new token, so the event names the session
// that the caller's next request will have.
func (g *Gateway) answered(w http.ResponseWriter) map[string]string {
	f := map[string]string{}
	if v := w.Header().Get(client.HeaderVersion); v != "" {
		f["version"] = v
	}
	if s := w.Header().Get(client.HeaderSession); s != "" {
		f["next-session"] = timeline.SessionID(s)
	}
	return f
}

func (g *Gateway) count(name string, t *task) {
	g.p.Scope.Counter(name).Inc(1)
	g.p.Scope.Timer("latency").Record(time.Since(t.start))
}
