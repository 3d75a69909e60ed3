package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cassiaspoke/cassiaspoke/internal/forward"
)

// Limits on clients that hold while no configuration states any.
const (
	headerTime = 5 * time.Second
	idleTime   = time.Minute
)

// clients accepts the connections of clients. It ends those whose clients take longer than the configuration allows, to
// send the head of a request or between requests, as the server's own time-outs can't change while it runs; and those
// without a request when the instance stops.
type clients struct {
	net.Listener
	view   *atomic.Pointer[View]
	ending atomic.Bool

	mu    sync.Mutex
	conns map[*client]struct{}
}

// client is the connection of a client. Only its reader ends it while no request is under way: that finds bytes which
// have just come, and a close by another goroutine would cut them off.
type client struct {
	net.Conn
	owner *clients
	since time.Time

	mu      sync.Mutex
	timer   *time.Timer
	armed   bool
	idle    bool // no request is under way
	heard   bool // bytes of a request have come since
	unused  bool // no request has come
	ending  bool // the reader was woken to end the connection
	resetAt bool // the connection is reset at its end
}

type clientKey struct{}

func newClients(l net.Listener, v *atomic.Pointer[View]) *clients {
	return &clients{Listener: l, view: v, conns: map[*client]struct{}{}}
}

// Accept returns the next connection; while the instance stops, it fails once none is queued.
func (l *clients) Accept() (net.Conn, error) {
	for {
		if l.ending.Load() {
			if !l.queued() {
				return nil, errors.Join(net.ErrClosed, l.Close())
			}
			if err := l.wake(acceptWait); err != nil {
				return nil, err
			}
		}
		c, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				continue
			}
			return nil, err
		}
		_, idle := l.limits()
		n := &client{Conn: c, owner: l, since: time.Now(), idle: true, unused: true, armed: true}
		n.timer = time.AfterFunc(idle, n.expire)
		l.mu.Lock()
		l.conns[n] = struct{}{}
		l.mu.Unlock()
		return n, nil
	}
}

const (
	acceptWait = 10 * time.Millisecond  // for a queued connection to be accepted
	unusedTime = 500 * time.Millisecond // for the first request on a connection when the instance stops
)

// finish makes the accepting end when the kernel has no further connection queued; a closed listener would reset those.
func (l *clients) finish() error {
	l.ending.Store(true)
	return l.wake(0)
}

// wake ends the wait for a connection after a time.
func (l *clients) wake(d time.Duration) error {
	if t, ok := l.Listener.(*net.TCPListener); ok {
		return t.SetDeadline(time.Now().Add(d))
	}
	return l.Close()
}

// queued reports whether a connection waits to be accepted.
func (l *clients) queued() bool {
	t, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	if e := raw.Control(func(fd uintptr) {
		n, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	}); e != nil || err != nil {
		return false
	}
	return n > 0
}

// context hands a connection to its requests.
func (*clients) context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, c)
}

// state follows what happens on a connection; it is the server's hook.
func (l *clients) state(c net.Conn, s http.ConnState) {
	n, ok := c.(*client)
	if !ok {
		return
	}
	header, idle := l.limits()
	switch s {
	case http.StateNew:
	case http.StateIdle:
		n.arm(idle, true)
	case http.StateActive:
		n.arm(header, false)
	default:
		n.disarm()
		l.mu.Lock()
		delete(l.conns, n)
		l.mu.Unlock()
	}
}

// endIdle ends the connections without a request and returns how many are left.
func (l *clients) endIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.endIdle()
	}
	return len(l.conns)
}

func (l *clients) limits() (header, idle time.Duration) {
	header, idle = headerTime, idleTime
	if d := l.view.Load().Directory; d != nil {
		if t := d.Limits.HeaderTimeout; t > 0 {
			header = t
		}
		if t := d.Limits.IdleTimeout; t > 0 {
			idle = t
		}
	}
	return header, idle
}

// Read ends a connection without a request when it was asked to.
func (c *client) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if again, e := c.woken(); again {
				continue
			} else if e != nil {
				return 0, e
			}
		}
		if n > 0 {
			c.hear()
		}
		return n, err
	}
}

// hear notes that bytes have come; the first ones of a request begin its head.
func (c *client) hear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.heard {
		header, _ := c.owner.limits()
		c.timer.Reset(header)
	}
	c.heard = true
}

// woken reports whether to read again after the end of a wait that was set to end the connection. Bytes that have come
// are a request, and it is served.
func (c *client) woken() (again bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending {
		return false, nil
	}
	c.ending = false
	if c.idle && !c.heard && forward.Quiet(c.Conn) {
		return false, io.EOF
	}
	return true, c.SetReadDeadline(time.Now().Add(bodyTime))
}

func (c *client) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.heard || c.ending || c.unused && time.Since(c.since) < unusedTime {
		return
	}
	c.ending = true
	if err := c.SetReadDeadline(time.Now()); err != nil {
		_ = c.Conn.Close() // it has ended already
	}
}

// begun stops the watch of a request's connection: its head is here.
func begun(ctx context.Context) {
	if c, ok := ctx.Value(clientKey{}).(*client); ok {
		c.disarm()
	}
}

// resetAtEnd makes the end of a request's connection a reset.
func resetAtEnd(ctx context.Context) {
	if c, ok := ctx.Value(clientKey{}).(*client); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.resetAt = true
	}
}

// Close closes the connection.
func (c *client) Close() error {
	c.mu.Lock()
	reset := c.resetAt
	c.mu.Unlock()
	if t, ok := c.Conn.(*net.TCPConn); ok && reset {
		if err := t.SetLinger(0); err != nil {
			return err
		}
	}
	return c.Conn.Close()
}

func (c *client) arm(d time.Duration, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed, c.unused = true, false
	if c.idle = idle; idle {
		c.heard = false
	}
	c.timer.Reset(d)
}

func (c *client) disarm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed, c.idle = false, false
	c.timer.Stop()
}

// expire ends the connection unless something has come meanwhile.
func (c *client) expire() {
	c.mu.Lock()
	late := c.armed && (!c.idle || c.heard)
	c.mu.Unlock()
	if late {
		_ = c.Close() // the server notices the end by itself
		return
	}
	c.endIdle()
}
