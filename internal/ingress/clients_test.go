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

// server serves a listener as an instance does, and returns the listener's connections and its address.
func server(t *testing.T, h http.Handler) (*clients, *http.Server, string) {
	t.Helper()
	n, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var v atomic.Pointer[View]
	v.Store(&View{})
	l := newClients(n, &v)
	s := &http.Server{ConnState: l.state, ConnContext: l.context, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			begun(r.Context())
			h.ServeHTTP(w, r)
		})}
	t.Cleanup(func() { _ = s.Close() })
	return l, s, n.Addr().String()
}

var echoPath = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

func ask(t *testing.T, c net.Conn, path string) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		t.Error(err)
	}
}

func answered(t *testing.T, r *bufio.Reader, path string) {
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

// TestStopTakesWhatHasCome guards against requests that have just come on kept connections when an instance stops, or that
// wait in its accept queue, and are cut off without an answer.
func TestStopTakesWhatHasCome(t *testing.T) {
	const conns = 100
	for name, stop := range map[string]func(l *clients){
		"idle connections": func(l *clients) { l.endIdle() },
		"idle connections, looked at often": func(l *clients) {
			for range 20 {
				l.endIdle()
			}
		},
		"accept queue": func(l *clients) {
			if err := l.finish(); err != nil {
				panic(err) // a listener of TCP has deadlines
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, s, a := server(t, echoPath)
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
				c, r := dial(t, a)
				if !queued {
					ask(t, c, "/first")
					answered(t, r, "/first")
				}
				all = append(all, conn{c, r})
			}
			for _, c := range all {
				ask(t, c, "/second")
			}
			if queued {
				stop(l)
				go serve()
			} else {
				stop(l)
			}
			for _, c := range all {
				answered(t, c.reader, "/second")
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

// TestStopEndsIdle guards against a stop that waits for connections without a request, and against one that ends a
// connection whose request is under way or half read.
func TestStopEndsIdle(t *testing.T) {
	release := make(chan struct{})
	l, s, a := server(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		echoPath(w, r)
	}))
	go func() { _ = s.Serve(l) }()
	idle, idleReader := dial(t, a)
	ask(t, idle, "/first")
	answered(t, idleReader, "/first")
	_, unusedReader := dial(t, a)
	slow, slowReader := dial(t, a)
	ask(t, slow, "/slow")
	half, halfReader := dial(t, a)
	if _, err := io.WriteString(half, "GET /half HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	wait := func(what string, f func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("waited for " + what)
			}
		}
	}
	wait("the connections", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		busy := 0
		for c := range l.conns {
			c.mu.Lock()
			if !c.idle || c.heard {
				busy++
			}
			c.mu.Unlock()
		}
		return len(l.conns) == 4 && busy == 2
	})
	wait("the end of the idle ones", func() bool { return l.endIdle() == 2 })
	for name, r := range map[string]*bufio.Reader{"idle": idleReader, "unused": unusedReader} {
		if _, err := r.ReadByte(); err == nil {
			t.Errorf("%s: bytes on a connection without a request", name)
		}
	}
	if _, err := io.WriteString(half, "Host: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	answered(t, halfReader, "/half")
	close(release)
	answered(t, slowReader, "/slow")
	wait("the end of all", func() bool { return l.endIdle() == 0 })
}

// TestResetAtEnd guards against a cut answer that looks complete to a client without chunks.
func TestResetAtEnd(t *testing.T) {
	for name, cut := range map[string]bool{"whole": false, "cut off": true} {
		t.Run(name, func(t *testing.T) {
			l, s, a := server(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				if cut {
					resetAtEnd(r.Context())
					panic(http.ErrAbortHandler)
				}
			}))
			go func() { _ = s.Serve(l) }()
			c, r := dial(t, a)
			if _, err := io.WriteString(c, "GET / HTTP/1.0\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(r); (err != nil) != cut {
				t.Errorf("read to the end: %v", err)
			}
		})
	}
}

// TestReadFindsBytes guards against a request that comes between the end of a wait and the close of its connection.
func TestReadFindsBytes(t *testing.T) {
	for name, come := range map[string]bool{"a request has come": true, "nothing has come": false} {
		t.Run(name, func(t *testing.T) {
			l, _, a := server(t, echoPath)
			c, _ := dial(t, a)
			n, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer n.Close()
			if come {
				ask(t, c, "/")
				time.Sleep(50 * time.Millisecond) // loopback delivers at once
			}
			s := n.(*client)
			s.ending = true
			if err := s.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
				t.Fatal(err)
			}
			k, err := s.Read(make([]byte, 100))
			if come && (k == 0 || err != nil) || !come && !errors.Is(err, io.EOF) {
				t.Errorf("%d bytes, %v", k, err)
			}
		})
	}
}
