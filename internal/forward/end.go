package forward

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"syscall"
	"time"
)

// SettleTime is the time in which the kernel closes all sockets of a process that is killed, and in which a reset follows an end.
const SettleTime = 20 * time.Millisecond

const requestWait = 100 * time.Millisecond // for the rest of the request to be written after the response has ended

var (
	errRequestLeft = errors.New("the endpoint closed the connection before it had the whole request")
	errNotKept     = errors.New("the endpoint resets new connections")
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
	endedAt := monotonicNow()
	err := r.pool.dialer.CheckRunning(r.ctx, r.conn.address)
	if err != nil && (!errors.Is(err, errNotKept) || !r.pool.survives(r.conn.address, endedAt)) {
		return err
	}
	if EndOf(r.conn.Conn) == EndReset {
		return errReset
	}
	return nil
}

// survives reports whether an endpoint has sent bytes some time after one of its connections ended, at a monotonic time, or keeps one that
// was opened before.
func (p *Pool) survives(a netip.AddrPort, endedAt int64) bool {
	if p.activities.get(a).lastRead.Load() >= endedAt+int64(SettleTime) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[a], func(c *conn) bool { return c.openedAt < endedAt && c.isReusable() })
}

// CheckRunning returns an error unless an endpoint accepts and keeps a connection some time after one to it has ended. An endpoint that has
// as many as it takes resets it.
func (d Dialer) CheckRunning(ctx context.Context, a netip.AddrPort) error {
	for range 2 {
		if err := wait(ctx, SettleTime); err != nil {
			return err
		}
		c, err := d.Dial(ctx, a)
		if errors.Is(err, syscall.ECONNRESET) {
			continue
		}
		if err != nil {
			return fmt.Errorf("the endpoint may have ended with the connection: %w", err)
		}
		// A connection that was opened while the kernel closed the listener stays half open.
		err = wait(ctx, SettleTime)
		open := IsIdle(c)
		_ = c.Close()
		if err != nil || open {
			return err
		}
	}
	return errNotKept
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
