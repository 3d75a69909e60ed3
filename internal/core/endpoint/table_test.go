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

// tableModel applies random events to a table and keeps a simple model of their expected effect.
type tableModel struct {
	table *Table
	list  []platform.Instance
	now   time.Time
	views []*View

	leavingByList   map[string]bool
	leavingByReport map[string]bool
	failed          map[string]bool // failed and not yet probed successfully
	pendingProbes   map[Handle]bool // requested and not yet answered
}

func newTableModel() *tableModel {
	m := &tableModel{
		list: engineInstances(12, 1), now: epoch, leavingByList: map[string]bool{}, leavingByReport: map[string]bool{},
		failed: map[string]bool{}, pendingProbes: map[Handle]bool{},
	}
	m.table = NewTable(DefaultSettings(1))
	m.apply(InstancesListed{m.list})
	return m
}

func (m *tableModel) apply(ev Event) {
	m.now = m.now.Add(time.Millisecond)
	for _, a := range m.table.Apply(m.now, ev) {
		m.pendingProbes[a.Endpoint] = true
	}
	m.views = append(m.views, m.table.View())
	m.views = m.views[max(0, len(m.views)-4):]
}

func (m *tableModel) drawInstance(t *rapid.T) *platform.Instance {
	return &m.list[rapid.IntRange(0, len(m.list)-1).Draw(t, "endpoint")]
}

func (m *tableModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"list": func(t *rapid.T) {
			i := m.drawInstance(t)
			i.Leaving = rapid.Bool().Draw(t, "leaving")
			m.leavingByList[i.ID] = i.Leaving
			m.apply(InstancesListed{m.list})
		},
		"answer": func(t *rapid.T) {
			i, leaving := m.drawInstance(t), rapid.IntRange(0, 3).Draw(t, "leaving") == 0
			m.leavingByReport[i.ID] = leaving
			m.apply(RequestAnswered{Endpoint: m.table.Handle(i.ID), Started: m.now, Report: Report{Time: m.now, Leaving: leaving}})
		},
		"late answer": func(t *rapid.T) {
			m.apply(RequestAnswered{Endpoint: m.table.Handle(m.drawInstance(t).ID), Started: epoch, Report: Report{Time: epoch, Leaving: false}})
		},
		"failure": func(t *rapid.T) {
			i := m.drawInstance(t)
			k := rapid.SampledFrom([]FailKind{FailConnectionLost, FailRefused, FailStalled}).Draw(t, "kind")
			m.failed[i.ID] = true
			m.apply(RequestFailed{Endpoint: m.table.Handle(i.ID), Started: m.now, Kind: k})
		},
		"error status": func(t *rapid.T) {
			h := m.table.Handle(m.drawInstance(t).ID)
			for range m.table.settings.ConsecutiveErrorStatuses {
				m.apply(RequestFailed{Endpoint: h, Started: m.now, Kind: FailErrorStatus})
			}
		},
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			m.apply(Tick{})
		},
		"probe": func(t *rapid.T) {
			i := m.drawInstance(t)
			h := m.table.Handle(i.ID)
			if !m.pendingProbes[h] {
				return
			}
			delete(m.pendingProbes, h)
			ok := rapid.Bool().Draw(t, "ok")
			if ok {
				m.failed[i.ID] = false
			}
			m.apply(ProbeFinished{Endpoint: h, OK: ok})
		},
		"": m.checkChoices,
	}
}

// checkChoices checks the current view and older views that a request goroutine may still use.
func (m *tableModel) checkChoices(t *rapid.T) {
	for n, v := range m.views {
		q := Query{Version: "m@0", Zone: "zone-1", Prefix: uint64(n + 1), Now: m.now}
		if n%2 == 0 {
			q.Prefix, q.RandomDraws = 0, [2]float64{0.4, 0.9}
		}
		c, ok := v.Choose(q)
		if !ok {
			continue
		}
		if m.leavingByList[c.ID] || m.leavingByReport[c.ID] {
			t.Fatalf("view %d chose %s, which is leaving", n, c.ID)
		}
		if m.failed[c.ID] {
			t.Fatalf("view %d chose %s, which failed and was not probed", n, c.ID)
		}
	}
	ejected := 0
	for _, e := range m.table.entries {
		if e.state == healthEjected && e.ejectedForErrors {
			ejected++
		}
	}
	if float64(ejected) > m.table.settings.MaxErrorEjectedShare*float64(len(m.table.entries)) {
		t.Fatalf("error statuses ejected %d of %d endpoints", ejected, len(m.table.entries))
	}
}

// TestTableMachine guards three rules under any order of events: a leaving endpoint gets no new requests from any view,
// a failed one gets none before a probe succeeds, and error statuses eject a limited share of the endpoints.
func TestTableMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newTableModel().actions()) })
}

// TestRecoveryIsGradual guards against a burst of requests to an endpoint that has just returned, and against
// oscillation. Each further failure must lengthen the ejection, and a returning endpoint gets one request per gap.
func TestRecoveryIsGradual(t *testing.T) {
	table := NewTable(DefaultSettings(9))
	table.Apply(epoch, InstancesListed{engineInstances(1, 1)})
	handle, now := table.Handle("engine-0000"), epoch
	var lastEjection time.Duration
	for round := range 4 {
		table.Apply(now, RequestFailed{Endpoint: handle, Started: now, Kind: FailConnectionLost})
		var ejection time.Duration
		for len(table.Apply(now.Add(ejection), Tick{})) == 0 {
			ejection += 10 * time.Millisecond
		}
		if ejection <= lastEjection {
			t.Fatalf("ejection %d lasts %v, the previous one %v", round, ejection, lastEjection)
		}
		lastEjection, now = ejection, now.Add(ejection)
		table.Apply(now, ProbeFinished{Endpoint: handle, OK: true})
		sent := 0
		for range 80 { // 80 ms is shorter than the gap for 9 instances
			if c, ok := table.View().Choose(Query{Version: "m@0", Now: now}); ok {
				c.BeginRequest(now)
				c.EndRequest()
				sent++
			}
			now = now.Add(time.Millisecond)
		}
		if sent != 1 {
			t.Fatalf("%d requests sent within one gap, want 1", sent)
		}
	}
	for range table.settings.RecoveryAnswers {
		table.Apply(now, RequestAnswered{Endpoint: handle, Started: now})
	}
	if e := table.byHandle[handle]; e.state != healthLive || e.counters.gate.Load() != gateOpen {
		t.Fatal("the endpoint is not live after enough answers")
	}
}

// TestRemovesUnlistedSilentEndpoint guards the rule that an unlisted endpoint is kept while it answers and removed when
// it does not.
func TestRemovesUnlistedSilentEndpoint(t *testing.T) {
	for name, answers := range map[string]bool{"answers": true, "silent": false} {
		t.Run(name, func(t *testing.T) {
			instances := engineInstances(2, 1)
			table := newTestTable(instances)
			table.Apply(epoch, InstancesListed{instances[:1]})
			for now := epoch; now.Before(epoch.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
				for _, a := range slices.Clone(table.Apply(now, Tick{})) {
					table.Apply(now, ProbeFinished{Endpoint: a.Endpoint, OK: answers})
				}
			}
			if kept := table.Handle(instances[1].ID) != 0; kept != answers {
				t.Errorf("endpoint kept: %v, want %v", kept, answers)
			}
		})
	}
}

// TestReplacementGetsNewHandle guards against applying an old process's state to a new one with the same identifier.
func TestReplacementGetsNewHandle(t *testing.T) {
	instances := engineInstances(1, 1)
	table := newTestTable(instances)
	old := table.Handle(instances[0].ID)
	table.Apply(epoch, RequestAnswered{Endpoint: old, Report: Report{Time: epoch, Leaving: true}})
	instances[0].Address = engineInstances(2, 1)[1].Address
	table.Apply(epoch, InstancesListed{instances})
	c, ok := table.View().Choose(Query{Version: "m@0", Now: epoch})
	if !ok || c.Endpoint == old {
		t.Fatalf("chose handle %d, found %v; the old handle is %d", c.Endpoint, ok, old)
	}
}
