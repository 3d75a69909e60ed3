package canary

import (
	"maps"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// The store may come back from a copy some seconds old. Its orders and states may then be older than those that an instance knows.

// supersededRetention is how long an earlier order is remembered. It exceeds the age of a copy and the time for which the store
// is away.
const supersededRetention = 10 * time.Minute

// orderKey identifies an order of a service.
type orderKey struct {
	target   string
	duration time.Duration
}

func keyOf(o routing.RolloutOrder) orderKey { return orderKey{o.Target, o.Duration} }

func (o *activeOrder) key() orderKey { return orderKey{o.target, o.duration} }

// recordSuperseded remembers that a later order follows the one in force.
func (r *Rollout) recordSuperseded(now time.Time) {
	if r.order == nil {
		return
	}
	maps.DeleteFunc(r.superseded, func(_ orderKey, at time.Time) bool { return now.Sub(at) >= supersededRetention })
	if r.superseded == nil {
		r.superseded = map[orderKey]time.Time{}
	}
	r.superseded[r.order.key()] = now
}

// ApplyCopiedOrder applies an order of a snapshot that was read after the store came back from an older copy, and reports whether
// it starts a roll-out. One that is known to have been superseded, or is in force, changes nothing.
func (r *Rollout) ApplyCopiedOrder(now time.Time, o routing.RolloutOrder) bool {
	if r.order != nil && r.order.key() == keyOf(o) {
		return false
	}
	if at, ok := r.superseded[keyOf(o)]; ok && now.Sub(at) < supersededRetention {
		return false
	}
	// The order in force may be the later one all the same, so it is not remembered as superseded.
	r.start(now, o, false)
	return true
}

// isFinal reports whether a state of the order in force is final.
func (r *Rollout) isFinal(s routing.RolloutStatus) bool {
	return r.order != nil && s.Target == r.order.target && s.State != routing.RolloutRunning
}

// ApplyCopiedState applies a published state of a snapshot that was read after the store came back from an older copy, and reports
// whether it changed the roll-out. A final state that the store held before stays. ApplyPublished ignores the copy's state from
// then on, until it gets another one.
func (r *Rollout) ApplyCopiedState(s routing.RolloutStatus) bool {
	if r.order == nil || s.Target != r.order.target {
		return false
	}
	r.refused = ""
	if r.isFinal(s) && r.statePublished && s.State != r.state {
		r.refused = s.State
		return false
	}
	return r.ApplyPublished(s)
}

// Overrules reports whether the state of this instance is to be published although another final state of the same target is
// published: the store held it and lost it when it came back from an older copy.
func (r *Rollout) Overrules(published routing.RolloutStatus) bool {
	return r.isFinal(published) && r.statePublished && published.State != r.state
}
