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

// defaultTokens is the number of tokens of an answer whose prompt does not set it with "tokens=N".
const defaultTokens = 24

// loadReportInterval is the time between updates of the load in an engine's reply headers.
const loadReportInterval = 100 * time.Millisecond

// EngineOptions configures an engine.
type EngineOptions struct {
	ID                string
	Versions          []string                // versions that are loaded at the start
	Slots             int                     // requests that run concurrently; further ones wait
	FirstTokenTime    time.Duration           // time to the first token of an uncached prompt
	TokenInterval     time.Duration           // time between tokens
	CachedPrefixes    int                     // maximum number of prompt prefixes in the cache
	ChecksFencing     bool                    // reject commands with an outdated fencing token
	OnVersionsChanged func(versions []string) // called after each command with the resulting versions
}

// EngineFaults configures the faults of an engine. A zero value means no fault.
type EngineFaults struct {
	CrashAfterTokens    int     `json:"die-after,omitempty"`    // number of tokens of an answer after which the engine crashes
	StallAfterTokens    int     `json:"silent-after,omitempty"` // number of tokens after which an answer stalls until the client disconnects
	CrashText           string  `json:"poison,omitempty"`       // text that crashes the engine if a prompt contains it
	ClaimedVersion      string  `json:"model,omitempty"`        // version that answers name instead of the requested one
	ErrorShare          float64 `json:"error-share,omitempty"`  // share of requests that fail with an error status
	TruncateAfterTokens int     `json:"truncate,omitempty"`     // number of tokens after which the connection is closed without a finish reason
}

// Engine is a model engine with deterministic answers.
type Engine struct {
	options EngineOptions
	server  *http.Server
	slots   chan struct{} // one element for each occupied slot
	rand    *rand.Rand    // with a fixed seed; guarded by mu

	mu           sync.Mutex
	faults       EngineFaults
	versions     []string
	leaving      bool
	prefixCache  []string      // least recently used first
	reportedLoad int           // running requests at reportedAt
	slotWait     time.Duration // time that the latest request waited for a slot
	reportedAt   time.Time
	running      int            // requests in progress, waiting or in a slot
	served       map[string]int // answers started by version
	fencingToken uint64         // newest token of a command
	dead         bool
}

// NewEngine returns an engine that is not started.
func NewEngine(o EngineOptions) *Engine {
	e := &Engine{
		options: o, slots: make(chan struct{}, o.Slots), served: map[string]int{},
		versions: slices.Clone(o.Versions), rand: rand.New(rand.NewPCG(1, 2)),
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.handleChat)
	m.HandleFunc("GET /v1/load", e.handleLoad)
	m.HandleFunc("POST /v1/orders", e.handleCommand)
	m.HandleFunc("POST /v1/faults", e.handleFaults)
	e.server = &http.Server{Handler: m, ReadHeaderTimeout: time.Second}
	return e
}

// Serve accepts connections on the listener until the engine crashes or is closed.
func (e *Engine) Serve(l net.Listener) error {
	if err := e.server.Serve(l); err != nil && err != http.ErrServerClosed {
		return fmt.Errorf("serve engine %s: %w", e.options.ID, err)
	}
	return nil
}

// Close stops the engine immediately, like a crash.
func (e *Engine) Close() {
	e.mu.Lock()
	e.dead = true
	e.mu.Unlock()
	_ = e.server.Close()
}

// Stopped reports whether the engine has crashed or was closed.
func (e *Engine) Stopped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// SetFaults replaces the configured faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// AnnounceLeaving makes the engine announce that it accepts no new requests.
func (e *Engine) AnnounceLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// AnswerCounts returns the number of answers started for each version.
func (e *Engine) AnswerCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := make(map[string]int, len(e.served))
	for k, v := range e.served {
		m[k] = v
	}
	return m
}

// AnswerText returns the first tokens of the text with which every engine answers a prompt for a version.
func AnswerText(version, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(token(version, prompt, i))
	}
	return b.String()
}

// AnswerTokens returns the number of tokens of the answer to a prompt. A limit above 0 is the maximum.
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

// token returns the token at index i of the answer, which depends on its arguments only.
func token(version, prompt string, i int) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, version+"\x00"+prompt+"\x00"+strconv.Itoa(i))
	return strconv.FormatUint(uint64(h.Sum32()), 36) + " "
}

// handleChat serves a chat completion, streamed or whole.
func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	var q engine.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Messages) == 0 {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	f, status := e.admit(q)
	if status != http.StatusOK {
		e.setLoadHeaders(w)
		http.Error(w, http.StatusText(status), status)
		return
	}
	defer e.finishRequest()
	begin := time.Now()
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		return
	}
	e.recordSlotWait(time.Since(begin))
	e.setLoadHeaders(w)
	a := newAnswer(q, f)
	if f.CrashText != "" && strings.Contains(a.prompt, f.CrashText) {
		e.Close()
		return
	}
	if !sleep(r.Context(), e.prefillTime(a.prompt)) {
		return
	}
	if q.Stream {
		e.streamAnswer(w, r, a, f)
		return
	}
	e.writeAnswer(w, r, a, f)
}

// admit counts a request as running and returns the faults to apply. A status other than 200 means that the request is
// refused.
func (e *Engine) admit(q engine.ChatRequest) (EngineFaults, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return e.faults, http.StatusServiceUnavailable
	}
	if !slices.Contains(e.versions, q.Model) {
		return e.faults, http.StatusNotFound
	}
	if e.faults.ErrorShare > 0 && e.rand.Float64() < e.faults.ErrorShare {
		return e.faults, http.StatusInternalServerError
	}
	e.running++
	e.served[q.Model]++
	return e.faults, http.StatusOK
}

// recordSlotWait stores how long the latest request waited for a slot.
func (e *Engine) recordSlotWait(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slotWait = d.Round(time.Millisecond)
}

// finishRequest counts a request as no longer running.
func (e *Engine) finishRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// answer describes the completion to generate.
type answer struct {
	id, version, prompt string
	from, to            int // range of token indices; from is above 0 if an earlier answer is continued
	finishReason        string
}

// newAnswer returns the answer to a request with the faults applied to it.
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
	a := answer{id: "chatcmpl-" + strconv.Itoa(from), version: q.Model, prompt: prompt, from: from, finishReason: engine.FinishStop}
	a.to = AnswerTokens(prompt, limit)
	if limit > 0 && a.to < AnswerTokens(prompt, 0) {
		a.finishReason = engine.FinishLength
	}
	if f.ClaimedVersion != "" {
		a.version = f.ClaimedVersion
	}
	return a
}

// usage returns the token counts of the answer; words of the prompt count as tokens.
func (a answer) usage() *engine.Usage {
	in := int64(len(strings.Fields(a.prompt)))
	out := int64(a.to - a.from)
	return &engine.Usage{Input: in, Output: out, Total: in + out}
}

// prefillTime returns the time to the first token, which is an eighth if the prefix is cached, and adds the prompt's
// prefix to the cache.
func (e *Engine) prefillTime(prompt string) time.Duration {
	p := prompt[:min(len(prompt), 64)]
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.prefixCache, p)
	if i >= 0 {
		e.prefixCache = append(slices.Delete(e.prefixCache, i, i+1), p)
		return e.options.FirstTokenTime / 8
	}
	e.prefixCache = append(e.prefixCache, p)
	if len(e.prefixCache) > e.options.CachedPrefixes {
		e.prefixCache = e.prefixCache[len(e.prefixCache)-e.options.CachedPrefixes:]
	}
	return e.options.FirstTokenTime
}

// awaitToken waits until the token at index i is due and applies faults. It reports whether the answer continues.
func (e *Engine) awaitToken(ctx context.Context, i int, a answer, f EngineFaults) bool {
	switch n := i - a.from; {
	case f.CrashAfterTokens > 0 && n >= f.CrashAfterTokens:
		e.Close()
		return false
	case f.StallAfterTokens > 0 && n >= f.StallAfterTokens:
		<-ctx.Done()
		return false
	case f.TruncateAfterTokens > 0 && n >= f.TruncateAfterTokens:
		return false
	}
	return sleep(ctx, e.options.TokenInterval)
}

// writeAnswer writes the answer as one JSON object.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, a answer, f EngineFaults) {
	var b strings.Builder
	for i := a.from; i < a.to; i++ {
		if !e.awaitToken(r.Context(), i, a, f) {
			panic(http.ErrAbortHandler)
		}
		b.WriteString(token(a.version, a.prompt, i))
	}
	c := engine.Completion{ID: a.id, Object: "chat.completion", Model: a.version, Usage: a.usage(), Choices: []engine.Choice{
		{Message: &engine.Message{Role: "assistant", Content: b.String()}, Finish: &a.finishReason},
	}}
	writeReply(w, c, nil)
}

// streamAnswer writes the answer as server-sent events, one for each token.
func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, a answer, f EngineFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	sendChunk := func(d *engine.Delta, finish *string, u *engine.Usage) bool {
		b, _ := json.Marshal(engine.Completion{
			ID: a.id, Object: "chat.completion.chunk", Model: a.version, Usage: u,
			Choices: []engine.Choice{{Delta: d, Finish: finish}},
		})
		_, err := fmt.Fprintf(w, "data: %s\n\n", b)
		return err == nil && c.Flush() == nil
	}
	for i := a.from; i < a.to; i++ {
		if !e.awaitToken(r.Context(), i, a, f) {
			panic(http.ErrAbortHandler)
		}
		if !sendChunk(&engine.Delta{Content: token(a.version, a.prompt, i)}, nil, nil) {
			return
		}
	}
	if sendChunk(&engine.Delta{}, &a.finishReason, a.usage()) {
		_, _ = io.WriteString(w, "data: "+engine.DataDone+"\n\n")
	}
}

// sleep waits for d, or until the context is done, and reports whether the context is not done.
func sleep(ctx context.Context, d time.Duration) bool {
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
