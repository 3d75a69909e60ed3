package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

// Bounds from the settings of the instances.
const (
	drainBound      = time.Second
	applyBound      = time.Second
	stabilityWindow = 3 * time.Second
	rollbackGrace   = 250 * time.Millisecond // a process may use an older configuration again for so long, as the platform's rule on older configurations allows
)

// disturbance is a period of a fault in an instance or the store; to is zero while the fault lasts.
type disturbance struct {
	from, to time.Time
}

// instance is an instance under test, across restarts of its process.
type instance struct {
	index    int
	settings string

	settingsMu sync.Mutex // held while the settings file is written, and while a process starts with it
	store      *link      // its connections to the store
	peers      *link      // connections of other instances to it

	mu            sync.Mutex
	process       *process // nil while the instance is down
	processNumber int      // number of processes started
	logs          []*output
	disturbances  []*disturbance
}

// endpoint is an engine or a plain service, reached through a link.
type endpoint struct {
	*standin.Endpoint
	link              *link
	shutdownAnnounced time.Time      // when it announced its shutdown, guarded by fleet.mu
	leaving           bool           // it announces its shutdown in its responses only; guarded by fleet.mu
	removedAt         time.Time      // when it was closed, guarded by fleet.mu
	linkDisturbances  []*disturbance // guarded by fleet.mu
	limits            []limitSpan    // guarded by fleet.mu
}

// fleet holds the instances under test, their endpoints and store, and the requests and events of the run.
type fleet struct {
	options   Options
	rng       *rand.Rand // draws the schedule; guarded by mu while faults run
	store     *standin.Store
	instances []*instance

	mu                sync.Mutex
	endpoints         []*endpoint // includes removed endpoints
	endpointsCreated  int
	config            standin.Configuration
	version           int
	prefixes          []configChange // successive path prefixes of the idempotent route
	apiKeys           []configChange // successive second API keys of the organisation
	storeDisturbances []*disturbance
	storeReturns      []*disturbance                // in order
	lost              map[string]standin.LostRecord // records that their owners have not written again since a return, by key
	requests          []*request
	events            []string
}

// configChange is a published change of one value of the configuration.
type configChange struct {
	publishedAt  time.Time // when the store acknowledged the change
	value        string    // value from then on
	lost         bool      // by a return, and not written again
	givenAgainAt time.Time // after a return that lost it; zero otherwise
}

func newFleet(o Options) (*fleet, error) {
	f := &fleet{
		options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), store: standin.NewStore(), config: standin.NewConfiguration(1), version: 1,
		lost: map[string]standin.LostRecord{},
	}
	f.changePrefix()
	f.rotateKey()
	for range o.Engines {
		if err := f.addEndpoint(standin.EngineService); err != nil {
			return nil, err
		}
	}
	for range 3 {
		if err := f.addEndpoint(standin.PlainService); err != nil {
			return nil, err
		}
	}
	for i := range o.Instances {
		n := &instance{index: i}
		var err error
		if n.store, err = newLink(f.store.Address()); err != nil {
			return nil, err
		}
		if n.peers, err = newLink(netip.AddrPort{}); err != nil {
			return nil, err
		}
		n.peers.responseDelay = o.PeerDelay
		f.instances = append(f.instances, n)
	}
	for _, n := range f.instances {
		if err := f.startInstance(n); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// configKey is the key of the configuration in the store.
const configKey = "config"

// seedInstances is the number of seeds: instances that read the store on behalf of the others.
const seedInstances = 2

// address returns the loopback address on which an instance listens. Each instance of each seed has its own one, as the port of
// a process that has ended may be given to another process while clients still connect to it.
func (f *fleet) address(n *instance) netip.Addr {
	s := f.options.Seed
	return netip.AddrFrom4([4]byte{127, byte(1 + s>>8%127), byte(s), byte(1 + n.index%254)})
}

// writeSettings writes the settings file of an instance. A seed lists port 0 for itself, as its own port is not known yet.
func (f *fleet) writeSettings(n *instance) error {
	free := netip.AddrPortFrom(f.address(n), 0)
	a := standin.Addresses{Requests: free, Readiness: free, Metrics: free, Peers: free}
	for _, s := range f.instances[:min(seedInstances, len(f.instances))] {
		if s == n {
			a.Seeds = append(a.Seeds, free)
		} else {
			a.Seeds = append(a.Seeds, s.peers.address())
		}
	}
	var err error
	n.settings, err = standin.WriteSettings(f.options.Dir, fmt.Sprintf("instance-%d", n.index), a, n.store.address())
	if err != nil {
		return &Error{Op: "write " + filepath.Base(n.settings), Kind: ErrSetup, Err: err}
	}
	return nil
}

// startInstance starts a process for an instance.
func (f *fleet) startInstance(n *instance) error {
	n.settingsMu.Lock() // until the process has read the file
	defer n.settingsMu.Unlock()
	if err := f.writeSettings(n); err != nil { // reloadSettings may have left a malformed file
		return err
	}
	p, err := startProcess(f.options.Executable, n.settings)
	if err != nil {
		return err
	}
	_, peers := p.out.addresses()
	n.peers.setTarget(peers)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = p
	n.processNumber++
	n.logs = append(n.logs, p.out)
	return nil
}

// requestAddress returns the address for requests and the process number, and false while the instance is down.
func (n *instance) requestAddress() (netip.AddrPort, int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return netip.AddrPort{}, n.processNumber, false
	}
	a, _ := n.process.out.addresses()
	return a, n.processNumber, true
}

func (n *instance) currentProcess() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// markDown records that the process has ended and makes the peer link refuse connections.
func (n *instance) markDown() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = nil
	n.peers.setTarget(netip.AddrPort{})
}

// beginDisturbance starts a disturbance of an instance and returns a function that ends it.
func (n *instance) beginDisturbance() func() {
	s := &disturbance{from: time.Now()}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbances = append(n.disturbances, s)
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		s.to = time.Now()
	}
}

// anyOverlaps reports whether a disturbance overlaps a period.
func anyOverlaps(l []*disturbance, from, to time.Time) bool {
	for _, s := range l {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// undisturbed reports whether the instance and the store had no disturbance up to the time to, since one stability window
// before the time from.
func (f *fleet) undisturbed(n *instance, from, to time.Time) bool {
	f.mu.Lock()
	returned := anyOverlaps(f.storeReturns, from.Add(-stabilityWindow), to)
	f.mu.Unlock()
	return !returned && f.undisturbedButReturns(n, from, to)
}

// undisturbedButReturns is undisturbed except that the store may have returned from older copies.
func (f *fleet) undisturbedButReturns(n *instance, from, to time.Time) bool {
	n.mu.Lock()
	disturbed := anyOverlaps(n.disturbances, from.Add(-stabilityWindow), to)
	n.mu.Unlock()
	if disturbed {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !anyOverlaps(f.storeDisturbances, from.Add(-stabilityWindow), to)
}

// addEndpoint starts an endpoint of a service and registers it.
func (f *fleet) addEndpoint(service string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpointsCreated++
	e := &endpoint{Endpoint: standin.NewEndpoint(fmt.Sprintf("endpoint-%d", f.endpointsCreated), service)}
	e.SetStream(6, 15*time.Millisecond)
	var err error
	if e.link, err = newLink(e.Address()); err != nil {
		return err
	}
	e.AdvertisedAddress = e.link.address()
	f.endpoints = append(f.endpoints, e)
	f.store.RegisterEndpoint(e.Endpoint)
	return nil
}

// randomEndpoint returns an endpoint of a service that is not shutting down, or nil if it is the last one.
func (f *fleet) randomEndpoint(service string) *endpoint { return f.drawEndpoint(service, f.rng) }

// drawEndpoint is randomEndpoint with draws from rng.
func (f *fleet) drawEndpoint(service string, rng *rand.Rand) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []*endpoint
	for _, e := range f.endpoints {
		if e.removedAt.IsZero() && !e.leaving && e.shutdownAnnounced.IsZero() && e.Service == service {
			l = append(l, e)
		}
	}
	if len(l) < 2 {
		return nil
	}
	return l[rng.IntN(len(l))]
}

// removeEndpoint deregisters an endpoint and closes it.
func (f *fleet) removeEndpoint(e *endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.removedAt = time.Now()
	f.store.RemoveEndpoint(e.Endpoint)
	f.noteWritten(e.ID)
	e.Close()
	e.link.close()
}

// publishConfig publishes the configuration as the next version and returns the time of the store's acknowledgement.
func (f *fleet) publishConfig() time.Time {
	f.version += 2
	f.config["version"] = f.version
	f.store.PublishConfiguration(f.config)
	f.noteWritten(configKey)
	return time.Now()
}

// changePrefix changes the path prefix of the idempotent route.
func (f *fleet) changePrefix() {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := fmt.Sprintf("/repeat-%d/", len(f.prefixes)+1)
	f.config.SetPathPrefix("idempotent", p)
	f.prefixes = append(f.prefixes, configChange{publishedAt: f.publishConfig(), value: p})
}

// rotateKey replaces the second API key of the organisation.
func (f *fleet) rotateKey() {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := fmt.Sprintf("rotated-%d", len(f.apiKeys)+1)
	f.config.SetAPIKeys(standin.APIKey, k)
	f.apiKeys = append(f.apiKeys, configChange{publishedAt: f.publishConfig(), value: k})
}

// addEvent appends a line to the events of the run.
func (f *fleet) addEvent(format string, a ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, a...))
}

// close kills the processes that the fleet started, and closes the links, the endpoints and the store.
func (f *fleet) close() {
	for _, n := range f.instances {
		if p := n.currentProcess(); p != nil {
			p.kill()
		}
		n.store.close()
		n.peers.close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		e.Close()
		e.link.close()
	}
	f.store.Close()
}
