//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

const (
	taintedPartID = "c0ffee"
	comeback      = 3 * time.Second // of an engine that has crashed
	path          = standin.PathResumable + standin.LatePrefix + "30"
	model         = "small"
	engines       = 18
	soundInterval = 20 * time.Millisecond
	taintedEvery  = 4 * time.Second
	taintedCount  = 6
	deadline      = 10 * time.Second
)

// fleet is a set of engines that come back some seconds after a crash, as new incarnations.
type fleet struct {
	rig *rig

	mu      sync.Mutex
	all     []*standin.Endpoint
	crashes []time.Time
}

// add starts an engine that crashes when it begins to write an answer on the part.
func (f *fleet) add(name string, incarnation int) {
	e := standin.NewEndpoint(fmt.Sprintf("i-%s-%d", name, incarnation), standin.EngineService)
	e.SetStream(6, 40*time.Millisecond)
	e.CrashOnPart(taintedPartID)
	f.mu.Lock()
	f.all = append(f.all, e)
	f.mu.Unlock()
	f.rig.register(e)
	go func() {
		for !e.Crashed() {
			time.Sleep(5 * time.Millisecond)
		}
		f.mu.Lock()
		f.crashes = append(f.crashes, time.Now())
		n := len(f.crashes)
		f.mu.Unlock()
		f.rig.log("engine %s crashes (crash %d)", e.ID, n)
		time.Sleep(comeback)
		f.add(name, incarnation+1)
	}()
}

// taintedPart sends a few requests whose prompts share a part that crashes engines, no two alike, each with the one retry of its client.
// The rule is BUDGET of the news pages.
func taintedPart(r *rig) int {
	f := &fleet{rig: r}
	for i := range engines {
		f.add(fmt.Sprintf("%02d", i), 1)
	}
	c := standin.NewConfiguration(1)
	c.Route("resume")["timeoutMs"] = deadline.Milliseconds()
	r.store.PublishConfiguration(c)
	if err := r.startInstances(3); err != nil {
		r.log("can't run: %v", err)
		return failed
	}
	time.Sleep(stabilityWindow)

	stop := make(chan struct{})
	var w sync.WaitGroup
	var mu sync.Mutex
	sound, served := 0, 0
	w.Add(1)
	go func() {
		defer w.Done()
		t := time.NewTicker(soundInterval)
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-t.C:
			}
			w.Add(1)
			go func() {
				defer w.Done()
				a := r.send(i, standin.Request{Path: path, Model: model, Body: fmt.Sprintf("sound-%d", i), PromptPrefix: fmt.Sprintf("5a5a:60,%08x:40", i), Deadline: deadline})
				mu.Lock()
				defer mu.Unlock()
				if sound++; a.Status == 200 && a.Complete {
					served++
				}
			}()
		}
	}()
	time.Sleep(2 * time.Second)
	for i := range taintedCount {
		part := taintedPartID
		if !r.trouble {
			part = "50d0" // a sound one
		}
		q := standin.Request{
			Path: path, Model: model, Body: fmt.Sprintf("tainted-%d", i), Deadline: deadline,
			PromptPrefix: fmt.Sprintf("5a5a:60,%s:20,%08x:20", part, 1<<20+i),
		}
		for try := range 2 { // the client's one retry reaches another instance, on a new connection
			q.ID = fmt.Sprintf("tainted-%d-%d", i, try)
			a := r.send(i+try, q)
			r.log("client: request %s at instance %d: status %d, retry after %v, error %v", q.ID, (i+try)%len(r.instances)+1, a.Status, a.RetryAfter, a.Err)
			if a.Status == 200 && a.Complete || a.RetryAfter > deadline/3 {
				break
			}
			time.Sleep(a.RetryAfter)
		}
		time.Sleep(taintedEvery)
	}
	close(stop)
	w.Wait()
	r.log("sound requests: %d, of which %d were served", sound, served)
	if r.crashed() {
		r.log("an instance has ended by itself")
		return failed
	}
	return f.judge()
}

// send sends a request to an instance on a new connection.
func (r *rig) send(i int, q standin.Request) standin.Response {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	return standin.Do(ctx, r.instances[i%len(r.instances)].addresses.Requests, q)
}

// judge counts the requests with the part that engines got later than the stability window after the fifth crash.
func (f *fleet) judge() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var fifth time.Time
	if len(f.crashes) >= 5 {
		fifth = f.crashes[4]
	}
	late := 0
	for _, e := range f.all {
		for _, q := range e.ReceivedRequests() {
			if len(q.ID) < 8 || q.ID[:8] != "tainted-" {
				continue
			}
			counts := f.rig.trouble && !fifth.IsZero() && q.ReceivedAt.After(fifth.Add(stabilityWindow))
			if counts {
				late++
			}
			f.rig.log("engine %s got request %s at %.3f s (later than the window after the fifth crash: %v)", e.ID, q.ID, q.ReceivedAt.Sub(f.rig.start).Seconds(), counts)
		}
	}
	f.rig.log("crashes: %d; requests with the part that reached engines later than %v after the fifth: %d, allowed 3", len(f.crashes), stabilityWindow, late)
	if late > 3 {
		return broken
	}
	return held
}
