package answer

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// prefixBytes is the length of the prompt's beginning by which requests share an engine's prefix cache.
const prefixBytes = 2048

// Request is one chat request of an organisation.
type Request struct {
	ID           string
	Organisation profile.Organisation
	Profile      profile.Profile
	Chat         engine.ChatRequest
	Token        *session.Token // nil without a session
	NewSession   bool
	Deadline     time.Time
	Session      string // short identifier of the session for the time line; empty without one
}

// Planner holds what is believed about versions.
type Planner interface {
	Beliefs() *cascade.View
	Candidates(profile string) []cascade.Candidate
	// Runs reports whether this instance sends work to a version; it stops a bad one before the log does.
	Runs(version string) bool
	RaterUp() bool
	Observe(o cascade.Outcome)
}

// Treatment is how a request that may crash endpoints is run.
type Treatment int

// Treatments of a request.
const (
	Run    Treatment = iota
	Alone            // one suspect at a time on an endpoint
	Refuse           // seen at two deaths
)

// Suspects tracks the requests that were running where an endpoint died.
type Suspects interface {
	Judge(digest uint64) Treatment
	// Occupied reports whether a suspect runs on an endpoint.
	Occupied(endpoint string) bool
	// Start notes a request on an endpoint and returns false if a suspect must wait for another endpoint.
	Start(digest uint64, endpoint string) bool
	// End notes that the request left the endpoint; finished means that it got its whole answer.
	End(digest uint64, endpoint string, finished bool)
	Died(endpoint string)
}

// Sink takes the answer's text as it arrives; Start is called once before the first piece.
type Sink interface {
	Start(r Started) error
	Text(s, version string) error
}

// Started tells what is known when an answer begins.
type Started struct {
	Version string
	Token   session.Token
	Session bool
	Moved   string // reason why the session left its version
}

// Result is a whole answer; the sink has its text.
type Result struct {
	Version string
	Finish  string
	Usage   engine.Usage  // over all steps
	Cost    record.Micros // over all steps
	Steps   int
}

// Rater scores an answer.
type Rater interface {
	Rate(ctx context.Context, a RatedAnswer) (float64, error)
}

// RatedAnswer is a finished answer with its request.
type RatedAnswer struct {
	Class, Version, Profile, Prompt, Text string
}

// Prompt returns the text of all messages.
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

// prefix returns the hash of the beginning of the conversation.
func prefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}
