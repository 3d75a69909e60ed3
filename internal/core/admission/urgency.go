package admission

import (
	"math"
	"time"
)

const (
	// shortestWork is the weighted work below which a request has the highest urgency. It is far below the time of a long prompt, so
	// that such a request delays no other one noticeably.
	shortestWork = 10 * time.Millisecond
	// workStep is the ratio of the works of two successive urgencies. Requests of the same urgency keep their order: a smaller ratio
	// makes more of the long ones late at a crest that all could pass in time.
	workStep     = 4
	lowestInTime = 8 // urgency of the largest requests that can meet their objective
	lateUrgency  = 9 // urgency of requests that can't
	// estimateError is how far a time to the first byte may fall below its estimate. A request that is wrongly taken for late goes
	// behind all others and is late then.
	estimateError = 2
)

// Urgency returns the urgency of a request at an endpoint, 0 for the most urgent. Requests go in the order of their work, weighted by
// their priority, each step of which counts like twice the work (weighted shortest processing time first). At a crest this lets the most
// requests meet their objective: a short request hardly delays a long one, but waits many times its own work behind it. Requests that
// can't meet their objective any more go last.
func Urgency(work time.Duration, priority int, inTime bool) int {
	if !inTime {
		return lateUrgency
	}
	weighted := float64(work) * math.Exp2(float64(max(priority, 0)))
	u := 0
	for limit := float64(shortestWork); u < lowestInTime && weighted >= limit; limit *= workStep {
		u++
	}
	return u
}

// CanMeetObjective reports whether a request may get its first byte within the time left until its objective, in view of the error of
// the estimate.
func CanMeetObjective(timeToFirstByte, untilObjective time.Duration) bool {
	return untilObjective > 0 && timeToFirstByte/estimateError <= untilObjective
}
