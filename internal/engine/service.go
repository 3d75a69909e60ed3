package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/forward"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
)

// maxMemoryWait is how long a reply waits for memory that others hold, as long as the body of a caller does.
const maxMemoryWait = 250 * time.Millisecond

// ServiceCall is a request to a plain service.
type ServiceCall struct {
	Method       string
	Path         string // including the query
	Header       http.Header
	Body         []byte
	Key          string // idempotency key; empty for none
	ID           string // request ID
	FencingToken string // fencing token; empty for none
}

// ServiceReply is a plain service's reply. It must be released when its body is not used any more.
type ServiceReply struct {
	Status int
	Header http.Header
	Body   []byte
	Report Report

	reservation *memory.Reservation
}

// Release releases the memory of the reply.
func (r ServiceReply) Release() {
	if r.reservation != nil {
		r.reservation.Release()
	}
}

// CallService makes a call that may be repeated. ErrRefused means that nothing was sent.
func (c *Client) CallService(ctx context.Context, a netip.AddrPort, call ServiceCall, timeout time.Duration) (ServiceReply, error) {
	return c.callService(ctx, c.pooled, a, call, timeout)
}

// SingleUseConn is a connection for a single call that must not be repeated.
type SingleUseConn struct {
	c       *Client
	address netip.AddrPort
	conn    net.Conn
}

// Connect opens a connection and sends nothing on it. Its errors are always of the kind ErrRefused.
func (c *Client) Connect(ctx context.Context, a netip.AddrPort) (*SingleUseConn, error) {
	d := net.Dialer{Timeout: c.s.DialTimeout}
	conn, err := d.DialContext(ctx, "tcp", a.String())
	if err != nil {
		return nil, &Error{Op: "connect", Kind: ErrRefused, Err: err}
	}
	return &SingleUseConn{c: c, address: a, conn: &headConn{Conn: conn}}, nil
}

// Close closes a connection that was not used for a call.
func (s *SingleUseConn) Close() { _ = s.conn.Close() }

// Call makes the only call on the connection. If it returns an error, the service may have run the call.
func (s *SingleUseConn) Call(ctx context.Context, call ServiceCall, timeout time.Duration) (ServiceReply, error) {
	conns := make(chan net.Conn, 1)
	conns <- s.conn
	// If a connection fails, net/http repeats a request with an Idempotency-Key on another one.
	// The transport has a single connection, so that it can't.
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 2 * maxHeaderBytes, DialContext: func(context.Context, string, string) (net.Conn, error) {
		select {
		case conn := <-conns:
			return conn, nil
		default:
			return nil, errConnUsed
		}
	}}
	defer t.CloseIdleConnections()
	r, err := s.c.callService(ctx, newHTTPClient(t), s.address, call, timeout)
	var e *Error
	if errors.As(err, &e) && e.Kind == ErrRefused {
		e.Kind = ErrConnectionLost
	}
	return r, err
}

var errConnUsed = errors.New("the connection was used")

// callService makes a call with the given client.
func (c *Client) callService(ctx context.Context, h *http.Client, a netip.AddrPort, call ServiceCall, timeout time.Duration) (ServiceReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var head headLimit
	req, err := newServiceRequest(head.context(callCtx), a, call)
	if err != nil {
		return ServiceReply{}, &Error{Op: "service", Kind: ErrRefused, Err: err}
	}
	c.s.Propagator.InjectHeader(req.Header)
	res, err := h.Do(req)
	if err != nil {
		return ServiceReply{}, classifyServiceError(ctx, callCtx, head.explain(err))
	}
	defer func() { _ = res.Body.Close() }()
	if err := checkOwner("service", res, call.ID); err != nil {
		return ServiceReply{}, err
	}
	out := ServiceReply{Status: res.StatusCode, Header: res.Header, Report: parseReport(res.Header)}
	c.s.Propagator.ExtractHeader(res.Header)
	if err := c.readBody(callCtx, a, &out, res); err != nil {
		out.Release()
		return ServiceReply{}, classifyServiceError(ctx, callCtx, err)
	}
	return out, nil
}

// readBody reads the body of a reply. A body that states a length above the limit is not read.
func (c *Client) readBody(ctx context.Context, a netip.AddrPort, r *ServiceReply, res *http.Response) error {
	if res.ContentLength > c.s.MaxReplyBytes && res.Body != http.NoBody { // a reply to HEAD has none
		return &Error{Op: "service", Kind: ErrTooLarge, Err: fmt.Errorf("reply of %d bytes, the limit is %d", res.ContentLength, c.s.MaxReplyBytes)}
	}
	reserve := func(int64) error { return nil }
	if c.s.ReplyMemory != nil {
		r.reservation = c.s.ReplyMemory.NewReservation()
		reserve = func(n int64) error { return growWait(ctx, r.reservation, n) }
	}
	var err error
	r.Body, err = memory.ReadAll(res.Body, c.s.MaxReplyBytes, reserve)
	var m *memory.Error
	switch {
	case errors.As(err, &m) && m.Kind == memory.ErrTooLarge:
		return &Error{Op: "service", Kind: ErrTooLarge, Err: err}
	case errors.As(err, &m):
		return &Error{Op: "service", Kind: ErrNoMemory, Err: err}
	case err == nil && len(r.Body) == 0 && endsWithConnection(res):
		return &Error{Op: "service", Kind: ErrConnectionLost, Err: errors.New("the connection ended before the first byte of a body without a length")}
	case err == nil && endsWithConnection(res):
		return c.confirmEnd(ctx, a)
	}
	return err
}

// confirmEnd returns an error unless an endpoint runs, as the connections of a process that is killed end like those of one that has sent
// everything.
func (c *Client) confirmEnd(ctx context.Context, a netip.AddrPort) error {
	err := forward.Dialer{Timeout: c.s.DialTimeout}.CheckRunning(ctx, a)
	if err == nil || ctx.Err() != nil {
		return err // the caller tells why the context has ended
	}
	return &Error{Op: "confirm end", Kind: ErrConnectionLost, Err: err}
}

// growWait reserves n more bytes and waits a little for room.
func growWait(ctx context.Context, r *memory.Reservation, n int64) error {
	ctx, cancel := context.WithTimeout(ctx, maxMemoryWait)
	defer cancel()
	return r.GrowWait(ctx, n)
}

// endsWithConnection reports whether only the end of the connection marks the end of a reply's body.
func endsWithConnection(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && !res.Uncompressed && res.Body != http.NoBody
}

// newServiceRequest returns the HTTP request of a call. Of the caller's headers, it passes on only those that describe
// bodies.
func newServiceRequest(ctx context.Context, a netip.AddrPort, call ServiceCall) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+a.String()+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	for _, name := range []string{"Content-Type", "Accept"} {
		if v := call.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set(HeaderRequestID, call.ID)
	if call.Key != "" {
		req.Header.Set(HeaderIdempotencyKey, call.Key)
	}
	if call.FencingToken != "" {
		req.Header.Set(HeaderFencingToken, call.FencingToken)
	}
	return req, nil
}

// classifyServiceError returns the error of a call that was cancelled, timed out or lost its connection.
func classifyServiceError(callerCtx, callCtx context.Context, err error) error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	kind := transportErrorKind(err, ErrConnectionLost)
	switch {
	case kind == ErrRefused:
	case callerCtx.Err() != nil:
		kind = ErrCancelled
	case callCtx.Err() != nil:
		kind = ErrTimeout
	}
	return &Error{Op: "service", Kind: kind, Err: err}
}
