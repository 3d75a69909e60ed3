package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/cassiaspoke/cassiaspoke/internal/peer/peerpb"
)

const (
	// bufferSize, in bytes, is small to save memory on idle connections; messages are a few hundred bytes.
	bufferSize = 4 << 10
	// windowSize, in bytes, disables gRPC's bandwidth estimation, whose pings would cost more than the probes.
	windowSize = 1 << 16
)

// pool caches client connections to peers; when there are more than maxConns, it closes idle ones.
type pool struct {
	budget      *budget
	meter       *meter
	creds       credentials.TransportCredentials
	maxConns    int
	interceptor grpc.UnaryClientInterceptor // may be nil

	lock   sync.Mutex
	conns  map[netip.AddrPort]*conn
	closed bool
}

// conn is a pooled connection.
type conn struct {
	*grpc.ClientConn
	refused     atomic.Bool // the last failed dial was refused by the host
	activeCalls int         // guarded by pool.lock, like lastUsed
	lastUsed    time.Time
}

func newPool(b *budget, m *meter, t *tls.Config, maxConns int) *pool {
	p := &pool{budget: b, meter: m, maxConns: maxConns, conns: map[netip.AddrPort]*conn{}, creds: insecure.NewCredentials()}
	if t != nil {
		p.creds = credentials.NewTLS(t)
	}
	return p
}

// call runs f on a connection to a peer. If a cached connection doesn't answer, f runs once more on a new connection:
// an established connection can become permanently unresponsive while new ones work.
func (p *pool) call(ctx context.Context, op string, to netip.AddrPort, timeout time.Duration,
	f func(context.Context, peerpb.PeerClient) error,
) error {
	for retried := false; ; retried = true {
		c, isNew, err := p.acquire(to)
		if err != nil {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		err = f(callCtx, peerpb.NewPeerClient(c))
		cancel()
		p.release(to, c, err != nil && mayBeConnectionError(err))
		switch {
		case err == nil:
			return nil
		case !mayBeConnectionError(err):
			return &Error{Op: op, Kind: ErrRejected, Err: err}
		case c.refused.Load():
			return &Error{Op: op, Kind: ErrRefused, Err: err}
		case isNew || retried || ctx.Err() != nil:
			return &Error{Op: op, Kind: ErrUnreachable, Err: err}
		}
	}
}

// acquire returns the cached connection to a peer, or a new one.
func (p *pool) acquire(to netip.AddrPort) (c *conn, isNew bool, err error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.closed {
		return nil, false, &Error{Op: "dial", Kind: ErrStopped}
	}
	if c = p.conns[to]; c == nil {
		if c, err = p.dial(to); err != nil {
			return nil, false, err
		}
		p.conns[to] = c
		isNew = true
	}
	c.activeCalls++
	c.lastUsed = time.Now()
	return c, isNew, nil
}

// release returns a connection to the pool; a broken one is closed, so that the next call dials again.
func (p *pool) release(to netip.AddrPort, c *conn, broken bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	c.activeCalls--
	if broken && p.conns[to] == c {
		delete(p.conns, to)
	}
	if p.conns[to] != c {
		_ = c.Close()
		return
	}
	if len(p.conns) > p.maxConns {
		p.evictIdle()
	}
}

// evictIdle closes the connection without calls that has been idle for longest.
func (p *pool) evictIdle() {
	var oldestAddress netip.AddrPort
	var oldest *conn
	for a, c := range p.conns {
		if c.activeCalls == 0 && (oldest == nil || c.lastUsed.Before(oldest.lastUsed)) {
			oldestAddress, oldest = a, c
		}
	}
	if oldest != nil {
		delete(p.conns, oldestAddress)
		_ = oldest.Close()
	}
}

func (p *pool) dial(to netip.AddrPort) (*conn, error) {
	c := &conn{}
	var d net.Dialer
	dialer := func(ctx context.Context, address string) (net.Conn, error) {
		n, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			c.refused.Store(errors.Is(err, syscall.ECONNREFUSED))
			return nil, err
		}
		return countingConn{n, p.budget}, nil
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(p.creds),
		grpc.WithContextDialer(dialer),
		grpc.WithStatsHandler(p.meter),
		grpc.WithDisableServiceConfig(),
		grpc.WithReadBufferSize(bufferSize), grpc.WithWriteBufferSize(bufferSize),
		grpc.WithInitialWindowSize(windowSize), grpc.WithInitialConnWindowSize(windowSize),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	}
	if p.interceptor != nil {
		options = append(options, grpc.WithUnaryInterceptor(p.interceptor))
	}
	cc, err := grpc.NewClient("passthrough:///"+to.String(), options...)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: ErrSettings, Err: err}
	}
	c.ClientConn = cc
	return c, nil
}

func (p *pool) close() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.closed = true
	for a, c := range p.conns {
		delete(p.conns, a)
		_ = c.Close()
	}
}
