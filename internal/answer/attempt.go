package answer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
)

// attempt runs one step of a plan: it sends the request to endpoints of the step's version, one after the other, until the
// answer is complete.
type attempt struct {
	executor       *Executor
	r              *requestState
	step           cascade.Step
	exclude        [6]endpoint.Handle // endpoints that failed last
	failures       int
	buffer         *heldText // text of a rated step; an unrated step delivers its text at once
	bufferedTokens int
	usage          engine.Usage
	finish         string
}

// endpointFailKinds maps errors of the engine client to the failures that the endpoint table records. Other errors say
// nothing about the endpoint.
var endpointFailKinds = map[engine.ErrorKind]endpoint.FailKind{
	engine.ErrRefused:        endpoint.FailRefused,
	engine.ErrConnectionLost: endpoint.FailConnectionLost,
	engine.ErrTimeout:        endpoint.FailStalled,
	engine.ErrWrongVersion:   endpoint.FailWrongVersion,
	engine.ErrStatus:         endpoint.FailErrorStatus,
	engine.ErrTruncated:      endpoint.FailErrorStatus,
	engine.ErrWrongReply:     endpoint.FailErrorStatus,
	engine.ErrEndless:        endpoint.FailErrorStatus,
}

// runUntilComplete tries endpoints until the answer is complete, the retry budget is exhausted or an error occurs that is
// not the endpoint's.
func (a *attempt) runUntilComplete(ctx context.Context) error {
	for {
		tokensBefore := a.bufferedTokens + a.r.deliveredTokens
		err := a.runOnEndpoint(ctx)
		var e *engine.Error
		if err == nil || !errors.As(err, &e) || e.Kind == engine.ErrCancelled {
			return err
		}
		// Nothing is missing of an answer that has as many tokens as it may have, but its end is unknown.
		if e.Kind == engine.ErrEndless && a.bufferedTokens+a.r.deliveredTokens >= a.r.maxOutputTokens {
			return &Error{Op: "run", Kind: ErrCapacity, Err: err}
		}
		if a.r.dropped {
			return &Error{Op: "continue", Kind: ErrIncomplete, Err: err}
		}
		// An answer of which text has arrived is continued rather than repeated, so it uses nothing of the retry budget.
		if a.bufferedTokens+a.r.deliveredTokens > tokensBefore {
			continue
		}
		if !a.executor.deps.Retries.TakeRetry(time.Now(), &a.r.attempts, a.r.Deadline, 0) {
			return &Error{Op: "retry", Kind: ErrCapacity, Err: err}
		}
	}
}

// versionAvailable reports whether new requests may be sent to the version.
func (a *attempt) versionAvailable() bool {
	return a.executor.deps.Catalog().IsAllowed(a.r.Profile.Name, a.step.Version) && a.executor.deps.Planner.AcceptsVersion(a.step.Version)
}

// runOnEndpoint chooses an endpoint and streams from it, and continues the text that has arrived so far.
func (a *attempt) runOnEndpoint(ctx context.Context) error {
	c, err := a.waitForEndpoint(ctx)
	if err != nil {
		return err
	}
	defer c.EndRequest()
	complete := false
	defer func() { a.executor.deps.Suspects.EndRequest(a.r.content, c.ID, complete) }()
	// Checked immediately before sending, because the version may have been withdrawn or the process paused since the choice.
	if err := a.executor.deps.CheckServing(); err != nil {
		return &Error{Op: "send", Kind: ErrStale, Err: err}
	}
	if !a.versionAvailable() {
		return errReplan
	}
	started := time.Now()
	a.executor.recordEvent(a.sendEvent(), a.r, a.step.Version, c.ID, nil)
	sentBefore := a.r.sentToEngine
	a.r.sentToEngine = true
	firstToken := true
	// What the engine reports is recorded at once: at the end of a long answer it would replace what later replies have reported.
	onReport := func(r engine.Report) {
		if r.Leaving {
			c.BlockEndpoint() // takes effect in all views at once, before the table processes the report
		}
		a.executor.deps.Pool.Record(endpoint.ReportReceived{Endpoint: c.Endpoint, Report: endpointReport(r)})
	}
	res, err := a.executor.deps.Engines.StreamWithReport(ctx, c.Address, a.r.ID, a.engineRequest(), onReport, func(s string) error {
		if firstToken {
			firstToken = false
			a.executor.deps.Suspects.RecordFirstToken(a.r.content, c.ID)
			a.executor.recordEvent("first-token", a.r, a.step.Version, c.ID, nil)
		}
		if a.step.RateBeforeDelivery {
			a.bufferedTokens++
			return a.buffer.add(s)
		}
		a.r.deliveredTokens++
		return a.r.deliver(s, a.step.Version)
	})
	a.usage.Input = max(a.usage.Input, res.Usage.Input)
	if err == nil {
		complete = true
		a.usage.Output += res.Usage.Output
		a.finish = res.Finish
		a.executor.deps.Pool.Record(endpoint.RequestAnswered{Endpoint: c.Endpoint, Started: started})
		return nil
	}
	a.usage.Output += int64(res.Tokens)
	return a.recordFailure(c, started, sentBefore, err)
}

// sendEvent returns the name of the event for sending the request: "continued" if a part of the answer has arrived.
func (a *attempt) sendEvent() string {
	if a.bufferedTokens > 0 || (!a.step.RateBeforeDelivery && a.r.sinkStarted) {
		return "continued"
	}
	return "sent"
}

// recordFailure reports a failed endpoint to the endpoint table and the suspects, and excludes it from the next choices.
func (a *attempt) recordFailure(c endpoint.Choice, started time.Time, sentBefore bool, err error) error {
	var e *engine.Error
	if !errors.As(err, &e) || e.Kind == engine.ErrCancelled {
		return err
	}
	if e.Kind == engine.ErrRefused {
		a.r.sentToEngine = sentBefore
	}
	if e.Kind == engine.ErrConnectionLost {
		a.executor.deps.Suspects.EndpointCrashed(c.ID)
	}
	a.executor.recordEvent("attempt-failed", a.r, a.step.Version, c.ID, err)
	if k, ok := endpointFailKinds[e.Kind]; ok {
		a.executor.deps.Pool.Record(endpoint.RequestFailed{Endpoint: c.Endpoint, Started: started, Kind: k, Version: a.step.Version})
	}
	a.exclude[a.failures%len(a.exclude)] = c.Endpoint
	a.failures++
	return err
}

// waitForEndpoint waits for an endpoint that serves the version and registers the request on it.
func (a *attempt) waitForEndpoint(ctx context.Context) (endpoint.Choice, error) {
	deadline := time.Now().Add(a.executor.s.QueueTimeout)
	for {
		policy := a.executor.deps.Suspects.Policy(a.r.content)
		if policy == RefuseRequest {
			return endpoint.Choice{}, &Error{Op: "choose", Kind: ErrSuspect, Err: errors.New("endpoints died while they ran this request or others with a part of its prompt")}
		}
		now := time.Now()
		q := endpoint.Query{
			Version: a.step.Version, Zone: a.executor.s.AvailabilityZone, Prefix: a.r.prefixHash,
			Excluded: a.exclude, RandomDraws: randomDraws(), Now: now,
		}
		var c endpoint.Choice
		ok := false
		if policy != AwaitDecision {
			c, ok = a.chooseEndpoint(q, policy)
		}
		if ok && a.executor.deps.Suspects.StartRequest(a.r.content, c.ID) {
			c.BeginRequest(now)
			if !c.EndpointBlocked() {
				return c, nil
			}
			a.executor.deps.Suspects.EndRequest(a.r.content, c.ID, false)
			c.EndRequest()
		}
		if now.After(deadline) {
			return endpoint.Choice{}, &Error{Op: "choose", Kind: ErrCapacity, Err: fmt.Errorf("no endpoint serves %s", a.step.Version)}
		}
		if !a.versionAvailable() {
			return endpoint.Choice{}, errReplan
		}
		if !ok && policy != AwaitDecision && a.executor.deps.Pool.View().AllEvacuated(a.step.Version, "") {
			return endpoint.Choice{}, &Error{Op: "choose", Kind: ErrEvacuated, Err: fmt.Errorf("all endpoints of %s are in evacuated availability zones", a.step.Version)}
		}
		if !ok && policy != AwaitDecision && a.failures > 0 && !a.awaitsSuspects(q, policy) {
			a.exclude = [6]endpoint.Handle{} // no other endpoint is available, and one that failed may have recovered
		}
		select {
		case <-ctx.Done():
			return endpoint.Choice{}, &Error{Op: "choose", Kind: ErrCapacity, Err: ctx.Err()}
		case <-time.After(a.executor.s.QueuePollInterval):
		}
	}
}

// chooseEndpoint chooses an endpoint. A request that is run with RunExclusively gets one on which no other suspect runs.
func (a *attempt) chooseEndpoint(q endpoint.Query, policy SuspectPolicy) (endpoint.Choice, bool) {
	if policy == RunExclusively {
		return a.executor.deps.Pool.View().ChooseForSuspect(q, a.executor.deps.Suspects.RunsSuspect)
	}
	return a.executor.deps.Pool.View().Choose(q)
}

// awaitsSuspects reports whether a suspect only has to wait until other suspects leave an endpoint. It must not go back to one that failed
// under it: a second death would refuse it.
func (a *attempt) awaitsSuspects(q endpoint.Query, policy SuspectPolicy) bool {
	if policy != RunExclusively {
		return false
	}
	_, ok := a.executor.deps.Pool.View().Choose(q)
	return ok
}

// engineRequest returns the request for the engine. The text that has arrived so far becomes the beginning of the answer.
func (a *attempt) engineRequest() engine.ChatRequest {
	req := a.r.Chat
	req.Model = a.step.Version
	req.MaxTokens = a.r.maxOutputTokens
	req.Priority = a.r.Profile.Priority
	text, tokens := a.buffer.String(), a.bufferedTokens
	if !a.step.RateBeforeDelivery {
		text, tokens = a.r.delivered.String(), a.r.deliveredTokens
	}
	if text == "" {
		return req
	}
	req.Messages = append(append([]engine.Message(nil), req.Messages...), engine.Message{Role: "assistant", Content: text})
	req.ContinueFinal = true
	req.MaxTokens = max(1, a.r.maxOutputTokens-tokens)
	return req
}

// endpointReport converts the report of an engine to one for the endpoint table.
func endpointReport(r engine.Report) endpoint.Report {
	out := endpoint.Report{Leaving: r.Leaving, Versions: r.Versions}
	if r.Leaving || len(r.Versions) > 0 {
		out.Time = r.ReceivedAt // the table ignores a report without a time
	}
	if r.Slots > 0 {
		out.Time, out.Load, out.Slots, out.HasWait, out.Wait = r.ReceivedAt, r.Outstanding, r.Slots, r.HasWait, r.Wait
	}
	return out
}
