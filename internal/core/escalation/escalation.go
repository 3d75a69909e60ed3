package escalation

import (
	"math"
	"time"
)

// Settings say what answers are worth, as a share of what a good answer in time is worth.
type Settings struct {
	Late       float64 // a good answer that is late
	Price      float64 // of the larger model's answer
	Crowd      float64 // what its work takes from others when all engines are fully loaded
	Middle     float64 // confidence at which an answer is as likely good as not
	Scale      float64 // points of confidence in which the odds grow by e
	Spread     float64 // of the logarithm of the actual over the estimated time to the first event
	QueueShare float64 // of the objective; engines on which prompts wait for so long are fully loaded
	BusyFrom   float64 // busy share of the slots from which on the engine counts as loaded
	BusyTo     float64 // and at which others lose BusyCrowd
	BusyCrowd  float64
}

// DefaultSettings returns an instance's settings.
func DefaultSettings() Settings {
	return Settings{
		Late:       0.3,  // of its worth that callers give a late answer
		Price:      0.13, // a larger model's share of the credit that its use takes, decision 0076
		Crowd:      1,    // on full engines it delays another request as large as itself
		Middle:     35,   // decision 0076 weighs it against 40
		Scale:      8,    // from nearly always to hardly ever within 25 points on either side
		Spread:     0.5,  // nine of ten times are below twice the estimate, as measured
		QueueShare: 0.5,  // decision 0076 weighs it against 0.35
		BusyFrom:   0.7,
		BusyTo:     1.3, // some requests wait for a slot
		BusyCrowd:  0.6, // the slots tell less of a load than the waiting prompts do
	}
}

// Case is what is known when the head of an answer is here.
type Case struct {
	Confidence int           // 0 to 100, or negative if the answer states none
	Models     []string      // smallest first
	Model      string        // that gave the answer
	Attempts   int           // further sends that the route allows
	Objective  time.Duration // for the first event
	Remaining  time.Duration // of the objective
	Start      time.Duration // estimated time to the larger model's first event
	Queue      time.Duration // of it, the wait for prompts that are read before
	Busy       float64       // share of the slots taken at the endpoint for the larger model
}

// Next returns the largest model if it is to be asked instead of keeping the answer, or "".
func (s Settings) Next(c Case) string {
	if c.Confidence < 0 || c.Attempts < 1 || len(c.Models) < 2 {
		return ""
	}
	largest := c.Models[len(c.Models)-1]
	if c.Model == largest || s.larger(c)-s.good(c.Confidence) <= s.Price+s.crowd(c) {
		return ""
	}
	return largest
}

// good is the probability that an answer is good.
func (s Settings) good(confidence int) float64 {
	return 1 / (1 + math.Exp((s.Middle-float64(confidence))/s.Scale))
}

// larger is what the larger model's answer is worth by the time at which it is expected.
func (s Settings) larger(c Case) float64 {
	if c.Remaining <= 0 {
		return s.Late
	}
	x := math.Log(float64(c.Remaining)/float64(max(c.Start, time.Millisecond))) / s.Spread
	inTime := 0.5 * math.Erfc(-x/math.Sqrt2)
	return s.Late + (1-s.Late)*inTime
}

// crowd is what the larger model's work takes from the requests that wait behind it: nothing on idle engines, and little
// while the wait is short, as it takes no one beyond the objective.
func (s Settings) crowd(c Case) float64 {
	full := s.QueueShare * float64(c.Objective)
	queue := 0.0
	if full > 0 {
		wait := min(float64(c.Queue)/full, 1)
		queue = s.Crowd * wait * wait
	}
	busy := s.BusyCrowd * min(max((c.Busy-s.BusyFrom)/(s.BusyTo-s.BusyFrom), 0), 1)
	return max(queue, busy)
}
