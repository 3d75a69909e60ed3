package instance

import (
	"github.com/cassiaspoke/cassiaspoke/internal/operator"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
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
	running := i.suspects.outstanding()
	for _, x := range *i.control.listed.Load() {
		if x.Role != platform.RoleRouter {
			e := endpointStatus(x)
			e.Outstanding = running[x.ID]
			s.Endpoints = append(s.Endpoints, e)
		}
	}
	return s
}

func endpointStatus(x platform.Instance) client.EndpointStatus {
	state := "listed"
	if x.Leaving {
		state = "leaving"
	}
	return client.EndpointStatus{
		Endpoint: x.ID, Role: string(x.Role), AvailabilityZone: x.Zone, State: state, Versions: x.Versions,
	}
}
