package membership

import "time"

// Event is an input of Table.Step.
type Event interface{ event() }

// Tick starts a probing period; Seed seeds the random choices of the period.
type Tick struct{ Seed uint64 }

// InstancesListed carries the platform's list of instances, which may be out of date; an empty list is ignored.
type InstancesListed struct{ Instances []Member }

// ProbeReceived carries the message of a probe that a peer sent to this instance.
type ProbeReceived struct{ Message Message }

// ProbeAnswered carries the answer to a direct probe that was sent to Peer at Sent.
type ProbeAnswered struct {
	Peer    string
	Sent    time.Time
	Message Message
}

// ProbeFailed reports that a direct probe and its retry on a new connection failed.
type ProbeFailed struct {
	Peer    string
	Refused bool // whether the host refused the connection
}

// IndirectProbeFinished reports the outcome of the indirect probes of Peer that helpers were asked for at Sent.
type IndirectProbeFinished struct {
	Peer              string
	Sent              time.Time
	Succeeded         bool
	RefusedHelpers    []string // IDs of helpers whose connection to Peer was refused
	UnansweredHelpers []string // IDs of helpers that got no answer from Peer
}

// ConfigLogRead reports a successful read of the config stream: the request was sent at Sent and the stream ended at
// ConfigNext.
type ConfigLogRead struct {
	Sent       time.Time
	ConfigNext uint64
}

// ConfigApplied reports that this instance has applied all config records below ConfigNext.
type ConfigApplied struct{ ConfigNext uint64 }

// StopPlanned starts a planned stop of this instance.
type StopPlanned struct{}

func (Tick) event()                  {}
func (InstancesListed) event()       {}
func (ProbeReceived) event()         {}
func (ProbeAnswered) event()         {}
func (ProbeFailed) event()           {}
func (IndirectProbeFinished) event() {}
func (ConfigLogRead) event()         {}
func (ConfigApplied) event()         {}
func (StopPlanned) event()           {}

// Action is an output of Table.Step.
type Action interface{ action() }

// Probe requests a direct probe of Peer.
type Probe struct{ Peer Member }

// ProbeIndirectly requests indirect probes of Peer by each of Helpers.
type ProbeIndirectly struct {
	Target  Member
	Helpers []Member
}

// StateChanged reports a change of a peer's state; From is 0 for a new peer.
type StateChanged struct {
	Peer     Member
	From, To State
}

func (Probe) action()           {}
func (ProbeIndirectly) action() {}
func (StateChanged) action()    {}
