package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// ServiceCall is a call to a plain service; Once makes it use a connection of its own and never repeats it.
type ServiceCall struct {
	Method string
	Path   string // with the query
	Header http.Header
	Body   []byte
	Key    string
	ID     string
	Fence  string
	Once   bool
}

// ServiceReply is a plain service's reply.
type ServiceReply struct {
	Status int
	Header http.Header
	Body   []byte
	Report Report
}

// Service calls a plain service; ErrRefused means that nothing was sent.
func (c *Client) Service(ctx context.Context, a netip.AddrPort, q ServiceCall, timeout time.Duration) (ServiceReply, error) {
	x, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(x, q.Method, "http://"+a.String()+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return ServiceReply{}, &Error{Op: "service", Kind: ErrRefused, Err: err}
	}
	for _, h := range []string{"Content-Type", "Accept"} {
		if v := q.Header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	req.Header.Set(HeaderRequest, q.ID)
	client := c.pooled
	if q.Once {
		client = c.fresh
		req.Header.Set(HeaderKey, q.Key)
		if q.Fence != "" {
			req.Header.Set(HeaderFence, q.Fence)
		}
	}
	client = &http.Client{Transport: client.Transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	res, err := client.Do(req)
	if err != nil {
		return ServiceReply{}, serviceError(ctx, x, err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, c.s.MaxBody+1))
	if err != nil {
		return ServiceReply{}, serviceError(ctx, x, err)
	}
	if int64(len(b)) > c.s.MaxBody {
		return ServiceReply{}, &Error{Op: "service", Kind: ErrTooLarge, Err: errors.New("reply exceeds the limit")}
	}
	return ServiceReply{Status: res.StatusCode, Header: res.Header, Body: b, Report: report(res.Header)}, nil
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
