package answer

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// prefixBytes is the length of the prompt prefix that is hashed. Requests with the same hash are likely to share an
// entry of an engine's prefix cache.
const prefixBytes = 2048

// Request is one chat request of an organisation.
type Request struct {
	ID           string
	Organisation config.Organisation
	Profile      config.Profile
	Chat         engine.ChatRequest
	Token        *session.Token // session token; nil without a session
	NewSession   bool           // the caller asked for a new session
	Deadline     time.Time
	Session      string // short session ID for the event timeline; empty without a session
}

// Planner provides the versions that a plan may use and the estimates of their quality, cost and latency. It records the
// outcomes of steps, from which the estimates are made.
type Planner interface {
	// Estimates returns the current estimates.
	Estimates() *cascade.Estimates
	// Candidates returns the versions that a plan for a profile may use.
	Candidates(profile string) []cascade.Candidate
	// AcceptsVersion reports whether this instance sends requests to a version. An instance stops using a bad version
	// before its halt is recorded in the log.
	AcceptsVersion(version string) bool
	// RaterAvailable reports whether the rating service is expected to answer.
	RaterAvailable() bool
	// Observe records the outcome of a step.
	Observe(o cascade.Outcome)
}

// SuspectPolicy says how to run a request, depending on whether it is suspected of crashing endpoints.
type SuspectPolicy int

// Policies for a request.
const (
	RunAnywhere    SuspectPolicy = iota // on any endpoint, because the request is not suspected
	RunExclusively                      // on an endpoint where no other suspect runs; requests that are not suspected may run there
	RefuseRequest                       // not at all: it would crash endpoints
	AwaitDecision                       // not yet: it is about to be decided whether the request is refused
)

// Content identifies the content of a request for Suspects.
type Content struct {
	Digest uint64   // of the whole content
	Parts  []string // identifiers of the parts of the prompt that other requests may share, in order
}

// Suspects tracks all requests in progress by endpoint. Those on an endpoint that crashes are suspected.
type Suspects interface {
	// Policy returns the policy for a request.
	Policy(c Content) SuspectPolicy
	// RunsSuspect reports whether a suspect runs on an endpoint.
	RunsSuspect(endpoint string) bool
	// StartRequest records a request on an endpoint. It returns false if the request is a suspect that must use another
	// endpoint.
	StartRequest(c Content, endpoint string) bool
	// RecordFirstToken records that the endpoint began the answer.
	RecordFirstToken(c Content, endpoint string)
	// EndRequest records that the request ended on the endpoint; finished means that its answer is complete.
	EndRequest(c Content, endpoint string, finished bool)
	// EndpointCrashed records that an endpoint crashed.
	EndpointCrashed(endpoint string)
}

// Sink receives the text of an answer as it arrives. Start is called once, before the first piece of text.
type Sink interface {
	Start(info StreamInfo) error
	WriteText(s, version string) error
}

// StreamInfo describes an answer when its first piece of text arrives.
type StreamInfo struct {
	Version    string
	Token      session.Token // for the caller's next request of the session
	InSession  bool
	MoveReason string // why the session changed its version; empty if it did not
}

// Result describes a complete answer, apart from the text that the sink received.
type Result struct {
	Version string
	Finish  string        // reason why the answer ended, from the engine, for example engine.FinishStop
	Usage   engine.Usage  // of all steps
	Cost    record.Micros // of all steps
	Steps   int
}

// Rater rates the quality of an answer.
type Rater interface {
	Rate(ctx context.Context, a RatedAnswer) (float64, error)
}

// RatedAnswer is a complete answer and its request, to be rated.
type RatedAnswer struct {
	Class, Version, Profile, Prompt, Text string
}

// Prompt returns the roles and texts of all messages.
func (r *Request) Prompt() string {
	var b strings.Builder
	for _, m := range r.Chat.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// hashPrefix returns the hash of the beginning of the prompt.
func hashPrefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}
