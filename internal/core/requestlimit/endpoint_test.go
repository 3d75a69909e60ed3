package requestlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// allowed is the largest number of requests in any boundPeriod.
func allowed(perSecond float64) int { return int(1.5*perSecond*4 + 5) }

// mostWithin returns the largest number of times within a duration.
func mostWithin(l []time.Time, d time.Duration) int {
	slices.SortFunc(l, time.Time.Compare)
	most, from := 0, 0
	for i, t := range l {
		for t.Sub(l[from]) >= d {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// TestSumOfInstances guards against more requests in four seconds than a limit allows, whatever the demand, and against an endpoint that gets
// hardly any. The instances have a request for it at any time, or only in waves that come to all of them at once, and their counts of the
// instances may differ.
func TestSumOfInstances(t *testing.T) {
	all := func(time.Duration) bool { return true }
	wave := func(at time.Duration) bool { return at%(7*time.Second) > 4*time.Second }
	exact := func(n int) func(int) int { return func(int) int { return n } }
	type scenario struct {
		instances int
		limit     float64
		size      func(instance int) int // number of instances that one of them assumes
		demand    func(at time.Duration) bool
		least     float64 // share of the limit that the endpoint gets while there is demand
	}
	cases := map[string]scenario{
		"195, half of them assume 256": {195, 2.6, func(i int) int { return 195 + i%2*61 }, all, 0.3},
		"78, counts from 78 to 86":     {78, 2.6, func(i int) int { return 78 + i%3*4 }, all, 0.3},
	}
	for _, n := range []int{1, 6, 9, 78, 195, 770} {
		for _, limit := range []float64{0.1, 0.5, 2.6, 150} {
			least := 0.3
			if n <= 6 {
				least = 0.9
			}
			if limit == 150 {
				least = 0.5
			}
			cases[fmt.Sprint(n, " at ", limit)] = scenario{n, limit, exact(n), all, least}
			cases[fmt.Sprint(n, " at ", limit, " in waves")] = scenario{n, limit, exact(n), wave, least}
		}
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			step, length := 20*time.Millisecond, 40*time.Second
			switch {
			case c.limit > 10:
				step, length = time.Millisecond, 6*time.Second
			case c.limit < 1:
				step, length = 200*time.Millisecond, 10*time.Minute
			}
			worst, total, rounds := 0, 0, max(5, 200/c.instances)
			for round := range rounds {
				rng := rand.New(rand.NewPCG(uint64(round), uint64(c.instances)))
				var sent []time.Time
				for i := range c.instances {
					var e Endpoint
					phase := rng.Uint64()
					for at := time.Duration(0); at < length; at += step {
						now := start.Add(at)
						if at%time.Second == 0 {
							e.RecordResponse(now, now, c.limit)
						}
						if c.demand(at) && e.Allows(now, c.size(i), phase) {
							e.RecordSend(now)
							sent = append(sent, now)
						}
					}
				}
				worst, total = max(worst, mostWithin(sent, boundPeriod)), total+len(sent)
			}
			seconds := 0.0
			for at := time.Duration(0); at < length; at += step {
				if c.demand(at) {
					seconds += step.Seconds()
				}
			}
			rate := float64(total) / float64(rounds) / seconds
			t.Logf("at most %d in %v, %d allowed; %.2f a second on average", worst, boundPeriod, allowed(c.limit), rate)
			if worst > allowed(c.limit) || rate < c.least*c.limit {
				t.Errorf("at most %d in %v, %d allowed; %.2f a second on average, limit %v", worst, boundPeriod, allowed(c.limit), rate, c.limit)
			}
		})
	}
}

// TestNewPace guards against a pace above the limit.
func TestNewPace(t *testing.T) {
	for _, limit := range []float64{0.1, 0.5, 1, 2.6, 3, 20, 150, 100_000} {
		for _, n := range []int{1, 2, 6, 9, 20, 78, 195, 770} {
			p := NewPace(n, limit)
			if rate := float64(n) / p.Interval.Seconds(); p.Interval == 0 || rate > 1.001*limit || rate < 0.3*limit || p.Window > maxWindow || 2*p.Window > p.Interval {
				t.Errorf("limit %v, %d instances: %+v, %.2f requests a second", limit, n, p, rate)
			}
		}
	}
}

// TestStatements guards against a limit that holds for longer or shorter than the endpoint says.
func TestStatements(t *testing.T) {
	const s = time.Second
	type said struct {
		at    time.Duration
		limit float64
	}
	for name, c := range map[string]struct {
		said []said
		at   time.Duration
		want float64
	}{
		"never named":                 {[]said{{0, 0}, {s, 0}}, 2 * s, 0},
		"named":                       {[]said{{0, 3}}, s, 3},
		"changed":                     {[]said{{0, 3}, {s, 2}}, s, 2},
		"over":                        {[]said{{0, 3}, {s, 0}}, s, 0},
		"named again":                 {[]said{{0, 3}, {s, 0}, {2 * s, 4}}, 2 * s, 4},
		"not confirmed":               {[]said{{0, 3}}, retention, 0},
		"confirmed":                   {[]said{{0, 3}, {20 * s, 3}}, retention, 3},
		"low, confirmed rarely":       {[]said{{0, 0.1}}, 199 * s, 0.1},
		"low, not confirmed for long": {[]said{{0, 0.1}}, 200 * s, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var e Endpoint
			for _, x := range c.said {
				e.RecordResponse(start.Add(x.at), start.Add(x.at), x.limit)
			}
			if got := e.PerSecond(start.Add(c.at)); got != c.want {
				t.Errorf("limit %v, want %v", got, c.want)
			}
		})
	}
}

// TestChangingLimit guards against more requests than the higher of two limits allows when the limit or the count of instances changes
// again and again.
func TestChangingLimit(t *testing.T) {
	const instances, low, high = 30, 2.0, 3.0
	for round := range 20 {
		rng := rand.New(rand.NewPCG(uint64(round), 9))
		var sent []time.Time
		for range instances {
			var e Endpoint
			phase := rng.Uint64()
			for at := time.Duration(0); at < 60*time.Second; at += 20 * time.Millisecond {
				now, limit, n := start.Add(at), low, instances
				if at/(3*time.Second)%2 == 0 {
					limit = high
				}
				if at/(5*time.Second)%2 == 0 {
					n++
				}
				e.RecordResponse(now, now, limit)
				if e.Allows(now, n, phase) {
					e.RecordSend(now)
					sent = append(sent, now)
				}
			}
		}
		if n := mostWithin(sent, boundPeriod); n > allowed(high) {
			t.Errorf("round %d: %d requests in %v, %d allowed", round, n, boundPeriod, allowed(high))
		}
	}
}

// TestStatementsOfOthers guards against an older statement that replaces a newer one, against a limit that never ends because instances
// tell each other of it, and against an end that other instances are not told.
func TestStatementsOfOthers(t *testing.T) {
	const s = time.Second
	own := func(at time.Duration, limit float64) func(*Endpoint) {
		return func(e *Endpoint) { e.RecordResponse(start.Add(at), start.Add(at), limit) }
	}
	reports := func(l ...time.Duration) func(*Endpoint) {
		return func(e *Endpoint) {
			for _, at := range l {
				e.RecordReports(start.Add(at))
			}
		}
	}
	var often []time.Duration // more often than a limit expires, for longer than it counts
	for at := time.Duration(0); at < 620*s; at += 20 * s {
		often = append(often, at)
	}
	slow := func(at, took time.Duration, limit float64) func(*Endpoint) {
		return func(e *Endpoint) { e.RecordResponse(start.Add(at), start.Add(at-took), limit) }
	}
	told := func(at time.Duration, limit float64, age time.Duration) func(*Endpoint) {
		return func(e *Endpoint) { e.RecordOthers(start.Add(at), Statement{limit, age}) }
	}
	for name, c := range map[string]struct {
		events []func(*Endpoint)
		at     time.Duration
		want   float64
		tells  bool // it has something to tell others
	}{
		"told":                             {[]func(*Endpoint){told(s, 3, s)}, 2 * s, 3, false},
		"told too little":                  {[]func(*Endpoint){told(s, 1e-9, s)}, 2 * s, attributes.MinRequestLimit, false},
		"told late":                        {[]func(*Endpoint){told(s, 3, retention)}, s, 0, false},
		"told again, but not confirmed":    {[]func(*Endpoint){told(s, 3, s), told(29*s, 3, 29*s)}, 30 * s, 0, false},
		"confirmed to others":              {[]func(*Endpoint){told(s, 3, s), told(29*s, 3, s)}, 30 * s, 3, false},
		"own statement is newer":           {[]func(*Endpoint){own(2*s, 2), told(3*s, 3, 2*s)}, 3 * s, 2, true},
		"own statement is older":           {[]func(*Endpoint){own(2*s, 2), told(4*s, 3, s)}, 4 * s, 3, true},
		"over by others":                   {[]func(*Endpoint){own(2*s, 2), told(4*s, 0, s)}, 4 * s, 0, true},
		"over, told of the limit":          {[]func(*Endpoint){told(s, 3, 0), own(2*s, 0), told(3*s, 3, 2*s)}, 3 * s, 0, true},
		"over long ago":                    {[]func(*Endpoint){own(0, 2), own(s, 0), own(s+endRetention, 0)}, s + endRetention, 0, false},
		"over again":                       {[]func(*Endpoint){own(0, 2), own(s, 0), told(100*s, 3, 0), own(101*s, 0)}, 102 * s, 0, true},
		"never named, others neither":      {[]func(*Endpoint){own(0, 0)}, s, 0, false},
		"others replace by an older one":   {[]func(*Endpoint){told(2*s, 0, 0), told(3*s, 3, 2*s)}, 3 * s, 0, false},
		"others replace by a newer one":    {[]func(*Endpoint){told(2*s, 2, 0), told(3*s, 3, 0)}, 3 * s, 3, false},
		"named to this instance again":     {[]func(*Endpoint){own(0, 2), own(s, 0), own(2*s, 4)}, 3 * s, 4, true},
		"not confirmed, nothing to tell":   {[]func(*Endpoint){own(0, 2)}, retention, 0, false},
		"slow response, own limit":         {[]func(*Endpoint){own(3*s, 2), slow(4*s, 2*s, 0)}, 4 * s, 2, true},
		"slow response, told of a limit":   {[]func(*Endpoint){told(3*s, 2, 0), slow(4*s, 2*s, 0)}, 4 * s, 2, false},
		"slow response before being told":  {[]func(*Endpoint){own(0, 2), own(s, 0), slow(4*s, 2*s, 0), told(4*s, 3, s)}, 4 * s, 3, true},
		"over in a slow response":          {[]func(*Endpoint){own(s, 2), slow(4*s, 2*s, 0)}, 4 * s, 0, true},
		"not confirmed, others would tell": {[]func(*Endpoint){own(0, 2), reports(25*s, 50*s)}, 79 * s, 2, true},
		"no reports for long":              {[]func(*Endpoint){own(0, 2), reports(25*s, 56*s)}, 57 * s, 0, false},
		"reports after expiry":             {[]func(*Endpoint){own(0, 2), reports(31*s, 32*s)}, 33 * s, 0, false},
		"reports for long":                 {[]func(*Endpoint){own(0, 2), reports(often...)}, 629 * s, 2, true},
		"reports for too long":             {[]func(*Endpoint){own(0, 2), reports(often...)}, 631 * s, 0, false},
		"others tell of the end":           {[]func(*Endpoint){own(0, 2), reports(25 * s), told(30*s, 0, s), reports(31 * s)}, 32 * s, 0, true},
		"told of an end, and then a limit": {[]func(*Endpoint){told(s, 0, 0), told(2*s, 3, 0)}, 3 * s, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			var e Endpoint
			for _, f := range c.events {
				f(&e)
			}
			if got := e.PerSecond(start.Add(c.at)); got != c.want {
				t.Errorf("limit %v, want %v", got, c.want)
			}
			if _, ok := e.Own(start.Add(c.at)); ok != c.tells {
				t.Errorf("tells others: %v, want %v", ok, c.tells)
			}
		})
	}
}

// TestUnsteadyLimit guards against an instance that gets a new window with each small change of a limit, as of an endpoint that computes its
// limit anew for each response.
func TestUnsteadyLimit(t *testing.T) {
	const instances = 195
	for name, limit := range map[string]func(at time.Duration, rng *rand.Rand) float64{
		"jitter":  func(_ time.Duration, rng *rand.Rand) float64 { return 2.3 + 0.3*rng.Float64() },
		"falling": func(at time.Duration, _ *rand.Rand) float64 { return 2.6 - 0.02*at.Seconds() },
		"rising":  func(at time.Duration, _ *rand.Rand) float64 { return 1.8 + 0.02*at.Seconds() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worst, total, rounds, seconds := 0, 0, 10, 40
			for round := range rounds {
				rng := rand.New(rand.NewPCG(uint64(round), 5))
				var sent []time.Time
				for range instances {
					var e Endpoint
					phase := rng.Uint64()
					for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += 50 * time.Millisecond {
						now := start.Add(at)
						if at%(200*time.Millisecond) == 0 {
							e.RecordResponse(now, now, limit(at, rng))
						}
						if e.Allows(now, instances, phase) {
							e.RecordSend(now)
							sent = append(sent, now)
						}
					}
				}
				worst, total = max(worst, mostWithin(sent, boundPeriod)), total+len(sent)
			}
			rate := float64(total) / float64(rounds*seconds)
			t.Logf("at most %d in %v; %.2f a second on average", worst, boundPeriod, rate)
			// 1.8 is the lowest limit.
			if worst > allowed(1.8) || rate < 0.5 {
				t.Errorf("at most %d in %v; %.2f a second on average", worst, boundPeriod, rate)
			}
		})
	}
}
