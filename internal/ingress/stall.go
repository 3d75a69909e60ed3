package ingress

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/stall"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
)

// stallRetryReserve is the share of the retry budget that is kept for failed requests and not spent on stalled ones.
const stallRetryReserve = 0.3

// stallTimer bounds the wait for the next bytes of a response. When it expires, it abandons the attempt only if another
// attempt is certain to be made.
type stallTimer struct {
	attempt         *attempt
	timeout         time.Duration
	responseStarted bool    // the head of the response has arrived
	retryReserve    float64 // share of the retry budget that this request may not use

	// result tells which came first, the end of the wait or the timeout. It is not protected by mu, so that a response that arrives
	// while the timeout is being handled counts.
	result atomic.Int32

	mu           sync.Mutex // serialises the timer's goroutine and the request's
	elapsedWaits int        // timeouts that have passed in a row
	deadline     time.Time  // when the timer expires
	timer        *time.Timer
}

// Results of a wait for a response.
const (
	waitPending   int32 = iota
	waitEnded           // the response has arrived or the attempt has failed
	waitAbandoned       // the timeout has cancelled the attempt
)

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

// moveOn reports whether another attempt is to be made. A response that has started is kept until that attempt is under way, unless a
// new configuration has to be applied first.
func (s *stallTimer) moveOn() bool {
	x := s.attempt.exchange
	if s.responseStarted && (x.headSent || x.handler.snapshot.Load().configuration == x.snapshot.configuration) {
		return s.attempt.beginNext(s.retryReserve)
	}
	return s.attempt.claimNext(s.retryReserve)
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
	attempts := x.attempts
	if a.response == nil {
		attempts++ // this attempt is not counted yet
	}
	route, _, localErr := x.findRoute(latest)
	return localErr == nil && attempts < route.MaxAttempts
}

// watchFirstByte moves a repeatable request to another endpoint if this one does not begin to respond in time. The
// returned function stops the timer and reports whether the attempt was cancelled before.
func (a *attempt) watchFirstByte() (stop func() (abandoned bool)) {
	x := a.exchange
	if !x.route.Repeatable() || x.attempts+1 >= x.route.MaxAttempts {
		return func() bool { return false }
	}
	d := max(firstByteFactor*a.choice.TimeToFirstByte+firstByteMargin, time.Duration(firstByteObjectiveShare*float64(x.route.LatencyObjective)))
	s := &stallTimer{attempt: a, timeout: d, retryReserve: stallRetryReserve, deadline: a.sentAt.Add(d)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(time.Until(s.deadline), s.onTimer)
	return s.stop
}

// onTimer extends the wait or cancels the attempt.
func (s *stallTimer) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.result.Load() != waitPending {
		return
	}
	now := time.Now()
	d := s.continueWait(now.Sub(s.deadline))
	if d == 0 {
		if s.result.CompareAndSwap(waitPending, waitAbandoned) {
			s.attempt.cancel(errStalled)
		} else {
			s.attempt.exchange.dropClaim() // the response has just arrived
		}
		return
	}
	s.deadline = now.Add(d)
	s.timer.Reset(d)
}

// stop stops the timer and reports whether the attempt was cancelled before.
func (s *stallTimer) stop() bool {
	s.result.CompareAndSwap(waitPending, waitEnded)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
	return s.result.Load() == waitAbandoned
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
