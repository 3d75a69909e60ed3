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

// Bounds that the settings of the instances state.
const (
	drainBound = time.Second
	applyBound = time.Second
	stability  = 3 * time.Second
	regress    = 250 * time.Millisecond // as the platform's rule on older configurations has it
)

// span is a time in which an instance is disturbed from outside; it has no end while that lasts.
type span struct {
	from, to time.Time
}

// instance is one of the instances, over all of its processes.
type instance struct {
	index    int
	settings string
	store    *link // its way to the store
	peers    *link // the others' way to it

	mu      sync.Mutex
	process *process // nil while it is down
	run     int      // counts the processes
	logs    []*output
	spans   []*span
}

// endpoint is an engine or a plain service behind a link.
type endpoint struct {
	*standin.Endpoint
	link      *link
	announced time.Time // when it said that it leaves, guarded by the fleet's mutex
	gone      bool
}

// fleet is the system under test with all that surrounds it.
type fleet struct {
	options   Options
	random    *rand.Rand // of the schedule
	store     *standin.Store
	instances []*instance

	mu        sync.Mutex
	endpoints []*endpoint // also those that are gone
	made      int
	config    standin.Configuration
	version   int
	moves     []change // of the route's prefix
	keys      []change // of the organisation's key
	storeBad  []*span
	requests  []*request
	notes     []string
}

// change is a step of the configuration.
type change struct {
	at  time.Time // when the store has acknowledged it
	now string    // what is valid from then on
}

func newFleet(o Options) (*fleet, error) {
	f := &fleet{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), store: standin.NewStore(), config: standin.NewConfiguration(1), version: 1,
	}
	f.move()
	f.rotate()
	for range o.Engines {
		if err := f.join(standin.EngineService); err != nil {
			return nil, err
		}
	}
	for range 3 {
		if err := f.join(standin.PlainService); err != nil {
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
		f.instances = append(f.instances, n)
	}
	for _, n := range f.instances {
		if err := f.start(n); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// seeds is the number of instances that read the store for the others.
const seeds = 2

// write writes the settings of an instance; its own address stands for itself among the seeds.
func (f *fleet) write(n *instance) error {
	free := netip.MustParseAddrPort("127.0.0.1:0")
	a := standin.Addresses{Requests: free, Readiness: free, Metrics: free, Peers: free}
	for _, s := range f.instances[:min(seeds, len(f.instances))] {
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

// start starts a process of an instance.
func (f *fleet) start(n *instance) error {
	if err := f.write(n); err != nil { // a fault may have left a file that can't be read
		return err
	}
	p, err := startProcess(f.options.Program, n.settings)
	if err != nil {
		return err
	}
	_, peers := p.out.addresses()
	n.peers.aim(peers)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = p
	n.run++
	n.logs = append(n.logs, p.out)
	return nil
}

// up returns where the instance takes requests and the number of its process.
func (n *instance) up() (netip.AddrPort, int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return netip.AddrPort{}, n.run, false
	}
	a, _ := n.process.out.addresses()
	return a, n.run, true
}

func (n *instance) current() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

func (n *instance) down() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = nil
	n.peers.aim(netip.AddrPort{})
}

// disturb marks the begin of a disturbance of an instance and returns the function that marks its end.
func (n *instance) disturb() func() {
	s := &span{from: time.Now()}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.spans = append(n.spans, s)
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		s.to = time.Now()
	}
}

func touches(l []*span, from, to time.Time) bool {
	for _, s := range l {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// inTouch reports whether an instance and the store were without disturbance from a stability window before one moment
// until another one.
func (f *fleet) inTouch(n *instance, from, to time.Time) bool {
	n.mu.Lock()
	bad := touches(n.spans, from.Add(-stability), to)
	n.mu.Unlock()
	if bad {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !touches(f.storeBad, from.Add(-stability), to)
}

// join adds an endpoint.
func (f *fleet) join(service string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.made++
	e := &endpoint{Endpoint: standin.NewEndpoint(fmt.Sprintf("endpoint-%d", f.made), service)}
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

// pick returns an endpoint of a service that is not leaving, if enough others stay.
func (f *fleet) pick(service string) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []*endpoint
	for _, e := range f.endpoints {
		if !e.gone && e.announced.IsZero() && e.Service == service {
			l = append(l, e)
		}
	}
	if len(l) < 2 {
		return nil
	}
	return l[f.random.IntN(len(l))]
}

// remove takes an endpoint away for good.
func (f *fleet) remove(e *endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.gone = true
	f.store.RemoveEndpoint(e.Endpoint)
	e.Close()
	e.link.close()
}

// publish puts the configuration into the store under the next version and returns when it was acknowledged.
func (f *fleet) publish() time.Time {
	f.version += 2
	f.config["version"] = f.version
	f.store.PublishConfiguration(f.config)
	return time.Now()
}

// move gives the route of repeatable requests another prefix.
func (f *fleet) move() {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := fmt.Sprintf("/repeat-%d/", len(f.moves)+1)
	f.config.SetPathPrefix("idempotent", p)
	f.moves = append(f.moves, change{f.publish(), p})
}

// rotate replaces the second key of the organisation.
func (f *fleet) rotate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := fmt.Sprintf("rotated-%d", len(f.keys)+1)
	f.config.SetAPIKeys(standin.APIKey, k)
	f.keys = append(f.keys, change{f.publish(), k})
}

func (f *fleet) note(format string, a ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notes = append(f.notes, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, a...))
}

// close ends all processes that the fleet has started, and the stand-ins.
func (f *fleet) close() {
	for _, n := range f.instances {
		if p := n.current(); p != nil {
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
