package coldstart

import "time"

const (
	// DefaultInstances is the assumed number of instances until enough reports have arrived.
	DefaultInstances = 128
	// settleTime is how long after the first report DefaultInstances remains a lower limit. The first reports after a common start
	// cover only a part of the instances.
	settleTime = 5 * time.Second
	// countRetention is the time for which a count is remembered at least. While some instances are cut off, the reports of the
	// others don't cover them, but they still send.
	countRetention = 15 * time.Minute
)

// Fleet estimates the number of instances from their reports. The zero value knows no report.
type Fleet struct {
	alone           bool
	firstAt         time.Time
	latest, earlier int       // largest counts of the current period and the one before
	periodAt        time.Time // start of the current period
}

// SetAlone records that there are no other instances.
func (f *Fleet) SetAlone() { f.alone = true }

// Observe records a report that covers the given number of other instances. A report that covers none is ignored, because an
// instance that is cut off gets such reports too.
func (f *Fleet) Observe(now time.Time, others int) {
	if others <= 0 {
		return
	}
	if f.firstAt.IsZero() {
		f.firstAt, f.periodAt = now, now
	}
	if now.Sub(f.periodAt) >= countRetention {
		f.earlier, f.latest, f.periodAt = f.latest, 0, now
	}
	f.latest = max(f.latest, others+1)
}

// CoveredBy reports whether a report on a number of other instances covers at least half of all.
func (f *Fleet) CoveredBy(now time.Time, others int) bool {
	return f.alone || others > 0 && 2*(others+1) >= f.Size(now)
}

// Size returns the number of instances to assume, which is at least 1.
func (f *Fleet) Size(now time.Time) int {
	if f.alone {
		return 1
	}
	n := max(1, f.latest, f.earlier)
	if f.firstAt.IsZero() || now.Sub(f.firstAt) < settleTime {
		n = max(n, DefaultInstances)
	}
	return n
}
