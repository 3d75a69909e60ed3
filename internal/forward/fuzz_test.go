package forward

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// fakeConn is a connection on which the bytes of a response can be read and to which writes are discarded.
type fakeConn struct {
	net.Conn
	r io.Reader
}

func (c *fakeConn) Read(b []byte) (int, error)      { return c.r.Read(b) }
func (*fakeConn) Write(b []byte) (int, error)       { return len(b), nil }
func (*fakeConn) Close() error                      { return nil }
func (*fakeConn) SetReadDeadline(_ time.Time) error { return nil }
func noLimit(int64) error                           { return nil }
func testConn(b io.Reader) *conn                    { return newConn(&fakeConn{r: b}, netip.AddrPort{}, &activity{}) }
func isOwnResponse(h http.Header) bool              { return h.Get("X-Id") != "another" }

// FuzzAnswer guards against bytes from an endpoint that crash an instance or are held beyond the limits.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\nT: v\r\n\r\n",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody", "HTTP/1.1 503 No\r\n\r\n", "\x00\x01 no answer\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: another\r\nContent-Length: 1\r\n\r\nxHTTP/1.0 200 OK\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	const limit = 1 << 10
	f.Fuzz(func(t *testing.T, b []byte) {
		c := testConn(bytes.NewReader(b))
		r, err := c.exchange(Request{Method: http.MethodPost, Target: "/", Host: "h"}, isOwnResponse, newWriteState())
		if err != nil {
			return
		}
		p := &Response{Body: r.Body, Length: r.ContentLength, conn: c, ctx: t.Context()}
		if out, err := p.ReadAll(limit, noLimit); err == nil && (len(out) > limit || len(out) > len(b) || r.ContentLength >= 0 && int64(len(out)) != r.ContentLength) {
			t.Errorf("read %d bytes of a body of %d", len(out), r.ContentLength)
		}
	})
}

// FuzzEvents guards against lost, joined or changed events.
func FuzzEvents(f *testing.F) {
	for _, s := range []string{"id: 1\ndata: x\n\n", ":\n\n", "data: a\r\n\r\nid:2\n\n", "\n\n", "id: 1\ndata: cut", "data"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		e := NewEventReader(bytes.NewReader(b), noLimit)
		var out []byte
		for {
			v, err := e.Next()
			if err != nil {
				break
			}
			if !bytes.HasSuffix(v.Bytes, []byte("\n")) || v.ID != "" && !v.HasData {
				t.Errorf("invalid event %q with identifier %q", v.Bytes, v.ID)
			}
			out = append(out, v.Bytes...)
		}
		if !bytes.HasPrefix(b, out) {
			t.Errorf("events %q are no prefix of the stream %q", out, b)
		}
	})
}
