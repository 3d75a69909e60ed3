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

// Retries configures how a Caller retries a request when the error reply says that a retry is safe.
type Retries struct {
	Tries uint          // maximum number of attempts, the first included; 0 means 1
	Wait  time.Duration // delay before the second attempt; it grows exponentially, and the server's Retry-After takes precedence
}

// DefaultRetries returns settings for interactive use: 4 attempts, the second after about 100 ms.
func DefaultRetries() Retries { return Retries{Tries: 4, Wait: 100 * time.Millisecond} }

// Caller is a client of the callers' API for one session; it is safe for concurrent use.
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

// Session returns the session token of the last reply, or the empty string before the first one.
func (c *Caller) Session() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session
}

// SetSession sets the session token for later requests; SessionNew starts a session with the next request.
func (c *Caller) SetSession(token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = token
}

// Chat sends a request and returns the complete answer.
func (c *Caller) Chat(ctx context.Context, q ChatRequest) (ChatReply, error) {
	const op = "chat"
	q.Stream = false
	var r ChatReply
	body, err := json.Marshal(q)
	if err != nil {
		return r, transportError(op, 0, err)
	}
	res, err := c.send(ctx, op, http.MethodPost, chatPath, body)
	if err != nil {
		return r, err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := readReply(res.Body)
	if err == nil {
		err = json.Unmarshal(b, &r)
	}
	if err != nil {
		return ChatReply{}, transportError(op, res.StatusCode, err)
	}
	return r, nil
}

// Service sends a request to a plain service; subpath is the path below the service and the query. The caller closes the
// body of the response.
func (c *Caller) Service(ctx context.Context, method, service, subpath string, body []byte) (*http.Response, error) {
	return c.send(ctx, "service call", method, apiPath("services", service)+"/"+strings.TrimPrefix(subpath, "/"), body)
}

const chatPath = "/v1/chat/completions"

// send sends a request with a new idempotency key, and retries it with the same key where that is safe.
func (c *Caller) send(ctx context.Context, op, method, path string, body []byte) (*http.Response, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, transportError(op, 0, err)
	}
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = c.retries.Wait
	res, err := backoff.Retry(ctx, func() (*http.Response, error) {
		return c.sendOnce(ctx, op, method, path, id.String(), body)
	}, backoff.WithBackOff(delay), backoff.WithMaxTries(max(c.retries.Tries, 1)))
	var e *Error
	switch {
	case err == nil:
		return res, nil
	case errors.As(err, &e):
		return nil, e
	default:
		return nil, transportError(op, 0, err)
	}
}

// sendOnce makes one attempt; errors other than those that are safe to retry are permanent.
func (c *Caller) sendOnce(ctx context.Context, op, method, path, id string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, backoff.Permanent(transportError(op, 0, err))
	}
	// http.Transport retries a request with an Idempotency-Key and GetBody when a connection breaks. Only the "retry" field
	// of a reply may allow a retry.
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
		return nil, backoff.Permanent(transportError(op, 0, err))
	}
	if s := res.Header.Get(HeaderSession); s != "" {
		c.SetSession(s)
	}
	if res.StatusCode >= http.StatusOK && res.StatusCode < http.StatusMultipleChoices {
		return res, nil
	}
	defer func() { _ = res.Body.Close() }()
	b, err := readReply(res.Body)
	if err != nil {
		return nil, backoff.Permanent(transportError(op, res.StatusCode, err))
	}
	return nil, c.classifyError(replyError(op, res.StatusCode, b), res.Header.Get("Retry-After"))
}

// classifyError marks errors as permanent unless the reply allows a retry, and adds the server's Retry-After.
func (c *Caller) classifyError(err error, retryAfter string) error {
	var e *Error
	if !errors.As(err, &e) || e.Retry != RetrySafe {
		return backoff.Permanent(err)
	}
	if n, convErr := strconv.Atoi(retryAfter); convErr == nil && n > 0 {
		return &retryAfterError{error: err, after: backoff.RetryAfter(n)}
	}
	return err
}

// retryAfterError is an error reply with a Retry-After header; errors.As finds both the reply and the delay.
type retryAfterError struct {
	error
	after error
}

func (r *retryAfterError) Unwrap() []error { return []error{r.error, r.after} }

// incompleteError returns the error for an answer that was received in part.
func incompleteError(op string, err error) *Error {
	if err == nil || errors.Is(err, io.EOF) {
		err = fmt.Errorf("stream ended before the answer was complete: %w", io.ErrUnexpectedEOF)
	}
	d := ErrorDetail{Code: CodeIncomplete, Message: err.Error(), Retry: RetryUnsafe}
	return &Error{Op: op, Status: http.StatusOK, ErrorDetail: d, Err: err}
}
