package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/configuration"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
)

// The model of the engines: a step for all running requests, prompts that are read one after the other, a memory of
// prompts, models of different pace, price and quality. Its numbers are of the order of a pool of large engines; the
// policies learn them from answers only.
const (
	routingEngines = 8
	routingRouters = 3
	routingSlots   = 32
	routingQueue   = 60
	routingLength  = 30 * time.Second
	faultFrom      = 10 * time.Second
	faultFor       = 6 * time.Second
	stepTime       = 0.007  // seconds for a step of all running requests
	stepPerRunning = 0.0002 // seconds that each running request adds
	perPromptToken = 1.0 / 110_000
	eventTokens    = 3
	memoryPrompts  = 160
	deadAnswer     = 0.001 // seconds until a connection is refused
	poorWorth      = 0.1   // of an answer that was too hard for its model
	lateWorth      = 0.3
)

type routingModel struct {
	pace, cost, quality float64
}

var (
	routingModels = map[string]routingModel{"small": {0.3, 0.02, 0.56}, "large": {3, 0.29, 1}}
	modelNames    = []string{"small", "large"}
)

// routingKind is a kind of request.
type routingKind struct {
	name      string
	rate      float64 // of all requests
	prompt    int     // tokens of its own
	shared    int     // tokens shared with requests about the same thing
	things    int
	events    int
	objective time.Duration
	deadline  time.Duration
	worth     float64
}

var routingKinds = []routingKind{
	{"report", 0.38, 2900, 6300, 300, 17, time.Second, 10 * time.Second, 3.4},
	{"summary", 0.48, 1800, 570, 250, 8, time.Second, 6 * time.Second, 1.8},
	{"answer", 0.14, 540, 170, 80, 93, 800 * time.Millisecond, 25 * time.Second, 1.2},
}

// job is a request under way.
type job struct {
	kind         *routingKind
	organisation int
	router       int
	prompt       int
	prefix       []attributes.PromptPart
	hard         float64 // a model with at least this quality answers it well
	noise        float64
	start        time.Duration
	model        string
	sends        int
	avoid        map[string]bool
	token        *placement.InFlightRequest
	choice       placement.Choice
	generation   int // of the current send; older events are stale
	done         bool
	first        time.Duration
	result       string
	good         bool
	cost         float64
}

// engineModel is one engine.
type engineModel struct {
	configuration.Endpoint
	running int
	waiting []*job
	free    time.Duration // when the prompts sent so far are read
	memory  map[string]time.Duration
	slow    float64
	fails   float64
	mute    bool
	dead    bool
}

// routing is one simulated history.
type routing struct {
	policy  routingPolicy
	pattern routingPattern
	random  *rand.Rand
	now     time.Duration
	events  eventQueue
	order   int
	engines []*engineModel
	tables  []*placement.Table
	turn    []int
	open    [][]int // requests of each router at each engine
	jobs    []*job
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].order < q[b].order
}

func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	l := *q
	e := l[len(l)-1]
	*q = l[:len(l)-1]
	return e
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (r *routing) clock() time.Time { return epoch.Add(r.now) }

func (r *routing) after(d time.Duration, f func()) {
	r.order++
	heap.Push(&r.events, event{r.now + max(0, d), r.order, f})
}

func newRouting(p routingPolicy, t routingPattern, rate float64, seed uint64) *routing {
	r := &routing{policy: p, pattern: t, random: rand.New(rand.NewPCG(seed, 7))}
	l := map[string][]configuration.Endpoint{}
	for i := range routingEngines {
		e := &engineModel{
			Endpoint: configuration.Endpoint{ID: fmt.Sprintf("engine-%d", i), Service: "pool", AvailabilityZone: "a", Slots: routingSlots},
			memory:   map[string]time.Duration{}, slow: 1,
		}
		r.engines = append(r.engines, e)
		l["pool"] = append(l["pool"], e.Endpoint)
	}
	for range routingRouters {
		t := placement.New(placement.DefaultSettings("a"))
		t.SetEndpoints(l)
		r.tables = append(r.tables, t)
		r.turn = append(r.turn, 0)
		r.open = append(r.open, make([]int, routingEngines))
	}
	r.arrivals(rate)
	if t.strike != nil {
		r.after(faultFrom, func() { t.strike(r, true) })
		r.after(faultFrom+faultFor, func() { t.strike(r, false) })
	}
	return r
}

// arrivals draws all requests beforehand, so that every policy gets the same ones.
func (r *routing) arrivals(rate float64) {
	for at := time.Duration(0); at < routingLength; {
		x := 1.0
		struck := at >= faultFrom && at < faultFrom+faultFor
		if struck && r.pattern.burst > 0 {
			x = r.pattern.burst
		}
		at += time.Duration(r.random.ExpFloat64() / (rate * x) * float64(time.Second))
		j := r.draw(struck)
		j.start = at
		r.jobs = append(r.jobs, j)
		r.after(at, func() { r.send(j) })
	}
}

func (r *routing) draw(struck bool) *job {
	k := &routingKinds[0]
	u := r.random.Float64()
	for i := range routingKinds {
		if u -= routingKinds[i].rate; u < 0 {
			k = &routingKinds[i]
			break
		}
	}
	if struck && r.pattern.kind != "" && r.random.Float64() < 0.4 {
		for i := range routingKinds {
			if routingKinds[i].name == r.pattern.kind {
				k = &routingKinds[i]
			}
		}
	}
	j := &job{kind: k, organisation: r.random.IntN(10), router: r.random.IntN(routingRouters), hard: r.random.Float64(), avoid: map[string]bool{}}
	if struck && r.pattern.organisation && r.random.Float64() < 0.45 {
		j.organisation = 0
	}
	size := min(6, r.random.ExpFloat64()+0.2)
	j.prompt = int(float64(k.prompt) * size)
	thing := r.random.IntN(k.things)
	if struck && r.pattern.thing && r.random.Float64() < 0.3 {
		thing = 0
	}
	j.prefix = []attributes.PromptPart{{ID: fmt.Sprintf("%s-%d", k.name, thing), Tokens: k.shared}, {ID: "own", Tokens: j.prompt}}
	j.noise = r.random.NormFloat64() * 0.12
	return j
}

func (j *job) key(model string) string { return model + j.prefix[0].ID }

func (j *job) request() placement.Request {
	return placement.Request{
		Service: "pool", Model: j.model, PromptTokens: j.prompt + j.kind.shared, Prefix: j.prefix, BodyBytes: 2 * (j.prompt + j.kind.shared), ExcludedEndpoints: j.avoid,
	}
}

// send makes the next send of a request, or ends it.
func (r *routing) send(j *job) {
	if j.done {
		return
	}
	if r.now >= j.start+j.kind.deadline || j.sends >= maxSends {
		r.end(j, "failed")
		return
	}
	if j.model == "" {
		j.model = r.policy.start()
	}
	i, ok := r.policy.choose(r, j)
	if !ok {
		r.end(j, "refused")
		return
	}
	j.generation++
	g, e := j.generation, r.engines[i]
	r.open[j.router][i]++
	if e.dead {
		r.after(time.Duration(deadAnswer*float64(time.Second)), func() { r.failed(j, i, true) })
		return
	}
	j.sends++
	if d := r.policy.silence(j); d > 0 && j.sends < maxSends {
		r.after(d, func() {
			if !j.done && j.generation == g && j.first == 0 {
				r.leave(j, e)
				r.failed(j, i, false)
			}
		})
	}
	r.after(j.start+j.kind.deadline-r.now, func() {
		if !j.done && j.generation == g {
			r.leave(j, e)
			r.end(j, "failed")
		}
	})
	if e.mute {
		return
	}
	if e.running >= routingSlots {
		if len(e.waiting) >= routingQueue {
			r.after(time.Duration(deadAnswer*float64(time.Second)), func() { r.failed(j, i, false) })
			return
		}
		e.waiting = append(e.waiting, j)
		return
	}
	r.run(j, i, e)
}

const maxSends = 3

// run begins a request at an engine.
func (r *routing) run(j *job, i int, e *engineModel) {
	e.running++
	m, g := routingModels[j.model], j.generation
	tokens := j.prompt
	if _, ok := e.memory[j.key(j.model)]; !ok {
		tokens += j.kind.shared
	}
	e.remember(j.key(j.model), r.now)
	read := time.Duration(float64(tokens) * perPromptToken * m.pace * e.slow * float64(time.Second))
	e.free = max(e.free, r.now) + read
	step := time.Duration((stepTime + stepPerRunning*float64(e.running)) * m.pace * e.slow * float64(time.Second))
	fails := r.random.Float64() < e.fails
	j.cost += (float64(j.prompt+j.kind.shared)/4 + float64(j.kind.events*eventTokens)) * m.cost / 1000
	r.after(e.free-r.now+step, func() {
		if j.done || j.generation != g {
			return
		}
		if e.dead || fails {
			r.leave(j, e)
			r.failed(j, i, e.dead)
			return
		}
		r.head(j, i, e, step)
	})
}

// head handles the first event of an answer.
func (r *routing) head(j *job, i int, e *engineModel, step time.Duration) {
	m, g := routingModels[j.model], j.generation
	confidence := int(min(max(100*(m.quality-j.hard+j.noise+0.5), 0), 100))
	if r.policy.larger(r, j, i, confidence) {
		r.leave(j, e)
		r.closed(j, i, false)
		j.model = "large"
		r.send(j)
		return
	}
	j.first = r.now - j.start
	j.good = j.hard <= m.quality
	r.after(time.Duration(j.kind.events*eventTokens)*step, func() {
		if j.done || j.generation != g {
			return
		}
		r.leave(j, e)
		if e.dead {
			r.failed(j, i, true)
			return
		}
		r.closed(j, i, true)
		r.end(j, "served")
	})
}

// leave frees the slot or the place in the queue of a request.
func (r *routing) leave(j *job, e *engineModel) {
	for k, w := range e.waiting {
		if w == j {
			e.waiting = append(e.waiting[:k:k], e.waiting[k+1:]...)
			return
		}
	}
	if e.mute || e.running == 0 {
		return
	}
	e.running--
	if len(e.waiting) > 0 {
		n := e.waiting[0]
		e.waiting = e.waiting[1:]
		for i := range r.engines {
			if r.engines[i] == e {
				r.run(n, i, e)
			}
		}
	}
}

func (r *routing) closed(j *job, i int, whole bool) {
	r.open[j.router][i]--
	r.policy.closed(r, j, i, whole)
}

// failed handles a send without a whole answer.
func (r *routing) failed(j *job, i int, dead bool) {
	r.open[j.router][i]--
	r.policy.failed(r, j, i, dead)
	j.avoid[r.engines[i].ID] = true
	if dead && j.first == 0 {
		j.sends = max(0, j.sends-1)
	}
	if len(j.avoid) >= routingEngines {
		r.end(j, "failed")
		return
	}
	j.generation++
	r.send(j)
}

func (r *routing) end(j *job, result string) { j.done, j.result = true, result }

// remember keeps a prompt and drops the one that was used longest ago.
func (e *engineModel) remember(key string, now time.Duration) {
	e.memory[key] = now
	if len(e.memory) <= memoryPrompts {
		return
	}
	oldest := key
	for k, t := range e.memory {
		if t < e.memory[oldest] || t == e.memory[oldest] && k < oldest {
			oldest = k
		}
	}
	delete(e.memory, oldest)
}

func (r *routing) play() *routing {
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
	return r
}
