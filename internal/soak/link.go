package soak

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkFault is what a link does to its connections.
type linkFault string

const (
	passes     linkFault = ""
	delays     linkFault = "delays"      // bytes arrive late
	silent     linkFault = "silent"      // no bytes pass, no connection is reset
	silentUp   linkFault = "silent up"   // no bytes pass from the caller
	silentDown linkFault = "silent down" // no bytes pass to the caller
	resets     linkFault = "resets"      // connections are reset, new ones too
	resetsOnce linkFault = "resets once" // the connections of the moment are reset
	staysMute  linkFault = "stays mute"  // the connections of the moment pass no byte ever after, new ones work
)

const (
	linkDelay  = 60 * time.Millisecond // several times a call to the store
	linkBuffer = 32 << 10
	lookEvery  = 5 * time.Millisecond // between looks at whether a silent link passes again
)

// link is a proxy on loopback between a caller and its target.
type link struct {
	listener net.Listener

	mu     sync.Mutex
	target netip.AddrPort
	fault  linkFault
	pairs  map[*pair]bool
}

// pair is one connection through a link.
type pair struct {
	near, far net.Conn
	mute      bool // guarded by the link's mutex
}

func newLink(target netip.AddrPort) (*link, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{Op: "listen", Kind: ErrSetup, Err: err}
	}
	k := &link{listener: l, target: target, pairs: map[*pair]bool{}}
	go k.accept()
	return k, nil
}

func (k *link) address() netip.AddrPort { return netip.MustParseAddrPort(k.listener.Addr().String()) }

func (k *link) aim(target netip.AddrPort) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.target = target
}

// set changes the fault of the link.
func (k *link) set(f linkFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
	for p := range k.pairs {
		switch f {
		case resets, resetsOnce:
			p.reset()
		case staysMute:
			p.mute = true
		}
	}
	if f == resetsOnce || f == staysMute {
		k.fault = passes
	}
}

func (k *link) close() {
	_ = k.listener.Close()
	k.set(resetsOnce)
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
		if f == resets || !target.IsValid() {
			resetConn(c)
			continue
		}
		go k.join(c, target)
	}
}

func (k *link) join(near net.Conn, target netip.AddrPort) {
	far, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", target.String())
	if err != nil {
		resetConn(near)
		return
	}
	p := &pair{near: near, far: far}
	k.mu.Lock()
	k.pairs[p] = true
	k.mu.Unlock()
	var w sync.WaitGroup
	w.Go(func() { k.copy(p, far, near, silentUp) })
	w.Go(func() { k.copy(p, near, far, silentDown) })
	w.Wait()
	k.mu.Lock()
	delete(k.pairs, p)
	k.mu.Unlock()
	_, _ = near.Close(), far.Close()
}

// copy moves bytes one way; a reset on one side becomes one on the other, an orderly end stays one.
func (k *link) copy(p *pair, to, from net.Conn, oneWay linkFault) {
	b := make([]byte, linkBuffer)
	for {
		n, err := from.Read(b)
		for k.holds(p, oneWay) {
			time.Sleep(lookEvery)
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

// holds delays bytes and reports whether they are still held back.
func (k *link) holds(p *pair, oneWay linkFault) bool {
	k.mu.Lock()
	f, mute, open := k.fault, p.mute, k.pairs[p]
	k.mu.Unlock()
	if f == delays {
		time.Sleep(linkDelay)
	}
	return open && (mute || f == silent || f == oneWay)
}

func (p *pair) reset() {
	resetConn(p.near)
	resetConn(p.far)
}

// resetConn ends a connection without an orderly close.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
