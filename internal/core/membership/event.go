package membership

import "time"

// Event is an input of Step.
type Event interface{ event() }

// Tick starts a probing period; Draw is a random number.
type Tick struct{ Draw uint64 }

// List is the platform's list of instances, which lags behind; an empty one is ignored.
type List struct{ Members []Member }

// Received is the message of a peer's probe.
type Received struct{ Message Message }

// Answered is the answer to a direct probe of Peer that was sent at Sent.
type Answered struct {
	Peer    string
	Sent    time.Time
	Message Message
}

// Failed says that a direct probe got no answer, on a new connection too.
type Failed struct {
	Peer    string
	Refused bool // the host refused the connection
}

// Helped is the outcome of the probes through helpers.
type Helped struct {
	Peer     string
	Sent     time.Time
	Answered bool
	Refused  []string // helpers that were refused the connection
	Denied   []string // helpers that got no answer either
}

// LogRead is a successful read of the config stream: the request was sent at Sent, Next is the end of the stream.
type LogRead struct {
	Sent time.Time
	Next uint64
}

// Applied says that the instance folded all config records below Next.
type Applied struct{ Next uint64 }

// Leave announces a planned stop.
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

// Action is an output of Step.
type Action interface{ action() }

// Probe asks for a direct probe.
type Probe struct{ Peer Member }

// AskHelpers asks for indirect probes of Peer.
type AskHelpers struct {
	Peer    Member
	Helpers []Member
}

// Changed reports a change of a peer's state.
type Changed struct {
	Peer     Member
	From, To State
}

func (Probe) action()      {}
func (AskHelpers) action() {}
func (Changed) action()    {}
