package endpoint

import (
	"net/netip"
	"slices"
)

// State tells whether an endpoint gets new work.
type State string

// States of an endpoint.
const (
	Live      State = "live"
	Ejected   State = "ejected"   // it failed and gets no new work until a probe on a new connection succeeds
	Returning State = "returning" // it gets a trickle of work after an ejection
	Leaving   State = "leaving"   // the list or its own answers say that it leaves
)

// Status is what the table knows about one endpoint.
type Status struct {
	ID          string
	Zone        string
	Service     string // empty for an engine
	Address     netip.AddrPort
	State       State
	Versions    []string
	Outstanding int64 // requests of this instance
}

// Status returns all endpoints by identifier, for status pages and events.
func (t *Table) Status() []Status {
	l := make([]Status, 0, len(t.order))
	for _, e := range t.order {
		l = append(l, Status{
			ID: e.id, Zone: e.zone, Service: e.service, Address: e.address, State: e.status(),
			Versions: slices.Clone(e.versions), Outstanding: e.count.outstanding.Load(),
		})
	}
	return l
}

func (e *entry) status() State {
	switch {
	case e.leaving():
		return Leaving
	case e.state == stateOut:
		return Ejected
	case e.state == stateReturning:
		return Returning
	default:
		return Live
	}
}
