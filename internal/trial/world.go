package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/certificate"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/gateway"
	"github.com/cassiaspoke/cassiaspoke/internal/instance"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/settings"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// OperatorKey is the operators' API key of a world.
const OperatorKey = "trial-operator-key"

const (
	eventBuffer     = 1 << 16
	readyTimeout    = 20 * time.Second
	platformTimeout = 2 * time.Second
	balancerNotices = 100 * time.Millisecond // from not ready until the balancer sends no more
)

// Settings describe a world.
type Settings struct {
	Zones     []string // availability zones; each gets an instance
	Engines   int      // per zone
	Versions  []string // that every engine serves at the start
	Services  []string // each has an endpoint per zone
	Honouring []string // services that run an idempotency key only once
	EventsDir string   // for the event files; empty keeps no events
	Logger    *zap.Logger
	Adjust    func(*instance.Options)
}

// World is a fleet of instances with stand-ins of everything around them, on loopback.
type World struct {
	s        Settings
	Platform *standin.Platform
	Engines  map[string]*standin.Engine
	Services map[string][]*standin.Service
	Members  map[string]*Member

	mu      sync.Mutex // of Members
	base    string
	http    *http.Client
	servers []func()
	work    sync.WaitGroup
}

// Member is one instance of a world.
type Member struct {
	ID, Zone  string
	Callers   string // base URL
	Operators string // base URL

	instance *instance.Instance
	stop     context.CancelFunc
	done     chan struct{}
	err      error
	leaving  bool // the balancer has seen that it is not ready
	events   *timeline.Writer
}

// NewWorld starts the stand-ins and the instances.
func NewWorld(ctx context.Context, s Settings) (*World, error) {
	if s.Logger == nil {
		s.Logger = zap.NewNop()
	}
	w := &World{
		s: s, Engines: map[string]*standin.Engine{}, Services: map[string][]*standin.Service{}, Members: map[string]*Member{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		Platform: &standin.Platform{
			Log: standin.NewLog(time.Now), Rater: standin.NewRater(map[string]float64{}),
			WeightStore: standin.NewWeightStore(50 * time.Millisecond), InstanceList: standin.NewInstanceList(),
		},
	}
	if err := w.start(ctx); err != nil {
		return nil, errors.Join(err, w.Close())
	}
	return w, nil
}

func (w *World) start(ctx context.Context) error {
	if err := w.startPlatform(ctx); err != nil {
		return err
	}
	for _, z := range w.s.Zones {
		for n := range w.s.Engines {
			if _, err := w.AddEngine(ctx, fmt.Sprintf("engine-%s-%d", z, n), z); err != nil {
				return err
			}
		}
		for _, n := range w.s.Services {
			if err := w.addService(ctx, n, z); err != nil {
				return err
			}
		}
	}
	for _, z := range w.s.Zones {
		if _, err := w.AddMember(ctx, "instance-"+z, z); err != nil {
			return err
		}
	}
	return nil
}

func listen(ctx context.Context) (net.Listener, netip.AddrPort, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (w *World) startPlatform(ctx context.Context) error {
	l, a, err := listen(ctx)
	if err != nil {
		return err
	}
	w.base = "http://" + a.String()
	s := &http.Server{Handler: w.Platform.Handler(), ReadHeaderTimeout: time.Second, ErrorLog: zap.NewStdLog(w.s.Logger)}
	w.work.Go(func() { _ = s.Serve(l) })
	w.servers = append(w.servers, func() { _ = s.Close() })
	return nil
}

// AddEngine starts an engine and lists it.
func (w *World) AddEngine(ctx context.Context, id, zone string) (*standin.Engine, error) {
	l, a, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	listed := platform.Instance{ID: id, Role: platform.RoleEngine, AvailabilityZone: zone, Address: a, Versions: w.s.Versions}
	e := standin.NewEngine(standin.EngineOptions{
		OnVersionsChanged: func(l []string) { w.Platform.InstanceList.SetVersions(id, l) },
		ID:                id, Versions: w.s.Versions, Slots: 16, FirstTokenTime: 8 * time.Millisecond, TokenInterval: time.Millisecond, CachedPrefixes: 64,
	})
	w.work.Go(func() { _ = e.Serve(l) })
	w.servers = append(w.servers, e.Close)
	w.Engines[id] = e
	w.Platform.InstanceList.Put(listed)
	return e, nil
}

func (w *World) addService(ctx context.Context, name, zone string) error {
	l, a, err := listen(ctx)
	if err != nil {
		return err
	}
	s := standin.NewService(name, w.honours(name))
	w.work.Go(func() { _ = s.Serve(l) })
	w.servers = append(w.servers, s.Close)
	w.Services[name] = append(w.Services[name], s)
	w.Platform.InstanceList.Put(platform.Instance{ID: name + "-" + zone, Role: platform.RoleService, Service: name, AvailabilityZone: zone, Address: a})
	return nil
}

func (w *World) honours(name string) bool {
	for _, n := range w.s.Honouring {
		if n == name {
			return true
		}
	}
	return false
}

// AddMember starts an instance and lists it.
func (w *World) AddMember(ctx context.Context, id, zone string) (*Member, error) {
	callers, ca, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	operators, oa, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	m := &Member{ID: id, Zone: zone, Callers: "http://" + ca.String(), Operators: "http://" + oa.String(), done: make(chan struct{})}
	o := w.options(id, zone)
	o.CallerListener, o.OperatorListener = callers, operators
	o.PeerAddress = netip.MustParseAddrPort("127.0.0.1:0")
	if w.s.EventsDir != "" {
		if o.Clock == nil {
			o.Clock = timeline.NewClock(time.Now)
		}
		m.events, err = timeline.Open(filepath.Join(w.s.EventsDir, id+".jsonl"), id, eventBuffer, o.Clock, tally.NoopScope)
		if err != nil {
			return nil, fmt.Errorf("open events: %w", err)
		}
	}
	o.EventWriter = m.events
	if m.instance, err = instance.New(o); err != nil {
		return nil, fmt.Errorf("new instance: %w", err)
	}
	run, stop := context.WithCancel(context.Background())
	m.stop = stop
	go func() {
		defer close(m.done)
		m.err = m.instance.Run(run)
		if m.events != nil {
			m.err = errors.Join(m.err, m.events.Close())
		}
	}()
	w.mu.Lock()
	w.Members[id] = m
	w.mu.Unlock()
	a, err := m.instance.PeerAddress(ctx)
	if err != nil {
		return nil, fmt.Errorf("add %s: %w", id, err)
	}
	w.Platform.InstanceList.Put(platform.Instance{ID: id, Role: platform.RoleRouter, AvailabilityZone: zone, Address: a})
	return m, nil
}

func (w *World) options(id, zone string) instance.Options {
	o := instance.DefaultOptions(id, zone, "loopback")
	p := platform.NewClient(w.base, w.http, platformTimeout)
	o.Log, o.Rater, o.WeightStore, o.InstanceList = p, p, p, p
	o.SessionKeys = []session.SigningKey{{ID: "k1", Secret: []byte("0123456789abcdef0123456789abcdef")}}
	o.OperatorKeys = certificate.NewOperatorKeys([]settings.OperatorKey{{Name: "trial", Hash: settings.Hash(certificate.HashKey(OperatorKey))}})
	for _, n := range w.s.Services {
		o.Gateway.Services[n] = gateway.ServiceSettings{HonoursIdempotencyKeys: w.honours(n), Price: 500}
	}
	o.ListInterval = 100 * time.Millisecond
	o.BalancerWait, o.DrainTimeout = 300*time.Millisecond, 20*time.Second
	o.Engine.FirstTokenTimeout, o.Engine.ProgressTimeout = 3*time.Second, time.Second
	o.Logger = w.s.Logger
	if w.s.Adjust != nil {
		w.s.Adjust(&o)
	}
	return o
}

// Ready waits until all instances take work.
func (w *World) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, m := range w.Members {
		if err := w.await(ctx, m.Callers+"/readyz"); err != nil {
			return fmt.Errorf("instance %s: %w", m.ID, err)
		}
	}
	return nil
}

func (w *World) await(ctx context.Context, url string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return fmt.Errorf("await: %w", err)
		}
		res, err := w.http.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("await %s: %w", url, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Operator returns an operator's client of an instance.
func (w *World) Operator(id string) *client.Operator {
	return client.NewOperator(w.Members[id].Operators, OperatorKey, w.http)
}

// Caller returns a client for an organisation at an instance, which does not retry.
func (w *World) Caller(id, key string) *client.Caller {
	return client.NewCaller(w.Members[id].Callers, key, w.http, client.Retries{})
}

// Stop stops an instance as planned and returns its error. The balancer notices readiness within its wait.
func (w *World) Stop(id string) error {
	m := w.Members[id]
	m.stop()
	time.Sleep(balancerNotices)
	w.mu.Lock()
	m.leaving = true
	w.mu.Unlock()
	<-m.done
	w.remove(id)
	w.Platform.InstanceList.Remove(id)
	return m.err
}

// Crash ends an instance at once; it stays on the lagging list.
func (w *World) Crash(id string) {
	m := w.Members[id]
	w.remove(id)
	m.instance.Crash()
	<-m.done
	m.stop()
}

func (w *World) remove(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.Members, id)
}

// Close stops everything.
func (w *World) Close() error {
	var l []error
	for _, id := range slices.Sorted(maps.Keys(w.Members)) {
		l = append(l, w.Stop(id))
	}
	for _, f := range w.servers {
		f()
	}
	w.work.Wait()
	w.http.CloseIdleConnections()
	return errors.Join(l...)
}

// EventFiles returns the event files of the instances.
func (w *World) EventFiles() ([]string, error) {
	l, err := filepath.Glob(filepath.Join(w.s.EventsDir, "*.jsonl"))
	if err != nil {
		return nil, fmt.Errorf("event files: %w", err)
	}
	return l, nil
}
