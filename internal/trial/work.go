package trial

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
	maxTracked = int64(time.Minute / time.Microsecond) // latency, in microseconds
	maxReply   = 16 << 20                              // bytes
)

// chat is one chat request of the sample work.
type chat struct {
	org, profile, prompt string
	stream               bool
	session              string
}

// answered is what a caller got for a request.
type answered struct {
	key, org, profile string
	version           string
	session, moved    string
	text              string
	whole             bool
	refused           *client.ErrorDetail
	order             string // body of an order's reply
	sent              time.Time
	took, first       time.Duration
	input, output     int64
	err               error
}

// ledger collects what callers got.
type book struct {
	mu      sync.Mutex
	answers []answered
	total   *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
}

func newBook() *book {
	return &book{total: hdrhistogram.New(1, maxTracked, 3), first: hdrhistogram.New(1, maxTracked, 3)}
}

func (b *book) add(a answered) answered {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers = append(b.answers, a)
	if a.whole {
		_ = b.total.RecordValue(min(maxTracked, a.took.Microseconds()))
	}
	if a.first > 0 {
		_ = b.first.RecordValue(min(maxTracked, a.first.Microseconds()))
	}
	return a
}

// post sends a request under a key and returns the reply; the caller closes its body.
func (w *World) post(ctx context.Context, base, path, org, key, session string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("post: %w", err)
	}
	req.Header.Set("Authorization", "Bearer key-"+org)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(client.HeaderIdempotencyKey, key)
	if session != "" {
		req.Header.Set(client.HeaderSession, session)
	}
	req.GetBody = nil // the sample work decides itself what is sent again
	res, err := w.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("post: %w", err)
	}
	return res, nil
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// ask sends a chat request to an instance.
func (w *World) ask(ctx context.Context, base string, q chat) answered {
	a := answered{key: newKey(), org: q.org, profile: q.profile, sent: time.Now()}
	b, err := json.Marshal(engine.ChatRequest{Model: q.profile, Stream: q.stream, Messages: []engine.Message{{Role: "user", Content: q.prompt}}})
	if err != nil {
		a.err = err
		return a
	}
	res, err := w.post(ctx, base, "/v1/chat/completions", q.org, a.key, q.session, b)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = res.Body.Close() }()
	a.version, a.session = res.Header.Get(client.HeaderVersion), res.Header.Get(client.HeaderSession)
	a.moved = res.Header.Get(client.HeaderSessionChanged)
	if res.StatusCode != http.StatusOK {
		a.refusal(res.Body)
		return a
	}
	if q.stream {
		a.readStream(res.Body)
	} else {
		a.readWhole(res.Body)
	}
	a.took = time.Since(a.sent)
	want := standin.AnswerText(a.version, q.prompt, standin.AnswerTokens(q.prompt, profiles[q.profile].MaxTokens))
	if a.err == nil && a.text != want {
		a.err = fmt.Errorf("the answer differs after %d bytes", common(a.text, want))
	}
	a.whole = a.err == nil
	return a
}

func common(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func (a *answered) refusal(r io.Reader) {
	var b client.ErrorBody
	if err := json.NewDecoder(io.LimitReader(r, maxReply)).Decode(&b); err != nil {
		a.err = fmt.Errorf("refusal: %w", err)
		return
	}
	a.refused = &b.Error
}

func (a *answered) readWhole(r io.Reader) {
	var c engine.Completion
	if a.err = json.NewDecoder(io.LimitReader(r, maxReply)).Decode(&c); a.err != nil {
		return
	}
	a.text, a.input, a.output = c.Choices[0].Message.Content, c.Usage.Input, c.Usage.Output
}

func (a *answered) readStream(r io.Reader) {
	var b strings.Builder
	finished := false
	all, err := io.ReadAll(&firstByte{r: io.LimitReader(r, maxReply), at: &a.first, start: a.sent})
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
			a.input, a.output = c.Usage.Input, c.Usage.Output
		}
	}
	a.text = b.String()
	if !finished {
		a.err = errors.Join(err, fmt.Errorf("the stream ended without its end mark"))
	}
}

// firstByte notes when the first byte arrived.
type firstByte struct {
	r     io.Reader
	at    *time.Duration
	start time.Time
}

func (f *firstByte) Read(b []byte) (int, error) {
	n, err := f.r.Read(b)
	if n > 0 && *f.at == 0 {
		*f.at = time.Since(f.start)
	}
	return n, err //nolint:wrapcheck // a reader passes io.EOF on as it is
}

// order places an order under a key at an instance.
func (w *World) order(ctx context.Context, base, org, service, key string) answered {
	a := answered{key: key, org: org, sent: time.Now()}
	res, err := w.post(ctx, base, "/v1/services/"+service+"/orders", org, key, "", []byte(`{"order":"sample"}`))
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusMultipleChoices {
		a.refusal(res.Body)
		return a
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	a.order, a.err, a.whole, a.took = string(b), err, err == nil, time.Since(a.sent)
	return a
}

// bases returns the addresses of the instances that the balancer would use now.
func (w *World) bases() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := make([]string, 0, len(w.Members))
	for _, m := range w.Members {
		if !m.leaving {
			l = append(l, m.Callers)
		}
	}
	slices.Sort(l)
	return l
}

// load sends chat requests of all organisations from several workers until the context ends.
func (w *World) load(ctx context.Context, b *book, workers int, seed uint64) {
	kinds := []chat{
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
				q := kinds[r.IntN(len(kinds))]
				q.prompt = fmt.Sprintf(q.prompt, n*100_000+i)
				l := w.bases()
				// A request under way when the load ends is still waited for.
				b.add(w.ask(context.WithoutCancel(ctx), l[r.IntN(len(l))], q))
			}
		})
	}
	g.Wait()
}

// best returns what an answer would cost if the best model gave it at once.
func (a answered) best() record.Micros {
	p := prices["large@1"]
	return record.Micros((int64(p.Input)*a.input + int64(p.Output)*a.output) / 1000)
}
