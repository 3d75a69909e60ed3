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
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cassiaspoke/cassiaspoke/internal/forward"
)

// Timeouts that apply unless the configuration sets others.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
)

// clientListener accepts and tracks the connections of clients. It closes connections whose clients exceed the configured
// timeouts for the head of a request or between requests, since the timeouts of http.Server can't change while it runs.
// When the instance stops, it closes idle connections.
type clientListener struct {
	net.Listener
	snapshot *atomic.Pointer[snapshot]
	stopping atomic.Bool
	closed   atomic.Bool // no further connection will be accepted, and all that were are tracked

	closeTimeout time.Duration // for the client to take the rest of its last answer

	mu      sync.Mutex
	conns   map[*clientConn]struct{}
	closing int // connections that are not in conns any more, but kept for the rest of an answer
}

// clientConn is the connection of a client. While it is idle, only the goroutine that reads from it closes it: the reader
// notices bytes that have just arrived, which a close by another goroutine would discard.
type clientConn struct {
	net.Conn
	listener   *clientListener
	acceptedAt time.Time

	mu           sync.Mutex
	timer        *time.Timer // calls onTimeout
	expires      time.Time   // when the timeout in force ends
	timerArmed   bool        // the timer bounds the head of a request or the idle time
	idle         bool        // no request is under way
	headBegun    bool        // bytes of the next request have arrived
	unused       bool        // no request has arrived yet
	closing      bool        // the reader was woken to close the connection
	resetOnClose bool        // Close resets the connection
	timedOut     bool        // the timeout for the head of a request closed the connection; what it sends from then on is dropped
	reading      bool        // net/http waits for bytes, so it has no whole head that it has not reported
	// The last answer is kept from being cut by the close only if it was written whole and no other request has begun to arrive.
	answered      bool
	writeFailed   bool
	keptForAnswer bool // Close has begun to wait for the client to take the answer
}

type clientConnKey struct{}

func newClientListener(l net.Listener, v *atomic.Pointer[snapshot]) *clientListener {
	return &clientListener{Listener: l, snapshot: v, closeTimeout: defaultCloseTimeout, conns: map[*clientConn]struct{}{}}
}

// Accept returns the next connection. While the instance stops, it fails once the accept queue is empty.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		if l.stopping.Load() {
			if !l.hasPending() {
				return nil, errors.Join(net.ErrClosed, l.Close())
			}
			if err := l.interruptAccept(acceptTimeout); err != nil {
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
		_, idle := l.timeouts()
		now := time.Now()
		conn := &clientConn{Conn: c, listener: l, acceptedAt: now, idle: true, unused: true, timerArmed: true, expires: now.Add(idle)}
		conn.timer = time.AfterFunc(idle, conn.onTimeout)
		l.mu.Lock()
		l.conns[conn] = struct{}{}
		l.mu.Unlock()
		return conn, nil
	}
}

// Close closes the listener. Accept and http.Server call it when they accept no further connection.
func (l *clientListener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

const (
	acceptTimeout   = 10 * time.Millisecond  // to accept a connection that is already queued
	headReadDelay   = 100 * time.Millisecond // until a slow head is looked at again of which bytes were just read
	unusedConnGrace = 500 * time.Millisecond // for the first request on a new connection when the instance stops
)

// stopAccepting makes Accept fail once the kernel's accept queue is empty. Closing the listener at once would reset queued
// connections.
func (l *clientListener) stopAccepting() error {
	l.stopping.Store(true)
	return l.interruptAccept(0)
}

// interruptAccept ends the wait for a connection after a time.
func (l *clientListener) interruptAccept(d time.Duration) error {
	if t, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return t.SetDeadline(time.Now().Add(d))
	}
	return l.Listener.Close()
}

// hasPending reports whether a connection waits in the accept queue.
func (l *clientListener) hasPending() bool {
	t, ok := l.Listener.(syscall.Conn)
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

// connContext is the server's ConnContext hook; it stores the connection in the context of its requests.
func (*clientListener) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// connState is the server's ConnState hook; it starts and stops the timeouts of a connection.
func (l *clientListener) connState(c net.Conn, s http.ConnState) {
	conn, ok := c.(*clientConn)
	if !ok {
		return
	}
	switch s {
	case http.StateNew:
	case http.StateIdle:
		_, idle := l.timeouts()
		conn.startIdle(idle)
	case http.StateActive:
		conn.startRequest()
	default:
		conn.stopTimer()
		l.mu.Lock()
		delete(l.conns, conn)
		l.mu.Unlock()
	}
}

// closeIdle closes idle connections and returns the number of open ones, those being closed included.
func (l *clientListener) closeIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.closeIfIdle()
	}
	return len(l.conns) + l.closing
}

// hasBusy reports whether a request is under way on any connection. Net/http writes the last bytes of an answer after the handler has
// returned, and reports the end of the request after that.
func (l *clientListener) hasBusy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.isBusy() {
			return true
		}
	}
	return false
}

// isBusy reports whether a request is under way.
func (c *clientConn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.idle
}

// timeouts returns the timeouts for the head of a request and between requests.
func (l *clientListener) timeouts() (header, idle time.Duration) {
	header, idle = defaultHeaderTimeout, defaultIdleTimeout
	if config := l.snapshot.Load().configuration; config != nil {
		if t := config.Limits.HeaderTimeout; t > 0 {
			header = t
		}
		if t := config.Limits.IdleTimeout; t > 0 {
			idle = t
		}
	}
	return header, idle
}

// NetConn returns the wrapped connection.
func (c *clientConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection, and returns io.EOF when an idle connection is to be closed.
func (c *clientConn) Read(b []byte) (int, error) {
	c.setReading(true)
	defer c.setReading(false)
	for {
		n, err := c.Conn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if again, e := c.resumeRead(); again {
				continue
			} else if e != nil {
				return 0, e
			}
		}
		if n > 0 && !c.noteRead() {
			return 0, errTimedOut
		}
		return n, err
	}
}

// errTimedOut states that the head of a request took too long. Net/http writes no answer to a failed read.
var errTimedOut = &net.OpError{Op: "read", Err: net.ErrClosed}

// setReading records whether net/http waits for bytes.
func (c *clientConn) setReading(v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = v
}

// noteRead records that bytes have arrived. The first bytes of a request start the timeout for its head. If the reader was woken at the
// same time to close the connection, it need not look any more. It returns false if the timeout came before the bytes.
func (c *clientConn) noteRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading = false; c.timedOut {
		return false
	}
	if c.idle && !c.headBegun {
		c.answered = false
		header, _ := c.listener.timeouts()
		c.resetTimer(header)
	}
	c.headBegun = true
	if c.closing {
		c.closing = false
		_ = c.SetReadDeadline(time.Time{}) // fails only if the connection is closed, which the next read finds
	}
	return true
}

// resumeRead reports whether to read again after the reader was woken to close the connection. If bytes have arrived,
// they belong to a request, which is served.
func (c *clientConn) resumeRead() (again bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		return false, nil
	}
	c.closing = false
	if c.idle && !c.headBegun && forward.IsIdle(c.Conn) {
		return false, io.EOF
	}
	return true, c.SetReadDeadline(time.Time{}) // the timer bounds the head
}

// closeIfIdle wakes the reader to close the connection if no request is under way or expected. It may have to be called again, as
// net/http removes the deadline that wakes the reader when it begins to wait for a request.
func (c *clientConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.headBegun || c.unused && time.Since(c.acceptedAt) < unusedConnGrace {
		return
	}
	c.closing = true
	if err := c.SetReadDeadline(time.Now()); err != nil {
		_ = c.Conn.Close() // the connection is closed already
	}
}

// requestBegun stops the timeout of a request's connection, as the head has arrived.
func requestBegun(ctx context.Context) {
	if c, ok := ctx.Value(clientConnKey{}).(*clientConn); ok {
		c.stopTimer()
	}
}

// Reasons for which the instance closes a connection while a request is under way, in logs.
const (
	closedHeadTimeout = "head timeout"
	closedLimit       = "limit on connections"
	closedStop        = "end of the grace period"
)

// closedByInstance returns why the instance has closed a request's connection, or "" if it has not.
func closedByInstance(ctx context.Context) string {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	if !ok {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timedOut {
		return closedHeadTimeout
	}
	if e, ok := c.Conn.(interface{ Evicted() bool }); ok && e.Evicted() {
		return closedLimit
	}
	return ""
}

// resetOnClose sets whether Close resets a request's connection.
func resetOnClose(ctx context.Context, reset bool) {
	if c, ok := ctx.Value(clientConnKey{}).(*clientConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.resetOnClose = reset
	}
}

// startIdle starts the timeout between requests.
func (c *clientConn) startIdle(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timerArmed, c.idle, c.unused, c.headBegun = true, true, false, false
	c.resetTimer(d)
}

// startRequest ends the timeout and a wake-up, as net/http has read a head. It sets the deadlines of its reads.
func (c *clientConn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timerArmed, c.idle, c.unused, c.closing, c.answered = false, false, false, false, false
	c.timer.Stop()
}

// resetTimer sets the timeout in force. The caller holds the mutex.
func (c *clientConn) resetTimer(d time.Duration) {
	c.expires = time.Now().Add(d)
	c.timer.Reset(d)
}

// stopTimer stops the timeout of the connection while a request is under way.
func (c *clientConn) stopTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timerArmed, c.idle = false, false
	c.timer.Stop()
}

// onTimeout closes a connection whose client took too long, but not while net/http may have read the rest of the head. An idle one is
// left to its reader, which checks for bytes that have just arrived.
func (c *clientConn) onTimeout() {
	c.mu.Lock()
	if time.Now().Before(c.expires) {
		c.mu.Unlock()
		return // another timeout is in force since the timer expired
	}
	late := c.timerArmed && c.headBegun
	if late && !c.reading {
		c.resetTimer(headReadDelay)
		c.mu.Unlock()
		return
	}
	c.timedOut = c.timedOut || late
	c.mu.Unlock()
	if late {
		if n, ok := c.Conn.(interface{ NoteTimeout() }); ok {
			n.NoteTimeout()
		}
		_ = c.Close() // the server notices the closed connection by itself
		return
	}
	c.closeIfIdle()
}
