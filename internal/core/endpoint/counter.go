package endpoint

import (
	"math"
	"sync/atomic"
	"time"
)

// counter is the part of an endpoint's state that all views share and that traffic goroutines read and write.
// It fills cache lines of its own so that requests to different endpoints do not contend.
type counter struct {
	outstanding atomic.Int64  // requests of this instance
	report      atomic.Uint64 // reported load of other instances, float64 bits
	reportedAt  atomic.Int64  // nanoseconds since the epoch
	barred      atomic.Bool   // leaving or ejected: also views that are older than the event send nothing
	gap         atomic.Int64  // nanoseconds between requests while returning; 0 means no limit
	nextAt      atomic.Int64  // earliest next request while returning, nanoseconds since the epoch
	_           [16]byte
}

// load returns own outstanding requests plus the reported load, which counts half at age half.
func (c *counter) load(now, half int64) float64 {
	own := float64(c.outstanding.Load())
	at := c.reportedAt.Load()
	if at == 0 {
		return own
	}
	age := max(0, now-at)
	return own + math.Float64frombits(c.report.Load())*float64(half)/float64(half+age)
}

// setReport stores a reported load without the share of this instance, which outstanding counts already.
func (c *counter) setReport(load int, at time.Time) {
	others := max(0, float64(load)-float64(c.outstanding.Load()))
	c.report.Store(math.Float64bits(others))
	c.reportedAt.Store(at.UnixNano())
}

// open reports whether the endpoint takes a request now.
func (c *counter) open(now int64) bool {
	if c.barred.Load() {
		return false
	}
	return c.gap.Load() == 0 || (now >= c.nextAt.Load() && c.outstanding.Load() == 0)
}
