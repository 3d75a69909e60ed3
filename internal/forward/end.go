package forward

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// SettleTime is the time in which the kernel closes all sockets of a process that is killed, and in which a reset follows an end.
const SettleTime = 20 * time.Millisecond

const requestWait = 100 * time.Millisecond // for the rest of the request to be written after the response has ended

var (
	errRequestLeft = errors.New("the endpoint closed the connection before it had the whole request")
	errNotKept     = errors.New("the endpoint does not keep a new connection")
)

// ConfirmEnd returns an error of kind ErrUnconfirmed if the end of the connection does not show that an unframed body is complete. The
// connections of a process that is killed end like those of one that has sent everything, so the endpoint must still accept
// connections.
func (r *Response) ConfirmEnd() error {
	if !r.Unframed {
		return nil
	}
	err := r.confirmEnd()
	switch {
	case err == nil:
		return nil
	case r.ctx.Err() != nil:
		return r.WrapReadError("confirm end", err)
	}
	return &Error{Op: "confirm end", Kind: ErrUnconfirmed, Err: err}
}

func (r *Response) confirmEnd() error {
	if !r.writeState.wait(requestWait) {
		return errRequestLeft
	}
	if err := r.pool.dialer.CheckRunning(r.ctx, r.conn.address); err != nil {
		return err
	}
	if EndOf(r.conn.Conn) == EndReset {
		return errReset
	}
	return nil
}

// CheckRunning returns an error unless an endpoint accepts and keeps a connection some time after one to it has ended. A reset does not tell
// whether the endpoint has ended, as behind a proxy, or has as many connections as it takes.
func (d Dialer) CheckRunning(ctx context.Context, a netip.AddrPort) error {
	if err := wait(ctx, SettleTime); err != nil {
		return err
	}
	c, err := d.Dial(ctx, a)
	if err != nil {
		return fmt.Errorf("the endpoint may have ended with the connection: %w", err)
	}
	err = wait(ctx, SettleTime)
	open := IsIdle(c)
	_ = c.Close()
	if err == nil && !open {
		return errNotKept
	}
	return err
}

// wait waits for a time, or returns the cause of the end of the context.
func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
