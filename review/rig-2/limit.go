//go:build review

package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

const (
	requestLimit = 2.0 // requests a second that the engine in need takes
	limitPeriod  = 4 * time.Second
	lull         = 36 * time.Second
	burst        = 90
)

// limitAfterLull lets two of three instances go for good, then no client comes for a while, then many come at once. One engine has named
// its limit all the while. The rule is LIMIT of the news pages.
func limitAfterLull(r *rig) int {
	var l []*standin.Endpoint
	for i := range 3 {
		e := standin.NewEndpoint(fmt.Sprintf("i-%d", i), standin.EngineService)
		e.SetStream(6, 40*time.Millisecond)
		l = append(l, e)
		r.register(e)
	}
	needy := l[0]
	needy.SetRequestLimit(requestLimit)
	r.store.PublishConfiguration(standin.NewConfiguration(1))
	if err := r.startInstances(3); err != nil {
		r.log("can't run: %v", err)
		return failed
	}
	time.Sleep(stabilityWindow)
	var w sync.WaitGroup
	var mu sync.Mutex
	passedOn := 0 // answers with the limit that the first instance passed on
	send := func(instance, i int) {
		w.Add(1)
		go func() {
			defer w.Done()
			a := r.send(instance, standin.Request{
				Path: standin.PathResumable + standin.LatePrefix + "250", Model: model, ID: fmt.Sprintf("request-%d", i), Body: fmt.Sprint(i),
				PromptPrefix: fmt.Sprintf("5a5a:60,%08x:40", i), Deadline: deadline,
			})
			limit := a.Header.Get("Server-Limit")
			r.log("client: request-%d at instance %d: status %d, Server-Limit %q", i, instance%len(r.instances)+1, a.Status, limit)
			if limit != "" && instance%len(r.instances) == 0 {
				mu.Lock()
				defer mu.Unlock()
				passedOn++
			}
		}()
	}
	n := 0
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); n++ {
		send(n, n)
		time.Sleep(50 * time.Millisecond)
	}
	w.Wait()
	if passedOn == 0 {
		r.log("instance 1 has passed on no answer that names the limit")
		return failed
	}
	r.log("instance 1 has passed on %d answers that name the limit", passedOn)
	if r.trouble {
		r.kill(r.instances[1])
		r.kill(r.instances[2])
	}
	time.Sleep(lull)
	r.log("many clients come")
	burstAt := time.Now()
	for i := range burst {
		send(0, n+i)
	}
	w.Wait()
	if r.crashed() {
		r.log("an instance has ended by itself")
		return failed
	}
	var at []time.Time // arrivals after the lull; all of them come from instance 1
	for _, q := range needy.ReceivedRequests() {
		r.log("engine %s, which names %g a second, got %s at %.3f s", needy.ID, requestLimit, q.ID, q.ReceivedAt.Sub(r.start).Seconds())
		if q.ReceivedAt.After(burstAt) {
			at = append(at, q.ReceivedAt)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	most, from := 0, 0
	for i, t := range at {
		for t.Sub(at[from]) >= limitPeriod {
			from++
		}
		most = max(most, i-from+1)
	}
	allowed := 1.5*requestLimit*limitPeriod.Seconds() + 5
	r.log("most requests in %v: %d, allowed %g", limitPeriod, most, allowed)
	if float64(most) > allowed {
		return broken
	}
	return held
}
