package testfleet

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

// OperatorKey is the API key of the fleet's operator.
const OperatorKey = "trial-operator-key"

const (
	eventBufferSize = 1 << 16
	readyTimeout    = 20 * time.Second
	platformTimeout = 2 * time.Second
	balancerDelay   = 100 * time.Millisecond // time until the balancer stops using an instance that is not ready
)

// Config configures a fleet.
type Config struct {
	AvailabilityZones  []string                // availability zones; each gets one instance
	EnginesPerZone     int                     // number of engines in each availability zone
	EngineVersions     []string                // versions that every engine serves at the start
	Services           []string                // services; each has an endpoint in each availability zone
	IdempotentServices []string                // services that run an order only once for each idempotency key
	EventsDir          string                  // directory of the event files; empty records no events
	Logger             *zap.Logger             // optional
	AdjustOptions      func(*instance.Options) // optional; changes the options of each instance before it starts
}

// Fleet is a fleet of instances with stand-ins for every system that they use, on loopback addresses.
type Fleet struct {
	config    Config
	Platform  *standin.Platform
	Engines   map[string]*standin.Engine
	Services  map[string][]*standin.Service
	Instances map[string]*Instance

	mu          sync.Mutex // guards Instances and Instance.outOfBalancer
	platformURL string     // base URL of the platform stand-in
	client      *http.Client
	closers     []func()       // close the servers of the stand-ins
	serving     sync.WaitGroup // counts the goroutines that serve the stand-ins
}

// Instance is a running instance of a fleet.
type Instance struct {
	ID, AvailabilityZone string
	CallerURL            string // base URL
	OperatorURL          string // base URL

	instance      *instance.Instance
	stop          context.CancelFunc
	done          chan struct{} // closed when the instance has stopped
	err           error         // result of the run, set before done is closed
	outOfBalancer bool          // the balancer has noticed that the instance is not ready
	events        *timeline.Writer
}

// New starts the stand-ins and the instances.
func New(ctx context.Context, c Config) (*Fleet, error) {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	f := &Fleet{
		config: c, Engines: map[string]*standin.Engine{}, Services: map[string][]*standin.Service{}, Instances: map[string]*Instance{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		Platform: &standin.Platform{
			Log: standin.NewLog(time.Now), Rater: standin.NewRater(map[string]float64{}),
			WeightStore: standin.NewWeightStore(50 * time.Millisecond), InstanceList: standin.NewInstanceList(),
		},
	}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	for _, z := range f.config.AvailabilityZones {
		for n := range f.config.EnginesPerZone {
			if _, err := f.AddEngine(ctx, fmt.Sprintf("engine-%s-%d", z, n), z); err != nil {
				return err
			}
		}
		for _, n := range f.config.Services {
			if err := f.addService(ctx, n, z); err != nil {
				return err
			}
		}
	}
	for _, z := range f.config.AvailabilityZones {
		if _, err := f.AddInstance(ctx, "instance-"+z, z); err != nil {
			return err
		}
	}
	return nil
}

// listenLoopback listens on a free port of the loopback address.
func listenLoopback(ctx context.Context) (net.Listener, netip.AddrPort, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	l, a, err := listenLoopback(ctx)
	if err != nil {
		return err
	}
	f.platformURL = "http://" + a.String()
	s := &http.Server{Handler: f.Platform.Handler(), ReadHeaderTimeout: time.Second, ErrorLog: zap.NewStdLog(f.config.Logger)}
	f.serving.Go(func() { _ = s.Serve(l) })
	f.closers = append(f.closers, func() { _ = s.Close() })
	return nil
}

// AddEngine starts an engine and adds it to the platform's instance list.
func (f *Fleet) AddEngine(ctx context.Context, id, availabilityZone string) (*standin.Engine, error) {
	l, a, err := listenLoopback(ctx)
	if err != nil {
		return nil, err
	}
	entry := platform.Instance{ID: id, Role: platform.RoleEngine, AvailabilityZone: availabilityZone, Address: a, Versions: f.config.EngineVersions}
	e := standin.NewEngine(standin.EngineOptions{
		OnVersionsChanged: func(l []string) { f.Platform.InstanceList.SetVersions(id, l) },
		ID:                id, Versions: f.config.EngineVersions, Slots: 16, FirstTokenTime: 8 * time.Millisecond, TokenInterval: time.Millisecond, CachedPrefixes: 64,
	})
	f.serving.Go(func() { _ = e.Serve(l) })
	f.closers = append(f.closers, e.Close)
	f.Engines[id] = e
	f.Platform.InstanceList.Put(entry)
	return e, nil
}

func (f *Fleet) addService(ctx context.Context, name, availabilityZone string) error {
	l, a, err := listenLoopback(ctx)
	if err != nil {
		return err
	}
	s := standin.NewService(name, f.honoursKeys(name))
	f.serving.Go(func() { _ = s.Serve(l) })
	f.closers = append(f.closers, s.Close)
	f.Services[name] = append(f.Services[name], s)
	f.Platform.InstanceList.Put(platform.Instance{ID: name + "-" + availabilityZone, Role: platform.RoleService, Service: name, AvailabilityZone: availabilityZone, Address: a})
	return nil
}

func (f *Fleet) honoursKeys(name string) bool {
	for _, n := range f.config.IdempotentServices {
		if n == name {
			return true
		}
	}
	return false
}

// AddInstance starts an instance and adds it to the platform's instance list.
func (f *Fleet) AddInstance(ctx context.Context, id, availabilityZone string) (*Instance, error) {
	callers, ca, err := listenLoopback(ctx)
	if err != nil {
		return nil, err
	}
	operators, oa, err := listenLoopback(ctx)
	if err != nil {
		return nil, err
	}
	i := &Instance{ID: id, AvailabilityZone: availabilityZone, CallerURL: "http://" + ca.String(), OperatorURL: "http://" + oa.String(), done: make(chan struct{})}
	o := f.instanceOptions(id, availabilityZone)
	o.CallerListener, o.OperatorListener = callers, operators
	o.PeerAddress = netip.MustParseAddrPort("127.0.0.1:0")
	if f.config.EventsDir != "" {
		if o.Clock == nil {
			o.Clock = timeline.NewClock(time.Now)
		}
		i.events, err = timeline.Open(filepath.Join(f.config.EventsDir, id+".jsonl"), id, eventBufferSize, o.Clock, tally.NoopScope)
		if err != nil {
			return nil, fmt.Errorf("open events: %w", err)
		}
	}
	o.EventWriter = i.events
	if i.instance, err = instance.New(o); err != nil {
		return nil, fmt.Errorf("create instance: %w", err)
	}
	runCtx, stop := context.WithCancel(context.Background())
	i.stop = stop
	go func() {
		defer close(i.done)
		i.err = i.instance.Run(runCtx)
		if i.events != nil {
			i.err = errors.Join(i.err, i.events.Close())
		}
	}()
	f.mu.Lock()
	f.Instances[id] = i
	f.mu.Unlock()
	a, err := i.instance.PeerAddress(ctx)
	if err != nil {
		return nil, fmt.Errorf("peer address of %s: %w", id, err)
	}
	f.Platform.InstanceList.Put(platform.Instance{ID: id, Role: platform.RoleRouter, AvailabilityZone: availabilityZone, Address: a})
	return i, nil
}

func (f *Fleet) instanceOptions(id, availabilityZone string) instance.Options {
	o := instance.DefaultOptions(id, availabilityZone, "loopback")
	p := platform.NewClient(f.platformURL, f.client, platformTimeout)
	o.Log, o.Rater, o.WeightStore, o.InstanceList = p, p, p, p
	o.SessionKeys = []session.SigningKey{{ID: "k1", Secret: []byte("0123456789abcdef0123456789abcdef")}}
	o.OperatorKeys = certificate.NewOperatorKeys([]settings.OperatorKey{{Name: "trial", Hash: settings.Hash(certificate.HashKey(OperatorKey))}})
	for _, n := range f.config.Services {
		o.Gateway.Services[n] = gateway.ServiceSettings{HonoursIdempotencyKeys: f.honoursKeys(n), Price: 500}
	}
	o.ListInterval = 100 * time.Millisecond
	o.BalancerWait, o.DrainTimeout = 300*time.Millisecond, 20*time.Second
	o.Engine.FirstTokenTimeout, o.Engine.ProgressTimeout = 3*time.Second, time.Second
	o.Logger = f.config.Logger
	if f.config.AdjustOptions != nil {
		f.config.AdjustOptions(&o)
	}
	return o
}

// WaitUntilReady waits until all instances accept requests.
func (f *Fleet) WaitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, i := range f.Instances {
		if err := f.waitUntilOK(ctx, i.CallerURL+"/readyz"); err != nil {
			return fmt.Errorf("instance %s: %w", i.ID, err)
		}
	}
	return nil
}

// waitUntilOK polls a URL until it returns status 200.
func (f *Fleet) waitUntilOK(ctx context.Context, url string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return fmt.Errorf("create request: %w", err)
		}
		res, err := f.client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", url, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// OperatorClient returns an operator client for an instance.
func (f *Fleet) OperatorClient(id string) *client.Operator {
	return client.NewOperator(f.Instances[id].OperatorURL, OperatorKey, f.client)
}

// CallerClient returns a client without retries for an organisation at an instance.
func (f *Fleet) CallerClient(id, key string) *client.Caller {
	return client.NewCaller(f.Instances[id].CallerURL, key, f.client, client.Retries{})
}

// StopInstance stops an instance gracefully and returns the error of its run. The balancer keeps using the instance for
// balancerDelay.
func (f *Fleet) StopInstance(id string) error {
	i := f.Instances[id]
	i.stop()
	time.Sleep(balancerDelay)
	f.mu.Lock()
	i.outOfBalancer = true
	f.mu.Unlock()
	<-i.done
	f.removeInstance(id)
	f.Platform.InstanceList.Remove(id)
	return i.err
}

// CrashInstance ends an instance abruptly. The platform's instance list lags behind and still contains it.
func (f *Fleet) CrashInstance(id string) {
	i := f.Instances[id]
	f.removeInstance(id)
	i.instance.Crash()
	<-i.done
	i.stop()
}

func (f *Fleet) removeInstance(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.Instances, id)
}

// Close stops the instances and the stand-ins.
func (f *Fleet) Close() error {
	var errs []error
	for _, id := range slices.Sorted(maps.Keys(f.Instances)) {
		errs = append(errs, f.StopInstance(id))
	}
	for _, closeServer := range f.closers {
		closeServer()
	}
	f.serving.Wait()
	f.client.CloseIdleConnections()
	return errors.Join(errs...)
}

// EventFiles returns the paths of the instances' event files.
func (f *Fleet) EventFiles() ([]string, error) {
	l, err := filepath.Glob(filepath.Join(f.config.EventsDir, "*.jsonl"))
	if err != nil {
		return nil, fmt.Errorf("event files: %w", err)
	}
	return l, nil
}
