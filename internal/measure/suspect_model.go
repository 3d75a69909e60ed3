package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
)

// suspectParameters holds the arrival rate and the times of the model.
var suspectParameters = struct {
	rate                                                                                    float64 // innocent requests per second
	meanServiceTime, crashDelay, restartTime, resendDelay, endpointPollInterval, retryDelay time.Duration
	warmUp, endpointWaitLimit                                                               time.Duration
}{
	rate: 60, meanServiceTime: 2700 * time.Millisecond, crashDelay: time.Second, restartTime: 30 * time.Second, resendDelay: 2 * time.Second,
	endpointPollInterval: 50 * time.Millisecond, retryDelay: 20 * time.Millisecond, warmUp: 20 * time.Second, endpointWaitLimit: 30 * time.Second,
}

const (
	suspectEngines   = 18
	suspectInstances = 9
	suspectAttempts  = 4
	poisonContent    = suspect.ContentHash(1)
)

// suspectModel runs innocent and poison requests on engines in virtual time.
type suspectModel struct {
	settings    suspect.Settings
	defence     bool
	gossipDelay time.Duration // delay until peers get a report; negative disables reports
	random      *rand.Rand
	timers      poolTimers
	seq         int
	now         time.Duration
	end         time.Duration
	engines     []*suspectEngine
	registries  []*suspect.Registry
	lastContent suspect.ContentHash
	result      suspectResult
}

// suspectResult counts the events of one simulation.
type suspectResult struct {
	endpointsLost, poisonRuns, poisonRefused int
	innocent, reruns                         int
	innocentLost, innocentRefused            int
	longestRerunWait                         time.Duration // longest time from the death of an endpoint to the rerun of a request
}

// suspectEngine models an engine that may die and restart.
type suspectEngine struct {
	id      string
	alive   bool
	deaths  int
	running []*suspectRequest
}

// suspectRequest is an innocent request or one with the poison content.
type suspectRequest struct {
	content      suspect.ContentHash
	instance     int
	attempts     int
	holdsLease   bool
	waitingSince time.Duration // when it began to wait for an endpoint
	endpointDied bool          // an endpoint died while running it
}

func newSuspectModel(seed uint64, gossip time.Duration) *suspectModel {
	m := &suspectModel{
		settings: suspect.DefaultSettings(""), defence: true, gossipDelay: gossip,
		random: rand.New(rand.NewPCG(seed, 4)), lastContent: poisonContent + 1,
	}
	for i := range suspectEngines {
		m.engines = append(m.engines, &suspectEngine{id: fmt.Sprintf("engine-%02d", i), alive: true})
	}
	return m
}

// createRegistries creates the registry of each instance. simulate calls it if it was not called before.
func (m *suspectModel) createRegistries() {
	for i := range suspectInstances {
		s := m.settings
		s.Instance = fmt.Sprintf("instance-%d", i)
		m.registries = append(m.registries, suspect.New(s))
	}
}

func (m *suspectModel) simulate(duration time.Duration) *suspectModel {
	if m.registries == nil {
		m.createRegistries()
	}
	m.end = duration
	m.schedule(0, m.handleArrival)
	for len(m.timers) > 0 {
		t := heap.Pop(&m.timers).(poolTimer)
		if t.at > m.end+suspectParameters.endpointWaitLimit {
			break
		}
		m.now = t.at
		t.action()
	}
	return m
}

func (m *suspectModel) schedule(d time.Duration, action func()) {
	m.seq++
	heap.Push(&m.timers, poolTimer{m.now + d, m.seq, action})
}

func (m *suspectModel) wallTime() time.Time { return virtualStart.Add(m.now) }

func (m *suspectModel) handleArrival() {
	if m.now > m.end {
		return
	}
	m.schedule(time.Duration(m.random.ExpFloat64()/suspectParameters.rate*float64(time.Second)), m.handleArrival)
	m.result.innocent++
	m.lastContent++
	m.startAttempt(&suspectRequest{content: m.lastContent, instance: m.random.IntN(suspectInstances), waitingSince: m.now})
}

// sendPoison sends the poison content under a new key to a random instance. Its caller sends it again after each failure.
func (m *suspectModel) sendPoison() {
	if m.now > m.end {
		return
	}
	m.startAttempt(&suspectRequest{content: poisonContent, instance: m.random.IntN(suspectInstances), waitingSince: m.now})
}

// startAttempt starts an attempt, refuses the request or waits for an endpoint, as the registry decides.
func (m *suspectModel) startAttempt(r *suspectRequest) {
	verdict := suspect.RunAnywhere
	if m.defence {
		verdict = m.registries[r.instance].Verdict(m.wallTime(), r.content)
	}
	var e *suspectEngine
	switch verdict {
	case suspect.Refuse:
		m.refuseRequest(r)
		return
	case suspect.RunExclusively:
		e = m.leaseEngine(r)
	default:
		e = m.randomLiveEngine()
	}
	switch {
	case e != nil && r.holdsLease:
		m.schedule(m.settings.ClaimDelay, func() { m.confirmLease(e, r) })
	case e != nil:
		m.startOnEngine(e, r)
	case m.now-r.waitingSince > suspectParameters.endpointWaitLimit:
		m.recordLostRequest(r)
	default:
		m.schedule(suspectParameters.endpointPollInterval, func() { m.startAttempt(r) })
	}
}

func (m *suspectModel) randomLiveEngine() *suspectEngine {
	at := m.random.IntN(len(m.engines))
	for i := range m.engines {
		if e := m.engines[(at+i)%len(m.engines)]; e.alive {
			return e
		}
	}
	return nil
}

// leaseEngine leases the engine with the fewest requests among those without a lease, where a crash affects the fewest
// others. It returns nil if there is none.
func (m *suspectModel) leaseEngine(r *suspectRequest) *suspectEngine {
	reg := m.registries[r.instance]
	var best *suspectEngine
	for _, e := range m.engines {
		if e.alive && !reg.HasLease(m.wallTime(), e.id) && (best == nil || len(e.running) < len(best.running)) {
			best = e
		}
	}
	if best == nil || !reg.AcquireLease(m.wallTime(), r.content, best.id) {
		return nil
	}
	r.holdsLease = true
	m.gossipReport(r.instance)
	return best
}

// confirmLease starts a suspect request on its leased engine, or tries again if the lease was lost or the engine died.
func (m *suspectModel) confirmLease(e *suspectEngine, r *suspectRequest) {
	ok := m.registries[r.instance].ConfirmLease(m.wallTime(), r.content)
	if ok && !e.alive {
		m.registries[r.instance].ReleaseLease(m.wallTime(), r.content, false)
		ok = false
	}
	m.gossipReport(r.instance)
	if !ok {
		r.holdsLease = false
		m.startAttempt(r)
		return
	}
	m.startOnEngine(e, r)
}

func (m *suspectModel) startOnEngine(e *suspectEngine, r *suspectRequest) {
	if r.endpointDied {
		m.result.longestRerunWait = max(m.result.longestRerunWait, m.now-r.waitingSince)
	}
	r.attempts++
	e.running = append(e.running, r)
	deaths := e.deaths
	if r.content == poisonContent {
		m.result.poisonRuns++
		m.schedule(suspectParameters.crashDelay, func() {
			if e.deaths == deaths {
				m.killEngine(e)
			}
		})
		return
	}
	m.schedule(time.Duration(m.random.ExpFloat64()*float64(suspectParameters.meanServiceTime)), func() {
		if e.deaths == deaths {
			e.running = slices.DeleteFunc(e.running, func(o *suspectRequest) bool { return o == r })
			m.releaseLease(r, true)
		}
	})
}

func (m *suspectModel) releaseLease(r *suspectRequest, finished bool) {
	if r.holdsLease {
		r.holdsLease = false
		m.registries[r.instance].ReleaseLease(m.wallTime(), r.content, finished)
		m.gossipReport(r.instance)
	}
}

// killEngine fails the requests on an engine. An instance detects the death through the connections of
// its own requests.
func (m *suspectModel) killEngine(e *suspectEngine) {
	l := e.running
	e.running, e.alive = nil, false
	e.deaths++
	m.result.endpointsLost++
	m.schedule(suspectParameters.restartTime, func() { e.alive = true })
	for _, r := range l {
		m.registries[r.instance].RecordDeath(m.wallTime(), e.id, r.content)
		m.releaseLease(r, false)
	}
	for i := range m.registries {
		m.gossipReport(i)
	}
	for _, r := range l {
		r.endpointDied, r.waitingSince = true, m.now
		if r.attempts >= suspectAttempts {
			m.recordLostRequest(r)
			continue
		}
		if r.content != poisonContent {
			m.result.reruns++
		}
		m.schedule(suspectParameters.retryDelay, func() { m.startAttempt(r) })
	}
}

func (m *suspectModel) recordLostRequest(r *suspectRequest) {
	if r.content != poisonContent {
		m.result.innocentLost++
		return
	}
	m.resendPoison()
}

func (m *suspectModel) refuseRequest(r *suspectRequest) {
	if r.content != poisonContent {
		m.result.innocentRefused++
		return
	}
	m.result.poisonRefused++
	m.resendPoison()
}

func (m *suspectModel) resendPoison() {
	m.schedule(suspectParameters.resendDelay, m.sendPoison)
}

// gossipReport sends the report of an instance to its peers after the gossip delay.
func (m *suspectModel) gossipReport(from int) {
	if m.gossipDelay < 0 || !m.defence {
		return
	}
	p := m.registries[from].Report()
	m.schedule(m.gossipDelay, func() {
		for i, r := range m.registries {
			if i != from {
				r.MergeReport(m.wallTime(), p)
			}
		}
	})
}
