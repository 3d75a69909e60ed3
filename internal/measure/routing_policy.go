package measure

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/escalation"
)

// routingPolicy is a way to place requests and to choose models.
type routingPolicy struct {
	name      string
	placement string // table, round-robin, least-outstanding, no-queue
	model     string // escalate, small, large, or fixed
	fixed     int    // confidence below which the larger model is asked
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

func (p routingPolicy) start() string {
	if p.model == "large" {
		return "large"
	}
	return "small"
}

func (p routingPolicy) choose(r *routing, j *job) (int, bool) {
	if p.placement == "table" {
		c, ok := r.tables[j.router].Choose(r.clock(), j.request())
		if !ok {
			return 0, false
		}
		j.choice, j.token = c, r.tables[j.router].RecordSend(r.clock(), j.request(), c)
		for i, e := range r.engines {
			if e.ID == c.Endpoint.ID {
				return i, true
			}
		}
		return 0, false
	}
	if p.placement == "round-robin" {
		for range routingEngines {
			r.turn[j.router]++
			if i := r.turn[j.router] % routingEngines; !j.avoid[r.engines[i].ID] {
				return i, true
			}
		}
		return 0, false
	}
	best := -1
	for k := range routingEngines {
		i := (k + r.turn[j.router]) % routingEngines
		if j.avoid[r.engines[i].ID] || p.placement == "no-queue" && r.open[j.router][i] >= routingSlots/routingRouters {
			continue
		}
		if best < 0 || r.open[j.router][i] < r.open[j.router][best] {
			best = i
		}
	}
	r.turn[j.router]++
	return best, best >= 0
}

// silence is after which time without an answer a request goes elsewhere; 0 waits until the deadline.
func (p routingPolicy) silence(j *job) time.Duration {
	if p.placement != "table" {
		return 0
	}
	return max(4*j.choice.TimeToFirstByte+100*time.Millisecond, j.kind.objective/2)
}

func (p routingPolicy) larger(r *routing, j *job, i, confidence int) bool {
	e := r.engines[i]
	if p.placement == "table" {
		r.tables[j.router].RecordFirstByte(r.clock(), j.token)
		r.tables[j.router].RecordLoad(r.clock(), e.ID, attributes.Load{Running: e.running, Waiting: len(e.waiting), Slots: routingSlots})
	}
	switch {
	case j.model == "large" || j.sends >= maxSends:
		return false
	case p.model == "fixed":
		return confidence < p.fixed
	case p.model != "escalate":
		return false
	}
	q := j.request()
	q.Model = "large"
	c, ok := r.tables[j.router].Choose(r.clock(), q)
	if !ok {
		return false
	}
	return escalation.DefaultSettings().EscalationModel(escalation.Input{
		Confidence: confidence, Models: modelNames, Model: j.model, RemainingAttempts: maxSends - j.sends,
		Remaining: j.start + j.kind.objective - r.now, TimeToFirstEvent: c.TimeToFirstByte, PrefillWait: c.PrefillWait, Utilisation: c.Utilisation,
		Objective: j.kind.objective,
	}) != ""
}

func (p routingPolicy) closed(r *routing, j *job, i int, whole bool) {
	if p.placement == "table" {
		r.tables[j.router].RecordEnd(r.clock(), j.token, whole)
		r.tables[j.router].RecordOutcome(r.clock(), r.engines[i].ID, true)
	}
}

func (p routingPolicy) failed(r *routing, j *job, i int, dead bool) {
	if p.placement != "table" {
		return
	}
	t := r.tables[j.router]
	t.RecordEnd(r.clock(), j.token, false)
	if dead {
		t.Eject(r.clock(), r.engines[i].ID)
	} else {
		t.RecordOutcome(r.clock(), r.engines[i].ID, false)
	}
}
