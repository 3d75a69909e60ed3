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
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// maxPlans bounds how often a request is planned again because its version went out of service.
const maxPlans = 4

// Recorder writes events of the time line.
type Recorder interface {
	Write(e timeline.Event)
}

// Pool chooses endpoints and learns how they did.
type Pool interface {
	View() *endpoint.View
	Event(ev endpoint.Event)
}

// Settings tune the running of requests.
type Settings struct {
	Zone      string
	QueueWait time.Duration // for an endpoint
	QueueStep time.Duration // between two tries for an endpoint
	RateWait  time.Duration // for a rating before the answer counts as unrated
	MaxOutput int           // tokens when neither the request nor the profile bounds them
}

// DefaultSettings returns settings for an availability zone.
func DefaultSettings(zone string) Settings {
	return Settings{
		Zone: zone, QueueWait: 5 * time.Second, QueueStep: 10 * time.Millisecond,
		RateWait: 2 * time.Second, MaxOutput: 4096,
	}
}

// Parts are what a maker works with.
type Parts struct {
	Catalog  func() *profile.Catalog
	Serving  func() error // nil if the catalog is known to be in force
	Pool     Pool
	Planner  Planner
	Suspects Suspects
	Retries  *endpoint.Retries
	Rater    Rater
	Engines  *engine.Client
	Events   Recorder
}

// Maker makes whole answers.
type Maker struct {
	s       Settings
	p       Parts
	samples sync.WaitGroup
}

// NewMaker returns a maker.
func NewMaker(s Settings, p Parts) *Maker { return &Maker{s: s, p: p} }

var (
	errFellShort = errors.New("the rating falls short of the profile's quality")
	errReplan    = errors.New("the version is out of service")
)

// run is the state of one request.
type run struct {
	*Request
	sink      Sink
	prompt    string
	prefix    uint64
	class     string
	digest    uint64
	input     int
	maxOutput int
	steps     []cascade.Step
	pinned    bool
	moved     string
	sent      bool
	started   bool
	attempts  endpoint.Attempts
	delivered strings.Builder // text that the caller has
	tokens    int             // of the delivered text
	result    Result
}

// Bound returns the tokens that a request may use at most in each step.
func (m *Maker) Bound(r *Request) (input, output int) {
	output = r.Chat.MaxTokens
	if l := r.Profile.MaxTokens; l > 0 && (output <= 0 || output > l) {
		output = l
	}
	if output <= 0 {
		output = m.s.MaxOutput
	}
	for _, c := range r.Chat.Messages {
		input += len(c.Content) + len(c.Role)
	}
	return input, output
}

// Plan returns the steps for a request and their cost in the worst case.
func (m *Maker) Plan(r *Request, digest uint64, class string) (*Plan, error) {
	in, out := m.Bound(r)
	n := &run{Request: r, class: class, digest: digest, input: in, maxOutput: out, prompt: r.Prompt()}
	n.prefix = prefix(n.prompt)
	if err := m.plan(n); err != nil {
		return nil, err
	}
	m.planned(n)
	return &Plan{m: m, r: n}, nil
}

// Plan is a request that is ready to run.
type Plan struct {
	m *Maker
	r *run
}

// First returns the version that is asked first.
func (p *Plan) First() string { return p.r.steps[0].Version }

// Skip drops the first step, for example because its version is overloaded, and reports whether a step is left.
func (p *Plan) Skip() bool {
	if len(p.r.steps) < 2 {
		return false
	}
	p.r.steps = p.r.steps[1:]
	return true
}

// Worst returns the most that the plan can cost, and the most tokens that it can use.
func (p *Plan) Worst() (record.Micros, int64) {
	c := p.m.p.Catalog()
	var cost record.Micros
	for _, s := range p.r.steps {
		cost += price(c.Versions[s.Version].Price, int64(p.r.input), int64(p.r.maxOutput))
	}
	return cost, int64(len(p.r.steps)) * int64(p.r.input+p.r.maxOutput)
}

// Run runs the plan; the sink gets the text. The answer is whole if the error is nil.
func (p *Plan) Run(ctx context.Context, sink Sink) (Result, error) {
	p.r.sink = sink
	x, cancel := context.WithDeadline(ctx, p.r.Deadline)
	defer cancel()
	err := p.m.run(x, p.r)
	if err == nil {
		return p.r.result, nil
	}
	return p.r.result, p.r.fail(ctx, x, err)
}

// fail turns an error into one that says truly whether anything ran and whether a part was delivered.
func (r *run) fail(caller, x context.Context, err error) error {
	out := &Error{Op: "run", Kind: ErrCapacity, NotRun: !r.sent, Err: err}
	var e *Error
	if errors.As(err, &e) {
		out.Kind = e.Kind
	}
	switch {
	case caller.Err() != nil:
		out.Kind = ErrCancelled
	case x.Err() != nil:
		out.Kind = ErrDeadline
	}
	if r.delivered.Len() > 0 && out.Kind != ErrCancelled {
		out.Kind = ErrIncomplete
	}
	return out
}

func (m *Maker) plan(r *run) error {
	c := m.p.Catalog()
	pin := session.Resolve(c, r.Organisation.Name, r.Profile.Name, r.Token)
	r.pinned = false
	switch pin.Outcome {
	case session.OutcomeRefused:
		return &Error{Op: "plan", Kind: ErrNotAllowed, NotRun: !r.sent, Err: errors.New("the organisation may not use the profile")}
	case session.OutcomeKept:
		if m.p.Planner.Runs(pin.Version) {
			r.pinned = true
			return m.choosePlan(c, r, pin.Version)
		}
		r.moved = string(session.ReasonHalted)
	case session.OutcomeMoved:
		r.moved = string(pin.Reason)
	}
	return m.choosePlan(c, r, "")
}

// choosePlan asks for the cheapest plan. A session, and an answer that was delivered in part, take one direct step.
func (m *Maker) choosePlan(c *profile.Catalog, r *run, pinned string) error {
	q := &cascade.Request{
		Class: r.class, Candidates: m.p.Planner.Candidates(r.Profile.Name), Quality: r.Profile.Quality, Weights: r.Profile.Weights,
		RaterUp: m.p.Planner.RaterUp(), MaxCost: r.Profile.MaxCost, Deadline: time.Until(r.Deadline),
		Input: r.input, MaxOutput: r.maxOutput, Pinned: pinned,
		Session: r.NewSession || r.Token != nil || r.delivered.Len() > 0,
	}
	if pinned != "" {
		q.Candidates = cascade.Pinned(c, r.Profile.Name, pinned)
	}
	p := m.p.Planner.Beliefs().Plan(q, rand.Float64())
	if p.Problem != "" {
		k := ErrNotAllowed
		if p.Problem == cascade.ProblemMaxCost {
			k = ErrCost
		}
		return &Error{Op: "plan", Kind: k, NotRun: !r.sent, Err: fmt.Errorf("no plan: %s", p.Problem)}
	}
	r.steps = p.Steps
	return nil
}

func (m *Maker) run(ctx context.Context, r *run) error {
	r.attempts = m.p.Retries.First()
	for range maxPlans {
		err := m.runSteps(ctx, r)
		if !errors.Is(err, errReplan) {
			return err
		}
		m.event("plan-again", r, "", "", nil)
		if err := m.plan(r); err != nil {
			return err
		}
		m.planned(r)
	}
	return &Error{Op: "run", Kind: ErrNotAllowed, Err: errReplan}
}

func (m *Maker) runSteps(ctx context.Context, r *run) error {
	after := ""
	for i, s := range r.steps {
		err := m.step(ctx, r, s, after)
		short := errors.Is(err, errFellShort)
		if err == nil || errors.Is(err, errReplan) || (!short && !s.Rate) || ctx.Err() != nil {
			return err
		}
		if i == len(r.steps)-1 {
			return &Error{Op: "run", Kind: ErrCapacity, Err: err}
		}
		if short {
			after = afterStep(after, s.Version)
		}
		m.event("escalated", r, s.Version, "", err)
	}
	return &Error{Op: "run", Kind: ErrNotAllowed, Err: errors.New("the plan has no steps")}
}

// afterStep names the steps that fell short before the next one.
func afterStep(after, version string) string {
	if after == "" {
		return version
	}
	return cascade.Further
}

// step asks one version. An unrated step streams to the caller; a rated one is buffered until its rating is known.
func (m *Maker) step(ctx context.Context, r *run, s cascade.Step, after string) error {
	r.result.Steps++
	start := time.Now()
	a := &attempt{m: m, r: r, step: s}
	err := a.untilWhole(ctx)
	c := price(m.p.Catalog().Versions[s.Version].Price, a.usage.Input, a.usage.Output)
	r.result.Cost += c
	r.result.Usage.Input += a.usage.Input
	r.result.Usage.Output += a.usage.Output
	v := m.p.Catalog().Versions[s.Version]
	o := cascade.Outcome{
		Class: r.class, Version: s.Version, Prior: v.Prior, After: after, MinScore: r.Profile.Quality.MinScore,
		Done: err == nil, Failed: err != nil, Cost: c, Latency: time.Since(start),
	}
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, errReplan) {
			m.p.Planner.Observe(o)
		}
		return err
	}
	if s.Rate {
		return m.rated(ctx, r, a, o)
	}
	m.p.Planner.Observe(o)
	r.result.Version, r.result.Finish = s.Version, a.finish
	if s.Sample {
		m.sample(r, o, r.delivered.String())
	}
	return nil
}

// rated delivers a buffered answer if its rating meets the profile's quality.
func (m *Maker) rated(ctx context.Context, r *run, a *attempt, o cascade.Outcome) error {
	x, cancel := context.WithTimeout(ctx, m.s.RateWait)
	defer cancel()
	text, start := a.buffer.String(), time.Now()
	score, err := m.p.Rater.Rate(x, RatedAnswer{r.class, o.Version, r.Profile.Name, r.prompt, text})
	m.note("rated", r, o.Version, map[string]string{"score": fmt.Sprintf("%.2f", score), "want": fmt.Sprintf("%.2f", r.Profile.Quality.MinScore)}, err)
	o.Rated, o.Score, o.Rating = err == nil, score, time.Since(start)
	m.p.Planner.Observe(o)
	if err != nil || score < r.Profile.Quality.MinScore {
		return errFellShort
	}
	r.result.Version, r.result.Finish = o.Version, a.finish
	return r.deliver(text, o.Version)
}

// sample rates an answer after its delivery; the caller does not wait for it.
func (m *Maker) sample(r *run, o cascade.Outcome, text string) {
	q := RatedAnswer{r.class, o.Version, r.Profile.Name, r.prompt, text}
	at := time.Now()
	m.samples.Go(func() {
		x, cancel := context.WithTimeout(context.Background(), m.s.RateWait)
		defer cancel()
		score, err := m.p.Rater.Rate(x, q)
		if err != nil {
			return
		}
		m.p.Planner.Observe(cascade.Outcome{
			Class: o.Class, Version: o.Version, Prior: o.Prior, After: o.After, MinScore: o.MinScore, At: at, Rated: true, Score: score,
		})
	})
}

// Wait returns when all ratings after delivery have ended.
func (m *Maker) Wait() { m.samples.Wait() }

// deliver gives a piece of text to the caller.
func (r *run) deliver(s, version string) error {
	if !r.started {
		t := session.Token{
			Organisation: r.Organisation.Name, Profile: r.Profile.Name, Version: version,
			Revision: r.Profile.Revision, Issued: time.Now(),
		}
		if r.pinned {
			t.Revision = r.Token.Revision
		}
		st := Started{Version: version, Token: t, Session: r.NewSession || r.Token != nil, Moved: r.moved}
		if err := r.sink.Start(st); err != nil {
			return err
		}
		r.started = true
	}
	r.delivered.WriteString(s)
	return r.sink.Text(s, version)
}

func price(p record.Price, input, output int64) record.Micros {
	// Prices are per thousand tokens; rounding up keeps a bill from being 0 for a short answer.
	return record.Micros((int64(p.Input)*input + int64(p.Output)*output + 999) / 1000)
}

func draws() [2]float64 { return [2]float64{rand.Float64(), rand.Float64()} }

// planned notes the steps of a request's plan.
func (m *Maker) planned(r *run) {
	l := make([]string, 0, len(r.steps))
	for _, s := range r.steps {
		l = append(l, s.Version)
	}
	f := map[string]string{"steps": strings.Join(l, " "), "profile": r.Profile.Name, "class": r.class}
	if r.moved != "" {
		f["moved"] = r.moved
	}
	m.note("planned", r, "", f, nil)
}

// note writes an event with fields.
func (m *Maker) note(name string, r *run, version string, fields map[string]string, err error) {
	if err != nil {
		fields["error"] = err.Error()
	}
	m.p.Events.Write(timeline.Event{
		Part: "answer", Name: name, Request: r.ID, Organisation: r.Organisation.Name, Version: version, Session: r.Session, Fields: fields,
	})
}

func (m *Maker) event(name string, r *run, version, endpoint string, err error) {
	e := timeline.Event{
		Part: "answer", Name: name, Request: r.ID, Organisation: r.Organisation.Name, Version: version, Endpoint: endpoint,
		Session: r.Session,
	}
	if err != nil {
		e.Fields = map[string]string{"error": err.Error()}
	}
	m.p.Events.Write(e)
}
