package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	limitPeriod     = 4 * time.Second // of the bound
	limitSettleTime = 3 * time.Second // from the first response with the limit until the bound holds
	limitTellTime   = 500 * time.Millisecond
	limitNamedAt    = 2 * time.Second // in the replay
	limitEndTime    = 8 * time.Second // until all instances know that a limit is over; 195 instances take up to 7.1 s on 20 seeds
	limitFirstByte  = 100 * time.Millisecond
	limitTotal      = 300 * time.Millisecond
	limitSlow       = 8 * time.Second // until the first byte of a slow response
	limitEndpoints  = 9
	limitLoad       = 10 // requests a second and endpoint
	limitStep       = 10 * time.Millisecond
	reportLag       = 100 * time.Millisecond // between a report and its receipt by the other instances
)

// limitedReplay replays a fleet of instances that place requests at the same endpoints, the first of which names limits.
type limitedReplay struct {
	tables  []*Table
	toldAt  []time.Time // when an instance first got a response with a limit
	cutOff  int         // the last instances; they get and give no reports
	limit   func(at time.Duration) float64
	reports []Limits // of the instances, on their way

	slowShare float64 // of the requests, whose responses begin after limitSlow with what the endpoint said when it got the request

	endKnownAt time.Duration // when no instance counted with the limit any more, since its end; 0 before

	sends    []limitedSend // to the limited endpoint
	refused  int
	requests int
	running  []limitedRequest // in the order of their starts
}

// limitedRequest is a request under way.
type limitedRequest struct {
	coldRequest
	instance  int
	firstByte time.Duration // after it was sent
	slow      bool
}

// limitedSend is a request to the limited endpoint.
type limitedSend struct {
	at       time.Time
	instance int
}

// newLimitedReplay returns a fleet whose instances have known each other for a while.
func newLimitedReplay(instances int, limit func(at time.Duration) float64) *limitedReplay {
	f := &limitedReplay{limit: limit, toldAt: make([]time.Time, instances)}
	for i := range instances {
		f.tables = append(f.tables, nil)
		f.restart(start, i, uint64(i)+1)
		f.tables[i].SetOtherInstances(start.Add(-time.Minute), instances-1)
	}
	return f
}

// restart replaces an instance by one that knows nothing.
func (f *limitedReplay) restart(now time.Time, i int, seed uint64) {
	s := DefaultSettings("a")
	s.ColdSeed = seed
	f.tables[i], f.toldAt[i] = New(s), time.Time{}
	f.tables[i].SetEndpoints(newEndpoints(limitEndpoints, "a"))
	f.tables[i].RecordNewEndpoints(now)
	f.running = slices.Clip(f.running)
	for k := range f.running {
		if f.running[k].instance == i {
			f.running[k].table = nil
		}
	}
}

// exchange passes on the reports of the instances that are not cut off, each after reportLag.
func (f *limitedReplay) exchange(now time.Time) {
	connected := f.tables[:len(f.tables)-f.cutOff]
	for i, t := range connected {
		t.SetOtherInstances(now, len(connected)-1)
		others := Limits{}
		for k, r := range f.reports {
			if k != i && k < len(connected) {
				others.Add(r, 0) // the time on the way is not known
			}
		}
		t.SetRemoteLimits(now, others, len(connected)-1)
	}
	exchangeLoads(now, connected)
	f.reports = f.reports[:0]
	for _, t := range f.tables {
		f.reports = append(f.reports, t.LocalLimits(now))
	}
}

// run places requests at a rate of all instances together.
func (f *limitedReplay) run(from, to time.Duration, rng *rand.Rand, rate func(at time.Duration) float64) {
	for at := from; at < to; at += limitStep {
		now := start.Add(at)
		if at%reportLag == 0 {
			f.exchange(now)
		}
		f.progress(now)
		f.checkEnd(at)
		n := rate(at) * limitStep.Seconds()
		for ; n > 0; n-- {
			if n < 1 && rng.Float64() >= n {
				break
			}
			q := promptRequest(rng.IntN(500))
			q.Prefix[len(q.Prefix)-1].ID = fmt.Sprint(rng.Uint64())
			f.place(now, rng.IntN(len(f.tables)), q)
		}
	}
}

// progress lets the requests under way get their first bytes and end.
func (f *limitedReplay) progress(now time.Time) {
	limited := newEndpoints(1, "a")[service][0].ID
	for i := range f.running {
		q := &f.running[i]
		if now.Sub(q.sent) < q.firstByte || q.started || q.table == nil {
			continue
		}
		q.started = true
		q.table.RecordFirstByte(now, q.inFlight)
		limit, stated := 0.0, now
		if q.slow {
			stated = q.sent
		}
		if q.endpoint.ID == limited {
			limit = f.limit(stated.Sub(start))
		}
		q.table.RecordLimit(now, q.sent, q.endpoint, limit)
		if limit > 0 && f.toldAt[q.instance].IsZero() {
			f.toldAt[q.instance] = now
		}
	}
	f.running = slices.DeleteFunc(f.running, func(q limitedRequest) bool {
		if now.Sub(q.sent) < q.firstByte+limitTotal-limitFirstByte {
			return false
		}
		if q.table != nil {
			q.table.RecordEnd(now, q.inFlight, true)
		}
		return true
	})
}

// checkEnd notes when all instances that are not cut off know that the limit is over.
func (f *limitedReplay) checkEnd(at time.Duration) {
	if f.endKnownAt > 0 || at < limitNamedAt || f.limit(at) > 0 {
		return
	}
	limited := newEndpoints(1, "a")[service][0].ID
	for _, t := range f.tables[:len(f.tables)-f.cutOff] {
		if t.states[limited].limit.PerSecond(start.Add(at)) > 0 {
			return
		}
	}
	f.endKnownAt = at
}

// place sends a request of an instance.
func (f *limitedReplay) place(now time.Time, instance int, q Request) {
	f.requests++
	t := f.tables[instance]
	c, ok := t.Choose(now, q)
	if !ok {
		f.refused++
		return
	}
	if c.Endpoint.ID == newEndpoints(1, "a")[service][0].ID {
		f.sends = append(f.sends, limitedSend{now, instance})
	}
	r := limitedRequest{coldRequest{table: t, inFlight: t.RecordSend(now, q, c), endpoint: c.Endpoint, sent: now}, instance, limitFirstByte, false}
	if f.slowShare > 0 && f.requests%int(1/f.slowShare) == 0 {
		r.firstByte, r.slow = limitSlow, true
	}
	f.running = append(f.running, r)
}

// count returns the number of requests that the limited endpoint got in a span.
func (f *limitedReplay) count(from, to time.Duration) int {
	n := 0
	for _, s := range f.sends {
		if at := s.at.Sub(start); at >= from && at < to {
			n++
		}
	}
	return n
}

// most returns the largest number of requests in limitPeriod within a span, of all instances and of those that had got a response with the limit.
func (f *limitedReplay) most(from, to time.Duration) (all, told int) {
	var l, m []time.Time
	for _, s := range f.sends {
		if at := s.at.Sub(start); at < from || at >= to {
			continue
		}
		l = append(l, s.at)
		if t := f.toldAt[s.instance]; !t.IsZero() && s.at.Sub(t) >= limitTellTime {
			m = append(m, s.at)
		}
	}
	within := func(l []time.Time) int {
		most, from := 0, 0
		for i, t := range l {
			for t.Sub(l[from]) >= limitPeriod {
				from++
			}
			most = max(most, i-from+1)
		}
		return most
	}
	return within(l), within(m)
}

// TestLimitedFleet guards against more requests of all instances together than the limit of an endpoint allows; against an endpoint that gets
// hardly any, so that nobody learns that its limit is over; against a limit that holds on after its end; and against requests that are refused
// while other endpoints have room. Instances learn of the limit at different times, restart, or are cut off from the others.
func TestLimitedFleet(t *testing.T) {
	const limit, over, end = 2.6, 30 * time.Second, 42 * time.Second
	constant := func(time.Duration) float64 { return limitLoad * limitEndpoints }
	waves := func(at time.Duration) float64 {
		if at%(6*time.Second) < 3*time.Second {
			return 2 * limitLoad * limitEndpoints
		}
		return 1
	}
	fixed := func(at time.Duration) float64 {
		if at < limitNamedAt || at >= over {
			return 0
		}
		return limit
	}
	changing := func(at time.Duration) float64 {
		if at/(5*time.Second)%2 == 1 {
			return min(2, fixed(at))
		}
		return fixed(at)
	}
	type scenario struct {
		instances int
		limit     func(time.Duration) float64
		load      func(time.Duration) float64
		cutOff    int           // instances that are cut off before the limit is named
		restartAt time.Duration // of a third of the instances
		least     int           // requests to the endpoint from 5 s on until the limit is over
		slowShare float64       // of the requests
	}
	cases := map[string]scenario{
		"restart":                      {9, fixed, constant, 0, 9 * time.Second, 15, 0},
		"restart of 78":                {78, fixed, constant, 0, 9 * time.Second, 10, 0},
		"cut off":                      {9, fixed, constant, 3, 0, 15, 0},
		"cut off, of 78":               {78, fixed, constant, 26, 0, 10, 0},
		"changing":                     {9, changing, constant, 0, 0, 25, 0},
		"changing, 78":                 {78, changing, constant, 0, 0, 10, 0},
		"limit ended by old responses": {9, fixed, constant, 0, 0, 25, 0.2},
	}
	for _, n := range []int{1, 3, 6, 9, 78, 195} {
		least := 30
		if n > 20 {
			least = 10
		}
		cases[fmt.Sprint(n)] = scenario{n, fixed, constant, 0, 0, least, 0}
		cases[fmt.Sprint(n, " in waves")] = scenario{n, fixed, waves, 0, 0, least / 2, 0}
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			allowed := int(1.5*limit*limitPeriod.Seconds() + 5)
			for seed := range uint64(3) {
				rng := rand.New(rand.NewPCG(seed, 3))
				f := newLimitedReplay(c.instances, c.limit)
				for i, x := range f.tables {
					x.settings.ColdSeed = rng.Uint64()
					if c.instances == 1 {
						f.tables[i].SetAlone()
					}
				}
				f.cutOff, f.slowShare = c.cutOff, c.slowShare
				at := time.Duration(0)
				if c.restartAt > 0 {
					f.run(0, c.restartAt, rng, c.load)
					at = c.restartAt
					for i := range c.instances / 3 {
						f.restart(start.Add(at), i, rng.Uint64())
					}
				}
				f.run(at, end, rng, c.load)
				all, told := f.most(limitNamedAt+limitSettleTime, over)
				under, after := f.count(limitNamedAt+limitSettleTime, over), f.count(over+2*time.Second, end)
				t.Logf("at most %d in %v, %d of instances that were told, %d allowed; %d in %v, then %d in %v; end known after %v; %d of %d refused",
					all, limitPeriod, told, allowed, under, over-limitNamedAt-limitSettleTime, after, end-over-2*time.Second, f.endKnownAt-over, f.refused, f.requests)
				if told > allowed || all > allowed && c.cutOff == 0 {
					t.Errorf("at most %d in %v, %d of instances that were told, %d allowed", all, limitPeriod, told, allowed)
				}
				if under < c.least {
					t.Errorf("%d requests under the limit, want at least %d", under, c.least)
				}
				if after < 40 {
					t.Errorf("%d requests in %v after the limit", after, end-over-2*time.Second)
				}
				if f.endKnownAt == 0 || f.endKnownAt > over+limitEndTime {
					t.Errorf("end known after %v, want at most %v", f.endKnownAt-over, limitEndTime)
				}
				if f.refused > 0 {
					t.Errorf("%d requests were refused", f.refused)
				}
			}
		})
	}
}

// TestLimitForgottenWhileQuiet guards against a wave of requests beyond the limit of an endpoint that got none for a while, and so had no
// response in which to name its limit again; and against a limit that holds on after such a time although it is over.
func TestLimitForgottenWhileQuiet(t *testing.T) {
	const (
		limit     = 2.6
		quietAt   = 10 * time.Second
		quietEnd  = quietAt + 40*time.Second // longer than an unconfirmed limit counts at an instance that is cut off
		waveEnd   = quietEnd + 10*time.Second
		instances = 9
	)
	load := func(at time.Duration) float64 {
		switch {
		case at < quietAt:
			return limitLoad * limitEndpoints
		case at < quietEnd:
			return 0
		}
		return 4 * limitLoad * limitEndpoints
	}
	for name, over := range map[string]time.Duration{"limited": waveEnd, "over": quietAt + time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				rng := rand.New(rand.NewPCG(seed, 3))
				f := newLimitedReplay(instances, func(at time.Duration) float64 {
					if at < limitNamedAt || at >= over {
						return 0
					}
					return limit
				})
				for _, x := range f.tables {
					x.settings.ColdSeed = rng.Uint64()
				}
				f.run(0, waveEnd, rng, load)
				allowed := int(1.5*limit*limitPeriod.Seconds() + 5)
				all, _ := f.most(quietEnd, waveEnd)
				late := f.count(waveEnd-5*time.Second, waveEnd)
				t.Logf("seed %d: at most %d in %v, %d allowed; %d in the last 5 s; %d of %d refused", seed, all, limitPeriod, allowed, late, f.refused, f.requests)
				if over == waveEnd && all > allowed {
					t.Errorf("at most %d in %v, %d allowed", all, limitPeriod, allowed)
				}
				if over < waveEnd && late < 100 {
					t.Errorf("%d requests in 5 s after the limit", late)
				}
				if f.refused > 0 {
					t.Errorf("%d requests were refused", f.refused)
				}
			}
		})
	}
}
