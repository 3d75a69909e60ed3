package forward

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet reports whether an idle connection is open and holds no bytes: an endpoint may have closed it, or sent a
// second answer that belongs to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = n <= 0 && (e == unix.EAGAIN || e == unix.EINTR)
		return true
	})
	return err == nil && open
}
