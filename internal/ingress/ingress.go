package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/feed"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
)

const (
	maxHeader     = 64 << 10 // bytes of a request's head that are read; the configuration's limit is checked after that
	sweepEvery    = time.Second
	leastStop     = 3 * time.Second        // the balancer sees two failed checks, one a second, before it stops new connections
	stopReserve   = 500 * time.Millisecond // of the grace period, left for the process to end
	readinessTime = time.Second
	idleEvery     = 100 * time.Millisecond // between looks at connections without a request during a stop
)

// Ingress is one instance.
type Ingress struct {
	options   Options
	view      atomic.Pointer[View]
	stopping  atomic.Bool
	closed    atomic.Bool
	stopEnd   atomic.Pointer[time.Time]
	active    atomic.Int64
	balancer  *balancer
	control   *control
	publisher *publisher
	board     *board
	pool      *forward.Pool
	handler   *handler
}

// New returns an instance that does not run yet.
func New(o Options) *Ingress {
	i := &Ingress{options: o, pool: forward.NewPool(o.Dialer, o.IdleConns)}
	i.view.Store(&View{})
	i.balancer = newBalancer(o)
	if o.Hub != nil {
		o.Hub.SetWork(i.balancer)
	}
	i.control = newControl(o, i.balancer, &i.view)
	i.board = newBoard(o, i.balancer)
	i.publisher = newPublisher(o, i.balancer, i.board)
	i.handler = &handler{
		options: o, view: &i.view, balancer: i.balancer, pool: i.pool, board: i.board, metrics: newMetrics(o.Scope),
		log: newRequestLog(o.Logger), stopping: &i.stopping, closed: &i.closed, stopEnd: &i.stopEnd,
		started: time.Now(), ready: i.control.ready,
	}
	return i
}

// Run serves until the context ends, and then stops without cutting off requests while the grace period lasts.
func (i *Ingress) Run(ctx context.Context) error {
	back, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var w sync.WaitGroup
	defer w.Wait()
	defer cancel()
	spawn := func(f func(context.Context)) {
		w.Add(1)
		go func() {
			defer w.Done()
			f(back)
		}()
	}
	spawn(feed.NewFollower(i.options.Operators, i.options.Feeds.Operators, i.control.follow(back, topicOperators)).Run)
	spawn(feed.NewFollower(i.options.Registry, i.options.Feeds.Registry, i.control.follow(back, topicRegistry)).Run)
	states := feed.NewFollower(i.options.Status, i.options.Feeds.Slow, i.publisher.apply)
	notes := feed.NewFollower(i.options.Board, i.options.Feeds.Slow, i.board.apply)
	i.control.regained = func() {
		states.Restart()
		notes.Restart()
	}
	spawn(i.control.run)
	if i.options.Peers != nil {
		spawn(i.options.Hub.Run)
		spawn(func(ctx context.Context) {
			if err := i.options.Hub.Serve(ctx, i.options.Peers); err != nil {
				i.options.Logger.Error("relay: The listener for other instances failed.", zap.Error(err))
			}
		})
	}
	spawn(states.Run)
	spawn(notes.Run)
	spawn(i.publisher.run)
	spawn(i.sweep)
	l := newClients(i.options.Requests, &i.view)
	requests := &http.Server{ //nolint:gosec // clients bounds the time for a request's head, by the configuration.
		Handler: i.count(i.handler), MaxHeaderBytes: maxHeader, ConnState: l.state, ConnContext: l.context,
		ErrorLog: zap.NewStdLog(i.options.Logger.Named("http")),
	}
	failed := make(chan error, 3)
	serve := func(s *http.Server, l net.Listener) {
		go func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !i.stopping.Load() {
				failed <- &Error{Op: "serve", Kind: ErrListener, Err: err}
			}
		}()
	}
	side := &http.Server{Handler: i.readiness(), ReadHeaderTimeout: readinessTime}
	meters := &http.Server{Handler: i.options.Reporter, ReadHeaderTimeout: readinessTime}
	serve(requests, l)
	serve(side, i.options.Readiness)
	serve(meters, i.options.Metrics)
	defer side.Close()
	defer meters.Close()
	defer i.pool.Close()
	listening := []zap.Field{
		zap.Stringer("requests", i.options.Requests.Addr()), zap.Stringer("readiness", i.options.Readiness.Addr()),
		zap.Stringer("metrics", i.options.Metrics.Addr()),
	}
	if i.options.Peers != nil {
		listening = append(listening, zap.Stringer("peers", i.options.Peers.Addr()))
	}
	i.options.Logger.Info("instance: Started.", listening...)
	select {
	case err := <-failed:
		_ = requests.Close()
		return err
	case <-ctx.Done():
	}
	i.stop(requests, l)
	return nil
}

// stop serves on until the balancer has noticed. Then it takes no further connections, ends those without a request, as
// a client that keeps one would go on sending until the process ends, and waits for the requests under way while the
// grace period lasts. Requests that still come and may outlast it are refused. The server's own Shutdown closes idle connections without a look at what has just come on them.
func (i *Ingress) stop(s *http.Server, l *clients) {
	begin := time.Now()
	i.stopping.Store(true)
	i.options.Logger.Info("instance: Stopping.", zap.Int64("requests", i.active.Load()), zap.Duration("grace", i.options.Grace))
	end := begin.Add(max(i.options.Grace-stopReserve, stopReserve))
	time.Sleep(min(leastStop, i.options.Grace/2))
	i.stopEnd.Store(&end)
	if err := l.finish(); err != nil {
		i.options.Logger.Error("instance: The listener could not be closed.", zap.Error(err))
	}
	left := 1
	for left > 0 && time.Now().Before(end) {
		time.Sleep(idleEvery)
		left = l.endIdle()
	}
	i.closed.Store(true)
	err := s.Close()
	i.options.Logger.Info("instance: Stopped.", zap.Int64("requests", i.active.Load()), zap.Int("connections", left),
		zap.Duration("took", time.Since(begin)), zap.Error(err))
}

// count keeps the number of requests under way.
func (i *Ingress) count(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun(r.Context())
		i.active.Add(1)
		defer i.active.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// readiness answers the platform's balancer; any path will do, as nothing else is served there.
func (i *Ingress) readiness() http.Handler {
	e := echo.New()
	e.Any("/*", func(c *echo.Context) error {
		if i.stopping.Load() || !i.view.Load().Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

// sweep closes old connections and updates the gauges.
func (i *Ingress) sweep(ctx context.Context) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			i.pool.Sweep(now)
			i.handler.metrics.state(i.view.Load(), i.active.Load(), i.balancer.endpoints(), i.handler.log, i.options.Dropped())
		}
	}
}
