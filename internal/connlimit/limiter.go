package connlimit

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"github.com/cassiaspoke/cassiaspoke/internal/memory"
)

const (
	// connBytes is what a connection without a large head costs: its goroutine, the buffers of net/http, a head within
	// freeHeadBytes and freeHeadFields, and bytes that the kernel holds because they are not read.
	connBytes = 24<<10 + unreadBytes
	// connMemoryShare is the share of the process's memory for that.
	connMemoryShare = 1. / 2
	// headMemoryShare is the share of the process's memory for heads that are larger.
	headMemoryShare = 1. / 16
	// reservedDescriptorShare is the share of the process's descriptors for endpoints, the store, other instances and files. A
	// request needs one descriptor for its client and mostly one for its endpoint.
	reservedDescriptorShare = 0.4
	minConns                = 16
	defaultDescriptors      = 1024 // if the limit of the process can't be read
	logInterval             = 10 * time.Second
)

// Reason tells why a connection was closed or not accepted.
type Reason string

// Reasons.
const (
	ReasonConnections Reason = "connections"  // its listener has as many as it may have
	ReasonHeadSize    Reason = "head-size"    // a head has too many bytes or fields
	ReasonHeadMemory  Reason = "head-memory"  // heads take all the memory that they may take
	ReasonHeadTime    Reason = "head-time"    // a head took too long
	ReasonUnread      Reason = "unread"       // the client doesn't read
	ReasonSlowBody    Reason = "slow-body"    // a body arrives more slowly than others that need its memory
	ReasonBodyTime    Reason = "body-time"    // a body took too long
	ReasonPipelined   Reason = "pipelined"    // requests came before the answer to an earlier one; the connection stays
	ReasonBodyMemory  Reason = "body-memory"  // bodies take all the memory that they may take
	ReasonUnproven    Reason = "no-handshake" // an HTTP/2 or TLS connection sent next to nothing
)

var reasons = []Reason{
	ReasonConnections, ReasonHeadSize, ReasonHeadMemory, ReasonHeadTime, ReasonUnread, ReasonSlowBody, ReasonBodyTime,
	ReasonPipelined, ReasonBodyMemory, ReasonUnproven,
}

// Options configure a Limiter.
type Options struct {
	Memory      int64 // bytes that the process may use
	Descriptors int   // descriptors that the process may open; 0 for the limit of the process
	Scope       tally.Scope
	Logger      *zap.Logger
}

// Limiter holds the budgets that all listeners of a process share.
type Limiter struct {
	maxConns int
	heads    *memory.Budget
	logger   *zap.Logger
	logLimit *rate.Limiter
	counters map[Reason]tally.Counter
	open     tally.Gauge

	mu        sync.Mutex
	conns     int
	listeners []*Listener
}

// New returns a limiter.
func New(o Options) *Limiter {
	if o.Descriptors == 0 {
		o.Descriptors = processDescriptors()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	l := &Limiter{
		maxConns: max(minConns, min(int(float64(o.Descriptors)*(1-reservedDescriptorShare)), int(connMemoryShare*float64(o.Memory)/connBytes))),
		heads:    memory.NewBudget(int64(headMemoryShare * float64(o.Memory))),
		logger:   o.Logger, logLimit: rate.NewLimiter(rate.Every(logInterval), 1),
		counters: map[Reason]tally.Counter{}, open: o.Scope.Gauge("client_connections"),
	}
	for _, r := range reasons {
		l.counters[r] = o.Scope.Tagged(map[string]string{"reason": string(r)}).Counter("clients_limited")
	}
	return l
}

// processDescriptors returns the limit on the descriptors of the process.
func processDescriptors() int {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil || r.Cur > 1<<20 {
		return defaultDescriptors
	}
	return int(r.Cur)
}

// MaxConns returns how many connections all listeners may have together.
func (l *Limiter) MaxConns() int { return l.maxConns }

// Count counts a client that met a limit, and logs it at a limited rate.
func (l *Limiter) Count(r Reason, listener, remote string) {
	l.counters[r].Inc(1)
	if l.logLimit.Allow() {
		l.mu.Lock()
		n := l.conns
		l.mu.Unlock()
		l.logger.Warn("clients: A client met a limit.", zap.String("reason", string(r)), zap.String("listener", listener),
			zap.String("client", remote), zap.Int("connections", n), zap.Int("most", l.maxConns))
	}
}

// addConn counts a connection of the process.
func (l *Limiter) addConn(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns += n
	l.open.Update(float64(l.conns))
}
