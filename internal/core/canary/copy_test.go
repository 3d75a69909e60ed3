package canary

import (
	"flag"
	"maps"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// TestMain fixes rapid's seed so that every run gives the same result, unless the command line has another one.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// orderTo returns an order to a version.
func orderTo(target string, d time.Duration) routing.RolloutOrder {
	return routing.RolloutOrder{Service: "s", Target: target, Duration: d}
}

// statusOf returns a published state of a version.
func statusOf(target string, s routing.RolloutState) routing.RolloutStatus {
	return routing.RolloutStatus{Service: "s", Target: target, State: s}
}

// TestCopiedOrders guards against a roll-out that is replaced by an earlier one because the store came back from a copy that holds
// the earlier order, and against an order that is ignored because it equals an earlier one.
func TestCopiedOrders(t *testing.T) {
	type step struct {
		at     time.Duration
		copied bool
		order  routing.RolloutOrder
	}
	v2, v2Slow, v3, v4 := orderTo("v2", duration), orderTo("v2", 2*duration), orderTo("v3", duration), orderTo("v4", duration)
	given := func(at time.Duration, o routing.RolloutOrder) step { return step{at, false, o} }
	copied := func(at time.Duration, o routing.RolloutOrder) step { return step{at, true, o} }
	const second = time.Second
	for name, c := range map[string]struct {
		steps    []step
		want     routing.RolloutOrder
		from     time.Duration // start of the roll-out in force, without orderDelay
		observed bool
	}{
		"the first one":                              {[]step{copied(second, v2)}, v2, second, false},
		"the one in force":                           {[]step{given(0, v2), copied(second, v2)}, v2, 0, true},
		"earlier one":                                {[]step{given(0, v2), given(second, v3), copied(2*second, v2)}, v3, second, true},
		"earlier one, then again":                    {[]step{given(0, v2), given(second, v3), copied(2*second, v2), given(3*second, v3)}, v3, second, true},
		"earlier one in two copies":                  {[]step{given(0, v2), given(second, v3), copied(2*second, v2), copied(3*second, v2)}, v3, second, true},
		"one before the earlier one":                 {[]step{given(0, v2), given(second, v3), given(2*second, v4), copied(3*second, v2)}, v4, 2 * second, true},
		"earlier one to the same version":            {[]step{given(0, v2), given(second, v2Slow), copied(2*second, v2)}, v2Slow, second, true},
		"earlier one given again":                    {[]step{given(0, v2), given(second, v3), copied(2*second, v2), given(3*second, v2)}, v2, 3 * second, true},
		"earlier one given again before":             {[]step{given(0, v2), given(second, v3), given(2*second, v2), copied(3*second, v3)}, v2, 2 * second, true},
		"earlier one given again, in the copy":       {[]step{given(0, v2), given(second, v3), given(2*second, v2), copied(3*second, v2)}, v2, 2 * second, true},
		"unknown one":                                {[]step{given(0, v2), copied(second, v3)}, v3, second, false},
		"unknown one, then the one before again":     {[]step{given(0, v3), copied(second, v2), given(2*second, v3)}, v3, 2 * second, true},
		"unknown one, next copy with the one before": {[]step{given(0, v3), copied(second, v2), copied(2*second, v3)}, v3, 2 * second, false},
		"earlier one, long ago":                      {[]step{given(0, v2), given(second, v3), copied(second+supersededRetention, v2)}, v2, second + supersededRetention, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(DefaultSettings(exposure, slack))
			r.UpdateVersions(counts(map[string]int{"v1": 3}))
			for _, s := range c.steps {
				if s.copied {
					r.ApplyCopiedOrder(start.Add(s.at), s.order)
				} else {
					r.ApplyOrder(start.Add(s.at), s.order, true)
				}
			}
			want := start.Add(c.from)
			if c.observed {
				want = want.Add(-orderDelay)
			}
			if got := r.order.key(); got != keyOf(c.want) || !r.StartTime().Equal(want) {
				t.Errorf("order %v from %v, want %v from %v", got, r.StartTime(), c.want, want)
			}
		})
	}
}

// TestRolloutAtReturn guards against a roll-out that loses its start, state or answer counts when the store comes back from a copy.
func TestRolloutAtReturn(t *testing.T) {
	for name, copied := range map[string]routing.RolloutOrder{"earlier order": orderTo("v2", duration), "same order": orderTo("v3", duration)} {
		t.Run(name, func(t *testing.T) {
			r := newOrderedRollout()
			r.UpdateVersions(counts(map[string]int{"v1": 3, "v3": 3}))
			r.ApplyOrder(start, orderTo("v3", duration), true)
			r.SetStateRead()
			now := start
			for ; now.Before(start.Add(20 * time.Second)); now = now.Add(20 * time.Millisecond) {
				r.RecordOutcome(now, r.PickVersion(now, 0), "a", false)
			}
			counts, from, share := r.LocalCounts(now, "s"), r.StartTime(), r.TargetShare(now)
			if r.ApplyCopiedOrder(now, copied) || r.ApplyCopiedState(statusOf("v2", routing.RolloutCompleted)) || r.ApplyCopiedState(statusOf("v3", routing.RolloutRunning)) {
				t.Error("changed")
			}
			if got := r.LocalCounts(now, "s"); len(got) == 0 || !maps.Equal(got, counts) {
				t.Errorf("counts %v, want %v", got, counts)
			}
			target, state, _ := r.Status()
			if target != "v3" || state != routing.RolloutRunning || !r.StartTime().Equal(from) || r.TargetShare(now) != share || share == 0 {
				t.Errorf("%s %s from %v, share %v; share %v before", target, state, r.StartTime(), r.TargetShare(now), share)
			}
		})
	}
}

// TestCopiedStates guards against a final state that is undone by a copy of the store, or not published again, and against a share
// that goes back up after a roll-back.
func TestCopiedStates(t *testing.T) {
	const running, completed, rolledBack = routing.RolloutRunning, routing.RolloutCompleted, routing.RolloutRolledBack
	type step func(*Rollout)
	published := func(s routing.RolloutState) step { return func(r *Rollout) { r.ApplyPublished(statusOf("v2", s)) } }
	copied := func(s routing.RolloutState) step { return func(r *Rollout) { r.ApplyCopiedState(statusOf("v2", s)) } }
	decide := func(r *Rollout) { r.rollBack("failures") }
	for name, c := range map[string]struct {
		steps     []step
		want      routing.RolloutState
		overrules routing.RolloutState // published state that the instance's own replaces, or ""
	}{
		"running, copy running":                             {[]step{copied(running)}, running, ""},
		"running, copy completed":                           {[]step{copied(completed)}, completed, rolledBack},
		"running, copy rolled back":                         {[]step{copied(rolledBack)}, rolledBack, completed},
		"completed, copy running":                           {[]step{published(completed), copied(running)}, completed, rolledBack},
		"completed, copy rolled back":                       {[]step{published(completed), copied(rolledBack)}, completed, rolledBack},
		"completed, copy rolled back is read twice":         {[]step{published(completed), copied(rolledBack), published(rolledBack)}, completed, rolledBack},
		"completed, published again, rolled back":           {[]step{published(completed), copied(rolledBack), published(completed), published(rolledBack)}, rolledBack, completed},
		"completed, two copies, rolled back":                {[]step{published(completed), copied(rolledBack), copied(running), published(rolledBack)}, rolledBack, completed},
		"completed, rolled back elsewhere":                  {[]step{published(completed), published(rolledBack)}, rolledBack, completed},
		"rolled back, copy running":                         {[]step{published(rolledBack), copied(running)}, rolledBack, completed},
		"rolled back, copy completed":                       {[]step{published(rolledBack), copied(completed)}, rolledBack, completed},
		"rolled back, completed elsewhere":                  {[]step{published(rolledBack), copied(running), published(completed)}, rolledBack, completed},
		"rolled back here and published, copy completed":    {[]step{decide, published(rolledBack), copied(completed)}, rolledBack, completed},
		"rolled back here, not published, completed before": {[]step{decide, published(completed)}, completed, rolledBack},
		"rolled back here, not published, copy running":     {[]step{decide, copied(running)}, rolledBack, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := newOrderedRollout()
			for _, s := range c.steps {
				s(r)
			}
			now := start.Add(duration / 2)
			if s, ok := r.StateToPublish(now); s != c.want || !ok {
				t.Errorf("publishes %s (%v), want %s", s, ok, c.want)
			}
			if share := r.TargetShare(now); c.want == rolledBack && share != 0 {
				t.Errorf("share %v", share)
			}
			for _, s := range []routing.RolloutState{running, completed, rolledBack} {
				if got := r.Overrules(statusOf("v2", s)); got != (s == c.overrules) {
					t.Errorf("overrules %s: %v", s, got)
				}
			}
			if r.Overrules(statusOf("v1", rolledBack)) {
				t.Error("overrules the state of another version")
			}
		})
	}
}

// TestStateOfNextOrder guards against a roll-out that takes over the final state of the one before.
func TestStateOfNextOrder(t *testing.T) {
	r := newOrderedRollout()
	r.ApplyPublished(statusOf("v2", routing.RolloutCompleted))
	r.ApplyCopiedState(statusOf("v2", routing.RolloutRolledBack))
	r.ApplyOrder(start, orderTo("v3", duration), true)
	if r.Overrules(statusOf("v3", routing.RolloutRolledBack)) || !r.ApplyPublished(statusOf("v3", routing.RolloutRolledBack)) {
		t.Error("the state of the earlier order counts")
	}
}

// TestRolloutsNeverGoBack guards against orders of returns, copies and late records in which a superseded order comes back, or a
// final state that the store held changes.
func TestRolloutsNeverGoBack(t *testing.T) {
	states := []routing.RolloutState{routing.RolloutRunning, routing.RolloutCompleted, routing.RolloutRolledBack}
	orders := []routing.RolloutOrder{orderTo("v2", duration), orderTo("v2", 2*duration), orderTo("v3", duration), orderTo("v4", duration)}
	rapid.Check(t, func(t *rapid.T) {
		r, now := newOrderedRollout(), start
		given, held := []routing.RolloutOrder{orders[0]}, false // held: the store held the final state
		// check applies a step that may change the state only as allowed says.
		check := func(t *rapid.T, apply func(), allowed func(from, to routing.RolloutState) bool) {
			key, from, before := r.order.key(), r.StartTime(), r.state
			apply()
			if r.order.key() != key || !r.StartTime().Equal(from) {
				t.Fatalf("the order changed from %v to %v", key, r.order.key())
			}
			if r.state != before && !allowed(before, r.state) {
				t.Fatalf("the state changed from %s to %s", before, r.state)
			}
			if s, ok := r.StateToPublish(now); !ok || r.state != routing.RolloutRunning && s != r.state {
				t.Fatalf("publishes %s, not %s", s, r.state)
			}
			if r.state == routing.RolloutRolledBack && r.TargetShare(now) != 0 {
				t.Fatalf("share %v after a roll-back", r.TargetShare(now))
			}
		}
		target := func() string { return r.order.target }
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { now = now.Add(time.Second) },
			"order": func(t *rapid.T) {
				o := rapid.SampledFrom(orders).Draw(t, "order")
				if r.ApplyOrder(now, o, true) != (given[len(given)-1] != o) {
					t.Fatalf("the order %v doesn't count", o)
				}
				if given[len(given)-1] != o {
					given, held = append(given, o), false
					r.SetStateRead()
				}
			},
			"copied order": func(t *rapid.T) {
				o := rapid.SampledFrom(given).Draw(t, "order")
				check(t, func() { r.ApplyCopiedOrder(now, o) }, func(_, _ routing.RolloutState) bool { return false })
			},
			"copied state": func(t *rapid.T) {
				s := statusOf(rapid.SampledFrom([]string{target(), "v2", "v3"}).Draw(t, "target"), rapid.SampledFrom(states).Draw(t, "state"))
				check(t, func() { r.ApplyCopiedState(s) }, func(_, _ routing.RolloutState) bool { return !held })
				held = held || s.Target == target() && s.State == r.state && s.State != routing.RolloutRunning
				if !held || s.Target != target() {
					return
				}
				check(t, func() { r.ApplyPublished(s) }, func(_, _ routing.RolloutState) bool { return false })
			},
			"published state": func(t *rapid.T) {
				s := statusOf(target(), rapid.SampledFrom(states).Draw(t, "state"))
				check(t, func() { r.ApplyPublished(s) }, func(from, _ routing.RolloutState) bool { return !held || from != routing.RolloutRolledBack })
				held = held || s.State == r.state && s.State != routing.RolloutRunning
			},
			"roll back": func(*rapid.T) {
				if r.Running() {
					r.rollBack("failures")
				}
			},
		})
	})
}

// stateStore is the store's record of a roll-out's state, which can return from an older copy.
type stateStore struct {
	era int
	log []routing.RolloutState
}

// stateInstance is an instance that reads and publishes the state of a roll-out.
type stateInstance struct {
	rollout   *Rollout
	era, next int
	published routing.RolloutStatus
}

// read applies what the store has that the instance hasn't read.
func (i *stateInstance) read(s *stateStore) {
	if i.era != s.era {
		i.era, i.next, i.published = s.era, len(s.log), routing.RolloutStatus{}
		if len(s.log) > 0 {
			i.published = statusOf("v2", s.log[len(s.log)-1])
			i.rollout.ApplyCopiedState(i.published)
		}
	}
	for ; i.next < len(s.log); i.next++ {
		i.published = statusOf("v2", s.log[i.next])
		i.rollout.ApplyPublished(i.published)
	}
	i.rollout.ApplyPublished(i.published)
}

// publish appends a state if the instance has read the whole log, and reports whether it did.
func (i *stateInstance) publish(s *stateStore, state routing.RolloutState) bool {
	if i.era != s.era || i.next != len(s.log) || i.published.State == state {
		return false
	}
	if final := i.published.State == routing.RolloutCompleted || i.published.State == routing.RolloutRolledBack; final && !i.rollout.Overrules(i.published) {
		return false
	}
	s.log = append(s.log, state)
	return true
}

// TestInstancesAgreeAfterReturns guards against instances that differ for good in the state of a roll-out, or write it for ever,
// after the store has lost records of them.
func TestInstancesAgreeAfterReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, l := &stateStore{}, []*stateInstance{}
		for range rapid.IntRange(3, 9).Draw(t, "instances") {
			l = append(l, &stateInstance{rollout: newOrderedRollout()})
		}
		draw := func(t *rapid.T) *stateInstance { return l[rapid.IntRange(0, len(l)-1).Draw(t, "instance")] }
		step := func(t *rapid.T, i *stateInstance, apply func()) {
			rolledBack := i.rollout.statePublished && i.rollout.state == routing.RolloutRolledBack
			apply()
			if rolledBack && i.rollout.state != routing.RolloutRolledBack {
				t.Fatalf("%s after a published roll-back", i.rollout.state)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				i := draw(t)
				step(t, i, func() { i.read(s) })
			},
			"read at all instances": func(t *rapid.T) {
				for _, i := range l {
					step(t, i, func() { i.read(s) })
				}
			},
			"publish": func(t *rapid.T) {
				i := draw(t)
				i.publish(s, i.rollout.state)
			},
			"read and publish": func(t *rapid.T) {
				i := draw(t)
				step(t, i, func() { i.read(s) })
				i.publish(s, i.rollout.state)
			},
			"complete": func(t *rapid.T) {
				i := draw(t)
				step(t, i, func() { i.read(s) })
				if i.rollout.Running() {
					i.publish(s, routing.RolloutCompleted)
				}
			},
			"roll back": func(t *rapid.T) {
				if i := draw(t); i.rollout.Running() {
					i.rollout.rollBack("failures")
				}
			},
			"return": func(t *rapid.T) {
				s.era, s.log = s.era+1, s.log[:rapid.IntRange(max(0, len(s.log)-2), len(s.log)).Draw(t, "kept")]
			},
		})
		for writes, round := true, 0; writes; round++ {
			if round == 10 {
				t.Fatalf("still writes: %v", s.log)
			}
			writes = false
			for _, i := range l {
				step(t, i, func() { i.read(s) })
				if i.publish(s, i.rollout.state) {
					writes = true
				}
			}
		}
		for n, i := range l {
			if len(s.log) == 0 || i.rollout.state != s.log[len(s.log)-1] {
				t.Fatalf("instance %d has %s, the store %v", n, i.rollout.state, s.log)
			}
		}
	})
}
