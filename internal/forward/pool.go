package forward

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	idleTime  = 4 * time.Second // for which an unused connection is kept if the endpoint states no time
	idleSpare = time.Second     // a connection is not used in the last second of the time that the endpoint states
)

// Pool keeps idle connections to endpoints.
type Pool struct {
	dialer Dialer
	most   int // idle connections to one endpoint
	signs  *signs

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn // most recently used last
}

// NewPool returns a pool that keeps at most a number of idle connections to one endpoint.
func NewPool(d Dialer, most int) *Pool {
	return &Pool{dialer: d, most: most, signs: newSigns(), idle: map[netip.AddrPort][]*conn{}}
}

// get returns a connection for a request with an identifier; a fresh one was never used.
func (p *Pool) get(ctx context.Context, a netip.AddrPort, id string, fresh bool) (*conn, error) {
	if !fresh {
		for c := p.take(a); c != nil; c = p.take(a) {
			if time.Now().Before(c.until) && c.quiet() && c.claim(id) {
				c.reused = true
				return c, nil
			}
			c.end()
		}
	}
	n, err := p.dialer.Dial(ctx, a)
	if err != nil {
		return nil, &Error{Op: "dial " + a.String(), Kind: ErrConnect, Err: err}
	}
	c := newConn(n, a, p.signs.of(a))
	c.claim(id)
	return c, nil
}

// Life is what a new connection tells of an endpoint.
type Life int

// Lives of an endpoint.
const (
	Alive   Life = iota
	Ended        // nothing listens at its address
	Unknown      // it did not answer in time: it may only be slow or cut off for a moment
)

// Probe connects to an endpoint: after a connection that broke, it tells a lost answer from the end of the process.
func (p *Pool) Probe(ctx context.Context, a netip.AddrPort) Life {
	c, err := p.dialer.Dial(ctx, a)
	switch {
	case err == nil:
		p.put(newConn(c, a, p.signs.of(a)), 0)
		return Alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return Ended
	}
	return Unknown
}

func (p *Pool) take(a netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[a]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	l[len(l)-1] = nil
	p.idle[a] = l[:len(l)-1]
	return c
}

// put keeps a connection whose last answer was read to its end.
func (p *Pool) put(c *conn, idle time.Duration) {
	if idle == 0 {
		idle = idleTime
	} else {
		idle = min(idleTime, idle-idleSpare)
	}
	if idle <= 0 || c.reader.Buffered() > 0 {
		c.end()
		return
	}
	c.until = time.Now().Add(idle)
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.end()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.most {
		c.end()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes connections that are too old to be used.
func (p *Pool) Sweep(now time.Time) {
	p.signs.sweep(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, l := range p.idle {
		n := 0
		for _, c := range l {
			if now.Before(c.until) {
				l[n] = c
				n++
				continue
			}
			c.end()
		}
		clear(l[n:])
		if p.idle[a] = l[:n]; n == 0 {
			delete(p.idle, a)
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, l := range p.idle {
		for _, c := range l {
			c.end()
		}
		delete(p.idle, a)
	}
}
