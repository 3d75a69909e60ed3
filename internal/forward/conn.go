package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	readBufferSize = 4 << 10  // bytes; a typical event or response head fits
	maxHeadBytes   = 32 << 10 // of a response head with the interim responses before it; servers commonly send less than 8 KiB
	// maxHeadLines bounds the lines of a response head in addition to its bytes. A line takes about 100 bytes beside its text, so
	// 32 KiB of the shortest ones would take 450 KiB; servers commonly send fewer than 30.
	maxHeadLines    = 256
	maxConnRequests = 1 << 10                // on one connection; bounds the set of request identifiers that it keeps
	arrivedTimeout  = 100 * time.Millisecond // to read bytes that have arrived
)

// conn is a connection to an endpoint that carries one request at a time.
type conn struct {
	net.Conn
	address    netip.AddrPort
	reader     *bufio.Reader
	activity   *activity
	singleUse  bool                // the connection must not be reused
	reused     bool                // an earlier request used the connection, so the endpoint may have closed it since
	expires    time.Time           // the connection is not reused from this time on
	requestIDs map[uint64]struct{} // hashes of the identifiers of its requests
	headLeft   int64               // bytes that the response head may still take; negative once the head is complete
	headLines  int                 // line ends read since the start of the response head; may include some of its body
	deadline   time.Time           // end of the wait for the next bytes
	// onTimeout is called when the wait for the next bytes has ended, with the delay of the timer. It
	// returns how much longer to wait, or 0 to give up. It may be nil.
	onTimeout func(delay time.Duration) time.Duration
	write     *writeState // of the latest request; nil before it
}

func newConn(n net.Conn, a netip.AddrPort, s *activity) *conn {
	c := &conn{Conn: n, address: a, activity: s, requestIDs: map[uint64]struct{}{}, headLeft: maxHeadBytes}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// registerRequest records the identifier of a request and reports whether the request may be sent on the connection. It
// refuses requests beyond maxConnRequests and an identifier that was used before, as a late second response to the earlier
// request would look like the response to this one.
func (c *conn) registerRequest(id string) bool {
	h := xxhash.Sum64String(id)
	if _, ok := c.requestIDs[h]; ok || len(c.requestIDs) >= maxConnRequests {
		return false
	}
	c.requestIDs[h] = struct{}{}
	return true
}

// Read limits the size of a response head, and calls onTimeout when no bytes have come before the deadline.
func (c *conn) Read(b []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, fmt.Errorf("response head exceeds %d bytes", maxHeadBytes)
	}
	if c.headLeft > 0 && c.headLines > maxHeadLines {
		return 0, fmt.Errorf("response head exceeds %d lines", maxHeadLines)
	}
	if c.headLeft > 0 {
		b = b[:min(int64(len(b)), c.headLeft)]
	}
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.activity.recordRead()
			if c.headLeft > 0 {
				c.headLeft -= int64(n)
				c.headLines += bytes.Count(b[:n], []byte("\n"))
			}
			return n, err
		}
		if errors.Is(err, io.EOF) {
			err = c.checkEnd(err)
		}
		if !IsTimeout(err) || c.onTimeout == nil {
			return n, err
		}
		now := time.Now()
		if !IsIdle(c.Conn) && c.waitUntil(now.Add(arrivedTimeout)) == nil {
			continue // bytes have arrived while this process was busy
		}
		d := c.onTimeout(now.Sub(c.deadline))
		if d <= 0 {
			return n, err
		}
		if e := c.waitUntil(now.Add(d)); e != nil {
			return n, err
		}
	}
}

// waitUntil sets the end of the wait for the next bytes. A zero time means no limit.
func (c *conn) waitUntil(deadline time.Time) error {
	c.deadline = deadline
	return c.SetReadDeadline(deadline)
}

// clearUserTimeout lifts the limit on how long sent bytes may stay unacknowledged. The connection is not reused, so that later
// requests have that limit.
func (c *conn) clearUserTimeout() error {
	c.singleUse = true
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, 0)
}

// beginHead prepares for the head of a response.
func (c *conn) beginHead() { c.headLeft, c.headLines = maxHeadBytes, 0 }

// countLines returns the number of lines of a header.
func countLines(h http.Header) int {
	n := 0
	for _, l := range h {
		n += len(l)
	}
	return n
}

// discard closes the connection and ignores any error, as the connection is not used again.
func (c *conn) discard() { _ = c.Close() }
