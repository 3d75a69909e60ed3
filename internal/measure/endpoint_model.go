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

// poolSettings configure the queueing model of a pool of engines. All times are virtual.
type poolSettings struct {
	AvailabilityZones, Engines, Instances int
	SlotsPerEngine                        int           // concurrent requests per engine
	PrefillRate                           float64       // prompt tokens per second; an engine reads one prompt at a time
	BaseTokenTime, TokenTimePerRequest    time.Duration // time per output token, and its increase per running request
	CachedPrefixes                        int           // prefixes in the LRU cache of an engine
	Prefixes                              int           // distinct prefixes in the traffic
	PrefixTokens                          int
	SuffixTokens, OutputTokens            float64       // means of exponential distributions
	ReportInterval                        time.Duration // time between load measurements of an engine
	CacheEventDelay                       time.Duration // delay of cache events
	CacheEventLoss                        float64       // share of cache events that are lost
	CallerTimeout                         time.Duration // callers cancel a request without a first token after it
	Rate                                  float64       // requests per second
	WarmUp, ArrivalTime, DrainTime        time.Duration // when the measurement starts, when arrivals end, and how long the simulation continues after that
	Outage                                outage
}

// outage makes all engines fail between two times.
type outage struct {
	From, Until time.Duration
	ErrorStatus bool // engines answer with an error status instead of dying and refusing connections
}

// lysroerSettings returns the fleet of the smaller user: 18 engines in 3 availability zones and 9 instances.
func lysroerSettings() poolSettings {
	return poolSettings{
		AvailabilityZones: 3, Engines: 18, Instances: 9, SlotsPerEngine: 16, PrefillRate: 8000,
		BaseTokenTime: 12 * time.Millisecond, TokenTimePerRequest: 400 * time.Microsecond,
		CachedPrefixes: 12, Prefixes: 72, PrefixTokens: 3000, SuffixTokens: 300, OutputTokens: 150,
		ReportInterval: 100 * time.Millisecond, CacheEventDelay: 500 * time.Millisecond, CacheEventLoss: 0.3,
		CallerTimeout: 10 * time.Second, WarmUp: 30 * time.Second, ArrivalTime: 120 * time.Second, DrainTime: 30 * time.Second,
	}
}

// One-way network delays between an instance and an engine.
const (
	delayWithinAvailabilityZone   = 250 * time.Microsecond
	delayBetweenAvailabilityZones = 1750 * time.Microsecond
)

// poolRequest is one request of a caller.
type poolRequest struct {
	prefix       uint64
	suffixTokens float64
	outputTokens float64
	organisation int
	instance     int
	arrived      time.Duration
	sent         time.Duration
	firstToken   time.Duration // when the first token arrived, or 0
	engine       int
	attempts     int
	prefixCached bool
	cancelled    bool
	measured     bool
	failKind     endpoint.FailKind // of the last failed attempt
}

// poolEngine models an engine with continuous batching and a prefix cache.
type poolEngine struct {
	index, availabilityZone int
	running                 int
	queue                   []*poolRequest
	active                  []*poolRequest // requests that hold a slot
	deaths                  int
	prefillFreeAt           time.Duration
	cacheOrder              *list.List // cached prefixes, most recently used first
	cacheElements           map[uint64]*list.Element
	reportedLoad            int
	reportedAt              time.Duration
	reportedWait            time.Duration
}

// poolTimer is a scheduled event.
type poolTimer struct {
	at     time.Duration
	seq    int
	action func()
}

// poolTimers is a heap of events, ordered by time and then by scheduling.
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

// poolModel simulates a router and its engines in virtual time.
type poolModel struct {
	settings poolSettings
	router   poolRouter
	random   *rand.Rand // for arrivals and sizes only, so that all routers get the same traffic
	engines  []*poolEngine
	timers   poolTimers
	seq      int
	now      time.Duration
	result   poolResult
	zipf     []float64
}

// poolRouter chooses the engine of each request and is told of the events of its attempts.
type poolRouter interface {
	start(m *poolModel)                 // called once before the simulation
	route(m *poolModel, r *poolRequest) // calls m.sendAttempt or m.refuseRequest
	firstToken(m *poolModel, r *poolRequest)
	finished(m *poolModel, r *poolRequest) // also for a request that its caller cancelled
	failed(m *poolModel, r *poolRequest)   // calls m.sendAttempt or m.refuseRequest
	cacheEvent(m *poolModel, engine int, prefix uint64, evicted bool)
}

func newPoolModel(s poolSettings, r poolRouter, seed uint64) *poolModel {
	m := &poolModel{settings: s, router: r, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range s.Engines {
		m.engines = append(m.engines, &poolEngine{
			index: i, availabilityZone: i % s.AvailabilityZones, cacheOrder: list.New(), cacheElements: map[uint64]*list.Element{},
		})
	}
	sum := 0.0
	for i := range s.Prefixes { // Zipf with exponent 0.8
		sum += 1 / math.Pow(float64(i+1), 0.8)
		m.zipf = append(m.zipf, sum)
	}
	return m
}

// simulate runs all events until the end of the drain time and returns the result.
func (m *poolModel) simulate() *poolResult {
	m.router.start(m)
	m.schedule(0, m.handleArrival)
	m.schedule(0, m.measureLoad)
	if o := m.settings.Outage; o.Until > 0 && !o.ErrorStatus {
		m.schedule(o.From, m.killEngines)
	}
	end := m.settings.ArrivalTime + m.settings.DrainTime
	for len(m.timers) > 0 {
		t := heap.Pop(&m.timers).(poolTimer)
		if t.at > end {
			break
		}
		m.now = t.at
		t.action()
	}
	m.result.seconds = (m.settings.ArrivalTime - m.settings.WarmUp).Seconds()
	return &m.result
}

func (m *poolModel) schedule(d time.Duration, action func()) {
	m.seq++
	heap.Push(&m.timers, poolTimer{m.now + d, m.seq, action})
}

func (m *poolModel) handleArrival() {
	if m.now > m.settings.ArrivalTime {
		return
	}
	m.schedule(time.Duration(m.random.ExpFloat64()/m.settings.Rate*float64(time.Second)), m.handleArrival)
	r := &poolRequest{
		prefix: m.drawPrefix(), suffixTokens: m.random.ExpFloat64() * m.settings.SuffixTokens,
		outputTokens: 1 + m.random.ExpFloat64()*m.settings.OutputTokens, organisation: drawOrganisation(m.random.Float64()),
		instance: m.random.IntN(m.settings.Instances), arrived: m.now, engine: -1,
		measured: m.now >= m.settings.WarmUp,
	}
	m.result.recordArrival(m, r)
	m.schedule(m.settings.CallerTimeout, func() { m.cancelOnTimeout(r) })
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

// measureLoad updates the load that each engine reports.
func (m *poolModel) measureLoad() {
	for _, e := range m.engines {
		e.reportedLoad, e.reportedAt = e.running+len(e.queue), m.now
		e.reportedWait = max(0, e.prefillFreeAt-m.now) + m.queueWait(e)
	}
	m.schedule(m.settings.ReportInterval, m.measureLoad)
}

// queueWait estimates the time until the queue of an engine is empty, as its requests start when slots become free.
func (m *poolModel) queueWait(e *poolEngine) time.Duration {
	perToken := m.settings.BaseTokenTime + time.Duration(m.settings.SlotsPerEngine)*m.settings.TokenTimePerRequest
	perSlot := time.Duration(m.settings.OutputTokens*float64(perToken)) / time.Duration(m.settings.SlotsPerEngine)
	return time.Duration(len(e.queue)) * perSlot
}

func (m *poolModel) networkDelay(r *poolRequest) time.Duration {
	if m.engines[r.engine].availabilityZone == r.instance%m.settings.AvailabilityZones {
		return delayWithinAvailabilityZone
	}
	return delayBetweenAvailabilityZones
}

// sendAttempt sends an attempt to an engine, where it arrives after the network delay.
func (m *poolModel) sendAttempt(r *poolRequest, engine int) {
	r.engine, r.sent = engine, m.now
	r.attempts++
	m.result.recordAttempt(m, r)
	m.schedule(m.networkDelay(r), func() { m.handleAttemptArrival(r) })
}

// refuseRequest ends a request that runs on no engine.
func (m *poolModel) refuseRequest(r *poolRequest) {
	r.cancelled = true
	m.result.recordRefusal(r)
}

func (m *poolModel) inOutage() bool {
	o := m.settings.Outage
	return m.now >= o.From && m.now < o.Until
}

func (m *poolModel) handleAttemptArrival(r *poolRequest) {
	e := m.engines[r.engine]
	switch {
	case r.cancelled:
		m.router.finished(m, r)
	case m.inOutage():
		r.failKind = endpoint.FailRefused
		if m.settings.Outage.ErrorStatus {
			r.failKind = endpoint.FailErrorStatus
		}
		m.schedule(m.networkDelay(r), func() { m.router.failed(m, r) })
	case e.running < m.settings.SlotsPerEngine:
		m.startOnEngine(e, r)
	default:
		e.queue = append(e.queue, r)
	}
}

// killEngines fails all requests on all engines and empties the prefix caches.
func (m *poolModel) killEngines() {
	for _, e := range m.engines {
		lost := slices.Concat(e.active, e.queue)
		e.deaths++
		e.running, e.active, e.queue, e.prefillFreeAt = 0, nil, nil, 0
		e.cacheOrder, e.cacheElements = list.New(), map[uint64]*list.Element{}
		for _, r := range lost {
			r.failKind = endpoint.FailConnectionLost
			m.schedule(m.networkDelay(r), func() { m.router.failed(m, r) })
		}
	}
}

// startOnEngine takes a slot and schedules the first token after the prefill of earlier prompts and of the tokens of this
// prompt that are not cached.
func (m *poolModel) startOnEngine(e *poolEngine, r *poolRequest) {
	e.running++
	e.active = append(e.active, r)
	deaths := e.deaths
	tokens := r.suffixTokens
	if r.prefixCached = m.lookUpPrefix(e, r.prefix); !r.prefixCached {
		tokens += float64(m.settings.PrefixTokens)
	}
	m.result.recordStart(r)
	start := max(m.now, e.prefillFreeAt)
	e.prefillFreeAt = start + time.Duration(tokens/m.settings.PrefillRate*float64(time.Second))
	perToken := m.settings.BaseTokenTime + time.Duration(e.running)*m.settings.TokenTimePerRequest
	m.schedule(e.prefillFreeAt-m.now+perToken, func() {
		if e.deaths == deaths {
			m.handleFirstToken(e, r, perToken)
		}
	})
}

// lookUpPrefix marks a prefix as most recently used, adds it if absent, and reports whether it was cached.
func (m *poolModel) lookUpPrefix(e *poolEngine, prefix uint64) bool {
	if el, ok := e.cacheElements[prefix]; ok {
		e.cacheOrder.MoveToFront(el)
		return true
	}
	e.cacheElements[prefix] = e.cacheOrder.PushFront(prefix)
	m.publishCacheEvent(e, prefix, false)
	if e.cacheOrder.Len() > m.settings.CachedPrefixes {
		old := e.cacheOrder.Remove(e.cacheOrder.Back()).(uint64)
		delete(e.cacheElements, old)
		m.publishCacheEvent(e, old, true)
	}
	return false
}

// publishCacheEvent delivers a cache event to the router after a delay, or drops it. The decision is a hash, so it does
// not depend on the order of other draws.
func (m *poolModel) publishCacheEvent(e *poolEngine, prefix uint64, evicted bool) {
	draw := float64(mixBits(prefix^uint64(m.now)^uint64(e.index))>>11) / (1 << 53)
	if draw < m.settings.CacheEventLoss {
		return
	}
	m.schedule(m.settings.CacheEventDelay, func() { m.router.cacheEvent(m, e.index, prefix, evicted) })
}

// handleFirstToken delivers the first token and schedules the end of the answer.
func (m *poolModel) handleFirstToken(e *poolEngine, r *poolRequest, perToken time.Duration) {
	if r.cancelled {
		m.releaseSlot(e, r)
		return
	}
	deaths := e.deaths
	m.schedule(m.networkDelay(r), func() {
		if e.deaths != deaths {
			return
		}
		if r.firstToken == 0 {
			r.firstToken = m.now
			m.result.recordFirstToken(r)
		}
		m.router.firstToken(m, r)
	})
	m.schedule(time.Duration(r.outputTokens*float64(perToken)), func() {
		if e.deaths == deaths {
			m.releaseSlot(e, r)
		}
	})
}

// releaseSlot frees the slot of a request and starts queued requests whose callers still wait.
func (m *poolModel) releaseSlot(e *poolEngine, r *poolRequest) {
	e.running--
	e.active = slices.DeleteFunc(e.active, func(o *poolRequest) bool { return o == r })
	m.schedule(m.networkDelay(r), func() { m.router.finished(m, r) })
	for len(e.queue) > 0 && e.running < m.settings.SlotsPerEngine {
		n := e.queue[0]
		e.queue = e.queue[1:]
		if n.cancelled {
			m.router.finished(m, n)
			continue
		}
		m.startOnEngine(e, n)
	}
}

// cancelOnTimeout cancels a request whose caller has no first token at the end of the caller timeout.
func (m *poolModel) cancelOnTimeout(r *poolRequest) {
	if r.firstToken == 0 && !r.cancelled {
		r.cancelled = true
		m.result.recordCancel(r)
	}
}
