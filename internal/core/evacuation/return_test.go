package evacuation

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// TestMain fixes rapid's seed so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestStoreReturns guards against an evacuation that ends because the store came back from a copy without its order, one that
// outlasts the grace period, and one that begins again because the copy holds an order that had ended.
func TestStoreReturns(t *testing.T) {
	type step struct {
		at    time.Duration
		apply func(*Set, time.Time) []Transition
	}
	const second = time.Second
	change := func(at time.Duration, c routing.EvacuationChange) step {
		return step{at, func(s *Set, now time.Time) []Transition {
			if x, ok := s.Apply(now, c); ok {
				return []Transition{x}
			}
			return nil
		}}
	}
	snapshot := func(at time.Duration, l ...routing.EvacuationChange) step {
		return step{at, func(s *Set, now time.Time) []Transition { return s.ApplySnapshot(now, l) }}
	}
	storeReturn := func(at time.Duration, l ...routing.EvacuationChange) step {
		return step{at, func(s *Set, now time.Time) []Transition { return s.ApplyReturn(now, l) }}
	}
	expire := func(at time.Duration) step { return step{at, (*Set).Expire} }
	for name, c := range map[string]struct {
		steps       []step
		zones       []string
		transitions int
	}{
		"not in the copy": {[]step{change(0, order("a")), storeReturn(9 * second)}, []string{"a"}, 1},
		"not in the copy, until the end of the grace":  {[]step{change(0, order("a")), storeReturn(9 * second), expire(11*second - 1)}, []string{"a"}, 1},
		"not in the copy, after the grace":             {[]step{change(0, order("a")), storeReturn(9 * second), expire(11 * second)}, nil, 2},
		"in the copy":                                  {[]step{change(0, order("a")), storeReturn(9*second, order("a")), expire(20 * second)}, []string{"a"}, 1},
		"only in the copy":                             {[]step{storeReturn(0, order("a")), expire(9 * second)}, []string{"a"}, 1},
		"one of two in the copy":                       {[]step{change(0, order("a")), change(0, order("b")), storeReturn(second, order("b")), expire(3 * second)}, []string{"b"}, 3},
		"written again within the grace":               {[]step{change(0, order("a")), storeReturn(second), change(2*second, order("a")), expire(9 * second)}, []string{"a"}, 1},
		"written again after the grace":                {[]step{change(0, order("a")), storeReturn(second), expire(3 * second), change(4*second, order("a"))}, []string{"a"}, 3},
		"in a later snapshot within the grace":         {[]step{change(0, order("a")), storeReturn(second), snapshot(2*second, order("a")), expire(9 * second)}, []string{"a"}, 1},
		"not in a later snapshot within the grace":     {[]step{change(0, order("a")), storeReturn(second), snapshot(2 * second)}, []string{"a"}, 1},
		"not in a later snapshot, after the grace":     {[]step{change(0, order("a")), storeReturn(second), snapshot(2 * second), expire(3 * second)}, nil, 2},
		"not in a snapshot after the grace":            {[]step{change(0, order("a")), storeReturn(second, order("a")), snapshot(3 * second)}, nil, 2},
		"not in a snapshot within the grace, not lost": {[]step{change(0, order("a")), storeReturn(second, order("a")), snapshot(2 * second)}, nil, 2},
		"ended within the grace":                       {[]step{change(0, order("a")), storeReturn(second), change(2*second, end("a"))}, nil, 2},
		"ended within the grace, in the next copy":     {[]step{change(0, order("a")), storeReturn(second), change(2*second, end("a")), storeReturn(3*second, order("a"))}, nil, 2},
		"second return within the grace":               {[]step{change(0, order("a")), storeReturn(second), storeReturn(2 * second), expire(4*second - 1)}, []string{"a"}, 1},
		"second return within the grace, after it":     {[]step{change(0, order("a")), storeReturn(second), storeReturn(2 * second), expire(4 * second)}, nil, 2},
		"second return with the order":                 {[]step{change(0, order("a")), storeReturn(second), storeReturn(2*second, order("a")), expire(9 * second)}, []string{"a"}, 1},
		"lost, in the next copy":                       {[]step{change(0, order("a")), storeReturn(second), expire(3 * second), storeReturn(4*second, order("a"))}, []string{"a"}, 3},
		"lost and ended, in the next copy":             {[]step{change(0, order("a")), storeReturn(second), expire(3 * second), change(4*second, end("a")), storeReturn(5*second, order("a"))}, nil, 2},
		"ended, in the copy":                           {[]step{change(0, order("a")), change(second, end("a")), storeReturn(2*second, order("a")), expire(9 * second)}, nil, 2},
		"ended by a snapshot, in the copy":             {[]step{change(0, order("a")), snapshot(second), storeReturn(2*second, order("a"))}, nil, 2},
		"ended, in two copies":                         {[]step{change(0, order("a")), change(second, end("a")), storeReturn(2*second, order("a")), storeReturn(3*second, order("a"))}, nil, 2},
		"end of an unknown order, in the copy":         {[]step{change(0, end("a")), storeReturn(second, order("a"))}, nil, 0},
		"ended, in the copy and ordered again":         {[]step{change(0, order("a")), change(second, end("a")), storeReturn(2*second, order("a")), change(3*second, order("a"))}, []string{"a"}, 3},
		"ended and ordered again, not in the copy":     {[]step{change(0, order("a")), change(second, end("a")), change(2*second, order("a")), storeReturn(3 * second)}, []string{"a"}, 3},
		"ended long ago, in the copy":                  {[]step{change(0, order("a")), change(second, end("a")), storeReturn(second+restoredRetention, order("a"))}, []string{"a"}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			s, transitions := NewSet(), 0
			for _, p := range c.steps {
				transitions += len(p.apply(s, start.Add(p.at)))
			}
			if z := s.Zones(); !slices.Equal(z, c.zones) {
				t.Errorf("zones %v, want %v", z, c.zones)
			}
			if transitions != c.transitions {
				t.Errorf("%d transitions, want %d", transitions, c.transitions)
			}
		})
	}
}

// TestLostEvacuationIsRestored guards against endpoints that count as warm after an evacuation that ended with the grace period.
func TestLostEvacuationIsRestored(t *testing.T) {
	s := NewSet()
	s.Apply(start, order("a"))
	s.ApplyReturn(start.Add(time.Second), nil)
	now := start.Add(time.Second + ReturnGracePeriod)
	if l := s.Expire(now); len(l) != 1 || l[0] != (Transition{AvailabilityZone: "a", Duration: time.Second + ReturnGracePeriod}) {
		t.Errorf("transitions %v", l)
	}
	if !s.RestoredAt("a").Equal(now) {
		t.Errorf("restored at %v", s.RestoredAt("a"))
	}
	if l := s.Expire(now.Add(time.Hour)); len(l) != 0 {
		t.Errorf("ended again: %v", l)
	}
}

// TestEndsAreForgotten guards against a set that grows with each zone whose evacuation ever ended.
func TestEndsAreForgotten(t *testing.T) {
	s := NewSet()
	s.Apply(start, end("a"))
	s.Apply(start.Add(restoredRetention), end("b"))
	if len(s.ended) != 1 {
		t.Errorf("remembers %v", s.ended)
	}
}

// TestEvacuationsNeverGoBack guards against orders of changes, returns and records written again in which a known end is undone
// by a copy, or a known order is dropped within the grace period.
func TestEvacuationsNeverGoBack(t *testing.T) {
	zones := []string{"a", "b"}
	rapid.Check(t, func(t *rapid.T) {
		s, now, graceEnd := NewSet(), start, time.Time{}
		told := map[string]routing.EvacuationChange{} // last change that the set was told, by zone
		inCopy := map[string]bool{}                   // zones that a copy held, of which nothing was told
		check := func(t *rapid.T, step string) {
			for _, z := range zones {
				c, ok := told[z]
				switch {
				case !ok && s.Contains(z) && !inCopy[z]:
					t.Fatalf("%s: zone %s is evacuated without an order", step, z)
				case ok && !c.Active && s.Contains(z):
					t.Fatalf("%s: zone %s is evacuated after the end", step, z)
				case ok && c.Active && !s.Contains(z) && now.Before(graceEnd):
					t.Fatalf("%s: the evacuation of zone %s ended within the grace period", step, z)
				}
			}
		}
		change := func(c routing.EvacuationChange) {
			told[c.AvailabilityZone] = c
			s.Apply(now, c)
			if s.Contains(c.AvailabilityZone) != c.Active {
				t.Fatalf("the change %v had no effect", c)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				now = now.Add(300 * time.Millisecond)
				check(t, "wait")
			},
			"order": func(t *rapid.T) { change(order(rapid.SampledFrom(zones).Draw(t, "zone"))) },
			"end":   func(t *rapid.T) { change(end(rapid.SampledFrom(zones).Draw(t, "zone"))) },
			"return": func(t *rapid.T) {
				var l []routing.EvacuationChange
				for _, z := range zones {
					if rapid.Bool().Draw(t, z) {
						l = append(l, order(z))
						inCopy[z] = true
					}
				}
				// An order that was lost, and is known to the set no more, counts again if a copy holds it.
				for _, z := range zones {
					if c, ok := told[z]; ok && c.Active && !s.Contains(z) {
						delete(told, z)
					}
				}
				graceEnd = now.Add(ReturnGracePeriod)
				s.ApplyReturn(now, l)
				check(t, "return")
			},
			"expire": func(t *rapid.T) {
				now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Second, ReturnGracePeriod}).Draw(t, "wait"))
				s.Expire(now)
				check(t, "expire")
				if !now.Before(graceEnd) && len(s.lost) > 0 {
					t.Fatalf("zones %v outlast the grace period", s.lost)
				}
			},
		})
	})
}
