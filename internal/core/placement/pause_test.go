package placement

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// pausingPool is a pool of endpoints behind several instances. A third of the endpoints ask for a pause again and again.
type pausingPool struct {
	tables    []*Table
	endpoints []routing.Endpoint
	running   []int // requests at each endpoint
	ends      [][]pendingEnd
	rng       *rand.Rand

	requests, refusedSends, unserved, unservedNeedlessly int
}

// pendingEnd is the end of a request, kept by the step in which it comes.
type pendingEnd struct {
	instance, endpoint int
	request            *InFlightRequest
}

const (
	poolEndpoints   = 60
	poolSlots       = 24
	poolQueue       = 8 // requests that an endpoint accepts beyond its slots
	poolStep        = time.Millisecond
	poolServiceTime = 300 * time.Millisecond
	poolAcceptTime  = 300 * time.Millisecond // of a pausing endpoint between two pauses
	poolPause       = 2 * time.Second
	poolAttempts    = 3
	poolSubjects    = 50 // of the prompts
)

func newPausingPool(instances int) *pausingPool {
	p := &pausingPool{running: make([]int, poolEndpoints), rng: rand.New(rand.NewPCG(1, uint64(instances)))}
	for i := range poolEndpoints {
		p.endpoints = append(p.endpoints, routing.Endpoint{ID: fmt.Sprint("endpoint-", i), Service: service, AvailabilityZone: "a", Slots: poolSlots})
	}
	for range instances {
		t := New(DefaultSettings("a"))
		t.SetEndpoints(map[string][]routing.Endpoint{service: p.endpoints})
		p.tables = append(p.tables, t)
	}
	return p
}

// pauseLeft returns how much longer an endpoint wants no requests.
func (p *pausingPool) pauseLeft(endpoint int, at time.Duration) time.Duration {
	if endpoint%3 != 0 {
		return 0
	}
	const cycle = poolAcceptTime + poolPause
	inCycle := (at + time.Duration(endpoint)*cycle/poolEndpoints) % cycle
	return max(0, cycle-inCycle-poolAcceptTime)
}

// send sends a request of an instance until an endpoint takes it or no further attempt is allowed.
func (p *pausingPool) send(instance int, at time.Duration) {
	t, now := p.tables[instance], start.Add(at)
	p.requests++
	q := promptRequest(p.rng.IntN(poolSubjects))
	q.Prefix[len(q.Prefix)-1].ID, q.ExcludedEndpoints = fmt.Sprint("own-", p.requests), map[string]bool{}
	for range poolAttempts {
		c, ok := t.Choose(now, q)
		if !ok {
			break
		}
		var i int
		if _, err := fmt.Sscanf(c.Endpoint.ID, "endpoint-%d", &i); err != nil {
			panic(err)
		}
		k := t.RecordSend(now, q, c)
		left := p.pauseLeft(i, at)
		if left == 0 && p.running[i] < poolSlots+poolQueue {
			p.running[i]++
			d := poolServiceTime/2 + time.Duration(p.rng.Int64N(int64(poolServiceTime)))
			step := int((at + d) / poolStep)
			for len(p.ends) <= step {
				p.ends = append(p.ends, nil)
			}
			p.ends[step] = append(p.ends[step], pendingEnd{instance, i, k})
			return
		}
		t.RecordEnd(now, k, false)
		q.ExcludedEndpoints[c.Endpoint.ID] = true
		p.refusedSends++
		if left > 0 {
			t.Pause(now, c.Endpoint.ID, left)
		}
	}
	p.unserved++
	for i := range p.endpoints {
		if i%3 != 0 && p.running[i] < poolSlots {
			p.unservedNeedlessly++
			return
		}
	}
}

// run plays a load in requests per second for a time.
func (p *pausingPool) run(rate float64, d time.Duration) {
	due := 0.
	for step := 0; step < int(d/poolStep); step++ {
		at := time.Duration(step) * poolStep
		if step < len(p.ends) {
			for _, e := range p.ends[step] {
				p.running[e.endpoint]--
				p.tables[e.instance].RecordFirstByte(start.Add(at), e.request)
				p.tables[e.instance].RecordEnd(start.Add(at), e.request, true)
			}
		}
		if at%(100*time.Millisecond) == 0 {
			p.exchangeLoads(start.Add(at))
		}
		for due += rate * poolStep.Seconds(); due >= 1; due-- {
			p.send(p.rng.IntN(len(p.tables)), at)
		}
	}
}

// exchangeLoads tells each instance the loads of all others.
func (p *pausingPool) exchangeLoads(now time.Time) {
	sum := Loads{}
	var local []Loads
	var localPauses []Pauses
	for _, t := range p.tables {
		l := t.LocalLoads()
		local, localPauses = append(local, l), append(localPauses, t.LocalPauses(now))
		for e, o := range l {
			s := sum[e]
			sum[e] = EndpointLoad{Requests: s.Requests + o.Requests, PrefillMS: s.PrefillMS + o.PrefillMS}
		}
	}
	for i, t := range p.tables {
		others := Loads{}
		for e, o := range sum {
			l := local[i][e]
			others[e] = EndpointLoad{Requests: o.Requests - l.Requests, PrefillMS: o.PrefillMS - l.PrefillMS}
		}
		t.SetRemoteLoads(now, others)
		pauses := Pauses{}
		for k, l := range localPauses {
			if k != i {
				maps.Copy(pauses, l)
			}
		}
		t.SetRemotePauses(now, pauses)
	}
}

// TestPausingEndpoints guards against requests that are refused although a sound endpoint has room, because a third of the
// endpoints ask for a pause again and again while the load is at its highest.
func TestPausingEndpoints(t *testing.T) {
	for _, load := range []float64{0.5, 0.7, 0.9} { // of what the sound endpoints can take
		for _, instances := range []int{6, 78, 195} {
			t.Run(fmt.Sprint(load, " ", instances), func(t *testing.T) {
				t.Parallel()
				p := newPausingPool(instances)
				p.run(load*(poolEndpoints*2/3)*poolSlots/poolServiceTime.Seconds(), 3*time.Second)
				t.Logf("%d requests, %d refused sends, %d unserved, %d of them with room at a sound endpoint", p.requests, p.refusedSends, p.unserved, p.unservedNeedlessly)
				if p.unservedNeedlessly > 0 {
					t.Errorf("%d of %d requests were refused with room at a sound endpoint", p.unservedNeedlessly, p.requests)
				}
			})
		}
	}
}

// TestSharedPauses guards against requests to endpoints that have asked other instances for a pause, against refusals when
// there is no other endpoint, and against a wish that counts for longer than it is repeated.
func TestSharedPauses(t *testing.T) {
	l := newEndpoints(20, "a")
	table := New(DefaultSettings("a"))
	table.SetEndpoints(l)
	pauses := Pauses{}
	for _, e := range l[service][1:] {
		pauses[EndpointKey(e.ID)] = time.Hour
	}
	table.SetRemotePauses(start, pauses)
	chosen := func(now time.Time, excluded map[string]bool) map[string]bool {
		out := map[string]bool{}
		for i := range 40 {
			q := promptRequest(i)
			q.ExcludedEndpoints, q.AtMostOnce = excluded, true
			c, ok := table.Choose(now, q)
			if !ok {
				t.Fatalf("request %d is refused", i)
			}
			out[c.Endpoint.ID] = true
		}
		return out
	}
	only := l[service][0].ID
	if c := chosen(start, nil); len(c) != 1 || !c[only] {
		t.Errorf("chosen: %v", c)
	}
	if c := chosen(start, map[string]bool{only: true}); c[only] {
		t.Errorf("chosen although it has refused: %v", c)
	}
	if c := chosen(start.Add(maxSharedPause), nil); len(c) < 5 {
		t.Errorf("chosen after the last report: %v", c)
	}
	if n := len(table.LocalPauses(start)); n != 0 {
		t.Errorf("%d pauses of other instances are told on", n)
	}
	table.Pause(start, only, 300*time.Millisecond)
	table.MarkLeaving(start, l[service][1].ID)
	if p := table.LocalPauses(start); len(p) != 2 || p[EndpointKey(only)] != 300*time.Millisecond || p[EndpointKey(l[service][1].ID)] != maxSharedPause {
		t.Errorf("pauses %v", p)
	}
}
