package connlimit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// hookedConn is a connection that calls onAddr when its remote address is first asked for, which eviction does between the choice of
// a connection and its close.
type hookedConn struct {
	net.Conn
	once   sync.Once
	onAddr func()
}

func (c *hookedConn) RemoteAddr() net.Addr {
	c.once.Do(c.onAddr)
	return &net.TCPAddr{}
}

// TestEvictionCrossesRequest guards against closing a connection under a request whose last bytes were read after the connection was
// chosen to make room for others.
func TestEvictionCrossesRequest(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: h\r\n"
	connections := func(l *Listener, now time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.closeSlowest(now)
	}
	for name, c := range map[string]struct {
		before, after string // bytes that arrive before and after the choice
		idle          bool   // a request has been answered
		evict         func(l *Listener, now time.Time)
	}{
		"slow head":       {get, "\r\n", false, connections},
		"first request":   {"", get + "\r\n", false, connections},
		"idle connection": {"", get + "\r\n", true, connections},
		"large head": {get + "X: " + strings.Repeat("x", 8<<10), "\r\n\r\n", false, func(l *Listener, now time.Time) {
			l.limiter.closeSlowestHeads(now, nil)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestListener(New(Options{Memory: 64 << 20}), false)
			l.limiter.listeners = []*Listener{l}
			client, server := net.Pipe()
			defer client.Close()
			reads := make(chan error, 100)
			read := func(what string) error {
				t.Helper()
				select {
				case err := <-reads:
					return err
				case <-time.After(10 * time.Second):
					t.Fatal("no read of " + what)
					return nil
				}
			}
			crossed := errors.New("the remote address was not asked for")
			hooked := &hookedConn{Conn: server, onAddr: func() {
				_, _ = io.WriteString(client, c.after)
				crossed = read("the last bytes")
			}}
			conn := newConn(hooked, l)
			l.conns[conn] = struct{}{}
			if c.idle {
				conn.setState(http.StateActive)
				conn.setState(http.StateIdle)
			}
			go func() {
				b := make([]byte, 16<<10)
				for {
					_, err := conn.Read(b)
					if reads <- err; err != nil {
						return
					}
				}
			}()
			if c.before != "" {
				_, _ = io.WriteString(client, c.before)
				if err := read("the first bytes"); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(20 * time.Millisecond) // the reader waits again
			c.evict(l, time.Now().Add(time.Minute))
			_ = client.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			_, err := client.Read(make([]byte, 1))
			if open := !errors.Is(err, io.EOF); open || crossed == nil {
				t.Errorf("connection open: %v, read of the last bytes: %v; want it closed and no bytes", open, crossed)
			}
		})
	}
}
