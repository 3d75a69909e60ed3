package connlimit

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unsentBytes limits what the kernel holds of an answer that its client does not read, instead of up to several MiB. The kernel takes
	// twice as much for its own records of the bytes.
	unsentBytes = 32 << 10
	// unreadBytes limits what the kernel takes of a client's bytes before they are read, instead of up to several MiB. A body of 4 MiB
	// takes 0.7 s at a round-trip time of 10 ms.
	unreadBytes = 64 << 10
	// evictionShare is the share of a listener's connections that are closed at once when there are too many, as the search for
	// them takes time.
	evictionShare = 1. / 16
	// minAge protects the connections of new clients, which have had no time to send anything.
	minAge = 100 * time.Millisecond
)

// ListenerOptions configure a listener.
type ListenerOptions struct {
	Name  string  // in logs
	Share float64 // of the connections of the process that this listener may have
	// Opaque means that the bytes are not those of HTTP/1, so that heads can't be told from bodies.
	Opaque bool
	// HeadLimits returns how many bytes and fields a head may have. It is not used for an opaque listener.
	HeadLimits func() (bytes, fields int)
}

// Listener accepts the connections of clients within the limits of its process.
type Listener struct {
	net.Listener
	limiter  *Limiter
	options  ListenerOptions
	maxConns int

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Listen returns a listener whose connections count towards the limits.
func (l *Limiter) Listen(inner net.Listener, o ListenerOptions) *Listener {
	n := &Listener{Listener: inner, limiter: l, options: o, maxConns: max(minConns/2, int(o.Share*float64(l.maxConns))), conns: map[*Conn]struct{}{}}
	if s, ok := inner.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { // accepted connections inherit both; without them the kernel's defaults apply
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, unsentBytes)
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, unreadBytes)
			})
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listeners = append(l.listeners, n)
	return n
}

// Accept returns the next connection. If the listener has as many as it may have, it closes those that make the least
// progress, or the new one if all others are in use.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := newConn(c, l)
		if l.accept(conn) {
			return conn, nil
		}
	}
}

// accept adds a connection, or closes it if there is no room.
func (l *Listener) accept(c *Conn) bool {
	if l.add(c) {
		return true
	}
	l.limiter.Count(ReasonConnections, l.options.Name, c.RemoteAddr().String())
	_ = c.Close()
	return false
}

// add adds a connection if there is room for it.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.maxConns {
		l.closeSlowest(time.Now())
	}
	if len(l.conns) >= l.maxConns {
		return false
	}
	l.conns[c] = struct{}{}
	l.limiter.addConn(1)
	return true
}

// remove removes a connection that is closed.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; ok {
		delete(l.conns, c)
		l.limiter.addConn(-1)
	}
}

// closeSlowestHeads closes the connections that have waited longest for the rest of a large head, and reports whether there were any.
func (l *Limiter) closeSlowestHeads(now time.Time, except *Conn) bool {
	l.mu.Lock()
	listeners := slices.Clone(l.listeners)
	l.mu.Unlock()
	var all []*Conn
	for _, n := range listeners {
		n.mu.Lock()
		for c := range n.conns {
			if c != except && c.holdsHead(now) {
				all = append(all, c)
			}
		}
		n.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b *Conn) int { return a.phaseStart().Compare(b.phaseStart()) })
	wanted := min(len(all), 1+int(evictionShare*float64(len(all))))
	evicted := 0
	for _, c := range all {
		if evicted == wanted {
			break
		}
		if !c.evictHead(now) {
			continue
		}
		evicted++
		l.Count(ReasonHeadMemory, c.listener.options.Name, c.RemoteAddr().String())
		_ = c.Close()
	}
	return evicted > 0
}

// closeSlowest closes some connections on which no request is under way: first those that have waited longest for the rest
// of a head, or for their first request, and then those that have been idle longest.
func (l *Listener) closeSlowest(now time.Time) {
	type candidate struct {
		conn *Conn
		rank int
		wait time.Duration
	}
	var all []candidate
	for c := range l.conns {
		if rank, wait := c.progress(now); rank > 0 && wait > minAge {
			all = append(all, candidate{c, rank, wait})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.wait, a.wait)) })
	wanted := min(len(all), 1+int(evictionShare*float64(l.maxConns)))
	for _, v := range all {
		if wanted == 0 {
			break
		}
		if !v.conn.evict(now, v.rank) {
			continue
		}
		wanted--
		l.limiter.Count(ReasonConnections, l.options.Name, v.conn.RemoteAddr().String())
		delete(l.conns, v.conn)
		l.limiter.addConn(-1)
		_ = v.conn.Conn.Close() // the server notices by itself
	}
}

// SetDeadline sets the deadline of Accept.
func (l *Listener) SetDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

// SyscallConn returns the raw listener.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	if s, ok := l.Listener.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
