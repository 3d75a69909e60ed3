package command

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cassiaspoke/cassiaspoke/internal/certificate"
	"github.com/cassiaspoke/cassiaspoke/internal/connlimit"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
	"github.com/cassiaspoke/cassiaspoke/internal/gateway"
	"github.com/cassiaspoke/cassiaspoke/internal/instance"
	"github.com/cassiaspoke/cassiaspoke/internal/ledger"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/settings"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
)

const (
	flagSettings     = "settings"
	metricsInterval  = time.Second // between reports of the metrics scope
	exitSecondSignal = 130         // exit code after a second signal
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:   "serve",
		Usage:  "run an instance until SIGTERM, which stops it without interrupting requests; a second signal ends it immediately",
		Flags:  []cli.Flag{&cli.StringFlag{Name: flagSettings, Usage: "settings `FILE`", Required: true}},
		Action: serveInstance,
	}
}

func serveInstance(ctx context.Context, c *cli.Command) error {
	s, err := settings.LoadInstance(c.String(flagSettings))
	if err != nil {
		return &Error{Op: "serve", Kind: ErrFile, Err: err}
	}
	logger, err := newLogger(s.Log.Level)
	if err != nil {
		return &Error{Op: "serve", Kind: ErrFailed, Err: err}
	}
	defer func() { _ = logger.Sync() }()
	p, err := newProcess(ctx, s, logger)
	if err != nil {
		return &Error{Op: "serve", Kind: ErrFailed, Err: err}
	}
	defer p.close()
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.handleSignals(cancel)
	if err := p.instance.Run(runCtx); err != nil {
		return &Error{Op: "serve", Kind: ErrFailed, Err: err}
	}
	return nil
}

// newLogger returns a logger that writes JSON to the error output.
func newLogger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(l)
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	out, err := c.Build()
	if err != nil {
		return nil, fmt.Errorf("logger: %w", err)
	}
	return out, nil
}

// process holds an instance and the resources of its operating-system process.
type process struct {
	instance *instance.Instance
	logger   *zap.Logger
	closers  []func() // called in reverse order
	signals  chan os.Signal
}

// newProcess creates an instance with its listeners, event file and session keys.
func newProcess(ctx context.Context, s settings.Settings, logger *zap.Logger) (*process, error) {
	p := &process{logger: logger, signals: make(chan os.Signal, 2)}
	signal.Notify(p.signals, syscall.SIGTERM, os.Interrupt)
	o := instanceOptions(s)
	o.Logger, o.Build = logger, buildVersion()
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Limits.Memory)))
	r := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "cassiaspoke", CachedReporter: r, Separator: prometheus.DefaultSeparator, SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	p.closers = append(p.closers, func() { _ = closer.Close() })
	o.Scope, o.MetricsHandler = scope, r.HTTPHandler()
	o.Clients = connlimit.New(connlimit.Options{Memory: int64(s.Limits.Memory), Scope: scope, Logger: logger})
	for _, step := range []func() error{
		func() error { return p.openEvents(s, &o) },
		func() error { return loadSessionKeys(s, &o) },
		func() error { return openListeners(ctx, s, &o, logger) },
	} {
		if err := step(); err != nil {
			p.close()
			return nil, err
		}
	}
	var err error
	if p.instance, err = instance.New(o); err != nil {
		p.close()
		return nil, fmt.Errorf("serve: %w", err)
	}
	return p, nil
}

// handleSignals stops the instance at the first signal and ends the process at the second.
func (p *process) handleSignals(stop func()) {
	<-p.signals
	stop()
	<-p.signals
	p.logger.Error("instance: Received a second signal; the process ends now and may interrupt requests.")
	_ = p.logger.Sync()
	os.Exit(exitSecondSignal)
}

// close releases the resources of the process.
func (p *process) close() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
}

// openEvents opens the event file if the settings have one.
func (p *process) openEvents(s settings.Settings, o *instance.Options) error {
	if s.Events.File == "" {
		return nil
	}
	o.Clock = timeline.NewClock(time.Now)
	w, err := timeline.Open(string(s.Events.File), s.Instance.ID, s.Events.BufferSize, o.Clock, o.Scope)
	if err != nil {
		return fmt.Errorf("events: %w", err)
	}
	o.EventWriter = w
	p.closers = append(p.closers, func() { _ = w.Close() })
	return nil
}

func loadSessionKeys(s settings.Settings, o *instance.Options) error {
	for _, k := range s.Sessions.Keys {
		b, err := k.Secret()
		if err != nil {
			return fmt.Errorf("session keys: %w", err)
		}
		o.SessionKeys = append(o.SessionKeys, session.SigningKey{ID: k.ID, Secret: b})
	}
	return nil
}

// openListeners opens the listeners for callers and operators and sets the address and TLS configuration for peers.
func openListeners(ctx context.Context, s settings.Settings, o *instance.Options, logger *zap.Logger) error {
	var err error
	if o.CallerListener, err = listen(ctx, s.Callers.Listen, s.Callers.TLS, logger, limitListener(o, "callers", callerConnShare)); err != nil {
		return err
	}
	if o.OperatorListener, err = listen(ctx, s.Operators.Listen, s.Operators.TLS, logger, limitListener(o, "operators", operatorConnShare)); err != nil {
		return err
	}
	o.PeerAddress = s.Peers.Listen
	if s.Peers.TLS == nil {
		logger.Warn("peer: The settings have no TLS certificate for peers; connections from peers are not authenticated.")
		return nil
	}
	c, err := newCertificateSource(*s.Peers.TLS, logger)
	if err != nil {
		return err
	}
	o.PeerTLS = c.PeerConfig()
	return nil
}

// newCertificateSource loads certificates and logs errors of later reloads.
func newCertificateSource(t settings.TLS, logger *zap.Logger) (*certificate.Reloader, error) {
	c, err := certificate.NewReloader(t, time.Now, func(err error) {
		logger.Error("certificate: The files can't be read again; the old certificate stays.", zap.Error(err))
	})
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return c, nil
}

// Shares of the listeners in the connections of the process. Peers have the rest.
const (
	callerConnShare   = 5. / 8
	operatorConnShare = 1. / 8
)

// serveMemoryShare is the share of the process's memory for the bodies of requests, and again for answers that are sent whole.
const serveMemoryShare = 1. / 8

const (
	// platformMemoryShare is the share of the process's memory for pages of the log and lists of instances, encoded and decoded.
	platformMemoryShare = 1. / 16
	// minPlatformMemory has room for the lists of some thousand endpoints and for pages of usual records.
	minPlatformMemory = 8 << 20
)

// bytesPerField is the size from which the number of fields that a head may have is derived: what a field takes at least on the wire.
const bytesPerField = 5

// limitListener returns a function that makes the connections of a listener count towards the limits of the process. Below TLS
// the heads can't be told from bodies.
func limitListener(o *instance.Options, name string, share float64) func(l net.Listener, encrypted bool) net.Listener {
	limiter, headerBytes := o.Clients, o.MaxHeaderBytes
	return func(l net.Listener, encrypted bool) net.Listener {
		return limiter.Listen(l, connlimit.ListenerOptions{Name: name, Share: share, Opaque: encrypted, HeadLimits: func() (int, int) {
			return headerBytes + headerSlack, (headerBytes + headerSlack) / bytesPerField
		}})
	}
}

// headerSlack is what the standard library allows beyond the limit on headers.
const headerSlack = 4 << 10

// listen opens a listener, with TLS if t is set; wrap may be nil.
func listen(ctx context.Context, a netip.AddrPort, t *settings.TLS, logger *zap.Logger, wrap func(l net.Listener, encrypted bool) net.Listener) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", a.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if wrap != nil {
		l = wrap(l, t != nil)
	}
	if t == nil {
		return l, nil
	}
	c, err := newCertificateSource(*t, logger)
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	return tls.NewListener(l, c.ServerConfig()), nil
}

// instanceOptions converts settings to the options of an instance.
func instanceOptions(s settings.Settings) instance.Options {
	o := instance.DefaultOptions(s.Instance.ID, s.Instance.AvailabilityZone, s.Instance.Region)
	client := &http.Client{Transport: forward.NewCheckedTransport(platform.NewTransport())}
	replies := memory.NewBudget(max(minPlatformMemory, int64(platformMemoryShare*float64(s.Limits.Memory))))
	newClient := func(u settings.URL) *platform.Client {
		c := platform.NewClient(string(u), client, s.Platform.Timeout)
		c.LimitMemory(replies)
		return c
	}
	o.Log, o.Rater, o.WeightStore, o.InstanceList = newClient(s.Platform.Log), newClient(s.Platform.Rating), newClient(s.Platform.Weights), newClient(s.Platform.Instances)
	o.OperatorKeys = certificate.NewOperatorKeys(s.Operators.Keys)
	o.SessionLifetime = s.Sessions.Lifetime
	bodyMemory := int64(serveMemoryShare * float64(s.Limits.Memory))
	o.BodyMemory, o.AnswerMemory = memory.NewBudget(bodyMemory), memory.NewBudget(bodyMemory)
	o.Engine.ReplyMemory = o.AnswerMemory
	l := s.Callers.Limits
	o.MaxHeaderBytes, o.HeaderTimeout, o.IdleTimeout = int(l.HeaderBytes), l.HeaderTimeout, l.IdleTimeout
	o.Gateway.MaxBodyBytes, o.Gateway.MaxAnswerBytes, o.Gateway.RequestTimeout = int64(l.BodyBytes), int64(l.StreamBytes), l.RequestTimeout
	for _, v := range s.Services {
		o.Gateway.Services[v.Name] = gateway.ServiceSettings{HonoursIdempotencyKeys: v.HonoursKeys, Price: v.Price}
	}
	o.Engine.FirstTokenTimeout, o.Engine.ProgressTimeout = s.Engines.FirstTokenTimeout, s.Engines.ProgressTimeout
	o.Catalog.CallTimeout = s.Platform.Timeout
	o.Cascade.HalfLife, o.Cascade.ExplorationShare = s.Cascade.HalfLife, s.Cascade.TrialShare
	o.Answer.RatingTimeout = s.Cascade.RatingTimeout
	e := s.Endpoints
	o.ListInterval = e.ListInterval
	o.Endpoints.ConsecutiveErrorStatuses, o.Endpoints.BaseEjectionTime, o.Endpoints.MaxEjectionTime = e.Ejection.ConsecutiveFailures, e.Ejection.BaseDuration, e.Ejection.MaxDuration
	o.Retries.RetryRatio, o.Order.Hedge.CopyRatio = e.RetryShare, e.HedgeShare
	o.FreshnessBound = s.Freshness.MaxAge
	o.Ledger.Claims = ledger.ClaimSettings{ClaimTimeout: s.Claims.LogTimeout, BusyFlushDelay: s.Claims.FlushInterval}
	o.Ledger.Bills = ledger.BillSettings{AppendInterval: s.Bills.FlushInterval, MaxHeldBills: s.Bills.BufferSize}
	o.BalancerWait, o.DrainTimeout = s.Stop.BalancerWait, s.Stop.DrainTimeout
	return o
}
