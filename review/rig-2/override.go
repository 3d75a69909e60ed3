//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

const (
	orderDuration  = 24 * time.Second
	rollbackTime   = 5 * time.Second // bound rollbackMs
	rollbackSlack  = 100 * time.Millisecond
	instances      = 6
	versionEngines = 3
	perSecond      = 20  // requests of the plain service a second at each instance but the first
	firstPerSecond = 240 // at the first one
	loadWindow     = 50 * time.Millisecond
	loadThreshold  = 8                      // answers of v2 in a window from which on it counts as loaded
	loadedTime     = 330 * time.Millisecond // of load after which v2 fails a part of its requests
)

// versions holds the engines of both versions of the plain service.
type versions struct {
	rig      *rig
	old, new []*standin.Endpoint

	answers atomic.Int64 // of v2
	mu      sync.Mutex
	bad     []time.Time // when a client got a failure of v2
	status  map[int]int
}

// start starts the engines of a version.
func (v *versions) start(version string) []*standin.Endpoint {
	var l []*standin.Endpoint
	for i := range versionEngines {
		e := standin.NewEndpoint(fmt.Sprintf("i-%s-%d", version, i), standin.PlainService)
		e.Version = version
		e.SetDelay(3 * time.Millisecond)
		v.rig.register(e)
		l = append(l, e)
	}
	return l
}

// count counts an answer that a client got.
func (v *versions) count(a standin.Response) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.status[a.Status]++
	if !strings.HasPrefix(a.Signature, "seal-of-i-v2-") {
		return
	}
	v.answers.Add(1)
	if a.Status >= 500 {
		v.bad = append(v.bad, time.Now())
	}
}

// fail makes the engines of v2 fail at most half of their requests, a third as measured, once v2 has had the load of all requests for a while.
func (v *versions) fail(stop <-chan struct{}) {
	loadedAt, before := time.Time{}, v.answers.Load()
	for loadedAt.IsZero() || time.Since(loadedAt) < loadedTime {
		select {
		case <-stop:
			return
		case <-time.After(loadWindow):
		}
		n := v.answers.Load()
		if loadedAt.IsZero() && n-before >= loadThreshold {
			loadedAt = time.Now()
			v.rig.log("v2 has the load of all requests")
		}
		before = n
	}
	v.rig.log("v2 begins to fail a part of its requests")
	interval := 2 * versionEngines * time.Second / (firstPerSecond + (instances-1)*perSecond) // between two requests that an engine fails
	for {
		for _, e := range v.new {
			e.SetFault(standin.InternalError, true)
		}
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
	}
}

// overriddenRollback brings in a version that fails when it gets all requests. Most requests come at one instance. The rule is EXPOSURE.
func overriddenRollback(r *rig) int {
	v := &versions{rig: r, status: map[int]int{}}
	v.old = v.start("v1")
	r.store.PublishConfiguration(standin.NewConfiguration(1))
	if err := r.startInstances(instances); err != nil {
		r.log("can't run: %v", err)
		return failed
	}
	stop := make(chan struct{})
	var w sync.WaitGroup
	for i := range instances {
		n := perSecond
		if i == 0 {
			n = firstPerSecond
		}
		w.Go(func() {
			t := time.NewTicker(time.Second / time.Duration(n))
			defer t.Stop()
			for {
				select {
				case <-stop:
					return
				case <-t.C:
					w.Go(func() { v.count(r.send(i, standin.Request{Path: standin.PathOnce, Deadline: time.Second})) })
				}
			}
		})
	}
	time.Sleep(stabilityWindow)
	v.new = v.start("v2")
	orderedAt := time.Now()
	r.store.PublishRollout(standin.PlainService, "v2", orderDuration)
	r.log("roll-out of v2 ordered, to be done in %v", orderDuration)
	if r.trouble {
		w.Go(func() { v.fail(stop) })
	}
	for state := ""; time.Since(orderedAt) < orderDuration+10*time.Second; time.Sleep(2 * time.Millisecond) {
		s := r.store.RolloutState(standin.PlainService)
		if s == state {
			continue
		}
		r.log("state %q published", s)
		if state = s; s == "completed" { // the platform stops the old engines at once
			for _, e := range v.old {
				r.drop(e)
			}
		}
	}
	close(stop)
	w.Wait()
	for _, x := range r.instances {
		r.quote(x, "roll-out: Stopped the new version.", "roll-out: Published a state.")
	}
	if r.crashed() {
		r.log("an instance has ended by itself")
		return failed
	}
	return v.judge()
}

// judge counts the requests that reached v2 later than the bound after its 50th bad answer.
func (v *versions) judge() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rig.log("answers by status: %v; bad answers of v2: %d", v.status, len(v.bad))
	late := 0
	if len(v.bad) >= 50 {
		v.rig.log("50th bad answer of v2 at %.3f s", v.bad[49].Sub(v.rig.start).Seconds())
		for _, e := range v.new {
			for _, q := range e.ReceivedRequests() {
				if !q.ReceivedAt.After(v.bad[49].Add(rollbackTime + rollbackSlack)) {
					continue
				}
				if late++; late <= 20 {
					v.rig.log("engine %s got %s at %.3f s", e.ID, q.ID, q.ReceivedAt.Sub(v.rig.start).Seconds())
				}
			}
		}
	}
	v.rig.log("requests that reached v2 later than %v after its 50th bad answer: %d, allowed 0", rollbackTime, late)
	if late > 0 {
		return broken
	}
	return held
}
