package ingress

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
	"github.com/cassiaspoke/cassiaspoke/internal/core/escalation"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
)

func (a *attempt) isStream() bool {
	return a.exchange.route.Kind == directory.Stream && a.reply.Status < http.StatusMultipleChoices &&
		strings.HasPrefix(a.reply.Header.Get("Content-Type"), "text/event-stream")
}

// stream hands whole events on as they come, and asks a larger model first if this one is not sure of its answer.
func (a *attempt) stream() (step, string) {
	x := a.exchange
	if m := a.larger(); m != "" {
		a.finish(false, false)
		a.judge(true)
		x.model, x.allowed = m, true
		return again, "confidence " + strconv.Itoa(a.answer.Confidence)
	}
	e := forward.NewEvents(a.reply.Body, x.answers.Grow)
	next := a.guard()
	if err := next(time.Now()); err != nil {
		return a.interrupted(err)
	}
	for n, idle := 0, 0; ; {
		v, err := e.Next()
		switch {
		case errors.Is(err, io.EOF):
			if n < paceEvents {
				a.paced(n)
			}
			return a.complete()
		case err != nil:
			return a.interrupted(a.reply.Failure("read event", err))
		}
		if idle += len(v.Bytes); v.Data {
			n, idle, a.last = n+1, 0, time.Now()
			if n == 1 {
				a.first = a.last
			}
			if n == paceEvents {
				a.paced(n) // a slow stream's end comes too late to tell
			}
			if err := next(a.last); err != nil {
				return a.interrupted(err)
			}
		}
		switch {
		case x.excess():
			_, what := a.spoilt(errEndless)
			return x.settle("endless answer"), what // what the client has is more than the answer can be
		case idle > maxIdleBytes:
			return a.spoilt(errEndless)
		case !x.follows(v.ID):
			return a.spoilt(errOrder)
		}
		if err := x.write(a, v, e.Buffered()); err != nil {
			x.note(err)
			x.gone = true
			a.finish(false, false)
			return done, "client left"
		}
	}
}

const (
	paceEvents   = 5        // by which the pace of a stream is known
	maxIdleBytes = 64 << 10 // bytes of comments between two events
	spareEvents  = 2        // beyond one for each token: the begin and the end of an answer may have events of their own
)

var (
	errEndless = errors.New("a stream that does not end")
	errOrder   = errors.New("an event that the client has already")
)

// follows reports whether an event comes after the last one delivered; identifiers that are no numbers are not compared.
func (x *exchange) follows(id string) bool {
	last, err := strconv.ParseInt(x.request.LastEvent, 10, 64)
	if err != nil {
		return true
	}
	n, err := strconv.ParseInt(id, 10, 64)
	return err != nil || n > last
}

// excess reports whether the answer has more events than the client allows tokens.
func (x *exchange) excess() bool {
	return x.request.OutputTokens > 0 && x.events > x.request.OutputTokens+spareEvents
}

// paced records the mean time between the first events of the answer.
func (a *attempt) paced(events int) {
	if events > 1 {
		x := a.exchange
		gap := a.last.Sub(a.first) / time.Duration(events-1)
		a.stopped(x.handler.balancer.streamed(a.choice.Endpoint, x.route.Name+" "+x.chosen(), gap))
	}
}

// larger returns the model to ask instead, or "".
func (a *attempt) larger() string {
	x := a.exchange
	if x.delivered || x.model == "" || !x.more() {
		return ""
	}
	now := time.Now()
	c := escalation.Case{
		Confidence: a.answer.Confidence, Models: x.route.Models, Model: x.model,
		Attempts: x.route.Attempts - x.sends, Objective: x.route.Objective, Remaining: x.start.Add(x.route.Objective).Sub(now),
	}
	q := x.placement()
	q.Model = x.route.Models[len(x.route.Models)-1]
	if p, ok := x.handler.balancer.look(now, q); ok {
		c.Start, c.Queue, c.Busy = p.Start, p.Queue, p.Busy
	} else {
		return ""
	}
	m := x.handler.options.Escalation.Next(c)
	if m == "" || !x.handler.balancer.allow(now, x.service, 0) {
		return ""
	}
	return m
}

// write hands an event to the client.
func (x *exchange) write(a *attempt, v forward.Event, more bool) error {
	if !x.delivered {
		x.head(a)
	}
	if _, err := x.w.Write(v.Bytes); err != nil {
		return err
	}
	if v.Data {
		x.events++
	}
	if v.ID != "" {
		x.request.LastEvent = v.ID
	}
	if more {
		return nil
	}
	return x.control.Flush()
}

func (x *exchange) head(a *attempt) {
	h := x.w.Header()
	for k, v := range x.handler.options.Protocol.Inbound(a.reply.Header) {
		h[k] = v
	}
	x.status, x.delivered = a.reply.Status, true
	x.firstByte = time.Since(x.start)
	x.w.WriteHeader(a.reply.Status)
}

func (a *attempt) complete() (step, string) {
	x := a.exchange
	if !x.delivered {
		x.head(a)
	}
	if err := x.control.Flush(); err != nil {
		x.note(err)
		x.gone = true
	}
	a.finish(true, true)
	a.judge(true)
	return done, "complete"
}

// interrupted handles a stream that broke off or went silent.
func (a *attempt) interrupted(err error) (step, string) {
	x := a.exchange
	x.note(err)
	a.finish(false, false)
	switch {
	case x.left():
		return done, "client left"
	case forward.KindOf(err) == forward.ErrStopped:
		return x.settle("deadline"), "deadline"
	}
	x.avoid[a.choice.Endpoint.ID] = true
	x.handler.balancer.outcome(time.Now(), a.choice.Endpoint, x.route.Name, false, false)
	if !x.route.Resumable {
		return settled, "broken"
	}
	return again, "broken"
}
