package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstSeconds is the number of seconds of unused budget that may be spent at once.
	burstSeconds = 4
	// minBurst, in bytes, is large enough for one message of the usual size even with a small budget.
	minBurst = 4096
)

// budget limits the traffic between an instance and its peers, in bytes per second over both directions.
// Bytes are counted on the TCP connection, so framing, headers and TLS are included.
type budget struct {
	limiter  *rate.Limiter
	burst    int
	received atomic.Int64
	sent     atomic.Int64
}

func newBudget(perSecond int) *budget {
	b := max(minBurst, burstSeconds*perSecond)
	return &budget{limiter: rate.NewLimiter(rate.Limit(perSecond), b), burst: b}
}

// debit charges bytes that were sent or received; the balance may become negative.
func (b *budget) debit(n int) {
	now := time.Now()
	for n > 0 {
		c := min(n, b.burst)
		b.limiter.ReserveN(now, c)
		n -= c
	}
}

// allowsProbe reports whether a probe may be sent now.
func (b *budget) allowsProbe() bool { return b.limiter.TokensAt(time.Now()) > 0 }

// waitForBulk waits until traffic other than probes may be sent; half of the burst is reserved for probes.
// It waits at most maxWait and reports whether the budget was sufficient. The wait is bounded because received bytes are
// debited but can't be refused: an instance with much inbound traffic would never send the messages that its callers
// wait for.
func (b *budget) waitForBulk(ctx context.Context, maxWait time.Duration) (within bool, err error) {
	deadline := time.Now().Add(maxWait)
	for {
		missing := float64(b.burst)/2 - b.limiter.TokensAt(time.Now())
		left := time.Until(deadline)
		if missing <= 0 || left <= 0 {
			return missing <= 0, nil
		}
		t := time.NewTimer(min(left, time.Duration(missing/float64(b.limiter.Limit())*float64(time.Second))))
		select {
		case <-ctx.Done():
			t.Stop()
			return false, &Error{Op: "wait for budget", Kind: ErrUnreachable, Err: ctx.Err()}
		case <-t.C:
		}
	}
}

// countingConn is a connection that charges its traffic to a budget.
type countingConn struct {
	net.Conn
	budget *budget
}

// Read reads from the connection and charges the bytes to the budget.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.budget.received.Add(int64(n))
	c.budget.debit(n)
	return n, err
}

// Write writes to the connection and charges the bytes to the budget.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.budget.sent.Add(int64(n))
	c.budget.debit(n)
	return n, err
}

// countingListener charges the traffic of accepted connections to a budget.
type countingListener struct {
	net.Listener
	budget *budget
}

// Accept returns the next connection as a countingConn.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.budget}, nil
}
