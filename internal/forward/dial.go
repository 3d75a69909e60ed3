package forward

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits on connections that have gone silent: a host without power or behind a partition sends no reset.
const (
	probeIdle   = time.Second             // until the first keep-alive probe, the shortest that the kernel takes
	probeEvery  = time.Second             // between probes
	probeCount  = 2                       // unanswered probes until the connection is dead
	unackedTime = 1500 * time.Millisecond // for sent bytes to be acknowledged; above one retransmission after a lost packet
)

// Dialer opens connections that fail soon when the other end is gone.
type Dialer struct {
	Timeout time.Duration // to connect
}

// Dial connects to an endpoint.
func (d Dialer) Dial(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", a.String())
}

// DialContext has the signature that http.Transport wants.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	n := net.Dialer{
		Timeout:         d.Timeout,
		KeepAliveConfig: KeepAlive,
		Control:         Control,
	}
	return n.DialContext(ctx, network, address)
}

// KeepAlive is the probing of idle connections.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount}

// Control bounds the time for which sent bytes stay unacknowledged.
func Control(_, _ string, c syscall.RawConn) error {
	var err error
	e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTime.Milliseconds()))
	})
	if e != nil {
		return e
	}
	return err
}
