package routing

import (
	"net/netip"
	"time"
)

// Endpoint is the registration of one process of an engine or another service; a restarted process is a new endpoint.
type Endpoint struct {
	ID               string
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Version          string        // software version
	Slots            int           // number of requests that run concurrently
	Leaving          bool          // the process has announced its stop
	WarmUpRemaining  time.Duration // time for which the process is slow after the registration
	Sequence         int64         // increases with each registration of one process
	StartedAtMS      int64         // start time of the process in Unix milliseconds; 0 if unknown
}

// EndpointChange is one record of the registry; Endpoint is nil if the entry was removed.
type EndpointChange struct {
	ID       string
	Endpoint *Endpoint
}

// RolloutOrder requests that the traffic of a service move to a version within a time.
type RolloutOrder struct {
	Service  string
	Target   string // version
	Duration time.Duration
}

// RolloutState is the state of a roll-out.
type RolloutState string

// States of a roll-out.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled-back"
)

// RolloutStatus is the published status of a roll-out.
type RolloutStatus struct {
	Service string
	Target  string // version
	State   RolloutState
}

// EvacuationChange orders or ends the evacuation of an availability zone. While one is in force, the endpoints of the zone get
// no requests.
type EvacuationChange struct {
	AvailabilityZone string
	Active           bool
}

// OperatorChange is one record written by the operators; exactly one field is set.
type OperatorChange struct {
	Configuration *Configuration
	Order         *RolloutOrder
	Evacuation    *EvacuationChange
}
