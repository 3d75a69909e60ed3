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

// TestLongBodyReadLate guards against breaking the connection of an endpoint that responds before it has read a long body and
// reads on later: its kernel confirms all probes meanwhile, so the peer is not gone.
func TestLongBodyReadLate(t *testing.T) {
	const bodySize, pause = 1 << 20, 4 * time.Second
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	read := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab"); err != nil {
			return
		}
		time.Sleep(pause)
		_, err = io.Copy(io.Discard, q.Body)
		read <- err
		_, _ = io.WriteString(c, "cd")
	}()
	p := NewPool(Dialer{Timeout: time.Second}, 1)
	defer p.Close()
	start := time.Now()
	q := Request{ID: "1", Method: http.MethodPost, Target: "/", Host: "h", Body: bytes.Repeat([]byte("x"), bodySize), HasBody: true}
	resp, err := p.Send(t.Context(), netip.MustParseAddrPort(l.Addr().String()), q, true, func(http.Header) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close(false)
	b, err := resp.ReadAll(1<<20, noLimit)
	if err != nil || string(b) != "abcd" {
		t.Errorf("body %q, %v after %v", b, err, time.Since(start))
	}
	if err := <-read; err != nil {
		t.Errorf("the endpoint did not get the whole body: %v", err)
	}
}
