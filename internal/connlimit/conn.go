package connlimit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cassiaspoke/cassiaspoke/internal/memory"
)

const (
	// A head within these limits costs no more than connBytes allows.
	freeHeadBytes  = 4 << 10
	freeHeadFields = 64
	// bytesPerHeadByte and bytesPerField are what the rest of a head is charged. A field in a map of net/http takes about
	// 100 bytes beside its text; the rest is for what waits for garbage collection.
	bytesPerHeadByte = 2
	bytesPerField    = 160
	// unreadTimeout is how long a client may show no progress in reading an answer. A write of 32 KiB that had to end within 6 s closed
	// clients that read 5 KB/s. A kernel tells the sender of room in steps of a segment: 1.4 KB on most links, 64 KiB on the loopback
	// interface, where a client with a large buffer must read 8 KB/s. 14 s held crowds that don't read for 20 s.
	unreadTimeout = 8 * time.Second
	// unreadInterval is how often a write that waits looks for progress.
	unreadInterval = 2 * time.Second
	writeChunk     = 32 << 10
	// rearmInterval is how old a write deadline may become before it is set again. It saves a system call for each event.
	rearmInterval = time.Second
	// unprovenTimeout is how long an opaque connection may take to send provenBytes, which the first call of another instance
	// exceeds.
	unprovenTimeout = 5 * time.Second
	provenBytes     = 96
	// pipelinedBuffer is the kernel's buffer for what a client sends before it has the answer to its request.
	pipelinedBuffer = 4 << 10
	refusalTimeout  = 100 * time.Millisecond // to write a refusal
)

var (
	// errHead states that a head was refused.
	errHead = errors.New("connlimit: head refused")
	// errEvicted states that a connection was evicted. Net/http writes no answer to a failed read.
	errEvicted = &net.OpError{Op: "read", Err: net.ErrClosed}
)

// Refusals of heads. The request has not run.
const (
	refusalFields = "Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n"
	headRefusal   = "HTTP/1.1 431 Request Header Fields Too Large\r\n" + refusalFields + "Content-Length: 17\r\n\r\nheader too large\n"
	memoryRefusal = "HTTP/1.1 503 Service Unavailable\r\n" + refusalFields + "Retry-After: 1\r\nContent-Length: 23\r\n\r\nno memory for its head\n"
)

// phase tells what a connection waits for.
type phase int

const (
	phaseIdle    phase = iota // the first byte of a request
	phaseHead                 // the rest of a head
	phaseActive               // the end of a request whose head is complete
	phaseClosing              // the client to take the rest of the last answer, after which the connection is closed
)

// Conn is the connection of a client.
type Conn struct {
	net.Conn
	listener *Listener
	raw      syscall.RawConn // nil if the connection has none

	mu         sync.Mutex
	phase      phase
	unused     bool      // no request has come
	since      time.Time // start of the phase
	headBytes  int
	headFields int
	lineBytes  int   // of the line of a head that has not ended
	charged    int64 // of the budget for heads
	head       *memory.Reservation
	pipelined  bool
	closed     bool        // what it held is released
	evicted    bool        // closed because of a limit; what it sends from then on is dropped
	reading    bool        // the server waits for bytes, so it has no whole request that it has not begun
	received   int         // of an opaque connection, until it is proven
	unproven   *time.Timer // closes an opaque connection that sends next to nothing

	writeMu       sync.Mutex
	writeDeadline time.Time // set by the user of the connection; zero if there is none
	armedAt       time.Time // when the deadline in force was set
	closeOnce     sync.Once
}

func newConn(c net.Conn, l *Listener) *Conn {
	n := &Conn{Conn: c, listener: l, unused: true, since: time.Now()}
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			n.raw = raw
		}
	}
	if l.options.Opaque {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.unproven = time.AfterFunc(unprovenTimeout, n.closeUnproven)
	}
	return n
}

// Read reads from the connection. It returns an error after a head that exceeds the limits, and if the connection was evicted.
func (c *Conn) Read(b []byte) (int, error) {
	c.setReading(true)
	n, err := c.Conn.Read(b)
	if n <= 0 {
		c.setReading(false)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.NoteTimeout()
		}
		return n, err
	}
	reason, ok := c.noteRead(b[:n], len(b))
	if !ok {
		return 0, errEvicted
	}
	if reason == ReasonHeadMemory && c.listener.limiter.closeSlowestHeads(time.Now(), c) {
		reason = c.retryHead()
	}
	if reason == "" {
		return n, err
	}
	c.listener.limiter.Count(reason, c.listener.options.Name, c.RemoteAddr().String())
	refusal := headRefusal
	if reason == ReasonHeadMemory {
		refusal = memoryRefusal
	}
	if c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = io.WriteString(c.Conn, refusal)
	}
	return 0, errHead
}

// setReading records whether the server waits for bytes.
func (c *Conn) setReading(v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = v
}

// NoteTimeout counts a timeout of the connection if a head has not ended.
func (c *Conn) NoteTimeout() {
	c.mu.Lock()
	late := c.phase == phaseHead
	c.mu.Unlock()
	if late {
		c.listener.limiter.Count(ReasonHeadTime, c.listener.options.Name, c.RemoteAddr().String())
	}
}

// NoteClosing records that no further request is served and the connection is kept only until the client has the rest of an answer.
func (c *Conn) NoteClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = phaseClosing, time.Now()
	c.releaseHead()
}

// retryHead reserves memory for a head after that of others was released.
func (c *Conn) retryHead() Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checkHead()
}

// noteRead follows the phases of a connection and returns why its head is to be refused, or "". It returns false if the bytes are to be
// dropped, as the connection was evicted before they were read.
func (c *Conn) noteRead(b []byte, size int) (Reason, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	switch {
	case c.evicted:
		return "", false
	case c.closed, c.phase == phaseClosing:
		return "", true // the server notices by its next read or write, or expects nothing
	case c.listener.options.Opaque:
		c.noteOpaque(len(b))
		return "", true
	case c.phase == phaseActive:
		// While a request is under way and its body is read, net/http reads a single byte to notice that the client leaves.
		// The byte may also be the first of a request that came between the end of the answer and that of this read.
		switch {
		case size == 1 && !c.pipelined:
			c.pipelined = true
			c.listener.limiter.Count(ReasonPipelined, c.listener.options.Name, c.RemoteAddr().String())
			c.setReadBuffer(pipelinedBuffer)
		case size > 1 && c.pipelined: // the body of that request
			c.pipelined = false
			c.setReadBuffer(unreadBytes)
		}
		return "", true
	case c.phase == phaseIdle:
		if c.pipelined && len(b) < size { // all that the client has sent was read
			c.pipelined = false
			c.setReadBuffer(unreadBytes)
		}
		c.phase, c.since = phaseHead, time.Now()
	}
	c.countHead(b)
	return c.checkHead(), true
}

// setReadBuffer sets the size of the kernel's buffer for bytes that are not read yet. On failure it stays as it is.
func (c *Conn) setReadBuffer(n int) {
	if s, ok := c.Conn.(interface{ SetReadBuffer(int) error }); ok {
		_ = s.SetReadBuffer(n)
	}
}

// noteOpaque counts the bytes of a connection until it is proven.
func (c *Conn) noteOpaque(n int) {
	if c.unproven == nil {
		return
	}
	if c.received += n; c.received > provenBytes {
		c.unproven.Stop()
		c.unproven = nil
	}
}

// closeUnproven closes an opaque connection unless it has been proven.
func (c *Conn) closeUnproven() {
	c.mu.Lock()
	due := c.unproven != nil && !c.closed && !c.evicted
	c.evicted = c.evicted || due
	c.mu.Unlock()
	if due {
		c.listener.limiter.Count(ReasonUnproven, c.listener.options.Name, c.RemoteAddr().String())
		_ = c.Close()
	}
}

// countHead counts the bytes and fields of a head, up to its end.
func (c *Conn) countHead(b []byte) {
	for i, x := range b {
		switch x {
		case '\n':
			if c.lineBytes == 0 && c.headFields > 0 {
				c.phase = phaseActive
				c.headBytes += i
				return
			}
			c.headFields++
			c.lineBytes = 0
		case '\r':
		default:
			c.lineBytes++
		}
	}
	c.headBytes += len(b)
}

// checkHead returns why a head is to be refused, or "". It reserves memory for a large one.
func (c *Conn) checkHead() Reason {
	if c.closed {
		return ""
	}
	if c.headBytes <= freeHeadBytes && c.headFields <= freeHeadFields {
		return ""
	}
	if maxBytes, maxFields := c.listener.options.HeadLimits(); c.headBytes > maxBytes || c.headFields > maxFields {
		return ReasonHeadSize
	}
	if c.head == nil {
		c.head = c.listener.limiter.heads.NewReservation()
	}
	cost := int64(bytesPerHeadByte*max(0, c.headBytes-freeHeadBytes) + bytesPerField*max(0, c.headFields-freeHeadFields))
	if cost <= c.charged {
		return ""
	}
	if c.head.Grow(cost-c.charged) != nil {
		return ReasonHeadMemory
	}
	c.charged = cost
	return ""
}

// ConnState is a hook for http.Server.ConnState. It follows wrapped connections to a Conn; others are ignored.
func ConnState(n net.Conn, s http.ConnState) {
	for {
		if c, ok := n.(*Conn); ok {
			c.setState(s)
			return
		}
		w, ok := n.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		n = w.NetConn()
	}
}

// setState follows the phases that the server tells. The memory of a head stays reserved until the end of its request.
func (c *Conn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive:
		c.phase, c.unused, c.since = phaseActive, false, time.Now()
	case http.StateIdle:
		c.phase, c.since = phaseIdle, time.Now()
		c.releaseHead()
	default:
	}
}

func (c *Conn) releaseHead() {
	c.headBytes, c.headFields, c.lineBytes, c.charged = 0, 0, 0, 0
	if c.head != nil {
		c.head.Release()
	}
}

// Write writes to the connection. It fails if the client reads nothing for unreadTimeout.
func (c *Conn) Write(b []byte) (int, error) {
	n := 0
	wait := writeWait{queue: -1}
	for {
		if err := c.armWrite(); err != nil {
			return n, err
		}
		k, err := c.Conn.Write(b[n:min(len(b), n+writeChunk)])
		n += k
		if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			if wait.goesOn(c, k) && c.rearmWrite() {
				continue
			}
			c.listener.limiter.Count(ReasonUnread, c.listener.options.Name, c.RemoteAddr().String())
		}
		if err != nil || n >= len(b) {
			return n, err
		}
	}
}

// writeWait follows a write that waits for the client to read.
type writeWait struct {
	queue int           // bytes that the client had not confirmed at the last look; -1 if there was none
	idle  time.Duration // without progress
}

// goesOn reports whether to go on after a wait of unreadInterval in which n bytes were taken.
func (w *writeWait) goesOn(c *Conn, n int) bool {
	q, ok := c.unconfirmed()
	if !ok {
		return n > 0
	}
	switch {
	case n > 0 || q < w.queue:
		w.idle = 0
	case w.queue >= 0: // the first look may come early, as deadlines are not set for each write
		w.idle += unreadInterval
	}
	w.queue = q
	return w.idle < unreadTimeout
}

// unconfirmed returns how many bytes the client's kernel has not confirmed, and false if that is unknown.
func (c *Conn) unconfirmed() (int, bool) {
	if c.raw == nil {
		return 0, false
	}
	n, err := 0, error(nil)
	if e := c.raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); e != nil || err != nil {
		return 0, false
	}
	return n, true
}

// armWrite sets the deadline for the next write, unless one that is almost as late is in force.
func (c *Conn) armWrite() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	now := time.Now()
	if now.Sub(c.armedAt) < rearmInterval {
		return nil
	}
	c.armedAt = now
	t := now.Add(unreadTimeout)
	if c.raw != nil {
		t = now.Add(unreadInterval)
	}
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(t) {
		t = c.writeDeadline
	}
	return c.Conn.SetWriteDeadline(t)
}

// rearmWrite makes the next write set its deadline anew, and reports whether the user's deadline allows another write.
func (c *Conn) rearmWrite() bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.armedAt = time.Time{}
	return c.writeDeadline.IsZero() || time.Now().Before(c.writeDeadline)
}

// SetWriteDeadline sets a deadline for writes, besides the one for clients that don't read.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.writeDeadline, c.armedAt = t, time.Time{}
	if t.IsZero() {
		return nil // the next write sets it
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline sets the deadlines for reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close closes the connection and releases what it holds.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.remove(c)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closed = true
		c.releaseHead()
		if c.unproven != nil {
			c.unproven.Stop()
		}
	})
	return c.Conn.Close()
}

// SetLinger sets what happens to unsent bytes when the connection is closed.
func (c *Conn) SetLinger(sec int) error {
	if t, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return t.SetLinger(sec)
	}
	return errors.ErrUnsupported
}

// CloseWrite ends the sending side of the connection.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
