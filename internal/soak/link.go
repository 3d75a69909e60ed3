package soak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkFault is the fault that a link injects into its connections.
type linkFault string

const (
	noLinkFault       linkFault = ""
	delayed           linkFault = "delays"      // data is delayed by linkDelay
	stalled           linkFault = "silent"      // no data passes in either direction; connections stay open
	stalledFromCaller linkFault = "silent up"   // no data passes from the caller to the target
	stalledToCaller   linkFault = "silent down" // no data passes from the target to the caller
	resetAll          linkFault = "resets"      // existing and new connections are reset
	resetExisting     linkFault = "resets once" // existing connections are reset
	stalledExisting   linkFault = "stays mute"  // existing connections never pass data again; new ones work
)

const (
	queuedChunks      = 256                   // pieces of data on their way through a link with a delay
	linkDelay         = 60 * time.Millisecond // several times the duration of a call to the store
	linkBufferBytes   = 32 << 10
	stallPollInterval = 5 * time.Millisecond // between checks whether a stalled connection may pass data again
)

// link is a TCP proxy on loopback that injects faults between callers and a target.
type link struct {
	listener net.Listener

	mu     sync.Mutex
	target netip.AddrPort
	fault  linkFault
	conns  map[*proxiedConn]bool

	responseDelay time.Duration // of all data from the target to the caller, in addition to faults
}

// proxiedConn is a connection through a link.
type proxiedConn struct {
	caller, upstream net.Conn
	stuck            bool // never passes data again; guarded by link.mu
}

func newLink(target netip.AddrPort) (*link, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{Op: "listen", Kind: ErrSetup, Err: err}
	}
	k := &link{listener: l, target: target, conns: map[*proxiedConn]bool{}}
	go k.accept()
	return k, nil
}

func (k *link) address() netip.AddrPort { return netip.MustParseAddrPort(k.listener.Addr().String()) }

// setTarget changes the target of new connections; without a valid target they are reset.
func (k *link) setTarget(target netip.AddrPort) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.target = target
}

// setFault changes the fault. resetExisting and stalledExisting act on the existing connections and leave the link without a
// fault.
func (k *link) setFault(f linkFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
	for p := range k.conns {
		switch f {
		case resetAll, resetExisting:
			p.reset()
		case stalledExisting:
			p.stuck = true
		}
	}
	if f == resetExisting || f == stalledExisting {
		k.fault = noLinkFault
	}
}

func (k *link) close() {
	_ = k.listener.Close()
	k.setFault(resetExisting)
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		f, target := k.fault, k.target
		k.mu.Unlock()
		if f == resetAll || !target.IsValid() {
			resetConn(c)
			continue
		}
		go k.proxyConn(c, target)
	}
}

// proxyConn forwards data between a caller and the target until both directions are closed.
func (k *link) proxyConn(caller net.Conn, target netip.AddrPort) {
	upstream, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", target.String())
	if err != nil {
		resetConn(caller)
		return
	}
	p := &proxiedConn{caller: caller, upstream: upstream}
	k.mu.Lock()
	k.conns[p] = true
	k.mu.Unlock()
	var w sync.WaitGroup
	w.Go(func() { k.forward(p, upstream, caller, stalledFromCaller) })
	w.Go(func() { k.forward(p, caller, k.delayedReader(upstream), stalledToCaller) })
	w.Wait()
	k.mu.Lock()
	delete(k.conns, p)
	k.mu.Unlock()
	_, _ = caller.Close(), upstream.Close()
}

// forward copies data in one direction. It passes an orderly close on as such, and resets both sides after an error.
func (k *link) forward(p *proxiedConn, to net.Conn, from io.Reader, directionFault linkFault) {
	b := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(b)
		for k.delayOrStall(p, directionFault) {
			time.Sleep(stallPollInterval)
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				p.reset()
				return
			}
		}
		if err == nil {
			continue
		}
		if err.Error() == "EOF" {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		p.reset()
		return
	}
}

// chunk is data, or the end of it, that is due at a time.
type chunk struct {
	data []byte
	err  error
	due  time.Time
}

// delayedReader reads the responses of a target as late as the link delays them, without holding up later ones more.
type delayedReader struct {
	chunks <-chan chunk
	rest   chunk
}

func (k *link) delayedReader(c net.Conn) io.Reader {
	if k.responseDelay == 0 {
		return c
	}
	out := make(chan chunk, queuedChunks)
	go func() {
		defer close(out)
		for {
			b := make([]byte, linkBufferBytes)
			n, err := c.Read(b)
			out <- chunk{b[:n], err, time.Now().Add(k.responseDelay)}
			if err != nil {
				return
			}
		}
	}()
	return &delayedReader{chunks: out}
}

func (r *delayedReader) Read(b []byte) (int, error) {
	if len(r.rest.data) == 0 && r.rest.err == nil {
		var ok bool
		if r.rest, ok = <-r.chunks; !ok {
			return 0, io.EOF
		}
		time.Sleep(time.Until(r.rest.due))
	}
	n := copy(b, r.rest.data)
	r.rest.data = r.rest.data[n:]
	if len(r.rest.data) > 0 {
		return n, nil
	}
	return n, r.rest.err
}

// delayOrStall sleeps if the link delays data, and reports whether data must wait for a fault to end.
func (k *link) delayOrStall(p *proxiedConn, directionFault linkFault) bool {
	k.mu.Lock()
	f, stuck, open := k.fault, p.stuck, k.conns[p]
	k.mu.Unlock()
	if f == delayed {
		time.Sleep(linkDelay)
	}
	return open && (stuck || f == stalled || f == directionFault)
}

func (p *proxiedConn) reset() {
	resetConn(p.caller)
	resetConn(p.upstream)
}

// resetConn closes a TCP connection with a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
