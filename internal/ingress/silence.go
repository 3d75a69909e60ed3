package ingress

import (
	"errors"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/patience"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
)

// silenceReserve is the part of the retry budget that is kept for requests that have failed.
const silenceReserve = 0.3

// silence is the wait for the next bytes of a send. At its end it gives the send up only if another one is certain.
type silence struct {
	attempt *attempt
	bound   time.Duration
	begun   bool // the answer has begun
	reserve float64

	mu    sync.Mutex // orders the timer and the exchange
	waits int
	due   time.Time
	timer *time.Timer
	ended bool
}

// more returns for how long to go on waiting, or 0 if the request is to go elsewhere.
func (s *silence) more(late time.Duration) time.Duration {
	a := s.attempt
	x := a.exchange
	c := patience.Case{Bound: s.bound, Waits: s.waits + 1, Late: late, Begun: s.begun}
	c.Alive, c.Others, c.Silent = x.handler.pool.Signs(a.choice.Endpoint.Address, s.bound)
	d := x.handler.options.Patience.More(c)
	if d == 0 && !a.elsewhere(s.reserve) {
		d = s.bound
	}
	if d == s.bound {
		s.waits++
	}
	return d
}

// elsewhere reports whether another endpoint can take the request, and takes a further send from the retry budget then.
func (a *attempt) elsewhere(reserve float64) bool {
	x, now := a.exchange, time.Now()
	q := x.placement()
	q.Avoid = maps.Clone(x.avoid)
	q.Avoid[a.choice.Endpoint.ID] = true
	if _, ok := x.handler.balancer.look(now, q); !ok || !x.handler.balancer.allow(now, x.service, reserve) {
		return false
	}
	x.allowed = true
	return true
}

// watch moves a request that may be repeated to another endpoint if this one stays silent; the function that it returns
// ends the watch.
func (a *attempt) watch() func() {
	x := a.exchange
	if !x.route.Repeatable() || x.sends+1 >= x.route.Attempts {
		return func() {}
	}
	d := max(silenceFactor*a.choice.Start+silenceBase, time.Duration(silenceShare*float64(x.route.Objective)))
	s := &silence{attempt: a, bound: d, reserve: silenceReserve, due: a.sent.Add(d)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(time.Until(s.due), s.expire)
	return s.end
}

func (s *silence) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	now := time.Now()
	d := s.more(now.Sub(s.due))
	if d == 0 {
		s.attempt.cancel(errSilent)
		return
	}
	s.due = now.Add(d)
	s.timer.Reset(d)
}

func (s *silence) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.timer.Stop()
}

// guard lets a stream that may be resumed go on elsewhere when no event comes; it returns the function that sets when the
// wait for the next event ends.
func (a *attempt) guard() func(now time.Time) error {
	x := a.exchange
	if !x.route.Resumable || !x.more() {
		return func(time.Time) error { return nil }
	}
	s := &silence{attempt: a, bound: max(gapFactor*x.route.MaxGap, gapLeast), begun: true}
	a.reply.Guard(s.more)
	return func(now time.Time) error {
		s.waits = 0
		return a.reply.Wait(now.Add(s.bound))
	}
}

// guardBody lets a request that may be repeated go elsewhere when its answer's body stalls.
func (a *attempt) guardBody() error {
	x := a.exchange
	if !x.route.Repeatable() || !x.more() {
		return nil
	}
	s := &silence{attempt: a, bound: gapLeast, begun: true}
	a.reply.Guard(s.more)
	b := &progress{reader: a.reply.Body, reply: a.reply, bound: s.bound}
	a.reply.Body = b
	return b.extend()
}

// progress extends the wait for a body with each gapBytes of it.
type progress struct {
	reader io.Reader
	reply  *forward.Reply
	bound  time.Duration
	read   int
}

// Read implements io.Reader.
func (p *progress) Read(b []byte) (int, error) {
	n, err := p.reader.Read(b)
	if p.read += n; p.read < gapBytes {
		return n, err
	}
	if e := p.extend(); e != nil {
		return n, errors.Join(err, e)
	}
	return n, err
}

func (p *progress) extend() error {
	p.read = 0
	return p.reply.Wait(time.Now().Add(p.bound))
}
