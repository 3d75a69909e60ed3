package ingress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cassiaspoke/cassiaspoke/internal/connlimit"
)

// unreadAnswer is an answer that a client with a small buffer must read before its end leaves the server.
var unreadAnswer = strings.Repeat("x", 300<<10)

// dialSlowReader opens a connection whose client takes only a few bytes before it reads. The buffer has to be small from the start: the
// kernel can't take back the room that it has offered to the server.
func dialSlowReader(t *testing.T, address string) net.Conn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
		return errors.Join(e, err)
	}}
	c, err := d.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// lastAnswers is a server of unreadAnswer on connections that net/http closes after it.
type lastAnswers struct {
	listener *clientListener
	server   *http.Server
	address  string
	begun    chan struct{} // gets a value when a request is served
	closed   chan struct{} // gets a value when net/http has closed a connection
}

// newLastAnswers returns a server that is not started. Its answers wait until the channel is closed.
func newLastAnswers(t *testing.T, answer <-chan struct{}) *lastAnswers {
	t.Helper()
	a := &lastAnswers{begun: make(chan struct{}, 100), closed: make(chan struct{}, 100)}
	a.listener, a.server, a.address = newTestServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a.begun <- struct{}{}
		<-answer
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", strconv.Itoa(len(unreadAnswer)))
		_, _ = io.WriteString(w, unreadAnswer)
	}))
	a.server.ConnState = func(c net.Conn, v http.ConnState) {
		a.listener.connState(c, v)
		connlimit.ConnState(c, v)
		if v == http.StateClosed {
			a.closed <- struct{}{}
		}
	}
	return a
}

func (a *lastAnswers) serve() { _ = a.server.Serve(a.listener) }

// requestTwice sends a request, and another one once the first is served, and waits until net/http has closed the connection.
func (a *lastAnswers) requestTwice(t *testing.T, answer chan struct{}) net.Conn {
	t.Helper()
	c := dialSlowReader(t, a.address)
	sendGet(t, c, "/first")
	<-a.begun
	sendGet(t, c, "/second")
	close(answer)
	<-a.closed
	return c
}

// expectUnreadAnswer reads the answer.
func expectUnreadAnswer(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	b, err := io.ReadAll(c)
	if _, body, _ := strings.Cut(string(b), "\r\n\r\n"); err != nil || body != unreadAnswer {
		t.Errorf("%d bytes of %d, %v", len(body), len(unreadAnswer), err)
	}
}

// expectAllClosed waits until the listener has no open connection.
func expectAllClosed(t *testing.T, l *clientListener) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); l.closeIdle() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a connection stayed open")
		}
	}
}

// TestUnreadBytesCutAnswer guards against a close that resets the connection, because the client has sent its next request, and so
// cuts the end of an answer that the client reads slowly.
func TestUnreadBytesCutAnswer(t *testing.T) {
	for name, late := range map[string]bool{"sent before the close": false, "sent after the close": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := make(chan struct{})
			a := newLastAnswers(t, answer)
			go a.serve()
			var c net.Conn
			if late {
				close(answer)
				c = dialSlowReader(t, a.address)
				sendGet(t, c, "/first")
				<-a.closed
				sendGet(t, c, "/second")
			} else {
				c = a.requestTwice(t, answer)
			}
			expectUnreadAnswer(t, c)
			expectAllClosed(t, a.listener)
		})
	}
}

// TestCloseOfUnreadAnswerEnds guards against connections that stay open because their clients read no answer, and against a close that
// waits for them.
func TestCloseOfUnreadAnswerEnds(t *testing.T) {
	t.Parallel()
	answer := make(chan struct{})
	a := newLastAnswers(t, answer)
	a.listener.closeTimeout = 300 * time.Millisecond
	go a.serve()
	c := a.requestTwice(t, answer)
	if n := a.listener.closeIdle(); n != 1 {
		t.Errorf("%d connections before the client has the answer, want 1", n)
	}
	begin := time.Now()
	if err := a.server.Close(); err != nil {
		t.Error(err)
	}
	if d := time.Since(begin); d > a.listener.closeTimeout/2 {
		t.Errorf("the server's close took %v", d)
	}
	expectAllClosed(t, a.listener)
	sendGet(t, c, "/third") // to a closed connection
	if _, err := io.Copy(io.Discard, c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}

// TestCloseReadsLittle guards against a client that keeps the server reading for as long as it sends.
func TestCloseReadsLittle(t *testing.T) {
	t.Parallel()
	answer := make(chan struct{})
	a := newLastAnswers(t, answer)
	a.listener.closeTimeout = time.Second
	go a.serve()
	c := a.requestTwice(t, answer)
	n, piece := 0, make([]byte, 64<<10)
	for {
		k, err := c.Write(piece)
		if n += k; err != nil {
			break
		}
	}
	if most := maxDroppedBytes + 16<<20; n > most { // the kernels' buffers hold up to several MiB each
		t.Errorf("%d bytes were taken, want at most %d", n, most)
	}
	expectAllClosed(t, a.listener)
}

// TestEvictionOfClosingConn guards against clients that read no answers and so keep others from connecting.
func TestEvictionOfClosingConn(t *testing.T) {
	t.Parallel()
	answer := make(chan struct{})
	close(answer)
	a := newLastAnswers(t, answer)
	a.listener.Listener = connlimit.New(connlimit.Options{Memory: 1, Descriptors: 1}).Listen(a.listener.Listener, connlimit.ListenerOptions{
		Name: "requests", Share: 1, HeadLimits: func() (int, int) { return 1 << 10, 10 },
	})
	go a.serve()
	const most = 16 // connections that the limits allow at least
	// The kernel holds less of an answer than its length, so the answers end once their clients have read a part, as a write waits.
	for range most {
		c := dialSlowReader(t, a.address)
		sendGet(t, c, "/first")
		if _, err := io.CopyN(io.Discard, c, int64(len(unreadAnswer)-20<<10)); err != nil {
			t.Fatal(err)
		}
		<-a.closed
	}
	if n := a.listener.closeIdle(); n != most {
		t.Fatalf("%d connections, want %d", n, most)
	}
	time.Sleep(200 * time.Millisecond) // connections are protected while they are young
	c := dialSlowReader(t, a.address)
	sendGet(t, c, "/next")
	expectUnreadAnswer(t, c)
}

// TestStopWaitsForUnsentAnswer guards against a stop that ends while a client still reads the last answer, and against one that is held
// up beyond the grace period by a client that does not.
func TestStopWaitsForUnsentAnswer(t *testing.T) {
	for name, read := range map[string]bool{"read late": true, "not read": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			i, _ := newServingIngress(t, headerProtocol{func() {}}, func(http.ResponseWriter, *http.Request) {})
			i.options.GracePeriod = 4 * time.Second
			answer := make(chan struct{})
			a := newLastAnswers(t, answer)
			a.server.Handler = i.countActive(a.server.Handler)
			go a.serve()
			c := a.requestTwice(t, answer)
			begin, stopped := time.Now(), make(chan struct{})
			go func() {
				defer close(stopped)
				i.stopServing(a.server, a.listener)
			}()
			if read {
				time.Sleep(i.options.GracePeriod/2 + 4*closeIdleInterval) // the instance listens for half of it
				select {
				case <-stopped:
					t.Error("the stop ended before the client had the answer")
				default:
				}
				expectUnreadAnswer(t, c)
			}
			<-stopped
			d := time.Since(begin)
			if early := d < i.options.GracePeriod-exitReserve; read != early || d > i.options.GracePeriod {
				t.Errorf("the stop took %v", d)
			}
		})
	}
}
