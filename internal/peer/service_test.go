package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// waitTimeout limits the waits for conditions that must become true; no result depends on how long they take.
const waitTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never became true: %s", what)
}

// memoryStore is a WitnessStore that keeps copies in memory.
type memoryStore struct {
	lock  sync.Mutex
	bills map[BillID]record.Bill
}

func (m *memoryStore) HoldBills(_ context.Context, _ string, bills []record.Bill) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	for _, b := range bills {
		m.bills[BillID{b.Organisation, b.Key}] = b
	}
	return nil
}

func (m *memoryStore) ReleaseBills(_ string, ids []BillID) {
	m.lock.Lock()
	defer m.lock.Unlock()
	for _, id := range ids {
		delete(m.bills, id)
	}
}

func (m *memoryStore) get(id BillID) (record.Bill, bool) {
	m.lock.Lock()
	defer m.lock.Unlock()
	b, ok := m.bills[id]
	return b, ok
}

// startService runs a service with a short probe interval and stops it at the end of the test.
func startService(t *testing.T, i int, list *standin.InstanceList, h Hooks, adjust func(*Settings)) *Service {
	t.Helper()
	s := DefaultSettings(fmt.Sprintf("i%d", i), fmt.Sprintf("z%d", i%3), loopback)
	s.ProbeInterval, s.CallTimeout, s.ListInterval = 50*time.Millisecond, 2*time.Second, 20*time.Millisecond
	s.BytesPerSecond, s.Seed = 10_000_000, uint64(i)
	if adjust != nil {
		adjust(&s)
	}
	h.List = list
	p := New(s, h, zap.NewNop(), tally.NoopScope)
	if err := p.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	list.Put(platform.Instance{ID: s.ID, Role: platform.RoleRouter, AvailabilityZone: s.Zone, Address: p.Address()})
	return p
}

func peerState(s *Service, id string) membership.State {
	for _, p := range s.View().Peers {
		if p.ID == id {
			return p.State
		}
	}
	return 0
}

// Guards against instances that don't learn the end of the config stream from peers, and against log reads that don't
// confirm the configuration of peers.
func TestPeersConfirmFreshness(t *testing.T) {
	list := standin.NewInstanceList()
	a, b := startService(t, 1, list, Hooks{}, nil), startService(t, 2, list, Hooks{}, nil)
	b.ReportApplied(4)
	eventually(t, "b is confirmed by a's read of the log", func() bool {
		a.ReportLogRead(time.Now(), 4)
		return b.Freshness().Ready && b.Freshness().Reason == membership.ReasonPeerRead
	})
	a.ReportLogRead(time.Now(), 5)
	eventually(t, "b hears of the record at offset 4", func() bool {
		n, err := b.KnownConfigEnd(context.Background())
		return err == nil && n == 5
	})
}

// Guards against copies that are sent to the holder's own availability zone, lose fields or are kept after a release.
func TestWitnessHoldsAndReleases(t *testing.T) {
	list := standin.NewInstanceList()
	sameZone, otherZone := &memoryStore{bills: map[BillID]record.Bill{}}, &memoryStore{bills: map[BillID]record.Bill{}}
	a := startService(t, 1, list, Hooks{}, nil)
	startService(t, 4, list, Hooks{WitnessStore: sameZone}, nil) // same availability zone as a
	startService(t, 2, list, Hooks{WitnessStore: otherZone}, nil)
	eventually(t, "a has a witness", func() bool { return len(a.View().Witnesses(1)) == 1 })
	b := record.Bill{
		Organisation: "lysror", Key: "0197a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b", Profile: "p", Version: "m@1",
		Input: 9, Output: 7, Cost: 12, Issued: time.Unix(5, 6000).UTC(), Instance: "i1",
	}
	nonUUID := record.Bill{Organisation: "kallisto", Key: "not a uuid", Instance: "i1"}
	var wg sync.WaitGroup
	for _, x := range []record.Bill{b, nonUUID} {
		wg.Go(func() {
			if err := a.Witness().HoldBill(context.Background(), x); err != nil {
				t.Errorf("hold: %v", err)
			}
		})
	}
	wg.Wait()
	for _, want := range []record.Bill{b, nonUUID} {
		if got, ok := otherZone.get(BillID{want.Organisation, want.Key}); !ok || got != want {
			t.Errorf("witness holds %+v, want %+v", got, want)
		}
	}
	if len(sameZone.bills) != 0 {
		t.Errorf("a peer in the availability zone of the holder holds %v", sameZone.bills)
	}
	a.Witness().ReleaseBills([]BillID{{b.Organisation, b.Key}})
	eventually(t, "the witness drops the confirmed bill", func() bool {
		_, ok := otherZone.get(BillID{b.Organisation, b.Key})
		return !ok
	})
	if _, ok := otherZone.get(BillID{nonUUID.Organisation, nonUUID.Key}); !ok {
		t.Error("the witness dropped a bill that was not released")
	}
}

// Guards against a process that resumes after a pause and relies on a freshness result from before the pause.
func TestExpiredFreshnessIsNotReady(t *testing.T) {
	s := New(DefaultSettings("i1", "z", loopback), Hooks{}, zap.NewNop(), tally.NoopScope)
	s.freshness.Store(&membership.Freshness{Ready: true, Reason: membership.ReasonOwnRead, Expires: time.Now().Add(-time.Second)})
	if f := s.Freshness(); f.Ready || f.Reason != membership.ReasonExpired {
		t.Errorf("freshness is %+v", f)
	}
	s.freshness.Store(&membership.Freshness{Ready: true, Reason: membership.ReasonOwnRead, Expires: time.Now().Add(time.Hour)})
	if !s.Freshness().Ready {
		t.Error("an unexpired freshness is reported as not ready")
	}
}

// testCA signs certificates for the loopback address.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	a := &testCA{pool: x509.NewCertPool()}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.cert, a.key = a.sign(t, tmpl, nil, nil)
	a.pool.AddCert(a.cert)
	return a
}

func (a *testCA) sign(t *testing.T, tmpl, parent *x509.Certificate, by *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	if parent == nil {
		parent, by = tmpl, key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, by)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}

func (a *testCA) config(t *testing.T) *tls.Config {
	t.Helper()
	cert, key := a.sign(t, &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}, a.cert, a.key)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{cert.Raw}, PrivateKey: key}},
		RootCAs:      a.pool, ClientCAs: a.pool, MinVersion: tls.VersionTLS13,
	}
}

// Guards against serving a caller without a certificate, or with a certificate of another authority.
func TestMutualTLS(t *testing.T) {
	list := standin.NewInstanceList()
	ca := newTestCA(t)
	a := startService(t, 1, list, Hooks{}, func(s *Settings) { s.TLS = ca.config(t) })
	callers := map[string]struct {
		config *tls.Config
		served bool
	}{
		"certificate":          {ca.config(t), true},
		"no certificate":       {&tls.Config{RootCAs: ca.pool, MinVersion: tls.VersionTLS13}, false},
		"other authority":      {withRoots(newTestCA(t).config(t), ca.pool), false},
		"no TLS at all":        {nil, false},
		"doesn't trust server": {withRoots(ca.config(t), x509.NewCertPool()), false},
	}
	for name, c := range callers {
		t.Run(name, func(t *testing.T) {
			err := probeOnce(t, a.Address(), c.config)
			if (err == nil) != c.served {
				t.Errorf("served is %v, want %v (%v)", err == nil, c.served, err)
			}
		})
	}
}

func withRoots(c *tls.Config, roots *x509.CertPool) *tls.Config {
	c.RootCAs = roots
	return c
}

// Guards against larger messages: docs/CAPACITY.md assumes 46 bytes per copy and 24 per release.
func TestBillSize(t *testing.T) {
	b := record.Bill{
		Organisation: "lysror", Key: "0197a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b", Profile: "report", Version: "model@1",
		Input: 4000, Output: 350, Cost: 912, Issued: time.Unix(1_900_000_000, 0), Instance: "instance-0001",
	}
	size := func(n, m int) int {
		return proto.Size(encodeBills(b.Instance, slices.Repeat([]record.Bill{b}, n), slices.Repeat([]BillID{{b.Organisation, b.Key}}, m)))
	}
	if got := size(101, 0) - size(1, 0); got > 46*100 {
		t.Errorf("100 copies are %d bytes", got)
	}
	if got := size(1, 101) - size(1, 1); got > 24*100 {
		t.Errorf("100 releases are %d bytes", got)
	}
}

// Guards against one witness that holds the copies of a whole availability zone, and against a witness that rejects a
// holder without any other witness.
func TestWitnessLimitsHolders(t *testing.T) {
	var h holderLimiter
	now := time.Unix(0, 0)
	for i, c := range []struct {
		holder     string
		lastResort bool
		after      time.Duration
		want       bool
	}{
		{"a", false, 0, true},
		{"b", false, 0, true},
		{"c", false, 0, false},
		{"c", true, 0, true},
		{"a", false, 0, true},
		{"d", false, 2 * holderExpiry, true},
	} {
		now = now.Add(c.after)
		if got := h.admit(now, c.holder, c.lastResort); got != c.want {
			t.Errorf("step %d: %s admitted is %v, want %v", i, c.holder, got, c.want)
		}
	}
}
