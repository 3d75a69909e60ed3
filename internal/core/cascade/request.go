package cascade

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// maxSteps bounds the steps of a plan: a canary, two cheaper versions and the final step.
const maxSteps = 4

// Candidate is a version that may run the request.
type Candidate struct {
	Version     string
	Model       string
	Price       record.Price
	Prior       float64 // expected pass rate before any rating; 0 means unknown
	Safe        bool    // trusted to meet the quality without any rating
	Canary      bool    // the version is in a roll-out and runs in a share of the requests only
	CanaryShare float64 // share of the requests that a canary may run in
}

// Request holds the properties and limits of a request that Plan needs.
type Request struct {
	Class           string
	Candidates      []Candidate
	Quality         record.Quality
	Weights         record.Weights
	RaterAvailable  bool          // the rating service is available
	MaxCost         record.Micros // limit for the cost of all steps in the worst case
	Deadline        time.Duration // time left for the whole answer; 0 means no limit
	InputTokens     int           // length of the prompt in tokens
	MaxOutputTokens int           // greatest length of an answer in tokens
	InSession       bool          // the request belongs to a session, so the plan has a single step
	PinnedVersion   string        // version that the session must keep; empty if there is none
}

// Step is one call to a version in a plan.
type Step struct {
	Version            string
	RateBeforeDelivery bool // rate the answer before delivery; if the rating is too low or the call fails, run the next step
	RateAfterDelivery  bool // rate the answer after delivery, only to update the statistics
	Canary             bool
}

// Problem is the reason why there is no plan.
type Problem string

// Reasons why there is no plan.
const (
	ProblemNoCandidate Problem = "no-candidate" // the request has no candidates
	ProblemNotAllowed  Problem = "not-allowed"  // the session's version is not a candidate
	ProblemNoTrusted   Problem = "no-trusted"   // no candidate is safe or has enough good ratings
	ProblemMaxCost     Problem = "max-cost"     // every plan may cost more than Request.MaxCost
)

// Plan is the order in which versions are called. The answer of a step is delivered if its rating reaches the minimum
// score or the step is the last one.
type Plan struct {
	Steps           []Step
	Problem         Problem
	ExpectedCost    record.Micros
	WorstCost       record.Micros // cost if every step runs and returns the longest answer
	ExpectedLatency time.Duration
	ExpectedQuality float64 // expected share of answers that reach the minimum score, assuming that later steps fail independently
	Uncertainty     float64 // standard deviation of the pass rate of the final step, which is not rated before delivery
	Exploratory     bool    // the plan differs from the best known one in order to collect ratings
}

// Outcome returns an Outcome for a step with its class, version, minimum score and predecessor set.
func (p *Plan) Outcome(r *Request, step int) Outcome {
	o := Outcome{Class: r.Class, Version: p.Steps[step].Version, MinScore: r.Quality.MinScore}
	switch step {
	case 0:
	case 1:
		o.Predecessor = p.Steps[0].Version
	default:
		o.Predecessor = MultiplePredecessors
	}
	return o
}
