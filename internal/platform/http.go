package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/memory"
)

const (
	maxReplyBytes      = 64 << 20 // of a page of records or the list of instances
	maxSmallReplyBytes = 16 << 10 // of all other replies, which hold one number, and of errors
	// smallerPage divides the number of records that a read asks for when there is no memory for a page.
	smallerPage = 8
	// maxRecordReplyBytes is the maximum size of a page of one record, which may have 4 MiB before its encoding.
	maxRecordReplyBytes = 8 << 20
)

// Client is a client of the platform's services. It sends JSON over Client.
type Client struct {
	base    string
	client  *http.Client
	timeout time.Duration // of a call, in addition to the wait of a read
	memory  *memory.Budget
	single  chan struct{} // holds an element while a page of one record is read without the budget
}

// NewClient returns a client of the services at the base URL. The timeout applies to each call; a read gets its wait in
// addition.
func NewClient(base string, client *http.Client, timeout time.Duration) *Client {
	return &Client{base: base, client: client, timeout: timeout, single: make(chan struct{}, 1)}
}

// LimitMemory sets the budget of the pages and lists that are read at a time; without one they are bounded one by one.
func (c *Client) LimitMemory(b *memory.Budget) { c.memory = b }

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
// wait has passed. If there is no memory for them, it asks for fewer.
func (c *Client) Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error) {
	for c.memory != nil {
		p, err := c.read(ctx, stream, from, limit, wait, c.memory, maxReplyBytes)
		var m *memory.Error
		if !errors.As(err, &m) {
			return p, err
		}
		if limit <= 1 {
			return c.readSingle(ctx, stream, from, err)
		}
		limit = max(1, limit/smallerPage)
	}
	return c.read(ctx, stream, from, limit, wait, nil, maxReplyBytes)
}

// readSingle reads one record outside the budget, so that a reader gets past its next record whatever others hold. It returns err if
// others do so for too long.
func (c *Client) readSingle(ctx context.Context, stream string, from Offset, err error) (Page, error) {
	t := time.NewTimer(c.timeout)
	defer t.Stop()
	select {
	case c.single <- struct{}{}:
	case <-t.C:
		return Page{}, err
	case <-ctx.Done():
		return Page{}, err
	}
	defer func() { <-c.single }()
	return c.read(ctx, stream, from, 1, 0, nil, maxRecordReplyBytes)
}

// read makes one call of Read, whose reply has at most maxBytes.
func (c *Client) read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration, b *memory.Budget, maxBytes int64) (Page, error) {
	q := url.Values{
		"from":  {strconv.FormatUint(uint64(from), 10)},
		"limit": {strconv.Itoa(limit)},
		"wait":  {wait.String()},
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	var p Page
	err := c.roundTrip(ctx, "read", http.MethodGet, "/v1/streams/"+url.PathEscape(stream)+"?"+q.Encode(), nil, b, maxBytes, &p)
	if err != nil {
		return Page{}, err
	}
	if p.Era > 0 && p.EraStart.IsZero() {
		p.EraStart = p.Now
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
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var l []Instance
	err := c.roundTrip(ctx, "instances", http.MethodGet, "/v1/instances", nil, c.memory, maxReplyBytes, &l)
	return l, err
}

// call sends a request with the client's timeout and decodes the reply, which must be small.
func (c *Client) call(ctx context.Context, op, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.roundTrip(ctx, op, method, path, body, nil, maxSmallReplyBytes, out)
}

// roundTrip sends a request and decodes the JSON of its reply, of at most limit bytes, into out. The reply takes its memory from the
// budget if that is not nil.
func (c *Client) roundTrip(ctx context.Context, op, method, path string, body []byte, budget *memory.Budget, limit int64, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Op: op, Kind: ErrProtocol, Err: err}
	}
	res, err := c.client.Do(req)
	if err != nil {
		return &Error{Op: op, Kind: ErrUnavailable, Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(res.Body, maxSmallReplyBytes))
		return &Error{Op: op, Kind: ErrUnavailable, Err: fmt.Errorf("status %d: %.200s", res.StatusCode, b)}
	}
	reserve := func(int64) error { return nil }
	if budget != nil {
		r := budget.NewReservation()
		defer r.Release()
		reserve = r.Grow
	}
	b, err := memory.ReadAll(res.Body, limit, reserve)
	if err == nil {
		decoded := decodedSize(b)
		if err = reserve(decoded); budget == nil && decoded > max(limit, 1<<20) {
			err = fmt.Errorf("the decoded reply takes %d bytes", decoded)
		}
	}
	if err != nil {
		return &Error{Op: op, Kind: ErrUnavailable, Err: err}
	}
	if err := json.Unmarshal(b, out); err != nil {
		return &Error{Op: op, Kind: ErrProtocol, Err: err}
	}
	return nil
}
