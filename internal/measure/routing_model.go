package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// Parameters of the simulated engines. An engine generates one token for all running requests in each step, reads prompts
// one after the other and caches them. The values are of the order of a pool of large engines. The policies learn them
// only from answers.
const (
	routingEngineCount    = 8
	routingRouterCount    = 3
	routingSlotsPerEngine = 32
	routingQueueLimit     = 60
	routingArrivalTime    = 30 * time.Second
	faultStart            = 10 * time.Second
	faultDuration         = 6 * time.Second
	stepSeconds           = 0.007  // seconds per step
	stepSecondsPerRequest = 0.0002 // seconds that each running request adds to a step
	secondsPerPromptToken = 1.0 / 110_000
	tokensPerEvent        = 3
	promptCacheSize       = 160
	refusalSeconds        = 0.001 // time until a connection or a request is refused
	tooHardCredit         = 0.1   // factor on the credit if the request was too hard for its model
	lateCredit            = 0.3
)

// modelProfile describes a model.
type modelProfile struct {
	timeFactor float64 // on the time of a step and of reading a prompt
	cost       float64 // per 1,000 answer tokens; a prompt token costs a quarter of an answer token
	quality    float64 // highest difficulty that it answers well
}

var (
	modelProfiles = map[string]modelProfile{"small": {0.3, 0.02, 0.56}, "large": {3, 0.29, 1}}
	modelNames    = []string{"small", "large"}
)

// routingKind describes one kind of request.
type routingKind struct {
	name            string
	share           float64 // share of all requests
	ownTokens       int     // mean prompt tokens before scaling that no other request shares
	sharedTokens    int     // tokens shared by all requests with the same prompt index
	distinctPrompts int
	events          int           // per answer
	objective       time.Duration // for the time to the first event
	deadline        time.Duration
	credit          float64 // for a good answer within the objective
}

var routingKinds = []routingKind{
	{"report", 0.38, 2900, 6300, 300, 17, time.Second, 10 * time.Second, 3.4},
	{"summary", 0.48, 1800, 570, 250, 8, time.Second, 6 * time.Second, 1.8},
	{"answer", 0.14, 540, 170, 80, 93, 800 * time.Millisecond, 25 * time.Second, 1.2},
}

// routingRequest is a simulated request.
type routingRequest struct {
	requestKind  *routingKind
	organisation int
	router       int
	ownTokens    int
	prefix       []attributes.PromptPart
	difficulty   float64 // lowest quality of a model that answers it well
	noise        float64
	arrivedAt    time.Duration
	model        string
	attempts     int
	excluded     map[string]bool
	inFlight     *placement.InFlightRequest
	choice       placement.Choice
	attemptID    int // number of the current attempt; events of older ones are ignored
	done         bool
	firstEvent   time.Duration // time from arrival to the first event, or 0
	result       string
	answeredWell bool
	cost         float64
}

// routingEngine simulates one engine.
type routingEngine struct {
	routing.Endpoint
	running       int
	waiting       []*routingRequest
	prefillFreeAt time.Duration // when all prompts received so far are read
	promptCache   map[string]time.Duration
	timeFactor    float64
	failureShare  float64
	unresponsive  bool
	dead          bool
}

// routingSimulation simulates routers and engines in virtual time.
type routingSimulation struct {
	policy      routingPolicy
	pattern     routingPattern
	random      *rand.Rand
	now         time.Duration
	events      routingEvents
	lastSeq     int
	engines     []*routingEngine
	tables      []*placement.Table
	nextEngine  []int
	outstanding [][]int // indexed by router and engine
	requests    []*routingRequest
}

// routingEvent is a scheduled event.
type routingEvent struct {
	at     time.Duration
	seq    int
	action func()
}

// routingEvents is a heap of events, ordered by time and then by scheduling.
type routingEvents []routingEvent

func (q routingEvents) Len() int { return len(q) }

func (q routingEvents) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].seq < q[b].seq
}

func (q routingEvents) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

func (q *routingEvents) Push(x any) { *q = append(*q, x.(routingEvent)) }

func (q *routingEvents) Pop() any {
	l := *q
	e := l[len(l)-1]
	*q = l[:len(l)-1]
	return e
}

var routingEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (r *routingSimulation) wallTime() time.Time { return routingEpoch.Add(r.now) }

func (r *routingSimulation) schedule(d time.Duration, action func()) {
	r.lastSeq++
	heap.Push(&r.events, routingEvent{r.now + max(0, d), r.lastSeq, action})
}

func newRoutingSimulation(p routingPolicy, t routingPattern, rate float64, seed uint64) *routingSimulation {
	r := &routingSimulation{policy: p, pattern: t, random: rand.New(rand.NewPCG(seed, 7))}
	l := map[string][]routing.Endpoint{}
	for i := range routingEngineCount {
		e := &routingEngine{
			Endpoint:    routing.Endpoint{ID: fmt.Sprintf("engine-%d", i), Service: "pool", AvailabilityZone: "a", Slots: routingSlotsPerEngine},
			promptCache: map[string]time.Duration{}, timeFactor: 1,
		}
		r.engines = append(r.engines, e)
		l["pool"] = append(l["pool"], e.Endpoint)
	}
	for range routingRouterCount {
		t := placement.New(placement.DefaultSettings("a"))
		t.SetEndpoints(l)
		r.tables = append(r.tables, t)
		r.nextEngine = append(r.nextEngine, 0)
		r.outstanding = append(r.outstanding, make([]int, routingEngineCount))
	}
	r.drawArrivals(rate)
	if t.setFault != nil {
		r.schedule(faultStart, func() { t.setFault(r, true) })
		r.schedule(faultStart+faultDuration, func() { t.setFault(r, false) })
	}
	return r
}

// drawArrivals draws all requests before the simulation, so that every policy gets the same ones.
func (r *routingSimulation) drawArrivals(rate float64) {
	for at := time.Duration(0); at < routingArrivalTime; {
		x := 1.0
		inFault := at >= faultStart && at < faultStart+faultDuration
		if inFault && r.pattern.rateFactor > 0 {
			x = r.pattern.rateFactor
		}
		at += time.Duration(r.random.ExpFloat64() / (rate * x) * float64(time.Second))
		j := r.drawRequest(inFault)
		j.arrivedAt = at
		r.requests = append(r.requests, j)
		r.schedule(at, func() { r.sendAttempt(j) })
	}
}

func (r *routingSimulation) drawRequest(inFault bool) *routingRequest {
	k := &routingKinds[0]
	u := r.random.Float64()
	for i := range routingKinds {
		if u -= routingKinds[i].share; u < 0 {
			k = &routingKinds[i]
			break
		}
	}
	if inFault && r.pattern.dominantKind != "" && r.random.Float64() < 0.4 {
		for i := range routingKinds {
			if routingKinds[i].name == r.pattern.dominantKind {
				k = &routingKinds[i]
			}
		}
	}
	j := &routingRequest{requestKind: k, organisation: r.random.IntN(10), router: r.random.IntN(routingRouterCount), difficulty: r.random.Float64(), excluded: map[string]bool{}}
	if inFault && r.pattern.hotOrganisation && r.random.Float64() < 0.45 {
		j.organisation = 0
	}
	size := min(6, r.random.ExpFloat64()+0.2)
	j.ownTokens = int(float64(k.ownTokens) * size)
	promptIndex := r.random.IntN(k.distinctPrompts)
	if inFault && r.pattern.hotPrompt && r.random.Float64() < 0.3 {
		promptIndex = 0
	}
	j.prefix = []attributes.PromptPart{{ID: fmt.Sprintf("%s-%d", k.name, promptIndex), Tokens: k.sharedTokens}, {ID: "own", Tokens: j.ownTokens}}
	j.noise = r.random.NormFloat64() * 0.12
	return j
}

func (j *routingRequest) cacheKey(model string) string { return model + j.prefix[0].ID }

func (j *routingRequest) placementRequest() placement.Request {
	return placement.Request{
		Service: "pool", Model: j.model, PromptTokens: j.ownTokens + j.requestKind.sharedTokens, Prefix: j.prefix, BodyBytes: 2 * (j.ownTokens + j.requestKind.sharedTokens), ExcludedEndpoints: j.excluded,
	}
}

// sendAttempt starts the next attempt of a request, or finishes it if no attempt is possible.
func (r *routingSimulation) sendAttempt(j *routingRequest) {
	if j.done {
		return
	}
	if r.now >= j.arrivedAt+j.requestKind.deadline || j.attempts >= maxRoutingAttempts {
		r.finish(j, "failed")
		return
	}
	if j.model == "" {
		j.model = r.policy.initialModel()
	}
	i, ok := r.policy.chooseEngine(r, j)
	if !ok {
		r.finish(j, "refused")
		return
	}
	j.attemptID++
	attempt, e := j.attemptID, r.engines[i]
	r.outstanding[j.router][i]++
	if e.dead {
		r.schedule(time.Duration(refusalSeconds*float64(time.Second)), func() { r.handleFailedAttempt(j, i, true) })
		return
	}
	j.attempts++
	if d := r.policy.answerTimeout(j); d > 0 && j.attempts < maxRoutingAttempts {
		r.schedule(d, func() {
			if !j.done && j.attemptID == attempt && j.firstEvent == 0 {
				r.releaseSlot(j, e)
				r.handleFailedAttempt(j, i, false)
			}
		})
	}
	r.schedule(j.arrivedAt+j.requestKind.deadline-r.now, func() {
		if !j.done && j.attemptID == attempt {
			r.releaseSlot(j, e)
			r.finish(j, "failed")
		}
	})
	if e.unresponsive {
		return
	}
	if e.running >= routingSlotsPerEngine {
		if len(e.waiting) >= routingQueueLimit {
			r.schedule(time.Duration(refusalSeconds*float64(time.Second)), func() { r.handleFailedAttempt(j, i, false) })
			return
		}
		e.waiting = append(e.waiting, j)
		return
	}
	r.startOnEngine(j, i, e)
}

const maxRoutingAttempts = 3

// startOnEngine takes a slot and schedules the first event of the answer.
func (r *routingSimulation) startOnEngine(j *routingRequest, i int, e *routingEngine) {
	e.running++
	m, attempt := modelProfiles[j.model], j.attemptID
	tokens := j.ownTokens
	if _, ok := e.promptCache[j.cacheKey(j.model)]; !ok {
		tokens += j.requestKind.sharedTokens
	}
	e.cachePrompt(j.cacheKey(j.model), r.now)
	read := time.Duration(float64(tokens) * secondsPerPromptToken * m.timeFactor * e.timeFactor * float64(time.Second))
	e.prefillFreeAt = max(e.prefillFreeAt, r.now) + read
	step := time.Duration((stepSeconds + stepSecondsPerRequest*float64(e.running)) * m.timeFactor * e.timeFactor * float64(time.Second))
	fails := r.random.Float64() < e.failureShare
	j.cost += (float64(j.ownTokens+j.requestKind.sharedTokens)/4 + float64(j.requestKind.events*tokensPerEvent)) * m.cost / 1000
	r.schedule(e.prefillFreeAt-r.now+step, func() {
		if j.done || j.attemptID != attempt {
			return
		}
		if e.dead || fails {
			r.releaseSlot(j, e)
			r.handleFailedAttempt(j, i, e.dead)
			return
		}
		r.handleFirstEvent(j, i, e, step)
	})
}

// handleFirstEvent escalates the request to the large model or accepts the answer and schedules its end.
func (r *routingSimulation) handleFirstEvent(j *routingRequest, i int, e *routingEngine, step time.Duration) {
	m, attempt := modelProfiles[j.model], j.attemptID
	confidence := int(min(max(100*(m.quality-j.difficulty+j.noise+0.5), 0), 100))
	if r.policy.escalates(r, j, i, confidence) {
		r.releaseSlot(j, e)
		r.endAttempt(j, i, false)
		j.model = "large"
		r.sendAttempt(j)
		return
	}
	j.firstEvent = r.now - j.arrivedAt
	j.answeredWell = j.difficulty <= m.quality
	r.schedule(time.Duration(j.requestKind.events*tokensPerEvent)*step, func() {
		if j.done || j.attemptID != attempt {
			return
		}
		r.releaseSlot(j, e)
		if e.dead {
			r.handleFailedAttempt(j, i, true)
			return
		}
		r.endAttempt(j, i, true)
		r.finish(j, "served")
	})
}

// releaseSlot removes a request from the queue of its engine, or frees its slot and starts the next queued request.
func (r *routingSimulation) releaseSlot(j *routingRequest, e *routingEngine) {
	for k, w := range e.waiting {
		if w == j {
			e.waiting = append(e.waiting[:k:k], e.waiting[k+1:]...)
			return
		}
	}
	if e.unresponsive || e.running == 0 {
		return
	}
	e.running--
	if len(e.waiting) > 0 {
		n := e.waiting[0]
		e.waiting = e.waiting[1:]
		for i := range r.engines {
			if r.engines[i] == e {
				r.startOnEngine(n, i, e)
			}
		}
	}
}

func (r *routingSimulation) endAttempt(j *routingRequest, i int, whole bool) {
	r.outstanding[j.router][i]--
	r.policy.recordEnd(r, j, i, whole)
}

// handleFailedAttempt excludes the engine and sends the request again. An engine that died before the first event costs
// no attempt.
func (r *routingSimulation) handleFailedAttempt(j *routingRequest, i int, dead bool) {
	r.outstanding[j.router][i]--
	r.policy.recordFailure(r, j, i, dead)
	j.excluded[r.engines[i].ID] = true
	if dead && j.firstEvent == 0 {
		j.attempts = max(0, j.attempts-1)
	}
	if len(j.excluded) >= routingEngineCount {
		r.finish(j, "failed")
		return
	}
	j.attemptID++
	r.sendAttempt(j)
}

func (r *routingSimulation) finish(j *routingRequest, result string) { j.done, j.result = true, result }

// cachePrompt caches a prompt and evicts the least recently used one if the cache is full.
func (e *routingEngine) cachePrompt(key string, now time.Duration) {
	e.promptCache[key] = now
	if len(e.promptCache) <= promptCacheSize {
		return
	}
	oldest := key
	for k, t := range e.promptCache {
		if t < e.promptCache[oldest] || t == e.promptCache[oldest] && k < oldest {
			oldest = k
		}
	}
	delete(e.promptCache, oldest)
}

func (r *routingSimulation) simulate() *routingSimulation {
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(routingEvent)
		r.now = e.at
		e.action()
	}
	return r
}
