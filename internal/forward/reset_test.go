package forward

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// serveConn serves each connection with a function, which gets the reader after the head of a request, and returns the address.
func serveConn(t *testing.T, serve func(c *net.TCPConn, r *bufio.Reader, q *http.Request)) netip.AddrPort {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			if q, err := http.ReadRequest(r); err == nil {
				serve(c.(*net.TCPConn), r, q)
			}
			c.Close()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		<-done
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestResetDuringUpload guards against a body without a length that counts as complete although the endpoint has reset the
// connection: the write of the request gets the error then, and the read only the end.
func TestResetDuringUpload(t *testing.T) {
	const attempts, bodySize = 100, 8 << 20
	for name, c := range map[string]struct {
		end      func(c *net.TCPConn, r *bufio.Reader, q *http.Request)
		complete bool
	}{
		"reset": {func(c *net.TCPConn, _ *bufio.Reader, _ *http.Request) {
			_ = c.SetLinger(0)
			_ = c.Close()
		}, false},
		"reset by unread bytes": {func(c *net.TCPConn, _ *bufio.Reader, _ *http.Request) { _ = c.Close() }, false},
		"closed for writing": {func(c *net.TCPConn, _ *bufio.Reader, q *http.Request) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, q.Body)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := serveConn(t, func(conn *net.TCPConn, r *bufio.Reader, q *http.Request) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of the body")
				time.Sleep(time.Millisecond) // the upload fills the buffers
				c.end(conn, r, q)
			})
			p := NewPool(Dialer{Timeout: time.Second}, 1)
			defer p.Close()
			q := Request{ID: "1", Method: http.MethodPost, Target: "/", Host: "h", Body: bytes.Repeat([]byte("x"), bodySize), HasBody: true}
			wrong := 0
			for range attempts {
				resp, err := p.Send(t.Context(), a, q, true, func(http.Header) bool { return true })
				if err != nil {
					if c.complete {
						t.Fatal(err)
					}
					continue
				}
				if _, err := resp.ReadAll(1<<20, noLimit); (err == nil) != c.complete {
					wrong++
				}
				resp.Close(false)
			}
			if wrong > 0 {
				t.Errorf("%d of %d bodies were read as complete: %v", wrong, attempts, !c.complete)
			}
		})
	}
}

// TestPeekAtReset guards against a look for unread bytes that takes the error of a connection, so that the body seems to end there.
func TestPeekAtReset(t *testing.T) {
	reset := make(chan struct{}, 1)
	a := serveConn(t, func(c *net.TCPConn, _ *bufio.Reader, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(10 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
		reset <- struct{}{}
	})
	p := NewPool(Dialer{Timeout: time.Second}, 1)
	defer p.Close()
	resp, err := p.Send(t.Context(), a, Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h"}, true, func(http.Header) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close(false)
	if _, err := io.ReadFull(resp.Body, make([]byte, len("part"))); err != nil {
		t.Fatal(err)
	}
	<-reset
	time.Sleep(10 * time.Millisecond)
	if !resp.HasUnread() {
		t.Error("the end of the connection was not noticed")
	}
	if b, err := resp.ReadAll(1<<20, noLimit); err == nil {
		t.Errorf("complete with %q", b)
	}
}
