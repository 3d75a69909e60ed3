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
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/forward"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
)

const (
	maxEventBytes     = 1 << 20 // of one event of a stream
	maxErrorBodyBytes = 4 << 10 // read from an error reply
	// maxExtraEvents are allowed beyond one for each token: the role, the finish reason and the usage have events of their own.
	maxExtraEvents = 16
	// maxIdleBytes is how much of a stream may bring no event. A keep-alive comment every second takes 3 bytes.
	maxIdleBytes = 64 << 10
	// lineCost is what a byte of the buffer for long lines takes: the decoder's buffer is up to twice as large as the line, its text is
	// decoded once and encoded once for the caller.
	lineCost           = 5
	maxProbeReplyBytes = 64 << 10
	maxVersions        = 256 // that an endpoint may report; they are kept for each endpoint
)

// Settings holds the timeouts and size limits of calls to endpoints.
type Settings struct {
	DialTimeout       time.Duration // timeout for establishing a connection
	FirstTokenTimeout time.Duration // timeout from sending a request to the first event of the stream
	ProgressTimeout   time.Duration // timeout between two events of a stream
	MaxReplyBytes     int64         // maximum size of a plain service's reply body, in bytes
	Propagator        Propagator    // propagates timeline stamps; nil for none

	// ReplyMemory is the budget of the replies that are held; nil for no limit.
	ReplyMemory *memory.Budget
}

// Propagator carries the stamps of the event timeline in the headers of requests and replies.
type Propagator interface {
	// InjectHeader adds a stamp to the headers of a message to be sent.
	InjectHeader(h http.Header)
	// ExtractHeader reads the stamp from the headers of a received message.
	ExtractHeader(h http.Header)
}

// noopPropagator is the Propagator of a client without a clock.
type noopPropagator struct{}

// InjectHeader does nothing.
func (noopPropagator) InjectHeader(http.Header) {}

// ExtractHeader does nothing.
func (noopPropagator) ExtractHeader(http.Header) {}

// Client sends requests to engines and plain services.
type Client struct {
	s      Settings
	pooled *http.Client // reuses connections, for requests that may be repeated
	fresh  *http.Client // opens a connection for each call, so that an unresponsive endpoint is detected
}

// NewClient returns a client with its own connection pool.
func NewClient(s Settings) *Client {
	if s.Propagator == nil {
		s.Propagator = noopPropagator{}
	}
	d := &net.Dialer{Timeout: s.DialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headConn{Conn: conn}, nil
	}
	pooled := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: 2 * maxHeaderBytes}
	fresh := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 2 * maxHeaderBytes}
	return &Client{s: s, pooled: newHTTPClient(pooled), fresh: newHTTPClient(fresh)}
}

// newHTTPClient returns a client that follows no redirects: an endpoint may not send a prompt on to another address.
func newHTTPClient(t *http.Transport) *http.Client {
	return &http.Client{Transport: forward.NewCheckedTransport(t), CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Report is the state that an endpoint reported in the headers of a reply.
type Report struct {
	ReceivedAt  time.Time // time at which the head of the reply arrived
	Outstanding int
	Slots       int // 0 if the endpoint reported no load
	Versions    []string
	HasWait     bool // whether the endpoint reported Wait
	Wait        time.Duration
	Leaving     bool
}

// Result summarises a streamed answer.
type Result struct {
	Finish           string
	Usage            Usage
	Report           Report
	Tokens           int           // number of events with text
	TimeToFirstToken time.Duration // time from sending the request to the first event
}

// Stream runs a chat request on an engine and calls onText for each piece of the answer.
// The result is valid also if the error is not nil. An error of onText ends the stream and is returned.
func (c *Client) Stream(ctx context.Context, a netip.AddrPort, id string, q ChatRequest, onText func(string) error) (Result, error) {
	return c.StreamWithReport(ctx, a, id, q, func(Report) {}, onText)
}

// StreamWithReport is like Stream and calls onReport as soon as the head of the reply has arrived, whatever its status. The answer
// may go on for minutes after that.
func (c *Client) StreamWithReport(ctx context.Context, a netip.AddrPort, id string, q ChatRequest, onReport func(Report), onText func(string) error) (Result, error) {
	q.Stream = true
	q.Options = &StreamOptions{IncludeUsage: true}
	b, err := json.Marshal(q)
	if err != nil {
		return Result{}, &Error{Op: "stream", Kind: ErrStatus, Err: err}
	}
	ctx, w := startWatchdog(ctx, c.s.FirstTokenTimeout)
	defer w.stop()
	var head headLimit
	req, err := http.NewRequestWithContext(head.context(ctx), http.MethodPost, "http://"+a.String()+"/v1/chat/completions", bytes.NewReader(b))
	if err != nil {
		return Result{}, &Error{Op: "stream", Kind: ErrRefused, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, id)
	c.s.Propagator.InjectHeader(req.Header)
	start := time.Now()
	res, err := c.pooled.Do(req)
	if err != nil {
		return Result{}, w.classify("stream", head.explain(err))
	}
	defer func() { _ = res.Body.Close() }()
	if err := checkOwner("stream", res, id); err != nil {
		return Result{}, err
	}
	s := streamReader{version: q.Model, maxTokens: q.MaxTokens, onText: onText, watchdog: w, progress: c.s.ProgressTimeout, start: start}
	if c.s.ReplyMemory != nil {
		s.reservation = c.s.ReplyMemory.NewReservation()
		defer s.reservation.Release()
	}
	s.result.Report = parseReport(res.Header)
	onReport(s.result.Report)
	c.s.Propagator.ExtractHeader(res.Header)
	if res.StatusCode != http.StatusOK {
		return s.result, statusError("stream", res)
	}
	err = s.read(ctx, bufio.NewReaderSize(res.Body, 4096))
	return s.result, err
}

// Probe asks an endpoint for its load on a new connection.
func (c *Client) Probe(ctx context.Context, a netip.AddrPort) (ProbeReply, error) {
	var head headLimit
	req, err := http.NewRequestWithContext(head.context(ctx), http.MethodGet, "http://"+a.String()+"/v1/load", nil)
	if err != nil {
		return ProbeReply{}, &Error{Op: "probe", Kind: ErrRefused, Err: err}
	}
	res, err := c.fresh.Do(req)
	if err != nil {
		return ProbeReply{}, &Error{Op: "probe", Kind: transportErrorKind(head.explain(err), ErrTimeout), Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return ProbeReply{}, statusError("probe", res)
	}
	var l ProbeReply
	if err := json.NewDecoder(io.LimitReader(res.Body, maxProbeReplyBytes)).Decode(&l); err != nil {
		return ProbeReply{}, &Error{Op: "probe", Kind: ErrTruncated, Err: err}
	}
	return l, nil
}

// SendCommand sends a command to an engine; an engine that checks fencing tokens may refuse it with status 409.
func (c *Client) SendCommand(ctx context.Context, a netip.AddrPort, cmd Command) error {
	b, err := json.Marshal(cmd)
	if err != nil {
		return &Error{Op: "order", Kind: ErrStatus, Err: err}
	}
	var head headLimit
	req, err := http.NewRequestWithContext(head.context(ctx), http.MethodPost, "http://"+a.String()+"/v1/orders", bytes.NewReader(b))
	if err != nil {
		return &Error{Op: "order", Kind: ErrRefused, Err: err}
	}
	res, err := c.fresh.Do(req)
	if err != nil {
		return &Error{Op: "order", Kind: transportErrorKind(head.explain(err), ErrConnectionLost), Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return statusError("order", res)
	}
	return nil
}

// streamReader reads the events of one streamed answer.
type streamReader struct {
	version   string
	maxTokens int // of the answer; 0 for no limit
	onText    func(string) error
	watchdog  *watchdog
	progress  time.Duration // timeout between two events
	start     time.Time     // of the request
	events    int
	idleBytes int // since the last event
	result    Result

	long        []byte              // the current line if it is longer than the buffer of the reader; reused
	reservation *memory.Reservation // for long lines; nil for no limit
}

func (s *streamReader) read(ctx context.Context, r *bufio.Reader) error {
	var c chunk
	d := newChunkDecoder()
	for {
		line, err := s.readLine(ctx, r)
		if err != nil {
			return s.endError(err)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			if s.idleBytes += len(line) + 1; s.idleBytes > maxIdleBytes {
				return &Error{Op: "stream", Kind: ErrEndless, Err: fmt.Errorf("%d bytes without an event", s.idleBytes)}
			}
			continue
		}
		s.idleBytes = 0
		if string(data) == DataDone {
			return s.endError(io.EOF)
		}
		c = chunk{} // decoding leaves fields alone that the chunk lacks
		if err := d.decode(data, &c); err != nil {
			return &Error{Op: "stream", Kind: ErrTruncated, Err: err}
		}
		if err := s.handleChunk(&c); err != nil {
			return err
		}
	}
}

// chunk holds the fields of a streamed Completion that the client uses. Decoding the others would cost an allocation each. Requests
// ask for one choice; more of them are ignored, as empty ones take eight times the memory of their text.
type chunk struct {
	Model   string `json:"model"`
	Choices [1]struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

func (s *streamReader) handleChunk(c *chunk) error {
	if c.Model != s.version {
		return &Error{Op: "stream", Kind: ErrWrongVersion, Err: fmt.Errorf("asked for %s, got %s", s.version, c.Model)}
	}
	if s.result.TimeToFirstToken == 0 {
		s.result.TimeToFirstToken = time.Since(s.start)
	}
	if s.events++; s.maxTokens > 0 && s.events > s.maxTokens+maxExtraEvents {
		return &Error{Op: "stream", Kind: ErrEndless, Err: fmt.Errorf("%d events, the answer may have %d tokens", s.events, s.maxTokens)}
	}
	s.watchdog.reset(s.progress)
	if c.Usage != nil {
		s.result.Usage = *c.Usage
	}
	choice := &c.Choices[0]
	if choice.Finish != nil {
		s.result.Finish = *choice.Finish
	}
	if choice.Delta.Content == "" {
		return nil
	}
	s.result.Tokens++
	return s.onText(choice.Delta.Content)
}

// endError returns the error for a body that ended with err, or nil if a finish reason has shown that the answer is complete.
func (s *streamReader) endError(err error) error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	if s.result.Finish != "" {
		return nil
	}
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return &Error{Op: "stream", Kind: ErrTruncated, Err: err}
	}
	return s.watchdog.classify("stream", err)
}

// readLine returns the next line without its end. The slice is valid until the next call.
func (s *streamReader) readLine(ctx context.Context, r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	s.long = s.long[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		if err := s.appendLong(ctx, line); err != nil {
			return nil, err
		}
		line, err = r.ReadSlice('\n')
	}
	if err != nil {
		return nil, err
	}
	if err := s.appendLong(ctx, line); err != nil {
		return nil, err
	}
	return bytes.TrimRight(s.long, "\r\n"), nil
}

// appendLong appends a part of a line to the buffer for long lines, and reserves memory before it grows.
func (s *streamReader) appendLong(ctx context.Context, part []byte) error {
	n := len(s.long) + len(part)
	if n > maxEventBytes {
		return &Error{Op: "stream", Kind: ErrEndless, Err: fmt.Errorf("a line exceeds %d bytes", maxEventBytes)}
	}
	if n > cap(s.long) {
		n = max(n, 2*cap(s.long))
		if s.reservation != nil {
			if err := growWait(ctx, s.reservation, int64(n-cap(s.long))*lineCost); err != nil {
				return &Error{Op: "stream", Kind: ErrNoMemory, Err: err}
			}
		}
		s.long = append(make([]byte, 0, n), s.long...)
	}
	s.long = append(s.long, part...)
	return nil
}

// checkOwner returns an error if a reply names another request. An endpoint may send a reply once more, and on a pooled connection
// the next request would receive it. Endpoints that do not repeat the identifier can't be checked.
func checkOwner(op string, res *http.Response, id string) error {
	if got := res.Header.Get(HeaderRequestID); got != "" && got != id {
		return &Error{Op: op, Kind: ErrWrongReply, Err: fmt.Errorf("reply to request %.64q", got)}
	}
	return nil
}

// statusError returns the error for a reply with an unexpected status.
func statusError(op string, res *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBodyBytes))
	return &Error{Op: op, Kind: ErrStatus, Status: res.StatusCode, Err: fmt.Errorf("status %d: %s", res.StatusCode, bytes.TrimSpace(b))}
}

// parseReport reads the state that an endpoint reported in a reply's headers.
func parseReport(h http.Header) Report {
	r := Report{ReceivedAt: time.Now(), Leaving: h.Get(HeaderLeaving) == "true"}
	if outstanding, slots, ok := strings.Cut(h.Get(HeaderLoad), "/"); ok {
		r.Outstanding, _ = strconv.Atoi(outstanding)
		r.Slots, _ = strconv.Atoi(slots)
	}
	r.Wait, r.HasWait = parseWaitHeader(h.Get(HeaderWait))
	if v := h.Get(HeaderVersions); v != "" {
		r.Versions = limitVersions(strings.SplitN(v, ",", maxVersions+1))
	}
	return r
}

// limitVersions returns the first maxVersions versions, without the memory of the others.
func limitVersions(l []string) []string {
	if len(l) <= maxVersions {
		return l
	}
	out := make([]string, 0, maxVersions)
	for _, v := range l[:maxVersions] {
		out = append(out, strings.Clone(v))
	}
	return out
}

// parseWaitHeader parses a waiting time and reports whether it is valid.
func parseWaitHeader(s string) (time.Duration, bool) {
	d, err := time.ParseDuration(s)
	return d, err == nil && d >= 0
}

// Report returns the endpoint's state as a Report that has just been received.
func (l ProbeReply) Report() Report {
	r := Report{ReceivedAt: time.Now(), Outstanding: l.Outstanding, Slots: l.Slots, Versions: limitVersions(l.Versions), Leaving: l.Leaving}
	r.Wait, r.HasWait = parseWaitHeader(l.Wait)
	return r
}

// transportErrorKind returns ErrRefused if no connection was established, and connected if bytes may have been sent. An error of
// the package keeps its kind.
func transportErrorKind(err error, connected ErrorKind) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return ErrRefused
	}
	return connected
}
