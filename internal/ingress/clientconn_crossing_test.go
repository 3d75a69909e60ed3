package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

// TestWakeUpCrossesRequest guards against a connection that counts as busy for seconds after its response, so that a stop waits for it:
// the reader was woken to close the idle connection as a request arrived, and took the end of net/http's own read for that later. It
// also guards against the end of a read under a request whose head comes in two parts then.
func TestWakeUpCrossesRequest(t *testing.T) {
	const begin, rest = "GET /second HT", "TP/1.1\r\nHost: h\r\n\r\n"
	for name, c := range map[string]struct {
		pipelined   bool // the request comes with the one before it
		begin, rest string
	}{
		"whole request":     {begin: begin + rest},
		"in two parts":      {begin: begin, rest: rest},
		"pipelined request": {pipelined: true},
	} {
		t.Run(name, func(t *testing.T) {
			l, s, a := newTestServer(t, echoPath)
			active := 0
			s.ConnState = func(n net.Conn, state http.ConnState) {
				if state == http.StateActive {
					if active++; active == 2 && c.pipelined {
						l.closeIdle()
					}
				}
				l.connState(n, state)
			}
			accepted := make(chan net.Conn, 1)
			go func() { _ = s.Serve(acceptHook{l, accepted}) }()
			conn, r := dialServer(t, a)
			n := (<-accepted).(*clientConn)
			write := func(s string) {
				t.Helper()
				if _, err := io.WriteString(conn, s); err != nil {
					t.Fatal(err)
				}
			}
			waitIdle := func() {
				t.Helper()
				for end := time.Now().Add(2 * time.Second); n.isBusy(); time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						t.Fatal("busy without a request")
					}
				}
			}
			first := "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"
			if c.pipelined {
				first += begin + rest
			}
			write(first)
			expectBody(t, r, "/first")
			if !c.pipelined {
				waitIdle()
				n.mu.Lock()
				write(c.begin)
				time.Sleep(50 * time.Millisecond) // the reader has the bytes and waits for the mutex
				n.closing = true                  // as closeIfIdle does
				if err := n.SetReadDeadline(time.Now()); err != nil {
					t.Fatal(err)
				}
				n.mu.Unlock()
				time.Sleep(50 * time.Millisecond)
				write(c.rest)
			}
			expectBody(t, r, "/second")
			waitIdle()
			sendGet(t, conn, "/third")
			expectBody(t, r, "/third")
		})
	}
}

// TestWakeUpCrossesIdleDeadline guards against a stop that waits for an idle connection until the grace period ends: the reader was woken to
// close it, but net/http then removed the read deadline, as it does after each response.
func TestWakeUpCrossesIdleDeadline(t *testing.T) {
	l, s, a := newTestServer(t, echoPath)
	woken := make(chan struct{})
	s.ConnState = func(c net.Conn, state http.ConnState) {
		l.connState(c, state)
		if state == http.StateIdle {
			l.closeIdle()
			close(woken)
		}
	}
	go func() { _ = s.Serve(l) }()
	conn, r := dialServer(t, a)
	sendGet(t, conn, "/first")
	expectBody(t, r, "/first")
	<-woken
	time.Sleep(50 * time.Millisecond) // net/http waits for the next request
	l.closeIdle()
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("the connection is not closed: %v", err)
	}
}

// notedListener is a listener whose connections call onTimeout when a timeout of theirs is about to be carried out.
type notedListener struct {
	net.Listener
	onTimeout func()
}

// Accept returns the next connection.
func (l notedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return notedConn{c, l.onTimeout}, err
}

type notedConn struct {
	net.Conn
	onTimeout func()
}

// NoteTimeout is called before the connection is closed.
func (c notedConn) NoteTimeout() { c.onTimeout() }

// TestHeadTimeoutCrossesRequest guards against closing the connection of a request whose head was read as a whole while the timeout for
// it was being handled.
func TestHeadTimeoutCrossesRequest(t *testing.T) {
	const begin, rest = "GET /second HT", "TP/1.1\r\nHost: h\r\n\r\n"
	for name, crossing := range map[string]string{"before it is reported": "report", "before its handler": "handler", "during its close": "close"} {
		t.Run(name, func(t *testing.T) {
			var n *clientConn
			var conn net.Conn
			begun := make(chan struct{}, 1)
			expire := func() {
				n.mu.Lock()
				n.expires = time.Now().Add(-time.Second)
				n.mu.Unlock()
				n.onTimeout()
			}
			l, s, a := newTestServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/second" {
					begun <- struct{}{}
					time.Sleep(50 * time.Millisecond) // the close is carried out
				}
				echoPath(w, r)
			}))
			l.Listener = notedListener{l.Listener, func() {
				if crossing != "close" {
					return
				}
				if _, err := io.WriteString(conn, rest); err != nil {
					t.Error(err)
				}
				select {
				case <-begun:
					begun <- struct{}{}
				case <-time.After(200 * time.Millisecond):
				}
			}}
			requests, inner := 0, s.Handler
			s.ConnState = func(c net.Conn, state http.ConnState) {
				if state == http.StateActive {
					if requests++; requests == 2 && crossing == "report" {
						expire()
					}
				}
				l.connState(c, state)
			}
			s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/second" && crossing == "handler" {
					expire()
				}
				inner.ServeHTTP(w, r)
			})
			accepted := make(chan net.Conn, 1)
			go func() { _ = s.Serve(acceptHook{l, accepted}) }()
			var r *bufio.Reader
			conn, r = dialServer(t, a)
			n = (<-accepted).(*clientConn)
			sendGet(t, conn, "/first")
			expectBody(t, r, "/first")
			if _, err := io.WriteString(conn, begin); err != nil {
				t.Fatal(err)
			}
			for read := false; !read; time.Sleep(time.Millisecond) {
				n.mu.Lock()
				read = n.idle && n.headBegun
				n.mu.Unlock()
			}
			if crossing == "close" {
				expire()
			} else if _, err := io.WriteString(conn, rest); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			resp, err := http.ReadResponse(r, nil)
			if err == nil {
				_ = resp.Body.Close()
				return
			}
			if crossing != "close" || len(begun) > 0 {
				t.Errorf("no answer to a request that was read: %v", err)
			}
		})
	}
}

// deadlineConn has bytes after a first read that ends at its deadline.
type deadlineConn struct {
	net.Conn
	reads    int
	deadline time.Time
}

func (c *deadlineConn) Read(b []byte) (int, error) {
	if c.reads++; c.reads == 1 {
		return 0, os.ErrDeadlineExceeded
	}
	return len(b), nil
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// TestWakeUpLeavesNoDeadline guards against a head that is cut off earlier than the configured timeout, by a read deadline that a wake-up
// of its connection left behind.
func TestWakeUpLeavesNoDeadline(t *testing.T) {
	var v atomic.Pointer[snapshot]
	v.Store(&snapshot{})
	inner := &deadlineConn{}
	c := &clientConn{Conn: inner, listener: newClientListener(nil, &v), idle: true, headBegun: true, closing: true}
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	if !inner.deadline.IsZero() {
		t.Errorf("a deadline in %v is left", time.Until(inner.deadline))
	}
}
