package endpoint

import (
	"math"
	"sync/atomic"
	"time"
)

// Values of counters.gate. A positive value is the minimum time between requests to a returning endpoint, in
// nanoseconds.
const (
	gateOpen    int64 = 0
	gateBlocked int64 = -1 // the endpoint is leaving or ejected; this also applies to views older than the event
)

// counters hold the part of an endpoint's state that all views share and that request goroutines read and write. They
// fill one cache line so that requests to different endpoints do not contend.
type counters struct {
	outstanding    atomic.Int64  // requests of this instance
	gate           atomic.Int64  // gateOpen, gateBlocked or a minimum time between requests
	nextRequestAt  atomic.Int64  // earliest next request while returning, in nanoseconds since the epoch
	reportedLoad   atomic.Uint64 // load of other instances by the last report, as float64 bits
	reportedAt     atomic.Int64  // time of that report, in nanoseconds since the epoch
	maxOutstanding atomic.Int64  // limit of outstanding requests while returning
	reportedWait   atomic.Int64  // reported wait for the first token in nanoseconds; negative if not reported
	_              [8]byte
}

// load returns the outstanding requests of this instance plus the estimated load of other instances. The estimate moves
// linearly with the age of the last report from the reported load to the mean of the availability zone. decayRate is
// the weight that a report loses per nanosecond.
func (c *counters) load(nowNanos int64, decayRate, zoneMean float64) float64 {
	weight := min(1, 1-float64(nowNanos-c.reportedAt.Load())*decayRate)
	others := zoneMean
	if weight > 0 {
		others += weight * (math.Float64frombits(c.reportedLoad.Load()) - zoneMean)
	}
	return float64(c.outstanding.Load()) + others
}

// setReportedLoad stores a reported load minus this instance's outstanding requests, which are counted separately.
func (c *counters) setReportedLoad(load int, at time.Time) {
	others := max(0, float64(load)-float64(c.outstanding.Load()))
	c.reportedLoad.Store(math.Float64bits(others))
	c.reportedAt.Store(at.UnixNano())
}

func (c *counters) setReportedWait(r Report) {
	if !r.HasWait {
		c.reportedWait.Store(-1)
		return
	}
	c.reportedWait.Store(int64(r.Wait))
}

// accepts reports whether the endpoint accepts a request now. A returning endpoint accepts few requests at a time, with
// a minimum time between them.
func (c *counters) accepts(nowNanos int64) bool {
	gate := c.gate.Load()
	return gate == gateOpen ||
		(gate > 0 && nowNanos >= c.nextRequestAt.Load() && c.outstanding.Load() < c.maxOutstanding.Load())
}

func (c *counters) blocked() bool { return c.gate.Load() == gateBlocked }
