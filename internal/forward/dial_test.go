package forward

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestDeadPeer guards against connections that hang forever when the peer disappears without a reset. The kernel
// must probe idle connections and limit the time for which sent bytes stay unacknowledged.
func TestDeadPeer(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := Dialer{Timeout: time.Second}.Dial(t.Context(), netip.MustParseAddrPort(l.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(level, name int) int {
		v := 0
		if e := raw.Control(func(fd uintptr) { v, err = syscall.GetsockoptInt(int(fd), level, name) }); e != nil || err != nil {
			t.Fatal(e, err)
		}
		return v
	}
	if v := option(unix.SOL_SOCKET, unix.SO_KEEPALIVE); v == 0 {
		t.Error("idle connections are not probed")
	}
	idle, every, count := option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
	// Clients wait at least two seconds for the next event; the timeouts of the platform are longer.
	if idle+every*count > 3 {
		t.Errorf("a dead connection is only detected after %d s", idle+every*count)
	}
	if v := option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); v == 0 || v > 2000 {
		t.Errorf("sent bytes may stay unacknowledged for %d ms", v)
	}
}
