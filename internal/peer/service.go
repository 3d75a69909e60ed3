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
	maxMessage       = 1 << 20 // bytes
	maxDigest        = 512     // bytes of one digest in a probe
	keepaliveTime    = 30 * time.Second
	keepaliveTimeout = 5 * time.Second
	stopTimeout      = 2 * time.Second // for calls in progress at a stop
	// connectionLimit bounds the idle client connections: 12 partners, the batchers of 16 claims partitions and of bills,
	// the witness, and some for helpers and lost peers.
	connectionLimit = 40
	eventQueue      = 256
)

// Settings are the constants of a service.
type Settings struct {
	ID         string
	Zone       string
	Listen     netip.AddrPort
	Advertised netip.AddrPort // what peers dial; the listener's address if not set
	TLS        *tls.Config    // certificate, roots and client roots; plain TCP if nil
	Period     time.Duration  // between probes
	Timeout    time.Duration  // of a call to a peer on one connection
	ListEvery  time.Duration  // between reads of the platform's list
	Budget     int            // bytes per second in both directions together
	Seed       uint64
	Groups     map[string]Group // group commit by stream; see DefaultGroups
	Adjust     func(*membership.Settings)
}

// DefaultSettings returns the settings used in service.
func DefaultSettings(id, zone string, listen netip.AddrPort) Settings {
	return Settings{
		ID: id, Zone: zone, Listen: listen,
		Period: time.Second, Timeout: 500 * time.Millisecond, ListEvery: 2 * time.Second,
		Budget: 11_000, Seed: rand.Uint64(), Groups: DefaultGroups(),
	}
}

// DigestSource exchanges small opaque digests with peers; each is at most limit bytes.
type DigestSource interface {
	Digests(limit int) (health, suspects []byte)
	Merge(peer string, health, suspects []byte)
}

// Hooks are the parts of the instance that the service calls; each may be nil but List.
type Hooks struct {
	List      platform.InstanceList
	Bills     BillHolder
	Appender  Appender
	Snapshots SnapshotSource
	Digests   DigestSource
	// Client and Server wrap all unary calls, for example to carry the time line's stamps.
	Client grpc.UnaryClientInterceptor
	Server grpc.UnaryServerInterceptor
	// Changed tells about a peer that changed its state.
	Changed func(peer, from, to string)
}

// Service probes peers, serves their calls and keeps the peer table.
type Service struct {
	s      Settings
	h      Hooks
	log    *zap.Logger
	scope  tally.Scope
	budget *budget
	meter  *meter
	pool   *pool
	server *grpc.Server

	events  chan func(now time.Time)
	ctx     context.Context // of the control goroutine and its calls
	cancel  context.CancelFunc
	work    sync.WaitGroup
	table   *membership.Table // of the control goroutine
	busy    map[string]bool   // peers with a probe under way; of the control goroutine
	asking  int               // peers that helpers are asked about; of the control goroutine
	helping atomic.Int32      // probes under way for others
	draws   *rand.Rand        // of the control goroutine
	version uint64            // of the published view
	view    atomic.Pointer[membership.View]
	fresh   atomic.Pointer[membership.Freshness]
	address netip.AddrPort
	outbox  outbox
	relay   relay
	holders holders
}

// New returns a service that isn't started.
func New(s Settings, h Hooks, log *zap.Logger, scope tally.Scope) *Service {
	p := &Service{
		s: s, h: h, log: log, scope: scope,
		budget: newBudget(s.Budget), meter: newMeter(scope),
		events: make(chan func(time.Time), eventQueue), busy: map[string]bool{},
		draws: rand.New(rand.NewPCG(s.Seed, 1)),
	}
	p.pool = newPool(p.budget, p.meter, s.TLS, connectionLimit)
	p.pool.wrap = h.Client
	p.fresh.Store(&membership.Freshness{Ground: membership.Isolated})
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Start listens and starts probing.
func (s *Service) Start(ctx context.Context) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.s.Listen.String())
	if err != nil {
		return &Error{Op: "listen", Kind: ErrSettings, Err: err}
	}
	if s.address = s.s.Advertised; !s.address.IsValid() {
		s.address = l.Addr().(*net.TCPAddr).AddrPort()
	}
	now := time.Now()
	self := membership.Member{ID: s.s.ID, Zone: s.s.Zone, Address: s.address}
	m := membership.Default(self, uint64(now.Unix()))
	if s.s.Adjust != nil {
		s.s.Adjust(&m)
	}
	s.table = membership.NewTable(now, m)
	s.view.Store(s.table.View())
	s.server = s.newServer()
	s.work.Go(func() { _ = s.server.Serve(countedListener{l, s.budget}) })
	s.work.Go(s.control)
	s.log.Info("peer: Listening.", zap.Stringer("address", s.address))
	return nil
}

// Address returns what peers dial.
func (s *Service) Address() netip.AddrPort { return s.address }

// View returns the peer table.
func (s *Service) View() *membership.View { return s.view.Load() }

// Fresh judges whether the applied configuration may be served.
func (s *Service) Fresh() membership.Freshness {
	f := *s.fresh.Load()
	if f.Ready && !time.Now().Before(f.Until) {
		return membership.Freshness{Ground: membership.Lapsed}
	}
	return f
}

// Bytes returns how many bytes were read from and written to connections with peers.
func (s *Service) Bytes() (in, out int64) { return s.budget.in.Load(), s.budget.out.Load() }

// LogRead reports a successful read of the config stream that was sent at a time; next is the end of the stream.
func (s *Service) LogRead(sent time.Time, next platform.Offset) {
	s.post(func(now time.Time) { s.step(now, membership.LogRead{Sent: sent, Next: uint64(next)}) })
}

// Applied reports that all config records below next are folded.
func (s *Service) Applied(next platform.Offset) {
	s.post(func(now time.Time) { s.step(now, membership.Applied{Next: uint64(next)}) })
}

// Known returns the highest end of the config stream known from the log or from peers.
func (s *Service) Known(ctx context.Context) (platform.Offset, error) {
	var n uint64
	err := s.ask(ctx, func(time.Time) { n = s.table.Next() })
	return platform.Offset(n), err
}

// Leave announces a planned stop to the partners; the service goes on serving.
func (s *Service) Leave(ctx context.Context) error {
	return s.ask(ctx, func(now time.Time) { s.step(now, membership.Leave{}) })
}

// Stop ends all calls and goroutines. Call Leave some seconds before.
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
	s.pool.close()
	s.work.Wait()
	s.log.Info("peer: Stopped.")
}

// post hands an event to the control goroutine.
func (s *Service) post(f func(time.Time)) {
	select {
	case s.events <- f:
	case <-s.ctx.Done():
	}
}

// ask runs f in the control goroutine and waits for it.
func (s *Service) ask(ctx context.Context, f func(time.Time)) error {
	done := make(chan struct{})
	run := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case s.events <- run:
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
