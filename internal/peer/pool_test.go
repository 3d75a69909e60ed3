package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/peer/peerpb"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
)

func newTestPool(t *testing.T, c *tls.Config) *pool {
	t.Helper()
	p := newPool(newBudget(10_000_000), newMeter(tally.NoopScope), c, maxConnections)
	t.Cleanup(p.close)
	return p
}

func sendProbe(p *pool, to netip.AddrPort, timeout time.Duration, r *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	var reply *peerpb.ProbeReply
	err := p.call(context.Background(), "probe", to, timeout, func(ctx context.Context, c peerpb.PeerClient) (err error) {
		reply, err = c.Probe(ctx, r)
		return err
	})
	return reply, err
}

func probeRequest(id string) *peerpb.ProbeRequest {
	return &peerpb.ProbeRequest{Version: messageVersion, State: &peerpb.State{From: &peerpb.Member{Id: id}}}
}

func probeOnce(t *testing.T, to netip.AddrPort, c *tls.Config) error {
	t.Helper()
	_, err := sendProbe(newTestPool(t, c), to, waitTimeout, probeRequest("x"))
	return err
}

// forwarder is a TCP proxy to a peer. A muted connection stays open, but its bytes are discarded.
type forwarder struct {
	net.Listener
	to    netip.AddrPort
	count atomic.Int64
	wg    sync.WaitGroup
	lock  sync.Mutex
	links []*link
}

type link struct {
	a, b  net.Conn
	muted atomic.Bool
}

func newForwarder(t *testing.T, to netip.AddrPort) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{Listener: l, to: to}
	f.wg.Go(f.run)
	t.Cleanup(f.stop)
	return f
}

func (f *forwarder) address() netip.AddrPort { return f.Addr().(*net.TCPAddr).AddrPort() }

func (f *forwarder) run() {
	for {
		a, err := f.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", f.to.String())
		if err != nil {
			a.Close()
			continue
		}
		f.count.Add(1)
		k := &link{a: a, b: b}
		f.lock.Lock()
		f.links = append(f.links, k)
		f.lock.Unlock()
		f.wg.Go(func() { k.pass(a, b) })
		f.wg.Go(func() { k.pass(b, a) })
	}
}

// pass copies bytes until the connection ends; the bytes of a muted link are discarded.
func (k *link) pass(from, to net.Conn) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			to.Close()
			return
		}
		if !k.muted.Load() {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
	}
}

func (f *forwarder) mute() {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, k := range f.links {
		k.muted.Store(true)
	}
}

func (f *forwarder) stop() {
	f.Close()
	f.lock.Lock()
	for _, k := range f.links {
		k.a.Close()
		k.b.Close()
	}
	f.lock.Unlock()
	f.wg.Wait()
}

// Guards against a peer that counts as dead because one established connection became unresponsive.
func TestSilentConnectionIsRedialled(t *testing.T) {
	list := standin.NewInstanceList()
	b := startService(t, 2, list, Hooks{}, nil)
	f := newForwarder(t, b.Address())
	p := newTestPool(t, nil)
	if _, err := sendProbe(p, f.address(), waitTimeout, probeRequest("x")); err != nil {
		t.Fatal(err)
	}
	f.mute()
	if _, err := sendProbe(p, f.address(), 2*time.Second, probeRequest("x")); err != nil {
		t.Fatalf("probe over a silent connection: %v", err)
	}
	if n := f.count.Load(); n != 2 {
		t.Errorf("%d connections were made, want the silent one and a new one", n)
	}
}

// Guards against a refused connection being reported as a missing answer, and the reverse.
func TestRefusedIsNotSilent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().(*net.TCPAddr).AddrPort()
	l.Close()
	p := newTestPool(t, nil)
	if _, err := sendProbe(p, closed, waitTimeout, probeRequest("x")); !hasKind(err, ErrRefused) {
		t.Errorf("closed port: %v, want %s", err, ErrRefused)
	}
	mute, err := net.Listen("tcp", "127.0.0.1:0") // accepts in the kernel, answers nothing
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	if _, err := sendProbe(p, mute.Addr().(*net.TCPAddr).AddrPort(), 200*time.Millisecond, probeRequest("x")); !hasKind(err, ErrUnreachable) {
		t.Errorf("mute port: %v, want %s", err, ErrUnreachable)
	}
}

// Guards against a dead peer that stays in the table, and against a planned stop that is reported as a failure.
func TestServiceDistinguishesGoneFromLeft(t *testing.T) {
	list := standin.NewInstanceList()
	a, b := startService(t, 1, list, Hooks{}, nil), startService(t, 2, list, Hooks{}, nil)
	eventually(t, "a and b know each other", func() bool {
		return peerState(a, "i2") == membership.Alive && peerState(b, "i1") == membership.Alive
	})
	list.Put(platform.Instance{ID: "i3", Role: platform.RoleRouter, AvailabilityZone: "z0", Address: netip.MustParseAddrPort("127.0.0.1:1")})
	eventually(t, "a port that refuses counts as gone", func() bool { return peerState(a, "i3") == membership.Gone })
	if err := b.AnnounceLeave(context.Background()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a knows that b leaves", func() bool { return peerState(a, "i2") == membership.Left })
}

// Guards against incompatibility between releases: unknown fields and other message versions must be accepted.
func TestMessageVersionsInteroperate(t *testing.T) {
	list := standin.NewInstanceList()
	b := startService(t, 2, list, Hooks{}, nil)
	r := probeRequest("x")
	r.Version = 2
	unknown := []byte{0xfa, 0x01, 0x03, 'n', 'e', 'w'} // field 31, length-delimited
	r.ProtoReflect().SetUnknown(unknown)
	r.State.ProtoReflect().SetUnknown(unknown)
	reply, err := sendProbe(newTestPool(t, nil), b.Address(), waitTimeout, r)
	if err != nil || reply.GetState().GetFrom().GetId() != "i2" {
		t.Errorf("reply is %v, %v", reply, err)
	}
	old := probeRequest("y")
	old.Version = 0
	if _, err := sendProbe(newTestPool(t, nil), b.Address(), waitTimeout, old); err != nil {
		t.Errorf("message without a version: %v", err)
	}
}

// Guards against an overload that sustains itself: each probe that times out causes three indirect probes, so these must
// be limited.
func TestIndirectProbesAreBounded(t *testing.T) {
	mute, err := net.Listen("tcp", "127.0.0.1:0") // accepts in the kernel, answers nothing
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	b := startService(t, 2, standin.NewInstanceList(), Hooks{}, nil)
	p := newTestPool(t, nil)
	target := encodeMember(membership.Member{ID: "x", Address: mute.Addr().(*net.TCPAddr).AddrPort()})
	const calls = 10
	var rejected atomic.Int64
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			err := p.call(context.Background(), "test", b.Address(), waitTimeout, func(ctx context.Context, c peerpb.PeerClient) error {
				_, err := c.IndirectProbe(ctx, &peerpb.IndirectProbeRequest{Target: target})
				return err
			})
			if hasKind(err, ErrRejected) {
				rejected.Add(1)
			}
		})
	}
	wg.Wait()
	if n := rejected.Load(); n == 0 {
		t.Errorf("none of %d concurrent indirect probes was rejected", calls)
	}
	if got := b.probesForPeers.Load(); got != 0 {
		t.Errorf("%d indirect probes still count as in progress", got)
	}
}

// Guards against malformed messages from peers being accepted.
func TestServerRefusesMalformedMessages(t *testing.T) {
	list := standin.NewInstanceList()
	b := startService(t, 2, list, Hooks{WitnessStore: &memoryStore{bills: nil}}, nil)
	p := newTestPool(t, nil)
	calls := map[string]func(context.Context, peerpb.PeerClient) error{
		"probe without a sender": func(ctx context.Context, c peerpb.PeerClient) error {
			_, err := c.Probe(ctx, &peerpb.ProbeRequest{})
			return err
		},
		"bill with an unknown name": func(ctx context.Context, c peerpb.PeerClient) error {
			_, err := c.HoldBills(ctx, &peerpb.HoldBillsRequest{Hold: []*peerpb.Bill{{Organisation: 7, Text: "k"}}})
			return err
		},
		"bill with a short key": func(ctx context.Context, c peerpb.PeerClient) error {
			_, err := c.HoldBills(ctx, &peerpb.HoldBillsRequest{Names: []string{"o"}, Hold: []*peerpb.Bill{{Organisation: 1, Key: []byte("k")}}})
			return err
		},
		"too large": func(ctx context.Context, c peerpb.PeerClient) error {
			_, err := c.AppendBatch(ctx, &peerpb.AppendBatchRequest{Records: [][]byte{make([]byte, maxMessageBytes)}})
			return err
		},
		"no appender": func(ctx context.Context, c peerpb.PeerClient) error {
			_, err := c.AppendBatch(ctx, &peerpb.AppendBatchRequest{})
			return err
		},
	}
	for name, f := range calls {
		t.Run(name, func(t *testing.T) {
			if err := p.call(context.Background(), "test", b.Address(), waitTimeout, f); !hasKind(err, ErrRejected) {
				t.Errorf("error is %v, want %s", err, ErrRejected)
			}
		})
	}
}
