package record

import (
	"encoding/json"
	"time"
)

// GrantKind names what a grant record asks for.
type GrantKind string

// Kinds of grant record.
const (
	GrantTake   GrantKind = "take"
	GrantReturn GrantKind = "return"
)

// Grant is a holder's request to take from, or return to, one limit of an organisation in one period.
// Holder and Seq identify it: a holder's records count in the order of Seq, and a copy does not count.
type Grant struct {
	Kind         GrantKind `json:"kind"`
	Organisation string    `json:"organisation"`
	Holder       string    `json:"holder"` // unique per start of an instance
	Seq          uint64    `json:"seq"`
	Unit         Unit      `json:"unit"`
	Period       Duration  `json:"period"`
	Index        int64     `json:"index"` // periods since 1970 at the log's time
	Amount       int64     `json:"amount"`
	Revision     uint64    `json:"revision"`         // of the organisation
	Limits       []Limit   `json:"limits,omitempty"` // of the organisation at Revision
}

// GrantBatch is one record of the grants stream; it holds grants or a snapshot.
type GrantBatch struct {
	Grants   []Grant        `json:"grants,omitempty"`
	Snapshot *GrantSnapshot `json:"snapshot,omitempty"`
}

// GrantSnapshot is the state of the grants stream after all offsets below Covers.
type GrantSnapshot struct {
	Covers uint64          `json:"covers"`
	State  json.RawMessage `json:"state,omitempty"`
	// Since is set when no reader knows the records before Covers; periods that began before it are closed.
	Since time.Time `json:"since,omitzero"`
}
