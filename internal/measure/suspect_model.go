package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
)

// suspectRates are the times of the model.
var suspectRates = struct {
	rate                                         float64 // innocent requests per second
	service, crash, restart, resend, wait, again time.Duration
	warm, giveUp                                 time.Duration
}{
	rate: 60, service: 2700 * time.Millisecond, crash: time.Second, restart: 30 * time.Second, resend: 2 * time.Second,
	wait: 50 * time.Millisecond, again: 20 * time.Millisecond, warm: 20 * time.Second, giveUp: 30 * time.Second,
}

const (
	suspectEngines   = 18
	suspectInstances = 9
	suspectAttempts  = 4
	poisonContent    = suspect.ContentHash(1)
)

// suspectModel runs innocent and poison requests on engines in virtual time.
type suspectModel struct {
	settings  suspect.Settings
	defence   bool
	gossip    time.Duration // delay to peers; negative means none
	random    *rand.Rand
	timers    poolTimers
	seq       int
	now       time.Duration
	end       time.Duration
	engines   []*suspectEngine
	registers []*suspect.Registry
	next      suspect.ContentHash
	result    suspectResult
}

type suspectResult struct {
	lost, poisonRuns, poisonRefused int
	innocent, reruns                int
	innocentLost, innocentRefused   int
	longest                         time.Duration // from a death to the start of the rerun
}

type suspectEngine struct {
	id      string
	alive   bool
	deaths  int
	running []*suspectRequest
}

type suspectRequest struct {
	content  suspect.ContentHash
	instance int
	attempts int
	alone    bool
	waiting  time.Duration // since when it waits for an endpoint
	died     bool          // an endpoint died under it
}

func newSuspectModel(seed uint64, gossip time.Duration) *suspectModel {
	m := &suspectModel{
		settings: suspect.DefaultSettings(""), defence: true, gossip: gossip,
		random: rand.New(rand.NewPCG(seed, 4)), next: poisonContent + 1,
	}
	for i := range suspectEngines {
		m.engines = append(m.engines, &suspectEngine{id: fmt.Sprintf("engine-%02d", i), alive: true})
	}
	return m
}

// start makes the registers; run does so when nobody did before.
func (m *suspectModel) start() {
	for i := range suspectInstances {
		s := m.settings
		s.Instance = fmt.Sprintf("instance-%d", i)
		m.registers = append(m.registers, suspect.New(s))
	}
}

func (m *suspectModel) run(length time.Duration) *suspectModel {
	if m.registers == nil {
		m.start()
	}
	m.end = length
	m.after(0, m.arrive)
	for len(m.timers) > 0 {
		t := heap.Pop(&m.timers).(poolTimer)
		if t.at > m.end+suspectRates.giveUp {
			break
		}
		m.now = t.at
		t.do()
	}
	return m
}

func (m *suspectModel) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.timers, poolTimer{m.now + d, m.seq, do})
}

func (m *suspectModel) time() time.Time { return virtualStart.Add(m.now) }

func (m *suspectModel) arrive() {
	if m.now > m.end {
		return
	}
	m.after(time.Duration(m.random.ExpFloat64()/suspectRates.rate*float64(time.Second)), m.arrive)
	m.result.innocent++
	m.next++
	m.try(&suspectRequest{content: m.next, instance: m.random.IntN(suspectInstances), waiting: m.now})
}

// poison sends the poison content to any instance under a new key; its caller sends it again after each failure.
func (m *suspectModel) poison() {
	if m.now > m.end {
		return
	}
	m.try(&suspectRequest{content: poisonContent, instance: m.random.IntN(suspectInstances), waiting: m.now})
}

// try starts an attempt, refuses the request or waits for a lone endpoint.
func (m *suspectModel) try(r *suspectRequest) {
	verdict := suspect.RunAnywhere
	if m.defence {
		verdict = m.registers[r.instance].Verdict(m.time(), r.content)
	}
	var e *suspectEngine
	switch verdict {
	case suspect.Refuse:
		m.refuse(r)
		return
	case suspect.RunExclusively:
		e = m.lone(r)
	default:
		e = m.any()
	}
	switch {
	case e != nil && r.alone:
		m.after(m.settings.ClaimDelay, func() { m.confirm(e, r) })
	case e != nil:
		m.begin(e, r)
	case m.now-r.waiting > suspectRates.giveUp:
		m.lose(r)
	default:
		m.after(suspectRates.wait, func() { m.try(r) })
	}
}

func (m *suspectModel) any() *suspectEngine {
	at := m.random.IntN(len(m.engines))
	for i := range m.engines {
		if e := m.engines[(at+i)%len(m.engines)]; e.alive {
			return e
		}
	}
	return nil
}

// lone returns an engine without another suspect; the emptiest one, where a crash hurts the fewest others.
func (m *suspectModel) lone(r *suspectRequest) *suspectEngine {
	reg := m.registers[r.instance]
	var best *suspectEngine
	for _, e := range m.engines {
		if e.alive && !reg.HasLease(m.time(), e.id) && (best == nil || len(e.running) < len(best.running)) {
			best = e
		}
	}
	if best == nil || !reg.AcquireLease(m.time(), r.content, best.id) {
		return nil
	}
	r.alone = true
	m.spread(r.instance)
	return best
}

// confirm starts a suspect on the engine that it claimed, or tries again.
func (m *suspectModel) confirm(e *suspectEngine, r *suspectRequest) {
	ok := m.registers[r.instance].ConfirmLease(m.time(), r.content)
	if ok && !e.alive {
		m.registers[r.instance].ReleaseLease(m.time(), r.content, false)
		ok = false
	}
	m.spread(r.instance)
	if !ok {
		r.alone = false
		m.try(r)
		return
	}
	m.begin(e, r)
}

func (m *suspectModel) begin(e *suspectEngine, r *suspectRequest) {
	if r.died {
		m.result.longest = max(m.result.longest, m.now-r.waiting)
	}
	r.attempts++
	e.running = append(e.running, r)
	deaths := e.deaths
	if r.content == poisonContent {
		m.result.poisonRuns++
		m.after(suspectRates.crash, func() {
			if e.deaths == deaths {
				m.die(e)
			}
		})
		return
	}
	m.after(time.Duration(m.random.ExpFloat64()*float64(suspectRates.service)), func() {
		if e.deaths == deaths {
			e.running = slices.DeleteFunc(e.running, func(o *suspectRequest) bool { return o == r })
			m.release(r, true)
		}
	})
}

func (m *suspectModel) release(r *suspectRequest, finished bool) {
	if r.alone {
		r.alone = false
		m.registers[r.instance].ReleaseLease(m.time(), r.content, finished)
		m.spread(r.instance)
	}
}

// die ends an engine; each instance learns of it through the connections of its own requests.
func (m *suspectModel) die(e *suspectEngine) {
	l := e.running
	e.running, e.alive = nil, false
	e.deaths++
	m.result.lost++
	m.after(suspectRates.restart, func() { e.alive = true })
	for _, r := range l {
		m.registers[r.instance].RecordDeath(m.time(), e.id, r.content)
		m.release(r, false)
	}
	for i := range m.registers {
		m.spread(i)
	}
	for _, r := range l {
		r.died, r.waiting = true, m.now
		if r.attempts >= suspectAttempts {
			m.lose(r)
			continue
		}
		if r.content != poisonContent {
			m.result.reruns++
		}
		m.after(suspectRates.again, func() { m.try(r) })
	}
}

func (m *suspectModel) lose(r *suspectRequest) {
	if r.content != poisonContent {
		m.result.innocentLost++
		return
	}
	m.sendAgain()
}

func (m *suspectModel) refuse(r *suspectRequest) {
	if r.content != poisonContent {
		m.result.innocentRefused++
		return
	}
	m.result.poisonRefused++
	m.sendAgain()
}

func (m *suspectModel) sendAgain() {
	m.after(suspectRates.resend, m.poison)
}

// spread tells the peers what an instance knows.
func (m *suspectModel) spread(from int) {
	if m.gossip < 0 || !m.defence {
		return
	}
	p := m.registers[from].Report()
	m.after(m.gossip, func() {
		for i, r := range m.registers {
			if i != from {
				r.MergeReport(m.time(), p)
			}
		}
	})
}
