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
	maxIdleTime = 4 * time.Second // limit on keeping an idle connection; an endpoint may state a shorter one
	idleMargin  = time.Second     // before the endpoint's idle timeout, in which it may already be closing the connection
)

// Pool keeps idle connections to endpoints for reuse.
type Pool struct {
	dialer     Dialer
	maxIdle    int // idle connections kept for one endpoint
	activities *activities

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn // most recently used connection last
}

// NewPool returns a pool that keeps at most maxIdle idle connections to each endpoint.
func NewPool(d Dialer, maxIdle int) *Pool {
	return &Pool{dialer: d, maxIdle: maxIdle, activities: newActivities(), idle: map[netip.AddrPort][]*conn{}}
}

// acquire returns a connection for the request with identifier id, and opens a new one if forceNew is set or no idle one is
// usable.
func (p *Pool) acquire(ctx context.Context, a netip.AddrPort, id string, forceNew bool) (*conn, error) {
	if !forceNew {
		for c := p.popIdle(a); c != nil; c = p.popIdle(a) {
			if time.Now().Before(c.expires) && c.isReusable() && c.registerRequest(id) {
				c.reused = true
				return c, nil
			}
			c.discard()
		}
	}
	n, err := p.dialer.Dial(ctx, a)
	if err != nil {
		return nil, &Error{Op: "dial " + a.String(), Kind: ErrConnect, Err: err}
	}
	c := newConn(n, a, p.activities.get(a))
	c.registerRequest(id)
	return c, nil
}

// ProbeResult is the outcome of an attempt to connect to an endpoint.
type ProbeResult int

// Results of a probe.
const (
	Listening    ProbeResult = iota // the endpoint accepted the connection
	NotListening                    // nothing listens at the endpoint's address
	Unknown                         // connecting failed in another way: the endpoint may be slow or unreachable for a moment
)

// Probe connects to an endpoint after a connection to it broke, to distinguish a lost response from a process that has
// ended.
func (p *Pool) Probe(ctx context.Context, a netip.AddrPort) ProbeResult {
	c, err := p.dialer.Dial(ctx, a)
	switch {
	case err == nil:
		p.release(newConn(c, a, p.activities.get(a)), 0)
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return NotListening
	}
	return Unknown
}

// popIdle removes and returns the most recently used idle connection to an endpoint, or nil if there is none.
func (p *Pool) popIdle(a netip.AddrPort) *conn {
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

// release returns a connection to the pool after its last response was read to the end. The idle timeout is the one that
// the endpoint states, or 0 if it states none.
func (p *Pool) release(c *conn, idleTimeout time.Duration) {
	if idleTimeout == 0 {
		idleTimeout = maxIdleTime
	} else {
		idleTimeout = min(maxIdleTime, idleTimeout-idleMargin)
	}
	if idleTimeout <= 0 || c.singleUse || c.reader.Buffered() > 0 {
		c.discard()
		return
	}
	c.expires = time.Now().Add(idleTimeout)
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.discard()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.maxIdle {
		c.discard()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseExpired closes idle connections that have expired and drops the activity of endpoints that are no longer in use.
func (p *Pool) CloseExpired(now time.Time) {
	p.activities.removeExpired(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, l := range p.idle {
		n := 0
		for _, c := range l {
			if now.Before(c.expires) {
				l[n] = c
				n++
				continue
			}
			c.discard()
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
			c.discard()
		}
		delete(p.idle, a)
	}
}
