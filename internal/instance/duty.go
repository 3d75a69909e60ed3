package instance

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/loading"
	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/internal/core/rollout"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/fleet"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
)

// Duties of which one instance at a time has each.
const (
	dutyRollOut = "roll-out"
	dutyLoading = "loading/" // followed by an availability zone
)

const (
	observers      = 16 // engines that are observed at once
	observeTimeout = time.Second
)

// Loading says how engines are brought to the versions that the catalog wants.
type Loading struct {
	On       bool          // send commands to engines
	Slots    int           // versions that an engine holds at once
	Spare    int           // engines of a zone that keep an older active version for its sessions
	Loads    int           // engines of a zone that load at once
	Every    time.Duration // between observations
	Repeat   time.Duration // until a command without effect is sent again
	Term     time.Duration // of a lease
	PollWait time.Duration // of a read of the leases
}

// DefaultLoading sends no commands, because an operator has to say how many versions an engine holds.
func DefaultLoading() Loading {
	return Loading{Slots: 4, Spare: 1, Loads: 2, Every: 5 * time.Second, Repeat: time.Minute, Term: 15 * time.Second, PollWait: time.Second}
}

// duties starts the work that needs a lease.
func (i *Instance) duties() {
	s := fleet.DefaultLeaseKeeperSettings(i.o.ID)
	s.Term, s.PollInterval = i.o.Loading.Term, i.o.Loading.PollWait
	s.MayAcquire = func(string) bool { return !i.stopping.Load() }
	k := fleet.NewLeaseKeeper(s, i.o.Log, i.o.Logger, i.o.Scope.SubScope("fleet"))
	i.work.Go(func() { k.FollowStream(i.ctx) })
	i.work.Go(func() { k.HoldLease(i.ctx, dutyRollOut, i.advance) })
	if i.o.Loading.On {
		i.work.Go(func() { k.HoldLease(i.ctx, dutyLoading+i.o.Zone, i.load) })
	}
}

// advance lets this instance advance roll-outs while it holds the lease. An advance that comes late is refused by
// the fold of the config stream, because another one changed the revision.
func (i *Instance) advance(ctx context.Context, g *fleet.HeldLease) error {
	i.o.Events.Write(timeline.Event{Part: "fleet", Name: "lease-taken", Fields: map[string]string{"duty": g.Duty, "token": fmt.Sprint(g.Token)}})
	i.control.post(rollout.LeaseChanged{Held: true})
	<-ctx.Done()
	i.control.post(rollout.LeaseChanged{})
	return ctx.Err()
}

// load brings the engines of the own availability zone to the wanted versions while it holds the lease.
func (i *Instance) load(ctx context.Context, g *fleet.HeldLease) error {
	l := i.o.Loading
	s := fleet.LoaderSettings{
		Pool:   loading.Pool{Name: i.o.Zone, Slots: l.Slots, Spare: l.Spare},
		Limits: loading.Limits{Loads: l.Loads, Repeat: l.Repeat}, ObserveInterval: l.Every,
	}
	desire := func(engines int) []loading.Want {
		k := i.config.Catalog()
		p := s.Pool
		p.Models = models(k)
		return loading.Desire(k, p, engines)
	}
	return fleet.NewLoader(s, commands{i}, i.o.Weights, desire, i.o.Logger, i.o.Scope.SubScope("fleet")).LoadVersions(ctx, g)
}

func models(k *profile.Catalog) []string {
	m := map[string]bool{}
	for n := range k.Versions {
		m[profile.Model(n)] = true
	}
	return slices.Sorted(maps.Keys(m))
}

// commands observes and commands the engines of the own availability zone.
type commands struct{ i *Instance }

// ObserveEngines asks the engines of a zone for their versions. Versions that the catalog does not know are left alone.
func (c commands) ObserveEngines(ctx context.Context, zone string) ([]loading.Engine, error) {
	var mu sync.Mutex
	var l []loading.Engine
	var g sync.WaitGroup
	limit := make(chan struct{}, observers)
	known := c.i.config.Catalog().Versions
	for _, x := range *c.i.control.listed.Load() {
		if x.Role != platform.RoleEngine || x.Zone != zone {
			continue
		}
		limit <- struct{}{}
		g.Go(func() {
			defer func() { <-limit }()
			p, cancel := context.WithTimeout(ctx, observeTimeout)
			defer cancel()
			r, err := c.i.engines.Probe(p, x.Address)
			if err != nil {
				return // an engine that does not answer gets no commands
			}
			e := loading.Engine{ID: x.ID, Role: loading.Role(r.Role), Leaving: x.Leaving || r.Leaving}
			for _, v := range r.Versions {
				if _, ok := known[v]; ok {
					e.Versions = append(e.Versions, v)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			l = append(l, e)
		})
	}
	g.Wait()
	return l, nil
}

// SendCommand sends a command with the lease's fencing token; an engine that checks tokens refuses an old one.
func (c commands) SendCommand(ctx context.Context, m loading.Command) error {
	a, ok := c.address(m.Engine)
	if !ok {
		return fmt.Errorf("engine %s is not listed any more", m.Engine)
	}
	x, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	c.i.o.Events.Write(timeline.Event{
		Part: "fleet", Name: "engine-command", Version: m.Version, Endpoint: m.Engine,
		Fields: map[string]string{"kind": string(m.Kind), "token": fmt.Sprint(m.Token)},
	})
	err := c.i.engines.Order(x, a, engine.Command{Action: string(m.Kind), Version: m.Version, Role: string(m.Role), Fence: m.Token})
	if err != nil {
		return fmt.Errorf("command %s: %w", m.Engine, err)
	}
	return nil
}

func (c commands) address(id string) (netip.AddrPort, bool) {
	for _, x := range *c.i.control.listed.Load() {
		if x.ID == id {
			return x.Address, true
		}
	}
	return netip.AddrPort{}, false
}
