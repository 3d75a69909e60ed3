package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/engine"
)

// defaultTokens is the length of an answer whose prompt does not ask for one with "tokens=N".
const defaultTokens = 24

// loadLag is how old an engine's load report may be.
const loadLag = 100 * time.Millisecond

// EngineOptions describes a stand-in engine.
type EngineOptions struct {
	ID            string
	Versions      []string
	Slots         int
	FirstToken    time.Duration // prefill time of a prompt that isn't cached
	PerToken      time.Duration
	Prefixes      int // prompt prefixes kept in the cache
	ChecksFencing bool
	Changed       func(versions []string) // called after a command changed the versions
}

// EngineFaults tells an engine how to misbehave; zero values mean no fault.
type EngineFaults struct {
	DieAfter    int     `json:"die-after,omitempty"`    // tokens of one answer after which the engine dies
	SilentAfter int     `json:"silent-after,omitempty"` // tokens after which an open stream goes silent for good
	Poison      string  `json:"poison,omitempty"`       // prompt text that kills the engine
	Model       string  `json:"model,omitempty"`        // version claimed in answers
	ErrorShare  float64 `json:"error-share,omitempty"`  // share of requests answered with an error status
	Truncate    int     `json:"truncate,omitempty"`     // tokens after which the stream ends without a finish reason
}

// Engine is a model engine on loopback.
type Engine struct {
	o      EngineOptions
	server *http.Server
	slots  chan struct{}
	rand   *rand.Rand

	mu       sync.Mutex
	f        EngineFaults
	versions []string
	leaving  bool
	cache    []string
	load     int
	wait     time.Duration // of the latest request for a slot
	loadAt   time.Time
	running  int
	served   map[string]int
	fence    uint64
	dead     bool
}

// NewEngine returns an engine that is not started.
func NewEngine(o EngineOptions) *Engine {
	e := &Engine{
		o: o, slots: make(chan struct{}, o.Slots), served: map[string]int{},
		versions: slices.Clone(o.Versions), rand: rand.New(rand.NewPCG(1, 2)),
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.chat)
	m.HandleFunc("GET /v1/load", e.report)
	m.HandleFunc("POST /v1/orders", e.command)
	m.HandleFunc("POST /v1/faults", e.setFaults)
	e.server = &http.Server{Handler: m, ReadHeaderTimeout: time.Second}
	return e
}

// Serve answers on the listener until the engine dies or is closed.
func (e *Engine) Serve(l net.Listener) error {
	if err := e.server.Serve(l); err != nil && err != http.ErrServerClosed {
		return fmt.Errorf("serve engine %s: %w", e.o.ID, err)
	}
	return nil
}

// Close ends the engine at once, as a crash does.
func (e *Engine) Close() {
	e.mu.Lock()
	e.dead = true
	e.mu.Unlock()
	_ = e.server.Close()
}

// Dead reports whether the engine has died or was closed.
func (e *Engine) Dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// Set replaces the faults.
func (e *Engine) Set(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.f = f
}

// Leave makes the engine announce that it takes no new work.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Served returns the number of answers started for each version.
func (e *Engine) Served() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := make(map[string]int, len(e.served))
	for k, v := range e.served {
		m[k] = v
	}
	return m
}

// AnswerText returns the text that any stand-in engine gives for a version and prompt.
func AnswerText(version, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(token(version, prompt, i))
	}
	return b.String()
}

// AnswerTokens returns the length of the answer to a prompt, at most limit if that is above 0.
func AnswerTokens(prompt string, limit int) int {
	n := defaultTokens
	if _, s, ok := strings.Cut(prompt, "tokens="); ok {
		s, _, _ = strings.Cut(s, " ")
		if v, err := strconv.Atoi(s); err == nil {
			n = v
		}
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return n
}

func token(version, prompt string, i int) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, version+"\x00"+prompt+"\x00"+strconv.Itoa(i))
	return strconv.FormatUint(uint64(h.Sum32()), 36) + " "
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var q engine.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Messages) == 0 {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	f, status := e.admit(q)
	if status != http.StatusOK {
		e.loadHeaders(w)
		http.Error(w, http.StatusText(status), status)
		return
	}
	defer e.done()
	begin := time.Now()
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		return
	}
	e.waited(time.Since(begin))
	e.loadHeaders(w)
	a := newAnswer(q, f)
	if f.Poison != "" && strings.Contains(a.prompt, f.Poison) {
		e.Close()
		return
	}
	if !pause(r.Context(), e.prefill(a.prompt)) {
		return
	}
	if q.Stream {
		e.stream(w, r, a, f)
		return
	}
	e.whole(w, r, a, f)
}

// admit counts the request in, or returns the status that refuses it.
func (e *Engine) admit(q engine.ChatRequest) (EngineFaults, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return e.f, http.StatusServiceUnavailable
	}
	if !slices.Contains(e.versions, q.Model) {
		return e.f, http.StatusNotFound
	}
	if e.f.ErrorShare > 0 && e.rand.Float64() < e.f.ErrorShare {
		return e.f, http.StatusInternalServerError
	}
	e.running++
	e.served[q.Model]++
	return e.f, http.StatusOK
}

func (e *Engine) waited(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.wait = d.Round(time.Millisecond)
}

func (e *Engine) done() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

type answer struct {
	id, version, prompt string
	from, to            int
	finish              string
}

func newAnswer(q engine.ChatRequest, f EngineFaults) answer {
	m := q.Messages
	from := 0
	if q.ContinueFinal {
		from = strings.Count(m[len(m)-1].Content, " ")
		m = m[:len(m)-1]
	}
	prompt := m[len(m)-1].Content
	limit := 0
	if q.MaxTokens > 0 {
		limit = q.MaxTokens + from
	}
	a := answer{id: "chatcmpl-" + strconv.Itoa(from), version: q.Model, prompt: prompt, from: from, finish: engine.FinishStop}
	a.to = AnswerTokens(prompt, limit)
	if limit > 0 && a.to < AnswerTokens(prompt, 0) {
		a.finish = engine.FinishLength
	}
	if f.Model != "" {
		a.version = f.Model
	}
	return a
}

func (a answer) usage() *engine.Usage {
	in := int64(len(strings.Fields(a.prompt)))
	out := int64(a.to - a.from)
	return &engine.Usage{Input: in, Output: out, Total: in + out}
}

// prefill returns the time until the first token and puts the prompt's prefix into the cache.
func (e *Engine) prefill(prompt string) time.Duration {
	p := prompt[:min(len(prompt), 64)]
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.cache, p)
	if i >= 0 {
		e.cache = append(slices.Delete(e.cache, i, i+1), p)
		return e.o.FirstToken / 8
	}
	e.cache = append(e.cache, p)
	if len(e.cache) > e.o.Prefixes {
		e.cache = e.cache[len(e.cache)-e.o.Prefixes:]
	}
	return e.o.FirstToken
}

// step waits for the next token and applies faults; it reports whether the answer goes on.
func (e *Engine) step(ctx context.Context, i int, a answer, f EngineFaults) bool {
	switch n := i - a.from; {
	case f.DieAfter > 0 && n >= f.DieAfter:
		e.Close()
		return false
	case f.SilentAfter > 0 && n >= f.SilentAfter:
		<-ctx.Done()
		return false
	case f.Truncate > 0 && n >= f.Truncate:
		return false
	}
	return pause(ctx, e.o.PerToken)
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, a answer, f EngineFaults) {
	var b strings.Builder
	for i := a.from; i < a.to; i++ {
		if !e.step(r.Context(), i, a, f) {
			panic(http.ErrAbortHandler)
		}
		b.WriteString(token(a.version, a.prompt, i))
	}
	c := engine.Completion{ID: a.id, Object: "chat.completion", Model: a.version, Usage: a.usage(), Choices: []engine.Choice{
		{Message: &engine.Message{Role: "assistant", Content: b.String()}, Finish: &a.finish},
	}}
	reply(w, c, nil)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a answer, f EngineFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	send := func(d *engine.Delta, finish *string, u *engine.Usage) bool {
		b, _ := json.Marshal(engine.Completion{
			ID: a.id, Object: "chat.completion.chunk", Model: a.version, Usage: u,
			Choices: []engine.Choice{{Delta: d, Finish: finish}},
		})
		_, err := fmt.Fprintf(w, "data: %s\n\n", b)
		return err == nil && c.Flush() == nil
	}
	for i := a.from; i < a.to; i++ {
		if !e.step(r.Context(), i, a, f) {
			panic(http.ErrAbortHandler)
		}
		if !send(&engine.Delta{Content: token(a.version, a.prompt, i)}, nil, nil) {
			return
		}
	}
	if send(&engine.Delta{}, &a.finish, a.usage()) {
		_, _ = io.WriteString(w, "data: "+engine.DataDone+"\n\n")
	}
}

// pause waits and reports whether the request is still wanted.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
