package record

import "time"

// Bill is the charge for one request, identified by Organisation and Key.
type Bill struct {
	Organisation string    `json:"organisation"`
	Key          string    `json:"key"`
	Profile      string    `json:"profile,omitempty"`
	Service      string    `json:"service,omitempty"`
	Version      string    `json:"version,omitempty"` // version that generated the answer
	Input        int64     `json:"input,omitempty"`   // input tokens, all model calls of the request together
	Output       int64     `json:"output,omitempty"`  // output tokens, all model calls of the request together
	Cost         Micros    `json:"cost"`
	Issued       time.Time `json:"issued"`
	Instance     string    `json:"instance"`
}

// BillID is the identity of a bill.
type BillID struct {
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
}

// ID returns the identity of the bill.
func (b Bill) ID() BillID { return BillID{b.Organisation, b.Key} }

// BillCheck states that the writer read the stream up to offset Next and found none of the bills of its batch.
type BillCheck struct {
	Next    uint64    `json:"next"`
	Time    time.Time `json:"time"`              // time of the check by the log's clock
	Trimmed bool      `json:"trimmed,omitempty"` // records from the time when the bills were issued were already deleted
}

// BillBatch is one record of the bills stream; Check is required for bills that were held too long before they were written.
type BillBatch struct {
	ID    string     `json:"id"`
	Check *BillCheck `json:"check,omitempty"`
	Bills []Bill     `json:"bills"`
}
