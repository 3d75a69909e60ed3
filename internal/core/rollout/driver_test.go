package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const canary, current = "m@2", "m@1"

// configStream is the config stream with the catalog after each record.
type configStream struct {
	snapshots []*config.Catalog
	accepted  []record.Kind // kinds of the accepted changes
}

func newConfigStream() *configStream {
	s := &configStream{snapshots: []*config.Catalog{config.NewCatalog()}}
	for _, n := range []string{current, canary} {
		s.appendAsOperator(record.Change{Kind: record.VersionAdd, Name: n, Version: &record.Version{Name: n}})
	}
	s.appendAsOperator(record.Change{Kind: record.VersionRollOut, Name: current, RollOut: &record.RollOut{}})
	s.appendAsOperator(record.Change{Kind: record.VersionRollOut, Name: canary, RollOut: &record.RollOut{
		Stages: []record.Stage{{Share: 0.05, MinSamples: 20}, {Share: 0.5, MinSamples: 20}},
	}})
	return s
}

// latest returns the catalog after the last record.
func (s *configStream) latest() *config.Catalog { return s.snapshots[len(s.snapshots)-1] }

// appendAsOperator appends a change that is based on the current revision.
func (s *configStream) appendAsOperator(ch record.Change) {
	ch.Base = s.latest().Versions[ch.Name].Revision
	s.append(ch)
}

// append appends a change, which the catalog may refuse.
func (s *configStream) append(ch record.Change) {
	c, err := s.latest().Apply(s.latest().Next, epoch, ch)
	s.snapshots = append(s.snapshots, c)
	if err == nil {
		s.accepted = append(s.accepted, ch.Kind)
	}
}

// feedDriver gives the driver n rated samples of each version; short lets the new version's answers score too low.
func feedDriver(d *Driver, now time.Time, n int, short bool) []Action {
	var l []Action
	for range n {
		for _, v := range []string{current, canary} {
			o := Sample{Class: "c", Completed: true, Rated: true, BelowMinScore: short && v == canary}
			l = append(l, d.Step(now, SampleObserved{v, o})...)
		}
	}
	return l
}

// Guards against a wrong action for a state of the catalog and a verdict, and against one that is not repeated.
func TestDriver(t *testing.T) {
	for name, c := range map[string]struct {
		held, short bool
		n           int         // samples of each version
		kind        record.Kind // change by an operator before the samples
		lagging     bool        // the driver does not see the operator's change
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
		s := newConfigStream()
		d := NewDriver(Settings{})
		d.Step(epoch, CatalogChanged{s.latest()})
		d.Step(epoch, LeaseChanged{c.held})
		if c.kind != "" {
			s.appendAsOperator(record.Change{Kind: c.kind, Name: canary})
		}
		if !c.lagging {
			d.Step(epoch, CatalogChanged{s.latest()})
		}
		l := feedDriver(d, epoch, c.n, c.short)
		var got record.Kind
		if len(l) > 0 {
			got = l[0].Change.Kind
		}
		if got != c.want || len(l) > 1 {
			t.Errorf("%s: got %v, want one %q", name, l, c.want)
		}
		if d.Stopped(canary) != (c.want == record.VersionHalt) || d.AcceptsNewWork(canary) == d.Stopped(canary) {
			t.Errorf("%s: stopped %v, open %v", name, d.Stopped(canary), d.AcceptsNewWork(canary))
		}
		if again := d.Step(epoch.Add(Defaults().RepeatAfter), Tick{}); (len(again) == 1) != (c.want != "") {
			t.Errorf("%s: repeated %v", name, again)
		}
	}
}

// Guards against a stop that outlives an operator's resume, which starts a new trial.
func TestDriverResume(t *testing.T) {
	s, d := newConfigStream(), NewDriver(Settings{})
	d.Step(epoch, CatalogChanged{s.latest()})
	s.append(feedDriver(d, epoch, 60, true)[0].Change)
	before := d.Reports()
	d.Step(epoch, CatalogChanged{s.snapshots[0]})
	if !d.Stopped(canary) {
		t.Error("an older catalog ended the stop")
	}
	s.appendAsOperator(record.Change{Kind: record.VersionResume, Name: canary})
	d.Step(epoch, CatalogChanged{s.latest()})     // this catalog includes the halt, which the driver did not see separately
	d.Step(epoch, PeerReported{"peer/1", before}) // samples from before the resume
	if d.Stopped(canary) || len(feedDriver(d, epoch, 5, true)) > 0 {
		t.Error("still stopped after an operator resumed the version")
	}
	if l := feedDriver(d, epoch, 60, true); len(l) != 1 {
		t.Errorf("not stopped again: %v", l)
	}
}

// Guards against a stage that passes on the samples of an earlier stage.
func TestDriverStages(t *testing.T) {
	s, d := newConfigStream(), NewDriver(Settings{})
	d.Step(epoch, LeaseChanged{true})
	for stage := range 2 {
		if l := d.Step(epoch, CatalogChanged{s.latest()}); len(l) > 0 {
			t.Fatalf("stage %d: %v before the first sample of the stage", stage, l)
		}
		l := feedDriver(d, epoch, 25, false)
		if len(l) != 1 || l[0].Change.Stage != stage+1 {
			t.Fatalf("stage %d: got %v", stage, l)
		}
		s.append(l[0].Change)
	}
	if got := s.latest().Versions[canary].State; got != config.StateActive {
		t.Errorf("version is %s after its last stage", got)
	}
}

// Guards against stages that are entered twice, halted versions that advance and halts that never reach the log when
// two instances act at once, take over from each other, lag behind the log and lose appends.
func TestDriversRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := newConfigStream(), epoch
		drivers := []*Driver{NewDriver(Settings{}), NewDriver(Settings{})}
		position := []int{0, 0} // of each instance in s.snapshots
		stopped := false
		// send appends each change or loses it.
		send := func(actions []Action) {
			for _, a := range actions {
				if !rapid.Bool().Draw(t, "append lost") {
					s.append(a.Change)
				}
			}
		}
		pick := func() int { return rapid.IntRange(0, 1).Draw(t, "instance") }
		t.Repeat(map[string]func(*rapid.T){
			"read": func(*rapid.T) {
				i := pick()
				position[i] = rapid.IntRange(position[i], len(s.snapshots)-1).Draw(t, "to")
				send(drivers[i].Step(now, CatalogChanged{s.snapshots[position[i]]}))
			},
			"lease":   func(*rapid.T) { send(drivers[pick()].Step(now, LeaseChanged{rapid.Bool().Draw(t, "held")})) },
			"samples": func(*rapid.T) { send(feedDriver(drivers[pick()], now, 30, rapid.Bool().Draw(t, "short"))) },
			"gossip": func(*rapid.T) {
				i := pick()
				send(drivers[i].Step(now, PeerReported{"peer/1", drivers[1-i].Reports()}))
			},
			"replace": func(*rapid.T) {
				i := pick()
				drivers[i], position[i] = NewDriver(Settings{}), 0
			},
			"other change": func(*rapid.T) {
				n := fmt.Sprintf("other@%d", len(s.snapshots))
				s.appendAsOperator(record.Change{Kind: record.VersionAdd, Name: n, Version: &record.Version{Name: n}})
			},
			"tick": func(*rapid.T) {
				now = now.Add(10 * time.Second)
				send(drivers[pick()].Step(now, Tick{}))
			},
			"": func(t *rapid.T) {
				advances := 0
				for i, k := range s.accepted {
					if k == record.VersionAdvance {
						advances++
					}
					if k == record.VersionAdvance && slices.Contains(s.accepted[:i], record.VersionHalt) {
						t.Fatalf("advance after the halt: %v", s.accepted)
					}
				}
				if advances > 2 {
					t.Fatalf("%d advances for 2 stages", advances)
				}
			},
		})
		for i, d := range drivers {
			d.Step(now, CatalogChanged{s.latest()})
			stopped = stopped || d.Stopped(canary)
			now = now.Add(time.Minute)
			for _, a := range drivers[i].Step(now, Tick{}) {
				s.append(a.Change)
			}
		}
		if state := s.latest().Versions[canary].State; stopped && state != config.StateHalted {
			t.Fatalf("stopped version is %s", state)
		}
	})
}
