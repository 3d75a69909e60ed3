package canary

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// An instance that starts during a roll-out reads when that began as a time of day, by the clock of another instance. Its own clock may
// be wrong by seconds. Instances that have seen the order themselves tell the others how far the roll-out is, by their steady
// clocks.

const (
	// peerWait is how long an instance without peers waits for them before it relies on the time of day.
	peerWait = 2 * time.Second
	// maxStartError is how much a start may differ from that of the peers, whose reports take a part of that to arrive.
	maxStartError = 500 * time.Millisecond
)

// AlignStart moves the start of the roll-out back to the time that another instance reports, unless peers tell it. An instance that observed
// the order keeps its own start time, because the clocks of two instances may differ by seconds.
func (r *Rollout) AlignStart(now time.Time, elapsed time.Duration) {
	if r.order == nil {
		return
	}
	r.order.startAgreed = true
	if !r.order.observed && !r.order.startConfirmed {
		r.order.copiedStart = now.Add(-min(elapsed, r.order.duration))
		r.settleStart(now)
	}
}

// settleStart applies a start by the time of day once no peer has told a better one for a while.
func (r *Rollout) settleStart(now time.Time) {
	o := r.order
	if o.copiedStart.IsZero() || now.Sub(o.receivedAt) < peerWait {
		return
	}
	if o.copiedStart.Before(o.startedAt) {
		o.startedAt = o.copiedStart
	}
	o.copiedStart = time.Time{}
}

// progressKey returns the key in CountsByKey of the progress that instances have observed. Its answers are the instances, and the bad
// ones are the sum of their progress.
func (r *Rollout) progressKey() uint64 {
	return xxhash.Sum64String(r.order.service + "\x00" + r.order.target + "\x00progress\x00" + r.order.duration.String())
}

// observedProgress returns the progress for the other instances; it is empty if this instance has not seen the order itself.
func (r *Rollout) observedProgress(now time.Time) AnswerCounts {
	if !r.order.observed {
		return AnswerCounts{}
	}
	return AnswerCounts{Answers: 1, Bad: min(1, max(0, r.progress(now)))}
}

// alignToPeers sets the start of the roll-out to what the instances that have observed the order tell.
func (r *Rollout) alignToPeers(now time.Time, others CountsByKey) {
	c, o := others[r.progressKey()], r.order
	if o.observed || c.Answers == 0 || c.Bad >= c.Answers {
		return
	}
	start := now.Add(-time.Duration(c.Bad / c.Answers * float64(o.duration)))
	if o.startConfirmed && o.startedAt.Sub(start).Abs() < maxStartError {
		return
	}
	o.startedAt, o.startConfirmed, o.copiedStart = start, true, time.Time{}
}
