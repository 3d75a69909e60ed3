package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// maxReply bounds the size of a reply from the platform, in bytes.
const maxReply = 64 << 20

// HTTP is a client of the platform's services over HTTP and JSON.
type HTTP struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

// NewHTTP returns a client of the services at the base URL; timeout bounds each call, beyond the wait of a read.
func NewHTTP(base string, client *http.Client, timeout time.Duration) *HTTP {
	return &HTTP{base: base, client: client, timeout: timeout}
}

// AppendReply is the log's reply to an append.
type AppendReply struct {
	Offset Offset `json:"offset"`
}

// RateReply is the rating service's reply.
type RateReply struct {
	Score float64 `json:"score"`
}

// ReserveReply is the weight store's reply; Wait is in nanoseconds.
type ReserveReply struct {
	Wait time.Duration `json:"wait"`
}

// Append adds a record to a stream and returns its offset.
func (h *HTTP) Append(ctx context.Context, stream string, data []byte) (Offset, error) {
	var r AppendReply
	err := h.do(ctx, "append", http.MethodPost, "/v1/streams/"+url.PathEscape(stream), data, &r)
	return r.Offset, err
}

// Read returns records from an offset on; it waits up to wait for the first one.
func (h *HTTP) Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error) {
	q := url.Values{
		"from":  {strconv.FormatUint(uint64(from), 10)},
		"limit": {strconv.Itoa(limit)},
		"wait":  {wait.String()},
	}
	x, cancel := context.WithTimeout(ctx, h.timeout+wait)
	defer cancel()
	var p Page
	err := h.send(x, "read", http.MethodGet, "/v1/streams/"+url.PathEscape(stream)+"?"+q.Encode(), nil, &p)
	if err != nil {
		return Page{}, err
	}
	if from < p.First {
		return p, &Error{Op: "read", Kind: ErrTrimmed, Err: fmt.Errorf("offset %d of %s, oldest is %d", from, stream, p.First)}
	}
	return p, nil
}

// Rate returns the score of an answer, from 0 to 1.
func (h *HTTP) Rate(ctx context.Context, a Answer) (float64, error) {
	b, err := json.Marshal(a)
	if err != nil {
		return 0, &Error{Op: "rate", Kind: ErrProtocol, Err: err}
	}
	var r RateReply
	err = h.do(ctx, "rate", http.MethodPost, "/v1/ratings", b, &r)
	return r.Score, err
}

// Reserve asks the weight store for a load slot and returns the time until it starts.
func (h *HTTP) Reserve(ctx context.Context, version string) (time.Duration, error) {
	var r ReserveReply
	err := h.do(ctx, "reserve", http.MethodPost, "/v1/weights/"+url.PathEscape(version), nil, &r)
	return r.Wait, err
}

// Instances returns the platform's list of instances.
func (h *HTTP) Instances(ctx context.Context) ([]Instance, error) {
	var l []Instance
	err := h.do(ctx, "instances", http.MethodGet, "/v1/instances", nil, &l)
	return l, err
}

func (h *HTTP) do(ctx context.Context, op, method, path string, body []byte, out any) error {
	x, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	return h.send(x, op, method, path, body, out)
}

func (h *HTTP) send(ctx context.Context, op, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Op: op, Kind: ErrProtocol, Err: err}
	}
	res, err := h.client.Do(req)
	if err != nil {
		return &Error{Op: op, Kind: ErrUnavailable, Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil {
		return &Error{Op: op, Kind: ErrUnavailable, Err: err}
	}
	if res.StatusCode != http.StatusOK {
		return &Error{Op: op, Kind: ErrUnavailable, Err: fmt.Errorf("status %d: %.200s", res.StatusCode, b)}
	}
	if err := json.Unmarshal(b, out); err != nil {
		return &Error{Op: op, Kind: ErrProtocol, Err: err}
	}
	return nil
}
