package client

import (
	"encoding/json"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Headers of the callers' API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"             // UUIDv7 that identifies the request
	HeaderSession        = "Cassiaspoke-Session"         // session token; keeps the requests of a session on one version
	HeaderSessionChanged = "Cassiaspoke-Session-Changed" // why the answer comes from another version than the session's
	HeaderVersion        = "Cassiaspoke-Version"         // version that generated the answer
	HeaderRequest        = "Cassiaspoke-Request"         // idempotency key of the request, generated if the caller sent none
	HeaderReplayed       = "Cassiaspoke-Replayed"        // "true" if the reply was stored for an earlier call with the same key
)

// SessionNew is the value of HeaderSession that starts a session.
const SessionNew = "new"

// SessionWithdrawn is the value of HeaderSessionChanged after the session's version was withdrawn.
const SessionWithdrawn = "withdrawn"

// Code identifies the reason for which a request failed.
type Code string

// Codes of the callers' API; the operators' API returns the first three and CodeLogUnavailable too.
const (
	CodeBadRequest           Code = "bad-request"
	CodeUnauthorised         Code = "unauthorised"
	CodeNotReady             Code = "not-ready"
	CodeUnknownProfile       Code = "unknown-profile"
	CodeVersionNotAllowed    Code = "version-not-allowed"
	CodeEntitlementExhausted Code = "entitlement-exhausted"
	CodeOverloaded           Code = "overloaded"
	CodeNoCapacity           Code = "no-capacity"
	CodeEvacuated            Code = "evacuated" // all endpoints are in evacuated availability zones
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
	CodeInvalid    Code = "invalid"     // the changed object violates a validation rule
	CodeWrongState Code = "wrong-state" // the version's state does not allow the change
	CodeNotFound   Code = "not-found"
)

// CodeTransport is set by the client when it has no usable reply; it is unknown whether the request ran.
const CodeTransport Code = "transport"

// Retry tells whether a request may be sent again with the same idempotency key.
type Retry string

// Values of Retry.
const (
	RetrySafe   Retry = "safe"   // sending it again cannot run it twice
	RetryUnsafe Retry = "unsafe" // sending it again may run it twice
	RetryNever  Retry = "never"  // sending it again is refused again
)

// ErrorBody is the body of every error reply.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failed request; NotRun is true only if no part of the request ran.
type ErrorDetail struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	NotRun  bool   `json:"not-run"`
	Retry   Retry  `json:"retry"`
}

// ConflictReply is the body of status 409: another change to the object was accepted first.
type ConflictReply struct {
	ErrorBody
	Winner Winner `json:"winner"`
}

// Winner identifies the accepted change that conflicts with a refused one.
type Winner struct {
	Operator string    `json:"operator"`
	Revision uint64    `json:"revision"`
	Time     time.Time `json:"time"`
}

// RevisionReply holds the revision of an accepted change.
type RevisionReply struct {
	Revision uint64 `json:"revision"`
}

// ProfileChange is the body of a PUT on a profile; Base is the revision that the change is based on, 0 for a new profile.
type ProfileChange struct {
	Base   uint64 `json:"base"`
	Reason string `json:"reason,omitempty"`
	record.Profile
}

// OrganisationChange is the body of a PUT on an organisation; Base is the revision that the change is based on, 0 for a new
// organisation.
type OrganisationChange struct {
	Base   uint64 `json:"base"`
	Reason string `json:"reason,omitempty"`
	record.Organisation
}

// VersionChange is the body of a POST on a version; Version is set for ActionAdd only, RollOut for ActionRollOut only.
type VersionChange struct {
	Base    uint64          `json:"base"`
	Reason  string          `json:"reason,omitempty"`
	Version *record.Version `json:"version,omitempty"`
	RollOut *record.RollOut `json:"roll-out,omitempty"`
}

// Action is an operation on a version or an availability zone, the last element of the path of a POST.
type Action string

// Actions on versions.
const (
	ActionAdd      Action = "add"
	ActionRollOut  Action = "roll-out"
	ActionPause    Action = "pause"
	ActionResume   Action = "resume"
	ActionWithdraw Action = "withdraw"
)

// ZoneChange is the body of a POST on an availability zone; Base is the revision that the change is based on, 0 for a zone that was
// never evacuated.
type ZoneChange struct {
	Base   uint64 `json:"base"`
	Reason string `json:"reason,omitempty"`
}

// Actions on availability zones.
const (
	ActionEvacuate Action = "evacuate"
	ActionRestore  Action = "restore"
)

// ZoneReply is an availability zone that was evacuated at least once.
type ZoneReply struct {
	Zone      string `json:"zone"`
	Revision  uint64 `json:"revision"`
	Evacuated bool   `json:"evacuated"`
	Reason    string `json:"reason,omitempty"`
}

// ZonesReply lists the availability zones that were evacuated at least once, ordered by name.
type ZonesReply struct {
	Zones []ZoneReply `json:"zones"`
}

// ProfileReply is a published profile.
type ProfileReply struct {
	Revision uint64 `json:"revision"`
	record.Profile
}

// ProfilesReply lists all profiles, ordered by name.
type ProfilesReply struct {
	Profiles []ProfileReply `json:"profiles"`
}

// OrganisationReply is a published organisation.
type OrganisationReply struct {
	Revision uint64 `json:"revision"`
	record.Organisation
}

// OrganisationsReply lists all organisations, ordered by name.
type OrganisationsReply struct {
	Organisations []OrganisationReply `json:"organisations"`
}

// HistoryReply lists the accepted changes to an object, oldest first.
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

// VersionReply is a version with its roll-out state.
type VersionReply struct {
	Revision uint64 `json:"revision"`
	record.Version
	State  string         `json:"state"`
	Stages []record.Stage `json:"stages,omitempty"`
	Stage  int            `json:"stage,omitempty"` // index of the current stage in Stages
	Reason string         `json:"reason,omitempty"`
}

// VersionsReply lists all versions, ordered by name.
type VersionsReply struct {
	Versions []VersionReply `json:"versions"`
}

// BillsReply is a page of the bills stream without duplicates; the next page starts at offset Next, and the stream ends at
// offset End.
type BillsReply struct {
	Bills []record.Bill `json:"bills"`
	Next  uint64        `json:"next"`
	End   uint64        `json:"end"`
}

// StatusReply describes the state of the instance that replies.
type StatusReply struct {
	Instance         string           `json:"instance"`
	AvailabilityZone string           `json:"availability-zone"`
	Region           string           `json:"region"`
	Build            string           `json:"build,omitempty"`
	Started          time.Time        `json:"started"`
	Ready            bool             `json:"ready"`
	Reason           string           `json:"reason,omitempty"` // why the instance is not ready
	Config           ConfigStatus     `json:"config"`
	Log              LogStatus        `json:"log"`
	Bills            BillsStatus      `json:"bills"`
	Suspects         int              `json:"suspects"`
	Peers            []PeerStatus     `json:"peers,omitempty"`
	Endpoints        []EndpointStatus `json:"endpoints,omitempty"`
	Versions         []VersionReply   `json:"versions,omitempty"`
}

// ConfigStatus tells which part of the config stream is in force.
type ConfigStatus struct {
	Next      uint64    `json:"next"`      // records at lower offsets are in force
	Known     uint64    `json:"known"`     // highest offset reported by the log or a peer
	Confirmed time.Time `json:"confirmed"` // when the configuration was last known to be the newest
}

// LogStatus tells whether the platform's log is reachable.
type LogStatus struct {
	Up    bool      `json:"up"`
	Since time.Time `json:"since"` // when the log was last read up to its end
}

// BillsStatus counts the bills that the log has not confirmed yet.
type BillsStatus struct {
	Held      int `json:"held"`      // bills for the instance's own requests
	Witnessed int `json:"witnessed"` // copies of peers' bills
	Buffer    int `json:"buffer"`    // upper bound for the sum of Held and Witnessed
}

// PeerStatus describes another instance.
type PeerStatus struct {
	Instance         string `json:"instance"`
	AvailabilityZone string `json:"availability-zone"`
	State            string `json:"state"`
	Config           uint64 `json:"config"` // the peer's ConfigStatus.Next
}

// EndpointStatus describes an endpoint from the view of the instance that replies.
type EndpointStatus struct {
	Endpoint         string   `json:"endpoint"`
	Role             string   `json:"role"`
	AvailabilityZone string   `json:"availability-zone"`
	State            string   `json:"state"`
	Versions         []string `json:"versions,omitempty"`
	Outstanding      int      `json:"outstanding"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChatRequest is the body of POST /v1/chat/completions; Model is the name of a profile.
// Requests and answers use the field names of the common chat completions API.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// ChatReply is a complete answer or one event of a streamed answer.
type ChatReply struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // Unix time in seconds
	Model   string   `json:"model"`   // version that generated the answer
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is an answer in Message or, in a stream, a part of one in Delta; FinishReason is set when the answer is complete.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Usage counts the tokens of a request and its answer.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// streamEvent is the data of one server-sent event: a part of an answer, or the error that ends the stream.
type streamEvent struct {
	ChatReply
	Error json.RawMessage `json:"error,omitempty"`
}
