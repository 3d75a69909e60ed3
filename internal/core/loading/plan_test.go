package loading

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// TestMain fixes the seed, so that a run is repeated by running it again; -rapid.seed tries others.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	epoch  = time.Unix(1_800_000_000, 0)
	limits = Limits{Loads: 2, Repeat: 20 * time.Second}
	pool   = Pool{Name: "p", Models: []string{"m"}, Role: "decode", Slots: 3, Spare: 1}
)

// farm is a set of engines that carry out commands; some reject an old token.
type farm struct {
	engines []Engine
	honours map[string]bool
	seen    map[string]uint64 // highest token by engine
	slots   int
}

func newFarm(t *rapid.T, slots int, versions []string) *farm {
	f := &farm{honours: map[string]bool{}, seen: map[string]uint64{}, slots: slots}
	for i := range rapid.IntRange(1, 8).Draw(t, "engines") {
		e := Engine{ID: fmt.Sprintf("e%d", i)}
		for _, v := range versions {
			if len(e.Versions) < f.slots && rapid.Bool().Draw(t, "holds") {
				e.Versions = append(e.Versions, v)
			}
		}
		f.engines = append(f.engines, e)
		f.honours[e.ID] = rapid.Bool().Draw(t, "honours tokens")
	}
	return f
}

func (f *farm) carryOut(c Command) {
	for i := range f.engines {
		e := &f.engines[i]
		if e.ID != c.Engine || (f.honours[e.ID] && c.Token < f.seen[e.ID]) {
			continue
		}
		f.seen[e.ID] = max(f.seen[e.ID], c.Token)
		switch c.Kind {
		case SetRole:
			e.Role = c.Role
		case Unload:
			e.Versions = slices.DeleteFunc(slices.Clone(e.Versions), func(v string) bool { return v == c.Version })
		case Load:
			if !slices.Contains(e.Versions, c.Version) && !slices.Contains(e.Loading, c.Version) && len(e.Versions)+len(e.Loading) < f.slots {
				e.Loading = append(slices.Clone(e.Loading), c.Version)
			}
		}
	}
}

func (f *farm) finishLoads() {
	for i := range f.engines {
		e := &f.engines[i]
		e.Versions, e.Loading = append(slices.Clone(e.Versions), e.Loading...), nil
	}
}

func (f *farm) ready(version string) int {
	n := 0
	for _, e := range f.engines {
		if slices.Contains(e.Versions, version) {
			n++
		}
	}
	return n
}

// loading returns the number of engines that load, which is what Limits.Loads bounds.
func (f *farm) loading() int {
	n := 0
	for _, e := range f.engines {
		n += min(1, len(e.Loading))
	}
	return n
}

// Guards against a roll-out that stays half done after an interruption, that loads on too many engines at once, that
// takes the last ready engine of a wanted version away, and against a holder that acts late under an old token.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := pool
		pool.Slots = rapid.IntRange(1, 3).Draw(t, "slots")
		f := newFarm(t, pool.Slots, []string{"m@1", "m@2", "m@3", "other@1"})
		n := len(f.engines)
		fits := n*pool.Slots >= 3
		old := []Want{{"m@1", n}, {"m@2", 1}}
		wants := []Want{{"m@2", n}, {"m@3", max(1, n/4)}, {"m@1", 1}}
		now, p := epoch, NewPlanner(limits)
		stop := rapid.IntRange(0, 30).Draw(t, "interruption")
		late := rapid.IntRange(0, 30).Draw(t, "old holder acts")
		forgotten := NewPlanner(limits).Plan(now, old, pool, f.engines, 1)
		for round := range 60 {
			now = now.Add(limits.Repeat / 4)
			if round == stop {
				p = NewPlanner(limits) // the next holder remembers nothing
			}
			if round == late {
				for _, c := range forgotten {
					f.carryOut(c)
				}
			}
			step(t, f, p, now, wants, pool, fits && round != late)
		}
		for i, w := range wants {
			want := w.Engines
			if pool.Slots < 3 { // not all fit: each has one, and the current one at least
				want = min(1, max(0, n*pool.Slots-i))
			}
			if got := f.ready(w.Version); got < want {
				t.Fatalf("%s is ready on %d engines, want %d: %+v", w.Version, got, want, f.engines)
			}
		}
		if f.ready("other@1") > 0 {
			t.Fatalf("a version that nobody wants is still loaded: %+v", f.engines)
		}
		if l := NewPlanner(limits).Plan(now, wants, pool, f.engines, 2); len(l) != 0 {
			t.Fatalf("commands in the wanted state: %+v", l)
		}
	})
}

// step plans and carries out; checked is false in the round in which an old holder interferes.
func step(t *rapid.T, f *farm, p *Planner, now time.Time, wants []Want, pool Pool, checked bool) {
	before := f.loading()
	had := map[string]int{}
	for _, w := range wants {
		had[w.Version] = f.ready(w.Version)
	}
	for _, c := range p.Plan(now, wants, pool, f.engines, 2) {
		p.Sent(now, c)
		f.carryOut(c)
	}
	if n := f.loading(); checked && n > max(before, limits.Loads) {
		t.Fatalf("%d engines load at once", n)
	}
	for v, n := range had {
		if checked && n > 0 && f.ready(v) == 0 {
			t.Fatalf("the last ready engine of %s was taken away", v)
		}
	}
	if rapid.Bool().Draw(t, "loads finish") {
		f.finishLoads()
	}
}

// Guards against wants that miss a version that may run, or that keep a withdrawn one.
func TestDesire(t *testing.T) {
	c := profile.New()
	next := uint64(0)
	do := func(k record.Kind, name string, r *record.RollOut) {
		ch := record.Change{Kind: k, Name: name, Base: c.Versions[name].Revision, RollOut: r}
		if k == record.VersionAdd {
			ch.Version = &record.Version{Name: name}
		}
		var err error
		if c, err = c.Apply(next, epoch, ch); err != nil {
			t.Fatal(err)
		}
		next++
	}
	for _, v := range []string{"m@1", "m@2", "m@3", "m@4", "x@1"} {
		do(record.VersionAdd, v, nil)
	}
	for _, v := range []string{"m@1", "m@2", "m@4", "x@1"} {
		do(record.VersionRollOut, v, &record.RollOut{})
	}
	do(record.VersionRollOut, "m@3", &record.RollOut{Stages: []record.Stage{{Share: 0.25, MinSamples: 1}}})
	do(record.VersionWithdraw, "m@4", nil)
	want := []Want{{"m@2", 10}, {"m@3", 3}, {"m@1", 1}}
	if got := Desire(c, pool, 10); !slices.Equal(got, want) {
		t.Errorf("wants %v, want %v", got, want)
	}
}
