package forward

import (
	"errors"
	"net"
	"syscall"
	"time"

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

// maxWriteWait is how long the end of a response waits for the end of the request's write, if the state of the connection is not known.
const maxWriteWait = 100 * time.Millisecond

var errReset = errors.New("the connection was reset")

// checkEnd returns an error instead of the end of the connection if the peer has not ended it properly.
func (c *conn) checkEnd(end error) error {
	switch EndOf(c.Conn) {
	case EndReset:
		return errReset
	case EndClosed:
		return end
	}
	if c.write == nil {
		return end
	}
	t := time.NewTimer(maxWriteWait)
	defer t.Stop()
	select {
	case <-c.write.ended:
	case <-t.C:
	}
	if !c.write.done.Load() {
		return errReset
	}
	return end
}
