//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform"
	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

const (
	resumeEvents = 20
	resumePause  = 100 * time.Millisecond

	// One engine of eight is grey (0.125) for greyTime in each round, and two of eight (0.25) are down for downTime, as the site
	// has them at most. Between two rounds nothing is disturbed.
	resumeEngines = 8
	rounds        = 6
	roundInterval = 10 * time.Second
	greyTime      = 6 * time.Second
	crashAfter    = 3 * time.Second // from the start of a round
	downTime      = 2 * time.Second
)

// greyEngine is a proxy before two stand-ins with the same identifier, a sound one and one that fails all requests. While it is
// grey it passes two of five requests to the failing one, whose failure it changes to status 404 with an empty body.
type greyEngine struct {
	listener       net.Listener
	sound, failing *standin.Endpoint
	grey           atomic.Bool
	requests       atomic.Int64 // while it is grey
	log            func(format string, args ...any)
}

func newGreyEngine(id string, log func(string, ...any)) *greyEngine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	g := &greyEngine{listener: l, sound: newStreamEngine(id), failing: newStreamEngine(id), log: log}
	g.failing.SetFault(standin.InternalError, false)
	g.sound.AdvertisedAddress = netip.MustParseAddrPort(l.Addr().String())
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(c)
		}
	}()
	return g
}

func (g *greyEngine) close() {
	_ = g.listener.Close()
	g.sound.Close()
	g.failing.Close()
}

// serve passes on the requests of one connection.
func (g *greyEngine) serve(c net.Conn) {
	defer c.Close()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		to := g.sound
		if g.grey.Load() && g.requests.Add(1)%5 < 2 {
			to = g.failing
		}
		if !g.pass(c, r, to) {
			return
		}
	}
}

// pass passes one request on and reports whether the connection can be used again.
func (g *greyEngine) pass(c net.Conn, r *http.Request, to *standin.Endpoint) bool {
	u, err := net.Dial("tcp", to.Address().String())
	if err != nil {
		return false
	}
	defer u.Close()
	q, _ := platform.Protocol{}.DecodeRequest(r.Header) // the router's requests are well-formed
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header.Set("User-Agent", "") // adds none
	}
	if err := r.Write(u); err != nil {
		return false
	}
	a, err := http.ReadResponse(bufio.NewReader(u), r)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	if a.StatusCode == http.StatusInternalServerError {
		g.log("%s fails %s (after event %q) with 404 and an empty body", to.ID, q.ID, q.LastEventID)
		a.StatusCode, a.Status, a.Body, a.ContentLength = http.StatusNotFound, "404 Not Found", http.NoBody, 0
	}
	return a.Write(c) == nil
}

// newStreamEngine returns a sound engine that streams for two seconds.
func newStreamEngine(id string) *standin.Endpoint {
	e := standin.NewEndpoint(id, standin.EngineService)
	e.SetStream(resumeEvents, resumePause)
	return e
}

// resumeCase lets an engine crash while it streams, beside one that fails part of its requests, and looks for streams that
// end as complete before their last piece.
func resumeCase(c *caseRun) (bool, error) {
	store := standin.NewStore()
	defer store.Close()
	front := newStoreFront(store, 4*time.Millisecond)
	defer front.close()
	store.PublishConfiguration(standin.NewConfiguration(1))
	var engines []*standin.Endpoint
	for k := range resumeEngines - 1 {
		e := newStreamEngine(fmt.Sprintf("engine-%d", k+1))
		engines = append(engines, e)
		store.RegisterEndpoint(e)
	}
	grey := newGreyEngine("engine-8", c.logf)
	defer grey.close()
	store.RegisterEndpoint(grey.sound)
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
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	whole, short, failed := 0, 0, map[string]int{}
	var clients sync.WaitGroup
	all := slices.Clone(engines)
	defer func() {
		for _, e := range all {
			e.Close()
		}
	}()
	var disruptions sync.WaitGroup
	end := time.Now().Add(rounds*roundInterval + time.Second)
	if c.trouble {
		disruptions.Go(func() {
			for round := range rounds {
				grey.grey.Store(true)
				c.logf("engine-8 begins to fail two of five requests")
				time.Sleep(crashAfter)
				for k := range 2 {
					i := (2*round + k) % len(engines)
					ended := engines[i]
					// Its entry is removed after three heartbeat intervals of silence.
					time.AfterFunc(3*1200*time.Millisecond, func() { store.RemoveEndpoint(ended) })
					c.logf("%s crashes", engines[i].ID)
					engines[i].Close()
					engines[i] = newStreamEngine(fmt.Sprintf("engine-%d-round-%d", i+1, round+1))
					all = append(all, engines[i])
				}
				time.Sleep(downTime)
				for k := range 2 { // they are back with new identifiers
					store.RegisterEndpoint(engines[(2*round+k)%len(engines)])
				}
				time.Sleep(greyTime - crashAfter - downTime)
				grey.grey.Store(false)
				c.logf("engine-8 is sound again")
				time.Sleep(roundInterval - greyTime)
			}
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		id, to := fmt.Sprintf("request-%d", n), instances[n%len(instances)]
		clients.Add(1)
		go func() {
			defer clients.Done()
			a := standin.Do(context.Background(), netip.AddrPort(to.addresses.Requests), standin.Request{
				Path: standin.PathResumable + "1", ID: id, Model: "small", Session: id, Deadline: 10 * time.Second,
				PromptPrefix: fmt.Sprintf("%x:60,%x:40", 256+n%97, 4096+n), Body: id,
			})
			ids := a.EventIDs()
			last := 0
			if len(ids) > 0 {
				last = ids[len(ids)-1]
			}
			mu.Lock()
			defer mu.Unlock()
			c.logf("%s answered %d by %q, last event %d, complete %v, error %v", id, a.Status, strings.TrimSpace(a.Signature), last, a.Complete, a.Err)
			switch {
			case a.Status == http.StatusOK && a.Complete && last < resumeEvents:
				short++
				c.logf("%s: the stream ended as complete after event %d of %d", id, last, resumeEvents)
			case a.Status == http.StatusOK && a.Complete:
				whole++
			default:
				failed[fmt.Sprint(a.Status, " ", a.Complete)]++
			}
		}()
		time.Sleep(10 * time.Millisecond)
	}
	clients.Wait()
	disruptions.Wait()
	for _, e := range append(all, grey.sound) {
		for _, r := range e.ReceivedRequests() {
			c.logf("%s got %s after event %q, ran %v", e.ID, r.ID, r.LastEvent, r.Ran)
		}
	}
	c.logf("whole %d, ended as complete too early %d, others %v", whole, short, failed)
	fmt.Printf("streams: whole %d, ended as complete before their last piece %d, others by status and completeness %v\n", whole, short, failed)
	return short > 0, nil
}
