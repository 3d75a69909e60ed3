package forward

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits that detect a dead peer: a host that lost power or is cut off by a network partition sends no reset.
const (
	keepAliveIdle     = time.Second             // idle time before the first keep-alive probe; the kernel accepts no shorter one
	keepAliveInterval = time.Second             // between probes
	keepAliveCount    = 2                       // unanswered probes after which the kernel closes the connection
	userTimeout       = 1500 * time.Millisecond // for sent bytes to be acknowledged; allows one retransmission of a packet
)

// Dialer opens connections that fail soon after the peer is gone.
type Dialer struct {
	Timeout time.Duration // limit on connecting
}

// Dial opens a connection to an endpoint.
func (d Dialer) Dial(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", a.String())
}

// DialContext opens a connection and has the signature of http.Transport.DialContext.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	n := net.Dialer{
		Timeout:         d.Timeout,
		KeepAliveConfig: KeepAlive,
		Control:         SetUserTimeout,
	}
	return n.DialContext(ctx, network, address)
}

// KeepAlive configures keep-alive probes, which detect a dead peer on an idle connection.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// SetUserTimeout sets TCP_USER_TIMEOUT, which limits how long sent bytes may stay unacknowledged; it fits
// net.Dialer.Control.
func SetUserTimeout(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, userTimeout) }

// setUserTimeout sets TCP_USER_TIMEOUT; 0 means the limits of the system.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var err error
	e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if e != nil {
		return e
	}
	return err
}
