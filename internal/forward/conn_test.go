package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// repeated yields the same bytes for as long as any bound here should allow, and counts them.
type repeated struct {
	text string
	n    int64
}

func (r *repeated) Read(b []byte) (int, error) {
	if r.n > 8*maxEvent {
		return 0, io.EOF
	}
	k := 0
	for k < len(b) {
		k += copy(b[k:], r.text)
	}
	r.n += int64(k)
	return k, nil
}

// TestHeadBound guards against the head of an answer that is read without end.
func TestHeadBound(t *testing.T) {
	for name, c := range map[string]struct{ first, more string }{
		"status line":     {"HTTP/1.1 200 ", "x"},
		"no line":         {"", "x"},
		"header line":     {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header lines":    {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"interim answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			r := &repeated{text: c.more}
			n := connOf(io.MultiReader(strings.NewReader(c.first), r))
			_, err := n.exchange(Outbound{Method: http.MethodGet, Target: "/", Host: "h"}, anyAnswer, &write{})
			if KindOf(err) != ErrReply || r.n > 2*maxHead {
				t.Errorf("%d bytes read, error %v", r.n, err)
			}
		})
	}
}

// TestHeadThenBody guards against a bound on the head that cuts a long body, and against interim answers that are taken
// for the answer.
func TestHeadThenBody(t *testing.T) {
	body := strings.Repeat("x", 4*maxHead)
	text := strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body
	c := connOf(strings.NewReader(text))
	r, err := c.exchange(Outbound{Method: http.MethodGet, Target: "/", Host: "h"}, anyAnswer, &write{})
	if err != nil {
		t.Fatal(err)
	}
	p := &Reply{Body: r.Body, Length: r.ContentLength, conn: c, ctx: t.Context()}
	if b, err := p.ReadAll(1<<20, noLimit); err != nil || string(b) != body {
		t.Errorf("%d bytes, %v", len(b), err)
	}
}

// TestEventBound guards against an event that is read without end, and against one that takes memory which is not there.
func TestEventBound(t *testing.T) {
	r := &repeated{text: "data"}
	if _, err := NewEvents(r, noLimit).Next(); err == nil || r.n > 2*maxEvent {
		t.Errorf("%d bytes read, error %v", r.n, err)
	}
	full := func(int64) error { return io.ErrShortBuffer }
	if _, err := NewEvents(strings.NewReader("data: x\n\n"), full).Next(); err == nil {
		t.Error("an event without memory for it")
	}
}

// TestProbe guards against an endpoint that is only slow to answer and counts as dead: its requests would be taken for the
// cause of its end.
func TestProbe(t *testing.T) {
	p := NewPool(Dialer{Timeout: 200 * time.Millisecond}, 1)
	defer p.Close()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := netip.MustParseAddrPort(l.Addr().String())
	if v := p.Probe(t.Context(), a); v != Alive {
		t.Errorf("a listening endpoint: %v", v)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if v := p.Probe(t.Context(), a); v != Ended {
		t.Errorf("an ended endpoint: %v", v)
	}
	if v := p.Probe(t.Context(), stuck(t)); v != Unknown {
		t.Errorf("an endpoint that does not answer: %v", v)
	}
}

// stuck returns the address of a listener that accepts nothing and whose queue is full, so that the kernel drops what a
// client sends to connect.
func stuck(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	s, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(s.(*unix.SockaddrInet4).Port))
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", a.String())
		cancel()
		if err != nil {
			return a
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// TestSigns guards against an endpoint that counts as silent although it answers others, and against a link that is cut and
// not seen.
func TestSigns(t *testing.T) {
	p := NewPool(Dialer{}, 1)
	var l []netip.AddrPort
	for i := range 3 {
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		p.signs.of(a).begin()
		l = append(l, a)
	}
	time.Sleep(20 * time.Millisecond)
	if alive, others, silent := p.Signs(l[0], 10*time.Millisecond); alive || others != 2 || silent != 2 {
		t.Errorf("all silent: alive %v, %d others, %d silent", alive, others, silent)
	}
	p.signs.of(l[0]).heard()
	p.signs.of(l[1]).heard()
	if alive, others, silent := p.Signs(l[0], time.Second); !alive || others != 2 || silent != 1 {
		t.Errorf("two heard: alive %v, %d others, %d silent", alive, others, silent)
	}
}
