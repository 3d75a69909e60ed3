package ingress

import (
	"io"
	"net"
	"net/http"
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
