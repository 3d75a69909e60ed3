package measure

import (
	"container/heap"
	"container/list"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
)

// poolSettings describe the queueing model of one pool of engines. All times are virtual.
type poolSettings struct {
	Zones, Engines, Instances int
	Slots                     int           // requests that an engine runs at once
	Prefill                   float64       // prompt tokens per second of an engine, one prompt at a time
	TokenBase, TokenStep      time.Duration // time per output token: base, and step for each running request
	CachePrefixes             int           // prefixes that an engine caches, least recently used first out
	Prefixes                  int           // distinct prefixes of the traffic
	PrefixTokens              int
	SuffixTokens, Output      float64       // mean tokens, exponentially distributed
	ReportEvery               time.Duration // engines measure their load this often
	CacheLag                  time.Duration // delay of cache events
	CacheGaps                 float64       // share of cache events that are lost
	GiveUp                    time.Duration // callers cancel a request without a first token after this time
	Rate                      float64       // requests per second
	Warm, Length, Drain       time.Duration // measurement starts after Warm, arrivals end after Length, all ends Drain later
	Outage                    outage
}

// outage makes all engines fail between two times.
type outage struct {
	From, To time.Duration
	Status   bool // engines answer with an error status; otherwise they die and refuse connections
}

// lysroer is the smaller user's fleet of 18 engines in 3 availability zones with 9 instances.
func lysroer() poolSettings {
	return poolSettings{
		Zones: 3, Engines: 18, Instances: 9, Slots: 16, Prefill: 8000,
		TokenBase: 12 * time.Millisecond, TokenStep: 400 * time.Microsecond,
		CachePrefixes: 12, Prefixes: 72, PrefixTokens: 3000, SuffixTokens: 300, Output: 150,
		ReportEvery: 100 * time.Millisecond, CacheLag: 500 * time.Millisecond, CacheGaps: 0.3,
		GiveUp: 10 * time.Second, Warm: 30 * time.Second, Length: 120 * time.Second, Drain: 30 * time.Second,
	}
}

// Delays between an instance and an engine, one way.
const (
	delaySameZone  = 250 * time.Microsecond
	delayOtherZone = 1750 * time.Microsecond
)

// poolRequest is one caller request.
type poolRequest struct {
	prefix       uint64
	suffix       float64
	output       float64
	organisation int
	instance     int
	arrived      time.Duration
	sent         time.Duration
	first        time.Duration // of the first token; 0 before
	engine       int
	attempts     int
	hit          bool
	cancelled    bool
	measured     bool
	kind         endpoint.FailKind // of the last failed attempt
}

// poolEngine is a model of an engine with continuous batching and a prefix cache.
type poolEngine struct {
	index, zone  int
	running      int
	queue        []*poolRequest
	live         []*poolRequest // in a slot
	deaths       int
	prefillFree  time.Duration
	order        *list.List // cached prefixes, most recently used first
	cached       map[uint64]*list.Element
	reported     int
	reportedAt   time.Duration
	reportedWait time.Duration
}

// poolTimer is a pending event of the model.
type poolTimer struct {
	at  time.Duration
	seq int
	do  func()
}

type poolTimers []poolTimer

func (t poolTimers) Len() int { return len(t) }
func (t poolTimers) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].seq < t[j].seq)
}
func (t poolTimers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push adds a timer; container/heap calls it.
func (t *poolTimers) Push(x any) { *t = append(*t, x.(poolTimer)) }

// Pop removes the last timer; container/heap calls it.
func (t *poolTimers) Pop() any {
	l := *t
	x := l[len(l)-1]
	*t = l[:len(l)-1]
	return x
}

// poolModel runs requests through a router to engines in virtual time.
type poolModel struct {
	settings poolSettings
	router   poolRouter
	random   *rand.Rand // arrivals and sizes only, so that all routers see the same traffic
	engines  []*poolEngine
	timers   poolTimers
	seq      int
	now      time.Duration
	result   poolResult
	zipf     []float64
}

// poolRouter decides where a request runs and learns from what happens.
type poolRouter interface {
	start(m *poolModel)
	route(m *poolModel, r *poolRequest) // calls m.send or m.refuse
	firstToken(m *poolModel, r *poolRequest)
	finished(m *poolModel, r *poolRequest)
	failed(m *poolModel, r *poolRequest) // calls m.send or m.refuse
	cacheEvent(m *poolModel, engine int, prefix uint64, evicted bool)
}

func newPoolModel(s poolSettings, r poolRouter, seed uint64) *poolModel {
	m := &poolModel{settings: s, router: r, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range s.Engines {
		m.engines = append(m.engines, &poolEngine{
			index: i, zone: i % s.Zones, order: list.New(), cached: map[uint64]*list.Element{},
		})
	}
	sum := 0.0
	for i := range s.Prefixes { // Zipf with exponent 0.8
		sum += 1 / math.Pow(float64(i+1), 0.8)
		m.zipf = append(m.zipf, sum)
	}
	return m
}

// run returns the result of the whole history.
func (m *poolModel) run() *poolResult {
	m.router.start(m)
	m.after(0, m.arrive)
	m.after(0, m.measureLoad)
	if o := m.settings.Outage; o.To > 0 && !o.Status {
		m.after(o.From, m.die)
	}
	end := m.settings.Length + m.settings.Drain
	for len(m.timers) > 0 {
		t := heap.Pop(&m.timers).(poolTimer)
		if t.at > end {
			break
		}
		m.now = t.at
		t.do()
	}
	m.result.seconds = (m.settings.Length - m.settings.Warm).Seconds()
	return &m.result
}

func (m *poolModel) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.timers, poolTimer{m.now + d, m.seq, do})
}

func (m *poolModel) arrive() {
	if m.now > m.settings.Length {
		return
	}
	m.after(time.Duration(m.random.ExpFloat64()/m.settings.Rate*float64(time.Second)), m.arrive)
	r := &poolRequest{
		prefix: m.drawPrefix(), suffix: m.random.ExpFloat64() * m.settings.SuffixTokens,
		output: 1 + m.random.ExpFloat64()*m.settings.Output, organisation: drawOrganisation(m.random.Float64()),
		instance: m.random.IntN(m.settings.Instances), arrived: m.now, engine: -1,
		measured: m.now >= m.settings.Warm,
	}
	m.result.arrived(m, r)
	m.after(m.settings.GiveUp, func() { m.giveUp(r) })
	m.router.route(m, r)
}

func (m *poolModel) drawPrefix() uint64 {
	x := m.random.Float64() * m.zipf[len(m.zipf)-1]
	for i, z := range m.zipf {
		if x < z {
			return uint64(i+1) * 0x9e3779b97f4a7c15
		}
	}
	return 1
}

// drawOrganisation gives the first of four organisations 70 % of the traffic.
func drawOrganisation(draw float64) int {
	if draw < 0.7 {
		return 0
	}
	return 1 + int((draw-0.7)*10)
}

func (m *poolModel) measureLoad() {
	for _, e := range m.engines {
		e.reported, e.reportedAt = e.running+len(e.queue), m.now
		e.reportedWait = max(0, e.prefillFree-m.now) + m.queueWait(e)
	}
	m.after(m.settings.ReportEvery, m.measureLoad)
}

// queueWait estimates how long the queue of an engine takes: its requests start as slots become free.
func (m *poolModel) queueWait(e *poolEngine) time.Duration {
	perToken := m.settings.TokenBase + time.Duration(m.settings.Slots)*m.settings.TokenStep
	perSlot := time.Duration(m.settings.Output*float64(perToken)) / time.Duration(m.settings.Slots)
	return time.Duration(len(e.queue)) * perSlot
}

func (m *poolModel) delay(r *poolRequest) time.Duration {
	if m.engines[r.engine].zone == r.instance%m.settings.Zones {
		return delaySameZone
	}
	return delayOtherZone
}

// send puts an attempt on the way to an engine.
func (m *poolModel) send(r *poolRequest, engine int) {
	r.engine, r.sent = engine, m.now
	r.attempts++
	m.result.attempt(m, r)
	m.after(m.delay(r), func() { m.reach(r) })
}

// refuse ends a request that was not run.
func (m *poolModel) refuse(r *poolRequest) {
	r.cancelled = true
	m.result.refused(r)
}

func (m *poolModel) down() bool {
	o := m.settings.Outage
	return m.now >= o.From && m.now < o.To
}

func (m *poolModel) reach(r *poolRequest) {
	e := m.engines[r.engine]
	switch {
	case r.cancelled:
		m.router.finished(m, r)
	case m.down():
		r.kind = endpoint.FailRefused
		if m.settings.Outage.Status {
			r.kind = endpoint.FailErrorStatus
		}
		m.after(m.delay(r), func() { m.router.failed(m, r) })
	case e.running < m.settings.Slots:
		m.begin(e, r)
	default:
		e.queue = append(e.queue, r)
	}
}

// die ends all engines with their requests and caches.
func (m *poolModel) die() {
	for _, e := range m.engines {
		lost := slices.Concat(e.live, e.queue)
		e.deaths++
		e.running, e.live, e.queue, e.prefillFree = 0, nil, nil, 0
		e.order, e.cached = list.New(), map[uint64]*list.Element{}
		for _, r := range lost {
			r.kind = endpoint.FailConnectionLost
			m.after(m.delay(r), func() { m.router.failed(m, r) })
		}
	}
}

// begin takes a slot, waits for the prefill of earlier prompts and computes what is not cached.
func (m *poolModel) begin(e *poolEngine, r *poolRequest) {
	e.running++
	e.live = append(e.live, r)
	deaths := e.deaths
	tokens := r.suffix
	if r.hit = m.use(e, r.prefix); !r.hit {
		tokens += float64(m.settings.PrefixTokens)
	}
	m.result.started(r)
	start := max(m.now, e.prefillFree)
	e.prefillFree = start + time.Duration(tokens/m.settings.Prefill*float64(time.Second))
	perToken := m.settings.TokenBase + time.Duration(e.running)*m.settings.TokenStep
	m.after(e.prefillFree-m.now+perToken, func() {
		if e.deaths == deaths {
			m.firstToken(e, r, perToken)
		}
	})
}

// use touches a prefix in an engine's cache and reports whether it was there.
func (m *poolModel) use(e *poolEngine, prefix uint64) bool {
	if el, ok := e.cached[prefix]; ok {
		e.order.MoveToFront(el)
		return true
	}
	e.cached[prefix] = e.order.PushFront(prefix)
	m.tell(e, prefix, false)
	if e.order.Len() > m.settings.CachePrefixes {
		old := e.order.Remove(e.order.Back()).(uint64)
		delete(e.cached, old)
		m.tell(e, old, true)
	}
	return false
}

// tell publishes a cache event late, or not at all.
func (m *poolModel) tell(e *poolEngine, prefix uint64, evicted bool) {
	draw := float64(mixBits(prefix^uint64(m.now)^uint64(e.index))>>11) / (1 << 53)
	if draw < m.settings.CacheGaps {
		return
	}
	m.after(m.settings.CacheLag, func() { m.router.cacheEvent(m, e.index, prefix, evicted) })
}

func (m *poolModel) firstToken(e *poolEngine, r *poolRequest, perToken time.Duration) {
	if r.cancelled {
		m.leave(e, r)
		return
	}
	deaths := e.deaths
	m.after(m.delay(r), func() {
		if e.deaths != deaths {
			return
		}
		if r.first == 0 {
			r.first = m.now
			m.result.first(r)
		}
		m.router.firstToken(m, r)
	})
	m.after(time.Duration(r.output*float64(perToken)), func() {
		if e.deaths == deaths {
			m.leave(e, r)
		}
	})
}

// leave frees the slot for the next request in the queue whose caller still waits.
func (m *poolModel) leave(e *poolEngine, r *poolRequest) {
	e.running--
	e.live = slices.DeleteFunc(e.live, func(o *poolRequest) bool { return o == r })
	m.after(m.delay(r), func() { m.router.finished(m, r) })
	for len(e.queue) > 0 && e.running < m.settings.Slots {
		n := e.queue[0]
		e.queue = e.queue[1:]
		if n.cancelled {
			m.router.finished(m, n)
			continue
		}
		m.begin(e, n)
	}
}

// giveUp cancels a request whose caller waited too long for the first token.
func (m *poolModel) giveUp(r *poolRequest) {
	if r.first == 0 && !r.cancelled {
		r.cancelled = true
		m.result.gaveUp(r)
	}
}
