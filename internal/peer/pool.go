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
	// bufferSize keeps the memory of an idle connection small, in bytes; messages are a few hundred bytes.
	bufferSize = 4 << 10
	// windowSize turns off gRPC's bandwidth estimate, whose pings would cost more than the probes, in bytes.
	windowSize = 1 << 16
)

// pool holds client connections to peers, at most limit idle ones.
type pool struct {
	budget *budget
	meter  *meter
	creds  credentials.TransportCredentials
	limit  int
	wrap   grpc.UnaryClientInterceptor // may be nil

	lock   sync.Mutex
	conns  map[netip.AddrPort]*conn
	closed bool
}

type conn struct {
	*grpc.ClientConn
	refused atomic.Bool
	calls   int // guarded by pool.lock
	used    time.Time
}

func newPool(b *budget, m *meter, t *tls.Config, limit int) *pool {
	p := &pool{budget: b, meter: m, limit: limit, conns: map[netip.AddrPort]*conn{}, creds: insecure.NewCredentials()}
	if t != nil {
		p.creds = credentials.NewTLS(t)
	}
	return p
}

// call runs f on a connection to a peer. If the connection is an old one and doesn't answer, f runs again on a new
// one: established connections can go silent for good while new ones work.
func (p *pool) call(ctx context.Context, op string, to netip.AddrPort, timeout time.Duration,
	f func(context.Context, peerpb.PeerClient) error,
) error {
	for again := false; ; again = true {
		c, isNew, err := p.get(to)
		if err != nil {
			return err
		}
		once, cancel := context.WithTimeout(ctx, timeout)
		err = f(once, peerpb.NewPeerClient(c))
		cancel()
		p.put(to, c, err != nil && suspectsConnection(err))
		switch {
		case err == nil:
			return nil
		case !suspectsConnection(err):
			return &Error{Op: op, Kind: ErrRejected, Err: err}
		case c.refused.Load():
			return &Error{Op: op, Kind: ErrRefused, Err: err}
		case isNew || again || ctx.Err() != nil:
			return &Error{Op: op, Kind: ErrUnreachable, Err: err}
		}
	}
}

func (p *pool) get(to netip.AddrPort) (c *conn, isNew bool, err error) {
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
	c.calls++
	c.used = time.Now()
	return c, isNew, nil
}

// put returns a connection; a broken one is closed so that the next call dials.
func (p *pool) put(to netip.AddrPort, c *conn, broken bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	c.calls--
	if broken && p.conns[to] == c {
		delete(p.conns, to)
	}
	if p.conns[to] != c {
		_ = c.Close()
		return
	}
	if len(p.conns) > p.limit {
		p.evict()
	}
}

func (p *pool) evict() {
	var key netip.AddrPort
	var old *conn
	for a, c := range p.conns {
		if c.calls == 0 && (old == nil || c.used.Before(old.used)) {
			key, old = a, c
		}
	}
	if old != nil {
		delete(p.conns, key)
		_ = old.Close()
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
		return counted{n, p.budget}, nil
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(p.creds),
		grpc.WithContextDialer(dialer),
		grpc.WithStatsHandler(p.meter),
		grpc.WithDisableServiceConfig(),
		grpc.WithReadBufferSize(bufferSize), grpc.WithWriteBufferSize(bufferSize),
		grpc.WithInitialWindowSize(windowSize), grpc.WithInitialConnWindowSize(windowSize),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	}
	if p.wrap != nil {
		options = append(options, grpc.WithUnaryInterceptor(p.wrap))
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
