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

// BillBatch is one record of the bills stream.
type BillBatch struct {
	ID    string `json:"id"`
	Bills []Bill `json:"bills"`
}
