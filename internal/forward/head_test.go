package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// headCase is a response with a head that may be invalid.
type headCase struct {
	text  string
	valid bool
}

// TestInvalidStatus guards against a response with a status that HTTP doesn't define: one below 200 was skipped as an interim
// response, and the bytes after it were taken for the response.
func TestInvalidStatus(t *testing.T) {
	checkHeads(t, map[string]headCase{
		"valid":                    {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", true},
		"interim":                  {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", true},
		"status 000":               {"HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody", false},
		"status 000, then a head":  {"HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		"status 099":               {"HTTP/1.1 099 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		"status 600":               {"HTTP/1.1 600 Trouble\r\nContent-Length: 4\r\n\r\nbody", false},
		"status +20":               {"HTTP/1.1 +20 Trouble\r\nContent-Length: 4\r\n\r\nbody", false},
		"switched protocols":       {"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		"another protocol version": {"HTTP/3.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		"length and chunks":        {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
		"two lengths":              {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody", false},
	})
}

// TestInvalidFieldName guards against a response with a field whose name or value HTTP doesn't allow: the field was passed on, and
// the body was read without the length that such a field states.
func TestInvalidFieldName(t *testing.T) {
	checkHeads(t, map[string]headCase{
		"blank before the colon":    {"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody", false},
		"blank in a name":           {"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 4\r\n\r\nbody", false},
		"blank in an interim name":  {"HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		"control byte in a name":    {"HTTP/1.1 200 OK\r\nX\x01Y: z\r\nContent-Length: 4\r\n\r\nbody", false},
		"tab in a name":             {"HTTP/1.1 200 OK\r\nX\tY: z\r\nContent-Length: 4\r\n\r\nbody", false},
		"NUL in a value":            {"HTTP/1.1 200 OK\r\nX: a\x00b\r\nContent-Length: 4\r\n\r\nbody", false},
		"carriage return in value":  {"HTTP/1.1 200 OK\r\nX: a\rY: b\r\nContent-Length: 4\r\n\r\nbody", false},
		"blank in name of a stray":  {"HTTP/1.1 200 OK\r\nStray: 1\r\nContent-Length : 4\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		"blank after the last line": {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n \r\n\r\nbody", true}, // a folded line
	})
}

// TestChunksInHTTP10 guards against an HTTP/1.0 response in chunks whose chunks are taken for a body without a length, so that the sizes of
// the chunks get to the client and a part of the chunks is complete.
func TestChunksInHTTP10(t *testing.T) {
	long := "X: " + strings.Repeat("y", 2*readBufferSize) + "\r\n"
	checkHeads(t, map[string]headCase{
		"chunks":                   {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		"chunks, long head":        {"HTTP/1.0 200 OK\r\n" + long + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		"chunks and length":        {"HTTP/1.0 200 OK\r\nContent-Length: 4\r\ntransfer-encoding: chunked\r\n\r\nbody", false},
		"length":                   {"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", true},
		"length, long head":        {"HTTP/1.0 200 OK\r\n" + long + "Content-Length: 4\r\n\r\nbody", true},
		"neither":                  {"HTTP/1.0 200 OK\r\n\r\nbody", true},
		"head cut within its line": {"HTTP/1.0 200 OK\r\nContent-Le", false},
		"line as long as a buffer": {"HTTP/1.0 200 OK\r\nX: " + strings.Repeat("y", readBufferSize-3) + "\r\nContent-Length: 4\r\n\r\nbody", true},
	})
}

// checkHeads checks that valid responses are read and others are rejected.
func checkHeads(t *testing.T, cases map[string]headCase) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := serveConn(t, func(conn *net.TCPConn, _ *bufio.Reader, _ *http.Request) {
				_, _ = io.WriteString(conn, c.text)
				_ = conn.CloseWrite()
				time.Sleep(10 * time.Millisecond)
			})
			p := NewPool(Dialer{Timeout: time.Second}, 1)
			defer p.Close()
			q := Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h"}
			resp, err := p.Send(t.Context(), a, q, true, func(h http.Header) bool { return h.Get("Stray") == "" })
			if err != nil {
				if c.valid || KindOf(err) != ErrBadResponse {
					t.Errorf("%v (%s)", err, KindOf(err))
				}
				return
			}
			defer resp.Close(false)
			if b, err := resp.ReadAll(1<<20, noLimit); !c.valid || err != nil || string(b) != "body" {
				t.Errorf("status %d, header %v, body %q, %v", resp.Status, resp.Header, b, err)
			}
		})
	}
}
