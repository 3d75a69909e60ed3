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
	// crashInterval is the time between two crashes; only one engine is down at a time.
	crashInterval = 4 * time.Second
)

// greyEngine is a proxy before two stand-ins with the same identifier, a sound one and one that fails all requests. It passes
// two of five requests to the failing one, whose failure it changes to status 404 with an empty body.
type greyEngine struct {
	listener       net.Listener
	sound, failing *standin.Endpoint
	requests       atomic.Int64
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
		if g.requests.Add(1)%5 < 2 {
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

// recentRequests returns how many requests an engine has got in the time that a stream takes.
func recentRequests(e *standin.Endpoint) int {
	n := 0
	for _, r := range e.ReceivedRequests() {
		if time.Since(r.ReceivedAt) < resumeEvents*resumePause {
			n++
		}
	}
	return n
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
	for k := range 6 { // with the grey one, each engine is a share of 0.14, as on the site
		e := newStreamEngine(fmt.Sprintf("engine-%d", k+1))
		engines = append(engines, e)
		store.RegisterEndpoint(e)
	}
	grey := newGreyEngine("engine-7", c.logf)
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
	end := time.Now().Add(50 * time.Second)
	crashAt := time.Now().Add(5 * time.Second)
	all := slices.Clone(engines)
	defer func() {
		for _, e := range all {
			e.Close()
		}
	}()
	for n := 0; time.Now().Before(end); n++ {
		if c.trouble && time.Now().After(crashAt) {
			crashAt = crashAt.Add(crashInterval)
			busiest := 0
			for k, e := range engines {
				if recentRequests(e) > recentRequests(engines[busiest]) {
					busiest = k
				}
			}
			e := engines[busiest]
			c.logf("%s crashes with about %d streams", e.ID, recentRequests(e))
			e.Close()
			// It is back two seconds later, with a new identifier. The entry of the old one is removed after three heartbeat
			// intervals of silence.
			engines[busiest] = newStreamEngine(fmt.Sprintf("engine-%d-at-%d", busiest+1, n))
			all = append(all, engines[busiest])
			back := engines[busiest]
			time.AfterFunc(2*time.Second, func() { store.RegisterEndpoint(back) })
			time.AfterFunc(3*1200*time.Millisecond, func() { store.RemoveEndpoint(e) })
		}
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
	for _, e := range append(all, grey.sound) {
		for _, r := range e.ReceivedRequests() {
			c.logf("%s got %s after event %q, ran %v", e.ID, r.ID, r.LastEvent, r.Ran)
		}
	}
	c.logf("whole %d, ended as complete too early %d, others %v", whole, short, failed)
	fmt.Printf("streams: whole %d, ended as complete before their last piece %d, others by status and completeness %v\n", whole, short, failed)
	return short > 0, nil
}
