package relay

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/cassiaspoke/cassiaspoke/internal/feed"
	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
)

const (
	maxMessage  = 16 << 20              // bytes; a configuration with thousands of routes fits
	maxLoads    = 256 << 10             // bytes of what an instance tells of its work; 20 for each endpoint at most
	bufferBytes = 4 << 10               // of a connection's read and write buffers
	joinAgain   = 20 * time.Millisecond // the same in the first second, as instances often start together
	joinPhase   = time.Second
	again       = 500 * time.Millisecond // from a failed stream to the next one
	patience    = 3 * time.Second        // for which another instance may lack fresh records until a further one is asked
	probeEvery  = 10 * time.Second       // of idle connections, the shortest that the library allows
	probeWait   = 3 * time.Second
)

// Options say who this instance is and whom it may ask.
type Options struct {
	Instance string
	Self     netip.AddrPort
	Seeds    []netip.AddrPort // instances that read the store for others; this one does so if it is among them
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	Logger   *zap.Logger
}

// Hub holds the topics that instances share.
type Hub struct {
	relaypb.UnimplementedRelayServer

	options   Options
	work      Work // of this instance; nil if loads are not shared
	bell      *bell
	topics    []*topic
	shares    *shares
	following atomic.Bool
	started   time.Time
}

// NewHub returns a hub without topics.
func NewHub(o Options) *Hub {
	return &Hub{options: o, bell: newBell(), shares: newShares(), started: time.Now()}
}

// SetWork makes this instance share its loads; call it before Run and Serve.
func (h *Hub) SetWork(w Work) { h.work = w }

// joining returns how much is left of a time after the start; none if this instance reads for others.
func (h *Hub) joining(d time.Duration) time.Duration {
	if h.Reads() {
		return 0
	}
	return d - time.Since(h.started)
}

// Source adds a topic, in the same order on all instances.
func (h *Hub) Source(store feed.Source, p Pace) *Source {
	t := newTopic(h.bell)
	h.topics = append(h.topics, t)
	return &Source{hub: h, store: store, topic: t, pace: p}
}

// Reads reports whether this instance reads the store for others.
func (h *Hub) Reads() bool {
	return len(h.options.Seeds) == 0 || slices.Contains(h.options.Seeds, h.options.Self)
}

// Serve hands records on to other instances until the context ends.
func (h *Hub) Serve(ctx context.Context, l net.Listener) error {
	s := grpc.NewServer(
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes), grpc.MaxSendMsgSize(maxMessage), grpc.MaxRecvMsgSize(maxLoads),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: probeEvery, Timeout: probeWait}),
	)
	relaypb.RegisterRelayServer(s, h)
	stop := context.AfterFunc(ctx, s.Stop)
	defer stop()
	if err := s.Serve(l); err != nil && ctx.Err() == nil {
		return &Error{Op: "serve", Kind: ErrStream, Err: err}
	}
	return nil
}

// Follow sends the newest records of each topic and then the changes.
func (h *Hub) Follow(r *relaypb.FollowRequest, s grpc.ServerStreamingServer[relaypb.Batch]) error {
	h.options.Logger.Info("relay: An instance follows.", zap.String("follower", r.GetInstance()))
	sent := make([]int64, len(h.topics)) // next offset, 0 before the full state
	done := make([]time.Time, len(h.topics))
	for {
		rung := h.bell.next()
		for i, t := range h.topics {
			t.mu.Lock()
			var m *relaypb.Batch
			if t.loaded && t.completed.After(done[i]) {
				m = message(t, sent[i], i)
				sent[i], done[i] = t.next, t.completed
			}
			t.mu.Unlock()
			if m == nil {
				continue
			}
			if err := s.Send(m); err != nil {
				return &Error{Op: "send", Kind: ErrStream, Err: err}
			}
		}
		select {
		case <-s.Context().Done():
			return &Error{Op: "follow", Kind: ErrStream, Err: s.Context().Err()}
		case <-rung:
		}
	}
}

// message is what a follower lacks of a topic that it knows up to an offset.
func message(t *topic, from int64, index int) *relaypb.Batch {
	b := t.since(from)
	m := &relaypb.Batch{Topic: uint32(index), From: from, AgeMicroseconds: time.Since(t.completed).Microseconds()}
	if from == 0 || b.Trimmed {
		b, m.Full = t.all(), true
	}
	m.Next = b.Next
	for _, r := range b.Records {
		m.Records = append(m.Records, &relaypb.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	return m
}

// Run takes records from another instance until the context ends, unless this one reads for others.
func (h *Hub) Run(ctx context.Context) {
	if h.Reads() {
		h.lead(ctx)
		return
	}
	l := slices.Clone(h.options.Seeds)
	// Each instance asks in an order of its own, which spreads the followers.
	slices.SortFunc(l, func(a, b netip.AddrPort) int {
		x, y := xxhash.Sum64String(h.options.Instance+a.String()), xxhash.Sum64String(h.options.Instance+b.String())
		if x < y {
			return -1
		}
		return 1
	})
	for i := 0; ctx.Err() == nil; i++ {
		a := l[i%len(l)]
		err := h.take(ctx, a)
		h.following.Store(false)
		if ctx.Err() != nil {
			return
		}
		h.options.Logger.Warn("relay: Lost the instance that reads the store; reading by itself until another one answers.",
			zap.Stringer("from", a), zap.Error(err))
		d := again
		if h.joining(joinPhase) > 0 {
			d = joinAgain
		}
		_ = pause(ctx, d, nil) // the loop's condition checks the context
	}
}

// lead sums up the loads of those who follow this instance, with those that the other seeds have summed up.
func (h *Hub) lead(ctx context.Context) {
	if h.work == nil || len(h.options.Seeds) == 0 {
		return
	}
	var w sync.WaitGroup
	defer w.Wait()
	w.Go(func() { h.deliver(ctx) })
	for _, a := range h.options.Seeds {
		if a == h.options.Self {
			continue
		}
		w.Go(func() {
			for ctx.Err() == nil {
				err := h.call(ctx, a, func(c context.Context, r relaypb.RelayClient) error {
					return h.gather(c, r, "seed "+a.String())
				})
				if ctx.Err() == nil {
					h.options.Logger.Info("relay: Another seed's loads are unknown.", zap.Stringer("from", a), zap.Error(err))
				}
				_ = pause(ctx, again, nil) // the loop's condition checks the context
			}
		})
	}
}

// call connects to another instance for the time of a function.
func (h *Hub) call(ctx context.Context, a netip.AddrPort, f func(context.Context, relaypb.RelayClient) error) error {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+a.String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)), grpc.WithContextDialer(h.options.Dial))
	if err != nil {
		return &Error{Op: "dial", Kind: ErrStream, Err: err}
	}
	defer func() { _ = conn.Close() }()
	return f(c, relaypb.NewRelayClient(conn))
}

// take follows one instance until it breaks off or has lost the store.
func (h *Hub) take(ctx context.Context, a netip.AddrPort) error {
	return h.call(ctx, a, func(ctx context.Context, r relaypb.RelayClient) error {
		c, cancel := context.WithCancel(ctx)
		defer cancel()
		s, err := r.Follow(c, &relaypb.FollowRequest{Instance: h.options.Instance})
		if err != nil {
			return &Error{Op: "follow", Kind: ErrStream, Err: err}
		}
		var w sync.WaitGroup
		defer w.Wait()
		defer cancel()
		if h.work != nil {
			w.Go(func() { h.share(c, r) })
		}
		// Messages come with each successful call to the store; without any, the other instance or the way to it has failed.
		idle := time.AfterFunc(patience, cancel)
		defer idle.Stop()
		for {
			m, err := s.Recv()
			if err != nil {
				return &Error{Op: "receive", Kind: ErrStream, Err: err}
			}
			idle.Reset(patience)
			if int(m.GetTopic()) >= len(h.topics) {
				continue // of a newer release
			}
			if !h.merge(m) {
				return &Error{Op: "merge", Kind: ErrGap}
			}
			if !h.following.Swap(true) {
				h.options.Logger.Info("relay: Following.", zap.Stringer("from", a))
			}
		}
	})
}

func (h *Hub) merge(m *relaypb.Batch) bool {
	b := feed.Batch{Next: m.GetNext()}
	for _, r := range m.GetRecords() {
		b.Records = append(b.Records, feed.Record{Key: r.GetKey(), Value: r.GetValue(), Offset: r.GetOffset()})
	}
	at := time.Now().Add(-time.Duration(m.GetAgeMicroseconds()) * time.Microsecond)
	t := h.topics[m.GetTopic()]
	if m.GetFull() {
		t.full(b, at)
		return true
	}
	return t.add(m.GetFrom(), b, at)
}
