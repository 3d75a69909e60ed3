package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const canary, current = "m@2", "m@1"

// stream is the config stream with the catalog after each record.
type stream struct {
	states []*profile.Catalog
	kinds  []record.Kind // accepted changes
}

func newStream() *stream {
	s := &stream{states: []*profile.Catalog{profile.New()}}
	for _, n := range []string{current, canary} {
		s.operate(record.Change{Kind: record.VersionAdd, Name: n, Version: &record.Version{Name: n}})
	}
	s.operate(record.Change{Kind: record.VersionRollOut, Name: current, RollOut: &record.RollOut{}})
	s.operate(record.Change{Kind: record.VersionRollOut, Name: canary, RollOut: &record.RollOut{
		Stages: []record.Stage{{Share: 0.05, MinSamples: 20}, {Share: 0.5, MinSamples: 20}},
	}})
	return s
}

func (s *stream) last() *profile.Catalog { return s.states[len(s.states)-1] }

// operate appends a change with the current base, as an operator does.
func (s *stream) operate(ch record.Change) {
	ch.Base = s.last().Versions[ch.Name].Revision
	s.append(ch)
}

func (s *stream) append(ch record.Change) {
	c, err := s.last().Apply(s.last().Next, epoch, ch)
	s.states = append(s.states, c)
	if err == nil {
		s.kinds = append(s.kinds, ch.Kind)
	}
}

func sample(d *Driver, now time.Time, n int, short bool) []Action {
	var l []Action
	for range n {
		for _, v := range []string{current, canary} {
			o := Sample{Class: "c", Done: true, Rated: true, Short: short && v == canary}
			l = append(l, d.Step(now, SampleSeen{v, o})...)
		}
	}
	return l
}

// Guards the mapping from catalog and verdict to actions, and that it is derived anew from any state.
func TestDriver(t *testing.T) {
	for name, c := range map[string]struct {
		held, short bool
		n           int
		kind        record.Kind // operator's change before the samples
		lost        bool        // the catalog after the rest is not seen
		want        record.Kind
	}{
		"passes under the lease":   {true, false, 30, "", false, record.VersionAdvance},
		"passes without the lease": {false, false, 30, "", false, ""},
		"bad, without the lease":   {false, true, 60, "", false, record.VersionHalt},
		"paused does not advance":  {true, false, 30, record.VersionPause, false, ""},
		"paused and bad is halted": {true, true, 60, record.VersionPause, false, record.VersionHalt},
		"withdrawn needs nothing":  {true, true, 60, record.VersionWithdraw, false, ""},
		"withdrawn, not yet seen":  {true, true, 60, record.VersionWithdraw, true, record.VersionHalt},
		"too few samples":          {true, false, 10, "", false, ""},
		"all bad is halted soon":   {true, true, 25, "", false, record.VersionHalt},
	} {
		s := newStream()
		d := NewDriver(Settings{})
		d.Step(epoch, CatalogChanged{s.last()})
		d.Step(epoch, LeaseChanged{c.held})
		if c.kind != "" {
			s.operate(record.Change{Kind: c.kind, Name: canary})
		}
		if !c.lost {
			d.Step(epoch, CatalogChanged{s.last()})
		}
		l := sample(d, epoch, c.n, c.short)
		var got record.Kind
		if len(l) > 0 {
			got = l[0].Change.Kind
		}
		if got != c.want || len(l) > 1 {
			t.Errorf("%s: got %v, want one %q", name, l, c.want)
		}
		if d.Stopped(canary) != (c.want == record.VersionHalt) || d.Open(canary) == d.Stopped(canary) {
			t.Errorf("%s: stopped %v, open %v", name, d.Stopped(canary), d.Open(canary))
		}
		if again := d.Step(epoch.Add(Defaults().Repeat), Tick{}); (len(again) == 1) != (c.want != "") {
			t.Errorf("%s: asked again for %v", name, again)
		}
	}
}

// Guards a stop against an operator's resume: the operator's word counts, and the trial starts anew.
func TestDriverResume(t *testing.T) {
	s, d := newStream(), NewDriver(Settings{})
	d.Step(epoch, CatalogChanged{s.last()})
	s.append(sample(d, epoch, 60, true)[0].Change)
	before := d.Reports()
	d.Step(epoch, CatalogChanged{s.states[0]})
	if !d.Stopped(canary) {
		t.Error("an older state of the catalog ends the stop")
	}
	s.operate(record.Change{Kind: record.VersionResume, Name: canary})
	d.Step(epoch, CatalogChanged{s.last()})   // the halt was folded in between and is not seen by itself
	d.Step(epoch, PeerSeen{"peer/1", before}) // samples from before the resume
	if d.Stopped(canary) || len(sample(d, epoch, 5, true)) > 0 {
		t.Error("still stopped after an operator resumed the version")
	}
	if l := sample(d, epoch, 60, true); len(l) != 1 {
		t.Errorf("not stopped again: %v", l)
	}
}

// Guards against a stage that passes on the samples of the stage before.
func TestDriverStages(t *testing.T) {
	s, d := newStream(), NewDriver(Settings{})
	d.Step(epoch, LeaseChanged{true})
	for stage := range 2 {
		if l := d.Step(epoch, CatalogChanged{s.last()}); len(l) > 0 {
			t.Fatalf("stage %d: %v without samples of its own", stage, l)
		}
		l := sample(d, epoch, 25, false)
		if len(l) != 1 || l[0].Change.Stage != stage+1 {
			t.Fatalf("stage %d: got %v", stage, l)
		}
		s.append(l[0].Change)
	}
	if got := s.last().Versions[canary].State; got != profile.StateActive {
		t.Errorf("version is %s after its last stage", got)
	}
}

// Guards two instances that act at once, take over from each other, lag behind the log and lose appends:
// each stage is entered once, a stopped version does not advance, and the halt reaches the log.
func TestDriversRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := newStream(), epoch
		drivers := []*Driver{NewDriver(Settings{}), NewDriver(Settings{})}
		seen := []int{0, 0}
		stopped := false
		run := func(l []Action) {
			for _, a := range l {
				if !rapid.Bool().Draw(t, "append lost") {
					s.append(a.Change)
				}
			}
		}
		pick := func() int { return rapid.IntRange(0, 1).Draw(t, "instance") }
		t.Repeat(map[string]func(*rapid.T){
			"read": func(*rapid.T) {
				i := pick()
				seen[i] = rapid.IntRange(seen[i], len(s.states)-1).Draw(t, "to")
				run(drivers[i].Step(now, CatalogChanged{s.states[seen[i]]}))
			},
			"lease":   func(*rapid.T) { run(drivers[pick()].Step(now, LeaseChanged{rapid.Bool().Draw(t, "held")})) },
			"samples": func(*rapid.T) { run(sample(drivers[pick()], now, 30, rapid.Bool().Draw(t, "short"))) },
			"gossip": func(*rapid.T) {
				i := pick()
				run(drivers[i].Step(now, PeerSeen{"peer/1", drivers[1-i].Reports()}))
			},
			"replace": func(*rapid.T) {
				i := pick()
				drivers[i], seen[i] = NewDriver(Settings{}), 0
			},
			"other change": func(*rapid.T) {
				n := fmt.Sprintf("other@%d", len(s.states))
				s.operate(record.Change{Kind: record.VersionAdd, Name: n, Version: &record.Version{Name: n}})
			},
			"tick": func(*rapid.T) {
				now = now.Add(10 * time.Second)
				run(drivers[pick()].Step(now, Tick{}))
			},
			"": func(t *rapid.T) {
				advances := 0
				for i, k := range s.kinds {
					if k == record.VersionAdvance {
						advances++
					}
					if k == record.VersionAdvance && slices.Contains(s.kinds[:i], record.VersionHalt) {
						t.Fatalf("advances after the halt: %v", s.kinds)
					}
				}
				if advances > 2 {
					t.Fatalf("%d advances for 2 stages", advances)
				}
			},
		})
		for i, d := range drivers {
			d.Step(now, CatalogChanged{s.last()})
			stopped = stopped || d.Stopped(canary)
			now = now.Add(time.Minute)
			for _, a := range drivers[i].Step(now, Tick{}) {
				s.append(a.Change)
			}
		}
		if state := s.last().Versions[canary].State; stopped && state != profile.StateHalted {
			t.Fatalf("stopped version is %s", state)
		}
	})
}
