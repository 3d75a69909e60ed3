package forward

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const activityRetention = time.Minute // time for which an endpoint's activity is kept after its last request

// activity records when an endpoint last sent bytes and how many requests it is serving.
type activity struct {
	lastRead       atomic.Int64 // monotonic time at which bytes were last received
	activeRequests atomic.Int64
	lastRequestEnd atomic.Int64 // monotonic time at which the last request ended
}

var processStart = time.Now()

// monotonicNow returns the nanoseconds since the start of the process by the monotonic clock.
func monotonicNow() int64 { return int64(time.Since(processStart)) }

// recordRead records that the endpoint has just sent bytes.
func (a *activity) recordRead() { a.lastRead.Store(monotonicNow()) }

// activities holds the activity of each endpoint.
type activities struct {
	mu        sync.Mutex
	byAddress map[netip.AddrPort]*activity
}

func newActivities() *activities { return &activities{byAddress: map[netip.AddrPort]*activity{}} }

// get returns the activity of an endpoint and adds an entry if there is none.
func (t *activities) get(a netip.AddrPort) *activity {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byAddress[a]
	if s == nil {
		s = &activity{}
		s.lastRead.Store(math.MinInt64)
		s.lastRequestEnd.Store(monotonicNow())
		t.byAddress[a] = s
	}
	return s
}

// removeExpired removes endpoints without an active request whose last request ended more than activityRetention ago.
func (t *activities) removeExpired(now time.Time) {
	oldest := int64(now.Sub(processStart) - activityRetention)
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, s := range t.byAddress {
		if s.activeRequests.Load() == 0 && s.lastRequestEnd.Load() < oldest {
			delete(t.byAddress, a)
		}
	}
}

// beginRequest counts a request as active until the returned function is called.
func (a *activity) beginRequest() func() {
	a.activeRequests.Add(1)
	return func() {
		a.lastRequestEnd.Store(monotonicNow())
		a.activeRequests.Add(-1)
	}
}

// Activity reports whether an endpoint has sent bytes within the last period. It also returns the number of other endpoints
// that have active requests, and how many of these have sent nothing in that period.
func (p *Pool) Activity(a netip.AddrPort, period time.Duration) (active bool, others, silent int) {
	since := monotonicNow() - int64(period)
	p.activities.mu.Lock()
	defer p.activities.mu.Unlock()
	for k, s := range p.activities.byAddress {
		recent := s.lastRead.Load() >= since
		switch {
		case k == a:
			active = recent
		case s.activeRequests.Load() == 0:
		case recent:
			others++
		default:
			others, silent = others+1, silent+1
		}
	}
	return active, others, silent
}
