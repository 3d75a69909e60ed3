package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	maxLine       = 1 << 20 // bytes of one event of a stream
	maxErrorBody  = 4 << 10 // bytes read of an error reply
	maxProbeReply = 64 << 10
	maxHead       = 32 << 10 // bytes of the head of a reply
)

// Settings bounds the calls to endpoints.
type Settings struct {
	Dial       time.Duration // to connect
	FirstToken time.Duration // from sending a request to the first event
	Progress   time.Duration // between two events of a stream
	MaxBody    int64         // bytes of a plain service's reply
	Clock      Carrier       // may be nil
}

// Carrier passes the stamps of the time line along with calls.
type Carrier interface {
	Outgoing(h http.Header)
	Incoming(h http.Header)
}

// noStamps carries none.
type noStamps struct{}

// Outgoing adds nothing.
func (noStamps) Outgoing(http.Header) {}

// Incoming accepts nothing.
func (noStamps) Incoming(http.Header) {}

// Client calls engines and plain services.
type Client struct {
	s      Settings
	pooled *http.Client // for work that may be repeated
	fresh  *http.Client // one new connection for each call, so that a silent one is noticed
}

// NewClient returns a client with its own connections.
func NewClient(s Settings) *Client {
	if s.Clock == nil {
		s.Clock = noStamps{}
	}
	d := &net.Dialer{Timeout: s.Dial}
	pooled := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: maxHead}
	fresh := &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHead}
	return &Client{s: s, pooled: &http.Client{Transport: pooled}, fresh: &http.Client{Transport: fresh}}
}

// Close drops the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Report is what an endpoint told about itself with a reply.
type Report struct {
	Outstanding int
	Slots       int // 0 if the endpoint reported no load
	Versions    []string
	Waits       bool // whether the endpoint stated Wait
	Wait        time.Duration
	Leaving     bool
}

// Result is the end of a streamed answer.
type Result struct {
	Finish string
	Usage  Usage
	Report Report
	Tokens int           // events with text
	First  time.Duration // until the first event
}

// Stream runs a chat request on an engine and calls text for each piece of the answer.
// The result is valid also with an error; an error returned by text ends the stream and is returned.
func (c *Client) Stream(ctx context.Context, a netip.AddrPort, id string, q ChatRequest, text func(string) error) (Result, error) {
	q.Stream = true
	q.Options = &StreamOptions{IncludeUsage: true}
	b, err := json.Marshal(q)
	if err != nil {
		return Result{}, &Error{Op: "stream", Kind: ErrStatus, Err: err}
	}
	ctx, w := watch(ctx, c.s.FirstToken)
	defer w.stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.String()+"/v1/chat/completions", bytes.NewReader(b))
	if err != nil {
		return Result{}, &Error{Op: "stream", Kind: ErrRefused, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequest, id)
	c.s.Clock.Outgoing(req.Header)
	start := time.Now()
	res, err := c.pooled.Do(req)
	if err != nil {
		return Result{}, w.classify("stream", err)
	}
	defer func() { _ = res.Body.Close() }()
	s := stream{version: q.Model, text: text, watch: w, progress: c.s.Progress, start: start}
	s.result.Report = report(res.Header)
	c.s.Clock.Incoming(res.Header)
	if res.StatusCode != http.StatusOK {
		return s.result, statusError("stream", res)
	}
	err = s.read(bufio.NewReaderSize(res.Body, 4096))
	return s.result, err
}

// Probe asks an endpoint for its load on a new connection.
func (c *Client) Probe(ctx context.Context, a netip.AddrPort) (Load, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/v1/load", nil)
	if err != nil {
		return Load{}, &Error{Op: "probe", Kind: ErrRefused, Err: err}
	}
	res, err := c.fresh.Do(req)
	if err != nil {
		return Load{}, &Error{Op: "probe", Kind: dialKind(err, ErrSilent), Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return Load{}, statusError("probe", res)
	}
	var l Load
	if err := json.NewDecoder(io.LimitReader(res.Body, maxProbeReply)).Decode(&l); err != nil {
		return Load{}, &Error{Op: "probe", Kind: ErrTruncated, Err: err}
	}
	return l, nil
}

// Order sends a command to an engine; an engine that checks fencing tokens may refuse it with status 409.
func (c *Client) Order(ctx context.Context, a netip.AddrPort, m Command) error {
	b, err := json.Marshal(m)
	if err != nil {
		return &Error{Op: "order", Kind: ErrStatus, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.String()+"/v1/orders", bytes.NewReader(b))
	if err != nil {
		return &Error{Op: "order", Kind: ErrRefused, Err: err}
	}
	res, err := c.fresh.Do(req)
	if err != nil {
		return &Error{Op: "order", Kind: dialKind(err, ErrDied), Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return statusError("order", res)
	}
	return nil
}

type stream struct {
	version  string
	text     func(string) error
	watch    *watcher
	progress time.Duration
	start    time.Time
	result   Result
}

func (s *stream) read(r *bufio.Reader) error {
	var c chunk
	l := newLines()
	for {
		line, err := readLine(r)
		if err != nil {
			return s.ended(err)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == DataDone {
			return s.ended(io.EOF)
		}
		// Decoding into used elements would keep the text of the chunk before.
		clear(c.Choices)
		c = chunk{Choices: c.Choices[:0]}
		if err := l.decode(data, &c); err != nil {
			return &Error{Op: "stream", Kind: ErrTruncated, Err: err}
		}
		if err := s.take(&c); err != nil {
			return err
		}
	}
}

// chunk is what is read of a Completion that is a chunk of a stream; fields that nobody reads cost an allocation each.
type chunk struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

func (s *stream) take(c *chunk) error {
	if c.Model != s.version {
		return &Error{Op: "stream", Kind: ErrVersion, Err: fmt.Errorf("asked for %s, got %s", s.version, c.Model)}
	}
	if s.result.First == 0 {
		s.result.First = time.Since(s.start)
	}
	s.watch.extend(s.progress)
	if c.Usage != nil {
		s.result.Usage = *c.Usage
	}
	for _, h := range c.Choices {
		if h.Finish != nil {
			s.result.Finish = *h.Finish
		}
		if h.Delta.Content == "" {
			continue
		}
		s.result.Tokens++
		if err := s.text(h.Delta.Content); err != nil {
			return err
		}
	}
	return nil
}

// ended decides what the end of the body means: only a finish reason makes an answer whole.
func (s *stream) ended(err error) error {
	if s.result.Finish != "" {
		return nil
	}
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return &Error{Op: "stream", Kind: ErrTruncated, Err: err}
	}
	return s.watch.classify("stream", err)
}

func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) && len(long) < maxLine {
		line, err = r.ReadSlice('\n')
		long = append(long, line...)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(long, "\r\n"), nil
}

func statusError(op string, res *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBody))
	return &Error{Op: op, Kind: ErrStatus, Status: res.StatusCode, Err: fmt.Errorf("status %d: %s", res.StatusCode, bytes.TrimSpace(b))}
}

func report(h http.Header) Report {
	r := Report{Leaving: h.Get(HeaderLeaving) == "true"}
	if o, s, ok := strings.Cut(h.Get(HeaderLoad), "/"); ok {
		r.Outstanding, _ = strconv.Atoi(o)
		r.Slots, _ = strconv.Atoi(s)
	}
	r.Wait, r.Waits = parseWait(h.Get(HeaderWait))
	if v := h.Get(HeaderVersions); v != "" {
		r.Versions = strings.Split(v, ",")
	}
	return r
}

func parseWait(text string) (time.Duration, bool) {
	d, err := time.ParseDuration(text)
	return d, err == nil && d >= 0
}

// Report returns what the engine told in reply to a probe.
func (l Load) Report() Report {
	r := Report{Outstanding: l.Outstanding, Slots: l.Slots, Versions: l.Versions, Leaving: l.Leaving}
	r.Wait, r.Waits = parseWait(l.Wait)
	return r
}

// dialKind returns ErrRefused if no connection was made, and other if bytes may have been sent.
func dialKind(err error, other ErrorKind) ErrorKind {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return ErrRefused
	}
	return other
}

// watcher cancels a call that makes no progress.
type watcher struct {
	timer  *time.Timer
	cancel context.CancelFunc
	parent context.Context
	fired  atomic.Bool
}

func watch(ctx context.Context, d time.Duration) (context.Context, *watcher) {
	w := &watcher{parent: ctx}
	c, cancel := context.WithCancel(ctx)
	w.cancel = cancel
	w.timer = time.AfterFunc(d, func() {
		w.fired.Store(true)
		cancel()
	})
	return c, w
}

func (w *watcher) extend(d time.Duration) { w.timer.Reset(d) }

func (w *watcher) stop() {
	w.timer.Stop()
	w.cancel()
}

func (w *watcher) classify(op string, err error) error {
	switch {
	case w.parent.Err() != nil:
		return &Error{Op: op, Kind: ErrCancelled, Err: w.parent.Err()}
	case w.fired.Load():
		return &Error{Op: op, Kind: ErrSilent, Err: err}
	default:
		return &Error{Op: op, Kind: dialKind(err, ErrDied), Err: err}
	}
}
