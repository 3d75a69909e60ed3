package ingress

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/stall"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
)

// stallRetryReserve is the share of the retry budget that is kept for failed requests and not spent on stalled ones.
const stallRetryReserve = 0.3

// stallTimer bounds the wait for the next bytes of a response. When it expires, the attempt is given up only if another one has been
// begun or is certain to be made. It is used by the request's goroutine only.
type stallTimer struct {
	attempt         *attempt
	timeout         time.Duration
	responseStarted bool    // the head of the response has arrived
	retryReserve    float64 // share of the retry budget that this request may not use
	elapsedWaits    int     // timeouts that have passed in a row
}

// continueWait returns how much longer to wait, or 0 if the request is to be sent to another endpoint. TimerDelay is the
// delay between the end of the wait and this call.
func (s *stallTimer) continueWait(timerDelay time.Duration) time.Duration {
	a := s.attempt
	x := a.exchange
	c := stall.Input{Timeout: s.timeout, Waits: s.elapsedWaits + 1, TimerDelay: timerDelay, Started: s.responseStarted}
	c.EndpointActive, c.OtherEndpoints, c.SilentEndpoints = x.handler.pool.Activity(a.choice.Endpoint.Address, s.timeout)
	d := x.handler.options.Stall.ExtendWait(c)
	if d == 0 && !s.moveOn() {
		d = s.timeout
	}
	if d == s.timeout {
		s.elapsedWaits++
	}
	return d
}

// moveOn reports whether another attempt is to be made. This one is kept until that one is under way, unless a new configuration has to
// be applied first.
func (s *stallTimer) moveOn() bool {
	x := s.attempt.exchange
	if x.headSent || x.handler.snapshot.Load().configuration == x.snapshot.configuration {
		return s.attempt.beginNext(s.retryReserve)
	}
	return s.attempt.reserveRetry(s.retryReserve)
}

// reserveRetry reports whether the newest configuration allows the request to be sent again and another endpoint can take it,
// and charges the retry if so, unless one that was charged before has not been made. It keeps the given share of the retry budget untouched.
func (a *attempt) reserveRetry(reserve float64) bool {
	x, now := a.exchange, time.Now()
	if !a.nextAllowed() {
		return false
	}
	if _, ok := x.handler.balancer.findEndpoint(now, a.nextRequest()); !ok || !x.retryReserved && !x.handler.balancer.takeRetry(now, x.service, reserve) {
		return false
	}
	x.retryReserved = true
	return true
}

// nextAllowed reports whether the newest configuration allows another attempt after this one.
func (a *attempt) nextAllowed() bool {
	x := a.exchange
	latest := x.handler.snapshot.Load().configuration
	if x.headSent || latest == x.snapshot.configuration {
		return true
	}
	route, _, localErr := x.findRoute(latest)
	return localErr == nil && a.countAttempts() < route.MaxAttempts
}

// countAttempts returns the number of attempts that may have reached an endpoint, this one included.
func (a *attempt) countAttempts() int {
	if a.response == nil {
		return a.exchange.attempts + 1 // it is not counted yet
	}
	return a.exchange.attempts
}

// awaitResponse sends the request, unless it is sent already, and returns its result. It moves a repeatable request to another endpoint
// if this one does not begin to respond in time.
func (a *attempt) awaitResponse() sendResult {
	x := a.exchange
	mayMove := x.route.Repeatable() && x.attempts+1 < x.route.MaxAttempts
	switch {
	case !mayMove && a.sent == nil:
		return a.prepareSend(false)()
	case !mayMove:
		return <-a.sent
	case a.sent == nil:
		a.sendInBackground(false)
	}
	d := max(firstByteFactor*a.choice.TimeToFirstByte+firstByteMargin, time.Duration(firstByteObjectiveShare*float64(x.route.LatencyObjective)))
	s := &stallTimer{attempt: a, timeout: d, retryReserve: stallRetryReserve}
	deadline := a.sentAt.Add(d)
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	for {
		select {
		case r := <-a.sent:
			return r
		case <-t.C:
		}
		if a.hasUnread() {
			return <-a.sent // it came while this process was busy
		}
		now := time.Now()
		d := s.continueWait(now.Sub(deadline))
		if d == 0 {
			return a.giveUpStalled()
		}
		deadline = now.Add(d)
		t.Reset(time.Until(deadline))
	}
}

// giveUpStalled cancels the attempt for the next one, unless a response has come while that was begun. It returns the result.
func (a *attempt) giveUpStalled() sendResult {
	x := a.exchange
	if !a.hasUnread() {
		a.cancel(errStalled)
	}
	r := <-a.sent
	switch {
	case r.err != nil:
	case a.ctx.Err() != nil:
		r.response.Close(false)
		return sendResult{err: &forward.Error{Op: "send", Kind: forward.ErrCancelled, Err: context.Cause(a.ctx)}}
	case !x.isFailure(r.response):
		x.discardBegun()
	}
	return r
}

// hasUnread reports whether bytes of the response, or its end, have arrived that were not read yet.
func (a *attempt) hasUnread() bool {
	if a.response == nil {
		return len(a.sent) > 0
	}
	return a.response.HasUnread()
}

// watchEvents resumes a resumable stream at another endpoint when no event arrives in time. The returned function
// restarts the wait for the next event.
func (a *attempt) watchEvents() func(now time.Time) error {
	x := a.exchange
	if !x.route.Resumable || !x.attemptsLeft() {
		return func(time.Time) error { return nil }
	}
	s := &stallTimer{attempt: a, timeout: max(eventGapFactor*x.route.GapObjective, minStallTimeout), responseStarted: true}
	a.response.SetTimeoutHandler(s.continueWait)
	return func(now time.Time) error {
		s.elapsedWaits = 0
		return a.response.SetReadDeadline(now.Add(s.timeout))
	}
}

// watchBody moves a repeatable request to another endpoint when the body of its response stalls.
func (a *attempt) watchBody() error {
	x := a.exchange
	if !x.route.Repeatable() || !x.attemptsLeft() {
		return nil
	}
	s := &stallTimer{attempt: a, timeout: minStallTimeout, responseStarted: true}
	a.response.SetTimeoutHandler(s.continueWait)
	b := &progressReader{reader: a.response.Body, response: a.response, timeout: s.timeout}
	a.response.Body = b
	return b.extendWait()
}

// progressReader restarts the stall timeout of a body after every minBodyProgress bytes.
type progressReader struct {
	reader    io.Reader
	response  *forward.Response
	timeout   time.Duration
	bytesRead int // since the timeout was restarted
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.reader.Read(b)
	if p.bytesRead += n; p.bytesRead < minBodyProgress {
		return n, err
	}
	if e := p.extendWait(); e != nil {
		return n, errors.Join(err, e)
	}
	return n, err
}

// extendWait restarts the timeout.
func (p *progressReader) extendWait() error {
	p.bytesRead = 0
	return p.response.SetReadDeadline(time.Now().Add(p.timeout))
}
