package measure

import (
	"container/heap"
	"fmt"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
)

// cascadeStep is a step of a plan with the index of its version.
type cascadeStep struct {
	version      int
	rate, sample bool
}

// cascadePolicy decides which versions a request runs on and may learn from outcomes.
type cascadePolicy interface {
	plan(now time.Duration, q *cascadeRequest, blind bool) []cascadeStep
	observe(now time.Duration, o cascadeOutcome)
}

// cascadeOutcome is what a policy sees of a step: a complete answer, a rating, or both.
type cascadeOutcome struct {
	q           *cascadeRequest
	version     int
	after       string
	done, rated bool
	latency     time.Duration
	rating      time.Duration
}

// cascadeCall is a step under way.
type cascadeCall struct {
	q     *cascadeRequest
	steps []cascadeStep
	at    int // step
	spent float64
	begun time.Duration // of the step
}

type cascadeEventKind int

const (
	cascadeArrival cascadeEventKind = iota
	cascadeAnswer
	cascadeRated
	cascadeLateRating
)

type cascadeEvent struct {
	at   time.Duration
	seq  int
	kind cascadeEventKind
	call cascadeCall
}

type cascadeEvents []cascadeEvent

func (l cascadeEvents) Len() int { return len(l) }
func (l cascadeEvents) Less(i, j int) bool {
	return l[i].at < l[j].at || (l[i].at == l[j].at && l[i].seq < l[j].seq)
}
func (l cascadeEvents) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *cascadeEvents) Push(x any)   { *l = append(*l, x.(cascadeEvent)) }
func (l *cascadeEvents) Pop() any {
	o := *l
	x := o[len(o)-1]
	*l = o[:len(o)-1]
	return x
}

// cascadePool is a version's slots as the times at which they become free.
type cascadePool []time.Duration

func (p cascadePool) Len() int           { return len(p) }
func (p cascadePool) Less(i, j int) bool { return p[i] < p[j] }
func (p cascadePool) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *cascadePool) Push(any)          {}
func (p *cascadePool) Pop() any          { return nil }

// cascadeResult sums the measured requests of a run.
type cascadeResult struct {
	count, good   int
	classCount    []int // by class and phase
	classGood     []int
	cost, seconds float64
	objective     float64
	latency       *hdr.Histogram // milliseconds
}

func (r *cascadeResult) perRequest() float64 { return r.cost / float64(r.count) }

// worst returns the least share of answers at quality over the classes in both phases.
func (r *cascadeResult) worst() float64 {
	w := 1.0
	for i, n := range r.classCount {
		if n > 0 {
			w = min(w, float64(r.classGood[i])/float64(n))
		}
	}
	return w
}

// cascadeRun is one policy's run through the requests in virtual time.
type cascadeRun struct {
	user   *cascadeUser
	kind   cascadeCase
	policy cascadePolicy
	events cascadeEvents
	pools  [cascadeVersions]cascadePool
	seq    int
	result cascadeResult
}

func runCascade(u *cascadeUser, c cascadeCase, l []cascadeRequest, p cascadePolicy) (*cascadeResult, error) {
	r := &cascadeRun{user: u, kind: c, policy: p}
	r.result = cascadeResult{
		classCount: make([]int, 2*len(u.classes)), classGood: make([]int, 2*len(u.classes)),
		latency: hdr.New(1, int64(24*time.Hour/time.Millisecond), 3),
	}
	for i := range r.pools {
		r.pools[i] = make(cascadePool, u.versions[i].slots)
	}
	for next := 0; next < len(l) || len(r.events) > 0; {
		if next < len(l) && (len(r.events) == 0 || l[next].at <= r.events[0].at) {
			r.arrive(&l[next])
			next++
			continue
		}
		if err := r.handle(heap.Pop(&r.events).(cascadeEvent)); err != nil {
			return nil, err
		}
	}
	return &r.result, nil
}

func (r *cascadeRun) blind(q *cascadeRequest) bool { return r.kind.blind && q.phase == 1 }

func (r *cascadeRun) arrive(q *cascadeRequest) {
	r.start(q.at, cascadeCall{q: q, steps: r.policy.plan(q.at, q, r.blind(q))})
}

// start queues a call at its version's pool.
func (r *cascadeRun) start(now time.Duration, c cascadeCall) {
	v := c.steps[c.at].version
	pool := &r.pools[v]
	begin := max(now, (*pool)[0])
	end := begin + r.user.versions[v].service(c.q, c.q.jitter[v])
	(*pool)[0] = end
	heap.Fix(pool, 0)
	c.begun = now
	r.push(end, cascadeAnswer, c)
}

func (r *cascadeRun) push(at time.Duration, k cascadeEventKind, c cascadeCall) {
	r.seq++
	heap.Push(&r.events, cascadeEvent{at, r.seq, k, c})
}

func (r *cascadeRun) handle(e cascadeEvent) error {
	c := e.call
	s := c.steps[c.at]
	o := cascadeOutcome{q: c.q, version: s.version, after: r.after(&c), rating: c.q.rating[s.version]}
	switch e.kind {
	case cascadeAnswer:
		c.spent += r.user.versions[s.version].cost(c.q)
		o.done, o.latency = true, e.at-c.begun
		r.policy.observe(e.at, o)
		if s.rate {
			r.push(e.at+o.rating, cascadeRated, c)
			return nil
		}
		if s.sample {
			r.push(e.at+o.rating, cascadeLateRating, c)
		}
		return r.deliver(e.at, c)
	case cascadeRated:
		o.rated = true
		r.policy.observe(e.at, o)
		if c.q.pass[s.version] || c.at == len(c.steps)-1 {
			return r.deliver(e.at, c)
		}
		c.at++
		r.start(e.at, c)
	case cascadeLateRating:
		o.rated = true
		r.policy.observe(e.at, o)
	}
	return nil
}

// after names what was tried before a step.
func (r *cascadeRun) after(c *cascadeCall) string {
	switch c.at {
	case 0:
		return ""
	case 1:
		return r.user.versions[c.steps[0].version].name
	}
	return cascade.MultiplePredecessors
}

func (r *cascadeRun) deliver(now time.Duration, c cascadeCall) error {
	if !c.q.measured {
		return nil
	}
	t, d := &r.result, now-c.q.at
	t.count++
	t.classCount[2*c.q.class+c.q.phase]++
	if c.q.pass[c.steps[c.at].version] {
		t.good++
		t.classGood[2*c.q.class+c.q.phase]++
	}
	t.cost += c.spent
	t.seconds += d.Seconds()
	t.objective += r.user.weights.Cost*c.spent + r.user.weights.Latency*d.Seconds()
	if err := t.latency.RecordValue(int64(d / time.Millisecond)); err != nil {
		return fmt.Errorf("record latency: %w", err)
	}
	return nil
}
