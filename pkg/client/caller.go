package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
)

// Retries bounds how a Caller repeats a request whose refusal says that this is safe.
type Retries struct {
	Tries uint          // in all; 0 counts as 1
	Wait  time.Duration // before the second try; later waits grow, and the server's Retry-After takes precedence
}

// DefaultRetries suits a caller that waits for its answer.
func DefaultRetries() Retries { return Retries{Tries: 4, Wait: 100 * time.Millisecond} }

// Caller calls the callers' API for one session; it is safe for concurrent use.
type Caller struct {
	base    string
	key     string
	http    *http.Client
	retries Retries

	mu      sync.Mutex
	session string
}

// NewCaller returns a client for the API at the base URL; key is the organisation's API key.
func NewCaller(base, key string, c *http.Client, r Retries) *Caller {
	return &Caller{base: strings.TrimSuffix(base, "/"), key: key, http: c, retries: r}
}

// Session returns the session token of the last answer, empty before the first one.
func (c *Caller) Session() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session
}

// SetSession continues a session from a token; SessionNew starts one with the next request.
func (c *Caller) SetSession(token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = token
}

// Chat returns the whole answer to a request.
func (c *Caller) Chat(ctx context.Context, q ChatRequest) (ChatReply, error) {
	const op = "chat"
	q.Stream = false
	var r ChatReply
	body, err := json.Marshal(q)
	if err != nil {
		return r, unknown(op, 0, err)
	}
	res, err := c.send(ctx, op, http.MethodPost, chatPath, body)
	if err != nil {
		return r, err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := readAll(res.Body)
	if err == nil {
		err = json.Unmarshal(b, &r)
	}
	if err != nil {
		return ChatReply{}, unknown(op, res.StatusCode, err)
	}
	return r, nil
}

// Service calls a plain service; path and query follow its name. The caller closes the reply's body.
func (c *Caller) Service(ctx context.Context, method, service, rest string, body []byte) (*http.Response, error) {
	return c.send(ctx, "service call", method, path("services", service)+"/"+strings.TrimPrefix(rest, "/"), body)
}

const chatPath = "/v1/chat/completions"

// send makes one request under one new key, however often it has to be sent.
func (c *Caller) send(ctx context.Context, op, method, path string, body []byte) (*http.Response, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, unknown(op, 0, err)
	}
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = c.retries.Wait
	res, err := backoff.Retry(ctx, func() (*http.Response, error) {
		return c.try(ctx, op, method, path, id.String(), body)
	}, backoff.WithBackOff(wait), backoff.WithMaxTries(max(c.retries.Tries, 1)))
	var e *Error
	switch {
	case err == nil:
		return res, nil
	case errors.As(err, &e):
		return nil, e
	default:
		return nil, unknown(op, 0, err)
	}
}

func (c *Caller) try(ctx context.Context, op, method, path, id string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, backoff.Permanent(unknown(op, 0, err))
	}
	// With GetBody the transport would send a request with HeaderIdempotencyKey again on its own when a connection
	// breaks. Only the "retry" of a reply may decide on that.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set(HeaderIdempotencyKey, id)
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if s := c.Session(); s != "" {
		req.Header.Set(HeaderSession, s)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, backoff.Permanent(unknown(op, 0, err))
	}
	if s := res.Header.Get(HeaderSession); s != "" {
		c.SetSession(s)
	}
	if res.StatusCode < http.StatusMultipleChoices {
		return res, nil
	}
	defer func() { _ = res.Body.Close() }()
	b, err := readAll(res.Body)
	if err != nil {
		return nil, backoff.Permanent(unknown(op, res.StatusCode, err))
	}
	return nil, c.judge(refusal(op, res.StatusCode, b), res.Header.Get("Retry-After"))
}

// judge marks the errors that must not be followed by another try.
func (c *Caller) judge(err error, after string) error {
	var e *Error
	if !errors.As(err, &e) || e.Retry != RetrySafe {
		return backoff.Permanent(err)
	}
	if n, convErr := strconv.Atoi(after); convErr == nil && n > 0 {
		return &waiting{error: err, after: backoff.RetryAfter(n)}
	}
	return err
}

// waiting is a refusal after which the server asks for a pause; both causes stay visible to errors.As.
type waiting struct {
	error
	after error
}

func (w *waiting) Unwrap() []error { return []error{w.error, w.after} }

// incomplete describes an answer of which only a part arrived.
func incomplete(op string, err error) *Error {
	if err == nil || errors.Is(err, io.EOF) {
		err = fmt.Errorf("the stream ended before the answer: %w", io.ErrUnexpectedEOF)
	}
	d := ErrorDetail{Code: CodeIncomplete, Message: err.Error(), Retry: RetryUnsafe}
	return &Error{Op: op, Status: http.StatusOK, ErrorDetail: d, Err: err}
}
