package forward

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isReusable reports whether an idle connection is open and no bytes have arrived on it. The endpoint may have closed it,
// or have sent a second response that belongs to no request.
func (c *conn) isReusable() bool { return c.reader.Buffered() == 0 && IsIdle(c.Conn) }

// IsIdle reports whether a connection is open and has no bytes to read.
func IsIdle(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	// Unlike Read, Control also works after the connection's deadline.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = n <= 0 && (e == unix.EAGAIN || e == unix.EINTR)
	})
	return err == nil && open
}
