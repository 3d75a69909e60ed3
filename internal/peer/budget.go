package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstSeconds is how much unused budget may be spent at once.
	burstSeconds = 4
	// minBurst lets a small budget pass one message of the usual size, in bytes.
	minBurst = 4096
)

// budget limits the bytes that an instance exchanges with its peers, in both directions.
// Bytes are counted on the connection, so framing, headers and TLS are included.
type budget struct {
	limit *rate.Limiter
	burst int
	in    atomic.Int64
	out   atomic.Int64
}

func newBudget(perSecond int) *budget {
	b := max(minBurst, burstSeconds*perSecond)
	return &budget{limit: rate.NewLimiter(rate.Limit(perSecond), b), burst: b}
}

// spend debits bytes that were exchanged; the balance may become negative.
func (b *budget) spend(n int) {
	now := time.Now()
	for n > 0 {
		c := min(n, b.burst)
		b.limit.ReserveN(now, c)
		n -= c
	}
}

// probe reports whether a probe may be sent now.
func (b *budget) probe() bool { return b.limit.TokensAt(time.Now()) > 0 }

// bulk waits until other traffic may be sent; it leaves half of the burst to probes. It waits at most for limit and
// reports whether the budget was there: received bytes can't be refused, so an instance that receives much would
// never send what its callers wait for.
func (b *budget) bulk(ctx context.Context, limit time.Duration) (within bool, err error) {
	end := time.Now().Add(limit)
	for {
		missing := float64(b.burst)/2 - b.limit.TokensAt(time.Now())
		left := time.Until(end)
		if missing <= 0 || left <= 0 {
			return missing <= 0, nil
		}
		t := time.NewTimer(min(left, time.Duration(missing/float64(b.limit.Limit())*float64(time.Second))))
		select {
		case <-ctx.Done():
			t.Stop()
			return false, &Error{Op: "wait for budget", Kind: ErrUnreachable, Err: ctx.Err()}
		case <-t.C:
		}
	}
}

// counted is a connection whose bytes are debited.
type counted struct {
	net.Conn
	b *budget
}

// Read reads and debits.
func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.b.in.Add(int64(n))
	c.b.spend(n)
	return n, err
}

// Write writes and debits.
func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.b.out.Add(int64(n))
	c.b.spend(n)
	return n, err
}

// countedListener debits the bytes of accepted connections.
type countedListener struct {
	net.Listener
	b *budget
}

// Accept returns the next connection.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return counted{c, l.b}, nil
}
