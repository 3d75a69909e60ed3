package instance

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/answer"
	"github.com/cassiaspoke/cassiaspoke/internal/catalog"
	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/gateway"
	"github.com/cassiaspoke/cassiaspoke/internal/operator"
	"github.com/cassiaspoke/cassiaspoke/internal/order"
	"github.com/cassiaspoke/cassiaspoke/internal/peer"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	expireEvery    = time.Minute      // between two removals of suspects that no longer count
	publishTimeout = 10 * time.Second // of a change that a trial asks for
)

var (
	errStopping = errors.New("the instance is stopping")
	errCrashed  = errors.New("the instance was ended at once")
)

// Instance is one router.
type Instance struct {
	o        Options
	ctx      context.Context // of all goroutines
	cancel   context.CancelCauseFunc
	work     sync.WaitGroup
	started  time.Time
	stopping atomic.Bool

	engines  *engine.Client
	control  *control
	config   *catalog.Follower
	suspects *suspects
	ledger   *ledgers
	peers    *peer.Service
	grouper  *peer.Grouper
	listens  chan struct{} // closed once peers can connect
	maker    *answer.Maker
	gateway  *gateway.Gateway
	callers  *http.Server
	operator *http.Server
}

// New puts an instance together without starting it.
func New(o Options) (*Instance, error) {
	signer, err := session.NewSigner(o.SessionKeys, o.SessionLifetime)
	if err != nil {
		return nil, fmt.Errorf("new instance: %w", err)
	}
	if o.Clock == nil {
		o.Clock = timeline.NewClock(time.Now)
	}
	o.Engine.Clock = o.Clock
	i := &Instance{o: o, started: time.Now(), engines: engine.NewClient(o.Engine), suspects: newSuspects(o.Suspects), listens: make(chan struct{})}
	i.ctx, i.cancel = context.WithCancelCause(context.Background())
	i.control = newControl(i.ctx, o, i.engines, rand.Uint64())
	i.config = catalog.NewFollower(o.Catalog, o.Log, o.Logger, i.applied, i.read)
	i.control.publish = i.publish
	i.suspects.tell = i.tell
	i.newPeers()
	i.control.fleet = func() int { return i.peers.View().Size() }
	i.ledger = newLedgers(i.ctx, o, sharedLog{o.Log, func() *peer.Service { return i.peers }}, i.peers.Witness())
	retries := newRetries(o.Retries)
	i.maker = answer.NewMaker(o.Answer, answer.Parts{
		Catalog: i.config.Catalog, Serving: i.serving, Pool: i.control, Planner: i.control, Suspects: i.suspects, Retries: retries,
		Rater: &rater{o.Rater, i.control}, Engines: i.engines, Events: o.Events,
	})
	desk := order.NewDesk(o.Order, i.serving, i.control, i.ledger, retries, i.engines, o.Events)
	i.gateway = gateway.New(o.Gateway, gateway.Parts{
		Catalog: i.config.Catalog, Ready: i.Ready, Serving: i.serving, Sessions: signer, Maker: i.maker, Orders: desk,
		Wallet: i.ledger, Biller: i.ledger, Admission: i.control, Digest: digest, Events: o.Events, Clock: o.Clock,
		Metrics: o.Metrics, Scope: o.Scope.SubScope("gateway"), Logger: o.Logger,
	})
	op := operator.New(operator.Parts{
		Config: i.config, Keys: o.OperatorKeys, Bills: i.ledger.export, Status: i.status, Events: o.Events, Logger: o.Logger,
	})
	i.callers = i.server(i.gateway.Handler())
	i.operator = i.server(op.Handler())
	return i, nil
}

func peerSettings(o Options) peer.Settings {
	s := peer.DefaultSettings(o.ID, o.Zone, o.Peers)
	s.TLS = o.PeersTLS
	s.ListEvery = o.ListEvery
	s.Adjust = func(m *membership.Settings) { m.Window, m.Batch = o.Freshness, o.Batch }
	return s
}

func (i *Instance) newPeers() {
	c := timeline.NewCarrier(i.o.Clock, func(err error) {
		i.o.Logger.Warn("timeline: A peer's stamp is not accepted.", zap.Error(err))
	})
	i.grouper = peer.NewGrouper(i.o.Log, combine, func(stream string) time.Duration { return i.peers.Interval(stream) })
	i.peers = peer.New(peerSettings(i.o), peer.Hooks{
		List: i.o.List, Bills: billHolder{i}, Appender: i.grouper, Snapshots: snapshots{i.config}, Digests: digests{i},
		Client: c.UnaryClient, Server: c.UnaryServer, Changed: i.peerChanged,
	}, i.o.Logger, i.o.Scope.SubScope("peer"))
}

func (i *Instance) peerChanged(id, from, to string) {
	i.o.Events.Write(timeline.Event{Part: "peer", Name: to, Fields: map[string]string{"peer": id, "from": from}})
}

func (i *Instance) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: i.o.HeaderBytes, ReadHeaderTimeout: i.o.HeaderTime, IdleTimeout: i.o.IdleTime,
		ErrorLog: zap.NewStdLog(i.o.Logger),
	}
}

// Run serves until the context ends, and then stops without cutting off a request.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.start(); err != nil {
		i.cancel(err)
		return err
	}
	select {
	case <-ctx.Done():
		return i.stop()
	case <-i.ctx.Done():
		i.work.Wait()
		return fmt.Errorf("run %s: %w", i.o.ID, context.Cause(i.ctx))
	}
}

// PeerAddress returns what peers dial, once the instance listens there.
func (i *Instance) PeerAddress(ctx context.Context) (netip.AddrPort, error) {
	select {
	case <-i.listens:
		return i.peers.Address(), nil
	case <-ctx.Done():
		return netip.AddrPort{}, fmt.Errorf("peer address: %w", ctx.Err())
	case <-i.ctx.Done():
		return netip.AddrPort{}, fmt.Errorf("peer address: %w", context.Cause(i.ctx))
	}
}

func (i *Instance) start() error {
	if err := i.peers.Start(i.ctx); err != nil {
		return fmt.Errorf("start %s: %w", i.o.ID, err)
	}
	close(i.listens)
	i.work.Go(i.control.run)
	i.work.Go(i.control.follow)
	i.seed()
	i.work.Go(func() { i.config.Run(i.ctx) })
	i.work.Go(i.expire)
	i.duties()
	i.serve(i.callers, i.o.Callers)
	i.serve(i.operator, i.o.Operators)
	i.o.Events.Write(timeline.Event{Part: "instance", Name: "started"})
	i.o.Logger.Info("instance: Started.", zap.String("instance", i.o.ID), zap.String("zone", i.o.Zone),
		zap.Stringer("callers", i.o.Callers.Addr()), zap.Stringer("operators", i.o.Operators.Addr()))
	return nil
}

// seed starts from a peer's configuration, which may be newer than what the log still shows in an outage.
func (i *Instance) seed() {
	i.work.Go(func() {
		ctx, cancel := context.WithTimeout(i.ctx, 2*time.Second)
		defer cancel()
		b, err := i.peers.Snapshot(ctx)
		if err != nil {
			i.o.Logger.Info("instance: No peer gave a snapshot; the log alone is read.", zap.Error(err))
			return
		}
		ch, err := decodeSnapshot(b)
		if err == nil {
			err = i.config.Seed(ch)
		}
		if err != nil {
			i.o.Logger.Warn("instance: A peer's snapshot is of no use.", zap.Error(err))
		}
	})
}

func (i *Instance) serve(s *http.Server, l net.Listener) {
	i.work.Go(func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			i.o.Logger.Error("instance: A listener failed.", zap.Error(err))
			i.cancel(err)
		}
	})
}

func (i *Instance) expire() {
	t := time.NewTicker(expireEvery)
	defer t.Stop()
	for {
		select {
		case <-i.ctx.Done():
			return
		case <-t.C:
			i.suspects.expire()
		}
	}
}

// applied takes over a new catalog; the follower calls it.
func (i *Instance) applied(c *profile.Catalog) {
	i.control.apply(c)
	i.o.Events.Write(timeline.Event{Part: "instance", Name: "configuration", Fields: map[string]string{"next": strconv.FormatUint(c.Next, 10)}})
	i.peers.Applied(platform.Offset(c.Next))
}

func (i *Instance) read(sent time.Time, next platform.Offset) { i.peers.LogRead(sent, next) }

// publish appends a change that a trial asks for. The driver asks again if the log doesn't accept it.
func (i *Instance) publish(ch record.Change) {
	ch.Operator = i.o.ID
	i.work.Go(func() {
		ctx, cancel := context.WithTimeout(i.ctx, publishTimeout)
		defer cancel()
		e := timeline.Event{Part: "rollout", Name: string(ch.Kind), Version: ch.Name, Fields: map[string]string{"reason": ch.Reason}}
		if _, err := i.config.Publish(ctx, ch); err != nil {
			e.Fields["error"] = err.Error()
		}
		i.o.Events.Write(e)
		i.o.Logger.Info("rollout: A change was asked for.", zap.String("kind", string(ch.Kind)), zap.String("version", ch.Name),
			zap.String("reason", ch.Reason), zap.String("error", e.Fields["error"]))
	})
}

// Ready tells the load balancer whether to send work here.
func (i *Instance) Ready() error {
	if i.stopping.Load() {
		return errStopping
	}
	return i.serving()
}

// serving reports whether new work may start: only with a configuration that is known to be in force.
func (i *Instance) serving() error {
	if f := i.peers.Fresh(); !f.Ready {
		return fmt.Errorf("the configuration can't be confirmed: %s", f.Ground)
	}
	return nil
}

// stop ends the instance in order: no new work from the balancer, the work under way, bills and grants, peers.
func (i *Instance) stop() error {
	i.stopping.Store(true)
	i.o.Events.Write(timeline.Event{Part: "instance", Name: "stopping"})
	i.o.Logger.Info("instance: Stopping; readiness is off.")
	ctx, cancel := context.WithTimeout(i.ctx, i.o.BalancerWait+i.o.Drain)
	defer cancel()
	_ = i.peers.Leave(ctx)
	select {
	case <-time.After(i.o.BalancerWait):
	case <-i.ctx.Done():
	}
	err := errors.Join(i.gateway.Drain(ctx), i.callers.Shutdown(ctx))
	i.maker.Wait()
	err = errors.Join(err, i.ledger.flush(ctx), i.operator.Shutdown(ctx))
	i.o.Events.Write(timeline.Event{Part: "instance", Name: "stopped"})
	i.end(errStopping)
	if err != nil {
		return fmt.Errorf("stop %s: %w", i.o.ID, err)
	}
	i.o.Logger.Info("instance: Stopped; no request was cut off.")
	return nil
}

// Crash ends the instance at once, as the loss of its machine would: nothing is flushed or handed over.
func (i *Instance) Crash() {
	_ = i.callers.Close()
	_ = i.operator.Close()
	i.end(errCrashed)
}

func (i *Instance) end(cause error) {
	i.cancel(cause)
	i.peers.Stop()
	i.grouper.Close()
	i.work.Wait()
	i.ledger.wait()
	i.engines.Close()
}

// rater rates answers and notes whether the service is away.
type rater struct {
	service platform.Rater
	control *control
}

// Rate returns the score of an answer, from 0 to 1.
func (r *rater) Rate(ctx context.Context, a answer.RatedAnswer) (float64, error) {
	s, err := r.service.Rate(ctx, platform.Answer{Profile: a.Profile, Class: a.Class, Version: a.Version, Prompt: a.Prompt, Text: a.Text})
	r.control.rated(err)
	if err != nil {
		return 0, fmt.Errorf("rate: %w", err)
	}
	return s, nil
}

// digest returns the digest by which a repeated request is known, whoever sends it and under whatever key.
func digest(q *answer.Request) uint64 {
	l := make([][]byte, 0, 2*len(q.Chat.Messages))
	for _, m := range q.Chat.Messages {
		l = append(l, []byte(m.Role), []byte(m.Content))
	}
	return uint64(suspect.HashContent("chat", l...))
}

// snapshots gives peers the configuration in force.
type snapshots struct{ config *catalog.Follower }

// Snapshot returns the configuration in force as a record.
func (s snapshots) Snapshot(context.Context) ([]byte, error) {
	ch, err := s.config.Catalog().Snapshot(uuid.NewString())
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return encodeSnapshot(ch)
}
