package coldstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	service = routing.ColdStart{Duration: 3 * time.Second, PerSecond: 15}
	limit   = Limit{Overshoot: 1.5, Slack: 5}
)

const hardBound = 27 // requests in any second, by service and limit

// mostInSecond returns the largest number of times within any second.
func mostInSecond(l []time.Time) int {
	slices.SortFunc(l, time.Time.Compare)
	most, from := 0, 0
	for i, t := range l {
		for t.Sub(l[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// TestSumOfInstances guards against more requests in a second than a cold endpoint survives, whatever the demand, and against an
// endpoint that gets hardly any work while it is cold. The instances have a request for it at any time, or only after a lull at the same moment
// (as for a prompt for which all rank it first), and their counts of the instances may differ.
func TestSumOfInstances(t *testing.T) {
	all := func(time.Duration) bool { return true }
	wave := func(at time.Duration) bool { return at%(4*time.Second) > 3*time.Second }
	for name, c := range map[string]struct {
		instances int
		size      func(instance int) int // number of instances that one of them assumes
		demand    func(at time.Duration) bool
		least     float64 // requests a second that the endpoint gets while there is demand
	}{
		"one":                            {1, func(int) int { return 1 }, all, 12},
		"6":                              {6, func(int) int { return 6 }, all, 12},
		"64":                             {64, func(int) int { return 64 }, all, 7},
		"195":                            {195, func(int) int { return 195 }, all, 6},
		"770":                            {770, func(int) int { return 770 }, all, 6},
		"64 after a lull":                {64, func(int) int { return 64 }, wave, 6},
		"195 after a lull":               {195, func(int) int { return 195 }, wave, 6},
		"64, half know the default only": {64, func(i int) int { return 64 + i%2*64 }, all, 4},
		"64, counts from 60 to 68":       {64, func(i int) int { return 60 + i%9 }, all, 6},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const step, length = 5 * time.Millisecond, 8 * time.Second
			worst, total, rounds := 0, 0, max(10, 40*64/max(64, c.instances))
			paces := map[int]Pace{}
			for i := range c.instances {
				paces[c.size(i)] = NewPace(c.size(i), service, limit)
			}
			for round := range rounds {
				rng := rand.New(rand.NewPCG(uint64(round), 1))
				var sent []time.Time
				for i := range c.instances {
					p, e, phase := paces[c.size(i)], Endpoint{}, rng.Uint64()
					e.Register(start, routing.Endpoint{Sequence: 1, WarmUpRemaining: time.Hour})
					for at := time.Duration(0); at < length; at += step {
						if now := start.Add(at); c.demand(at) && e.Cold(now) && e.Allows(now, p, phase) {
							e.RecordSend(now)
							sent = append(sent, now)
						}
					}
				}
				worst, total = max(worst, mostInSecond(sent)), total+len(sent)
			}
			seconds := 0.0
			for at := time.Duration(0); at < length; at += step {
				if c.demand(at) {
					seconds += step.Seconds()
				}
			}
			rate := float64(total) / float64(rounds) / seconds
			// Windows that are cut by the ends of the test count too.
			highest := service.PerSecond * float64(length+maxWindow) / float64(length) * 1.03
			t.Logf("at most %d in a second, %.1f a second on average", worst, rate)
			if worst > hardBound || rate < c.least || rate > highest {
				t.Errorf("at most %d in a second, bound %d; %.1f a second on average, want %.1f to %.1f", worst, hardBound, rate, c.least, highest)
			}
		})
	}
}

// TestChangingPace guards against a second request in the time of one, when the count of instances changes or a new process takes the
// place of the old one.
func TestChangingPace(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var paces []Pace
	for n := 60; n < 65; n++ {
		paces = append(paces, NewPace(n, service, limit))
	}
	for range 200 {
		e, phase := Endpoint{}, rng.Uint64()
		var last time.Time
		for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
			now, p := start.Add(at), paces[rng.IntN(len(paces))]
			if rng.IntN(100) == 0 {
				e = e.Succeed()
			}
			if !e.Allows(now, p, phase) {
				continue
			}
			if !last.IsZero() && now.Sub(last) < p.Interval-p.Window {
				t.Fatalf("two requests within %v, interval %v, window %v", now.Sub(last), p.Interval, p.Window)
			}
			e.RecordSend(now)
			last = now
		}
	}
}

// TestNewPace guards against a pace above the rate that the service tolerates, against one that breaks a bound without
// overshoot and slack, and against a division by zero.
func TestNewPace(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond float64
		limit     Limit
		least     float64 // share of the rate that is used, by 64 instances
	}{
		"usual":             {15, limit, 0.5},
		"no tolerance":      {15, Limit{Overshoot: 1}, 0.1},
		"one a second":      {1, Limit{Overshoot: 1}, 0},
		"less than one":     {0.5, Limit{Overshoot: 1}, 0},
		"no requests":       {15, Limit{}, 0},
		"hundreds a second": {500, Limit{Overshoot: 1}, 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			s := routing.ColdStart{Duration: time.Second, PerSecond: c.perSecond}
			for _, n := range []int{1, 2, 6, 64, 195, 770} {
				p := NewPace(n, s, c.limit)
				if p.Interval == 0 {
					if c.least > 0 {
						t.Errorf("%d instances: no requests", n)
					}
					continue
				}
				rate := float64(n) / p.Interval.Seconds()
				if rate > 1.001*c.perSecond || n == 64 && rate < c.least*c.perSecond || c.limit.bound(s).excess(n, p) > excessProbability || 2*p.Window > p.Interval {
					t.Errorf("%d instances: %+v, %.2f requests a second", n, p, rate)
				}
			}
		})
	}
}

// TestBinomialTail guards against a wrong probability, by known values.
func TestBinomialTail(t *testing.T) {
	for _, c := range []struct {
		n    int
		p    float64
		k    int
		want float64
	}{{2, 0.5, 0, 0.75}, {2, 0.5, 1, 0.25}, {2, 0.5, 2, 0}, {10, 0.1, 3, 0.012795}, {64, 0, 1, 0}} {
		if got := binomialTail(c.n, c.p, c.k); got < c.want*0.999 || got > c.want*1.001 {
			t.Errorf("more than %d of %d with %v: %v, want %v", c.k, c.n, c.p, got, c.want)
		}
	}
}

// TestFleetSize guards against instances that send too much because they know a part of the fleet only: just after their start, or
// while others are cut off.
func TestFleetSize(t *testing.T) {
	type report struct {
		at     time.Duration
		others int
	}
	for name, c := range map[string]struct {
		reports []report
		at      time.Duration
		want    int
	}{
		"no report":                      {nil, time.Hour, DefaultInstances},
		"reports that cover nobody":      {[]report{{0, 0}, {time.Minute, 0}}, time.Hour, DefaultInstances},
		"first report":                   {[]report{{0, 2}}, time.Second, DefaultInstances},
		"first report of a large fleet":  {[]report{{0, 194}}, time.Second, 195},
		"settled":                        {[]report{{0, 2}, {time.Second, 63}}, settleTime, 64},
		"half are cut off":               {[]report{{0, 63}, {time.Minute, 31}, {10 * time.Minute, 31}}, 10 * time.Minute, 64},
		"half left long ago":             {[]report{{0, 63}, {time.Minute, 31}, {16 * time.Minute, 31}, {32 * time.Minute, 31}}, 32 * time.Minute, 32},
		"no reports for hours":           {[]report{{0, 63}}, 5 * time.Hour, 64},
		"grows":                          {[]report{{0, 5}, {time.Minute, 11}}, time.Minute, 12},
		"first report after a long time": {[]report{{time.Hour, 5}}, time.Hour + settleTime, 6},
	} {
		t.Run(name, func(t *testing.T) {
			var f Fleet
			for _, r := range c.reports {
				f.Observe(start.Add(r.at), r.others)
			}
			if n := f.Size(start.Add(c.at)); n != c.want {
				t.Errorf("%d instances, want %d", n, c.want)
			}
		})
	}
	f := Fleet{}
	f.SetAlone()
	if n := f.Size(start); n != 1 {
		t.Errorf("alone: %d instances", n)
	}
}

// TestBeliefs guards against an endpoint that gets full load while it is cold because an older or weaker source says otherwise, and
// against one that counts as cold for longer than the sources say.
func TestBeliefs(t *testing.T) {
	entry := func(at time.Duration, sequence int64, warmUp time.Duration) func(*Endpoint) {
		return func(e *Endpoint) {
			e.Register(start.Add(at), routing.Endpoint{Sequence: sequence, WarmUpRemaining: warmUp, StartedAtMS: start.UnixMilli()})
		}
	}
	failure := func(at time.Duration) func(*Endpoint) { return func(e *Endpoint) { e.RecordFailure(start.Add(at)) } }
	response := func(at, sent, warmUp time.Duration) func(*Endpoint) {
		return func(e *Endpoint) { e.RecordResponse(start.Add(at), start.Add(sent), warmUp, service.Duration) }
	}
	mark := func(at, until time.Duration) func(*Endpoint) {
		return func(e *Endpoint) { e.MarkCold(start.Add(at), start.Add(until)) }
	}
	const s, unknown = time.Second, attributes.UnknownWarmUp
	for name, c := range map[string]struct {
		events []func(*Endpoint)
		at     time.Duration // from then on the endpoint is warm
		cold   bool          // it is cold until then
	}{
		"no source, neither the registry nor a response": {nil, s, false},
		"new endpoint":                               {[]func(*Endpoint){entry(s, 1, 3*s)}, 4 * s, true},
		"warm entry":                                 {[]func(*Endpoint){entry(s, 1, 0)}, s, false},
		"cold again":                                 {[]func(*Endpoint){entry(0, 1, 0), entry(10*s, 2, 3*s)}, 13 * s, true},
		"warm by a newer entry":                      {[]func(*Endpoint){entry(0, 1, 3*s), entry(s, 2, 0)}, s, false},
		"older entry":                                {[]func(*Endpoint){entry(0, 2, 3*s), entry(s, 1, 0)}, 3 * s, true},
		"entry read again":                           {[]func(*Endpoint){entry(0, 1, 3*s), entry(2*s, 1, 3*s)}, 3 * s, true},
		"first entry read long after the start":      {[]func(*Endpoint){entry(20*s, 1, 3*s)}, 20 * s, false},
		"later entry read long after the start":      {[]func(*Endpoint){entry(20*s, 7, 3*s)}, 23 * s, true},
		"failure":                                    {[]func(*Endpoint){entry(0, 1, 0), failure(s)}, s + failureRetention, true},
		"returned":                                   {[]func(*Endpoint){failure(s), response(4*s, 3*s, unknown)}, 7 * s, true},
		"second response after the return":           {[]func(*Endpoint){failure(s), response(4*s, 3*s, unknown), response(6*s, 5*s, unknown)}, 7 * s, true},
		"response to a request before the failure":   {[]func(*Endpoint){failure(2 * s), response(3*s, s, unknown)}, 2*s + failureRetention, true},
		"returned warm":                              {[]func(*Endpoint){failure(s), response(4*s, 3*s, 0)}, 4 * s, false},
		"response states the time":                   {[]func(*Endpoint){entry(0, 1, 0), response(4*s, 3*s, 2*s)}, 6 * s, true},
		"response ends the registry's time":          {[]func(*Endpoint){entry(0, 1, 5*s), response(s, s, 0)}, s, false},
		"entry written before the failure":           {[]func(*Endpoint){failure(s), entry(2*s, 5, 0)}, s + failureRetention, true},
		"entry written after the failure":            {[]func(*Endpoint){failure(s), entry(s+RegistryLag, 5, 0)}, s + RegistryLag, false},
		"cold entry after the failure":               {[]func(*Endpoint){failure(s), response(2*s, 2*s, unknown), entry(3*s, 5, 3*s)}, 6 * s, true},
		"marked":                                     {[]func(*Endpoint){mark(s, 7*s)}, 7 * s, true},
		"marked, warm by an entry from before":       {[]func(*Endpoint){mark(s, 7*s), entry(2*s, 9, 0)}, 7 * s, true},
		"marked, warm by an entry from later":        {[]func(*Endpoint){mark(s, 7*s), entry(4*s, 9, 0)}, 4 * s, false},
		"marked, a response without a time changes":  {[]func(*Endpoint){mark(s, 7*s), response(3*s, 2*s, unknown)}, 7 * s, true},
		"crashes again while it counts as cold":      {[]func(*Endpoint){failure(s), response(2*s, 2*s, unknown), failure(3 * s), response(4*s, 4*s, unknown)}, 7 * s, true},
		"new process keeps no belief of the old one": {[]func(*Endpoint){failure(s), func(e *Endpoint) { *e = e.Succeed() }}, s, false},
	} {
		t.Run(name, func(t *testing.T) {
			var e Endpoint
			for _, f := range c.events {
				f(&e)
			}
			before, after := e.Cold(start.Add(c.at-time.Millisecond)), e.Cold(start.Add(c.at))
			if c.cold && !before || after {
				t.Errorf("cold %v before %v and %v after it", before, c.at, after)
			}
			if got := e.Remaining(start.Add(c.at), service.Duration); got != 0 {
				t.Errorf("%v left", got)
			}
		})
	}
}

// BenchmarkNewPace measures the computation that follows a change of the count of instances.
func BenchmarkNewPace(b *testing.B) {
	for _, n := range []int{6, 64, 770} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				NewPace(n, service, limit)
			}
		})
	}
}

// TestCoveredBy guards against an instance that takes reports on a few others, as of instances that are cut off together, for those of all.
func TestCoveredBy(t *testing.T) {
	var f, alone Fleet
	alone.SetAlone()
	if f.CoveredBy(start, 0) || !alone.CoveredBy(start, 0) {
		t.Error("no other instances: want false unless there are none")
	}
	f.Observe(start, 9)
	for others, want := range map[int]bool{0: false, 3: false, 4: true, 9: true, 20: true} {
		if got := f.CoveredBy(start.Add(settleTime), others); got != want {
			t.Errorf("%d others of 9: %v, want %v", others, got, want)
		}
	}
	if f.CoveredBy(start.Add(time.Second), 9) {
		t.Error("true before the number of instances is known")
	}
}
