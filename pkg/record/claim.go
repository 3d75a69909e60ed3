package record

// ClaimKind is the type of a claim record.
type ClaimKind string

// Kinds of claim record.
const (
	ClaimTake    ClaimKind = "claim"   // the attempt claims the right to run the request
	ClaimVoid    ClaimKind = "void"    // the attempt has not run the request and never will
	ClaimOutcome ClaimKind = "outcome" // the attempt has sent the request; Outcome holds the result
)

// Claim is a record of one attempt to run the request with an idempotency key, identified by Kind and Attempt.
type Claim struct {
	Kind         ClaimKind `json:"kind"`
	Organisation string    `json:"organisation"`
	Key          string    `json:"key"`             // idempotency key, a UUIDv7
	Attempt      string    `json:"attempt"`         // identifier, unique across all instances
	Instance     string    `json:"instance"`        // instance that makes the attempt
	Limit        Duration  `json:"limit,omitempty"` // time after the claim by which the outcome is due
	Outcome      *Outcome  `json:"outcome,omitempty"`
}

// Outcome is the result of a request that was sent to an endpoint.
type Outcome struct {
	Unknown bool   `json:"unknown,omitempty"` // the reply was lost; the request may have run
	Status  int    `json:"status,omitempty"`
	Digest  string `json:"digest,omitempty"` // SHA-256 of the body, in hexadecimal
	Type    string `json:"type,omitempty"`   // content type
	Body    []byte `json:"body,omitempty"`
	Kept    bool   `json:"kept,omitempty"` // Body holds the complete body
}

// ClaimBatch is one record of a claims partition.
type ClaimBatch struct {
	Claims []Claim `json:"claims"`
}
