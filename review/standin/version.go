//go:build review

package main

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

// The roll-out of the case. All times count from the order.
const (
	rolloutTime   = 24 * time.Second // the longest on the site
	restartsBegin = 3 * time.Second
	turnsBad      = 20 * time.Second // the new version is good until then
	requestRate   = 60               // a second, over all instances
	stability     = 3 * time.Second  // stabilityWindowMs
	exposureShare = 0.15
	exposureSlack = 30
	grace         = 8 * time.Second
)

// versionCase restarts the instances one after the other during a roll-out to a version that turns bad later, and counts
// the requests that reach that version.
func versionCase(c *caseRun) (bool, error) {
	store := standin.NewStore()
	defer store.Close()
	engine := func(id, version string) *standin.Endpoint {
		e := standin.NewEndpoint(id, standin.PlainService)
		e.Version = version
		e.SetDelay(15 * time.Millisecond)
		return e
	}
	var old, fresh []*standin.Endpoint
	for k := range 3 {
		old = append(old, engine(fmt.Sprintf("old-%d", k+1), "v9"))
	}
	config := standin.NewConfiguration(1)
	routes := config["routes"].([]any)
	for k := range 400 {
		r := maps.Clone(config.Route("idempotent"))
		r["name"] = fmt.Sprintf("extra-%d", k)
		routes = append(routes, r)
	}
	config["routes"] = routes
	for k := range 400 {
		config.SetPathPrefix(fmt.Sprintf("extra-%d", k), fmt.Sprintf("/extra-%d/", k))
	}
	store.PublishConfiguration(config)
	for _, e := range old {
		store.RegisterEndpoint(e)
	}
	defer func() {
		for _, e := range append(old, fresh...) {
			e.Close()
		}
	}()
	front := newStoreFront(store, 4*time.Millisecond) // what the sheet gives for an answer
	defer front.close()
	instances, err := newInstances(3, c.dir, c.program, front.address())
	if err != nil {
		return false, err
	}
	for _, i := range instances {
		defer i.kill()
		if err := i.start(); err != nil {
			return false, err
		}
	}
	for _, i := range instances {
		if err := i.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	done := make(chan struct{})
	balancer := newRotation(instances, done)
	time.Sleep(stability + time.Second)

	// The clients.
	type sent struct {
		instance int
		at       time.Time
	}
	var mu sync.Mutex
	requests := map[string]sent{}
	answers := map[int]int{}
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		t := time.NewTicker(time.Second / requestRate)
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-t.C:
			}
			k := n % len(instances)
			for range instances {
				if balancer.in[k].Load() {
					break
				}
				k = (k + 1) % len(instances)
			}
			id, to := fmt.Sprintf("request-%d", n), instances[k]
			mu.Lock()
			requests[id] = sent{k, time.Now()}
			mu.Unlock()
			clients.Add(1)
			go func() {
				defer clients.Done()
				a := standin.Do(context.Background(), netip.AddrPort(to.addresses.Requests), standin.Request{Path: standin.PathOnce, ID: id, Deadline: time.Second})
				mu.Lock()
				answers[a.Status]++
				mu.Unlock()
				c.logf("%s sent to %s, answered %d by %q %v", id, to.name, a.Status, a.Signature, a.Err)
			}()
		}
	}()

	// The order, and the new engines that the platform starts beside the old ones.
	ordered := time.Now()
	store.PublishRollout(standin.PlainService, "v10", rolloutTime)
	c.logf("ordered the roll-out of %s to v10 within %v", standin.PlainService, rolloutTime)
	time.Sleep(time.Second)
	for k := range 3 {
		e := engine(fmt.Sprintf("new-%d", k+1), "v10")
		fresh = append(fresh, e)
		store.RegisterEndpoint(e)
	}
	time.Sleep(time.Until(ordered.Add(restartsBegin)))
	if c.trouble {
		for _, i := range instances {
			c.logf("SIGTERM to %s", i.name)
			i.stop(grace)
			c.logf("%s has ended; it is started again", i.name)
			if err := i.start(); err != nil {
				return false, err
			}
			if err := i.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
			c.logf("%s is ready", i.name)
			time.Sleep(time.Second)
		}
	}
	time.Sleep(time.Until(ordered.Add(turnsBad)))
	c.logf("v10 turns bad: half of its answers are failures from now on")
	clients.Add(1)
	go func() {
		defer clients.Done()
		for fails := true; ; fails = !fails {
			for _, e := range fresh {
				if fails {
					e.SetFault(standin.InternalError, false)
				} else {
					e.SetFault(standin.NoFault, false)
				}
			}
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	deadline := ordered.Add(rolloutTime)
	for time.Now().Before(deadline) && store.RolloutState(standin.PlainService) == "running" {
		time.Sleep(10 * time.Millisecond)
	}
	c.logf("state of the roll-out: %s", store.RolloutState(standin.PlainService))
	time.Sleep(time.Until(deadline))
	close(done)
	clients.Wait()

	// The judgement: RULES.md, EXPOSURE, first half.
	total, bad, failed := 0, 0, 0
	reached := map[string]bool{}
	count := func(l []*standin.Endpoint, isNew bool) {
		for _, e := range l {
			for _, r := range e.ReceivedRequests() {
				if r.ReceivedAt.Before(ordered) || r.ReceivedAt.After(deadline) {
					continue
				}
				total++
				if !isNew {
					continue
				}
				s := requests[r.ID]
				touch := instances[s.instance].undisturbed(r.ReceivedAt, stability)
				c.logf("%s ran on %s (v10) from %s, in touch: %v", r.ID, e.ID, instances[s.instance].name, touch)
				if touch && !reached[r.ID] {
					reached[r.ID] = true
					bad++
				}
			}
		}
	}
	count(old, false)
	count(fresh, true)
	failed = answers[500]
	limit := exposureShare*float64(total) + exposureSlack
	c.logf("answers by status: %v; %d requests failed", answers, failed)
	c.logf("v10 got %d requests of %d from instances in touch; allowed are %.0f", bad, total, limit)
	fmt.Printf("v10 got %d requests of %d from instances in touch; allowed are %.0f; answers %v\n", bad, total, limit, answers)
	return float64(bad) > limit, nil
}
