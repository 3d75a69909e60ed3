package loading

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// TestMain fixes the seed so that runs are repeatable; the flag -rapid.seed sets another one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	epoch  = time.Unix(1_800_000_000, 0)
	limits = Limits{ConcurrentLoads: 2, ResendAfter: 20 * time.Second}
	pool   = Pool{Name: "p", Models: []string{"m"}, Role: "decode", SlotsPerEngine: 3, OldVersionEngines: 1}
)

// fakePool is a set of engines that execute commands; some of them reject old tokens.
type fakePool struct {
	engines      []Engine
	checksTokens map[string]bool   // by engine
	latestToken  map[string]uint64 // highest token seen, by engine
	slots        int
}

func newFakePool(t *rapid.T, slots int, versions []string) *fakePool {
	f := &fakePool{checksTokens: map[string]bool{}, latestToken: map[string]uint64{}, slots: slots}
	for i := range rapid.IntRange(1, 8).Draw(t, "engines") {
		e := Engine{ID: fmt.Sprintf("e%d", i)}
		for _, v := range versions {
			if len(e.ReadyVersions) < f.slots && rapid.Bool().Draw(t, "holds") {
				e.ReadyVersions = append(e.ReadyVersions, v)
			}
		}
		f.engines = append(f.engines, e)
		f.checksTokens[e.ID] = rapid.Bool().Draw(t, "honours tokens")
	}
	return f
}

// execute applies a command to its engine, unless the engine rejects its token.
func (f *fakePool) execute(c Command) {
	for i := range f.engines {
		e := &f.engines[i]
		if e.ID != c.Engine || (f.checksTokens[e.ID] && c.Token < f.latestToken[e.ID]) {
			continue
		}
		f.latestToken[e.ID] = max(f.latestToken[e.ID], c.Token)
		switch c.Kind {
		case SetRole:
			e.Role = c.Role
		case Unload:
			e.ReadyVersions = slices.DeleteFunc(slices.Clone(e.ReadyVersions), func(v string) bool { return v == c.Version })
		case Load:
			if !slices.Contains(e.ReadyVersions, c.Version) && !slices.Contains(e.Loading, c.Version) && len(e.ReadyVersions)+len(e.Loading) < f.slots {
				e.Loading = append(slices.Clone(e.Loading), c.Version)
			}
		}
	}
}

// finishLoads makes all versions that are being loaded ready.
func (f *fakePool) finishLoads() {
	for i := range f.engines {
		e := &f.engines[i]
		e.ReadyVersions, e.Loading = append(slices.Clone(e.ReadyVersions), e.Loading...), nil
	}
}

// readyEngines returns the number of engines that have a version ready.
func (f *fakePool) readyEngines(version string) int {
	n := 0
	for _, e := range f.engines {
		if slices.Contains(e.ReadyVersions, version) {
			n++
		}
	}
	return n
}

// loadingEngines returns the number of engines that are loading, which Limits.ConcurrentLoads bounds.
func (f *fakePool) loadingEngines() int {
	n := 0
	for _, e := range f.engines {
		n += min(1, len(e.Loading))
	}
	return n
}

// Guards against a plan that does not reach the wanted versions after an interruption, that loads on too many engines
// at once or that unloads a wanted version from the last engine that has it ready. In one round, an earlier holder of
// the lease also sends its commands late, under an old token.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := pool
		pool.SlotsPerEngine = rapid.IntRange(1, 3).Draw(t, "slots")
		f := newFakePool(t, pool.SlotsPerEngine, []string{"m@1", "m@2", "m@3", "other@1"})
		n := len(f.engines)
		allFit := n*pool.SlotsPerEngine >= 3
		old := []DesiredVersion{{"m@1", n}, {"m@2", 1}}
		desired := []DesiredVersion{{"m@2", n}, {"m@3", max(1, n/4)}, {"m@1", 1}}
		now, p := epoch, NewPlanner(limits)
		interruptedRound := rapid.IntRange(0, 30).Draw(t, "interruption")
		lateRound := rapid.IntRange(0, 30).Draw(t, "old holder acts")
		lateCommands := NewPlanner(limits).Plan(now, old, pool, f.engines, 1)
		for round := range 60 {
			now = now.Add(limits.ResendAfter / 4)
			if round == interruptedRound {
				p = NewPlanner(limits) // the next holder starts without memory
			}
			if round == lateRound {
				for _, c := range lateCommands {
					f.execute(c)
				}
			}
			runRound(t, f, p, now, desired, pool, allFit && round != lateRound)
		}
		for i, w := range desired {
			want := w.Engines
			if pool.SlotsPerEngine < 3 { // the slots do not suffice for all: one engine each, in the order of the desired versions
				want = min(1, max(0, n*pool.SlotsPerEngine-i))
			}
			if got := f.readyEngines(w.Version); got < want {
				t.Fatalf("%s is ready on %d engines, want %d: %+v", w.Version, got, want, f.engines)
			}
		}
		if f.readyEngines("other@1") > 0 {
			t.Fatalf("a version that is not wanted is still loaded: %+v", f.engines)
		}
		if l := NewPlanner(limits).Plan(now, desired, pool, f.engines, 2); len(l) != 0 {
			t.Fatalf("commands although all versions are in place: %+v", l)
		}
	})
}

// runRound executes a plan and checks its effect. The caller sets checked to false in the round in which an old holder
// interferes, and in all rounds if the slots do not suffice for all versions.
func runRound(t *rapid.T, f *fakePool, p *Planner, now time.Time, desired []DesiredVersion, pool Pool, checked bool) {
	loadingBefore := f.loadingEngines()
	readyBefore := map[string]int{}
	for _, w := range desired {
		readyBefore[w.Version] = f.readyEngines(w.Version)
	}
	for _, c := range p.Plan(now, desired, pool, f.engines, 2) {
		p.MarkSent(now, c)
		f.execute(c)
	}
	if n := f.loadingEngines(); checked && n > max(loadingBefore, limits.ConcurrentLoads) {
		t.Fatalf("%d engines load at once", n)
	}
	for v, n := range readyBefore {
		if checked && n > 0 && f.readyEngines(v) == 0 {
			t.Fatalf("%s was unloaded from its last ready engine", v)
		}
	}
	if rapid.Bool().Draw(t, "loads finish") {
		f.finishLoads()
	}
}

// Guards against desired versions that lack a runnable version or contain a withdrawn one.
func TestDesire(t *testing.T) {
	c := config.NewCatalog()
	next := uint64(0)
	apply := func(k record.Kind, name string, r *record.RollOut) {
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
		apply(record.VersionAdd, v, nil)
	}
	for _, v := range []string{"m@1", "m@2", "m@4", "x@1"} {
		apply(record.VersionRollOut, v, &record.RollOut{})
	}
	apply(record.VersionRollOut, "m@3", &record.RollOut{Stages: []record.Stage{{Share: 0.25, MinSamples: 1}}})
	apply(record.VersionWithdraw, "m@4", nil)
	want := []DesiredVersion{{"m@2", 10}, {"m@3", 3}, {"m@1", 1}}
	if got := DesiredVersions(c, pool, 10); !slices.Equal(got, want) {
		t.Errorf("desired %v, want %v", got, want)
	}
}

// Guards against the unloading of a version that was added and is about to be rolled out: until the engines have loaded it again,
// its roll-out sends requests to engines without it. An engine may drop it only for a version that it lacks a slot for.
func TestAddedVersionStaysLoaded(t *testing.T) {
	c := config.NewCatalog()
	for next, ch := range []record.Change{
		{Kind: record.VersionAdd, Name: "m@1", Version: &record.Version{Name: "m@1"}},
		{Kind: record.VersionRollOut, Name: "m@1", RollOut: &record.RollOut{}},
		{Kind: record.VersionAdd, Name: "m@2", Version: &record.Version{Name: "m@2"}},
	} {
		ch.Base = c.Versions[ch.Name].Revision
		var err error
		if c, err = c.Apply(uint64(next), epoch, ch); err != nil {
			t.Fatal(err)
		}
	}
	for name, tc := range map[string]struct {
		slots int
		ready []string
		want  []Command
	}{
		"beside the active version":   {slots: 2, ready: []string{"m@1", "m@2"}},
		"with a slot to spare":        {slots: 2, ready: []string{"m@2"}, want: []Command{{Kind: Load, Engine: "e", Version: "m@1"}}},
		"in the active version's way": {slots: 1, ready: []string{"m@2"}, want: []Command{{Kind: Unload, Engine: "e", Version: "m@2"}}},
		"not loaded":                  {slots: 2, ready: []string{"m@1"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := Pool{Name: "p", Models: []string{"m"}, SlotsPerEngine: tc.slots}
			engines := []Engine{{ID: "e", ReadyVersions: tc.ready}}
			if got := NewPlanner(limits).Plan(epoch, DesiredVersions(c, p, 1), p, engines, 0); !slices.Equal(got, tc.want) {
				t.Errorf("commands %+v, want %+v", got, tc.want)
			}
		})
	}
}
