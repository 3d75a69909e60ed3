package membership

import "time"

// Event is an input of Table.Step.
type Event interface{ event() }

// Tick starts a probing period; Draw seeds the random choices of the period.
type Tick struct{ Draw uint64 }

// List carries the platform's list of instances, which may be out of date; an empty list is ignored.
type List struct{ Members []Member }

// Received carries the message of a probe that a peer sent to this instance.
type Received struct{ Message Message }

// Answered carries the answer to a direct probe that was sent to Peer at Sent.
type Answered struct {
	Peer    string
	Sent    time.Time
	Message Message
}

// Failed reports that a direct probe and its retry on a new connection failed.
type Failed struct {
	Peer    string
	Refused bool // whether the host refused the connection
}

// Helped reports the outcome of the indirect probes of Peer that helpers were asked for at Sent.
type Helped struct {
	Peer     string
	Sent     time.Time
	Answered bool
	Refused  []string // IDs of helpers whose connection to Peer was refused
	Denied   []string // IDs of helpers that got no answer from Peer
}

// LogRead reports a successful read of the config stream: the request was sent at Sent and the stream ended at Next.
type LogRead struct {
	Sent time.Time
	Next uint64
}

// Applied reports that this instance has applied all config records below Next.
type Applied struct{ Next uint64 }

// Leave starts a planned stop of this instance.
type Leave struct{}

func (Tick) event()     {}
func (List) event()     {}
func (Received) event() {}
func (Answered) event() {}
func (Failed) event()   {}
func (Helped) event()   {}
func (LogRead) event()  {}
func (Applied) event()  {}
func (Leave) event()    {}

// Action is an output of Table.Step.
type Action interface{ action() }

// Probe requests a direct probe of Peer.
type Probe struct{ Peer Member }

// AskHelpers requests indirect probes of Peer by each of Helpers.
type AskHelpers struct {
	Peer    Member
	Helpers []Member
}

// Changed reports a change of a peer's state; From is 0 for a new peer.
type Changed struct {
	Peer     Member
	From, To State
}

func (Probe) action()      {}
func (AskHelpers) action() {}
func (Changed) action()    {}
