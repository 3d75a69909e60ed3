package answer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// maxPlanRuns bounds how many plans of a request are run; a new one is made if a version goes out of service.
const maxPlanRuns = 4

// Recorder writes events of the event timeline.
type Recorder interface {
	Write(e timeline.Event)
}

// Pool holds the endpoints. Event reports the outcome of requests to them.
type Pool interface {
	View() *endpoint.View
	Record(ev endpoint.Event)
}

// Settings holds the timeouts and limits for running requests.
type Settings struct {
	AvailabilityZone       string        // availability zone of this instance
	QueueTimeout           time.Duration // maximum time to wait for an endpoint
	QueuePollInterval      time.Duration // interval between two attempts to get an endpoint
	RatingTimeout          time.Duration // timeout of a rating; the answer then counts as unrated
	DefaultMaxOutputTokens int           // limit of output tokens if neither the request nor the profile has one
}

// DefaultSettings returns the default settings for an instance in an availability zone.
func DefaultSettings(zone string) Settings {
	return Settings{
		AvailabilityZone: zone, QueueTimeout: 5 * time.Second, QueuePollInterval: 10 * time.Millisecond,
		RatingTimeout: 2 * time.Second, DefaultMaxOutputTokens: 4096,
	}
}

// Dependencies holds the dependencies of an Executor.
type Dependencies struct {
	Catalog      func() *config.Catalog
	CheckServing func() error // returns nil while the catalog is confirmed to be in force
	Pool         Pool
	Planner      Planner
	Suspects     Suspects
	Retries      *endpoint.RetryBudget
	Rater        Rater
	Engines      *engine.Client
	Events       Recorder
	TextMemory   *memory.Budget // for the text of answers that is kept; nil for no limit
}

// Executor plans chat requests and runs them until their answers are complete.
type Executor struct {
	s       Settings
	deps    Dependencies
	ratings sync.WaitGroup // after delivery
}

// NewExecutor returns an Executor.
func NewExecutor(s Settings, deps Dependencies) *Executor { return &Executor{s: s, deps: deps} }

var (
	errBelowQuality = errors.New("the rating falls short of the profile's quality")
	errReplan       = errors.New("the version is out of service")
)

// requestState is the state of one request.
type requestState struct {
	*Request
	sink            Sink
	prompt          string
	prefixHash      uint64
	class           string // request class of the cascade
	content         Content
	inputTokens     int
	maxOutputTokens int
	steps           []cascade.Step
	pinned          bool   // the session keeps its version
	moveReason      string // why the session changed its version; empty if it did not
	sentToEngine    bool   // an engine may have received the request
	sinkStarted     bool
	attempts        endpoint.AttemptCount
	delivered       *heldText // text that the sink has received, to continue or rate the answer
	dropped         bool      // there was no memory for it, so the answer can be neither continued nor rated
	deliveredTokens int
	result          Result
}

// TokenLimits returns the maximum number of tokens that each step of a request may use.
func (x *Executor) TokenLimits(r *Request) (input, output int) {
	output = r.Chat.MaxTokens
	if l := r.Profile.MaxTokens; l > 0 && (output <= 0 || output > l) {
		output = l
	}
	if output <= 0 {
		output = x.s.DefaultMaxOutputTokens
	}
	// A token has at least one byte, so the number of bytes bounds the number of tokens.
	for _, msg := range r.Chat.Messages {
		input += len(msg.Content) + len(msg.Role)
	}
	return input, output
}

// Plan plans the steps of a request.
func (x *Executor) Plan(r *Request, c Content, class string) (*Plan, error) {
	in, out := x.TokenLimits(r)
	state := &requestState{Request: r, class: class, content: c, inputTokens: in, maxOutputTokens: out, prompt: r.Prompt()}
	state.prefixHash = hashPrefix(state.prompt)
	if err := x.planSteps(state); err != nil {
		return nil, err
	}
	x.recordPlan(state)
	return &Plan{executor: x, r: state}, nil
}

// Plan is a planned request that is ready to run.
type Plan struct {
	executor *Executor
	r        *requestState
}

// FirstVersion returns the version of the first step.
func (p *Plan) FirstVersion() string { return p.r.steps[0].Version }

// SkipStep drops the first step, for example because its version is overloaded. It returns false and keeps the step if
// it is the only one.
func (p *Plan) SkipStep() bool {
	if len(p.r.steps) < 2 {
		return false
	}
	p.r.steps = p.r.steps[1:]
	return true
}

// WorstCase returns the maximum cost of the plan and the maximum number of tokens that it can use.
func (p *Plan) WorstCase() (record.Micros, int64) {
	c := p.executor.deps.Catalog()
	var cost record.Micros
	for _, s := range p.r.steps {
		cost += c.Versions[s.Version].Price.Cost(int64(p.r.inputTokens), int64(p.r.maxOutputTokens))
	}
	return cost, int64(len(p.r.steps)) * int64(p.r.inputTokens+p.r.maxOutputTokens)
}

// Run runs the plan and writes the text to the sink. The answer is complete if the error is nil.
func (p *Plan) Run(ctx context.Context, sink Sink) (Result, error) {
	p.r.sink = sink
	p.r.delivered = newHeldText(p.executor.deps.TextMemory)
	defer func() { p.r.delivered.release() }() // not the text that is being rated
	runCtx, cancel := context.WithDeadline(ctx, p.r.Deadline)
	defer cancel()
	err := p.executor.runAndReplan(runCtx, p.r)
	if err == nil {
		return p.r.result, nil
	}
	return p.r.result, p.r.finalError(ctx, runCtx, err)
}

// finalError returns the error of the request. It reports whether an engine was sent the request, and whether a part of the
// answer was delivered.
func (r *requestState) finalError(callerCtx, runCtx context.Context, err error) error {
	out := &Error{Op: "run", Kind: ErrCapacity, NotRun: !r.sentToEngine, Err: err}
	var e *Error
	if errors.As(err, &e) {
		out.Kind = e.Kind
	}
	switch {
	case callerCtx.Err() != nil:
		out.Kind = ErrCancelled
	case runCtx.Err() != nil:
		out.Kind = ErrDeadline
	}
	if r.sinkStarted && out.Kind != ErrCancelled {
		out.Kind = ErrIncomplete
	}
	return out
}

// planSteps resolves the request's session and sets the steps. A session keeps its version while that accepts requests.
func (x *Executor) planSteps(r *requestState) error {
	c := x.deps.Catalog()
	pin := session.ResolvePin(c, r.Organisation.Name, r.Profile.Name, r.Token)
	r.pinned = false
	switch pin.Outcome {
	case session.OutcomeRefused:
		return &Error{Op: "plan", Kind: ErrNotAllowed, NotRun: !r.sentToEngine, Err: errors.New("the organisation may not use the profile")}
	case session.OutcomeKept:
		if x.deps.Planner.AcceptsVersion(pin.Version) {
			r.pinned = true
			return x.chooseSteps(c, r, pin.Version)
		}
		r.moveReason = string(session.ReasonHalted)
	case session.OutcomeMoved:
		r.moveReason = string(pin.Reason)
	}
	return x.chooseSteps(c, r, "")
}

// chooseSteps sets the steps to those of the cheapest plan. A session, or an answer that was delivered in part, gets a
// single unrated step.
func (x *Executor) chooseSteps(c *config.Catalog, r *requestState, pinned string) error {
	req := &cascade.Request{
		Class: r.class, Candidates: x.deps.Planner.Candidates(r.Profile.Name), Quality: r.Profile.Quality, Weights: r.Profile.Weights,
		RaterAvailable: x.deps.Planner.RaterAvailable(), MaxCost: r.Profile.MaxCost, Deadline: time.Until(r.Deadline),
		InputTokens: r.inputTokens, MaxOutputTokens: r.maxOutputTokens, PinnedVersion: pinned,
		InSession: r.NewSession || r.Token != nil || r.sinkStarted,
	}
	if pinned != "" {
		req.Candidates = cascade.PinnedCandidates(c, r.Profile.Name, pinned)
	}
	p := x.deps.Planner.Estimates().Plan(req, rand.Float64())
	if p.Problem != "" {
		kind := ErrNotAllowed
		if p.Problem == cascade.ProblemMaxCost {
			kind = ErrCost
		}
		return &Error{Op: "plan", Kind: kind, NotRun: !r.sentToEngine, Err: fmt.Errorf("no plan: %s", p.Problem)}
	}
	r.steps = p.Steps
	return nil
}

// runAndReplan runs the plan, and makes a new one if a version goes out of service meanwhile.
func (x *Executor) runAndReplan(ctx context.Context, r *requestState) error {
	r.attempts = x.deps.Retries.RecordFirstAttempt()
	for range maxPlanRuns {
		err := x.runPlan(ctx, r)
		if !errors.Is(err, errReplan) {
			return err
		}
		x.recordEvent("plan-again", r, "", "", nil)
		if err := x.planSteps(r); err != nil {
			return err
		}
		x.recordPlan(r)
	}
	return &Error{Op: "run", Kind: ErrNotAllowed, Err: errReplan}
}

// runPlan runs the steps in order until one gives an answer of the required quality.
func (x *Executor) runPlan(ctx context.Context, r *requestState) error {
	after := ""
	for i, s := range r.steps {
		err := x.runStep(ctx, r, s, after)
		belowQuality := errors.Is(err, errBelowQuality)
		if err == nil || errors.Is(err, errReplan) || (!belowQuality && !s.RateBeforeDelivery) || ctx.Err() != nil {
			return err
		}
		if i == len(r.steps)-1 {
			kind := ErrCapacity
			var e *Error
			if errors.As(err, &e) && e.Kind == ErrEvacuated {
				kind = ErrEvacuated
			}
			return &Error{Op: "run", Kind: kind, Err: err}
		}
		if belowQuality {
			after = shortfallsBefore(after, s.Version)
		}
		x.recordEvent("escalated", r, s.Version, "", err)
	}
	return &Error{Op: "run", Kind: ErrNotAllowed, Err: errors.New("the plan has no steps")}
}

// shortfallsBefore returns the Predecessor value of the next step's outcome, once an answer of version fell below the
// quality: the version if it is the first one, else cascade.MultiplePredecessors.
func shortfallsBefore(after, version string) string {
	if after == "" {
		return version
	}
	return cascade.MultiplePredecessors
}

// runStep runs one step. An unrated step streams to the caller, a rated one is buffered until its rating is known.
func (x *Executor) runStep(ctx context.Context, r *requestState, s cascade.Step, after string) error {
	r.result.Steps++
	start := time.Now()
	a := &attempt{executor: x, r: r, step: s, buffer: newHeldText(x.deps.TextMemory)}
	defer a.buffer.release()
	err := a.runUntilComplete(ctx)
	cost := x.deps.Catalog().Versions[s.Version].Price.Cost(a.usage.Input, a.usage.Output)
	r.result.Cost += cost
	r.result.Usage.Input += a.usage.Input
	r.result.Usage.Output += a.usage.Output
	v := x.deps.Catalog().Versions[s.Version]
	o := cascade.Outcome{
		Class: r.class, Version: s.Version, Prior: v.Prior, Predecessor: after, MinScore: r.Profile.Quality.MinScore,
		Completed: err == nil, Failed: err != nil, Cost: cost, Latency: time.Since(start),
	}
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, errReplan) {
			x.deps.Planner.Observe(o)
		}
		return err
	}
	if s.RateBeforeDelivery {
		return x.deliverRated(ctx, r, a, o)
	}
	x.deps.Planner.Observe(o)
	r.result.Version, r.result.Finish = s.Version, a.finish
	if s.RateAfterDelivery && !r.dropped {
		x.rateDelivered(r, o)
	}
	return nil
}

// deliverRated rates a buffered answer and delivers it if the rating meets the profile's quality.
func (x *Executor) deliverRated(ctx context.Context, r *requestState, a *attempt, o cascade.Outcome) error {
	rateCtx, cancel := context.WithTimeout(ctx, x.s.RatingTimeout)
	defer cancel()
	text, start := a.buffer.String(), time.Now()
	score, err := x.deps.Rater.Rate(rateCtx, RatedAnswer{r.class, o.Version, r.Profile.Name, r.prompt, text})
	x.recordFields("rated", r, o.Version, map[string]string{"score": fmt.Sprintf("%.2f", score), "want": fmt.Sprintf("%.2f", r.Profile.Quality.MinScore)}, err)
	o.Rated, o.Score, o.RatingTime = err == nil, score, time.Since(start)
	x.deps.Planner.Observe(o)
	if err != nil || score < r.Profile.Quality.MinScore {
		return errBelowQuality
	}
	r.result.Version, r.result.Finish = o.Version, a.finish
	return r.deliver(text, o.Version)
}

// rateDelivered rates an answer after its delivery, in the background, so that the caller does not wait for it.
func (x *Executor) rateDelivered(r *requestState, o cascade.Outcome) {
	text := r.delivered
	r.delivered = &heldText{}
	rated := RatedAnswer{r.class, o.Version, r.Profile.Name, r.prompt, text.String()}
	at := time.Now()
	x.ratings.Go(func() {
		defer text.release()
		ctx, cancel := context.WithTimeout(context.Background(), x.s.RatingTimeout)
		defer cancel()
		score, err := x.deps.Rater.Rate(ctx, rated)
		if err != nil {
			return
		}
		x.deps.Planner.Observe(cascade.Outcome{
			Class: o.Class, Version: o.Version, Prior: o.Prior, Predecessor: o.Predecessor, MinScore: o.MinScore, CompletedAt: at, Rated: true, Score: score,
		})
	})
}

// WaitForRatings waits for the ratings that run in the background.
func (x *Executor) WaitForRatings() { x.ratings.Wait() }

// deliver writes a piece of text to the sink, and starts the sink before the first piece.
func (r *requestState) deliver(s, version string) error {
	if !r.sinkStarted {
		t := session.Token{
			Organisation: r.Organisation.Name, Profile: r.Profile.Name, Version: version,
			Revision: r.Profile.Revision, Issued: time.Now(),
		}
		if r.pinned {
			t.Revision = r.Token.Revision
		}
		info := StreamInfo{Version: version, Token: t, InSession: r.NewSession || r.Token != nil, MoveReason: r.moveReason}
		if err := r.sink.Start(info); err != nil {
			return err
		}
		r.sinkStarted = true
	}
	if !r.dropped && r.delivered.add(s) != nil {
		r.delivered.release()
		r.dropped = true
	}
	return r.sink.WriteText(s, version)
}

// randomDraws returns the random numbers for the choice of an endpoint.
func randomDraws() [2]float64 { return [2]float64{rand.Float64(), rand.Float64()} }

// recordPlan records the steps of a request's plan.
func (x *Executor) recordPlan(r *requestState) {
	versions := make([]string, 0, len(r.steps))
	for _, s := range r.steps {
		versions = append(versions, s.Version)
	}
	fields := map[string]string{"steps": strings.Join(versions, " "), "profile": r.Profile.Name, "class": r.class}
	if r.moveReason != "" {
		fields["moved"] = r.moveReason
	}
	x.recordFields("planned", r, "", fields, nil)
}

// recordFields writes an event with fields.
func (x *Executor) recordFields(name string, r *requestState, version string, fields map[string]string, err error) {
	if err != nil {
		fields["error"] = err.Error()
	}
	x.deps.Events.Write(timeline.Event{
		Component: "answer", Name: name, Request: r.ID, Organisation: r.Organisation.Name, Version: version, Session: r.Session, Fields: fields,
	})
}

// recordEvent writes an event without fields other than the error.
func (x *Executor) recordEvent(name string, r *requestState, version, endpoint string, err error) {
	e := timeline.Event{
		Component: "answer", Name: name, Request: r.ID, Organisation: r.Organisation.Name, Version: version, Endpoint: endpoint,
		Session: r.Session,
	}
	if err != nil {
		e.Fields = map[string]string{"error": err.Error()}
	}
	x.deps.Events.Write(e)
}
