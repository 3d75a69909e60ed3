package answer

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
)

// attempt asks one version, on as many endpoints as it takes until the answer is whole.
type attempt struct {
	m       *Maker
	r       *run
	step    cascade.Step
	exclude [6]endpoint.Handle
	failed  int
	buffer  strings.Builder // text of a rated step
	tokens  int             // of the buffered text
	usage   engine.Usage
	finish  string
}

// failKinds maps what the client saw to what the endpoint table learns; other kinds say nothing about the endpoint.
var failKinds = map[engine.ErrorKind]endpoint.FailKind{
	engine.ErrRefused:   endpoint.FailRefused,
	engine.ErrDied:      endpoint.FailDied,
	engine.ErrSilent:    endpoint.FailSilent,
	engine.ErrVersion:   endpoint.FailVersion,
	engine.ErrStatus:    endpoint.FailStatus,
	engine.ErrTruncated: endpoint.FailStatus,
}

func (a *attempt) untilWhole(ctx context.Context) error {
	for {
		before := a.tokens + a.r.tokens
		err := a.once(ctx)
		var e *engine.Error
		if err == nil || !errors.As(err, &e) || e.Kind == engine.ErrCancelled {
			return err
		}
		// An attempt that got text is continued, not repeated, so it takes nothing from the retry budget.
		if a.tokens+a.r.tokens > before {
			continue
		}
		if !a.m.p.Retries.Take(time.Now(), &a.r.attempts, a.r.Deadline, 0) {
			return &Error{Op: "retry", Kind: ErrCapacity, Err: err}
		}
	}
}

// runs reports whether new work may be sent to the version now.
func (a *attempt) runs() bool {
	return a.m.p.Catalog().Allows(a.r.Profile.Name, a.step.Version) && a.m.p.Planner.Runs(a.step.Version)
}

// once chooses an endpoint and streams from it, continuing from the text at hand.
func (a *attempt) once(ctx context.Context) error {
	c, err := a.choose(ctx)
	if err != nil {
		return err
	}
	defer c.End()
	whole := false
	defer func() { a.m.p.Suspects.End(a.r.digest, c.ID, whole) }()
	// Checked last before sending: the version may have been withdrawn, or the process paused, meanwhile.
	if err := a.m.p.Serving(); err != nil {
		return &Error{Op: "send", Kind: ErrStale, Err: err}
	}
	if !a.runs() {
		return errReplan
	}
	started := time.Now()
	a.m.event(a.sending(), a.r, a.step.Version, c.ID, nil)
	sent := a.r.sent
	a.r.sent = true
	first := true
	res, err := a.m.p.Engines.Stream(ctx, c.Address, a.r.ID, a.chat(), func(s string) error {
		if first {
			first = false
			a.m.event("first-token", a.r, a.step.Version, c.ID, nil)
		}
		if a.step.Rate {
			a.tokens++
			a.buffer.WriteString(s)
			return nil
		}
		a.r.tokens++
		return a.r.deliver(s, a.step.Version)
	})
	if res.Report.Leaving {
		c.Bar() // in all views at once, before the table hears of it
	}
	a.usage.Input = max(a.usage.Input, res.Usage.Input)
	if err == nil {
		whole = true
		a.usage.Output += res.Usage.Output
		a.finish = res.Finish
		a.m.p.Pool.Event(endpoint.Answered{Endpoint: c.Endpoint, Started: started, Report: tableReport(res.Report, time.Now())})
		return nil
	}
	a.usage.Output += int64(res.Tokens)
	return a.fail(c, started, sent, err)
}

// sending names the event of an attempt: one that has text at hand is continued.
func (a *attempt) sending() string {
	if a.buffer.Len() > 0 || (!a.step.Rate && a.r.delivered.Len() > 0) {
		return "continued"
	}
	return "sent"
}

func (a *attempt) fail(c endpoint.Choice, started time.Time, sent bool, err error) error {
	var e *engine.Error
	if !errors.As(err, &e) || e.Kind == engine.ErrCancelled {
		return err
	}
	if e.Kind == engine.ErrRefused {
		a.r.sent = sent
	}
	if e.Kind == engine.ErrDied {
		a.m.p.Suspects.Died(c.ID)
	}
	a.m.event("attempt-failed", a.r, a.step.Version, c.ID, err)
	a.m.p.Pool.Event(endpoint.Failed{Endpoint: c.Endpoint, Started: started, Kind: failKinds[e.Kind], Version: a.step.Version})
	a.exclude[a.failed%len(a.exclude)] = c.Endpoint
	a.failed++
	return err
}

// choose waits for an endpoint that serves the version.
func (a *attempt) choose(ctx context.Context) (endpoint.Choice, error) {
	limit := time.Now().Add(a.m.s.QueueWait)
	for {
		t := a.m.p.Suspects.Judge(a.r.digest)
		if t == Refuse {
			return endpoint.Choice{}, &Error{Op: "choose", Kind: ErrSuspect, Err: errors.New("endpoints died twice while they ran this request")}
		}
		now := time.Now()
		q := endpoint.Query{
			Version: a.step.Version, Zone: a.m.s.Zone, Prefix: a.r.prefix,
			Exclude: a.exclude, Draws: draws(), Now: now,
		}
		c, ok := a.pick(q, t)
		if ok && a.m.p.Suspects.Start(a.r.digest, c.ID) {
			c.Begin(now)
			if !c.Barred() {
				return c, nil
			}
			a.m.p.Suspects.End(a.r.digest, c.ID, false)
			c.End()
		}
		if now.After(limit) {
			return endpoint.Choice{}, &Error{Op: "choose", Kind: ErrCapacity, Err: fmt.Errorf("no endpoint serves %s", a.step.Version)}
		}
		if !a.runs() {
			return endpoint.Choice{}, errReplan
		}
		if !ok && a.failed > 0 {
			a.exclude = [6]endpoint.Handle{} // the rest of the pool is gone: an endpoint that failed may have returned
		}
		select {
		case <-ctx.Done():
			return endpoint.Choice{}, &Error{Op: "choose", Kind: ErrCapacity, Err: ctx.Err()}
		case <-time.After(a.m.s.QueueStep):
		}
	}
}

// pick chooses an endpoint; a suspect gets one on which no other suspect runs.
func (a *attempt) pick(q endpoint.Query, t Treatment) (endpoint.Choice, bool) {
	if t == Alone {
		return a.m.p.Pool.View().ChooseAlone(q, a.m.p.Suspects.Occupied)
	}
	return a.m.p.Pool.View().Choose(q)
}

// chat returns the request to the engine; text that is at hand already is the beginning of the answer.
func (a *attempt) chat() engine.ChatRequest {
	q := a.r.Chat
	q.Model = a.step.Version
	q.MaxTokens = a.r.maxOutput
	q.Priority = a.r.Profile.Priority
	have, tokens := a.buffer.String(), a.tokens
	if !a.step.Rate {
		have, tokens = a.r.delivered.String(), a.r.tokens
	}
	if have == "" {
		return q
	}
	q.Messages = append(append([]engine.Message(nil), q.Messages...), engine.Message{Role: "assistant", Content: have})
	q.ContinueFinal = true
	q.MaxTokens = max(1, a.r.maxOutput-tokens)
	return q
}

func tableReport(r engine.Report, now time.Time) endpoint.Report {
	out := endpoint.Report{Leaving: r.Leaving, Versions: r.Versions}
	if r.Leaving || len(r.Versions) > 0 {
		out.Time = now // the table ignores a report without a time
	}
	if r.Slots > 0 {
		out.Time, out.Load, out.Slots, out.Waits, out.Wait = now, r.Outstanding, r.Slots, r.Waits, r.Wait
	}
	return out
}
