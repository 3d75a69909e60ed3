package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

const (
	keptPeriod  = 20 * time.Millisecond  // for which a running endpoint keeps a new connection at least
	requestWait = 100 * time.Millisecond // for the rest of the request to be written after the response has ended
)

var (
	errNotRunning  = errors.New("the endpoint may have ended with the connection")
	errRequestLeft = errors.New("the endpoint closed the connection before it had the whole request")
)

// ConfirmEnd returns an error if the end of the connection does not show that an unframed body is complete. The connections of a process
// that is killed end like those of one that has sent everything, so the endpoint must still accept and keep connections.
func (r *Response) ConfirmEnd() error {
	if !r.Unframed {
		return nil
	}
	if err := r.confirmEnd(); err != nil {
		return r.WrapReadError("confirm end", err)
	}
	return nil
}

func (r *Response) confirmEnd() error {
	if !r.writeState.wait(requestWait) {
		return errRequestLeft
	}
	if err := r.pool.confirmRunning(r.ctx, r.conn.address); err != nil {
		return err
	}
	if EndOf(r.conn.Conn) == EndReset {
		return errReset
	}
	return nil
}

// confirmRunning returns an error unless an endpoint accepts a connection and keeps it open. The connection goes to the pool.
func (p *Pool) confirmRunning(ctx context.Context, a netip.AddrPort) error {
	n, err := p.dialer.DialKept(ctx, a)
	if err != nil {
		return err
	}
	p.release(newConn(n, a, p.activities.get(a)), 0)
	return nil
}

// DialKept opens a connection and returns it if the endpoint keeps it open for a moment, which shows that its process runs.
func (d Dialer) DialKept(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	c, err := d.Dial(ctx, a)
	if err != nil {
		return nil, &Error{Op: "dial " + a.String(), Kind: ErrConnect, Err: fmt.Errorf("%w: %w", errNotRunning, err)}
	}
	t := time.NewTimer(keptPeriod)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	if ctx.Err() == nil && IsIdle(c) {
		return c, nil
	}
	return nil, &Error{Op: "dial " + a.String(), Kind: ErrConnect, Err: errors.Join(errNotRunning, context.Cause(ctx), c.Close())}
}
