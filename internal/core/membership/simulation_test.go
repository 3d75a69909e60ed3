package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Unix(1_800_000_000, 0)

const (
	stepInterval = 250 * time.Millisecond // of virtual time
	probeTimeout = time.Second            // of a direct probe and its retry together
)

// fleet runs the tables of several instances over a simulated network, log and list, in one goroutine.
type fleet struct {
	now        time.Time
	instances  map[string]*instance
	ids        []string
	lostLinks  map[[2]string]bool // {from, to}: messages in this direction are lost
	scheduled  []scheduledCall
	configNext uint64   // end of the config stream
	listed     []Member // the platform's list
	tickDraws  uint64
	steps      int
}

// instance is a simulated instance and the faults that affect it.
type instance struct {
	Member
	table     *Table
	logDown   bool
	silent    bool // the host answers no packet
	refuses   bool // the host refuses connections because the process is down
	changes   []StateChanged
	appliedAt []time.Time // when each offset was applied
}

type scheduledCall struct {
	at   time.Time
	call func()
}

func newFleet(n int) *fleet {
	f := &fleet{now: startTime, instances: map[string]*instance{}, lostLinks: map[[2]string]bool{}}
	for range n {
		f.addInstance()
	}
	f.refreshList()
	return f
}

func (f *fleet) addInstance() *instance {
	i := len(f.ids)
	m := Member{
		ID: fmt.Sprintf("i%d", i), Zone: fmt.Sprintf("z%d", i%3),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
	}
	inst := &instance{Member: m, table: NewTable(f.now, DefaultSettings(m, uint64(f.now.Unix())))}
	f.instances[m.ID] = inst
	f.ids = append(f.ids, m.ID)
	return inst
}

// refreshList makes the platform's list match the running instances.
func (f *fleet) refreshList() {
	f.listed = nil
	for _, id := range f.ids {
		if inst := f.instances[id]; inst.running() {
			f.listed = append(f.listed, inst.Member)
		}
	}
}

func (inst *instance) running() bool { return !inst.silent && !inst.refuses }

// delivers reports whether a message from one instance reaches another.
func (f *fleet) delivers(from, to string) bool {
	return f.instances[from].running() && f.instances[to].running() && !f.lostLinks[[2]string{from, to}]
}

// exchanges reports whether a request and its answer both arrive.
func (f *fleet) exchanges(from, to string) bool { return f.delivers(from, to) && f.delivers(to, from) }

// appendChange appends a change through an instance, which reads the change back as the operators' API does.
func (f *fleet) appendChange(id string) {
	if inst := f.instances[id]; inst.running() && !inst.logDown {
		f.configNext++
		f.readLog(inst)
	}
}

func (f *fleet) readLog(inst *instance) {
	inst.table.Step(f.now, ConfigLogRead{Sent: f.now, ConfigNext: f.configNext})
	inst.table.Step(f.now, ConfigApplied{ConfigNext: f.configNext})
	for uint64(len(inst.appliedAt)) < f.configNext {
		inst.appliedAt = append(inst.appliedAt, f.now)
	}
}

// advance runs the fleet for a time. Each instance reads the log and the list and probes peers once in a period; check runs
// after every step.
func (f *fleet) advance(d time.Duration, check func()) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(stepInterval)
		f.steps++
		f.runScheduled()
		for i, id := range f.ids {
			inst := f.instances[id]
			if !inst.running() || (f.steps+i)%4 != 0 {
				continue
			}
			if !inst.logDown {
				f.readLog(inst)
			}
			inst.table.Step(f.now, InstancesListed{f.listed})
			f.tickDraws++
			f.performActions(inst, inst.table.Step(f.now, Tick{f.tickDraws * 0x9e3779b97f4a7c15}))
		}
		if check != nil {
			check()
		}
	}
}

func (f *fleet) runScheduled() {
	slices.SortStableFunc(f.scheduled, func(a, b scheduledCall) int { return a.at.Compare(b.at) })
	for len(f.scheduled) > 0 && !f.scheduled[0].at.After(f.now) {
		d := f.scheduled[0]
		f.scheduled = f.scheduled[1:]
		d.call()
	}
}

func (f *fleet) schedule(d time.Duration, g func()) {
	f.scheduled = append(f.scheduled, scheduledCall{f.now.Add(d), g})
}

func (f *fleet) performActions(inst *instance, l []Action) {
	for _, a := range l {
		switch a := a.(type) {
		case Probe:
			f.probe(inst, a.Peer)
		case ProbeIndirectly:
			f.probeIndirectly(inst, a)
		case StateChanged:
			inst.changes = append(inst.changes, a)
		}
	}
}

func (f *fleet) probe(inst *instance, to Member) {
	sent := f.now
	target := f.instances[to.ID]
	req := inst.table.Message(f.now, to.ID)
	switch {
	case f.exchanges(inst.ID, to.ID):
		f.performActions(target, target.table.Step(f.now, ProbeReceived{req}))
		f.performActions(inst, inst.table.Step(f.now, ProbeAnswered{Peer: to.ID, Sent: sent, Message: target.table.Message(f.now, inst.ID)}))
	case target.refuses && !f.lostLinks[[2]string{inst.ID, to.ID}] && !f.lostLinks[[2]string{to.ID, inst.ID}]:
		f.performActions(inst, inst.table.Step(f.now, ProbeFailed{Peer: to.ID, Refused: true}))
	default:
		if f.delivers(inst.ID, to.ID) {
			f.performActions(target, target.table.Step(f.now, ProbeReceived{req}))
		}
		f.schedule(probeTimeout, func() { f.performActions(inst, inst.table.Step(f.now, ProbeFailed{Peer: to.ID})) })
	}
}

func (f *fleet) probeIndirectly(inst *instance, a ProbeIndirectly) {
	e := IndirectProbeFinished{Peer: a.Target.ID, Sent: f.now}
	for _, h := range a.Helpers {
		helper := f.instances[h.ID]
		switch {
		case !f.exchanges(inst.ID, h.ID):
		case f.exchanges(h.ID, a.Target.ID):
			f.probe(helper, a.Target)
			e.Succeeded = true
		case f.instances[a.Target.ID].refuses && !f.lostLinks[[2]string{h.ID, a.Target.ID}]:
			e.RefusedHelpers = append(e.RefusedHelpers, h.ID)
		default:
			e.UnansweredHelpers = append(e.UnansweredHelpers, h.ID)
		}
	}
	if e.Succeeded {
		f.performActions(inst, inst.table.Step(f.now, e))
		return
	}
	f.schedule(probeTimeout, func() { f.performActions(inst, inst.table.Step(f.now, e)) })
}

// partition cuts all links between instances on different sides.
func (f *fleet) partition(side func(i int) bool) {
	for i, a := range f.ids {
		for j, b := range f.ids {
			f.lostLinks[[2]string{a, b}] = side(i) != side(j)
		}
	}
}

// findStale describes an instance that serves although it has not applied a record that was accepted longer than the window
// ago, or returns "".
func (f *fleet) findStale() string {
	for _, id := range f.ids {
		inst := f.instances[id]
		if !inst.running() || !inst.table.Freshness(f.now).Ready {
			continue
		}
		if age := f.configAge(inst.table.appliedNext); age > inst.table.settings.FreshnessWindow+stepInterval {
			return fmt.Sprintf("%s serves offset %d at %v, the record after it is %v old (%+v)",
				id, inst.table.appliedNext, f.now.Sub(startTime), age, inst.table.Freshness(f.now))
		}
	}
	return ""
}

// configAge returns the longest time for which any running instance has had a record applied. A record counts only then:
// in a log outage, no instance can learn of a record that only a crashed instance had read (see docs/decisions/0041).
func (f *fleet) configAge(offset uint64) time.Duration {
	var age time.Duration
	for _, inst := range f.instances {
		if inst.running() && uint64(len(inst.appliedAt)) > offset {
			age = max(age, f.now.Sub(inst.appliedAt[offset]))
		}
	}
	return age
}

// Guards against an instance that serves an old configuration for longer than the window under random faults of links, hosts,
// log and list, and against an instance that doesn't serve again after the faults end.
func TestFreshnessUnderFaults(t *testing.T) {
	setChecks(t, "1000") // a table that ignores silent peers fails after 200
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "instances")
		f := newFleet(n)
		f.advance(8*time.Second, nil)
		drawID := rapid.SampledFrom(f.ids)
		checkFreshness := func() {
			if s := f.findStale(); s != "" {
				t.Fatal(s)
			}
		}
		crashed := 0
		actions := map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				f.advance(rapid.SampledFrom([]time.Duration{stepInterval, 3 * time.Second, 15 * time.Second}).Draw(t, "for"), checkFreshness)
			},
			"cut one way": func(t *rapid.T) { f.lostLinks[[2]string{drawID.Draw(t, "from"), drawID.Draw(t, "to")}] = true },
			"split": func(t *rapid.T) {
				k := rapid.IntRange(1, n).Draw(t, "size")
				f.partition(func(i int) bool { return i < k })
			},
			"heal": func(*rapid.T) { clear(f.lostLinks) },
			"log down for one": func(t *rapid.T) {
				f.instances[drawID.Draw(t, "who")].logDown = true
			},
			"split with the log on one side": func(t *rapid.T) {
				k := rapid.IntRange(1, n).Draw(t, "size")
				f.partition(func(i int) bool { return i < k })
				for i, id := range f.ids {
					f.instances[id].logDown = i < k
				}
			},
			"log down":   func(*rapid.T) { f.setLogDown(true) },
			"log up":     func(*rapid.T) { f.setLogDown(false) },
			"change":     func(t *rapid.T) { f.appendChange(drawID.Draw(t, "through")) },
			"empty list": func(*rapid.T) { f.listed = nil },
			"crash": func(t *rapid.T) {
				if crashed < n-1 {
					crashed++
					inst := f.instances[drawID.Draw(t, "who")]
					inst.silent, inst.refuses = true, rapid.Bool().Draw(t, "refuses")
					inst.silent = !inst.refuses
				}
			},
			"true list": func(*rapid.T) { f.refreshList() },
		}
		t.Repeat(actions)
		clear(f.lostLinks)
		f.setLogDown(false)
		f.refreshList()
		f.advance(40*time.Second, checkFreshness)
		for _, id := range f.ids {
			if inst := f.instances[id]; inst.running() && (!inst.table.Freshness(f.now).Ready || inst.table.appliedNext != f.configNext) {
				t.Fatalf("%s is %+v at offset %d of %d after the faults ended", id, inst.table.Freshness(f.now), inst.table.appliedNext, f.configNext)
			}
			f.checkAgreement(t, id)
		}
	})
}

func (f *fleet) setLogDown(down bool) {
	for _, inst := range f.instances {
		inst.logDown = down
	}
}

// checkAgreement checks that an instance believes exactly the running peers to be alive.
func (f *fleet) checkAgreement(t *rapid.T, id string) {
	if !f.instances[id].running() {
		return
	}
	for _, p := range f.instances[id].table.View().Peers {
		if alive := p.State == Alive; alive != f.instances[p.ID].running() {
			t.Fatalf("%s believes that %s is %s, but running is %v", id, p.ID, p.State, !alive)
		}
	}
}

// Guards against a peer that is declared lost on a single report, when messages are lost in one direction of one link only.
func TestOneWayLossKeepsPeerAlive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(3, 30).Draw(t, "instances"))
		f.advance(3*time.Second, nil)
		a, b := rapid.SampledFrom(f.ids).Draw(t, "from"), rapid.SampledFrom(f.ids).Draw(t, "to")
		f.lostLinks[[2]string{a, b}] = true
		f.setLogDown(rapid.Bool().Draw(t, "log down"))
		f.advance(40*time.Second, func() {
			for _, id := range f.ids {
				if !f.instances[id].table.Freshness(f.now).Ready {
					t.Fatalf("%s stopped serving: %+v", id, f.instances[id].table.Freshness(f.now))
				}
			}
		})
		for _, id := range f.ids {
			if c := f.instances[id].changes; slices.ContainsFunc(c, func(c StateChanged) bool { return c.To > Suspect }) {
				t.Fatalf("%s declared a peer lost: %+v", id, c)
			}
		}
	})
}

// Guards against a table that keeps replaced instances or lacks new ones.
func TestMassReplacement(t *testing.T) {
	setChecks(t, "30") // a case takes 40 ms
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(10, 24).Draw(t, "instances")
		f := newFleet(n)
		f.advance(5*time.Second, nil)
		refuse := rapid.Bool().Draw(t, "refuse")
		for _, id := range slices.Clone(f.ids[:n/2]) {
			f.instances[id].refuses, f.instances[id].silent = refuse, !refuse
			f.addInstance()
		}
		f.advance(10*time.Second, nil) // the list lags
		f.refreshList()
		// In the worst case each instance finds every replaced one lost by its own probes, one in three periods.
		f.advance(time.Duration(n)*unsettledProbeInterval*time.Second+30*time.Second, nil)
		for _, id := range f.ids[n/2:] {
			v := f.instances[id].table.View()
			if v.Size() != n {
				t.Fatalf("%s counts %d instances, want %d", id, v.Size(), n)
			}
		}
	})
}
