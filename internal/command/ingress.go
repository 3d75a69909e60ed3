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
	"github.com/cassiaspoke/cassiaspoke/internal/connlimit"
	"github.com/cassiaspoke/cassiaspoke/internal/core/admission"
	"github.com/cassiaspoke/cassiaspoke/internal/core/coldstart"
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
	// memoryLimitShare is the share of the instance's memory limit that the Go runtime may use. The rest covers the
	// program itself and unread bytes in socket buffers.
	memoryLimitShare = 0.6
	// bodyMemoryShare is the share of the instance's memory limit for request bodies, and again for responses. A copy of
	// each body may still wait for garbage collection.
	bodyMemoryShare = 1. / 16
	// dialTimeout limits connecting to an endpoint, the store or another instance. A connection across availability
	// zones takes a few milliseconds; a lost first packet is sent again only after 1 s.
	dialTimeout = 300 * time.Millisecond
	// storeTimeout limits a call to the store, which responds within 0.3 s when it is slow.
	storeTimeout = 700 * time.Millisecond
	// snapshotTimeout limits all calls for a snapshot. A registry of thousands of endpoints takes ten pages.
	snapshotTimeout = 10 * time.Second
	// readWaitShare is the share of a bound for which a read waits for new records. The store may not wake a waiting read
	// when a record is added.
	readWaitShare = 0.6
	// registryIntervalShare is the share of the drain bound between reads of the registry, whose records are frequent.
	registryIntervalShare = 0.6
	// maxStoreHeaderBytes limits the header of a response of the store.
	maxStoreHeaderBytes = 32 << 10
	// unboundedReadWait is the time for which a read of a topic waits on which no bound depends.
	unboundedReadWait = 20 * time.Second
	// storeRetryInterval is the time until the first retry of a failed call to the store.
	storeRetryInterval = 250 * time.Millisecond
	// requiredTopicWait is the startup wait for topics without which no request is served. It allows a few round trips.
	requiredTopicWait = 60 * time.Millisecond
	// bootstrapTopicWait is the startup wait for all topics when the whole system starts for the first time. No requests are waiting
	// then, and the seeds are ready within this time, so that hardly any other instance has to call the store.
	bootstrapTopicWait = 2 * time.Second
	// optionalReadInterval is the minimum time between reads of a topic that all instances write to, so that the records of a few
	// writes share a call. Marks of requests that crash endpoints have to reach all instances within seconds.
	optionalReadInterval = 250 * time.Millisecond
	// optionalTopicWait is the startup wait for all other topics.
	optionalTopicWait = 2 * time.Second
	// maxRelayDelay covers a call to the store, the transfer of its records to another instance and their confirmation.
	maxRelayDelay = 300 * time.Millisecond
	// relayDelayShare limits that time to a share of a bound. The rest of the bound, after the wait of a read, is left for
	// a read of one's own.
	relayDelayShare = 0.2
	// maxIdleConns is the maximum number of idle connections to an endpoint.
	maxIdleConns = 8
	// retryRatioShare is the share of the fleet's retry ratio that the instances use. The rest covers differences between
	// the request counts of instances.
	retryRatioShare = 0.9
	// maxFleetSize is the number of instances that share the slack of the retry budget and of the exposure bound. The
	// unused share of the ratios covers larger fleets.
	maxFleetSize = 128
	// minRetrySlack is the number of retries available to an instance that has received no request yet, so that the first
	// request can be retried.
	minRetrySlack = 1
	// settingsCheckInterval is the time between checks of the settings file, which may change without a signal.
	settingsCheckInterval = time.Second
)

func ingressCommand() *cli.Command {
	return &cli.Command{
		Name:  "ingress",
		Usage: "run an instance on the platform until SIGTERM, which stops it without interrupting requests",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: flagSettings, Usage: "settings `FILE`", Required: true, Sources: cli.EnvVars(platform.SettingsFileEnv),
		}},
		Action: serveIngress,
	}
}

func serveIngress(ctx context.Context, c *cli.Command) error {
	// Without a handler SIGHUP ends the process, so the handler stays installed while the instance stops.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	runCtx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	path := c.String(flagSettings)
	s, err := settings.LoadIngress(path)
	if err != nil {
		return &Error{Op: "ingress", Kind: ErrFile, Err: err}
	}
	sink := logsink.New(c.Root().Writer)
	logger, err := newIngressLogger(s.Log.Level, s.Instance.ID, sink)
	if err != nil {
		return &Error{Op: "ingress", Kind: ErrFailed, Err: err}
	}
	defer func() { _ = logger.Sync() }()
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Limits.Memory)))
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "cassiaspoke", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	defer func() { _ = closer.Close() }()
	o := ingressOptions(s, logger, scope)
	o.MetricsScope, o.MetricsHandler, o.DroppedLogLines = scope, reporter.HTTPHandler(), sink.Dropped
	o.Clients = connlimit.New(connlimit.Options{Memory: int64(s.Limits.Memory), Scope: scope, Logger: logger})
	for _, l := range []struct {
		listener *net.Listener
		address  netip.AddrPort
	}{{&o.RequestListener, s.Listen.Requests}, {&o.ReadinessListener, s.Listen.Readiness}, {&o.MetricsListener, s.Listen.Metrics}} {
		if *l.listener, err = listen(ctx, l.address, nil, logger, nil); err != nil {
			return &Error{Op: "ingress", Kind: ErrFailed, Err: err}
		}
	}
	if s.Peers != nil {
		if o.PeerListener, err = listen(ctx, s.Peers.Listen, nil, logger, nil); err != nil {
			return &Error{Op: "ingress", Kind: ErrFailed, Err: err}
		}
	}
	checkCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go checkSettingsChanges(checkCtx, hangups, path, s, logger)
	if err := ingress.New(o).Run(runCtx); err != nil {
		return &Error{Op: "ingress", Kind: ErrFailed, Err: err}
	}
	return nil
}

// newIngressLogger returns a logger that writes JSON with the identifier of the instance to output.
func newIngressLogger(level, instance string, output zapcore.WriteSyncer) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	e := zap.NewProductionEncoderConfig()
	e.EncodeTime, e.EncodeDuration = zapcore.RFC3339NanoTimeEncoder, zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(e), output, l)).With(zap.String("instance", instance)), nil
}

// relayedTopic reads the records of a topic through other instances and writes records to the store.
type relayedTopic struct {
	changefeed.Source
	store platform.TopicClient
}

// Append adds records to the topic if it still ends at the position.
func (t relayedTopic) Append(ctx context.Context, at changefeed.Position, records ...changefeed.Record) error {
	return t.store.Append(ctx, at, records...)
}

// ingressOptions converts settings to the options of an ingress instance.
func ingressOptions(s settings.Ingress, logger *zap.Logger, scope tally.Scope) ingress.Options {
	dialer := forward.Dialer{Timeout: dialTimeout}
	store := platform.NewStore(s.Store, &http.Client{Transport: freshConnTransport{&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxStoreHeaderBytes,
	}}}, storeTimeout)
	b := s.Bounds
	feedOptions := func(bound time.Duration) changefeed.Options {
		return changefeed.Options{
			Wait: min(b.StoreStability, time.Duration(readWaitShare*float64(bound))), Timeout: storeTimeout, SnapshotTimeout: snapshotTimeout, RetryInterval: storeRetryInterval, MaxRetryInterval: maxRetryInterval(b.StoreStability),
		}
	}
	operatorsBound := min(b.ApplyDelay, b.EvacuationDelay) // both orders are read from the operators' topic
	feeds := ingress.Feeds{Operators: feedOptions(operatorsBound), Registry: feedOptions(b.DrainDelay), Shared: feedOptions(b.ApplyDelay)}
	feeds.Shared.Wait, feeds.Shared.MaxRetryInterval = unboundedReadWait, unboundedReadWait
	relayOptions := relay.Options{Instance: s.Instance.ID, Logger: logger, MetricsScope: scope, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}}
	if s.Peers != nil {
		relayOptions.Address, relayOptions.Seeds = s.Peers.Listen, s.Peers.Seeds
	}
	hub := relay.NewHub(relayOptions)
	addTopic := func(name string, t platform.Topic, o changefeed.Options, p relay.ReadPolicy) changefeed.Source {
		p.MaxAge += max(p.MinInterval, o.Wait)
		p.Timeout = storeTimeout
		return hub.AddTopic(name, store.TopicClient(t), p)
	}
	requiredWait := requiredTopicWait
	if s.Bootstrap {
		requiredWait = bootstrapTopicWait
	}
	required := func(bound time.Duration) relay.ReadPolicy {
		return relay.ReadPolicy{StartupWait: requiredWait, MaxAge: min(maxRelayDelay, time.Duration(relayDelayShare*float64(bound))), Required: true}
	}
	optional := relay.ReadPolicy{StartupWait: optionalTopicWait, MaxAge: maxRelayDelay, MinInterval: optionalReadInterval}
	registryPolicy := required(b.DrainDelay)
	registryPolicy.MinInterval = time.Duration(registryIntervalShare * float64(b.DrainDelay))
	// Topics must be added in the same order on all instances.
	operators, registry := addTopic("operators", platform.TopicOperator, feeds.Operators, required(operatorsBound)), addTopic("registry", platform.TopicRegistry, feeds.Registry, registryPolicy)
	status, instances := store.TopicClient(platform.TopicStatus), store.TopicClient(platform.TopicInstances)
	bodyMemory := int64(bodyMemoryShare * float64(s.Limits.Memory))
	requestMemory, responseMemory := memory.NewBudget(bodyMemory), memory.NewBudget(bodyMemory)
	return ingress.Options{
		Instance: s.Instance.ID, Protocol: platform.Protocol{}, Codec: platform.RecordCodec{}, Logger: logger,
		OperatorSource: operators, RegistrySource: registry, Dialer: dialer, Hub: hub, Feeds: feeds,
		StatusTopic: relayedTopic{addTopic("status", platform.TopicStatus, feeds.Shared, optional), status}, InstancesTopic: relayedTopic{addTopic("instances", platform.TopicInstances, feeds.Shared, optional), instances},
		Placement:       placementSettings(s),
		Escalation:      escalation.DefaultSettings(),
		Admission:       admission.DefaultSettings(),
		Retries:         retry.Settings{Window: b.RetryWindow, Ratio: retryRatioShare * b.RetryRatio, MinRetries: max(minRetrySlack, b.RetrySlack/maxFleetSize)},
		BadVersionShare: b.MaxExposure, BadVersionSlack: b.ExposureSlack, GracePeriod: b.StopGrace, MaxIdleConnsPerEndpoint: maxIdleConns, Stall: stall.DefaultSettings(),
		RequestMemory: requestMemory, ResponseMemory: responseMemory,
		MaxRequestBytes: min(int64(s.Limits.MaxBody), requestMemory.MaxBodySize()), MaxResponseBytes: min(int64(s.Limits.MaxAnswer), responseMemory.MaxBodySize()),
	}
}

// placementSettings returns the settings of the choice of endpoints.
func placementSettings(s settings.Ingress) placement.Settings {
	p := placement.DefaultSettings(s.Instance.AvailabilityZone)
	p.ColdLimit = coldstart.Limit{Overshoot: s.Bounds.ColdOvershoot, Slack: s.Bounds.ColdSlack}
	return p
}

// maxRetryInterval returns the maximum time between calls to an unreachable store. An endpoint whose registry entry was
// removed while the store was unreachable gets requests for the grace period of lapsed entries, which starts when the
// instance notices that the store is reachable again. The grace period has to end before the bounds apply again.
func maxRetryInterval(stability time.Duration) time.Duration {
	return max(storeRetryInterval, (stability-roster.LapseGracePeriod-recoverySlack)*4/5) // the interval varies by up to a quarter
}

// recoverySlack covers the first successful call and the check that detects the end of the grace period.
const recoverySlack = 500 * time.Millisecond

// checkSettingsChanges validates the settings file on SIGHUP and whenever the file changes, and logs the result, so that
// an invalid file is known before the next start. Changed settings take effect only at the next start.
func checkSettingsChanges(ctx context.Context, hangups <-chan os.Signal, path string, current settings.Ingress, logger *zap.Logger) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	var modified time.Time
	if i, err := os.Stat(path); err == nil {
		modified = i.ModTime()
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
		case <-ticker.C:
		}
		i, err := os.Stat(path)
		if err == nil && i.ModTime().Equal(modified) && !signalled {
			continue
		}
		if err == nil {
			modified = i.ModTime()
		}
		s, err := settings.LoadIngress(path)
		if err != nil {
			logger.Error("settings: The changed file can't be used; the settings in force stay.", zap.Bool("signal", signalled), zap.Error(err))
			continue
		}
		logger.Info("settings: Read again.", zap.Bool("signal", signalled), zap.Bool("changed", s.String() != current.String() || s.Bounds != current.Bounds))
	}
}
