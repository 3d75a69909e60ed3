package measure

import (
	"container/heap"
	"fmt"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
)

// cascadeStep is one step of a plan. An answer is rated before delivery, after delivery or not at all.
type cascadeStep struct {
	version              int
	rateFirst, rateLater bool
}

// cascadePolicy plans the versions on which a request runs and may learn from the outcomes.
type cascadePolicy interface {
	plan(now time.Duration, q *cascadeRequest, ratingsUnavailable bool) []cascadeStep
	observe(now time.Duration, o cascadeOutcome)
}

// cascadeOutcome reports a completed step, its rating, or both to a policy.
type cascadeOutcome struct {
	q                *cascadeRequest
	version          int
	precedingVersion string
	done, rated      bool
	latency          time.Duration
	ratingTime       time.Duration
}

// cascadeCall is a request at its current step.
type cascadeCall struct {
	q         *cascadeRequest
	steps     []cascadeStep
	stepIndex int
	cost      float64
	stepStart time.Duration // when the step was queued
}

// cascadeEventKind tells what a scheduled cascadeEvent does.
type cascadeEventKind int

const (
	cascadeArrival cascadeEventKind = iota
	cascadeAnswered
	cascadeRated
	cascadeLateRating
)

// cascadeEvent is a scheduled event of a call.
type cascadeEvent struct {
	at   time.Duration
	seq  int
	kind cascadeEventKind
	call cascadeCall
}

// cascadeEvents is a heap of events, ordered by time and then by scheduling.
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

// cascadeSlots is a heap of the times at which the slots of a version become free.
type cascadeSlots []time.Duration

func (p cascadeSlots) Len() int           { return len(p) }
func (p cascadeSlots) Less(i, j int) bool { return p[i] < p[j] }
func (p cascadeSlots) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }

// Push does nothing, because the heap has a fixed size.
func (p *cascadeSlots) Push(any) {}

// Pop does nothing, because the heap has a fixed size.
func (p *cascadeSlots) Pop() any { return nil }

// cascadeResult sums up the measured requests of one simulation.
type cascadeResult struct {
	count, atQuality     int
	classCount           []int // indexed by 2*class + phase
	classAtQuality       []int
	cost, latencySeconds float64
	objective            float64
	latency              *hdr.Histogram // milliseconds
}

func (r *cascadeResult) costPerRequest() float64 { return r.cost / float64(r.count) }

// worstClassShare returns the lowest share of answers at quality over all classes and phases.
func (r *cascadeResult) worstClassShare() float64 {
	w := 1.0
	for i, n := range r.classCount {
		if n > 0 {
			w = min(w, float64(r.classAtQuality[i])/float64(n))
		}
	}
	return w
}

// cascadeSimulation runs one policy over the requests in virtual time.
type cascadeSimulation struct {
	workload   *cascadeWorkload
	conditions cascadeCase
	policy     cascadePolicy
	events     cascadeEvents
	slots      [cascadeVersions]cascadeSlots
	seq        int
	result     cascadeResult
}

// simulateCascade runs the requests through a policy and sums up the measured ones.
func simulateCascade(w *cascadeWorkload, c cascadeCase, l []cascadeRequest, p cascadePolicy) (*cascadeResult, error) {
	r := &cascadeSimulation{workload: w, conditions: c, policy: p}
	r.result = cascadeResult{
		classCount: make([]int, 2*len(w.classes)), classAtQuality: make([]int, 2*len(w.classes)),
		latency: hdr.New(1, int64(24*time.Hour/time.Millisecond), 3),
	}
	for i := range r.slots {
		r.slots[i] = make(cascadeSlots, w.versions[i].slots)
	}
	for next := 0; next < len(l) || len(r.events) > 0; {
		if next < len(l) && (len(r.events) == 0 || l[next].at <= r.events[0].at) {
			r.handleArrival(&l[next])
			next++
			continue
		}
		if err := r.handleEvent(heap.Pop(&r.events).(cascadeEvent)); err != nil {
			return nil, err
		}
	}
	return &r.result, nil
}

func (r *cascadeSimulation) ratingsUnavailable(q *cascadeRequest) bool {
	return r.conditions.ratingsUnavailable && q.phase == 1
}

func (r *cascadeSimulation) handleArrival(q *cascadeRequest) {
	r.startStep(q.at, cascadeCall{q: q, steps: r.policy.plan(q.at, q, r.ratingsUnavailable(q))})
}

// startStep queues a call for the slot of its version that becomes free first.
func (r *cascadeSimulation) startStep(now time.Duration, c cascadeCall) {
	v := c.steps[c.stepIndex].version
	pool := &r.slots[v]
	begin := max(now, (*pool)[0])
	end := begin + r.workload.versions[v].serviceTime(c.q, c.q.serviceFactor[v])
	(*pool)[0] = end
	heap.Fix(pool, 0)
	c.stepStart = now
	r.schedule(end, cascadeAnswered, c)
}

func (r *cascadeSimulation) schedule(at time.Duration, k cascadeEventKind, c cascadeCall) {
	r.seq++
	heap.Push(&r.events, cascadeEvent{at, r.seq, k, c})
}

func (r *cascadeSimulation) handleEvent(e cascadeEvent) error {
	c := e.call
	s := c.steps[c.stepIndex]
	o := cascadeOutcome{q: c.q, version: s.version, precedingVersion: r.precedingVersion(&c), ratingTime: c.q.ratingTime[s.version]}
	switch e.kind {
	case cascadeAnswered:
		c.cost += r.workload.versions[s.version].cost(c.q)
		o.done, o.latency = true, e.at-c.stepStart
		r.policy.observe(e.at, o)
		if s.rateFirst {
			r.schedule(e.at+o.ratingTime, cascadeRated, c)
			return nil
		}
		if s.rateLater {
			r.schedule(e.at+o.ratingTime, cascadeLateRating, c)
		}
		return r.recordAnswer(e.at, c)
	case cascadeRated:
		o.rated = true
		r.policy.observe(e.at, o)
		if c.q.pass[s.version] || c.stepIndex == len(c.steps)-1 {
			return r.recordAnswer(e.at, c)
		}
		c.stepIndex++
		r.startStep(e.at, c)
	case cascadeLateRating:
		o.rated = true
		r.policy.observe(e.at, o)
	}
	return nil
}

// precedingVersion returns the version that ran before the current step, or cascade.MultiplePredecessors after the second
// step.
func (r *cascadeSimulation) precedingVersion(c *cascadeCall) string {
	switch c.stepIndex {
	case 0:
		return ""
	case 1:
		return r.workload.versions[c.steps[0].version].name
	}
	return cascade.MultiplePredecessors
}

// recordAnswer adds a delivered answer to the result unless its request belongs to the warm-up.
func (r *cascadeSimulation) recordAnswer(now time.Duration, c cascadeCall) error {
	if !c.q.measured {
		return nil
	}
	t, d := &r.result, now-c.q.at
	t.count++
	t.classCount[2*c.q.class+c.q.phase]++
	if c.q.pass[c.steps[c.stepIndex].version] {
		t.atQuality++
		t.classAtQuality[2*c.q.class+c.q.phase]++
	}
	t.cost += c.cost
	t.latencySeconds += d.Seconds()
	t.objective += r.workload.weights.Cost*c.cost + r.workload.weights.Latency*d.Seconds()
	if err := t.latency.RecordValue(int64(d / time.Millisecond)); err != nil {
		return fmt.Errorf("record latency: %w", err)
	}
	return nil
}
