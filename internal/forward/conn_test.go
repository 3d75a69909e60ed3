package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"golang.org/x/sys/unix"
)

// repeatingReader repeats a text far beyond any limit under test and counts the bytes read.
type repeatingReader struct {
	text      string
	bytesRead int64
}

func (r *repeatingReader) Read(b []byte) (int, error) {
	if r.bytesRead > 8*maxEventBytes {
		return 0, io.EOF
	}
	k := 0
	for k < len(b) {
		k += copy(b[k:], r.text)
	}
	r.bytesRead += int64(k)
	return k, nil
}

// TestHeadBound guards against reading a response head of unlimited size.
func TestHeadBound(t *testing.T) {
	for name, c := range map[string]struct{ prefix, repeated string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"no line":           {"", "x"},
		"header line":       {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			r := &repeatingReader{text: c.repeated}
			n := testConn(io.MultiReader(strings.NewReader(c.prefix), r))
			_, err := n.exchange(Request{Method: http.MethodGet, Target: "/", Host: "h"}, isOwnResponse, newWriteState())
			if KindOf(err) != ErrBadResponse || r.bytesRead > 2*maxHeadBytes {
				t.Errorf("%d bytes read, error %v", r.bytesRead, err)
			}
		})
	}
}

// TestHeadThenBody guards against applying the limit on the head to the body, and against returning an interim response
// instead of the final one.
func TestHeadThenBody(t *testing.T) {
	body := strings.Repeat("x", 4*maxHeadBytes)
	text := strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body
	c := testConn(strings.NewReader(text))
	r, err := c.exchange(Request{Method: http.MethodGet, Target: "/", Host: "h"}, isOwnResponse, newWriteState())
	if err != nil {
		t.Fatal(err)
	}
	p := &Response{Body: r.Body, Length: r.ContentLength, conn: c, ctx: t.Context()}
	if b, err := p.ReadAll(1<<20, noLimit); err != nil || string(b) != body {
		t.Errorf("%d bytes, %v", len(b), err)
	}
}

// TestEventBound guards against reading an event of unlimited size, and against holding an event although reserving memory
// for it failed.
func TestEventBound(t *testing.T) {
	r := &repeatingReader{text: "data"}
	if _, err := NewEventReader(r, noLimit).Next(); err == nil || r.bytesRead > 2*maxEventBytes {
		t.Errorf("%d bytes read, error %v", r.bytesRead, err)
	}
	noMemory := func(int64) error { return io.ErrShortBuffer }
	if _, err := NewEventReader(strings.NewReader("data: x\n\n"), noMemory).Next(); err == nil {
		t.Error("an event was returned although no memory could be reserved")
	}
}

// TestProbe guards against reporting an endpoint as ended that is only slow to accept connections: its requests would be
// blamed for ending it.
func TestProbe(t *testing.T) {
	p := NewPool(Dialer{Timeout: 200 * time.Millisecond}, 1)
	defer p.Close()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := netip.MustParseAddrPort(l.Addr().String())
	if v := p.Probe(t.Context(), a); v != Listening {
		t.Errorf("listening endpoint: got %v", v)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if v := p.Probe(t.Context(), a); v != NotListening {
		t.Errorf("endpoint that has ended: got %v", v)
	}
	if v := p.Probe(t.Context(), fullListener(t)); v != Unknown {
		t.Errorf("endpoint that accepts no connection: got %v", v)
	}
}

// fullListener returns the address of a listener that accepts no connection and whose queue is full, so the kernel drops
// further connection attempts.
func fullListener(t *testing.T) netip.AddrPort {
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

// TestActivity guards against counting an endpoint as silent although it responds to other requests, and against
// missing that all endpoints are silent, as when the network link is cut.
func TestActivity(t *testing.T) {
	p := NewPool(Dialer{}, 1)
	var l []netip.AddrPort
	for i := range 3 {
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		p.activities.get(a).beginRequest()
		l = append(l, a)
	}
	time.Sleep(20 * time.Millisecond)
	if active, others, silent := p.Activity(l[0], 10*time.Millisecond); active || others != 2 || silent != 2 {
		t.Errorf("no endpoint has sent bytes: active %v, %d others, %d silent", active, others, silent)
	}
	p.activities.get(l[0]).recordRead()
	p.activities.get(l[1]).recordRead()
	if active, others, silent := p.Activity(l[0], time.Second); !active || others != 2 || silent != 1 {
		t.Errorf("two endpoints have sent bytes: active %v, %d others, %d silent", active, others, silent)
	}
}

// TestHeadCutOff guards against a success with an empty or short body when an endpoint stops within the head or the body of
// its response and closes the connection.
func TestHeadCutOff(t *testing.T) {
	const (
		interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
		length  = "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody"
	)
	for name, text := range map[string]string{
		"length":           length,
		"chunks":           "HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"stream":           "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n8\r\ndata: 1\n\r\n1\r\n\n\r\n0\r\n\r\n",
		"interim response": interim + length,
		"another response": "HTTP/1.1 200 OK\r\nX-Id: another\r\nContent-Length: 2\r\n\r\nxx" + length,
		"error page":       "HTTP/1.1 500 Internal Server Error\r\nX-Id: own\r\nContent-Length: 4\r\n\r\nbody",
		"line feeds only":  strings.ReplaceAll(length, "\r\n", "\n"),
	} {
		t.Run(name, func(t *testing.T) {
			for n := range len(text) {
				for _, r := range []io.Reader{strings.NewReader(text[:n]), iotest.OneByteReader(strings.NewReader(text[:n]))} {
					c := testConn(r)
					resp, err := c.exchange(Request{Method: http.MethodGet, Target: "/", Host: "h"}, isOwnResponse, newWriteState())
					if err != nil {
						continue
					}
					p := &Response{Body: resp.Body, Length: resp.ContentLength, conn: c, ctx: t.Context()}
					if b, err := p.ReadAll(1<<20, noLimit); err == nil {
						t.Errorf("cut after %d of %d bytes: status %d with the whole body %q", n, len(text), resp.StatusCode, b)
					}
				}
			}
		})
	}
}

// TestHeadLines guards against a response head whose lines take many times their bytes when they are parsed, and against counting the
// lines of the body.
func TestHeadLines(t *testing.T) {
	head := func(lines int) string {
		var b strings.Builder
		b.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
		for i := range lines {
			fmt.Fprintf(&b, "%03x:\r\n", i)
		}
		return b.String()
	}
	body := "\r\n" + strings.Repeat(":\n\n", 5000)
	for name, c := range map[string]struct {
		text string
		ok   bool
	}{
		"without end":    {head(4000), false},
		"too many":       {head(300) + body, false},
		"in interim":     {strings.Replace(head(300), "200 OK", "103 Early Hints", 1) + "\r\n" + head(0) + body, false},
		"many":           {head(240) + body, true},
		"few, then body": {head(0) + body, true},
	} {
		t.Run(name, func(t *testing.T) {
			n := testConn(iotest.HalfReader(strings.NewReader(c.text)))
			r, err := n.exchange(Request{Method: http.MethodGet, Target: "/", Host: "h"}, isOwnResponse, newWriteState())
			if !c.ok {
				if KindOf(err) != ErrBadResponse || n.headLeft < maxHeadBytes-3*readBufferSize {
					t.Errorf("%d bytes read, error %v", maxHeadBytes-n.headLeft, err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if b, err := io.ReadAll(r.Body); err != nil || "\r\n"+string(b) != body {
				t.Errorf("%d bytes of body, %v", len(b), err)
			}
		})
	}
}
