package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

const (
	gracePeriod      = 6 * time.Second // from the settings of the instances
	exitReserve      = time.Second     // part of the grace period that a request need not be allowed to reach into
	lossSlack        = 200 * time.Millisecond
	maxSignalGap     = 1500 * time.Millisecond // upper bound of the time between two signals to a process
	maxExtraSignals  = 4                       // further signals to a process that stops
	unusualRequests  = 24                      // one in so many requests is a slow stream, if it is a stream, or has shortDeadline
	lateRequests     = 12                      // of unusualRequests are answered late, if they may be repeated
	minLateResponse  = 150                     // ms; an instance waits for 200 ms at least
	maxLateResponse  = 500
	slowDeadline     = 5 * time.Second // longer than a slow stream of six events
	shortDeadline    = 300 * time.Millisecond
	startSlack       = time.Second // after the start of an instance, in which it reads its first configuration
	maxPreemption    = 30 * time.Millisecond
	maxPreemptionGap = 100 * time.Millisecond
	lateStopRequests = 3 * time.Second // after SIGTERM; the rule on lost requests excuses cuts at the end of the grace period up to it
)

// delayedSignal is a signal that is sent some time after the one before it.
type delayedSignal struct {
	delay  time.Duration
	signal syscall.Signal
}

func (s delayedSignal) String() string {
	return fmt.Sprintf("%v after %v", s.signal, s.delay.Round(time.Millisecond))
}

// stopInSeries restarts several instances one after the other until a time, so that their stops overlap each other and other
// changes, with SIGHUP before, during and after a stop and SIGTERM repeated. Draws of its own leave the rest of the schedule as
// it is without it.
func (f *fleet) stopInSeries(ctx context.Context, until time.Time) {
	rng := rand.New(rand.NewPCG(f.options.Seed, 5))
	draw := func(n int, signals ...syscall.Signal) []delayedSignal {
		var l []delayedSignal
		for range rng.IntN(n + 1) {
			l = append(l, delayedSignal{time.Duration(rng.Int64N(int64(maxSignalGap))), signals[rng.IntN(len(signals))]})
		}
		return l
	}
	var w sync.WaitGroup
	defer w.Wait()
	for ctx.Err() == nil {
		first, count := rng.IntN(len(f.instances)), 1+rng.IntN((len(f.instances)+1)/2)
		for i := range count {
			gap := time.Duration(rng.Int64N(int64(maxActionGap)))
			before, during, after := draw(1, syscall.SIGHUP), draw(maxExtraSignals, syscall.SIGTERM, syscall.SIGHUP), draw(1, syscall.SIGHUP)
			if !time.Now().Add(gap).Before(until) {
				return
			}
			time.Sleep(gap)
			n := f.instances[(first+i)%len(f.instances)]
			f.addEvent("instance %d stops in a series of %d, signals before %v, during %v, after %v", n.index, count, before, during, after)
			w.Go(func() {
				sendSignals(n.currentProcess(), before)
				f.restart(n, during)
				sendSignals(n.currentProcess(), after)
			})
		}
		time.Sleep(time.Duration(rng.Int64N(int64(maxSignalGap))))
	}
}

// preempt pauses all instances for some milliseconds time and again until a time, as a busy machine does. Such a pause excuses
// nothing.
func (f *fleet) preempt(ctx context.Context, until time.Time) {
	var w sync.WaitGroup
	defer w.Wait()
	for _, n := range f.instances {
		rng := rand.New(rand.NewPCG(f.options.Seed, uint64(1000+n.index)))
		w.Go(func() {
			for ctx.Err() == nil && time.Now().Before(until) {
				time.Sleep(time.Duration(rng.Int64N(int64(maxPreemptionGap))))
				if p := n.currentProcess(); p != nil {
					p.signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(rng.Int64N(int64(maxPreemption))))
					p.signal(syscall.SIGCONT)
				}
			}
		})
	}
}

// sendSignals sends signals to a process until it has ended; p may be nil.
func sendSignals(p *process, l []delayedSignal) {
	if p == nil {
		return
	}
	for _, s := range l {
		select {
		case <-p.done:
			return
		case <-time.After(s.delay):
			p.signal(s.signal)
		}
	}
}

// keepsConnection reports whether a client uses its connection until it ends, whatever the instance does or says.
func (f *fleet) keepsConnection(client int) bool { return f.options.StopSeries && client%2 == 1 }

// isDisturbed reports whether the instance is being restarted, or has another disturbance.
func (n *instance) isDisturbed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.disturbances, func(d *disturbance) bool { return d.to.IsZero() })
}

// makeUnusual makes some requests last for seconds, gives others hardly any time, and has some answered at about the time at which
// an instance would give up waiting for the first byte.
func (q *request) makeUnusual(rng *rand.Rand) {
	late := minLateResponse + rng.IntN(maxLateResponse-minLateResponse)
	switch k := rng.IntN(unusualRequests); {
	case k == 0 && q.Model != "":
		q.Path += standin.SlowSuffix
		q.Deadline = slowDeadline
	case k == 1:
		q.Deadline = shortDeadline
	case k < lateRequests && !q.isOnceOnly():
		q.Path += standin.LatePrefix + strconv.Itoa(late)
	}
}

// setIdleTimeout changes the time for which instances keep idle connections of clients.
func (f *fleet) setIdleTimeout(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config["limits"].(map[string]any)["idleTimeoutMs"] = d.Milliseconds()
	f.publishConfig()
}

// isOnceOnly reports whether the request may run once at most.
func (q *request) isOnceOnly() bool {
	return q.Path == standin.PathOnce || strings.HasPrefix(q.Path, standin.PathSingleStream)
}

// cutIsExcused reports whether the rule on lost requests allows that an unusual request ends without its whole response: its
// deadline has passed, its endpoint was closed, or it lasted until the end of the grace period. The usual requests are so short
// that nothing excuses it.
func (c *checker) cutIsExcused(q *request) bool {
	if q.Deadline == requestTimeout {
		return false
	}
	if q.end.Sub(q.sent) >= q.Deadline {
		return true
	}
	for _, a := range c.arrivals[q.ID] {
		if t := a.endpoint.removedAt; t.After(a.ReceivedAt) && t.Before(q.end) {
			return true
		}
	}
	return c.anyStop(q, q.sent, func(stop time.Time) bool {
		return q.end.After(stop.Add(gracePeriod-gracePeriod/6)) && q.sent.Before(stop.Add(lateStopRequests))
	})
}

// refusalIsExcused reports whether an instance may refuse the request: one that stops, if the deadline lies beyond the grace period or
// in the last part of it, which the instance keeps for its exit; one that has just started, if the request has no time to wait for
// its configuration.
func (c *checker) refusalIsExcused(q *request) bool {
	if !c.fleet.options.StopSeries {
		return false
	}
	if q.Deadline == shortDeadline && c.anyStop(q, q.sent.Add(-startSlack), func(time.Time) bool { return true }) {
		return true
	}
	return c.anyStop(q, q.sent, func(stop time.Time) bool { return q.sent.Add(q.Deadline).After(stop.Add(gracePeriod - exitReserve)) })
}

// anyStop reports whether f holds for the beginning of a restart of the request's instance that was under way at some time between
// from and the end of the request.
func (c *checker) anyStop(q *request, from time.Time, f func(stop time.Time) bool) bool {
	q.instance.mu.Lock()
	defer q.instance.mu.Unlock()
	return slices.ContainsFunc(q.instance.disturbances, func(d *disturbance) bool {
		return anyOverlaps([]*disturbance{d}, from, q.end) && f(d.from)
	})
}
