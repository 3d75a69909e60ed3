package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Method string
	Path   string // with the query
	Header http.Header
	Body   []byte
	Key    string
	ID     string
	Fence  string
}

// ServiceReply is a plain service's reply.
type ServiceReply struct {
	Status int
	Header http.Header
	Body   []byte
	Report Report
}

// Service makes a call that may be repeated; ErrRefused means that nothing was sent.
func (c *Client) Service(ctx context.Context, a netip.AddrPort, q ServiceCall, timeout time.Duration) (ServiceReply, error) {
	return c.service(ctx, c.pooled.Transport, a, q, timeout)
}

// Line is a connection for one call that must not be repeated.
type Line struct {
	c       *Client
	address netip.AddrPort
	conn    net.Conn
}

// Connect opens a connection without sending anything on it; its error is always ErrRefused.
func (c *Client) Connect(ctx context.Context, a netip.AddrPort) (*Line, error) {
	d := net.Dialer{Timeout: c.s.Dial}
	conn, err := d.DialContext(ctx, "tcp", a.String())
	if err != nil {
		return nil, &Error{Op: "connect", Kind: ErrRefused, Err: err}
	}
	return &Line{c: c, address: a, conn: conn}, nil
}

// Close ends a connection on which no call was made.
func (l *Line) Close() { _ = l.conn.Close() }

// Service makes the line's only call. After an error the call may have run.
func (l *Line) Service(ctx context.Context, q ServiceCall, timeout time.Duration) (ServiceReply, error) {
	first := make(chan net.Conn, 1)
	first <- l.conn
	// net/http repeats a request that carries an Idempotency-Key when a connection fails;
	// with a single connection there is nothing to repeat it on.
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHead, DialContext: func(context.Context, string, string) (net.Conn, error) {
		select {
		case c := <-first:
			return c, nil
		default:
			return nil, errUsed
		}
	}}
	defer t.CloseIdleConnections()
	r, err := l.c.service(ctx, t, l.address, q, timeout)
	var e *Error
	if errors.As(err, &e) && e.Kind == ErrRefused {
		e.Kind = ErrDied
	}
	return r, err
}

var errUsed = errors.New("the connection was used")

func (c *Client) service(ctx context.Context, t http.RoundTripper, a netip.AddrPort, q ServiceCall, timeout time.Duration) (ServiceReply, error) {
	x, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := serviceRequest(x, a, q)
	if err != nil {
		return ServiceReply{}, &Error{Op: "service", Kind: ErrRefused, Err: err}
	}
	c.s.Clock.Outgoing(req.Header)
	h := &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	res, err := h.Do(req)
	if err != nil {
		return ServiceReply{}, serviceError(ctx, x, err)
	}
	defer func() { _ = res.Body.Close() }()
	c.s.Clock.Incoming(res.Header)
	b, err := io.ReadAll(io.LimitReader(res.Body, c.s.MaxBody+1))
	if err != nil {
		return ServiceReply{}, serviceError(ctx, x, err)
	}
	if int64(len(b)) > c.s.MaxBody {
		return ServiceReply{}, &Error{Op: "service", Kind: ErrTooLarge, Err: errors.New("reply exceeds the limit")}
	}
	return ServiceReply{Status: res.StatusCode, Header: res.Header, Body: b, Report: report(res.Header)}, nil
}

func serviceRequest(ctx context.Context, a netip.AddrPort, q ServiceCall) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+a.String()+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return nil, err
	}
	for _, h := range []string{"Content-Type", "Accept"} {
		if v := q.Header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	req.Header.Set(HeaderRequest, q.ID)
	if q.Key != "" {
		req.Header.Set(HeaderKey, q.Key)
	}
	if q.Fence != "" {
		req.Header.Set(HeaderFence, q.Fence)
	}
	return req, nil
}

func serviceError(caller, call context.Context, err error) error {
	k := dialKind(err, ErrDied)
	switch {
	case k == ErrRefused:
	case caller.Err() != nil:
		k = ErrCancelled
	case call.Err() != nil:
		k = ErrSilent
	}
	return &Error{Op: "service", Kind: k, Err: err}
}
