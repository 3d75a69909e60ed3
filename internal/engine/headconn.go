package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/forward"
)

const (
	maxHeaderBytes = 32 << 10 // of the head of a reply with the interim replies before it
	// maxHeadLines bounds the fields of a head. A field takes about 100 bytes beside its text, so 32 KiB of the shortest ones would
	// take 450 KiB; servers commonly send fewer than 30.
	maxHeadLines = 256
	// statusDigit is the position of the first digit of the status in a status line.
	statusDigit = len("HTTP/1.1 ")
	http10      = "HTTP/1.0"
	codingField = "transfer-encoding:"
)

// headConn is a connection that fails when the head of a reply is too large. net/http limits only the bytes, and its error does not
// tell such a head from a connection that was lost.
type headConn struct {
	net.Conn

	writeFailed atomic.Bool

	mu        sync.Mutex
	inHead    bool
	inUse     bool   // by a request, whose reply has not been read to the end
	firstLine bool   // the current line is a status line
	interim   bool   // the current head is that of an interim reply, after which another one follows
	http10    bool   // the reply is an HTTP/1.0 one
	column    int    // position in the current line
	lineStart []byte // up to len(codingField) bytes of the current line
	lines     int    // of the head so far
	bytes     int
	err       error // set once a head was too large
}

// headLimit limits the head of the reply to one request.
type headLimit struct {
	conn atomic.Pointer[headConn]
}

// context returns a context for the request, whose connection must be a headConn.
func (l *headLimit) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*headConn); ok {
			c.beginHead()
			l.conn.Store(c)
		}
	}, PutIdleConn: func(error) {
		if c := l.conn.Load(); c != nil {
			c.endUse()
		}
	}})
}

// explain returns the error of a head that is too large, or else err. net/http may report a line that was cut off there instead.
func (l *headLimit) explain(err error) error {
	if c := l.conn.Load(); c != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.err != nil {
			return c.err
		}
	}
	return err
}

// beginHead prepares for the head of the next reply.
func (c *headConn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead, c.firstLine, c.interim, c.column, c.lines, c.bytes = true, true, false, 0, 0, 0
	c.http10, c.inUse, c.lineStart = false, true, c.lineStart[:0]
}

// endUse records that no request uses the connection.
func (c *headConn) endUse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inUse = false
}

// inBody reports whether the body of a reply is being read.
func (c *headConn) inBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inUse && !c.inHead
}

// Read reads bytes of a reply, and fails if its head is too large. It also fails at the end of a connection that was reset: net/http
// takes that for the end of a body without a length.
func (c *headConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.inBody() {
		time.Sleep(forward.SettleTime)
	}
	if errors.Is(err, io.EOF) && (forward.EndOf(c.Conn) == forward.EndReset || c.writeFailed.Load()) {
		err = &Error{Op: "read", Kind: ErrConnectionLost, Err: errors.New("the connection was reset")}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := 0; i < n && c.inHead; i++ {
		c.scan(b[i])
	}
	if c.bytes > maxHeaderBytes || c.lines > maxHeadLines {
		c.inHead = false
		c.err = &Error{Op: "read head", Kind: ErrTruncated, Err: fmt.Errorf("the head of the reply exceeds %d bytes or %d lines", maxHeaderBytes, maxHeadLines)}
	}
	if c.err != nil {
		return 0, c.err
	}
	return n, err
}

// Write writes bytes of a request.
func (c *headConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// scan handles one byte of a head. The caller must hold the lock.
func (c *headConn) scan(b byte) {
	c.bytes++
	switch {
	case b == '\n' && c.column == 0 && !c.firstLine:
		c.inHead, c.firstLine = c.interim, c.interim
	case b == '\n':
		c.endLine()
	case b != '\r':
		if len(c.lineStart) < len(codingField) {
			c.lineStart = append(c.lineStart, b)
		}
		if c.firstLine && c.column == statusDigit {
			c.interim = b == '1'
		}
		c.column++
	}
}

// endLine handles the end of a line that isn't empty. An HTTP/1.0 reply with a transfer coding is an error, as net/http drops the field and
// would return the chunks as the body. The caller must hold the lock.
func (c *headConn) endLine() {
	switch {
	case c.firstLine:
		c.http10 = bytes.HasPrefix(c.lineStart, []byte(http10))
	case c.http10 && bytes.EqualFold(c.lineStart, []byte(codingField)):
		c.inHead = false
		c.err = &Error{Op: "read head", Kind: ErrTruncated, Err: errors.New("an HTTP/1.0 reply has a transfer coding")}
	}
	c.lines++
	c.column, c.firstLine, c.lineStart = 0, false, c.lineStart[:0]
}
