package connlimit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
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
			for waiting := false; !waiting; time.Sleep(time.Millisecond) {
				conn.mu.Lock()
				waiting = conn.reading
				conn.mu.Unlock()
			}
			c.evict(l, time.Now().Add(time.Minute))
			_ = client.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			_, err := client.Read(make([]byte, 1))
			if open := !errors.Is(err, io.EOF); open || crossed == nil {
				t.Errorf("connection open: %v, read of the last bytes: %v; want it closed and no bytes", open, crossed)
			}
		})
	}
}

// TestEvictionSparesBufferedRequest guards against closing a connection as idle or as one with a slow head while the server has a whole
// request of it in its buffer: a request that came with the one before it, or whose head was read in two parts that way.
func TestEvictionSparesBufferedRequest(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, reads := range map[string][]string{
		"two requests in one read":       {get + get},
		"end of the second head follows": {get + get[:len(get)-2], get[len(get)-2:]},
		"first byte read beside another": {get, get[:1], get[1:]},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestListener(New(Options{Memory: 64 << 20}), false)
			s := &scriptedConn{reads: reads}
			c := newConn(s, l)
			l.conns[c] = struct{}{}
			b := make([]byte, 4<<10)
			_, _ = c.Read(b)
			c.setState(http.StateActive)
			if len(reads) == 3 {
				_, _ = c.Read(b[:1]) // in the background, while the answer is written
			}
			c.setState(http.StateIdle)
			for len(s.reads) > 0 {
				_, _ = c.Read(b)
			}
			// The server has the request and is about to report the connection as active.
			l.closeSlowest(time.Now().Add(time.Minute))
			if c.Evicted() {
				t.Error("closed under a request that was read")
			}
		})
	}
}

// TestEvictionOfOpaqueCrossesRequest guards against closing an idle connection whose bytes can't be parsed, as those of TLS, when the
// server has just read a request from it.
func TestEvictionOfOpaqueCrossesRequest(t *testing.T) {
	l := newTestListener(New(Options{Memory: 64 << 20}), true)
	c := newConn(&scriptedConn{reads: []string{strings.Repeat("x", 2*provenBytes), "request"}}, l)
	defer c.Close()
	l.conns[c] = struct{}{}
	b := make([]byte, 4<<10)
	_, _ = c.Read(b)
	c.setState(http.StateActive)
	c.setState(http.StateIdle)
	_, _ = c.Read(b)
	l.closeSlowest(time.Now().Add(time.Minute))
	if c.Evicted() {
		t.Error("closed under a request that was read")
	}
}

// TestUnprovenCrossesBytes guards against closing an opaque connection that has sent enough while the timeout for that is being handled.
func TestUnprovenCrossesBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestListener(New(Options{Memory: 64 << 20}), true)
		c := newConn(&scriptedConn{reads: []string{strings.Repeat("x", 2*provenBytes)}}, l)
		defer c.Close()
		c.mu.Lock()
		time.Sleep(unprovenTimeout) // the timer expires, and its function waits for the mutex
		c.noteOpaque(2 * provenBytes)
		c.mu.Unlock()
		synctest.Wait()
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closed {
			t.Error("a proven connection was closed")
		}
	})
}
