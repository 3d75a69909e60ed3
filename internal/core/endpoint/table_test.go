package endpoint

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// TestMain fixes the seed of rapid, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// machine drives a table with random events and keeps a plain model of what each event must mean.
type machine struct {
	tab  *Table
	list []platform.Instance
	now  time.Time
	old  []*View

	listLeaving map[string]bool
	ownLeaving  map[string]bool
	dead        map[string]bool // failed in a way that keeps it out until a probe succeeds
	probes      map[Handle]bool // asked for and not answered
}

func newMachine() *machine {
	m := &machine{
		list: fleetOf(12, 1), now: epoch, listLeaving: map[string]bool{}, ownLeaving: map[string]bool{},
		dead: map[string]bool{}, probes: map[Handle]bool{},
	}
	m.tab = NewTable(DefaultSettings(1))
	m.step(Listed{m.list})
	return m
}

func (m *machine) step(ev Event) {
	m.now = m.now.Add(time.Millisecond)
	for _, a := range m.tab.Step(m.now, ev) {
		m.probes[a.Endpoint] = true
	}
	m.old = append(m.old, m.tab.View())
	m.old = m.old[max(0, len(m.old)-4):]
}

func (m *machine) pick(t *rapid.T) *platform.Instance {
	return &m.list[rapid.IntRange(0, len(m.list)-1).Draw(t, "endpoint")]
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"list": func(t *rapid.T) {
			i := m.pick(t)
			i.Leaving = rapid.Bool().Draw(t, "leaving")
			m.listLeaving[i.ID] = i.Leaving
			m.step(Listed{m.list})
		},
		"answer": func(t *rapid.T) {
			i, leaving := m.pick(t), rapid.IntRange(0, 3).Draw(t, "leaving") == 0
			m.ownLeaving[i.ID] = leaving
			m.step(Answered{Endpoint: m.tab.Handle(i.ID), Started: m.now, Report: Report{Time: m.now, Leaving: leaving}})
		},
		"late answer": func(t *rapid.T) {
			m.step(Answered{Endpoint: m.tab.Handle(m.pick(t).ID), Started: epoch, Report: Report{Time: epoch, Leaving: false}})
		},
		"failure": func(t *rapid.T) {
			i := m.pick(t)
			k := rapid.SampledFrom([]FailKind{FailDied, FailRefused, FailSilent}).Draw(t, "kind")
			m.dead[i.ID] = true
			m.step(Failed{Endpoint: m.tab.Handle(i.ID), Started: m.now, Kind: k})
		},
		"error status": func(t *rapid.T) {
			h := m.tab.Handle(m.pick(t).ID)
			for range m.tab.settings.ErrorStatuses {
				m.step(Failed{Endpoint: h, Started: m.now, Kind: FailStatus})
			}
		},
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			m.step(Tick{})
		},
		"probe": func(t *rapid.T) {
			i := m.pick(t)
			h := m.tab.Handle(i.ID)
			if !m.probes[h] {
				return
			}
			delete(m.probes, h)
			ok := rapid.Bool().Draw(t, "ok")
			if ok {
				m.dead[i.ID] = false
			}
			m.step(Probed{Endpoint: h, OK: ok})
		},
		"": m.check,
	}
}

// check holds for the current view and for views that a traffic goroutine still has from before the last events.
func (m *machine) check(t *rapid.T) {
	for n, v := range m.old {
		q := Query{Version: "m@0", Zone: "zone-1", Prefix: uint64(n + 1), Now: m.now}
		if n%2 == 0 {
			q.Prefix, q.Draws = 0, [2]float64{0.4, 0.9}
		}
		c, ok := v.Choose(q)
		if !ok {
			continue
		}
		if m.listLeaving[c.ID] || m.ownLeaving[c.ID] {
			t.Fatalf("view %d chose %s, which is leaving", n, c.ID)
		}
		if m.dead[c.ID] {
			t.Fatalf("view %d chose %s, which failed and was not probed", n, c.ID)
		}
	}
	out := 0
	for _, e := range m.tab.order {
		if e.state == stateOut && e.byError {
			out++
		}
	}
	if float64(out) > m.tab.settings.ErrorShare*float64(len(m.tab.order)) {
		t.Fatalf("error statuses ejected %d of %d", out, len(m.tab.order))
	}
}

// TestTableMachine guards three rules under any order of events: a leaving endpoint gets no new work from any view,
// a dead or silent one gets none before a probe succeeds, and error statuses eject a bounded share.
func TestTableMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newMachine().actions()) })
}

// TestReturnIsATrickle guards against a burst on an endpoint that just came back and against oscillation: after
// each further failure the ejection is longer, and traffic before full return is one request per gap.
func TestReturnIsATrickle(t *testing.T) {
	tab := NewTable(DefaultSettings(9))
	tab.Step(epoch, Listed{fleetOf(1, 1)})
	h, now := tab.Handle("engine-0000"), epoch
	var last time.Duration
	for round := range 4 {
		tab.Step(now, Failed{Endpoint: h, Started: now, Kind: FailDied})
		var out time.Duration
		for len(tab.Step(now.Add(out), Tick{})) == 0 {
			out += 10 * time.Millisecond
		}
		if out <= last {
			t.Fatalf("ejection %d lasts %v, the one before %v", round, out, last)
		}
		last, now = out, now.Add(out)
		tab.Step(now, Probed{Endpoint: h, OK: true})
		sent := 0
		for range 80 { // 80 ms are less than the gap of 9 instances
			if c, ok := tab.View().Choose(Query{Version: "m@0", Now: now}); ok {
				c.Begin(now)
				c.End()
				sent++
			}
			now = now.Add(time.Millisecond)
		}
		if sent != 1 {
			t.Fatalf("%d requests within one gap, want 1", sent)
		}
	}
	for range tab.settings.ReturnAnswers {
		tab.Step(now, Answered{Endpoint: h, Started: now})
	}
	if e := tab.handles[h]; e.state != stateLive || e.count.gate.Load() != gateOpen {
		t.Fatal("the endpoint is not live after enough answers")
	}
}

// TestGone guards the list's limits: an endpoint off the list is kept while it answers and dropped when it does not.
func TestGone(t *testing.T) {
	for name, answers := range map[string]bool{"answers": true, "silent": false} {
		t.Run(name, func(t *testing.T) {
			l := fleetOf(2, 1)
			tab := tableOf(l)
			tab.Step(epoch, Listed{l[:1]})
			for now := epoch; now.Before(epoch.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
				for _, a := range slices.Clone(tab.Step(now, Tick{})) {
					tab.Step(now, Probed{Endpoint: a.Endpoint, OK: answers})
				}
			}
			if kept := tab.Handle(l[1].ID) != 0; kept != answers {
				t.Errorf("kept is %v, want %v", kept, answers)
			}
		})
	}
}

// TestReplacement guards against judging a new process at the same identifier by what the old one did.
func TestReplacement(t *testing.T) {
	l := fleetOf(1, 1)
	tab := tableOf(l)
	old := tab.Handle(l[0].ID)
	tab.Step(epoch, Answered{Endpoint: old, Report: Report{Time: epoch, Leaving: true}})
	l[0].Address = fleetOf(2, 1)[1].Address
	tab.Step(epoch, Listed{l})
	c, ok := tab.View().Choose(Query{Version: "m@0", Now: epoch})
	if !ok || c.Endpoint == old {
		t.Fatalf("chose %d, %v; the old handle is %d", c.Endpoint, ok, old)
	}
}
