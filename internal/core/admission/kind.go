package admission

import (
	"cmp"
	"slices"
	"time"
)

// kindDemand is what is known of the requests of one priority.
type kindDemand struct {
	priority  int
	work      float64       // recent work, in any unit
	objective time.Duration // 0 if there is none
}

const (
	// urgentShare is the share of the work up to which the kinds at least as urgent as a request wait less than the mean, as
	// endpoints serve them first.
	urgentShare = 0.3
	// crestLoad is the load, relative to the capacity, that queueFactor assumes.
	crestLoad = 1.5
	// minCapacityLeft is the share of the capacity that more urgent kinds are taken to leave at least.
	minCapacityLeft = 0.2
	// minServedRatio is how often each kind is served at least, relative to all kinds.
	minServedRatio = 0.5
)

// kinds holds the requests of a service by priority, most urgent first.
type kinds []kindDemand

func newKinds(l []kindDemand) kinds {
	slices.SortFunc(l, func(a, b kindDemand) int { return cmp.Compare(a.priority, b.priority) })
	return l
}

// waitFactor returns the wait of the requests of a priority as a share of the mean wait. It doesn't fall with the priority.
func (l kinds) waitFactor(priority int) float64 {
	total, ahead := 0.0, 0.0
	for _, k := range l {
		total += k.work
		if k.priority <= priority {
			ahead += k.work
		}
	}
	if total <= 0 {
		return 1
	}
	return min(1, ahead/total/urgentShare)
}

// queueFactor returns the wait of a new request of a priority as a multiple of the mean wait while the service is short: endpoints serve
// more urgent requests first, also those that come later, so only the capacity that these leave remains.
func (l kinds) queueFactor(priority int) float64 {
	total, ahead, before := 0.0, 0.0, 0.0
	for _, k := range l {
		total += k.work
		if k.priority <= priority {
			ahead += k.work
		}
		if k.priority < priority {
			before += k.work
		}
	}
	if total <= 0 {
		return 1
	}
	return ahead / total / max(minCapacityLeft, 1-crestLoad*before/total)
}

// objective returns the shortest objective of the kinds at least as urgent as a priority, or 0 if there is none. Less urgent requests
// make way for the objective of more urgent ones, and are never refused less than these.
func (l kinds) objective(priority int) time.Duration {
	var out time.Duration
	for _, k := range l {
		if k.priority <= priority && k.objective > 0 && (out == 0 || k.objective < out) {
			out = k.objective
		}
	}
	return out
}

// refusedShare returns the share of the requests of a priority to refuse, if the given share of all work is refused and the least urgent
// kinds are refused first.
func (l kinds) refusedShare(priority int, refused float64) float64 {
	total := 0.0
	for _, k := range l {
		total += k.work
	}
	limit, left := 1-minServedRatio*(1-refused), refused
	for i := len(l) - 1; i >= 0 && total > 0; i-- {
		share := l[i].work / total
		q := limit
		if share > 0 {
			q = min(limit, left/share)
		}
		if l[i].priority == priority {
			return q
		}
		left = max(0, left-q*share)
	}
	return refused
}
