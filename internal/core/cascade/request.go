package cascade

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// maxSteps bounds a plan: a canary, two cheaper versions and the end.
const maxSteps = 4

// Candidate is a version that may run the request.
type Candidate struct {
	Version string
	Model   string
	Price   record.Price
	Prior   float64 // expected pass share before any rating; 0 means unknown
	Safe    bool    // meets the quality without rating
	Canary  bool    // under roll-out: runs in Share of the requests only
	Share   float64 // of requests that a canary may see
}

// Request is what a plan is made for.
type Request struct {
	Class      string
	Candidates []Candidate
	Quality    record.Quality
	Weights    record.Weights
	RaterUp    bool          // the rating service answers
	MaxCost    record.Micros // worst case over all steps
	Deadline   time.Duration // time left for the whole answer; 0 means no limit
	Input      int           // tokens of the prompt
	MaxOutput  int           // tokens of the longest answer
	Session    bool          // the answer's version becomes a session's: one direct step
	Pinned     string        // version that the session keeps; empty outside a session
}

// Step is one call of a plan.
type Step struct {
	Version string
	Rate    bool // buffer the answer, rate it, and go on to the next step when it falls short or the call fails
	Sample  bool // rate the answer after its delivery, for learning
	Canary  bool
}

// Problem tells why there is no plan.
type Problem string

// Problems of a plan.
const (
	ProblemNoCandidate Problem = "no-candidate" // no version may run the request
	ProblemNotAllowed  Problem = "not-allowed"  // the session's version is not a candidate
	ProblemNoTrusted   Problem = "no-trusted"   // no candidate is known to meet the quality
	ProblemMaxCost     Problem = "max-cost"     // the worst case of each plan costs more than the request may
)

// Plan is the order in which versions are called; the answer of a step is delivered when the step is
// the last one or its rating meets the quality.
type Plan struct {
	Steps       []Step
	Problem     Problem
	Cost        record.Micros // expected
	Worst       record.Micros // when every step runs and writes the longest answer
	Latency     time.Duration // expected
	Quality     float64       // expected share of answers at quality, if failures of steps are independent
	Uncertainty float64       // standard deviation of the pass share of an unrated end
	Trial       bool          // the first step is there for learning
}
