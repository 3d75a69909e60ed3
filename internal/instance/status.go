package instance

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/operator"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// status tells an operator what the instance knows.
func (i *Instance) status() client.StatusReply {
	k := i.config.Catalog()
	s := client.StatusReply{
		Instance: i.o.ID, AvailabilityZone: i.o.Zone, Region: i.o.Region, Build: i.o.Build, Started: i.started,
		Ready:    true,
		Config:   client.ConfigStatus{Next: k.Next, Known: k.Next, Confirmed: i.config.LastRead()},
		Log:      client.LogStatus{Up: !i.config.Down(), Since: i.config.LastRead()},
		Bills:    client.BillsStatus{Held: i.ledger.bills.Len(), Buffer: i.ledger.bound},
		Suspects: len(i.suspects.report().Marks),
		Versions: operator.Versions(k),
	}
	if err := i.Ready(); err != nil {
		s.Ready, s.Reason = false, err.Error()
	}
	if n, err := i.peers.Known(i.ctx); err == nil {
		s.Config.Known = uint64(n)
	}
	for _, p := range i.peers.View().Peers {
		s.Peers = append(s.Peers, client.PeerStatus{Instance: p.ID, AvailabilityZone: p.Zone, State: p.State.String()})
	}
	for _, e := range i.control.status() {
		s.Endpoints = append(s.Endpoints, endpointStatus(e))
	}
	return s
}

func endpointStatus(e endpoint.Status) client.EndpointStatus {
	role := platform.RoleEngine
	if e.Service != "" {
		role = platform.RoleService
	}
	return client.EndpointStatus{
		Endpoint: e.ID, Role: string(role), AvailabilityZone: e.Zone, State: string(e.State), Versions: e.Versions,
		Outstanding: int(e.Outstanding),
	}
}

// status asks the control goroutine for the endpoints; it returns none once the instance has ended.
func (c *control) status() []endpoint.Status {
	out := make(chan []endpoint.Status, 1)
	c.post(func(time.Time) { out <- c.table.Status() })
	select {
	case l := <-out:
		return l
	case <-c.ctx.Done():
		return nil
	}
}

// noteEvery is the time between two looks at the endpoints' states; a look at 4,500 takes about a millisecond.
const noteEvery = time.Second

// noteStates writes an event for each endpoint whose state changed since the last look.
func (c *control) noteStates(at time.Time) {
	if at.Sub(c.noted) < noteEvery {
		return
	}
	c.noted = at
	now := make(map[string]endpoint.State, len(c.states))
	for _, e := range c.table.Status() {
		now[e.ID] = e.State
		if old, ok := c.states[e.ID]; ok && old != e.State {
			c.events.Write(timeline.Event{
				Part: "endpoints", Name: string(e.State), Endpoint: e.ID, Fields: map[string]string{"from": string(old)},
			})
		}
	}
	c.states = now
}
