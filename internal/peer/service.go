package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

const (
	maxMessageBytes  = 1 << 20
	maxDigestBytes   = 512 // for each digest in a probe
	keepaliveTime    = 30 * time.Second
	keepaliveTimeout = 5 * time.Second
	// serverKeepaliveTime is the time between probes of a connection on which a peer sends nothing. Its peers answer them, and
	// clients that only keep a connection open mostly don't.
	serverKeepaliveTime = 10 * time.Second
	handshakeTimeout    = 3 * time.Second // for the first bytes of a connection, with TLS
	maxHeaderListBytes  = 8 << 10         // of the header of a call
	maxStreams          = 32              // calls under way on a connection; further calls of a peer wait
	stopTimeout         = 2 * time.Second // for calls in progress when the service stops
	// maxConnections is enough for 12 probe partners, the batchers of bills and of 16 claims partitions, the witness,
	// and some helpers and lost peers.
	maxConnections = 40
	eventQueueSize = 256 // events that wait for the control goroutine
)

// Settings configure a service.
type Settings struct {
	ID                string // unique name of this instance
	Zone              string // availability zone of this instance
	Listen            netip.AddrPort
	AdvertisedAddress netip.AddrPort                  // the address that peers dial; the listener's address if not set
	TLS               *tls.Config                     // certificate, root CAs and client CAs; plain TCP if nil
	ProbeInterval     time.Duration                   // time between rounds of probes
	CallTimeout       time.Duration                   // for one attempt of a call; a call on a cached connection may make a second attempt
	ListInterval      time.Duration                   // time between reads of the platform's instance list
	BytesPerSecond    int                             // bytes per second, total of both directions
	Seed              uint64                          // for the random choice of peers to probe
	AppendPolicies    map[string]AppendPolicy         // by stream; see DefaultAppendPolicies
	AdjustMembership  func(*membership.Settings)      // changes the defaults of the membership table; may be nil
	WrapListener      func(net.Listener) net.Listener // limits the connections of peers; may be nil
}

// DefaultSettings returns the settings for production use.
func DefaultSettings(id, zone string, listen netip.AddrPort) Settings {
	return Settings{
		ID: id, Zone: zone, Listen: listen,
		ProbeInterval: time.Second, CallTimeout: 500 * time.Millisecond, ListInterval: 2 * time.Second,
		BytesPerSecond: 11_000, Seed: rand.Uint64(), AppendPolicies: DefaultAppendPolicies(),
	}
}

// DigestExchange provides the digests that probes carry to peers, and receives those of peers.
// The digests are opaque to this package, and each is at most limit bytes long.
type DigestExchange interface {
	Digests(limit int) Digests
	MergeDigests(peer string, d Digests)
}

// Digests holds the digests of one instance.
type Digests struct {
	Health   []byte // of versions in a roll-out
	Suspects []byte // contents that may crash endpoints
	Parts    []byte // prompt parts that may crash endpoints
}

// Hooks are the parts of the instance that the service calls; all except List are optional.
type Hooks struct {
	List         platform.InstanceList
	WitnessStore WitnessStore
	Appender     Appender
	Snapshots    SnapshotSource
	Digests      DigestExchange
	// ClientInterceptor and ServerInterceptor intercept all unary calls, for example to propagate the timestamps of the
	// timeline.
	ClientInterceptor grpc.UnaryClientInterceptor
	ServerInterceptor grpc.UnaryServerInterceptor
	// OnPeerStateChange is called after the state of a peer changed.
	OnPeerStateChange func(peer, from, to string)
}

// Service probes peers, serves their calls and maintains the membership table.
type Service struct {
	settings Settings
	hooks    Hooks
	log      *zap.Logger
	scope    tally.Scope
	budget   *budget
	meter    *meter
	pool     *pool
	server   *grpc.Server

	events         chan func(now time.Time)
	ctx            context.Context // cancelled when the service stops
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	table          *membership.Table // only for the control goroutine
	probing        map[string]bool   // peers with a direct probe in progress; only for the control goroutine
	indirectProbes int               // peers being probed through helpers; only for the control goroutine
	probesForPeers atomic.Int32      // probes in progress on behalf of other instances
	random         *rand.Rand        // only for the control goroutine
	viewVersion    uint64            // version of the table in view
	view           atomic.Pointer[membership.View]
	freshness      atomic.Pointer[membership.Freshness]
	address        netip.AddrPort
	outbox         outbox
	relay          batchRelay
	holders        holderLimiter // limits the bill copies stored for other instances
}

// New returns a service; call Start to run it.
func New(s Settings, h Hooks, log *zap.Logger, scope tally.Scope) *Service {
	p := &Service{
		settings: s, hooks: h, log: log, scope: scope,
		budget: newBudget(s.BytesPerSecond), meter: newMeter(scope),
		events: make(chan func(time.Time), eventQueueSize), probing: map[string]bool{},
		random: rand.New(rand.NewPCG(s.Seed, 1)),
	}
	p.pool = newPool(p.budget, p.meter, s.TLS, maxConnections)
	p.pool.interceptor = h.ClientInterceptor
	p.freshness.Store(&membership.Freshness{Reason: membership.ReasonIsolated})
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Start listens for peers and starts to probe them.
func (s *Service) Start(ctx context.Context) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.settings.Listen.String())
	if err != nil {
		return &Error{Op: "listen", Kind: ErrSettings, Err: err}
	}
	if s.address = s.settings.AdvertisedAddress; !s.address.IsValid() {
		s.address = l.Addr().(*net.TCPAddr).AddrPort()
	}
	if s.settings.WrapListener != nil {
		l = s.settings.WrapListener(l)
	}
	now := time.Now()
	self := membership.Member{ID: s.settings.ID, Zone: s.settings.Zone, Address: s.address}
	m := membership.DefaultSettings(self, uint64(now.Unix()))
	if s.settings.AdjustMembership != nil {
		s.settings.AdjustMembership(&m)
	}
	s.table = membership.NewTable(now, m)
	s.view.Store(s.table.View())
	s.server = s.newServer()
	s.wg.Go(func() { _ = s.server.Serve(countingListener{l, s.budget}) })
	s.wg.Go(s.runControlLoop)
	s.log.Info("peer: Listening.", zap.Stringer("address", s.address))
	return nil
}

// Address returns the address that peers dial.
func (s *Service) Address() netip.AddrPort { return s.address }

// View returns an immutable copy of the membership table.
func (s *Service) View() *membership.View { return s.view.Load() }

// Freshness reports whether the applied configuration is recent enough to be served, and the reason.
func (s *Service) Freshness() membership.Freshness {
	f := *s.freshness.Load()
	if f.Ready && !time.Now().Before(f.Expires) {
		return membership.Freshness{Reason: membership.ReasonExpired}
	}
	return f
}

// TrafficBytes returns the number of bytes read from and written to connections with peers.
func (s *Service) TrafficBytes() (in, out int64) {
	return s.budget.received.Load(), s.budget.sent.Load()
}

// ReportLogRead informs the service of a successful read of the config stream: sent is when the read was requested, and
// next is the end of the stream.
func (s *Service) ReportLogRead(sent time.Time, next platform.Offset) {
	s.postToControlLoop(func(now time.Time) {
		s.handleEvent(now, membership.ConfigLogRead{Sent: sent, ConfigNext: uint64(next)})
	})
}

// ReportApplied informs the service that all config records below next were applied.
func (s *Service) ReportApplied(next platform.Offset) {
	s.postToControlLoop(func(now time.Time) { s.handleEvent(now, membership.ConfigApplied{ConfigNext: uint64(next)}) })
}

// KnownConfigEnd returns the highest end of the config stream that is known from the log or from peers.
func (s *Service) KnownConfigEnd(ctx context.Context) (platform.Offset, error) {
	var n uint64
	err := s.runInControlLoop(ctx, func(time.Time) { n = s.table.ConfigNext() })
	return platform.Offset(n), err
}

// AnnounceLeave announces a planned stop to the probe partners; the service continues to run.
func (s *Service) AnnounceLeave(ctx context.Context) error {
	return s.runInControlLoop(ctx, func(now time.Time) { s.handleEvent(now, membership.StopPlanned{}) })
}

// Stop ends all calls and goroutines. Call AnnounceLeave a few seconds earlier, so that peers learn of the planned stop.
func (s *Service) Stop() {
	done := make(chan struct{})
	go func() {
		s.server.GracefulStop()
		close(done)
	}()
	t := time.NewTimer(stopTimeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
		s.server.Stop()
		<-done
	}
	s.cancel()
	s.outbox.close()
	s.relay.close()
	s.pool.close()
	s.wg.Wait()
	s.log.Info("peer: Stopped.")
}

// postToControlLoop queues a function to be run by the control goroutine.
func (s *Service) postToControlLoop(f func(time.Time)) {
	select {
	case s.events <- f:
	case <-s.ctx.Done():
	}
}

// runInControlLoop runs f in the control goroutine and waits until it returns.
func (s *Service) runInControlLoop(ctx context.Context, f func(time.Time)) error {
	done := make(chan struct{})
	event := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case s.events <- event:
	case <-ctx.Done():
		return &Error{Op: "ask", Kind: ErrUnreachable, Err: ctx.Err()}
	case <-s.ctx.Done():
		return &Error{Op: "ask", Kind: ErrStopped}
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &Error{Op: "ask", Kind: ErrUnreachable, Err: ctx.Err()}
	case <-s.ctx.Done():
		return &Error{Op: "ask", Kind: ErrStopped}
	}
}
