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
	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/gateway"
	"github.com/cassiaspoke/cassiaspoke/internal/operator"
	"github.com/cassiaspoke/cassiaspoke/internal/peer"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/servicecall"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	suspectExpiryInterval = time.Minute      // interval between removals of expired suspects
	publishTimeout        = 10 * time.Second // timeout of publishing a change that a roll-out trial requests
)

var (
	errStopping = errors.New("the instance is stopping")
	errCrashed  = errors.New("the instance was stopped without draining")
)

// Instance is one instance of the router.
type Instance struct {
	options    Options
	ctx        context.Context // parent context of all goroutines
	cancel     context.CancelCauseFunc
	goroutines sync.WaitGroup
	startedAt  time.Time
	stopping   atomic.Bool

	engines        *engine.Client
	control        *control
	config         *catalog.Follower
	suspects       *suspects
	ledger         *ledgerAdapter
	peers          *peer.Service
	batcher        *peer.BatchAppender
	listening      chan struct{} // closed once peers can connect
	answerMaker    *answer.Executor
	gateway        *gateway.Gateway
	callerServer   *http.Server
	operatorServer *http.Server
}

// New creates an instance without starting it.
func New(o Options) (*Instance, error) {
	signer, err := session.NewSigner(o.SessionKeys, o.SessionLifetime)
	if err != nil {
		return nil, fmt.Errorf("new instance: %w", err)
	}
	if o.Clock == nil {
		o.Clock = timeline.NewClock(time.Now)
	}
	o.Engine.Propagator = o.Clock
	i := &Instance{options: o, startedAt: time.Now(), engines: engine.NewClient(o.Engine), suspects: newSuspects(o.Suspects), listening: make(chan struct{})}
	i.ctx, i.cancel = context.WithCancelCause(context.Background())
	i.control = newControl(i.ctx, o, i.engines, rand.Uint64())
	i.config = catalog.NewFollower(o.Catalog, o.Log, o.Logger, i.applyCatalog, i.recordLogRead)
	i.control.publish = i.publishChange
	i.suspects.notifyPeers = i.broadcastDigests
	i.createPeerService()
	i.control.fleetSize = func() int { return i.peers.View().Size() }
	i.ledger = newLedgerAdapter(i.ctx, o, batchedLog{o.Log, func() *peer.Service { return i.peers }}, i.peers.Witness())
	retries := newRetryBudget(o.Retries)
	i.answerMaker = answer.NewExecutor(o.Answer, answer.Dependencies{
		Catalog: i.config.Catalog, CheckServing: i.checkFreshness, Pool: i.control, Planner: i.control, Suspects: i.suspects, Retries: retries,
		Rater: &rater{o.Rater, i.control}, Engines: i.engines, Events: o.EventWriter, TextMemory: o.AnswerMemory,
	})
	orders := servicecall.NewDispatcher(o.Order, i.checkFreshness, i.control, i.ledger, retries, i.engines, o.EventWriter)
	i.gateway = gateway.New(o.Gateway, gateway.Dependencies{
		Catalog: i.config.Catalog, CheckReady: i.CheckReady, CheckServing: i.checkFreshness, Sessions: signer, Executor: i.answerMaker, Orders: orders,
		Entitlements: i.ledger, Biller: i.ledger, Admission: i.control, Content: identifyContent, Events: o.EventWriter, Clock: o.Clock,
		Metrics: o.MetricsHandler, Scope: o.Scope.SubScope("gateway"), Logger: o.Logger,
		Bodies: o.bodies(listenerCallers), AnswerMemory: o.AnswerMemory,
	})
	operators := operator.New(operator.Dependencies{
		Publisher: i.config, Keys: o.OperatorKeys, ListBills: i.ledger.exportBills, Status: i.status, Events: o.EventWriter, Logger: o.Logger,
		Bodies: o.bodies(listenerOperators),
	})
	i.callerServer = i.newServer(i.gateway.Handler())
	i.operatorServer = i.newServer(operators.Handler())
	i.operatorServer.WriteTimeout = operatorWriteTimeout
	return i, nil
}

// peerSettings returns the settings of the peer service.
func peerSettings(o Options) peer.Settings {
	s := peer.DefaultSettings(o.ID, o.AvailabilityZone, o.PeerAddress)
	s.TLS, s.WrapListener = o.PeerTLS, o.limitPeers
	s.ListInterval = o.ListInterval
	s.AdjustMembership = func(m *membership.Settings) {
		m.FreshnessWindow, m.MaxDirectAppenders = o.FreshnessBound, o.MaxDirectAppendFleet
	}
	return s
}

// createPeerService creates the service that exchanges state with peers, and the batcher of their appends.
func (i *Instance) createPeerService() {
	clockInterceptor := timeline.NewClockInterceptor(i.options.Clock, func(err error) {
		i.options.Logger.Warn("timeline: The timestamp of a peer was rejected.", zap.Error(err))
	})
	i.batcher = peer.NewBatchAppender(i.options.Log, mergeRecords, func(stream string) time.Duration { return i.peers.BatchInterval(stream) })
	i.peers = peer.New(peerSettings(i.options), peer.Hooks{
		List: i.options.InstanceList, WitnessStore: witnessStore{i}, Appender: i.batcher, Snapshots: snapshotSource{i.config}, Digests: digestExchange{i},
		ClientInterceptor: clockInterceptor.UnaryClient, ServerInterceptor: clockInterceptor.UnaryServer, OnPeerStateChange: i.recordPeerState,
	}, i.options.Logger, i.options.Scope.SubScope("peer"))
}

// recordPeerState writes an event about the changed state of a peer to the timeline.
func (i *Instance) recordPeerState(id, from, to string) {
	i.options.EventWriter.Write(timeline.Event{Component: "peer", Name: to, Fields: map[string]string{"peer": id, "from": from}})
}

// Run serves until the context ends. Then it stops and lets running requests finish.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.start(); err != nil {
		i.cancel(err)
		return err
	}
	select {
	case <-ctx.Done():
		return i.shutDown()
	case <-i.ctx.Done():
		i.goroutines.Wait()
		return fmt.Errorf("run %s: %w", i.options.ID, context.Cause(i.ctx))
	}
}

// PeerAddress waits until the instance listens for peers and returns the address that they dial.
func (i *Instance) PeerAddress(ctx context.Context) (netip.AddrPort, error) {
	select {
	case <-i.listening:
		return i.peers.Address(), nil
	case <-ctx.Done():
		return netip.AddrPort{}, fmt.Errorf("peer address: %w", ctx.Err())
	case <-i.ctx.Done():
		return netip.AddrPort{}, fmt.Errorf("peer address: %w", context.Cause(i.ctx))
	}
}

// start starts all components of the instance.
func (i *Instance) start() error {
	if err := i.peers.Start(i.ctx); err != nil {
		return fmt.Errorf("start %s: %w", i.options.ID, err)
	}
	close(i.listening)
	i.goroutines.Go(i.control.runEventLoop)
	i.goroutines.Go(i.control.pollInstanceList)
	i.seedConfig()
	i.goroutines.Go(func() { i.config.Run(i.ctx) })
	i.goroutines.Go(i.expireSuspects)
	i.startDuties()
	i.startServer(i.callerServer, i.options.CallerListener)
	i.startServer(i.operatorServer, i.options.OperatorListener)
	i.options.EventWriter.Write(timeline.Event{Component: "instance", Name: "started"})
	i.options.Logger.Info("instance: Started.", zap.String("instance", i.options.ID), zap.String("zone", i.options.AvailabilityZone),
		zap.Stringer("callers", i.options.CallerListener.Addr()), zap.Stringer("operators", i.options.OperatorListener.Addr()))
	return nil
}

// seedConfig loads the configuration of a peer. It may be newer than what can be read from the log during an outage.
func (i *Instance) seedConfig() {
	i.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(i.ctx, 2*time.Second)
		defer cancel()
		b, err := i.peers.FetchSnapshot(ctx)
		if err != nil {
			i.options.Logger.Info("instance: No peer provided a snapshot; the configuration is read from the log only.", zap.Error(err))
			return
		}
		ch, err := decodeSnapshot(b)
		if err == nil {
			err = i.config.RestoreSnapshot(ch)
		}
		if err != nil {
			i.options.Logger.Warn("instance: The snapshot of a peer could not be applied.", zap.Error(err))
		}
	})
}

// startServer serves connections of a listener in a goroutine. If the listener fails, the instance stops.
func (i *Instance) startServer(s *http.Server, l net.Listener) {
	i.goroutines.Go(func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			i.options.Logger.Error("instance: A listener failed; the instance stops.", zap.Error(err))
			i.cancel(err)
		}
	})
}

// expireSuspects periodically removes expired suspects until the instance stops.
func (i *Instance) expireSuspects() {
	t := time.NewTicker(suspectExpiryInterval)
	defer t.Stop()
	for {
		select {
		case <-i.ctx.Done():
			return
		case <-t.C:
			i.suspects.dropExpired()
		}
	}
}

// applyCatalog distributes a new catalog to the components. The follower of the config stream calls it.
func (i *Instance) applyCatalog(c *config.Catalog) {
	i.control.applyCatalog(c)
	i.options.EventWriter.Write(timeline.Event{Component: "instance", Name: "configuration", Fields: map[string]string{"next": strconv.FormatUint(c.Next, 10)}})
	i.peers.ReportApplied(platform.Offset(c.Position()))
}

// recordLogRead tells the peer service that this instance has read the config stream.
func (i *Instance) recordLogRead(sent time.Time, next platform.Offset) {
	i.peers.ReportLogRead(sent, next)
}

// publishChange appends a change that a roll-out trial requests. If the append fails, the driver requests the change again.
func (i *Instance) publishChange(ch record.Change) {
	ch.Operator = i.options.ID
	i.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(i.ctx, publishTimeout)
		defer cancel()
		e := timeline.Event{Component: "rollout", Name: string(ch.Kind), Version: ch.Name, Fields: map[string]string{"reason": ch.Reason}}
		if _, err := i.config.Publish(ctx, ch); err != nil {
			e.Fields["error"] = err.Error()
		}
		i.options.EventWriter.Write(e)
		i.options.Logger.Info("rollout: A trial requested a change.", zap.String("kind", string(ch.Kind)), zap.String("version", ch.Name),
			zap.String("reason", ch.Reason), zap.String("error", e.Fields["error"]))
	})
}

// CheckReady returns nil if the load balancer may send work to this instance, and the reason otherwise.
func (i *Instance) CheckReady() error {
	if i.stopping.Load() {
		return errStopping
	}
	return i.checkFreshness()
}

// checkFreshness returns an error unless the configuration is confirmed to be in force. Without it, no new work may start.
func (i *Instance) checkFreshness() error {
	if f := i.peers.Freshness(); !f.Ready {
		return fmt.Errorf("the configuration can't be confirmed: %s", f.Reason)
	}
	return nil
}

// shutDown stops the instance in order. It turns readiness off and waits for the load balancer, lets running requests
// finish, flushes bills and grants, and then stops the peer service.
func (i *Instance) shutDown() error {
	i.stopping.Store(true)
	i.options.EventWriter.Write(timeline.Event{Component: "instance", Name: "stopping"})
	i.options.Logger.Info("instance: Stopping; the instance is no longer ready for new work.")
	ctx, cancel := context.WithTimeout(i.ctx, i.options.BalancerWait+i.options.DrainTimeout)
	defer cancel()
	_ = i.peers.AnnounceLeave(ctx)
	select {
	case <-time.After(i.options.BalancerWait):
	case <-i.ctx.Done():
	}
	err := errors.Join(i.gateway.Drain(ctx), i.callerServer.Shutdown(ctx))
	i.answerMaker.WaitForRatings()
	err = errors.Join(err, i.ledger.flushRecords(ctx), i.operatorServer.Shutdown(ctx))
	i.options.EventWriter.Write(timeline.Event{Component: "instance", Name: "stopped"})
	i.terminate(errStopping)
	if err != nil {
		return fmt.Errorf("stop %s: %w", i.options.ID, err)
	}
	i.options.Logger.Info("instance: Stopped; no request was cut off.")
	return nil
}

// Crash stops the instance immediately, as the loss of its host would. It flushes nothing and hands nothing over.
func (i *Instance) Crash() {
	_ = i.callerServer.Close()
	_ = i.operatorServer.Close()
	i.terminate(errCrashed)
}

// terminate cancels all goroutines and waits for them.
func (i *Instance) terminate(cause error) {
	i.cancel(cause)
	i.peers.Stop()
	i.batcher.Close()
	i.goroutines.Wait()
	i.ledger.waitForShutdown()
	i.engines.Close()
}

// rater rates answers and records whether the rating service is available.
type rater struct {
	service platform.Rater
	control *control
}

// Rate returns the score of an answer, from 0 to 1.
func (r *rater) Rate(ctx context.Context, a answer.RatedAnswer) (float64, error) {
	score, err := r.service.Rate(ctx, platform.RatingRequest{Profile: a.Profile, Class: a.Class, Version: a.Version, Prompt: a.Prompt, Text: a.Text})
	r.control.recordRating(err)
	if err != nil {
		return 0, fmt.Errorf("rate: %w", err)
	}
	return score, nil
}

// identifyContent returns what identifies the content of a request. A repeated request has the same digest, whichever caller
// sends it and under whichever idempotency key. All messages but the last one may be shared with other requests.
func identifyContent(q *answer.Request) answer.Content {
	var c answer.Content
	all := make([][]byte, 0, 2*len(q.Chat.Messages))
	for i, m := range q.Chat.Messages {
		role, text := []byte(m.Role), []byte(m.Content)
		all = append(all, role, text)
		if i < len(q.Chat.Messages)-1 {
			c.Parts = append(c.Parts, strconv.FormatUint(uint64(suspect.HashContent("message", role, text)), 16))
		}
	}
	c.Digest = uint64(suspect.HashContent("chat", all...))
	return c
}

// snapshotSource provides the configuration in force to peers.
type snapshotSource struct{ config *catalog.Follower }

// Snapshot returns the configuration in force as a record.
func (s snapshotSource) Snapshot(context.Context) ([]byte, error) {
	ch, err := s.config.Catalog().Snapshot(uuid.NewString())
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return encodeSnapshot(ch)
}
