package connlimit

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/memory"
)

// scriptedConn returns prepared bytes and notes the size of the kernel's buffer for unread bytes.
type scriptedConn struct {
	stuckConn
	reads  []string
	buffer int
}

func (c *scriptedConn) Read(b []byte) (int, error) {
	if len(c.reads) == 0 {
		return 0, io.EOF
	}
	n := copy(b, c.reads[0])
	if c.reads[0] = c.reads[0][n:]; c.reads[0] == "" {
		c.reads = c.reads[1:]
	}
	return n, nil
}

func (c *scriptedConn) SetReadBuffer(n int) error {
	c.buffer = n
	return nil
}

func newTestListener(l *Limiter, opaque bool) *Listener {
	return &Listener{
		limiter: l, conns: map[*Conn]struct{}{},
		options: ListenerOptions{Name: "test", Opaque: opaque, HeadLimits: func() (int, int) { return testBytes, testFields }},
	}
}

// TestReadAfterClose guards against memory that is reserved for a head after its connection was closed by another goroutine, which
// nothing would release.
func TestReadAfterClose(t *testing.T) {
	l := New(Options{Memory: 16 << 20})
	c := newConn(&scriptedConn{reads: []string{"GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 500)}}, newTestListener(l, false))
	_ = c.Close()
	_, _ = c.Read(make([]byte, 4<<10))
	if err := l.heads.NewReservation().Grow(1 << 19); err != nil { // half of the budget, which is all that one may hold
		t.Errorf("the budget for heads is not free: %v", err)
	}
}

// TestRefusedOpaqueConn guards against a timer that runs on for a connection that was not accepted, and counts it a second time.
func TestRefusedOpaqueConn(t *testing.T) {
	n, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	l := New(Options{Memory: 1 << 20}).Listen(n, ListenerOptions{Name: "test", Share: 0.01, Opaque: true})
	accepted := make(chan *Conn, l.maxConns)
	for range l.maxConns {
		dial(t, n.Addr().String())
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted <- c.(*Conn)
	}
	refused := newConn(<-accepted, l)
	if l.accept(refused) {
		t.Fatal("accepted beyond the limit")
	}
	if refused.unproven.Stop() {
		t.Error("the timer of a refused connection runs")
	}
}

// TestPipelinedOnce guards against a small buffer, and so a slow body, for all later requests of a connection whose client once sent a
// request before it had the answer to the one before.
func TestPipelinedOnce(t *testing.T) {
	s := &scriptedConn{buffer: unreadBytes}
	c := newConn(s, newTestListener(New(Options{Memory: 16 << 20}), false))
	read := func(size int, text string) {
		s.reads = []string{text}
		_, _ = c.Read(make([]byte, size))
	}
	const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	read(4<<10, get)
	c.setState(http.StateActive)
	read(1, get)
	if s.buffer != pipelinedBuffer {
		t.Fatalf("buffer of %d bytes beside a pipelined request", s.buffer)
	}
	c.setState(http.StateIdle)
	read(4<<10, strings.Repeat("x", 4<<10)) // more may wait in the kernel
	if s.buffer != pipelinedBuffer {
		t.Fatalf("buffer of %d bytes while requests are pipelined", s.buffer)
	}
	c.setState(http.StateActive)
	c.setState(http.StateIdle)
	read(4<<10, get)
	if s.buffer != unreadBytes {
		t.Errorf("buffer of %d bytes for a request that came alone, want %d", s.buffer, unreadBytes)
	}
}

// TestLongBodyAfterEarlyByte guards against a small buffer for a long body, which makes it slow, of a request whose first byte was read in
// the background: net/http writes the answer before it ends that read, so a client that waits for its answers meets it, too.
func TestLongBodyAfterEarlyByte(t *testing.T) {
	s := &scriptedConn{buffer: unreadBytes}
	c := newConn(s, newTestListener(New(Options{Memory: 16 << 20}), false))
	read := func(size int, text string) {
		s.reads = []string{text}
		_, _ = c.Read(make([]byte, size))
	}
	const post, rest = "POST / HTTP/1.1\r\nHost: h\r\n", "Content-Length: 100000\r\n\r\n"
	read(4<<10, post+"\r\n")
	c.setState(http.StateActive)
	read(1, post[:1])
	c.setState(http.StateIdle)
	const left = 4<<10 - 1
	read(left, post[1:]+rest+strings.Repeat("x", left-len(post[1:]+rest)))
	c.setState(http.StateActive)
	read(4<<10, strings.Repeat("x", 4<<10))
	if s.buffer != unreadBytes {
		t.Errorf("buffer of %d bytes for the body, want %d", s.buffer, unreadBytes)
	}
	read(1, post[:1])
	if s.buffer != pipelinedBuffer {
		t.Errorf("buffer of %d bytes beside a pipelined request", s.buffer)
	}
}

// TestLongRequestAfterBody guards against the server's deadline for a body, which would end the context of a request whose handler runs
// longer.
func TestLongRequestAfterBody(t *testing.T) {
	const readTimeout = 200 * time.Millisecond
	budget := memory.NewBudget(1 << 20)
	ended := make(chan error, 1)
	n, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{ReadTimeout: readTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := BodyReader{Budget: budget}.Read(w, r, 1000)
		defer b.Release()
		if err != nil {
			ended <- err
			return
		}
		select {
		case <-r.Context().Done():
		case <-time.After(3 * readTimeout):
		}
		ended <- r.Context().Err()
	})}
	go func() { _ = s.Serve(n) }()
	defer s.Close()
	c := dial(t, n.Addr().String())
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	if err := <-ended; err != nil {
		t.Errorf("the request ended early: %v", err)
	}
}

// TestSlowBodyError guards against telling the sender of a valid body, which was ended because others needed its memory, that the
// request itself is wrong.
func TestSlowBodyError(t *testing.T) {
	budget := memory.NewBudget(64 << 10)
	read := make(chan error, 1)
	a := startServer(t, New(Options{Memory: 64 << 20}), 1, func(w http.ResponseWriter, r *http.Request) {
		b, err := BodyReader{Budget: budget}.Read(w, r, 20<<10)
		b.Release()
		read <- err
	})
	c := dial(t, a)
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n\r\n"+strings.Repeat("x", 9000))
	for {
		select {
		case err := <-read:
			var e *memory.Error
			if !errors.As(err, &e) || e.Kind != memory.ErrBudgetExceeded {
				t.Errorf("got %v, want an error about memory", err)
			}
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				_ = r.Body.Close()
			}
			return
		case <-time.After(100 * time.Millisecond):
			other := budget.NewReservation()
			_ = other.Grow(60 << 10) // more than is left
			other.Release()
		}
	}
}

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

// TestSlowBodyClosesConn guards against a connection on which net/http cancels all further requests: its background read has met the
// deadline of a body that was found too slow when its end had just been read.
func TestSlowBodyClosesConn(t *testing.T) {
	budget := memory.NewBudget(64 << 10)
	a := startServer(t, New(Options{Memory: 64 << 20}), 1, func(w http.ResponseWriter, r *http.Request) {
		r.Body = hookedBody{r.Body, func() {
			time.Sleep(1100 * time.Millisecond) // longer than a transfer may pause while others need its memory
			other := budget.NewReservation()
			defer other.Release()
			_ = other.Grow(60 << 10) // more than is left
			<-r.Context().Done()
		}}
		b, err := BodyReader{Budget: budget}.Read(w, r, 20<<10)
		b.Release()
		if err != nil {
			w.WriteHeader(http.StatusTooManyRequests)
		}
	})
	c := dial(t, a)
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusTooManyRequests || !resp.Close {
		t.Errorf("status %d, connection closed: %v; want a refusal and a closed connection", resp.StatusCode, resp.Close)
	}
}
