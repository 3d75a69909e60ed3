package client

import (
	"encoding/json"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Headers of the callers' API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"             // UUIDv7 that names the request
	HeaderSession        = "Cassiaspoke-Session"         // token that keeps a session on its version
	HeaderSessionChanged = "Cassiaspoke-Session-Changed" // reason why the answer's version is not the session's
	HeaderVersion        = "Cassiaspoke-Version"         // version that gave the answer
	HeaderRequest        = "Cassiaspoke-Request"         // the request's key, also where the caller gave none
	HeaderReplayed       = "Cassiaspoke-Replayed"        // "true" on the stored reply of an earlier call with the same key
)

// SessionNew is the value of HeaderSession in a request that starts a session.
const SessionNew = "new"

// SessionWithdrawn is the value of HeaderSessionChanged after the session's version was withdrawn.
const SessionWithdrawn = "withdrawn"

// Code names why a request failed.
type Code string

// Codes of the callers' API; the first three and CodeUnavailable belong to the operators' API too.
const (
	CodeBadRequest           Code = "bad-request"
	CodeUnauthorised         Code = "unauthorised"
	CodeNotReady             Code = "not-ready"
	CodeUnknownProfile       Code = "unknown-profile"
	CodeVersionNotAllowed    Code = "version-not-allowed"
	CodeEntitlementExhausted Code = "entitlement-exhausted"
	CodeOverloaded           Code = "overloaded"
	CodeNoCapacity           Code = "no-capacity"
	CodeInProgress           Code = "in-progress"
	CodeOutcomeUnknown       Code = "outcome-unknown"
	CodeOutcomeExpired       Code = "outcome-expired"
	CodeSuspect              Code = "request-refused-as-suspect"
	CodeDeadlineExceeded     Code = "deadline-exceeded"
	CodeIncomplete           Code = "incomplete"
	CodeLogUnavailable       Code = "log-unavailable"
)

// Codes of the operators' API only.
const (
	CodeConflict   Code = "conflict"    // the change was based on another revision
	CodeInvalid    Code = "invalid"     // the change breaks a rule of its object
	CodeWrongState Code = "wrong-state" // the version's state does not allow the change
	CodeNotFound   Code = "not-found"
)

// CodeTransport is set by the client when no reply arrived; whether the request ran is unknown.
const CodeTransport Code = "transport"

// Retry tells whether the same request may be sent again under the same key.
type Retry string

// Values of Retry.
const (
	RetrySafe   Retry = "safe"   // it can't run twice
	RetryUnsafe Retry = "unsafe" // it may run a second time
	RetryNever  Retry = "never"  // it will be refused again
)

// ErrorBody is the body of every reply that refuses or fails a request.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what failed; NotRun is true only if nothing of the request ran.
type ErrorDetail struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	NotRun  bool   `json:"not-run"`
	Retry   Retry  `json:"retry"`
}

// ConflictReply is the body of status 409: another change of the object was accepted first.
type ConflictReply struct {
	ErrorBody
	Winner Winner `json:"winner"`
}

// Winner is the accepted change that a refused change lost to.
type Winner struct {
	Operator string    `json:"operator"`
	Revision uint64    `json:"revision"`
	Time     time.Time `json:"time"`
}

// RevisionReply answers an accepted change.
type RevisionReply struct {
	Revision uint64 `json:"revision"`
}

// ProfileChange is the body of a profile's PUT; Base is the revision that it changes, 0 for a new profile.
type ProfileChange struct {
	Base   uint64 `json:"base"`
	Reason string `json:"reason,omitempty"`
	record.Profile
}

// OrganisationChange is the body of an organisation's PUT; Base is the revision that it changes, 0 for a new one.
type OrganisationChange struct {
	Base   uint64 `json:"base"`
	Reason string `json:"reason,omitempty"`
	record.Organisation
}

// VersionChange is the body of a POST on a version; Version belongs to add, RollOut to roll-out.
type VersionChange struct {
	Base    uint64          `json:"base"`
	Reason  string          `json:"reason,omitempty"`
	Version *record.Version `json:"version,omitempty"`
	RollOut *record.RollOut `json:"roll-out,omitempty"`
}

// Action is what a POST does to a version.
type Action string

// Actions on versions.
const (
	ActionAdd      Action = "add"
	ActionRollOut  Action = "roll-out"
	ActionPause    Action = "pause"
	ActionResume   Action = "resume"
	ActionWithdraw Action = "withdraw"
)

// ProfileReply is a published profile.
type ProfileReply struct {
	Revision uint64 `json:"revision"`
	record.Profile
}

// ProfilesReply lists all profiles by name.
type ProfilesReply struct {
	Profiles []ProfileReply `json:"profiles"`
}

// OrganisationReply is a published organisation.
type OrganisationReply struct {
	Revision uint64 `json:"revision"`
	record.Organisation
}

// OrganisationsReply lists all organisations by name.
type OrganisationsReply struct {
	Organisations []OrganisationReply `json:"organisations"`
}

// HistoryReply lists the accepted changes of an object, oldest first.
type HistoryReply struct {
	Revisions []HistoryEntry `json:"revisions"`
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Revision uint64      `json:"revision"`
	Kind     record.Kind `json:"kind"`
	Operator string      `json:"operator"`
	Reason   string      `json:"reason,omitempty"`
	Time     time.Time   `json:"time"`
}

// VersionReply is a version with its place in a roll-out.
type VersionReply struct {
	Revision uint64 `json:"revision"`
	record.Version
	State  string         `json:"state"`
	Stages []record.Stage `json:"stages,omitempty"`
	Stage  int            `json:"stage,omitempty"` // index in Stages
	Reason string         `json:"reason,omitempty"`
}

// VersionsReply lists all versions by name.
type VersionsReply struct {
	Versions []VersionReply `json:"versions"`
}

// BillsReply is a part of the bills stream without duplicates; the next part starts at Next, the stream ends at End.
type BillsReply struct {
	Bills []record.Bill `json:"bills"`
	Next  uint64        `json:"next"`
	End   uint64        `json:"end"`
}

// StatusReply is what the asked instance knows.
type StatusReply struct {
	Instance         string           `json:"instance"`
	AvailabilityZone string           `json:"availability-zone"`
	Region           string           `json:"region"`
	Build            string           `json:"build,omitempty"`
	Started          time.Time        `json:"started"`
	Ready            bool             `json:"ready"`
	Reason           string           `json:"reason,omitempty"` // why it is not ready
	Config           ConfigStatus     `json:"config"`
	Log              LogStatus        `json:"log"`
	Bills            BillsStatus      `json:"bills"`
	Suspects         int              `json:"suspects"`
	Peers            []PeerStatus     `json:"peers,omitempty"`
	Endpoints        []EndpointStatus `json:"endpoints,omitempty"`
	Versions         []VersionReply   `json:"versions,omitempty"`
}

// ConfigStatus tells how far the configuration in force reaches.
type ConfigStatus struct {
	Next      uint64    `json:"next"`      // offsets below are in force
	Known     uint64    `json:"known"`     // highest offset that the log or a peer has told of
	Confirmed time.Time `json:"confirmed"` // when the log or a peer last confirmed it
}

// LogStatus tells whether the platform's log answers.
type LogStatus struct {
	Up    bool      `json:"up"`
	Since time.Time `json:"since"`
}

// BillsStatus counts the bills that the log has not confirmed.
type BillsStatus struct {
	Held      int `json:"held"`      // of the instance's own requests
	Witnessed int `json:"witnessed"` // copies for peers
	Buffer    int `json:"buffer"`    // bound of both together
}

// PeerStatus is another instance.
type PeerStatus struct {
	Instance         string `json:"instance"`
	AvailabilityZone string `json:"availability-zone"`
	State            string `json:"state"`
	Config           uint64 `json:"config"` // offset below which its configuration is in force
}

// EndpointStatus is an endpoint as the asked instance sees it.
type EndpointStatus struct {
	Endpoint         string   `json:"endpoint"`
	Role             string   `json:"role"`
	AvailabilityZone string   `json:"availability-zone"`
	State            string   `json:"state"`
	Versions         []string `json:"versions,omitempty"`
	Outstanding      int      `json:"outstanding"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChatRequest is the body of POST /v1/chat/completions; Model is the name of a profile.
// Its names, and those of the answers to it, are those of the widespread chat completions API.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// ChatReply is a whole answer.
type ChatReply struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // seconds since 1970
	Model   string   `json:"model"`   // version that gave the answer
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is an answer or, in Delta, a piece of a streamed one; FinishReason ends it.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Usage counts the tokens of the caller's request and of its answer.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// streamEvent is the data of one server-sent event: a piece of an answer, or the error that ends it.
type streamEvent struct {
	ChatReply
	Error json.RawMessage `json:"error,omitempty"`
}
