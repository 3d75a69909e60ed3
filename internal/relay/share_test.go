package relay

import (
	"context"
	"maps"
	"math"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/core/admission"
	"github.com/cassiaspoke/cassiaspoke/internal/core/canary"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
)

// fakeReporter reports one request at an endpoint and records the loads of the other instances.
type fakeReporter struct {
	mu     sync.Mutex
	others Report
}

const (
	endpointKey uint32 = 7
	processKey  uint32 = 8 // with a request limit
	endedKey    uint32 = 9 // whose limit is over
	limitAge           = 5 * time.Second
	trialKey    uint64 = 9 // of a new version
	paceKey     uint64 = 11
	usageKey    uint64 = 13 // of an organisation at a service
)

func (r *fakeReporter) LocalReport() Report {
	return Report{
		Loads:  placement.Loads{endpointKey: {Requests: 1, PrefillMS: 20}},
		Trials: canary.CountsByKey{trialKey: {Answers: 3, Bad: 1}},
		Paces:  canary.PacesByKey{paceKey: {Answers: 2, LogSum: 5}},
		Pauses: placement.Pauses{endpointKey: time.Second},
		Limits: placement.Limits{processKey: {PerSecond: 2.6, Age: limitAge}, endedKey: {Age: limitAge}},
		Usages: admission.Usages{usageKey: 7}, Instances: 1,
	}
}

func (r *fakeReporter) SetRemoteReport(_ time.Time, report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others = report
}

func (r *fakeReporter) othersLoad() placement.EndpointLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.others.Loads[endpointKey]
	if s := r.others.Trials[trialKey]; s.Answers != 3*float64(o.Requests) || s.Bad != float64(o.Requests) {
		return placement.EndpointLoad{} // a part of the report is missing
	}
	if p := r.others.Paces[paceKey]; p.Answers != 2*float64(o.Requests) || p.LogSum != 5*float64(o.Requests) {
		return placement.EndpointLoad{}
	}
	if r.others.Usages[usageKey] != 7*float64(o.Requests) || r.others.Instances != o.Requests {
		return placement.EndpointLoad{}
	}
	if o.Requests > 0 && r.others.Pauses[endpointKey] != time.Second {
		return placement.EndpointLoad{}
	}
	limited, ended := r.others.Limits[processKey], r.others.Limits[endedKey]
	if o.Requests > 0 && (limited.PerSecond != 2.6 || limited.Age < limitAge || limited.Age > limitAge+maxReportAge || ended.Age < limitAge || ended.PerSecond != 0) {
		return placement.EndpointLoad{}
	}
	return o
}

// TestShareLoads guards against load of other instances that is missing, counted twice, or still counted after its instance
// has ended. The instances follow two seeds, which exchange their sums.
func TestShareLoads(t *testing.T) {
	defer goleak.VerifyNone(t)
	store := newFakeStore()
	store.add("first")
	var g sync.WaitGroup
	defer g.Wait()
	var seeds []netip.AddrPort
	var listeners []net.Listener
	for range 2 {
		c := net.ListenConfig{}
		lis, err := c.Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, lis)
		seeds = append(seeds, netip.MustParseAddrPort(lis.Addr().String()))
	}
	var reporters []*fakeReporter
	var stops []context.CancelFunc
	start := func(id string, self netip.AddrPort, lis net.Listener) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &fakeReporter{}
		h := NewHub(Options{Instance: id, Address: self, Seeds: seeds, Logger: zap.NewNop(), Dial: func(ctx context.Context, s string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", s)
		}})
		h.SetReporter(w)
		f := changefeed.NewFollower(h.AddTopic("test", &storeClient{store: store}, ReadPolicy{StartupWait: testTimeout, MaxAge: freshTime, Required: true}),
			changefeed.Options{Wait: readWait, Timeout: time.Second, RetryInterval: 50 * time.Millisecond}, func(changefeed.Update) {})
		g.Go(func() { f.Run(ctx) })
		g.Go(func() { h.Run(ctx) })
		if lis != nil {
			g.Go(func() {
				if err := h.Serve(ctx, lis); err != nil {
					t.Error(err)
				}
			})
		}
		reporters, stops = append(reporters, w), append(stops, cancel)
	}
	defer func() {
		for _, f := range stops {
			f()
		}
	}()
	for i, a := range seeds {
		start("seed-"+string(rune('0'+i)), a, listeners[i])
	}
	for i := range 5 {
		start("follower-"+string(rune('0'+i)), netip.AddrPort{}, nil)
	}
	haveLoads := func(n int) func() bool {
		return func() bool {
			for _, w := range reporters[:n+1] {
				if o := w.othersLoad(); o.Requests != n || o.PrefillMS != float64(20*n) {
					return false
				}
			}
			return true
		}
	}
	waitFor(t, "the loads of the six others at all seven instances", haveLoads(6))
	time.Sleep(3 * reportInterval)
	if !haveLoads(6)() {
		t.Errorf("loads changed later: %v", reporters[0].othersLoad())
	}
	stops[6]()
	waitFor(t, "the loads of the five others at the remaining six instances", haveLoads(5))
}

// TestLimitsOfOthers guards against a limit that counts as newer than the endpoint's statement because it waited at a seed, against an older
// statement in place of a newer one, and against limits that are none.
func TestLimitsOfOthers(t *testing.T) {
	now := time.Now()
	table := newReportTable()
	table.set("a", receivedReport{report: Report{Limits: placement.Limits{1: {PerSecond: 3, Age: time.Second}, 2: {PerSecond: 3, Age: time.Second}}}, receivedAt: now.Add(-500 * time.Millisecond)})
	table.set("b", receivedReport{report: Report{Limits: placement.Limits{1: {Age: 1200 * time.Millisecond}}}, receivedAt: now})
	got := table.sum(now, "", true).Limits
	if want := (placement.Limits{1: {Age: 1200 * time.Millisecond}, 2: {PerSecond: 3, Age: 1500 * time.Millisecond}}); !maps.Equal(got, want) {
		t.Errorf("limits %v, want %v", got, want)
	}
	odd := &relaypb.Loads{
		LimitedProcesses: []uint32{1, 2, 3, 4, 5}, Limits: []float64{math.NaN(), -1, math.Inf(1), 2, 3}, LimitAges: []uint32{1, 1, 1, 1},
	}
	if got, want := decodeReport(odd).Limits, (placement.Limits{4: {PerSecond: 2, Age: time.Millisecond}}); !maps.Equal(got, want) {
		t.Errorf("limits %v, want %v", got, want)
	}
}
