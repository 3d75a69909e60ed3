package record

import (
	"encoding/json"
	"time"
)

// GrantKind is the type of a grant record.
type GrantKind string

// Kinds of grant record.
const (
	GrantTake   GrantKind = "take"
	GrantReturn GrantKind = "return"
)

// Grant is a holder's request to reserve an amount of one limit of an organisation in one period, or to return one.
// Holder and Seq identify it: the records of a holder are applied in the order of Seq, and duplicates are ignored.
type Grant struct {
	Kind         GrantKind `json:"kind"`
	Organisation string    `json:"organisation"`
	Holder       string    `json:"holder"` // identifies one process of an instance
	Seq          uint64    `json:"seq"`
	Unit         Unit      `json:"unit"`
	Period       Duration  `json:"period"`
	Index        int64     `json:"index"` // number of the period since 1970, by the log's clock
	Amount       int64     `json:"amount"`
	Revision     uint64    `json:"revision"`         // revision of the organisation
	Limits       []Limit   `json:"limits,omitempty"` // limits of the organisation at Revision
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
	Era    uint64          `json:"era,omitempty"` // of the log that the state was read from; a record of another era doesn't count
	// Since is set if the state before Covers is unknown; nothing is granted in periods that began before Since.
	Since time.Time `json:"since,omitzero"`
}
