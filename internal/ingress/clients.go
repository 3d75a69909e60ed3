package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Limits on clients that hold while no configuration states any.
const (
	headerTime = 5 * time.Second
	idleTime   = time.Minute
)

// clients closes connections whose clients take longer than the configuration allows, to send the head of a request or
// between requests. The server's own time-outs can't change while it runs.
type clients struct {
	view *atomic.Pointer[View]

	mu    sync.Mutex
	conns map[net.Conn]*watch
}

// watch is the time within which something has to come on a connection.
type watch struct {
	mu     sync.Mutex
	timer  *time.Timer
	armed  bool
	unused bool // no byte has come
}

type watchKey struct{}

func newClients(v *atomic.Pointer[View]) *clients {
	return &clients{view: v, conns: map[net.Conn]*watch{}}
}

// context adds a watch for a new connection, and hands it to the connection's requests.
func (l *clients) context(ctx context.Context, c net.Conn) context.Context {
	_, idle := l.limits()
	w := &watch{armed: true, unused: true}
	w.timer = time.AfterFunc(idle, func() { w.expire(c) })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = w
	return context.WithValue(ctx, watchKey{}, w)
}

// state follows what happens on a connection; it is the server's hook.
func (l *clients) state(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	w := l.conns[c]
	if s == http.StateClosed || s == http.StateHijacked {
		delete(l.conns, c)
	}
	l.mu.Unlock()
	if w == nil {
		return
	}
	header, idle := l.limits()
	switch s {
	case http.StateNew:
	case http.StateIdle:
		w.arm(idle)
	case http.StateActive:
		w.arm(header)
	default:
		w.disarm()
	}
}

// closeUnused ends the connections on which no byte has come. The server takes them for active for some seconds, so
// that a stop would wait for them.
func (l *clients) closeUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, w := range l.conns {
		w.mu.Lock()
		if w.unused {
			_ = c.Close() // the server notices the end by itself
		}
		w.mu.Unlock()
	}
}

func (l *clients) limits() (header, idle time.Duration) {
	header, idle = headerTime, idleTime
	if d := l.view.Load().Directory; d != nil {
		if t := d.Limits.HeaderTimeout; t > 0 {
			header = t
		}
		if t := d.Limits.IdleTimeout; t > 0 {
			idle = t
		}
	}
	return header, idle
}

// begun stops the watch of a request's connection: its head is here.
func begun(ctx context.Context) {
	if w, ok := ctx.Value(watchKey{}).(*watch); ok {
		w.disarm()
	}
}

func (w *watch) arm(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed, w.unused = true, false
	w.timer.Reset(d)
}

func (w *watch) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	w.timer.Stop()
}

// expire ends the connection unless something has come meanwhile.
func (w *watch) expire(c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.armed {
		_ = c.Close() // the server notices the end by itself
	}
}
