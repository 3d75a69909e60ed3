package engine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/engine"
)

// serveText answers each request with the same bytes and closes the connection.
func serveText(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	l, a := listen(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, text)
			}
			_ = c.(*net.TCPConn).CloseWrite()
			_ = c.Close()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return a
}

// TestReplyCutOff guards against a reply that is taken for complete although the endpoint stopped within its head or its body
// and closed the connection.
func TestReplyCutOff(t *testing.T) {
	const event = `data: {"model":"m@1","choices":[{"delta":{"content":"text"},"finish_reason":"stop"}]}` + "\n\n"
	replies := map[string]string{
		"length":           "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\nbody",
		"chunks":           "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"interim response": "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"error page":       "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nbody",
	}
	for name, text := range replies {
		t.Run("call/"+name, func(t *testing.T) {
			for n := range len(text) {
				c := newClient(t)
				r, err := c.CallService(t.Context(), serveText(t, text[:n]), engine.ServiceCall{Method: http.MethodGet, Path: "/", ID: "call"}, 5*time.Second)
				if err == nil {
					t.Errorf("cut after %d of %d bytes: status %d, body %q", n, len(text), r.Status, r.Body)
				}
			}
		})
	}
	t.Run("call/without length and body", func(t *testing.T) {
		r, err := newClient(t).CallService(t.Context(), serveText(t, "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"), engine.ServiceCall{Method: http.MethodGet, Path: "/", ID: "call"}, 5*time.Second)
		if err == nil {
			t.Errorf("status %d, body %q", r.Status, r.Body)
		}
	})
	t.Run("stream", func(t *testing.T) {
		text := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + event
		q := engine.ChatRequest{Model: "m@1", Messages: []engine.Message{{Role: "user", Content: prompt}}}
		for n := range len(text) - 2 { // the event ends with its first line feed
			if _, err := newClient(t).Stream(t.Context(), serveText(t, text[:n]), "chat", q, func(string) error { return nil }); err == nil {
				t.Errorf("cut after %d of %d bytes", n, len(text))
			}
		}
	})
}

// TestReplyResetDuringUpload guards against a reply without a length that is taken for complete although the endpoint has reset the
// connection: the write of a long body gets the error then, and the read only the end.
func TestReplyResetDuringUpload(t *testing.T) {
	const attempts = 50
	l, a := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart of the body")
				time.Sleep(time.Millisecond)
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	defer l.Close()
	client, complete := newClient(t), 0
	for range attempts {
		call := engine.ServiceCall{Method: http.MethodPost, Path: "/", ID: "call", Body: make([]byte, 8<<20)}
		if r, err := client.CallService(t.Context(), a, call, 5*time.Second); err == nil {
			complete++
			r.Release()
		}
	}
	if complete > 0 {
		t.Errorf("%d of %d replies were taken for complete", complete, attempts)
	}
}

// TestReplyToHead guards against a reply to HEAD without a length that is taken for one that ended before its body.
func TestReplyToHead(t *testing.T) {
	call := engine.ServiceCall{Method: http.MethodHead, Path: "/", ID: "call"}
	if _, err := newClient(t).CallService(t.Context(), serveText(t, "HTTP/1.1 200 OK\r\n\r\n"), call, 5*time.Second); err != nil {
		t.Error(err)
	}
}

// TestReplyOfEndedEndpoint guards against a reply without a length that is taken for complete although the endpoint's process has ended:
// its connections end as if it had sent everything.
func TestReplyOfEndedEndpoint(t *testing.T) {
	for name, ends := range map[string]bool{"runs on": false, "ends": true} {
		t.Run(name, func(t *testing.T) {
			l, a := listen(t)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart of the body")
				}
				if ends {
					_ = l.Close()
				}
				_ = c.Close()
			}()
			r, err := newClient(t).CallService(t.Context(), a, engine.ServiceCall{Method: http.MethodGet, Path: "/", ID: "call"}, 5*time.Second)
			if (err != nil) != ends {
				t.Errorf("status %d, body %q, error %v", r.Status, r.Body, err)
			}
			r.Release()
		})
	}
}

// TestCancelledConfirmation guards against blaming an endpoint for a call that is cancelled or late while the end of its reply is confirmed.
func TestCancelledConfirmation(t *testing.T) {
	for name, cancels := range map[string]bool{"cancelled": true, "late": false} {
		t.Run(name, func(t *testing.T) {
			l, a := listen(t)
			defer l.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			start := time.Now()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
							return
						}
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
						time.Sleep(time.Until(start.Add(90 * time.Millisecond)))
						_ = c.Close()
						time.Sleep(10 * time.Millisecond)
						if cancels {
							cancel()
						}
					}()
				}
			}()
			timeout, want := 100*time.Millisecond, engine.ErrTimeout
			if cancels {
				timeout, want = 5*time.Second, engine.ErrCancelled
			}
			_, err := newClient(t).CallService(ctx, a, engine.ServiceCall{Method: http.MethodGet, Path: "/", ID: "call"}, timeout)
			var e *engine.Error
			if !errors.As(err, &e) || e.Kind != want {
				t.Errorf("error %v, want kind %v", err, want)
			}
		})
	}
}

// TestReplyResetAfterEnd guards against a reply without a length that counts as complete although its connection is reset 5 ms after its end.
func TestReplyResetAfterEnd(t *testing.T) {
	l, a := listen(t)
	defer l.Close()
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				c := n.(*net.TCPConn)
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart of the body")
					_ = c.CloseWrite()
					time.Sleep(5 * time.Millisecond)
					_ = c.SetLinger(0)
				}
				_ = c.Close()
			}()
		}
	}()
	const attempts = 20
	complete := 0
	for range attempts {
		if r, err := newClient(t).CallService(t.Context(), a, engine.ServiceCall{Method: http.MethodGet, Path: "/", ID: "call"}, 5*time.Second); err == nil {
			complete++
			r.Release()
		}
	}
	if complete > 0 {
		t.Errorf("%d of %d replies that were reset were taken for complete", complete, attempts)
	}
}

// TestInvalidReplyHead guards against a reply that is no HTTP and reaches the caller as an answer.
func TestInvalidReplyHead(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":         "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody",
		"status 600":         "HTTP/1.1 600 Trouble\r\nContent-Length: 4\r\n\r\nbody",
		"chunks of HTTP/0.9": "HTTP/0.9 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"chunks of HTTP/1.0": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"blank":              "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody and more",
		"NUL":                "HTTP/1.1 200 OK\r\nX: a\x00b\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t)
			call := engine.ServiceCall{Method: http.MethodGet, Path: "/", ID: "call"}
			if r, err := c.CallService(t.Context(), serveText(t, text), call, 5*time.Second); err == nil {
				t.Errorf("call: status %d, header %v, body %q", r.Status, r.Header, r.Body)
			}
			conn, err := c.Connect(t.Context(), serveText(t, text))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if r, err := conn.Call(t.Context(), call, 5*time.Second); err == nil {
				t.Errorf("single use: status %d, header %v, body %q", r.Status, r.Header, r.Body)
			}
		})
	}
}
