package instance

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/operator"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// status returns the state of the instance for the operators' API.
func (i *Instance) status() client.StatusReply {
	c := i.config.Catalog()
	s := client.StatusReply{
		Instance: i.options.ID, AvailabilityZone: i.options.AvailabilityZone, Region: i.options.Region, Build: i.options.Build, Started: i.startedAt,
		Ready:    true,
		Config:   client.ConfigStatus{Next: c.Next, Known: c.Next, Confirmed: i.config.LastRead()},
		Log:      client.LogStatus{Up: !i.config.ReadFailed(), Since: i.config.LastRead()},
		Bills:    client.BillsStatus{Held: i.ledger.biller.HeldBills(), Buffer: i.ledger.maxBufferedBills},
		Suspects: len(i.suspects.report().Marks),
		Versions: operator.VersionReplies(c),
	}
	if err := i.CheckReady(); err != nil {
		s.Ready, s.Reason = false, err.Error()
	}
	if n, err := i.peers.KnownConfigEnd(i.ctx); err == nil {
		s.Config.Known = uint64(n)
	}
	for _, p := range i.peers.View().Peers {
		s.Peers = append(s.Peers, client.PeerStatus{Instance: p.ID, AvailabilityZone: p.Zone, State: p.State.String()})
	}
	for _, e := range i.control.endpointStatuses() {
		s.Endpoints = append(s.Endpoints, newEndpointStatus(e))
	}
	return s
}

// newEndpointStatus converts the status of an endpoint to its form in the operators' API.
func newEndpointStatus(e endpoint.Status) client.EndpointStatus {
	role := platform.RoleEngine
	if e.Service != "" {
		role = platform.RoleService
	}
	return client.EndpointStatus{
		Endpoint: e.ID, Role: string(role), AvailabilityZone: e.Zone, State: string(e.State), Versions: e.Versions,
		Outstanding: int(e.Outstanding),
	}
}

// endpointStatuses requests the status of every endpoint from the control goroutine. It returns nil after the instance has
// stopped.
func (c *control) endpointStatuses() []endpoint.Status {
	reply := make(chan []endpoint.Status, 1)
	c.postEvent(func(time.Time) { reply <- c.table.Status() })
	select {
	case l := <-reply:
		return l
	case <-c.ctx.Done():
		return nil
	}
}

// stateCheckInterval is the interval between checks for changed endpoint states. A check of 4,500 endpoints takes about a
// millisecond.
const stateCheckInterval = time.Second

// recordStateChanges writes an event for each endpoint whose state changed since the previous check.
func (c *control) recordStateChanges(now time.Time) {
	if now.Sub(c.statesCheckedAt) < stateCheckInterval {
		return
	}
	c.statesCheckedAt = now
	states := make(map[string]endpoint.State, len(c.states))
	for _, e := range c.table.Status() {
		states[e.ID] = e.State
		if previous, ok := c.states[e.ID]; ok && previous != e.State {
			c.events.Write(timeline.Event{
				Component: "endpoints", Name: string(e.State), Endpoint: e.ID, Fields: map[string]string{"from": string(previous)},
			})
		}
	}
	c.states = states
}
