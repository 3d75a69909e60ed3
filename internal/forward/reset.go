package forward

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// EndState tells how the peer ended a connection.
type EndState int

// States of a connection whose end was read.
const (
	EndUnknown EndState = iota
	EndClosed           // the peer has sent everything
	EndReset            // the connection was reset, so bytes may be missing
)

// tcpClose is the state of a connection that was reset (TCP_CLOSE of Linux). One that only the peer has closed is in another state.
const tcpClose = 7

// EndOf tells how the peer ended a connection. The kernel reports a reset to one call only. If that is a write or a look at the bytes
// that have arrived, reads only find the end of the connection.
func EndOf(c net.Conn) EndState {
	s, ok := c.(syscall.Conn)
	if !ok {
		return EndUnknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return EndUnknown
	}
	var info *unix.TCPInfo
	if e := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); e != nil || err != nil || info.State == 0 {
		return EndUnknown
	}
	if info.State == tcpClose {
		return EndReset
	}
	return EndClosed
}

var errReset = errors.New("the connection was reset")

// checkEnd returns an error instead of the end of the connection if the peer has not ended it properly.
func (c *conn) checkEnd(end error) error {
	switch EndOf(c.Conn) {
	case EndReset:
		return errReset
	case EndClosed:
		return end
	}
	if c.write != nil && !c.write.wait(requestWait) {
		return errReset
	}
	return end
}
