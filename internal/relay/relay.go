package relay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
)

const (
	maxBatchBytes  = 16 << 20  // of a message with records; a configuration with thousands of routes fits
	maxReportBytes = 256 << 10 // of a message with the load reported by an instance; each endpoint takes at most 20
	bufferBytes    = 4 << 10   // of the read buffer and of the write buffer of a connection
	// startupRetryInterval is the delay from a failed stream to the next one during startupPhase. It is shorter than
	// retryInterval because instances often start together, before the seeds accept connections.
	startupRetryInterval = 20 * time.Millisecond
	startupPhase         = time.Second            // after the start of an instance
	firstSeedPart        = 4                      // part of a startup wait in which only the first seed is tried; the others still have time to respond
	retryInterval        = 500 * time.Millisecond // from a failed stream to the next one
	keepAliveInterval    = 10 * time.Second       // between probes of an idle connection; gRPC allows no shorter one
	keepAliveTimeout     = 3 * time.Second        // for the response to a probe
	handshakeTimeout     = 3 * time.Second        // for the first bytes of a connection
	maxConnectionIdle    = 10 * time.Second       // of a connection without a call; other instances always have one under way
	maxHeaderListBytes   = 8 << 10                // of the header of a call
	maxStreams           = 16                     // calls under way on a connection; other instances have up to three
)

// Options identifies this instance and the instances that it may follow.
type Options struct {
	Instance string         // identifier of this instance
	Address  netip.AddrPort // address of this instance
	// Seeds are the instances that read the store for others; they include Address if this instance does so.
	Seeds  []netip.AddrPort
	Dial   func(ctx context.Context, address string) (net.Conn, error) // connects to another instance
	Logger *zap.Logger
	// MetricsScope is the scope of all metrics; none are kept without it.
	MetricsScope tally.Scope
	// Clock returns the time since a fixed point, including the time for which the host was suspended. The default is the
	// host's clock.
	Clock func() time.Duration
}

// Hub shares topics and loads with other instances.
type Hub struct {
	relaypb.UnimplementedRelayServer

	options  Options
	reporter Reporter // reports the load of this instance; nil if loads are not shared
	notifier *notifier
	metrics  *metrics
	topics   []*topic
	reports  *reportTable
	seed     atomic.Pointer[netip.AddrPort] // the instance that sends records; nil if there is none
	started  time.Time
}

// NewHub returns a hub without topics.
func NewHub(o Options) *Hub {
	if o.Clock == nil {
		o.Clock = hostClock
	}
	if o.MetricsScope == nil {
		o.MetricsScope = tally.NoopScope
	}
	return &Hub{options: o, notifier: newNotifier(), metrics: newMetrics(o.MetricsScope), reports: newReportTable(), started: time.Now()}
}

func (h *Hub) now() instant { return instant(h.options.Clock()) }

// asTime converts an instant to a time of this process.
func (h *Hub) asTime(i instant) time.Time { return time.Now().Add(-h.now().sub(i)) }

// SetReporter makes this instance share its load; it must be called before Run and Serve.
func (h *Hub) SetReporter(r Reporter) { h.reporter = r }

// startupTimeLeft returns how much of a period after the start of this instance is left. The result is 0 or
// less if the period is over or this instance is a seed.
func (h *Hub) startupTimeLeft(period time.Duration) time.Duration {
	if h.IsSeed() {
		return 0
	}
	return period - time.Since(h.started)
}

// AddTopic adds a topic and returns its source; the name stands in logs and metrics. All instances must add their topics in
// the same order, as messages refer to a topic by its index.
func (h *Hub) AddTopic(name string, store changefeed.Source, p ReadPolicy) *Source {
	t := newTopic(h.notifier, p)
	h.topics = append(h.topics, t)
	m := h.metrics.topicScope(name)
	return &Source{hub: h, name: name, store: store, topic: t, metrics: sourceMetrics{
		reads: m.Counter("relay_store_reads"), age: m.Gauge("relay_record_age_seconds"),
	}}
}

// IsSeed reports whether this instance reads the store for others. Without seeds, each instance reads the store itself.
func (h *Hub) IsSeed() bool {
	return len(h.options.Seeds) == 0 || slices.Contains(h.options.Seeds, h.options.Address)
}

// hasFollowers reports whether other instances may follow this one.
func (h *Hub) hasFollowers() bool { return len(h.options.Seeds) > 0 && h.IsSeed() }

// Serve accepts connections from other instances until the context ends.
func (h *Hub) Serve(ctx context.Context, l net.Listener) error {
	s := grpc.NewServer(
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes), grpc.MaxSendMsgSize(maxBatchBytes), grpc.MaxRecvMsgSize(maxReportBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepAliveInterval, Timeout: keepAliveTimeout, MaxConnectionIdle: maxConnectionIdle}),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxHeaderListSize(maxHeaderListBytes), grpc.MaxConcurrentStreams(maxStreams),
	)
	relaypb.RegisterRelayServer(s, h)
	stopWatch := context.AfterFunc(ctx, s.Stop)
	defer stopWatch()
	if err := s.Serve(l); err != nil && ctx.Err() == nil {
		return &Error{Op: "serve", Kind: ErrStream, Err: err}
	}
	return nil
}

// Run receives records from a seed until the context ends. If this instance is a seed itself, Run only exchanges loads with
// the other seeds.
func (h *Hub) Run(ctx context.Context) {
	if h.IsSeed() {
		h.exchangeLoads(ctx)
		return
	}
	l := slices.Clone(h.options.Seeds)
	// Each instance tries the seeds in a different order, which spreads the followers across the seeds.
	slices.SortFunc(l, func(a, b netip.AddrPort) int {
		x, y := xxhash.Sum64String(h.options.Instance+a.String()), xxhash.Sum64String(h.options.Instance+b.String())
		if x < y {
			return -1
		}
		return 1
	})
	for i := 0; ctx.Err() == nil; {
		a := l[i%len(l)]
		err := h.followSeed(ctx, a)
		h.seed.Store(nil)
		if ctx.Err() != nil {
			return
		}
		var e *Error
		if errors.As(err, &e) && e.Kind == ErrStale {
			h.notifier.notifyAll() // reads that wait for this seed's records must not wait on
		}
		h.options.Logger.Warn("relay: Lost the instance that reads the store; reading the store directly until another one responds.",
			zap.Stringer("from", a), zap.Error(err))
		delay := retryInterval
		if h.startupTimeLeft(startupPhase) > 0 {
			delay = startupRetryInterval
		}
		_ = sleep(ctx, delay, nil) // the loop checks the context
		if i > 0 || h.startupTimeLeft(h.firstSeedTimeout()) <= 0 {
			i++
		}
	}
}

// firstSeedTimeout returns how long after its start an instance tries only the first seed of its order: a part of the time
// for which it can do without records. When a whole fleet starts, the first seed that accepts connections would otherwise get
// all followers.
func (h *Hub) firstSeedTimeout() time.Duration {
	d := startupPhase
	for _, t := range h.topics {
		d = min(d, t.policy.StartupWait/firstSeedPart)
	}
	return d
}

// exchangeLoads receives the loads that the other seeds have added up, and passes the loads of all other instances to the
// reporter of this one.
func (h *Hub) exchangeLoads(ctx context.Context) {
	if h.reporter == nil || len(h.options.Seeds) == 0 {
		return
	}
	var w sync.WaitGroup
	defer w.Wait()
	w.Go(func() { h.reportOthers(ctx) })
	for _, a := range h.options.Seeds {
		if a == h.options.Address {
			continue
		}
		w.Go(func() {
			for ctx.Err() == nil {
				err := h.withClient(ctx, a, func(callCtx context.Context, r relaypb.RelayClient) error {
					return h.receiveFromSeed(callCtx, r, "seed "+a.String())
				})
				if ctx.Err() == nil {
					h.options.Logger.Info("relay: Lost the stream of loads from another seed.", zap.Stringer("from", a), zap.Error(err))
				}
				_ = sleep(ctx, retryInterval, nil) // the loop checks the context
			}
		})
	}
}

// withClient connects to another instance, calls f and closes the connection.
func (h *Hub) withClient(ctx context.Context, a netip.AddrPort, f func(context.Context, relaypb.RelayClient) error) error {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+a.String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxBatchBytes)), grpc.WithContextDialer(h.options.Dial))
	if err != nil {
		return &Error{Op: "dial", Kind: ErrStream, Err: err}
	}
	defer func() { _ = conn.Close() }()
	return f(callCtx, relaypb.NewRelayClient(conn))
}

// followSeed receives records from a seed and shares loads with it until the stream ends or the seed does not confirm recent
// records.
func (h *Hub) followSeed(ctx context.Context, a netip.AddrPort) error {
	return h.withClient(ctx, a, func(ctx context.Context, r relaypb.RelayClient) error {
		streamCtx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		s, err := r.Follow(streamCtx, h.newFollowRequest())
		if err != nil {
			return &Error{Op: "follow", Kind: ErrStream, Err: err}
		}
		var w sync.WaitGroup
		defer w.Wait()
		defer cancel(nil)
		if h.reporter != nil {
			w.Go(func() { h.shareLoads(streamCtx, r) })
		}
		for _, t := range h.topics {
			t.dropWaiting()
		}
		received := make(chan struct{}, 1)
		w.Go(func() { cancel(h.confirmRecords(streamCtx, r, received)) })
		for {
			m, err := s.Recv()
			if err != nil {
				var stale *Error
				if errors.As(context.Cause(streamCtx), &stale) {
					return stale
				}
				return &Error{Op: "receive", Kind: ErrStream, Err: err}
			}
			if int(m.GetTopic()) >= len(h.topics) {
				continue // a topic of a newer release
			}
			if err := expandRecords(m); err != nil {
				return err
			}
			if !h.mergeBatch(m) {
				return &Error{Op: "merge", Kind: ErrGap}
			}
			if h.seed.Swap(&a) == nil {
				h.options.Logger.Info("relay: Following another instance.", zap.Stringer("from", a))
			}
			select {
			case received <- struct{}{}:
			default: // a confirmation is due already
			}
		}
	})
}
