package escalation

import (
	"math"
	"time"
)

// Settings are the parameters of the decision. Values and costs are shares of the value of a good answer in time.
type Settings struct {
	LateValue          float64 // value of a good answer that is late
	LargerModelCost    float64 // cost of using the larger model
	QueueCost          float64 // cost of the delay to other requests when engines are fully loaded with prompts
	MidpointConfidence float64 // confidence at which an answer is good with a probability of one half
	ConfidenceScale    float64 // increase of the confidence that multiplies the odds of a good answer by e
	LatencySigma       float64 // standard deviation of the logarithm of the actual over the estimated time to the first event
	FullQueueShare     float64 // wait for earlier prompts, as a share of the objective, from which engines are fully loaded
	MinUtilisation     float64 // share of the slots in use from which SlotCost begins to apply
	FullUtilisation    float64 // share of the slots in use from which SlotCost applies in full
	SlotCost           float64 // cost of the delay to other requests when the slots are in use
	WorkWeight         float64 // exponent of Input.RelativeWork in the cost of the delay to other requests; 0 ignores it
	MinWork, MaxWork   float64 // bounds on that power
}

// DefaultSettings returns an instance's settings.
func DefaultSettings() Settings {
	return Settings{
		LateValue:          0.3,  // the share of an answer's value that callers give to a late answer
		LargerModelCost:    0.13, // the share of the credit that the use of a larger model takes
		QueueCost:          1,    // on fully loaded engines it delays another request of the same size
		MidpointConfidence: 35,
		ConfidenceScale:    8,   // 25 points on either side cover nearly the whole range of probabilities
		LatencySigma:       0.5, // nine out of ten times are below twice the estimate
		FullQueueShare:     0.5,
		MinUtilisation:     0.7,
		FullUtilisation:    1.3, // some requests wait for a slot
		SlotCost:           0.6, // lower than QueueCost, because slots in use show the load less clearly than waiting prompts
		WorkWeight:         1,   // the requests behind wait for as long as this one's work takes
		MinWork:            0.1, // a request that is cached at the engine still takes the time for its own part and a place in a batch
		MaxWork:            4,
	}
}

// Input is the information available when the head of a response arrives.
type Input struct {
	Confidence        int           // 0 to 100, or negative if the answer states none
	Models            []string      // smallest first
	Model             string        // the model that gave the answer
	RemainingAttempts int           // number of further attempts that the route allows
	Objective         time.Duration // target for the time to the first event
	Remaining         time.Duration // time left until the objective
	TimeToFirstEvent  time.Duration // estimated time to the larger model's first event
	PrefillWait       time.Duration // part of TimeToFirstEvent for the prefill of earlier requests
	Utilisation       float64       // requests per slot at the endpoint for the larger model
	RelativeWork      float64       // work of the request at the larger model, relative to a mean request; 0 if not known
}

// EscalationModel returns the largest model if the request should be sent to it, or "" if the answer should be kept.
func (s Settings) EscalationModel(c Input) string {
	if c.Confidence < 0 || c.RemainingAttempts < 1 || len(c.Models) < 2 {
		return ""
	}
	largest := c.Models[len(c.Models)-1]
	if c.Model == largest || s.largerModelValue(c)-s.probabilityGood(c.Confidence) <= s.LargerModelCost+s.loadCost(c) {
		return ""
	}
	return largest
}

// probabilityGood returns the probability that an answer with the given confidence is good.
func (s Settings) probabilityGood(confidence int) float64 {
	return 1 / (1 + math.Exp((s.MidpointConfidence-float64(confidence))/s.ConfidenceScale))
}

// largerModelValue returns the expected value of the larger model's answer, given the probability that it is in time.
func (s Settings) largerModelValue(c Input) float64 {
	if c.Remaining <= 0 {
		return s.LateValue
	}
	x := math.Log(float64(c.Remaining)/float64(max(c.TimeToFirstEvent, time.Millisecond))) / s.LatencySigma
	inTime := 0.5 * math.Erfc(-x/math.Sqrt2)
	return s.LateValue + (1-s.LateValue)*inTime
}

// loadCost returns the cost of the delay that the larger model's work causes to the requests behind it. It is zero on idle
// engines and grows with the square of the wait, because a short wait makes no request miss its objective, and with the size
// of the work. Work smaller than the mean costs less at the same wait, but reaches QueueCost at a longer one.
func (s Settings) loadCost(c Input) float64 {
	fullQueue := s.FullQueueShare * float64(c.Objective)
	queue := 0.0
	if fullQueue > 0 {
		wait := float64(c.PrefillWait) / fullQueue
		queue = s.QueueCost * min(s.work(c)*wait*wait, 1)
	}
	slots := s.SlotCost * min(max((c.Utilisation-s.MinUtilisation)/(s.FullUtilisation-s.MinUtilisation), 0), 1)
	return max(queue, slots)
}

// work returns the weight of the request's work in the cost of the wait.
func (s Settings) work(c Input) float64 {
	if c.RelativeWork <= 0 {
		return 1
	}
	return min(max(math.Pow(c.RelativeWork, s.WorkWeight), s.MinWork), s.MaxWork)
}
