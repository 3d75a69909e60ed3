package connlimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

const (
	testBytes  = 16 << 10
	testFields = 1000
)

// startServer starts an HTTP server behind a listener with limits.
func startServer(t testing.TB, l *Limiter, share float64, h http.HandlerFunc) string {
	t.Helper()
	n, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ConnState: ConnState, ReadHeaderTimeout: time.Minute}
	AllowFields(s)
	g := l.Listen(n, ListenerOptions{Name: "test", Share: share, HeadLimits: func() (int, int) { return testBytes, testFields }})
	go func() { _ = s.Serve(g) }()
	t.Cleanup(func() { _ = s.Close() })
	return n.Addr().String()
}

func dial(t testing.TB, address string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// status sends a request and returns the status of the response, 0 if there is none.
func status(t testing.TB, c net.Conn, request string) int {
	t.Helper()
	_, _ = io.WriteString(c, request)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode
}

func readBody(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }

// TestHeads guards against heads that cost more than their limits allow, and against a limit that a request inside them meets.
func TestHeads(t *testing.T) {
	fields := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "a%d:\r\n", i)
		}
		return b.String()
	}
	const get, post = "GET / HTTP/1.1\r\nHost: h\r\n", "POST / HTTP/1.1\r\nHost: h\r\n"
	for name, c := range map[string]struct {
		request string
		want    int
	}{
		"small":                   {get + "\r\n", http.StatusOK},
		"long field":              {get + "X: " + strings.Repeat("x", 15<<10) + "\r\n\r\n", http.StatusOK},
		"many fields":             {get + fields(testFields-10) + "\r\n", http.StatusOK},
		"too many fields":         {get + fields(2*testFields), http.StatusRequestHeaderFieldsTooLarge},
		"too many bytes":          {get + "X: " + strings.Repeat("x", 24<<10), http.StatusRequestHeaderFieldsTooLarge},
		"body of empty lines":     {post + "Content-Length: 60000\r\n\r\n" + strings.Repeat("\n", 60000), http.StatusOK},
		"empty lines and no head": {strings.Repeat("\r\n", 3000), 0},
	} {
		t.Run(name, func(t *testing.T) {
			a := startServer(t, New(Options{Memory: 64 << 20}), 1, readBody)
			conn := dial(t, a)
			got := status(t, conn, c.request)
			if c.want == 0 && got != http.StatusOK || got == c.want {
				return
			}
			t.Errorf("status %d, want %d", got, c.want)
		})
	}
}

// TestReusedConn guards against counting the heads of all requests of a connection together.
func TestReusedConn(t *testing.T) {
	a := startServer(t, New(Options{Memory: 64 << 20}), 1, readBody)
	c := dial(t, a)
	for i := range 20 {
		if s := status(t, c, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 10<<10)+"\r\n\r\n"); s != http.StatusOK {
			t.Fatalf("request %d: status %d", i, s)
		}
	}
}

// TestHeadMemory guards against heads that stop short of their end and hold the memory that ordinary ones need.
func TestHeadMemory(t *testing.T) {
	l := New(Options{Memory: 16 << 20}) // 1 MiB for heads
	a := startServer(t, l, 1, readBody)
	for range 100 {
		c := dial(t, a)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 15<<10))
	}
	time.Sleep(2 * minAge)
	if s := status(t, dial(t, a), "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 15<<10)+"\r\n\r\n"); s != http.StatusOK {
		t.Errorf("status %d beside heads that don't end", s)
	}
}

// TestMaxConns guards against more connections than allowed, against closing one with a request under way, and against
// refusing new clients while others send nothing.
func TestMaxConns(t *testing.T) {
	release := make(chan struct{})
	l := New(Options{Memory: 1 << 30, Descriptors: 40}) // 24 connections
	a := startServer(t, l, 1, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	})
	const get = "GET /%s HTTP/1.1\r\nHost: h\r\n\r\n"
	var slow []net.Conn
	for range 10 {
		c := dial(t, a)
		fmt.Fprintf(c, get, "slow")
		slow = append(slow, c)
	}
	time.Sleep(2 * minAge)
	for range 100 {
		dial(t, a)
	}
	time.Sleep(2 * minAge)
	l.mu.Lock()
	n := l.conns
	l.mu.Unlock()
	if n > l.MaxConns() {
		t.Errorf("%d connections of %d", n, l.MaxConns())
	}
	if s := status(t, dial(t, a), fmt.Sprintf(get, "")); s != http.StatusOK {
		t.Errorf("status %d of a new client beside silent ones", s)
	}
	close(release)
	for i, c := range slow {
		if s := status(t, c, ""); s != http.StatusOK {
			t.Errorf("request %d that was under way: status %d", i, s)
		}
	}
}

// stuckConn is a connection whose client doesn't read.
type stuckConn struct {
	net.Conn
	deadline time.Time
	sets     int
}

func (c *stuckConn) Write(b []byte) (int, error) {
	if len(b) > writeChunk {
		return 0, errors.New("more than a chunk at once")
	}
	if c.deadline.IsZero() || time.Until(c.deadline) > unreadTimeout {
		return 0, errors.New("no deadline in time")
	}
	return 0, os.ErrDeadlineExceeded
}

func (c *stuckConn) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	c.sets++
	return nil
}

func (c *stuckConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }
func (c *stuckConn) Close() error         { return nil }

// TestUnread guards against a write without a deadline, a deadline of a handler that is moved, and a system call for each event.
func TestUnread(t *testing.T) {
	for name, user := range map[string]time.Duration{"no other deadline": 0, "a later one": time.Hour, "an earlier one": time.Second} {
		t.Run(name, func(t *testing.T) {
			s := &stuckConn{}
			c := newConn(s, &Listener{limiter: New(Options{Memory: 64 << 20})})
			want := time.Now().Add(unreadTimeout)
			if user > 0 {
				at := time.Now().Add(user)
				if err := c.SetWriteDeadline(at); err != nil {
					t.Fatal(err)
				}
				if at.Before(want) {
					want = at
				}
			}
			sets := s.sets
			for range 10 {
				if _, err := c.Write(make([]byte, 1<<20)); !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Fatal(err)
				}
			}
			if d := s.deadline.Sub(want); d < -time.Second || d > time.Second {
				t.Errorf("deadline %v from the expected one", d)
			}
			if s.sets-sets > 2 {
				t.Errorf("%d deadlines set for ten writes", s.sets-sets)
			}
		})
	}
}

// BenchmarkRequest compares a request on a kept connection with and without limits.
func BenchmarkRequest(b *testing.B) {
	for name, limited := range map[string]bool{"plain": false, "limited": true} {
		b.Run(name, func(b *testing.B) {
			n, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := &http.Server{Handler: http.HandlerFunc(readBody), ReadHeaderTimeout: time.Minute}
			l := n
			if limited {
				s.ConnState = ConnState
				l = New(Options{Memory: 144 << 20}).Listen(n, ListenerOptions{Share: 1, HeadLimits: func() (int, int) { return testBytes, testFields }})
			}
			go func() { _ = s.Serve(l) }()
			defer s.Close()
			c := dial(b, n.Addr().String())
			r := bufio.NewReader(c)
			request := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X-Field: some value of a field\r\n", 15) + "\r\n"
			for b.Loop() {
				_, _ = io.WriteString(c, request)
				a, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				_ = a.Body.Close()
			}
		})
	}
}

// BenchmarkEvents compares a stream of 100 events on a kept connection with and without limits.
func BenchmarkEvents(b *testing.B) {
	events := func(w http.ResponseWriter, _ *http.Request) {
		c := http.NewResponseController(w)
		for range 100 {
			_, _ = io.WriteString(w, "data: some words of an answer\n\n")
			_ = c.Flush()
		}
	}
	for name, limited := range map[string]bool{"plain": false, "limited": true} {
		b.Run(name, func(b *testing.B) {
			n, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := &http.Server{Handler: http.HandlerFunc(events), ReadHeaderTimeout: time.Minute}
			l := n
			if limited {
				s.ConnState = ConnState
				l = New(Options{Memory: 144 << 20}).Listen(n, ListenerOptions{Share: 1, HeadLimits: func() (int, int) { return testBytes, testFields }})
			}
			go func() { _ = s.Serve(l) }()
			defer s.Close()
			c := dial(b, n.Addr().String())
			r := bufio.NewReader(c)
			for b.Loop() {
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				a, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, a.Body); err != nil {
					b.Fatal(err)
				}
				_ = a.Body.Close()
			}
		})
	}
}
