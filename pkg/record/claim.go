package record

// ClaimKind names what a claim record states.
type ClaimKind string

// Kinds of claim record.
const (
	ClaimTake    ClaimKind = "claim"   // the attempt asks to be the one that runs the key
	ClaimVoid    ClaimKind = "void"    // the attempt has not run the key and never will
	ClaimOutcome ClaimKind = "outcome" // the attempt has run the key
)

// Claim is one statement of an attempt about its key; Kind and Attempt identify it.
type Claim struct {
	Kind         ClaimKind `json:"kind"`
	Organisation string    `json:"organisation"`
	Key          string    `json:"key"`      // UUIDv7
	Attempt      string    `json:"attempt"`  // unique over all instances
	Instance     string    `json:"instance"` // instance of the attempt
	Limit        Duration  `json:"limit,omitempty"`
	Outcome      *Outcome  `json:"outcome,omitempty"`
}

// Outcome is the result of a request that was sent.
type Outcome struct {
	Unknown bool   `json:"unknown,omitempty"` // the reply was lost; the request may have run
	Status  int    `json:"status,omitempty"`
	Digest  string `json:"digest,omitempty"` // SHA-256 of the body, in hexadecimal
	Type    string `json:"type,omitempty"`   // content type
	Body    []byte `json:"body,omitempty"`
	Kept    bool   `json:"kept,omitempty"` // Body holds the whole body
}

// ClaimBatch is one record of a claims partition.
type ClaimBatch struct {
	Claims []Claim `json:"claims"`
}
