package crowd

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kind is how the clients of a crowd misbehave.
type Kind string

// Kinds of crowds.
const (
	Silent       Kind = "silent"         // connect and send nothing
	IdleAfterOne Kind = "idle-after-one" // send one request, read the response and stay
	SlowHead     Kind = "slow-head"      // send one byte of a head every slowInterval
	ShortFields  Kind = "short-fields"   // send Bytes of very short header fields, and stop short of the end of the head
	Pipelined    Kind = "pipelined"      // send pipelinedRequests requests and read no response
	UnreadAnswer Kind = "unread-answer"  // send one request and don't read the response
	ShortBody    Kind = "short-body"     // send a body of Bytes but for its last byte
	PiecedBody   Kind = "pieced-body"    // the same, in pieces of pieceBytes
	ChunkedBody  Kind = "chunked-body"   // the same, in chunks, without the last chunk
	TinyChunks   Kind = "tiny-chunks"    // send a body of Bytes in chunks of one byte, without the last chunk
	OversizeBody Kind = "oversize-body"  // send a body without end
	EndlessTrail Kind = "endless-trail"  // send trailer fields without end
	SlowBody     Kind = "slow-body"      // send one byte of a body every slowInterval
	GRPCIdle     Kind = "grpc-idle"      // open an HTTP/2 connection without a stream
	GRPCHeaders  Kind = "grpc-headers"   // send the fields of one HTTP/2 request without end
	GRPCStreams  Kind = "grpc-streams"   // open HTTP/2 streams without end, each with Bytes of a message that does not end
)

// HTTPKinds lists the kinds that apply to an HTTP listener.
var HTTPKinds = []Kind{
	Silent, IdleAfterOne, SlowHead, ShortFields, Pipelined, UnreadAnswer, ShortBody, PiecedBody, ChunkedBody, TinyChunks, OversizeBody,
	EndlessTrail, SlowBody,
}

const (
	slowInterval      = 50 * time.Millisecond
	pieceBytes        = 1000
	pipelinedRequests = 40
	dialTimeout       = 2 * time.Second
	maxEndlessBytes   = 64 << 20 // bounds what one client sends in total
)

// Options describe a crowd.
type Options struct {
	Address netip.AddrPort
	Host    string
	Path    string
	Header  string // lines of the header, each with its line break
	Conns   int
	Bytes   int // of what each client sends, where the kind names it
}

// Crowd is a number of open connections.
type Crowd struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start connects the clients of a crowd, which stay until Close or until the server closes their connections.
func Start(ctx context.Context, k Kind, o Options) *Crowd {
	ctx, cancel := context.WithCancel(ctx)
	c := &Crowd{cancel: cancel}
	for range o.Conns {
		c.wg.Go(func() { runClient(ctx, k, o) })
	}
	return c
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.cancel()
	c.wg.Wait()
}

// runClient connects one client, which stays until the context ends. Errors are expected, as the server may close it.
func runClient(ctx context.Context, k Kind, o Options) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", o.Address.String())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if k.send(conn, o) == nil && k.reads() {
		_, _ = io.Copy(io.Discard, conn)
	}
	<-ctx.Done()
}

// reads reports whether clients of the kind read what the server sends.
func (k Kind) reads() bool { return k != Pipelined && k != UnreadAnswer }

// send sends what a client of the kind sends.
func (k Kind) send(c net.Conn, o Options) error {
	host := o.Host
	if host == "" {
		host = "crowd.example"
	}
	head := func(method, extra string) string {
		return method + " " + o.Path + " HTTP/1.1\r\nHost: " + host + "\r\n" + o.Header + extra
	}
	chunked := head("POST", "Transfer-Encoding: chunked\r\n\r\n")
	switch k {
	case Silent:
		return nil
	case IdleAfterOne, UnreadAnswer:
		return write(c, head("GET", "\r\n"))
	case SlowHead:
		return repeat(c, head("GET", "X-Slow: "), "x", maxEndlessBytes, slowInterval)
	case ShortFields:
		return write(c, head("GET", shortFields(o.Bytes)))
	case Pipelined:
		return write(c, strings.Repeat(head("GET", "\r\n"), pipelinedRequests))
	case ShortBody:
		return write(c, head("POST", contentLength(o.Bytes))+strings.Repeat("x", o.Bytes-1))
	case PiecedBody:
		return repeat(c, head("POST", contentLength(o.Bytes)), strings.Repeat("x", pieceBytes), o.Bytes-1, 0)
	case ChunkedBody:
		return repeat(c, chunked, "400\r\n"+strings.Repeat("x", 0x400)+"\r\n", o.Bytes-1, 0)
	case TinyChunks:
		return repeat(c, chunked, strings.Repeat("1\r\nx\r\n", 1000), o.Bytes-1, 0)
	case OversizeBody:
		return repeat(c, head("POST", contentLength(1<<40)), strings.Repeat("x", 1<<14), maxEndlessBytes, 0)
	case EndlessTrail:
		return repeat(c, chunked+"1\r\nx\r\n0\r\n", strings.Repeat("X: y\r\n", 1000), maxEndlessBytes, 0)
	case SlowBody:
		return repeat(c, head("POST", contentLength(o.Bytes)), "x", o.Bytes-1, slowInterval)
	case GRPCIdle, GRPCHeaders, GRPCStreams:
		return k.sendGRPC(c, o)
	}
	return errors.New("crowd: unknown kind " + string(k))
}

func write(c net.Conn, s string) error {
	_, err := io.WriteString(c, s)
	return err
}

// repeat writes first, and then about n bytes of repetitions of s with a pause before each.
func repeat(c net.Conn, first, s string, n int, pause time.Duration) error {
	if err := write(c, first); err != nil {
		return err
	}
	for sent := 0; sent < n; sent += len(s) {
		time.Sleep(pause)
		if err := write(c, s[:min(len(s), n-sent)]); err != nil {
			return err
		}
	}
	return nil
}

func contentLength(n int) string { return "Content-Length: " + strconv.Itoa(n) + "\r\n\r\n" }

// shortFields returns about n bytes of header fields with different short names.
func shortFields(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		for j := i; ; j /= len(letters) {
			b.WriteByte(letters[j%len(letters)])
			if j < len(letters) {
				break
			}
		}
		b.WriteString(":\r\n")
	}
	return b.String()
}
