package forward

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const signsFor = time.Minute // for which the signs of an endpoint are kept after its last request

// sign is when an endpoint last sent something.
type sign struct {
	last   atomic.Int64 // nanoseconds since the process's start, by the steady clock
	active atomic.Int64 // requests under way
	used   atomic.Int64 // when the last one ended
}

var processStart = time.Now()

func steady() int64 { return int64(time.Since(processStart)) }

func (s *sign) heard() { s.last.Store(steady()) }

// signs holds the signs of all endpoints.
type signs struct {
	mu sync.Mutex
	m  map[netip.AddrPort]*sign
}

func newSigns() *signs { return &signs{m: map[netip.AddrPort]*sign{}} }

func (l *signs) of(a netip.AddrPort) *sign {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.m[a]
	if s == nil {
		s = &sign{}
		s.last.Store(math.MinInt64)
		s.used.Store(steady())
		l.m[a] = s
	}
	return s
}

func (l *signs) sweep(now time.Time) {
	old := int64(now.Sub(processStart) - signsFor)
	l.mu.Lock()
	defer l.mu.Unlock()
	for a, s := range l.m {
		if s.active.Load() == 0 && s.used.Load() < old {
			delete(l.m, a)
		}
	}
}

// begin counts a request under way until the function that it returns is called.
func (s *sign) begin() func() {
	s.active.Add(1)
	return func() {
		s.used.Store(steady())
		s.active.Add(-1)
	}
}

// Signs tells whether an endpoint has sent something within a time, and of how many others with requests under way how
// many have not.
func (p *Pool) Signs(a netip.AddrPort, within time.Duration) (alive bool, others, silent int) {
	since := steady() - int64(within)
	p.signs.mu.Lock()
	defer p.signs.mu.Unlock()
	for k, s := range p.signs.m {
		heard := s.last.Load() >= since
		switch {
		case k == a:
			alive = heard
		case s.active.Load() == 0:
		case heard:
			others++
		default:
			others, silent = others+1, silent+1
		}
	}
	return alive, others, silent
}
