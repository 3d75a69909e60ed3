package measure

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

const (
	poolVersion = "m@1"
	poolTick    = 100 * time.Millisecond // period of Tick and of admission updates
	poolProbe   = 2 * time.Millisecond   // time of a probe
)

// baseline is a router without a table: each instance knows its own outstanding requests only.
type baseline struct {
	name    string
	retries int // attempts of one request
	random  *rand.Rand
	next    []int
	own     [][]int // by instance and engine
}

func newBaseline(name string, seed uint64) *baseline {
	return &baseline{name: name, retries: 4, random: rand.New(rand.NewPCG(seed, 2))}
}

func (b *baseline) start(m *poolModel) {
	for i := range m.settings.Instances {
		b.next = append(b.next, i*7)
		b.own = append(b.own, make([]int, m.settings.Engines))
	}
}

func (b *baseline) route(m *poolModel, r *poolRequest) {
	e := b.pick(m, r.instance)
	b.own[r.instance][e]++
	m.send(r, e)
}

func (b *baseline) pick(m *poolModel, instance int) int {
	switch b.name {
	case "random":
		return b.random.IntN(m.settings.Engines)
	case "round-robin":
		b.next[instance]++
		return b.next[instance] % m.settings.Engines
	}
	best, at := -1, b.random.IntN(m.settings.Engines)
	for i := range m.settings.Engines {
		e := (at + i) % m.settings.Engines
		if best < 0 || b.own[instance][e] < b.own[instance][best] {
			best = e
		}
	}
	return best
}

func (b *baseline) firstToken(*poolModel, *poolRequest) {}

func (b *baseline) finished(_ *poolModel, r *poolRequest) { b.own[r.instance][r.engine]-- }

func (b *baseline) failed(m *poolModel, r *poolRequest) {
	b.own[r.instance][r.engine]--
	if r.attempts >= b.retries || r.cancelled {
		m.refuse(r)
		return
	}
	b.route(m, r)
}

func (b *baseline) cacheEvent(*poolModel, int, uint64, bool) {}

// tabled is the router of this project: a table, admission and a retry budget for each instance.
type tabled struct {
	settings   endpoint.Settings
	admission  bool
	admit      endpoint.AdmissionSettings
	unbudgeted bool // retries without a ratio, for comparison
	noHints    bool
	noPrefix   bool
	noWaits    bool // engines do not report the wait for the first token
	random     *rand.Rand
	instances  []*tabledInstance
	ejections  []int // by second
}

type tabledInstance struct {
	table     *endpoint.Table
	admission *endpoint.AdmissionController
	retries   *endpoint.RetryBudget
	handles   []endpoint.Handle // by engine
	requests  map[*poolRequest]*tabledRequest
}

type tabledRequest struct {
	choice   endpoint.Choice
	attempts endpoint.AttemptCount
	exclude  [6]endpoint.Handle
}

func newTabled(s endpoint.Settings, seed uint64) *tabled {
	return &tabled{settings: s, admission: true, admit: endpoint.DefaultAdmissionSettings(s.FleetSize), random: rand.New(rand.NewPCG(seed, 3))}
}

// virtualStart is the wall-clock time that virtual time 0 stands for.
var virtualStart = time.Unix(1_800_000_000, 0)

func (t *tabled) start(m *poolModel) {
	l := make([]platform.Instance, 0, len(m.engines))
	for _, e := range m.engines {
		l = append(l, platform.Instance{
			ID: fmt.Sprintf("engine-%03d", e.index), Role: platform.RoleEngine, AvailabilityZone: fmt.Sprintf("zone-%d", e.zone),
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(e.index)}), 8000),
			Versions: []string{poolVersion},
		})
	}
	for i := range m.settings.Instances {
		s := t.settings
		s.Seed, s.FleetSize, s.DefaultSlots = uint64(i), m.settings.Instances, m.settings.Slots
		n := &tabledInstance{
			table:     endpoint.NewTable(s),
			admission: endpoint.NewAdmissionController(t.admit),
			retries:   endpoint.NewRetryBudget(endpoint.DefaultRetrySettings(m.settings.Instances)),
			requests:  map[*poolRequest]*tabledRequest{},
		}
		t.instances = append(t.instances, n)
		t.step(m, n, endpoint.InstancesListed{Instances: l})
		for _, e := range l {
			n.handles = append(n.handles, n.table.Handle(e.ID))
		}
	}
	m.after(0, func() { t.tick(m) })
}

func (t *tabled) now(m *poolModel) time.Time { return virtualStart.Add(m.now) }

func (t *tabled) tick(m *poolModel) {
	for _, n := range t.instances {
		t.step(m, n, endpoint.Tick{})
		slots, load := n.table.View().Capacity(poolVersion, "", t.now(m))
		if wait, ok := n.table.View().MeanFirstTokenWait(poolVersion, "", t.now(m)); ok {
			n.admission.RecordReportedWait(t.now(m), poolVersion, wait)
		}
		n.admission.UpdateLoad(t.now(m), poolVersion, slots, load)
	}
	m.after(poolTick, func() { t.tick(m) })
}

// step folds an event and carries out the probes that the table asks for.
func (t *tabled) step(m *poolModel, n *tabledInstance, ev endpoint.Event) {
	before := n.table.View().VersionSize(poolVersion)
	for _, a := range n.table.Apply(t.now(m), ev) {
		h := a.Endpoint
		m.after(poolProbe, func() {
			p := endpoint.ProbeFinished{Endpoint: h, OK: !m.down()}
			if p.OK {
				p.Report = t.report(m, m.engines[n.engine(h)])
			}
			t.step(m, n, p)
		})
	}
	if after := n.table.View().VersionSize(poolVersion); after < before {
		count(&t.ejections, m.now)
	}
}

func (n *tabledInstance) engine(h endpoint.Handle) int {
	for i, o := range n.handles {
		if o == h {
			return i
		}
	}
	return -1
}

func (t *tabled) report(m *poolModel, e *poolEngine) endpoint.Report {
	return endpoint.Report{
		Time: virtualStart.Add(e.reportedAt + 1), Load: e.reported, Slots: m.settings.Slots,
		HasWait: !t.noWaits, Wait: e.reportedWait,
	}
}

func (t *tabled) arrival(m *poolModel, r *poolRequest) endpoint.AdmissionRequest {
	return endpoint.AdmissionRequest{
		Pool: poolVersion, Organisation: fmt.Sprintf("organisation-%d", r.organisation),
		Deadline: virtualStart.Add(r.arrived + m.settings.GiveUp),
	}
}

func (t *tabled) route(m *poolModel, r *poolRequest) {
	n := t.instances[r.instance]
	if t.admission && n.admission.Admit(t.now(m), t.arrival(m, r)) != endpoint.Admitted {
		m.refuse(r)
		return
	}
	s := &tabledRequest{attempts: n.retries.RecordFirstAttempt()}
	n.requests[r] = s
	if !t.choose(m, n, r, s) {
		t.drop(m, n, r, 0)
		m.refuse(r)
	}
}

func (t *tabled) choose(m *poolModel, n *tabledInstance, r *poolRequest, s *tabledRequest) bool {
	q := endpoint.Query{
		Version: poolVersion, Zone: fmt.Sprintf("zone-%d", r.instance%m.settings.Zones), Prefix: r.prefix,
		Excluded: s.exclude, RandomDraws: [2]float64{t.random.Float64(), t.random.Float64()}, Now: t.now(m),
	}
	if t.noPrefix {
		q.Prefix = 0
	}
	c, ok := n.table.View().Choose(q)
	if !ok {
		return false
	}
	s.choice = c
	c.BeginRequest(t.now(m))
	m.send(r, n.engine(c.Endpoint))
	return true
}

// drop ends the instance's part of a request.
func (t *tabled) drop(m *poolModel, n *tabledInstance, r *poolRequest, took time.Duration) {
	delete(n.requests, r)
	if t.admission {
		n.admission.RecordCompletion(poolVersion, t.arrival(m, r).Organisation, took)
	}
}

func (t *tabled) firstToken(m *poolModel, r *poolRequest) {
	t.answered(m, r)
	compute := time.Duration((r.suffix + float64(m.settings.PrefixTokens)) / m.settings.Prefill * float64(time.Second))
	t.instances[r.instance].admission.RecordObservedWait(poolVersion, m.now-r.sent-compute)
}

func (t *tabled) answered(m *poolModel, r *poolRequest) {
	n := t.instances[r.instance]
	t.step(m, n, endpoint.RequestAnswered{
		Endpoint: n.requests[r].choice.Endpoint, Started: virtualStart.Add(r.sent),
		Report: t.report(m, m.engines[r.engine]),
	})
}

func (t *tabled) finished(m *poolModel, r *poolRequest) {
	n := t.instances[r.instance]
	n.requests[r].choice.EndRequest()
	t.answered(m, r)
	t.drop(m, n, r, m.now-r.sent)
}

func (t *tabled) failed(m *poolModel, r *poolRequest) {
	n := t.instances[r.instance]
	s := n.requests[r]
	s.choice.EndRequest()
	h := s.choice.Endpoint
	t.step(m, n, endpoint.RequestFailed{Endpoint: h, Started: virtualStart.Add(r.sent), Kind: r.kind, Version: poolVersion})
	s.exclude[(r.attempts-1)%len(s.exclude)] = h
	deadline := virtualStart.Add(r.arrived + m.settings.GiveUp)
	again := !r.cancelled && r.attempts < 4
	if again && !t.unbudgeted {
		again = n.retries.TakeRetry(t.now(m), &s.attempts, deadline, 100*time.Millisecond)
	}
	if !again || !t.choose(m, n, r, s) {
		t.drop(m, n, r, 0)
		m.refuse(r)
	}
}

func (t *tabled) cacheEvent(m *poolModel, engine int, prefix uint64, evicted bool) {
	if t.noHints {
		return
	}
	for _, n := range t.instances {
		t.step(m, n, endpoint.PrefixCacheChanged{Endpoint: n.handles[engine], Prefix: prefix, Evicted: evicted})
	}
}
