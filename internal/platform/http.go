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

// maxReplyBytes is the maximum size of a reply from the platform; a longer one can't be decoded.
const maxReplyBytes = 64 << 20

// Client is a client of the platform's services. It sends JSON over Client.
type Client struct {
	base    string
	client  *http.Client
	timeout time.Duration // of a call, in addition to the wait of a read
}

// NewClient returns a client of the services at the base URL. The timeout applies to each call; a read gets its wait in
// addition.
func NewClient(base string, client *http.Client, timeout time.Duration) *Client {
	return &Client{base: base, client: client, timeout: timeout}
}

// AppendReply is the log's reply to an append; it holds the offset of the new record.
type AppendReply struct {
	Offset Offset `json:"offset"`
}

// RatingReply is the rating service's reply; it holds the score of the answer, from 0 to 1.
type RatingReply struct {
	Score float64 `json:"score"`
}

// ReserveReply is the weight store's reply to a reservation.
type ReserveReply struct {
	Wait time.Duration `json:"wait"` // until the load may start, in nanoseconds
}

// Append appends a record to a stream and returns its offset.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (Offset, error) {
	var r AppendReply
	err := c.call(ctx, "append", http.MethodPost, "/v1/streams/"+url.PathEscape(stream), data, &r)
	return r.Offset, err
}

// Read returns up to limit records of a stream, starting at an offset. If there are none, the log waits for one until
// wait has passed.
func (c *Client) Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error) {
	q := url.Values{
		"from":  {strconv.FormatUint(uint64(from), 10)},
		"limit": {strconv.Itoa(limit)},
		"wait":  {wait.String()},
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	var p Page
	err := c.roundTrip(ctx, "read", http.MethodGet, "/v1/streams/"+url.PathEscape(stream)+"?"+q.Encode(), nil, &p)
	if err != nil {
		return Page{}, err
	}
	if from < p.Oldest {
		return p, &Error{Op: "read", Kind: ErrTrimmed, Err: fmt.Errorf("offset %d of %s, oldest is %d", from, stream, p.Oldest)}
	}
	return p, nil
}

// Rate returns the score of an answer, from 0 to 1.
func (c *Client) Rate(ctx context.Context, a RatingRequest) (float64, error) {
	b, err := json.Marshal(a)
	if err != nil {
		return 0, &Error{Op: "rate", Kind: ErrProtocol, Err: err}
	}
	var r RatingReply
	err = c.call(ctx, "rate", http.MethodPost, "/v1/ratings", b, &r)
	return r.Score, err
}

// Reserve reserves a slot for loading the weights of a version and returns how long to wait before the load may start.
func (c *Client) Reserve(ctx context.Context, version string) (time.Duration, error) {
	var r ReserveReply
	err := c.call(ctx, "reserve", http.MethodPost, "/v1/weights/"+url.PathEscape(version), nil, &r)
	return r.Wait, err
}

// Instances returns the platform's list of live and leaving instances.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var l []Instance
	err := c.call(ctx, "instances", http.MethodGet, "/v1/instances", nil, &l)
	return l, err
}

// call sends a request with the client's timeout and decodes the reply.
func (c *Client) call(ctx context.Context, op, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.roundTrip(ctx, op, method, path, body, out)
}

// roundTrip sends a request and decodes the JSON of its reply into out.
func (c *Client) roundTrip(ctx context.Context, op, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Op: op, Kind: ErrProtocol, Err: err}
	}
	res, err := c.client.Do(req)
	if err != nil {
		return &Error{Op: op, Kind: ErrUnavailable, Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
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
