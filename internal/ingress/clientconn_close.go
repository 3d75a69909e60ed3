package ingress

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// defaultCloseTimeout is how long a connection is kept for the rest of its last answer, as long as a client may show no progress in
	// reading one (internal/connlimit). The kernel holds up to 64 KiB of it, which a client that reads 8 KB/s takes in that time.
	defaultCloseTimeout = 8 * time.Second
	maxDroppedBytes     = 256 << 10 // read from a client meanwhile; the rest stays in the kernel's buffer
	minAckInterval      = 5 * time.Millisecond
	maxAckInterval      = 100 * time.Millisecond
)

// requestEnded records that the answer to a request was handed to net/http whole.
func requestEnded(ctx context.Context) {
	if c, ok := ctx.Value(clientConnKey{}).(*clientConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answered = true
	}
}

// Write writes to the connection.
func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.writeFailed = true
	}
	return n, err
}

// Close closes the connection, with a reset if resetOnClose was called. It doesn't wait: if the client may not have the end of its last
// answer, only the sending side is closed at once.
func (c *clientConn) Close() error {
	c.mu.Lock()
	reset := c.resetOnClose
	keep := c.answered && !c.keptForAnswer && !reset && !c.timedOut && !c.writeFailed && !c.reading
	if keep = keep && c.hasUnconfirmed(); keep {
		c.keptForAnswer = true
	}
	c.mu.Unlock()
	if keep {
		return c.closeAfterAnswer()
	}
	if t, ok := c.Conn.(interface{ SetLinger(int) error }); ok && reset {
		if err := t.SetLinger(0); err != nil {
			return err
		}
	}
	return c.Conn.Close()
}

// closeAfterAnswer closes the sending side, and the connection once the client has all that was sent. If the connection were closed at
// once, bytes that the client has sent or still sends, such as its next request, would make the kernel reset it, which discards the
// unsent end of the answer.
func (c *clientConn) closeAfterAnswer() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil {
		return c.Conn.Close()
	}
	if n, ok := c.Conn.(interface{ NoteClosing() }); ok {
		n.NoteClosing()
	}
	c.listener.countClosing(1)
	go func() {
		defer c.listener.countClosing(-1)
		c.dropUntilConfirmed(time.Now().Add(c.listener.closeTimeout))
		_ = c.Conn.Close()
	}()
	return nil
}

// dropUntilConfirmed reads and drops what the client sends until it has confirmed all that was sent to it, or has left.
func (c *clientConn) dropUntilConfirmed(end time.Time) {
	b := make([]byte, 4<<10)
	dropped := 0
	for interval := minAckInterval; c.hasUnconfirmed() && time.Now().Before(end); {
		if dropped >= maxDroppedBytes {
			time.Sleep(interval)
		} else {
			if c.SetReadDeadline(time.Now().Add(interval)) != nil {
				return
			}
			n, err := c.Conn.Read(b)
			if dropped += n; err == nil {
				continue
			} else if !errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
		}
		interval = min(2*interval, maxAckInterval)
	}
}

// hasUnconfirmed reports whether the connection is open and the client's kernel has not confirmed all bytes that were sent to it.
func (c *clientConn) hasUnconfirmed() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	e := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return e == nil && err == nil && n > 0
}

// countClosing adds to the number of connections that net/http has closed but that are kept for the rest of an answer.
func (l *clientListener) countClosing(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing += n
}
