package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/memory"
)

const (
	maxStrayResponses = 4        // responses to other requests that are skipped before the connection is closed
	maxInlineWrite    = 8 << 10  // bytes of a request that is written before reading starts; they fit into any socket buffer
	longRequest       = 64 << 10 // bytes of a request that an endpoint may be slow to read; shorter ones fit into its socket buffer
	maxDrainBytes     = 64 << 10 // of a response body that is read only to reuse the connection
)

// Request is a request to an endpoint.
type Request struct {
	ID      string // identifier of the request; not unique, as a client may repeat a request
	Method  string
	Target  string // path and query as sent by the client
	Host    string
	Header  http.Header
	Body    []byte
	HasBody bool // send a Content-Length even if the body is empty
}

// Response is the response of an endpoint; the caller must call Close.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body, -1 if the response does not state it
	// Unframed states that only the end of the connection marks the end of the body, so that an endpoint that ends looks
	// like one that has sent everything.
	Unframed bool
	Body     io.Reader

	pool        *Pool
	conn        *conn
	http        *http.Response
	writeState  *writeState
	stopCancel  func() bool // stops closing the connection when the context ends; false if that has begun
	endRequest  func()      // ends the count of the request as active
	ctx         context.Context
	idleTimeout time.Duration // as stated by the endpoint, 0 if it states none
	reusable    bool
}

// Framing tells how the end of a body is marked; log entries contain its values.
type Framing string

// Ways to mark the end of a body.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection" // its end is the end of the body
)

// Framing returns how the end of the body is marked.
func (r *Response) Framing() Framing {
	switch {
	case r.Unframed:
		return FramedByConnection
	case r.Length < 0:
		return FramedByChunks
	}
	return FramedByLength
}

// writeState records whether all bytes of a request have been written.
type writeState struct {
	done  atomic.Bool
	ended chan struct{} // closed when the write has ended
}

// newWriteState returns the state of a write that has not ended.
func newWriteState() *writeState { return &writeState{ended: make(chan struct{})} }

// end records that the write has ended.
func (w *writeState) end(err error) {
	if err == nil {
		w.done.Store(true)
	}
	close(w.ended)
}

// wait waits up to d for the end of the write and reports whether all bytes have been written.
func (w *writeState) wait(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-w.ended:
	case <-t.C:
	}
	return w.done.Load()
}

// Send sends a request once and returns its response after reading the head. It skips responses for which isOwn returns
// false, as they belong to an earlier request on the connection. If forceNew is set, it opens a new connection. When ctx
// ends, the connection is closed.
func (p *Pool) Send(ctx context.Context, a netip.AddrPort, q Request, forceNew bool, isOwn func(http.Header) bool) (*Response, error) {
	endRequest := p.activities.get(a).beginRequest()
	c, err := p.acquire(ctx, a, q.ID, forceNew)
	if err != nil {
		endRequest()
		if ctx.Err() != nil {
			return nil, &Error{Op: "dial", Kind: ErrCancelled, Err: context.Cause(ctx)}
		}
		return nil, err
	}
	stopCancel := context.AfterFunc(ctx, c.discard)
	w := newWriteState()
	r, err := c.exchange(q, isOwn, w) //nolint:bodyclose // Response.Close closes the connection or releases it to the pool.
	if err != nil {
		endRequest()
		stopCancel()
		c.discard()
		if ctx.Err() != nil {
			return nil, &Error{Op: "send", Kind: ErrCancelled, Err: context.Cause(ctx)}
		}
		return nil, err
	}
	return &Response{
		Status: r.StatusCode, Header: r.Header, Length: r.ContentLength, Body: r.Body, Unframed: r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody,
		pool: p, conn: c, http: r, writeState: w, stopCancel: stopCancel, endRequest: endRequest, ctx: ctx, reusable: !r.Close,
	}, nil
}

// exchange writes a request and reads the head of its response.
func (c *conn) exchange(q Request, isOwn func(http.Header) bool, w *writeState) (*http.Response, error) {
	b := q.encode()
	c.write = w
	if len(b) > longRequest {
		// The user timeout also counts while the endpoint takes no more bytes, although its host confirms that it is there.
		if err := c.clearUserTimeout(); err != nil {
			return nil, &Error{Op: "write", Kind: c.failureKind(), Err: err}
		}
	}
	if len(b) <= maxInlineWrite {
		_, err := c.Write(b)
		w.end(err)
		if err != nil {
			return nil, &Error{Op: "write", Kind: c.failureKind(), Err: err}
		}
	} else {
		// An endpoint may respond before it has read a long body, so reading does not wait for the write.
		go func() {
			_, err := c.Write(b)
			w.end(err)
		}()
	}
	received := false
	c.beginHead()
	for strays := 0; strays < maxStrayResponses; {
		if _, err := c.reader.Peek(1); err != nil {
			if received {
				return nil, &Error{Op: "read", Kind: ErrNoResponse, Err: err}
			}
			return nil, &Error{Op: "read", Kind: c.failureKind(), Err: err}
		}
		received = true
		r, err := c.readHead(q.Method)
		switch {
		case err != nil:
			return nil, err
		case CheckHead(r) != nil:
			return nil, CheckHead(r)
		case countLines(r.Header) > maxHeadLines:
			return nil, &Error{Op: "read head", Kind: ErrBadResponse, Err: fmt.Errorf("response head exceeds %d lines", maxHeadLines)}
		case r.StatusCode < http.StatusOK:
			continue // interim responses count towards the size of the head
		case isOwn(r.Header):
			c.headLeft = -1
			return r, nil
		}
		strays++
		c.headLeft = -1
		if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDrainBytes)); err != nil || n == maxDrainBytes || r.Close {
			return nil, &Error{Op: "skip", Kind: ErrBadResponse, Err: errors.Join(err, fmt.Errorf("response belongs to another request"))}
		}
		c.beginHead()
	}
	return nil, &Error{Op: "read", Kind: ErrBadResponse, Err: fmt.Errorf("%d responses belong to other requests", maxStrayResponses)}
}

// failureKind returns the kind of an error that occurred before the first byte of a response.
func (c *conn) failureKind() ErrorKind {
	if c.reused {
		return ErrStale
	}
	return ErrNoResponse
}

// encode returns the request in HTTP/1.1 format.
func (q Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(q.Body))
	b.WriteString(q.Method)
	b.WriteByte(' ')
	b.WriteString(q.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(q.Host)
	b.WriteString("\r\n")
	for k, l := range q.Header {
		for _, v := range l {
			b.WriteString(k)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if q.HasBody || len(q.Body) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(q.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	return b.Bytes()
}

// SetIdleTimeout sets for how long the endpoint keeps the idle connection open after this response.
func (r *Response) SetIdleTimeout(d time.Duration) { r.idleTimeout = d }

// DisableReuse makes Close close the connection instead of keeping it for reuse.
func (r *Response) DisableReuse() { r.reusable = false }

// SetReadDeadline sets the end of the wait for the next bytes of the response. A zero time means no limit.
func (r *Response) SetReadDeadline(deadline time.Time) error {
	if err := r.conn.waitUntil(deadline); err != nil {
		return &Error{Op: "deadline", Kind: ErrTruncated, Err: err}
	}
	return nil
}

// HasUnread reports whether bytes of the response, or its end, have arrived that were not read yet.
func (r *Response) HasUnread() bool { return !IsIdle(r.conn.Conn) }

// HasBytes reports whether bytes of the response have arrived that were not read yet.
func (r *Response) HasBytes() bool { return hasBytes(r.conn.Conn) }

// SetTimeoutHandler sets the function that is called when a wait for bytes has ended, with the delay of the timer.
// The function returns how much longer to wait, or 0 to give up.
func (r *Response) SetTimeoutHandler(f func(delay time.Duration) time.Duration) { r.conn.onTimeout = f }

// ReadAll returns the whole body, or an error if it ends early, exceeds the limit in bytes or reserve fails. It calls
// reserve before its buffer grows by n bytes.
func (r *Response) ReadAll(limit int64, reserve func(n int64) error) ([]byte, error) {
	if r.Length > limit {
		return nil, &Error{Op: "read body", Kind: ErrTruncated, Err: fmt.Errorf("body of %d bytes exceeds the limit of %d bytes", r.Length, limit)}
	}
	b, err := memory.ReadAll(r.Body, limit, reserve)
	if err != nil {
		return nil, r.WrapReadError("read body", err)
	}
	return b, nil
}

// Drain reads and discards the rest of a short body and reports whether it reached the end within the timeout.
func (r *Response) Drain(timeout time.Duration) bool {
	if err := r.conn.waitUntil(time.Now().Add(timeout)); err != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDrainBytes))
	return err == nil && n < maxDrainBytes
}

// WrapReadError wraps an error that occurred while reading the body; it has the kind ErrCancelled if the context has ended.
func (r *Response) WrapReadError(op string, err error) error {
	k := ErrTruncated
	if r.ctx.Err() != nil {
		k, err = ErrCancelled, context.Cause(r.ctx)
	}
	return &Error{Op: op, Kind: k, Err: err}
}

// IsTimeout reports whether a read failed because the deadline set by SetReadDeadline has passed.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Close releases the connection to the pool if the response was read to the end, and closes it otherwise, which cancels
// the request at the endpoint.
func (r *Response) Close(complete bool) {
	active := r.stopCancel()
	r.endRequest()
	r.conn.onTimeout = nil
	if !complete || !active || !r.reusable || !r.writeState.done.Load() {
		r.conn.discard()
		return
	}
	r.pool.release(r.conn, r.idleTimeout)
}
