package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// newTestServer returns a client listener, an HTTP server that uses its hooks as an instance does, and the address.
func newTestServer(t *testing.T, h http.Handler) (*clientListener, *http.Server, string) {
	t.Helper()
	n, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var v atomic.Pointer[snapshot]
	v.Store(&snapshot{})
	l := newClientListener(n, &v)
	s := &http.Server{ConnState: l.connState, ConnContext: l.connContext, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			requestBegun(r.Context())
			h.ServeHTTP(w, r)
			requestEnded(r.Context())
		})}
	t.Cleanup(func() { _ = s.Close() })
	return l, s, n.Addr().String()
}

// echoPath responds with the path of the request.
var echoPath = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })

// dialServer opens a connection that is closed at the end of the test.
func dialServer(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

// sendGet writes a GET request without waiting for the response.
func sendGet(t *testing.T, c net.Conn, path string) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		t.Error(err)
	}
}

// expectBody reads a response and checks that its body is the path.
func expectBody(t *testing.T, r *bufio.Reader, path string) {
	t.Helper()
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Errorf("%s: %v", path, err)
		return
	}
	defer a.Body.Close()
	if b, err := io.ReadAll(a.Body); err != nil || string(b) != path {
		t.Errorf("%s: %q, %v", path, b, err)
	}
}

// TestStopTakesWhatHasCome guards against closing connections without a response when an instance stops, although a
// request has just arrived on a kept-alive connection or on one that waits in the accept queue.
func TestStopTakesWhatHasCome(t *testing.T) {
	const conns = 100
	for name, stop := range map[string]func(l *clientListener){
		"idle connections": func(l *clientListener) { l.closeIdle() },
		"idle connections, closed repeatedly": func(l *clientListener) {
			for range 20 {
				l.closeIdle()
			}
		},
		"accept queue": func(l *clientListener) {
			if err := l.stopAccepting(); err != nil {
				panic(err) // a TCP listener supports deadlines
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, s, a := newTestServer(t, echoPath)
			queued := strings.HasPrefix(name, "accept")
			served := make(chan error, 1)
			serve := func() { served <- s.Serve(l) }
			if !queued {
				go serve()
			}
			type conn struct {
				net.Conn
				reader *bufio.Reader
			}
			var all []conn
			for range conns {
				c, r := dialServer(t, a)
				if !queued {
					sendGet(t, c, "/first")
					expectBody(t, r, "/first")
				}
				all = append(all, conn{c, r})
			}
			for _, c := range all {
				sendGet(t, c, "/second")
			}
			if queued {
				stop(l)
				go serve()
			} else {
				stop(l)
			}
			for _, c := range all {
				expectBody(t, c.reader, "/second")
			}
			if queued {
				select {
				case <-served:
				case <-time.After(10 * time.Second):
					t.Error("the listener was not closed")
				}
			}
		})
	}
}

// TestStopEndsIdle guards against a stop that waits for idle connections, and against one that closes a connection whose
// request is under way or partly read.
func TestStopEndsIdle(t *testing.T) {
	release := make(chan struct{})
	l, s, a := newTestServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		echoPath(w, r)
	}))
	go func() { _ = s.Serve(l) }()
	idle, idleReader := dialServer(t, a)
	sendGet(t, idle, "/first")
	expectBody(t, idleReader, "/first")
	_, unusedReader := dialServer(t, a)
	slow, slowReader := dialServer(t, a)
	sendGet(t, slow, "/slow")
	half, halfReader := dialServer(t, a)
	if _, err := io.WriteString(half, "GET /half HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	wait := func(condition string, f func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("waited for " + condition)
			}
		}
	}
	wait("four connections, two of them busy", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		busy := 0
		for c := range l.conns {
			c.mu.Lock()
			if !c.idle || c.headBegun {
				busy++
			}
			c.mu.Unlock()
		}
		return len(l.conns) == 4 && busy == 2
	})
	wait("the idle connections to be closed", func() bool { return l.closeIdle() == 2 })
	for name, r := range map[string]*bufio.Reader{"idle": idleReader, "unused": unusedReader} {
		if _, err := r.ReadByte(); err == nil {
			t.Errorf("%s: bytes on a connection without a request", name)
		}
	}
	if _, err := io.WriteString(half, "Host: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	expectBody(t, halfReader, "/half")
	close(release)
	expectBody(t, slowReader, "/slow")
	wait("all connections to be closed", func() bool { return l.closeIdle() == 0 })
}

// TestResetAtEnd guards against a truncated response without chunked encoding that looks complete to the client.
func TestResetAtEnd(t *testing.T) {
	for name, truncated := range map[string]bool{"whole": false, "cut off": true} {
		t.Run(name, func(t *testing.T) {
			l, s, a := newTestServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				if truncated {
					resetOnClose(r.Context(), true)
					panic(http.ErrAbortHandler)
				}
			}))
			go func() { _ = s.Serve(l) }()
			c, r := dialServer(t, a)
			if _, err := io.WriteString(c, "GET / HTTP/1.0\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(r); (err != nil) != truncated {
				t.Errorf("read to the end: %v", err)
			}
		})
	}
}

// TestReadFindsBytes guards against losing a request that arrives between the end of a read deadline and the close of the
// connection.
func TestReadFindsBytes(t *testing.T) {
	for name, arrived := range map[string]bool{"a request has arrived": true, "nothing has arrived": false} {
		t.Run(name, func(t *testing.T) {
			l, _, a := newTestServer(t, echoPath)
			c, _ := dialServer(t, a)
			n, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer n.Close()
			if arrived {
				sendGet(t, c, "/")
				time.Sleep(50 * time.Millisecond) // loopback delivers immediately
			}
			s := n.(*clientConn)
			s.closing = true
			if err := s.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
				t.Fatal(err)
			}
			k, err := s.Read(make([]byte, 100))
			if arrived && (k == 0 || err != nil) || !arrived && !errors.Is(err, io.EOF) {
				t.Errorf("%d bytes, %v", k, err)
			}
		})
	}
}

// TestIdleTimeoutCrossesRequest guards against closing the connection of a request that arrives while the idle timeout of its
// connection is being handled: the timeout of an idle connection was taken for that of a head that takes too long.
func TestIdleTimeoutCrossesRequest(t *testing.T) {
	l, s, a := newTestServer(t, echoPath)
	accepted := make(chan net.Conn, 1)
	go func() { _ = s.Serve(acceptHook{l, accepted}) }()
	c, r := dialServer(t, a)
	n := (<-accepted).(*clientConn)
	sendGet(t, c, "/first")
	expectBody(t, r, "/first")
	const begin, rest = "GET /second HT", "TP/1.1\r\nHost: h\r\n\r\n"
	if _, err := io.WriteString(c, begin); err != nil {
		t.Fatal(err)
	}
	for begun := false; !begun; time.Sleep(time.Millisecond) {
		n.mu.Lock()
		begun = n.idle && n.headBegun
		n.mu.Unlock()
	}
	n.onTimeout() // of the idle connection; the timer had expired when the bytes arrived
	if _, err := io.WriteString(c, rest); err != nil {
		t.Fatal(err)
	}
	expectBody(t, r, "/second")
}

// acceptHook is a listener that reports the connections that it accepts.
type acceptHook struct {
	net.Listener
	accepted chan<- net.Conn
}

// Accept reports the next connection.
func (h acceptHook) Accept() (net.Conn, error) {
	c, err := h.Listener.Accept()
	if err == nil {
		h.accepted <- c
	}
	return c, err
}
