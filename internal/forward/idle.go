package forward

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isReusable reports whether an idle connection is open and no bytes have arrived on it. The endpoint may have closed it,
// or have sent a second response that belongs to no request.
func (c *conn) isReusable() bool { return c.reader.Buffered() == 0 && IsIdle(c.Conn) }

// IsIdle reports whether a connection is open and has no bytes to read.
func IsIdle(c net.Conn) bool {
	if _, ok := c.(syscall.Conn); !ok {
		return true
	}
	n, err := peek(c)
	return n <= 0 && (errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR))
}

// hasBytes reports whether a connection has bytes to read, rather than only its end.
func hasBytes(c net.Conn) bool {
	n, err := peek(c)
	return n > 0 && err == nil
}

// peek returns how many bytes, up to one, can be read from a connection without waiting.
func peek(c net.Conn) (int, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var readErr error
	// Unlike Read, Control also works after the connection's deadline.
	if err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, readErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}); err != nil {
		return 0, err
	}
	return n, readErr
}
