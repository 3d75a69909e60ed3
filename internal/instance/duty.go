package instance

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/core/loading"
	"github.com/cassiaspoke/cassiaspoke/internal/core/rollout"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/fleet"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
)

// Duties, each performed by one instance at a time.
const (
	rollOutDuty       = "roll-out"
	loadingDutyPrefix = "loading/" // followed by an availability zone
)

const (
	maxParallelProbes = 16          // maximum number of engines probed at the same time
	engineTimeout     = time.Second // timeout of a probe or a command
)

// LoadingSettings configures how engines are made to load the versions that the catalog calls for.
type LoadingSettings struct {
	Enabled         bool          // whether this instance may send commands to engines
	SlotsPerEngine  int           // number of versions that an engine can hold at once
	SpareEngines    int           // engines of an availability zone that keep an older active version for its sessions
	ParallelLoads   int           // number of engines of an availability zone that may load at the same time
	ObserveInterval time.Duration // interval between observations of the engines
	RepeatInterval  time.Duration // time before a command is sent again if no report shows its effect
	LeaseTerm       time.Duration // duration of a lease
	PollInterval    time.Duration // maximum wait of a read of the leases stream for new records
}

// DefaultLoadingSettings returns settings that send no commands, because only an operator knows how many versions an
// engine can hold.
func DefaultLoadingSettings() LoadingSettings {
	return LoadingSettings{
		SlotsPerEngine: 4, SpareEngines: 1, ParallelLoads: 2, ObserveInterval: 5 * time.Second, RepeatInterval: time.Minute,
		LeaseTerm: 15 * time.Second, PollInterval: time.Second,
	}
}

// startDuties starts the duties that require a lease.
func (i *Instance) startDuties() {
	s := fleet.DefaultLeaseKeeperSettings(i.options.ID)
	s.Term, s.PollInterval = i.options.Loading.LeaseTerm, i.options.Loading.PollInterval
	s.MayAcquire = func(string) bool { return !i.stopping.Load() }
	k := fleet.NewLeaseKeeper(s, i.options.Log, i.options.Logger, i.options.Scope.SubScope("fleet"))
	i.goroutines.Go(func() { k.FollowStream(i.ctx) })
	i.goroutines.Go(func() { k.HoldLease(i.ctx, rollOutDuty, i.advanceRollOuts) })
	if i.options.Loading.Enabled {
		i.goroutines.Go(func() { k.HoldLease(i.ctx, loadingDutyPrefix+i.options.AvailabilityZone, i.loadVersions) })
	}
}

// advanceRollOuts lets this instance advance roll-outs while it holds the lease. Readers of the config stream refuse a late
// change of a former holder, because the revision has changed since.
func (i *Instance) advanceRollOuts(ctx context.Context, h *fleet.HeldLease) error {
	i.options.EventWriter.Write(timeline.Event{Component: "fleet", Name: "lease-taken", Fields: map[string]string{"duty": h.Duty, "token": fmt.Sprint(h.Token)}})
	i.control.postEvent(rollout.LeaseChanged{Held: true})
	<-ctx.Done()
	i.control.postEvent(rollout.LeaseChanged{})
	return ctx.Err()
}

// loadVersions makes the engines of this availability zone load the desired versions while this instance holds the lease.
func (i *Instance) loadVersions(ctx context.Context, h *fleet.HeldLease) error {
	l := i.options.Loading
	s := fleet.LoaderSettings{
		Pool:   loading.Pool{Name: i.options.AvailabilityZone, SlotsPerEngine: l.SlotsPerEngine, OldVersionEngines: l.SpareEngines},
		Limits: loading.Limits{ConcurrentLoads: l.ParallelLoads, ResendAfter: l.RepeatInterval}, ObserveInterval: l.ObserveInterval,
	}
	desire := func(engines int) []loading.DesiredVersion {
		c := i.config.Catalog()
		p := s.Pool
		p.Models = modelNames(c)
		return loading.DesiredVersions(c, p, engines)
	}
	return fleet.NewLoader(s, enginePool{i}, i.options.WeightStore, desire, i.options.Logger, i.options.Scope.SubScope("fleet")).LoadVersions(ctx, h)
}

// modelNames returns the sorted names of the models whose versions are in the catalog.
func modelNames(c *config.Catalog) []string {
	m := map[string]bool{}
	for version := range c.Versions {
		m[config.ModelName(version)] = true
	}
	return slices.Sorted(maps.Keys(m))
}

// enginePool probes the engines of an availability zone and sends them commands.
type enginePool struct{ instance *Instance }

// ObserveEngines probes the engines of a pool, which is an availability zone, for their versions. It omits versions that are
// not in the catalog, so that no command unloads them.
func (p enginePool) ObserveEngines(ctx context.Context, pool string) ([]loading.Engine, error) {
	var mu sync.Mutex
	var engines []loading.Engine
	var probes sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelProbes)
	known := p.instance.config.Catalog().Versions
	for _, instance := range *p.instance.control.instances.Load() {
		if instance.Role != platform.RoleEngine || instance.AvailabilityZone != pool {
			continue
		}
		semaphore <- struct{}{}
		probes.Go(func() {
			defer func() { <-semaphore }()
			probeCtx, cancel := context.WithTimeout(ctx, engineTimeout)
			defer cancel()
			r, err := p.instance.engines.Probe(probeCtx, instance.Address)
			if err != nil {
				return // an engine that does not reply receives no commands
			}
			e := loading.Engine{ID: instance.ID, Role: loading.Role(r.Role), Leaving: instance.Leaving || r.Leaving}
			for _, v := range r.Versions {
				if _, ok := known[v]; ok {
					e.ReadyVersions = append(e.ReadyVersions, v)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			engines = append(engines, e)
		})
	}
	probes.Wait()
	return engines, nil
}

// SendCommand sends a command with the fencing token of the lease. An engine that checks tokens refuses an outdated one.
func (p enginePool) SendCommand(ctx context.Context, c loading.Command) error {
	address, ok := p.engineAddress(c.Engine)
	if !ok {
		return fmt.Errorf("engine %s is no longer in the instance list", c.Engine)
	}
	commandCtx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	p.instance.options.EventWriter.Write(timeline.Event{
		Component: "fleet", Name: "engine-command", Version: c.Version, Endpoint: c.Engine,
		Fields: map[string]string{"kind": string(c.Kind), "token": fmt.Sprint(c.Token)},
	})
	err := p.instance.engines.SendCommand(commandCtx, address, engine.Command{Action: string(c.Kind), Version: c.Version, Role: string(c.Role), FencingToken: c.Token})
	if err != nil {
		return fmt.Errorf("send command to engine %s: %w", c.Engine, err)
	}
	return nil
}

func (p enginePool) engineAddress(id string) (netip.AddrPort, bool) {
	for _, instance := range *p.instance.control.instances.Load() {
		if instance.ID == id {
			return instance.Address, true
		}
	}
	return netip.AddrPort{}, false
}
