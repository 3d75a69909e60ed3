package endpoint

import (
	"net/netip"
	"slices"
)

// State says whether an endpoint gets new requests.
type State string

// States of an endpoint.
const (
	Live      State = "live"
	Ejected   State = "ejected"   // gets no new requests until a probe on a new connection succeeds
	Returning State = "returning" // gets few requests at a time after an ejection
	Evacuated State = "evacuated" // its availability zone is evacuated
	Leaving   State = "leaving"   // the list or the endpoint itself says that it is leaving
)

// Status describes an endpoint for status pages.
type Status struct {
	ID          string
	Zone        string
	Service     string // empty for an engine
	Address     netip.AddrPort
	State       State
	Versions    []string
	Outstanding int64 // requests of this instance
}

// Status returns the status of all endpoints in the order of their identifiers.
func (t *Table) Status() []Status {
	statuses := make([]Status, 0, len(t.entries))
	for _, e := range t.entries {
		statuses = append(statuses, Status{
			ID: e.id, Zone: e.zone, Service: e.service, Address: e.address, State: e.exportedState(),
			Versions: slices.Clone(e.versions), Outstanding: e.counters.outstanding.Load(),
		})
	}
	return statuses
}

func (e *entry) exportedState() State {
	switch {
	case e.leaving():
		return Leaving
	case e.evacuated:
		return Evacuated
	case e.state == healthEjected:
		return Ejected
	case e.state == healthReturning:
		return Returning
	default:
		return Live
	}
}
