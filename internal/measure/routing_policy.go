package measure

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/escalation"
)

// routingPolicy describes how requests are placed and models chosen.
type routingPolicy struct {
	name          string
	placement     string // table, round-robin, least-outstanding or no-queue
	modelChoice   string // escalate, small, large or fixed
	minConfidence int    // with fixed, the large model is asked below this confidence
}

var routingPolicies = []routingPolicy{
	{"cassiaspoke", "table", "escalate", 0},
	{"round robin", "round-robin", "fixed", 50},
	{"least outstanding", "least-outstanding", "fixed", 50},
	{"no queue", "no-queue", "fixed", 50},
	{"largest model only", "table", "large", 0},
	{"smallest model only", "table", "small", 0},
	{"fixed confidence", "table", "fixed", 50},
}

func (p routingPolicy) initialModel() string {
	if p.modelChoice == "large" {
		return "large"
	}
	return "small"
}

// chooseEngine returns the index of an engine for the next attempt, or false if there is none.
func (p routingPolicy) chooseEngine(r *routingSimulation, j *routingRequest) (int, bool) {
	if p.placement == "table" {
		c, ok := r.tables[j.router].Choose(r.wallTime(), j.placementRequest())
		if !ok {
			return 0, false
		}
		j.choice, j.inFlight = c, r.tables[j.router].RecordSend(r.wallTime(), j.placementRequest(), c)
		for i, e := range r.engines {
			if e.ID == c.Endpoint.ID {
				return i, true
			}
		}
		return 0, false
	}
	if p.placement == "round-robin" {
		for range routingEngineCount {
			r.nextEngine[j.router]++
			if i := r.nextEngine[j.router] % routingEngineCount; !j.excluded[r.engines[i].ID] {
				return i, true
			}
		}
		return 0, false
	}
	best := -1
	for k := range routingEngineCount {
		i := (k + r.nextEngine[j.router]) % routingEngineCount
		if j.excluded[r.engines[i].ID] || p.placement == "no-queue" && r.outstanding[j.router][i] >= routingSlotsPerEngine/routingRouterCount {
			continue
		}
		if best < 0 || r.outstanding[j.router][i] < r.outstanding[j.router][best] {
			best = i
		}
	}
	r.nextEngine[j.router]++
	return best, best >= 0
}

// answerTimeout returns the time without an answer after which a request is sent to another engine. With 0 it waits until
// its deadline.
func (p routingPolicy) answerTimeout(j *routingRequest) time.Duration {
	if p.placement != "table" {
		return 0
	}
	return max(4*j.choice.TimeToFirstByte+100*time.Millisecond, j.requestKind.objective/2)
}

// escalates records the first event of an answer and reports whether the large model is asked instead.
func (p routingPolicy) escalates(r *routingSimulation, j *routingRequest, i, confidence int) bool {
	e := r.engines[i]
	if p.placement == "table" {
		r.tables[j.router].RecordFirstByte(r.wallTime(), j.inFlight)
		r.tables[j.router].RecordLoad(r.wallTime(), e.ID, attributes.Load{Running: e.running, Waiting: len(e.waiting), Slots: routingSlotsPerEngine})
	}
	switch {
	case j.model == "large" || j.attempts >= maxRoutingAttempts:
		return false
	case p.modelChoice == "fixed":
		return confidence < p.minConfidence
	case p.modelChoice != "escalate":
		return false
	}
	q := j.placementRequest()
	q.Model = "large"
	c, ok := r.tables[j.router].Choose(r.wallTime(), q)
	if !ok {
		return false
	}
	return escalation.DefaultSettings().EscalationModel(escalation.Input{
		Confidence: confidence, Models: modelNames, Model: j.model, RemainingAttempts: maxRoutingAttempts - j.attempts,
		Remaining: j.arrivedAt + j.requestKind.objective - r.now, TimeToFirstEvent: c.TimeToFirstByte, PrefillWait: c.PrefillWait, Utilisation: c.Utilisation,
		Objective: j.requestKind.objective,
	}) != ""
}

func (p routingPolicy) recordEnd(r *routingSimulation, j *routingRequest, i int, whole bool) {
	if p.placement == "table" {
		r.tables[j.router].RecordEnd(r.wallTime(), j.inFlight, whole)
		r.tables[j.router].RecordOutcome(r.wallTime(), r.engines[i].ID, true)
	}
}

func (p routingPolicy) recordFailure(r *routingSimulation, j *routingRequest, i int, dead bool) {
	if p.placement != "table" {
		return
	}
	t := r.tables[j.router]
	t.RecordEnd(r.wallTime(), j.inFlight, false)
	if dead {
		t.Eject(r.wallTime(), r.engines[i].ID)
	} else {
		t.RecordOutcome(r.wallTime(), r.engines[i].ID, false)
	}
}
