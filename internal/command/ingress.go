package command

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/core/escalation"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/retry"
	"github.com/cassiaspoke/cassiaspoke/internal/core/roster"
	"github.com/cassiaspoke/cassiaspoke/internal/core/stall"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
	"github.com/cassiaspoke/cassiaspoke/internal/ingress"
	"github.com/cassiaspoke/cassiaspoke/internal/logsink"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
	"github.com/cassiaspoke/cassiaspoke/internal/relay"
	"github.com/cassiaspoke/cassiaspoke/internal/settings"
	"github.com/cassiaspoke/cassiaspoke/platform"
)

const (
	memoryShare = 0.6                    // of the memory limit for the runtime; the program itself and unread bytes of sockets take the rest
	heldShare   = 1. / 16                // of the memory limit for bodies of clients, and as much for answers; a copy of each may wait for collection
	dialTime    = 300 * time.Millisecond // a connection across zones takes a few ms; a lost first packet is sent again after 1 s
	storeTime   = 700 * time.Millisecond // for a call to the store, which answers within 0.3 s when it is slow
	waitShare   = 0.6                    // of a bound, for which a read waits: the store may not wake it for a record
	paceShare   = 0.6                    // of the drain bound, between reads of the registry, whose records are frequent
	storeHead   = 32 << 10               // bytes of the head of a store's reply
	storeWait   = 20 * time.Second       // of a read of topics that bound nothing
	storeRetry  = 250 * time.Millisecond
	joinNeeded  = 60 * time.Millisecond // some round trips; without these topics no request is served
	joinSlow    = 2 * time.Second
	relaySlack  = 300 * time.Millisecond // for a call to the store and its record to another instance
	idleConns   = 8                      // idle connections kept to one endpoint
	ratioShare  = 0.9                    // of the fleet's retry budget; the rest covers instances that count differently
	fleetMost   = 128                    // instances that share the slack of the retry budget and of the exposure; the rest of the ratios covers more
	leastSlack  = 1                      // further sends of an instance that has had no request, so that the first one can be repeated
	reloadEvery = time.Second            // between looks at the settings file, which may change without a signal
)

func ingressCommand() *cli.Command {
	return &cli.Command{
		Name:  "ingress",
		Usage: "run an instance on the users' platform until SIGTERM, which stops it without cutting off a request",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: flagSettings, Usage: "settings `FILE`", Required: true, Sources: cli.EnvVars(platform.SettingsFileEnv),
		}},
		Action: serveIngress,
	}
}

func serveIngress(ctx context.Context, c *cli.Command) error {
	// Without a handler the signal ends the process, so it stays until the end, also while the instance stops.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	run, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	path := c.String(flagSettings)
	s, err := settings.LoadIngress(path)
	if err != nil {
		return &Error{Op: "ingress", Kind: ErrFile, Err: err}
	}
	sink := logsink.New(c.Root().Writer)
	logger, err := sinkLogger(s.Log.Level, s.Instance.ID, sink)
	if err != nil {
		return &Error{Op: "ingress", Kind: ErrFailed, Err: err}
	}
	defer func() { _ = logger.Sync() }()
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.Memory)))
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "cassiaspoke", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsEvery)
	defer func() { _ = closer.Close() }()
	o := ingressOptions(s, logger)
	o.MetricsScope, o.MetricsHandler, o.DroppedLogLines = scope, reporter.HTTPHandler(), sink.Dropped
	for _, l := range []struct {
		listener *net.Listener
		address  netip.AddrPort
	}{{&o.RequestListener, s.Listen.Requests}, {&o.ReadinessListener, s.Listen.Readiness}, {&o.MetricsListener, s.Listen.Metrics}} {
		if *l.listener, err = listen(ctx, l.address, nil, logger); err != nil {
			return &Error{Op: "ingress", Kind: ErrFailed, Err: err}
		}
	}
	if s.Peers != nil {
		if o.PeerListener, err = listen(ctx, s.Peers.Listen, nil, logger); err != nil {
			return &Error{Op: "ingress", Kind: ErrFailed, Err: err}
		}
	}
	running, ended := context.WithCancel(context.WithoutCancel(ctx))
	defer ended()
	go reload(running, hup, path, s, logger)
	if err := ingress.New(o).Run(run); err != nil {
		return &Error{Op: "ingress", Kind: ErrFailed, Err: err}
	}
	return nil
}

func sinkLogger(level, instance string, out zapcore.WriteSyncer) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	e := zap.NewProductionEncoderConfig()
	e.EncodeTime, e.EncodeDuration = zapcore.RFC3339NanoTimeEncoder, zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(e), out, l)).With(zap.String("instance", instance)), nil
}

// topic reads through other instances and writes to the store.
type topic struct {
	changefeed.Source
	store platform.TopicClient
}

// Append adds records if the topic still ends at the offset.
func (t topic) Append(ctx context.Context, at int64, l ...changefeed.Record) error {
	return t.store.Append(ctx, at, l...)
}

// ingressOptions turns the settings of the file into the options of the parts.
func ingressOptions(s settings.Ingress, logger *zap.Logger) ingress.Options {
	d := forward.Dialer{Timeout: dialTime}
	store := platform.NewStore(s.Store, &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: storeHead,
	}})
	b := s.Bounds
	wait := func(bound time.Duration) changefeed.Options {
		return changefeed.Options{
			Wait: min(b.StoreStability, time.Duration(waitShare*float64(bound))), Timeout: storeTime, RetryInterval: storeRetry, MaxRetryInterval: lostRetry(b.StoreStability),
		}
	}
	feeds := ingress.Feeds{Operators: wait(b.ApplyDelay), Registry: wait(b.DrainDelay), Shared: wait(b.ApplyDelay)}
	feeds.Shared.Wait, feeds.Shared.MaxRetryInterval = storeWait, storeWait
	h := relay.Options{Instance: s.Instance.ID, Logger: logger, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}}
	if s.Peers != nil {
		h.Address, h.Seeds = s.Peers.Listen, s.Peers.Seeds
	}
	hub := relay.NewHub(h)
	share := func(t platform.Topic, o changefeed.Options, every, join time.Duration) changefeed.Source {
		return hub.AddTopic(store.TopicClient(t), relay.ReadPolicy{StartupWait: join, MinInterval: every, MaxAge: max(every, o.Wait) + relaySlack})
	}
	pace := time.Duration(paceShare * float64(b.DrainDelay))
	// The order of the topics is the same on all instances.
	operators, registry := share(platform.TopicOperator, feeds.Operators, 0, joinNeeded), share(platform.TopicRegistry, feeds.Registry, pace, joinNeeded)
	status, board := store.TopicClient(platform.TopicStatus), store.TopicClient(platform.TopicInstances)
	held := int64(heldShare * float64(s.Limits.Memory))
	bodies, answers := memory.NewBudget(held), memory.NewBudget(held)
	return ingress.Options{
		Instance: s.Instance.ID, Protocol: platform.Protocol{}, Codec: platform.RecordCodec{}, Logger: logger,
		OperatorSource: operators, RegistrySource: registry, Dialer: d, Hub: hub, Feeds: feeds,
		StatusTopic: topic{share(platform.TopicStatus, feeds.Shared, 0, joinSlow), status}, InstancesTopic: topic{share(platform.TopicInstances, feeds.Shared, 0, joinSlow), board},
		Placement:       placement.DefaultSettings(s.Instance.AvailabilityZone),
		Escalation:      escalation.DefaultSettings(),
		Retries:         retry.Settings{Window: b.RetryWindow, Ratio: ratioShare * b.RetryRatio, MinRetries: max(leastSlack, b.RetrySlack/fleetMost)},
		BadVersionShare: b.MaxExposure, GracePeriod: b.StopGrace, MaxIdleConnsPerEndpoint: idleConns, Stall: stall.DefaultSettings(),
		RequestMemory: bodies, ResponseMemory: answers,
		MaxRequestBytes: min(int64(s.Limits.MaxBody), bodies.MaxBodySize()), MaxResponseBytes: min(int64(s.Limits.MaxAnswer), answers.MaxBodySize()),
	}
}

// lostRetry is the time between calls to a store that was lost. An instance may take an endpoint whose entry went
// meanwhile for one that comes back, for the grace that such entries have from when it notices the store's return; that
// has to be over when the bounds hold again.
func lostRetry(stability time.Duration) time.Duration {
	return max(storeRetry, (stability-roster.LapseGracePeriod-returnSlack)*4/5) // calls vary by a quarter
}

// returnSlack is for the call that succeeds and for the look that finds the grace over.
const returnSlack = 500 * time.Millisecond

// reload checks the settings file when it changes. Addresses and bounds are taken at the start; a change is logged, so
// that a broken file is known before the next start.
func reload(ctx context.Context, hup <-chan os.Signal, path string, current settings.Ingress, logger *zap.Logger) {
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	var seen time.Time
	if i, err := os.Stat(path); err == nil {
		seen = i.ModTime()
	}
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			asked = true
		case <-t.C:
		}
		i, err := os.Stat(path)
		if err == nil && i.ModTime().Equal(seen) && !asked {
			continue
		}
		if err == nil {
			seen = i.ModTime()
		}
		s, err := settings.LoadIngress(path)
		if err != nil {
			logger.Error("settings: The changed file can't be used; the settings in force stay.", zap.Bool("signal", asked), zap.Error(err))
			continue
		}
		logger.Info("settings: Read again.", zap.Bool("signal", asked), zap.Bool("changed", s.String() != current.String() || s.Bounds != current.Bounds))
	}
}
