package endpoint

import (
	"math"
	"sync/atomic"
	"time"
)

// Values of a counter's gate; a positive one is the gap in nanoseconds between requests to a returning endpoint.
const (
	gateOpen   int64 = 0
	gateBarred int64 = -1 // leaving or ejected: also views that are older than the event send nothing
)

// counter is the part of an endpoint's state that all views share and that traffic goroutines read and write.
// It fills a cache line of its own so that requests to different endpoints do not contend.
type counter struct {
	outstanding atomic.Int64  // requests of this instance
	gate        atomic.Int64  // gateOpen, gateBarred or a gap
	nextAt      atomic.Int64  // earliest next request while returning, nanoseconds since the epoch
	report      atomic.Uint64 // reported load of other instances, float64 bits
	reportedAt  atomic.Int64  // nanoseconds since the epoch
	allowed     atomic.Int64  // outstanding requests while returning
	wait        atomic.Int64  // reported wait for the first token in nanoseconds, negative if it is not stated
	_           [8]byte
}

// load returns own outstanding requests plus the load of other instances: the reported one, which fades linearly
// with its age to the mean of the zone. fade is the share lost for each nanosecond.
func (c *counter) load(now int64, fade, mean float64) float64 {
	weight := min(1, 1-float64(now-c.reportedAt.Load())*fade)
	others := mean
	if weight > 0 {
		others += weight * (math.Float64frombits(c.report.Load()) - mean)
	}
	return float64(c.outstanding.Load()) + others
}

// setReport stores a reported load without the share of this instance, which outstanding counts already.
func (c *counter) setReport(load int, at time.Time) {
	others := max(0, float64(load)-float64(c.outstanding.Load()))
	c.report.Store(math.Float64bits(others))
	c.reportedAt.Store(at.UnixNano())
}

func (c *counter) setWait(r Report) {
	if !r.Waits {
		c.wait.Store(-1)
		return
	}
	c.wait.Store(int64(r.Wait))
}

// open reports whether the endpoint takes a request now. A returning one takes few at a time, with a gap.
func (c *counter) open(now int64) bool {
	g := c.gate.Load()
	return g == gateOpen || (g > 0 && now >= c.nextAt.Load() && c.outstanding.Load() < c.allowed.Load())
}

func (c *counter) barred() bool { return c.gate.Load() == gateBarred }
