package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	readSize = 4 << 10  // bytes of a read buffer; an event or the head of an answer fits
	maxHead  = 32 << 10 // bytes of the head of an answer with the interim answers before it; servers commonly send below 8 KiB
	maxUses  = 1 << 10  // requests on one connection, which remembers their identifiers
)

// conn is a connection to an endpoint, used for one request at a time.
type conn struct {
	net.Conn
	address netip.AddrPort
	reader  *bufio.Reader
	sign    *sign
	reused  bool
	until   time.Time           // it is not used after this
	used    map[uint64]struct{} // identifiers of its requests
	head    int64               // bytes that may still come before the head of the answer is complete; negative after it
	due     time.Time           // when the wait for the next bytes ends
	more    func(late time.Duration) time.Duration
}

func newConn(n net.Conn, a netip.AddrPort, s *sign) *conn {
	c := &conn{Conn: n, address: a, sign: s, used: map[uint64]struct{}{}, head: maxHead}
	c.reader = bufio.NewReaderSize(c, readSize)
	return c
}

// claim reports whether a request may go out on the connection. A late second answer to an earlier request with the
// same identifier could not be told from its own.
func (c *conn) claim(id string) bool {
	h := xxhash.Sum64String(id)
	if _, ok := c.used[h]; ok || len(c.used) >= maxUses {
		return false
	}
	c.used[h] = struct{}{}
	return true
}

// Read bounds the bytes of an answer's head, and asks whether to go on waiting when the time for the next bytes is over.
func (c *conn) Read(b []byte) (int, error) {
	if c.head == 0 {
		return 0, fmt.Errorf("a head of more than %d bytes", maxHead)
	}
	if c.head > 0 {
		b = b[:min(int64(len(b)), c.head)]
	}
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.sign.heard()
			if c.head > 0 {
				c.head -= int64(n)
			}
			return n, err
		}
		if !Silent(err) || c.more == nil {
			return n, err
		}
		now := time.Now()
		d := c.more(now.Sub(c.due))
		if d <= 0 {
			return n, err
		}
		if e := c.wait(now.Add(d)); e != nil {
			return n, err
		}
	}
}

// wait sets when the wait for the next bytes ends; never, if the time is zero.
func (c *conn) wait(until time.Time) error {
	c.due = until
	return c.SetReadDeadline(until)
}

// end closes the connection; an error changes nothing, as the connection is not used again.
func (c *conn) end() { _ = c.Close() }
