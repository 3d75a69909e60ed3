package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"github.com/cassiaspoke/cassiaspoke/internal/answer"
	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// maxKey bounds the length of an idempotency key.
const maxKey = 128

// sessionNew is the session header's value that starts a session.
const sessionNew = "new"

func (g *Gateway) chat(w http.ResponseWriter, r *http.Request, t *task, _ *echo.Context) error {
	q, err := g.request(w, r, t)
	if err != nil {
		return err
	}
	in, _ := g.p.Maker.TokenLimits(q)
	plan, err := g.p.Maker.Plan(q, g.p.Digest(q), cascade.Class(q.Profile.Name, in))
	if err != nil {
		return err
	}
	end, err := g.admit(plan, t, q)
	if err != nil {
		return err
	}
	defer end()
	cost, tokens := plan.WorstCase()
	if cost > q.Profile.MaxCost {
		return refuse("plan", client.CodeVersionNotAllowed, "the worst case costs %d, the profile allows %d", cost, q.Profile.MaxCost)
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.Deadline)
	defer cancel()
	hold, err := g.p.Wallet.Reserve(ctx, t.org, Amounts{Cost: cost, Tokens: tokens, Requests: 1})
	if err != nil {
		return err
	}
	used := Amounts{}
	defer func() { hold.Settle(used) }()
	if q.Chat.Stream {
		return g.streamed(ctx, w, q, plan, t, cost, &used)
	}
	return g.collected(ctx, w, q, plan, t, cost, &used)
}

// admit asks for admission to the plan's first version. An overloaded one is skipped: the next step meets the quality
// as well, and the last one meets it unrated.
func (g *Gateway) admit(p *answer.Plan, t *task, q *answer.Request) (func(), error) {
	for {
		end, err := g.p.Admission.Admit(Arrival{p.FirstVersion(), t.org, q.Profile.Priority, q.Deadline})
		if err == nil {
			return end, nil
		}
		if !p.SkipStep() {
			return nil, refuse("admit", client.CodeOverloaded, "%w", err)
		}
	}
}

// request reads and checks a chat request.
func (g *Gateway) request(w http.ResponseWriter, r *http.Request, t *task) (*answer.Request, error) {
	q := &answer.Request{Organisation: t.org, ID: r.Header.Get(client.HeaderIdempotencyKey)}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.s.BodyBytes))
	if err != nil {
		return nil, refuse("read", client.CodeBadRequest, "%w", err)
	}
	if err := json.Unmarshal(b, &q.Chat); err != nil {
		return nil, refuse("read", client.CodeBadRequest, "%w", err)
	}
	if len(q.Chat.Messages) == 0 || q.Chat.MaxTokens < 0 || q.Chat.ContinueFinal {
		return nil, refuse("read", client.CodeBadRequest, "messages is empty, or max_tokens or continue_final_message can't be served")
	}
	p, ok := g.p.Catalog().Profiles[q.Chat.Model]
	if !ok || !slices.Contains(t.org.Profiles, p.Name) {
		return nil, refuse("read", client.CodeUnknownProfile, "the organisation has no profile %q", q.Chat.Model)
	}
	q.Profile = p
	if q.ID == "" {
		q.ID = uuid.Must(uuid.NewV7()).String()
	}
	if len(q.ID) > maxKey {
		return nil, refuse("read", client.CodeBadRequest, "the idempotency key is longer than %d characters", maxKey)
	}
	t.id = q.ID
	q.Deadline = t.start.Add(min(time.Duration(p.Deadline), g.s.RequestTimeout))
	err = g.session(r, q, t)
	g.event("received", t, map[string]string{"profile": p.Name})
	return q, err
}

func (g *Gateway) session(r *http.Request, q *answer.Request, t *task) error {
	s := r.Header.Get(client.HeaderSession)
	switch s {
	case "":
		return nil
	case sessionNew:
		q.NewSession = true
		return nil
	}
	k, err := g.p.Sessions.Verify(s, t.org.Name, t.start)
	if err != nil {
		return refuse("session", client.CodeBadRequest, "%w", err)
	}
	q.Token, q.Session = &k, timeline.SessionID(s)
	t.session = q.Session
	return nil
}

func (g *Gateway) collected(ctx context.Context, w http.ResponseWriter, q *answer.Request, plan *answer.Plan, t *task, worst record.Micros, used *Amounts) error {
	s := &whole{limit: g.s.StreamBytes}
	res, err := plan.Run(ctx, s)
	if err != nil {
		return err
	}
	if err := g.bill(ctx, q, res, worst, used); err != nil {
		return err
	}
	headers(w, g.p.Sessions, q.ID, s.start)
	g.p.Clock.Outgoing(w.Header())
	w.Header().Set("Content-Type", "application/json")
	c := engine.Completion{
		ID: q.ID, Object: "chat.completion", Created: t.start.Unix(), Model: res.Version, Usage: total(res.Usage),
		Choices: []engine.Choice{{Message: &engine.Message{Role: "assistant", Content: s.text.String()}, Finish: &res.Finish}},
	}
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return fmt.Errorf("%w: %w", errStarted, err)
	}
	return nil
}

func (g *Gateway) streamed(ctx context.Context, w http.ResponseWriter, q *answer.Request, plan *answer.Plan, _ *task, worst record.Micros, used *Amounts) error {
	s := newEvents(w, g.p.Sessions, q.ID, g.s.StreamBytes)
	s.clock = g.p.Clock
	res, err := plan.Run(ctx, s)
	if err == nil {
		err = g.bill(ctx, q, res, worst, used)
	}
	if err != nil {
		if !s.started {
			return err
		}
		s.fail(seen(err))
		return fmt.Errorf("%w: %w", errStarted, err)
	}
	res.Usage = *total(res.Usage)
	if err := s.finish(res); err != nil {
		return fmt.Errorf("%w: %w", errStarted, err)
	}
	return nil
}

// bill hands over the bill of a whole answer. It must not depend on the caller, who may leave before the last byte.
func (g *Gateway) bill(ctx context.Context, q *answer.Request, res answer.Result, worst record.Micros, used *Amounts) error {
	b := record.Bill{
		Organisation: q.Organisation.Name, Key: q.ID, Profile: q.Profile.Name, Version: res.Version,
		Input: res.Usage.Input, Output: res.Usage.Output,
		Cost:   min(res.Cost, worst), // never above what was reserved
		Issued: time.Now(), Instance: g.s.Instance,
	}
	*used = Amounts{Cost: b.Cost, Tokens: b.Input + b.Output, Requests: 1}
	if err := g.p.Biller.Bill(context.WithoutCancel(ctx), b); err != nil {
		return &Error{Op: "bill", Kind: client.CodeLogUnavailable, Err: err}
	}
	g.p.Events.Write(timeline.Event{
		Part: "gateway", Name: "billed", Request: q.ID, Organisation: b.Organisation, Version: b.Version, Session: q.Session,
		Fields: map[string]string{"cost": fmt.Sprint(b.Cost), "steps": fmt.Sprint(res.Steps)},
	})
	return nil
}

func total(u engine.Usage) *engine.Usage {
	u.Total = u.Input + u.Output
	return &u
}
