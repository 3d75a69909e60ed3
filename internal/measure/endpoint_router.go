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
	poolVersion      = "m@1"
	poolTickInterval = 100 * time.Millisecond // time between ticks of the table and updates of the admission
	poolProbeTime    = 2 * time.Millisecond   // duration of a probe
)

// baselineRouter routes without a table. Each instance knows only its own outstanding requests.
type baselineRouter struct {
	name        string
	maxAttempts int // per request
	random      *rand.Rand
	nextEngine  []int
	outstanding [][]int // indexed by instance and engine
}

func newBaselineRouter(name string, seed uint64) *baselineRouter {
	return &baselineRouter{name: name, maxAttempts: 4, random: rand.New(rand.NewPCG(seed, 2))}
}

func (b *baselineRouter) start(m *poolModel) {
	for i := range m.settings.Instances {
		b.nextEngine = append(b.nextEngine, i*7)
		b.outstanding = append(b.outstanding, make([]int, m.settings.Engines))
	}
}

func (b *baselineRouter) route(m *poolModel, r *poolRequest) {
	e := b.pickEngine(m, r.instance)
	b.outstanding[r.instance][e]++
	m.sendAttempt(r, e)
}

func (b *baselineRouter) pickEngine(m *poolModel, instance int) int {
	switch b.name {
	case "random":
		return b.random.IntN(m.settings.Engines)
	case "round-robin":
		b.nextEngine[instance]++
		return b.nextEngine[instance] % m.settings.Engines
	}
	best, at := -1, b.random.IntN(m.settings.Engines)
	for i := range m.settings.Engines {
		e := (at + i) % m.settings.Engines
		if best < 0 || b.outstanding[instance][e] < b.outstanding[instance][best] {
			best = e
		}
	}
	return best
}

func (b *baselineRouter) firstToken(*poolModel, *poolRequest) {}

func (b *baselineRouter) finished(_ *poolModel, r *poolRequest) {
	b.outstanding[r.instance][r.engine]--
}

func (b *baselineRouter) failed(m *poolModel, r *poolRequest) {
	b.outstanding[r.instance][r.engine]--
	if r.attempts >= b.maxAttempts || r.cancelled {
		m.refuseRequest(r)
		return
	}
	b.route(m, r)
}

func (b *baselineRouter) cacheEvent(*poolModel, int, uint64, bool) {}

// tableRouter routes as the proxy does, with an endpoint table, admission and a retry budget on each instance.
type tableRouter struct {
	settings          endpoint.Settings
	admission         bool
	admissionSettings endpoint.AdmissionSettings
	unlimitedRetries  bool // retries ignore the budget
	ignoreCacheEvents bool
	ignorePrefix      bool
	omitReportedWait  bool // engines report no wait for the first token
	random            *rand.Rand
	instances         []*tableRouterInstance
	ejections         []int // counts by second
}

// tableRouterInstance is the routing state of one instance.
type tableRouterInstance struct {
	table     *endpoint.Table
	admission *endpoint.AdmissionController
	retries   *endpoint.RetryBudget
	handles   []endpoint.Handle // indexed by engine
	requests  map[*poolRequest]*tableRouterRequest
}

// tableRouterRequest is a request that an instance has admitted.
type tableRouterRequest struct {
	choice   endpoint.Choice
	attempts endpoint.AttemptCount
	exclude  [6]endpoint.Handle
}

func newTableRouter(s endpoint.Settings, seed uint64) *tableRouter {
	return &tableRouter{settings: s, admission: true, admissionSettings: endpoint.DefaultAdmissionSettings(s.FleetSize), random: rand.New(rand.NewPCG(seed, 3))}
}

// virtualStart is the wall-clock time of virtual time 0.
var virtualStart = time.Unix(1_800_000_000, 0)

func (t *tableRouter) start(m *poolModel) {
	l := make([]platform.Instance, 0, len(m.engines))
	for _, e := range m.engines {
		l = append(l, platform.Instance{
			ID: fmt.Sprintf("engine-%03d", e.index), Role: platform.RoleEngine, AvailabilityZone: fmt.Sprintf("zone-%d", e.availabilityZone),
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(e.index)}), 8000),
			Versions: []string{poolVersion},
		})
	}
	for i := range m.settings.Instances {
		s := t.settings
		s.Seed, s.FleetSize, s.DefaultSlots = uint64(i), m.settings.Instances, m.settings.SlotsPerEngine
		n := &tableRouterInstance{
			table:     endpoint.NewTable(s),
			admission: endpoint.NewAdmissionController(t.admissionSettings),
			retries:   endpoint.NewRetryBudget(endpoint.DefaultRetrySettings(m.settings.Instances)),
			requests:  map[*poolRequest]*tableRouterRequest{},
		}
		t.instances = append(t.instances, n)
		t.stepTable(m, n, endpoint.InstancesListed{Instances: l})
		for _, e := range l {
			n.handles = append(n.handles, n.table.Handle(e.ID))
		}
	}
	m.schedule(0, func() { t.runTick(m) })
}

func (t *tableRouter) wallTime(m *poolModel) time.Time { return virtualStart.Add(m.now) }

func (t *tableRouter) runTick(m *poolModel) {
	for _, n := range t.instances {
		t.stepTable(m, n, endpoint.Tick{})
		slots, load := n.table.View().Capacity(poolVersion, "", t.wallTime(m))
		if wait, ok := n.table.View().MeanFirstTokenWait(poolVersion, "", t.wallTime(m)); ok {
			n.admission.RecordReportedWait(t.wallTime(m), poolVersion, wait)
		}
		n.admission.UpdateLoad(t.wallTime(m), poolVersion, slots, load)
	}
	m.schedule(poolTickInterval, func() { t.runTick(m) })
}

// stepTable passes an event to the table of an instance, carries out the probes that it requests and counts ejections.
func (t *tableRouter) stepTable(m *poolModel, n *tableRouterInstance, ev endpoint.Event) {
	before := n.table.View().VersionSize(poolVersion)
	for _, a := range n.table.Apply(t.wallTime(m), ev) {
		h := a.Endpoint
		m.schedule(poolProbeTime, func() {
			p := endpoint.ProbeFinished{Endpoint: h, OK: !m.inOutage()}
			if p.OK {
				p.Report = t.loadReport(m, m.engines[n.engineIndex(h)])
			}
			t.stepTable(m, n, p)
		})
	}
	if after := n.table.View().VersionSize(poolVersion); after < before {
		incrementSecond(&t.ejections, m.now)
	}
}

func (n *tableRouterInstance) engineIndex(h endpoint.Handle) int {
	for i, o := range n.handles {
		if o == h {
			return i
		}
	}
	return -1
}

func (t *tableRouter) loadReport(m *poolModel, e *poolEngine) endpoint.Report {
	return endpoint.Report{
		Time: virtualStart.Add(e.reportedAt + 1), Load: e.reportedLoad, Slots: m.settings.SlotsPerEngine,
		HasWait: !t.omitReportedWait, Wait: e.reportedWait,
	}
}

func (t *tableRouter) admissionArrival(m *poolModel, r *poolRequest) endpoint.AdmissionRequest {
	return endpoint.AdmissionRequest{
		Pool: poolVersion, Organisation: fmt.Sprintf("organisation-%d", r.organisation),
		Deadline: virtualStart.Add(r.arrived + m.settings.CallerTimeout),
	}
}

func (t *tableRouter) route(m *poolModel, r *poolRequest) {
	n := t.instances[r.instance]
	if t.admission && n.admission.Admit(t.wallTime(m), t.admissionArrival(m, r)) != endpoint.Admitted {
		m.refuseRequest(r)
		return
	}
	s := &tableRouterRequest{attempts: n.retries.RecordFirstAttempt()}
	n.requests[r] = s
	if !t.sendToChosenEngine(m, n, r, s) {
		t.releaseRequest(m, n, r, 0)
		m.refuseRequest(r)
	}
}

// sendToChosenEngine sends an attempt to the endpoint that the table chooses and reports whether there is one.
func (t *tableRouter) sendToChosenEngine(m *poolModel, n *tableRouterInstance, r *poolRequest, s *tableRouterRequest) bool {
	q := endpoint.Query{
		Version: poolVersion, Zone: fmt.Sprintf("zone-%d", r.instance%m.settings.AvailabilityZones), Prefix: r.prefix,
		Excluded: s.exclude, RandomDraws: [2]float64{t.random.Float64(), t.random.Float64()}, Now: t.wallTime(m),
	}
	if t.ignorePrefix {
		q.Prefix = 0
	}
	c, ok := n.table.View().Choose(q)
	if !ok {
		return false
	}
	s.choice = c
	c.BeginRequest(t.wallTime(m))
	m.sendAttempt(r, n.engineIndex(c.Endpoint))
	return true
}

// releaseRequest forgets a request and frees its admission.
func (t *tableRouter) releaseRequest(m *poolModel, n *tableRouterInstance, r *poolRequest, duration time.Duration) {
	delete(n.requests, r)
	if t.admission {
		n.admission.RecordCompletion(poolVersion, t.admissionArrival(m, r).Organisation, duration)
	}
}

func (t *tableRouter) firstToken(m *poolModel, r *poolRequest) {
	t.recordAnswer(m, r)
	compute := time.Duration((r.suffixTokens + float64(m.settings.PrefixTokens)) / m.settings.PrefillRate * float64(time.Second))
	t.instances[r.instance].admission.RecordObservedWait(poolVersion, m.now-r.sent-compute)
}

// recordAnswer passes the load report of an answer to the table.
func (t *tableRouter) recordAnswer(m *poolModel, r *poolRequest) {
	n := t.instances[r.instance]
	t.stepTable(m, n, endpoint.RequestAnswered{
		Endpoint: n.requests[r].choice.Endpoint, Started: virtualStart.Add(r.sent),
		Report: t.loadReport(m, m.engines[r.engine]),
	})
}

func (t *tableRouter) finished(m *poolModel, r *poolRequest) {
	n := t.instances[r.instance]
	n.requests[r].choice.EndRequest()
	t.recordAnswer(m, r)
	t.releaseRequest(m, n, r, m.now-r.sent)
}

func (t *tableRouter) failed(m *poolModel, r *poolRequest) {
	n := t.instances[r.instance]
	s := n.requests[r]
	s.choice.EndRequest()
	h := s.choice.Endpoint
	t.stepTable(m, n, endpoint.RequestFailed{Endpoint: h, Started: virtualStart.Add(r.sent), Kind: r.failKind, Version: poolVersion})
	s.exclude[(r.attempts-1)%len(s.exclude)] = h
	deadline := virtualStart.Add(r.arrived + m.settings.CallerTimeout)
	again := !r.cancelled && r.attempts < 4
	if again && !t.unlimitedRetries {
		again = n.retries.TakeRetry(t.wallTime(m), &s.attempts, deadline, 100*time.Millisecond)
	}
	if !again || !t.sendToChosenEngine(m, n, r, s) {
		t.releaseRequest(m, n, r, 0)
		m.refuseRequest(r)
	}
}

func (t *tableRouter) cacheEvent(m *poolModel, engine int, prefix uint64, evicted bool) {
	if t.ignoreCacheEvents {
		return
	}
	for _, n := range t.instances {
		t.stepTable(m, n, endpoint.PrefixCacheChanged{Endpoint: n.handles[engine], Prefix: prefix, Evicted: evicted})
	}
}
