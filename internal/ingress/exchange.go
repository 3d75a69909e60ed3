package ingress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/call"
	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
)

const (
	maxConnects = 6                      // endpoints that one request may fail to reach
	lateAnswer  = 50 * time.Millisecond  // after the deadline, for an endpoint's own answer that it has passed
	backWait    = 300 * time.Millisecond // least time until a refused client may come back
	backSpread  = 700 * time.Millisecond // least time over which clients that are refused together come back
)

var (
	errSilent   = errors.New("no byte within the expected time")
	errSuspect  = errors.New("the content has crashed endpoints")
	errDeadline = errors.New("the deadline has passed")
)

// exchange is one request of a client on its way.
type exchange struct {
	handler *handler
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	start   time.Time
	until   time.Time // deadline of the client or the route, whichever is first
	ctx     context.Context

	view         *View
	route        *directory.Route
	organisation string
	urgency      int
	request      call.Request
	body         []byte
	hasBody      bool
	content      suspect.Content

	service string
	version string
	model   string
	avoid   map[string]bool
	sends   int  // that may have reached an endpoint
	missed  int  // endpoints without a connection
	allowed bool // the next send is within the retry budget
	ran     bool // an endpoint may have run it
	last    *whole
	bodies  *memory.Hold // of the client's body
	answers *memory.Hold // of endpoints' answers

	delivered bool // the client has the head of the answer
	status    int
	events    int
	firstByte time.Duration
	trace     []hop
	failure   *failure
	abort     bool
	gone      bool   // the client left
	ended     string // why no further send was made
	cause     error
}

// hop is one send as the log shows it.
type hop struct {
	endpoint string
	model    string
	version  string
	outcome  string
	expected time.Duration
	took     time.Duration
}

// whole is a complete answer that is not delivered yet.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// step is what follows a send.
type step int

const (
	again   step = iota // another send, if one is allowed
	done                // the client has its answer, or has left
	settled             // no further send is allowed
)

// run sends the request until the client has an answer or no further send is allowed.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.until.Add(lateAnswer), errDeadline)
	defer cancel()
	x.ctx = ctx
	x.avoid = map[string]bool{}
	x.service = x.route.Pick(rand.Float64())
	x.handler.balancer.request(time.Now(), x.service)
	x.version = x.handler.balancer.version(time.Now(), x.service, &x.request)
	if x.request.Model == call.AnyModel && len(x.route.Models) > 0 {
		x.model = x.route.Models[0]
	}
	for {
		s, f := x.try()
		switch {
		case f != nil:
			x.end(f)
			return
		case s == done:
			return
		case s == settled:
			x.end(nil)
			return
		}
	}
}

// try makes one send.
func (x *exchange) try() (step, *failure) {
	now := time.Now()
	if x.left() {
		return done, nil
	}
	if !now.Before(x.until) {
		return x.settle("deadline"), nil
	}
	if f := x.rematch(); f != nil {
		return x.settle("configuration"), f
	}
	if x.sends > 0 && x.handler.board.judge(now, x.content) {
		x.note(errSuspect)
		return x.settle("content"), nil
	}
	if !x.more() {
		return x.settle("attempts"), nil
	}
	if x.missed >= maxConnects {
		return x.settle("unreachable endpoints"), nil
	}
	c, k, ok := x.handler.balancer.choose(now, x.placement())
	if !ok {
		return x.settle("no endpoint"), nil
	}
	if x.sends > 0 && !x.allowed && !x.handler.balancer.allow(now, x.service, 0) {
		x.handler.balancer.ended(now, k, false)
		return x.settle("retry budget"), nil
	}
	x.allowed = false
	a := &attempt{exchange: x, choice: c, token: k, sent: now}
	s := a.run()
	if s == settled && x.ended == "" {
		x.settle("may have run")
	}
	return s, nil
}

// settle records why no further send is made.
func (x *exchange) settle(why string) step {
	x.ended = why
	return settled
}

func (x *exchange) placement() placement.Request {
	return placement.Request{
		Service: x.service, Model: x.chosen(), Prompt: x.request.PromptTokens, Prefix: x.request.Prefix,
		Bytes: len(x.body), Risky: !x.route.Repeatable(), Version: x.version, Avoid: x.avoid,
	}
}

// chosen is the model that the request names or the router picked.
func (x *exchange) chosen() string {
	if x.model != "" {
		return x.model
	}
	return x.request.Model
}

// rematch applies a configuration that came since the last send.
func (x *exchange) rematch() *failure {
	v := x.handler.view.Load()
	if v.Directory == x.view.Directory || x.delivered {
		x.view = v
		return nil
	}
	x.view = v
	until := x.until
	if f := x.admit(v.Directory); f != nil {
		return f
	}
	if t := x.route.Timeout; t > 0 {
		x.until = minTime(until, x.start.Add(t))
	}
	if !x.route.Sends(x.service) {
		x.service = x.route.Pick(rand.Float64())
		x.version = x.handler.balancer.version(time.Now(), x.service, &x.request)
	}
	return nil
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// left reports whether the client has closed its connection.
func (x *exchange) left() bool {
	if x.r.Context().Err() != nil {
		x.gone = true
	}
	return x.gone
}

// more reports whether the route allows a further send.
func (x *exchange) more() bool { return x.sends < x.route.Attempts }

// end answers a request that no further send can serve.
func (x *exchange) end(f *failure) {
	switch {
	case x.left():
	case x.delivered:
		x.abort = true
	case f != nil && !x.ran:
		x.refuse(f)
	case x.last != nil:
		x.deliver(x.last)
	case x.ran && !time.Now().Before(x.until):
		x.refuse(&failure{status: http.StatusGatewayTimeout, reason: "deadline passed", err: x.cause})
	case x.ran:
		x.refuse(&failure{status: http.StatusBadGateway, reason: "no whole answer", err: x.cause})
	default:
		wait := spreadWait(max(backWait, x.handler.balancer.room(time.Now(), x.service)))
		x.refuse(&failure{status: http.StatusServiceUnavailable, reason: "no endpoint can take it", wait: wait, err: x.cause})
	}
}

// spreadWait spreads a time to come back, so that clients that are refused together do not come back together.
func spreadWait(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(max(d, backSpread))))
}

// note keeps the first error for the log.
func (x *exchange) note(err error) {
	if x.cause == nil {
		x.cause = err
	}
}

// outbound is the request as it goes to the endpoint of a choice.
func (x *exchange) outbound(c placement.Choice, now time.Time) forward.Outbound {
	s := call.Send{
		Endpoint: c.Endpoint.ID, Organisation: x.organisation, Deadline: x.until.Sub(now), Model: x.model,
		Urgency: x.urgency,
	}
	if x.delivered {
		s.LastEvent = x.request.LastEvent
	}
	return forward.Outbound{
		ID: x.request.ID, Method: x.r.Method, Target: target(x.r), Host: x.r.Host, Body: x.body, HasBody: x.hasBody,
		Header: x.handler.options.Protocol.Outbound(x.r.Header, s),
	}
}
