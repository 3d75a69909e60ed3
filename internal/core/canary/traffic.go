package canary

import "time"

// rateFor is over how long the present rate of requests is taken, longer where they are few; bursts last seconds.
const rateFor = 500 * time.Millisecond

// traffic counts the requests of a service that an instance has had since a roll-out began.
type traffic struct {
	since        time.Time
	all, fresh   int
	from         time.Time // of the present interval
	count, last  int       // requests of this interval and of the one before
	lastInterval time.Duration
}

func (t *traffic) add(now time.Time, fresh bool) {
	t.all++
	if fresh {
		t.fresh++
	}
	t.roll(now)
	t.count++
}

func (t *traffic) roll(now time.Time) {
	if t.from.IsZero() {
		t.from = now
	}
	if d := now.Sub(t.from); d >= rateFor && t.count >= leastCount {
		t.last, t.lastInterval, t.count, t.from = t.count, d, 0, now
	}
}

// share returns the part of the requests that the new version had.
func (t *traffic) share() float64 { return float64(t.fresh) / float64(max(1, t.all)) }

// mean returns the requests a second since the roll-out began.
func (t *traffic) mean(now time.Time) float64 {
	return float64(max(1, t.all)) / max(now.Sub(t.since), time.Millisecond).Seconds()
}

// rate returns the requests a second at present, the mean if there are too few to tell.
func (t *traffic) rate(now time.Time) float64 {
	t.roll(now)
	n, d := t.last+t.count, t.lastInterval+now.Sub(t.from)
	if n < leastCount || d <= 0 {
		return t.mean(now)
	}
	return float64(n) / d.Seconds()
}

// leastCount is the number of requests from which their rate is known well enough.
const leastCount = 8
