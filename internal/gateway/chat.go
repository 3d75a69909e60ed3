package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"github.com/cassiaspoke/cassiaspoke/internal/answer"
	"github.com/cassiaspoke/cassiaspoke/internal/connlimit"
	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// maxKeyLength is the maximum length of an idempotency key, in bytes.
const maxKeyLength = 128

// sessionNew is the value of the session header that starts a new session.
const sessionNew = "new"

// handleChat answers a chat completion request.
func (g *Gateway) handleChat(w http.ResponseWriter, r *http.Request, meta *requestMeta, _ *echo.Context) error {
	body, err := g.readBody(w, r, "read")
	defer body.Release()
	if err != nil {
		return err
	}
	req, err := g.readChatRequest(r, body, meta)
	if err != nil {
		return err
	}
	inputTokens, _ := g.deps.Executor.TokenLimits(req)
	plan, err := g.deps.Executor.Plan(req, g.deps.Content(req), cascade.RequestClass(req.Profile.Name, inputTokens))
	if err != nil {
		return err
	}
	release, err := g.admitPlan(plan, meta, req)
	if err != nil {
		return err
	}
	defer release()
	cost, tokens := plan.WorstCase()
	if cost > req.Profile.MaxCost {
		return newRefusal("plan", client.CodeVersionNotAllowed, "the worst case costs %d, the profile allows %d", cost, req.Profile.MaxCost)
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	reservation, err := g.deps.Entitlements.Reserve(ctx, meta.org, Amounts{Cost: cost, Tokens: tokens, Requests: 1})
	if err != nil {
		return err
	}
	used := Amounts{}
	defer func() { reservation.Settle(used) }()
	if req.Chat.Stream {
		return g.streamAnswer(ctx, w, req, plan, meta, cost, &used)
	}
	return g.sendAnswer(ctx, w, req, plan, meta, cost, &used)
}

// admitPlan requests admission to the version of the plan's first step, and skips steps whose version is overloaded. Later
// steps also meet the quality of the profile, and the last one meets it without a rating.
func (g *Gateway) admitPlan(p *answer.Plan, meta *requestMeta, req *answer.Request) (func(), error) {
	for {
		release, err := g.deps.Admission.Admit(AdmissionRequest{p.FirstVersion(), meta.org, req.Profile.Priority, req.Deadline})
		if err == nil {
			return release, nil
		}
		if !p.SkipStep() {
			return nil, admissionError(err)
		}
	}
}

// readChatRequest decodes and validates a chat request.
func (g *Gateway) readChatRequest(r *http.Request, body *connlimit.Body, meta *requestMeta) (*answer.Request, error) {
	req := &answer.Request{Organisation: meta.org, ID: r.Header.Get(client.HeaderIdempotencyKey)}
	if err := reserveDecoded(r.Context(), body, "read"); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(body.Bytes, &req.Chat); err != nil {
		return nil, newRefusal("read", client.CodeBadRequest, "%w", err)
	}
	if len(req.Chat.Messages) == 0 || req.Chat.MaxTokens < 0 || req.Chat.ContinueFinal {
		return nil, newRefusal("read", client.CodeBadRequest, "messages is empty, or max_tokens or continue_final_message can't be served")
	}
	p, ok := g.deps.Catalog().Profiles[req.Chat.Model]
	if !ok || !slices.Contains(meta.org.Profiles, p.Name) {
		return nil, newRefusal("read", client.CodeUnknownProfile, "the organisation has no profile %q", req.Chat.Model)
	}
	req.Profile = p
	if req.ID == "" {
		req.ID = uuid.Must(uuid.NewV7()).String()
	}
	if len(req.ID) > maxKeyLength {
		return nil, newRefusal("read", client.CodeBadRequest, "the idempotency key is longer than %d characters", maxKeyLength)
	}
	meta.id = req.ID
	req.Deadline = meta.start.Add(min(time.Duration(p.Deadline), g.s.RequestTimeout))
	err := g.readSession(r, req, meta)
	g.recordEvent("received", meta, map[string]string{"profile": p.Name})
	return req, err
}

// readSession reads the session header of a request and verifies its token.
func (g *Gateway) readSession(r *http.Request, req *answer.Request, meta *requestMeta) error {
	value := r.Header.Get(client.HeaderSession)
	switch value {
	case "":
		return nil
	case sessionNew:
		req.NewSession = true
		return nil
	}
	token, err := g.deps.Sessions.Verify(value, meta.org.Name, meta.start)
	if err != nil {
		return newRefusal("session", client.CodeBadRequest, "%w", err)
	}
	req.Token, req.Session = &token, timeline.SessionID(value)
	meta.session = req.Session
	return nil
}

// sendAnswer runs the plan and sends the complete answer as a single JSON object, once its bill is handed over.
func (g *Gateway) sendAnswer(ctx context.Context, w http.ResponseWriter, req *answer.Request, plan *answer.Plan, meta *requestMeta, worst record.Micros, used *Amounts) error {
	sink := &collectSink{limit: g.s.MaxAnswerBytes}
	if g.deps.AnswerMemory != nil {
		sink.reservation = g.deps.AnswerMemory.NewReservation()
		defer sink.reservation.Release()
	}
	result, err := plan.Run(ctx, sink)
	if err != nil {
		return err
	}
	if err := g.billAnswer(ctx, req, result, worst, used); err != nil {
		return err
	}
	setAnswerHeaders(w, g.deps.Sessions, req.ID, sink.info)
	g.deps.Clock.InjectHeader(w.Header())
	w.Header().Set("Content-Type", "application/json")
	c := engine.Completion{
		ID: req.ID, Object: "chat.completion", Created: meta.start.Unix(), Model: result.Version, Usage: withTotal(result.Usage),
		Choices: []engine.Choice{{Message: &engine.Message{Role: "assistant", Content: sink.text.String()}, Finish: &result.Finish}},
	}
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return fmt.Errorf("%w: %w", errReplyStarted, err)
	}
	return nil
}

// streamAnswer runs the plan and streams the answer as it arrives. The last event is sent once its bill is handed over.
func (g *Gateway) streamAnswer(ctx context.Context, w http.ResponseWriter, req *answer.Request, plan *answer.Plan, _ *requestMeta, worst record.Micros, used *Amounts) error {
	sink := newEventSink(w, g.deps.Sessions, req.ID, g.s.MaxAnswerBytes)
	sink.clock = g.deps.Clock
	result, err := plan.Run(ctx, sink)
	if err == nil {
		err = g.billAnswer(ctx, req, result, worst, used)
	}
	if err != nil {
		if !sink.started {
			return err
		}
		sink.sendError(toError(err))
		return fmt.Errorf("%w: %w", errReplyStarted, err)
	}
	result.Usage = *withTotal(result.Usage)
	if err := sink.finish(result); err != nil {
		return fmt.Errorf("%w: %w", errReplyStarted, err)
	}
	return nil
}

// billAnswer hands over the bill of a complete answer. It ignores the cancellation of ctx, because the caller may disconnect
// before the last byte.
func (g *Gateway) billAnswer(ctx context.Context, req *answer.Request, result answer.Result, worst record.Micros, used *Amounts) error {
	b := record.Bill{
		Organisation: req.Organisation.Name, Key: req.ID, Profile: req.Profile.Name, Version: result.Version,
		Input: result.Usage.Input, Output: result.Usage.Output,
		Cost:   min(result.Cost, worst), // never more than was reserved
		Issued: time.Now(), Instance: g.s.Instance,
	}
	*used = Amounts{Cost: b.Cost, Tokens: b.Input + b.Output, Requests: 1}
	if err := g.deps.Biller.Bill(context.WithoutCancel(ctx), b); err != nil {
		return &Error{Op: "bill", Kind: client.CodeLogUnavailable, Err: err}
	}
	g.deps.Events.Write(timeline.Event{
		Component: "gateway", Name: "billed", Request: req.ID, Organisation: b.Organisation, Version: b.Version, Session: req.Session,
		Fields: map[string]string{"cost": fmt.Sprint(b.Cost), "steps": fmt.Sprint(result.Steps)},
	})
	return nil
}

// withTotal returns the usage with its total set.
func withTotal(u engine.Usage) *engine.Usage {
	u.Total = u.Input + u.Output
	return &u
}
