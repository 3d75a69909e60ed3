package directory

import (
	"net/netip"
	"time"
)

// Endpoint is one start of an engine or of a plain service's process, as it registered itself.
type Endpoint struct {
	ID               string
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Version          string // of its software
	Slots            int
	Leaving          bool
	Cold             time.Duration // for which it stays slow after the registration
	Sequence         int64         // rises with each registration of one start
	Born             int64         // time of its start in Unix milliseconds; 0 if unknown
}

// EndpointChange is one record of the registry; Endpoint is nil when the entry was removed.
type EndpointChange struct {
	ID       string
	Endpoint *Endpoint
}

// RolloutOrder asks to move the traffic of a service to a version within a time.
type RolloutOrder struct {
	Service  string
	Target   string
	Duration time.Duration
}

// RolloutState is where a roll-out stands.
type RolloutState string

// States of a roll-out.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled-back"
)

// RolloutStatus is the published state of a roll-out.
type RolloutStatus struct {
	Service string
	Target  string
	State   RolloutState
}

// OperatorChange is one record of the operators; just one field is set.
type OperatorChange struct {
	Directory *Directory
	Order     *RolloutOrder
}
