package ingress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/connlimit"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
	"github.com/cassiaspoke/cassiaspoke/internal/relay"
)

const (
	maxHeaderBytes    = 64 << 10 // the configuration's limit on headers is checked after the server has read the head
	sweepInterval     = time.Second
	readinessDelay    = 3 * time.Second        // the load balancer checks once a second and needs two failed checks
	signalReserve     = 500 * time.Millisecond // part of readinessDelay for a stop signal that is handled late
	exitReserve       = 500 * time.Millisecond // part of the grace period that is left for the process to exit
	lastAnswersTime   = 200 * time.Millisecond // part of exitReserve to answer requests that have not ended
	sideHeaderTimeout = time.Second
	closeIdleInterval = 100 * time.Millisecond // between passes that close idle connections during a stop
)

// Ingress is one instance of the ingress.
type Ingress struct {
	options        Options
	snapshot       atomic.Pointer[snapshot]
	stopping       atomic.Bool
	serverClosed   atomic.Bool
	stopDeadline   atomic.Pointer[time.Time]
	stopDue        context.Context // ends when requests under way have to end
	endRequests    context.CancelFunc
	activeRequests atomic.Int64
	balancer       *balancer
	controller     *controller
	publisher      *publisher
	coordinator    *coordinator
	pool           *forward.Pool
	handler        *handler
}

// New returns an instance that has not been started.
func New(o Options) *Ingress {
	i := &Ingress{pool: forward.NewPool(o.Dialer, o.MaxIdleConnsPerEndpoint)}
	i.snapshot.Store(&snapshot{})
	limitListeners(&o, i.requestHeadLimits)
	i.options = o
	i.stopDue, i.endRequests = context.WithCancel(context.Background())
	i.balancer = newBalancer(o)
	if o.Hub != nil {
		o.Hub.SetReporter(i.balancer)
	}
	i.controller = newController(o, i.balancer, &i.snapshot)
	i.coordinator = newCoordinator(o, i.balancer)
	i.publisher = newPublisher(o, i.balancer, i.coordinator)
	i.handler = &handler{
		options: o, snapshot: &i.snapshot, balancer: i.balancer, pool: i.pool, coordinator: i.coordinator, metrics: newMetrics(o.MetricsScope),
		log: newRequestLog(o.Logger), unknownHeaders: newUnknownHeaders(o.Logger, o.MetricsScope), stopping: &i.stopping, serverClosed: &i.serverClosed, stopDeadline: &i.stopDeadline,
		stopDue: i.stopDue, startedAt: time.Now(), ready: i.controller.ready,
		abandonedProbes: rate.NewLimiter(abandonedProbesPerSecond, abandonedProbeBurst),
	}
	return i
}

// Run serves requests until the context ends. It then stops gracefully: requests under way may complete within the grace
// period.
func (i *Ingress) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	start := func(f func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(background)
		}()
	}
	start(changefeed.NewFollower(i.options.OperatorSource, i.options.Feeds.Operators, i.controller.updateHandler(background, topicOperators)).Run)
	start(changefeed.NewFollower(i.options.RegistrySource, i.options.Feeds.Registry, i.controller.updateHandler(background, topicRegistry)).Run)
	statusFollower := changefeed.NewFollower(i.options.StatusTopic, i.options.Feeds.Shared, i.publisher.applyUpdate)
	boardFollower := changefeed.NewFollower(i.options.InstancesTopic, i.options.Feeds.Shared, i.coordinator.applyUpdate)
	i.controller.onStoreRecovered = restartDelayed(i.options.Hub, statusFollower, boardFollower)
	start(i.controller.applyUpdates)
	if i.options.PeerListener != nil {
		start(i.options.Hub.Run)
		start(func(ctx context.Context) {
			if err := i.options.Hub.Serve(ctx, i.options.PeerListener); err != nil {
				i.options.Logger.Error("relay: The listener for other instances failed.", zap.Error(err))
			}
		})
	}
	start(statusFollower.Run)
	start(boardFollower.Run)
	start(i.publisher.publishStates)
	start(i.sweepPeriodically)
	l := newClientListener(i.options.RequestListener, &i.snapshot)
	requests := &http.Server{ //nolint:gosec // clientListener enforces the configured timeout for a request's head.
		Handler: i.countActive(i.handler), MaxHeaderBytes: maxHeaderBytes, ConnContext: l.connContext, DisableGeneralOptionsHandler: true,
		ConnState: func(c net.Conn, s http.ConnState) {
			l.connState(c, s)
			connlimit.ConnState(c, s)
		},
		ErrorLog: zap.NewStdLog(i.options.Logger.Named("http")),
	}
	connlimit.AllowFields(requests)
	serveErrs := make(chan error, 3)
	serve := func(s *http.Server, l net.Listener) {
		go func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !i.stopping.Load() {
				serveErrs <- &Error{Op: "serve", Kind: ErrListener, Err: err}
			}
		}()
	}
	readinessServer, metricsServer := newSideServer(i.readinessHandler()), newSideServer(i.options.MetricsHandler)
	serve(requests, l)
	serve(readinessServer, i.options.ReadinessListener)
	serve(metricsServer, i.options.MetricsListener)
	defer readinessServer.Close()
	defer metricsServer.Close()
	defer i.pool.Close()
	listening := []zap.Field{
		zap.Stringer("requests", i.options.RequestListener.Addr()), zap.Stringer("readiness", i.options.ReadinessListener.Addr()),
		zap.Stringer("metrics", i.options.MetricsListener.Addr()),
	}
	if i.options.PeerListener != nil {
		listening = append(listening, zap.Stringer("peers", i.options.PeerListener.Addr()))
	}
	i.options.Logger.Info("instance: Started.", listening...)
	select {
	case err := <-serveErrs:
		_ = requests.Close()
		return err
	case <-ctx.Done():
	}
	i.stopServing(requests, l)
	return nil
}

// After an outage of the store the instances follow a seed again within minSharedRestart. They then get the records of the topics that
// they share from the seed, and don't all read the store at its return.
const (
	minSharedRestart    = time.Second
	sharedRestartSpread = time.Second
)

// restartDelayed returns a function that makes the followers of shared topics read them again: at once on a seed, some time later on
// other instances. Further calls meanwhile have no effect.
func restartDelayed(h *relay.Hub, followers ...*changefeed.Follower) func() {
	var pending atomic.Bool
	return func() {
		if pending.Swap(true) {
			return
		}
		delay := time.Duration(0)
		if h != nil && !h.IsSeed() {
			delay = minSharedRestart + time.Duration(rand.Int64N(int64(sharedRestartSpread)))
		}
		time.AfterFunc(delay, func() {
			pending.Store(false)
			for _, f := range followers {
				f.Restart()
			}
		})
	}
}

// stopServing keeps serving until the platform's load balancer has noticed the stop. Then it accepts no further
// connections, closes idle ones, whose clients would otherwise send requests until the process exits, and waits for
// requests under way until the grace period ends. New requests that may outlast the grace period are refused, and requests
// that have not ended by then are answered, unless their response has begun. Shutdown of http.Server is not used: it closes idle connections without checking for a request that has just arrived.
func (i *Ingress) stopServing(s *http.Server, l *clientListener) {
	start := time.Now()
	i.stopping.Store(true)
	i.options.Logger.Info("instance: Stopping.", zap.Int64("requests", i.activeRequests.Load()), zap.Duration("grace", i.options.GracePeriod))
	deadline := start.Add(max(i.options.GracePeriod-exitReserve, exitReserve))
	listenUntil := start.Add(min(readinessDelay, i.options.GracePeriod/2))
	time.Sleep(time.Until(listenUntil) - signalReserve)
	i.stopDeadline.Store(&deadline)
	time.Sleep(time.Until(listenUntil))
	err := l.stopAccepting()
	if err != nil {
		i.options.Logger.Error("instance: The listener could not be closed.", zap.Error(err))
	}
	openConns, accepting := 1, err == nil
	for (accepting || openConns > 0) && time.Now().Before(deadline) {
		time.Sleep(closeIdleInterval)
		accepting = accepting && !l.closed.Load() // before the count, which holds all that were accepted until then
		openConns = l.closeIdle()
	}
	i.endRequests()
	for end := time.Now().Add(lastAnswersTime); (i.activeRequests.Load() > 0 || l.hasBusy()) && time.Now().Before(end); {
		time.Sleep(lastAnswersTime / 20)
	}
	i.serverClosed.Store(true)
	err = s.Close()
	i.options.Logger.Info("instance: Stopped.", zap.Int64("requests", i.activeRequests.Load()), zap.Int("connections", openConns),
		zap.Duration("took", time.Since(start)), zap.Error(err))
}

// countActive counts the requests under way.
func (i *Ingress) countActive(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestBegun(r.Context())
		i.activeRequests.Add(1)
		defer i.activeRequests.Add(-1)
		h.ServeHTTP(w, r)
		requestEnded(r.Context()) // not after a panic, which cuts the answer
	})
}

// readinessHandler answers the checks of the platform's load balancer, on every path.
func (i *Ingress) readinessHandler() http.Handler {
	e := echo.New()
	e.Any("/*", func(c *echo.Context) error {
		if i.stopping.Load() || !i.snapshot.Load().ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

// sweepPeriodically closes old pooled connections and updates the gauges until the context ends.
func (i *Ingress) sweepPeriodically(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	engines := &engineLog{logger: i.options.Logger, scope: i.options.MetricsScope, full: map[string]bool{}}
	shortages := &shortageLog{logger: i.options.Logger, scope: i.options.MetricsScope, short: map[string]bool{}}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			i.pool.CloseExpired(now)
			shortages.update(i.balancer.admissionStatuses(now))
			for _, id := range i.balancer.endedPauses(now) {
				i.handler.notePauseEnded(id)
			}
			i.handler.noteColdState(i.balancer.coldState(now))
			i.handler.noteLimitState(i.balancer.limitState(now))
			engines.update(i.balancer.engineStatuses(now))
			i.handler.metrics.updateEvacuationGauges(i.balancer.evacuationStatus())
			i.handler.metrics.updateGauges(i.snapshot.Load(), i.activeRequests.Load(), i.balancer.endpointCounts(), i.coordinator.prompts.refusedCount(), i.handler.log, i.options.DroppedLogLines())
		}
	}
}
