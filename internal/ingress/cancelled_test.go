package ingress

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// hookedBody calls onEnd when the end of the body has been read, before the reader learns of it.
type hookedBody struct {
	io.ReadCloser
	onEnd func()
}

func (b hookedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.onEnd()
	}
	return n, err
}

// TestSlowBodyCrossesItsEnd guards against an empty response with status 200: a body was found too slow when its end had just been
// read, the read deadline then failed net/http's background read, which cancels the request, and its client was taken to have left.
func TestSlowBodyCrossesItsEnd(t *testing.T) {
	i, _ := newServingIngress(t, headerProtocol{func() {}}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "answer")
	})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = hookedBody{r.Body, func() {
			time.Sleep(1100 * time.Millisecond) // longer than a transfer may pause while others need its memory
			other := i.options.RequestMemory.NewReservation()
			defer other.Release()
			_ = other.Grow(i.options.RequestMemory.MaxBodySize() + 1) // more than is left
			<-r.Context().Done()
		}}
		i.handler.ServeHTTP(w, r)
	}))
	defer s.Close()
	c, _ := dialServer(t, s.Listener.Addr().String())
	const request = "POST /call/x HTTP/1.1\r\nHost: host\r\nId: slow\r\nContent-Length: 4\r\n\r\nbody"
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if b, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusRequestTimeout || !strings.Contains(string(b), "body too slow") {
		t.Errorf("status %d, body %q; want a refusal", resp.StatusCode, b)
	}
	if !resp.Close {
		t.Error("the connection is kept, though net/http cancels all further requests on it")
	}
}

// TestCancelledRequestEndsIncomplete guards against a response that looks complete to a client that still reads when net/http has
// cancelled its request: an empty response with status 200, or the regular end of a stream that was cut.
func TestCancelledRequestEndsIncomplete(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		head string // of the request, with its protocol
	}{
		"call":             {"/call/x", "HTTP/1.1\r\nHost: host\r\nId: cancelled\r\n\r\n"},
		"stream":           {"/stream/x", "HTTP/1.1\r\nHost: host\r\nId: cancelled\r\n\r\n"},
		"stream, HTTP/1.0": {"/stream/x", "HTTP/1.0\r\nHost: host\r\nId: cancelled\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{}, 1)
			i, _ := newServingIngress(t, headerProtocol{func() {}}, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				if strings.HasPrefix(c.path, "/stream/") {
					w.Header().Set("Content-Type", "text/event-stream")
					_, _ = io.WriteString(w, testEvent(1))
					_ = http.NewResponseController(w).Flush()
				}
				arrived <- struct{}{}
				<-r.Context().Done()
			})
			l, s, a := newTestServer(t, i.handler)
			go func() { _ = s.Serve(l) }()
			conn, r := dialServer(t, a)
			if _, err := io.WriteString(conn, "GET "+c.path+" "+c.head); err != nil {
				t.Fatal(err)
			}
			<-arrived
			var resp *http.Response
			var err error
			if strings.HasPrefix(c.path, "/stream/") {
				if resp, err = http.ReadResponse(r, nil); err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				if _, err := io.ReadFull(resp.Body, make([]byte, len(testEvent(1)))); err != nil {
					t.Fatal(err)
				}
			}
			// The end of the client's sending side cancels the request as a failed read does.
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			if resp == nil {
				if resp, err = http.ReadResponse(r, nil); err != nil {
					return
				}
				defer resp.Body.Close()
			}
			if b, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("status %d and a complete body %q", resp.StatusCode, b)
			}
		})
	}
}
