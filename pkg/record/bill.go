package record

import "time"

// Bill is the charge for one request; Organisation and Key identify it.
type Bill struct {
	Organisation string    `json:"organisation"`
	Key          string    `json:"key"`
	Profile      string    `json:"profile,omitempty"`
	Service      string    `json:"service,omitempty"`
	Version      string    `json:"version,omitempty"` // version that gave the answer
	Input        int64     `json:"input,omitempty"`   // tokens over all steps
	Output       int64     `json:"output,omitempty"`  // tokens over all steps
	Cost         Micros    `json:"cost"`
	Issued       time.Time `json:"issued"`
	Instance     string    `json:"instance"`
}

// BillID identifies a bill.
type BillID struct {
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
}

// ID returns what identifies the bill.
func (b Bill) ID() BillID { return BillID{b.Organisation, b.Key} }

// BillCheck states that the writer has found none of a batch's bills in the stream below offset Next.
type BillCheck struct {
	Next    uint64    `json:"next"`
	Time    time.Time `json:"time"`              // the log's time of the check
	Trimmed bool      `json:"trimmed,omitempty"` // the stream no longer reached back to the issue of the bills
}

// BillBatch is one record of the bills stream; bills that were held too long need a check.
type BillBatch struct {
	ID    string     `json:"id"`
	Check *BillCheck `json:"check,omitempty"`
	Bills []Bill     `json:"bills"`
}
