package testfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	maxLatencyMicros = int64(time.Minute / time.Microsecond) // upper bound of the latency histograms
	maxReplyBytes    = 16 << 20
)

// chatRequest is a chat request of a sample organisation.
type chatRequest struct {
	org, profile, prompt string
	stream               bool
	session              string // session token; "new" starts a session, empty sends none
}

// response is the outcome of a chat request or an order as its caller sees it.
type response struct {
	key, org, profile         string
	version                   string
	session, sessionChange    string // session token and reason for a change of its version
	text                      string
	complete                  bool // without an error and, for a chat request, with the expected text
	refusal                   *client.ErrorDetail
	orderReply                string // body of the reply to an order
	sent                      time.Time
	duration, firstByte       time.Duration // since sent
	inputTokens, outputTokens int64
	err                       error
}

// recorder collects responses and their latencies.
type recorder struct {
	mu         sync.Mutex
	responses  []response
	durations  *hdrhistogram.Histogram
	firstBytes *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{durations: hdrhistogram.New(1, maxLatencyMicros, 3), firstBytes: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

func (r *recorder) add(a response) response {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responses = append(r.responses, a)
	if a.complete {
		_ = r.durations.RecordValue(min(maxLatencyMicros, a.duration.Microseconds()))
	}
	if a.firstByte > 0 {
		_ = r.firstBytes.RecordValue(min(maxLatencyMicros, a.firstByte.Microseconds()))
	}
	return a
}

// postJSON sends a request under an idempotency key. The caller closes the body of the response.
func (f *Fleet) postJSON(ctx context.Context, url, path, org, key, session string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer key-"+org)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(client.HeaderIdempotencyKey, key)
	if session != "" {
		req.Header.Set(client.HeaderSession, session)
	}
	req.GetBody = nil // prevents the transport from sending the request again by itself
	res, err := f.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	return res, nil
}

func newIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }

// sendChat sends a chat request to an instance and compares the answer with the text that the version generates.
func (f *Fleet) sendChat(ctx context.Context, url string, c chatRequest) response {
	a := response{key: newIdempotencyKey(), org: c.org, profile: c.profile, sent: time.Now()}
	b, err := json.Marshal(engine.ChatRequest{Model: c.profile, Stream: c.stream, Messages: []engine.Message{{Role: "user", Content: c.prompt}}})
	if err != nil {
		a.err = err
		return a
	}
	res, err := f.postJSON(ctx, url, "/v1/chat/completions", c.org, a.key, c.session, b)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = res.Body.Close() }()
	a.version, a.session = res.Header.Get(client.HeaderVersion), res.Header.Get(client.HeaderSession)
	a.sessionChange = res.Header.Get(client.HeaderSessionChanged)
	if res.StatusCode != http.StatusOK {
		a.decodeRefusal(res.Body)
		return a
	}
	if c.stream {
		a.decodeStream(res.Body)
	} else {
		a.decodeCompletion(res.Body)
	}
	a.duration = time.Since(a.sent)
	want := standin.AnswerText(a.version, c.prompt, standin.AnswerTokens(c.prompt, profiles[c.profile].MaxTokens))
	if a.err == nil && a.text != want {
		a.err = fmt.Errorf("the answer differs from the expected text after %d bytes", commonPrefixLength(a.text, want))
	}
	a.complete = a.err == nil
	return a
}

// commonPrefixLength returns the number of leading bytes that two texts have in common.
func commonPrefixLength(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func (a *response) decodeRefusal(r io.Reader) {
	var b client.ErrorBody
	if err := json.NewDecoder(io.LimitReader(r, maxReplyBytes)).Decode(&b); err != nil {
		a.err = fmt.Errorf("decode refusal: %w", err)
		return
	}
	a.refusal = &b.Error
}

func (a *response) decodeCompletion(r io.Reader) {
	var c engine.Completion
	if a.err = json.NewDecoder(io.LimitReader(r, maxReplyBytes)).Decode(&c); a.err != nil {
		return
	}
	a.text, a.inputTokens, a.outputTokens = c.Choices[0].Message.Content, c.Usage.Input, c.Usage.Output
}

func (a *response) decodeStream(r io.Reader) {
	var b strings.Builder
	finished := false
	all, err := io.ReadAll(&firstByteReader{r: io.LimitReader(r, maxReplyBytes), delay: &a.firstByte, start: a.sent})
	for _, l := range bytes.Split(all, []byte("\n")) {
		d, ok := bytes.CutPrefix(l, []byte("data: "))
		if !ok || string(d) == engine.DataDone {
			finished = finished || ok
			continue
		}
		var c engine.Completion
		if json.Unmarshal(d, &c) != nil || len(c.Choices) == 0 {
			continue
		}
		b.WriteString(c.Choices[0].Delta.Content)
		if c.Usage != nil {
			a.inputTokens, a.outputTokens = c.Usage.Input, c.Usage.Output
		}
	}
	a.text = b.String()
	if !finished {
		a.err = errors.Join(err, fmt.Errorf("the stream ended without its final event"))
	}
}

// firstByteReader measures the time from start until the first byte is read.
type firstByteReader struct {
	r     io.Reader
	delay *time.Duration
	start time.Time
}

func (f *firstByteReader) Read(b []byte) (int, error) {
	n, err := f.r.Read(b)
	if n > 0 && *f.delay == 0 {
		*f.delay = time.Since(f.start)
	}
	return n, err //nolint:wrapcheck // a reader returns io.EOF unwrapped
}

// sendOrder sends an order under an idempotency key to an instance.
func (f *Fleet) sendOrder(ctx context.Context, url, org, service, key string) response {
	a := response{key: key, org: org, sent: time.Now()}
	res, err := f.postJSON(ctx, url, "/v1/services/"+service+"/orders", org, key, "", []byte(`{"order":"sample"}`))
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusMultipleChoices {
		a.decodeRefusal(res.Body)
		return a
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	a.orderReply, a.err, a.complete, a.duration = string(b), err, err == nil, time.Since(a.sent)
	return a
}

// callerURLs returns the base URLs of the instances that the balancer currently uses.
func (f *Fleet) callerURLs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := make([]string, 0, len(f.Instances))
	for _, i := range f.Instances {
		if !i.outOfBalancer {
			l = append(l, i.CallerURL)
		}
	}
	slices.Sort(l)
	return l
}

// sendLoad sends random chat requests of the sample organisations without a limit from several workers until the context
// ends.
func (f *Fleet) sendLoad(ctx context.Context, rec *recorder, workers int, seed uint64) {
	templates := []chatRequest{
		{org: "lysror-1", profile: "lysror-reports", prompt: "Dossier %d tokens=120 mercury consignment", stream: true},
		{org: "lysror-2", profile: "lysror-depot", prompt: "Depot question %d tokens=16 opening hours"},
		{org: "kallisto-1", profile: "kallisto-proofs", prompt: "Inscription %d tokens=24 for a christening cake", stream: true},
		{org: "kallisto-2", profile: "kallisto-proofs", prompt: "Proof %d tokens=40 with a rose"},
	}
	var g sync.WaitGroup
	for n := range workers {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		g.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				c := templates[r.IntN(len(templates))]
				c.prompt = fmt.Sprintf(c.prompt, n*100_000+i)
				urls := f.callerURLs()
				// A request in flight when the context ends still completes.
				rec.add(f.sendChat(context.WithoutCancel(ctx), urls[r.IntN(len(urls))], c))
			}
		})
	}
	g.Wait()
}

// bestModelCost returns the cost of an answer that the best model generates in a single attempt.
func (a response) bestModelCost() record.Micros {
	p := prices["large@1"]
	return record.Micros((int64(p.Input)*a.inputTokens + int64(p.Output)*a.outputTokens) / 1000)
}
