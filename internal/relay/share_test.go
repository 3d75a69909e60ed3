package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/canary"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/feed"
)

// worker is an instance's work: one request of its own at an endpoint, and what it heard of the others.
type worker struct {
	mu     sync.Mutex
	others News
}

const (
	busy  uint32 = 7 // key of the endpoint
	trial uint64 = 9 // and of a new version
)

func (w *worker) Own() News {
	return News{
		Loads:  placement.Loads{busy: {Requests: 1, Prefill: 20}},
		Trials: canary.Trials{trial: {Answers: 3, Bad: 1}},
	}
}

func (w *worker) SetOthers(_ time.Time, n News) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.others = n
}

func (w *worker) heard() placement.Outstanding {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.others.Loads[busy]
	if s := w.others.Trials[trial]; s.Answers != 3*float64(o.Requests) || s.Bad != float64(o.Requests) {
		return placement.Outstanding{} // a part of the news is missing
	}
	return o
}

// TestShareLoads guards against load of other instances that is not known, counted twice, or counted after its instance
// has ended; instances follow two seeds that tell each other.
func TestShareLoads(t *testing.T) {
	defer goleak.VerifyNone(t)
	l := newLog()
	l.add("first")
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
	var workers []*worker
	var stops []context.CancelFunc
	start := func(id string, self netip.AddrPort, lis net.Listener) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &worker{}
		h := NewHub(Options{Instance: id, Self: self, Seeds: seeds, Logger: zap.NewNop(), Dial: func(ctx context.Context, s string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", s)
		}})
		h.SetWork(w)
		f := feed.NewFollower(h.Source(&reader{log: l}, Pace{Join: bound, Fresh: fresh}),
			feed.Options{Wait: wait, Timeout: time.Second, Retry: 50 * time.Millisecond}, func(feed.Update) {})
		g.Go(func() { f.Run(ctx) })
		g.Go(func() { h.Run(ctx) })
		if lis != nil {
			g.Go(func() {
				if err := h.Serve(ctx, lis); err != nil {
					t.Error(err)
				}
			})
		}
		workers, stops = append(workers, w), append(stops, cancel)
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
	knows := func(n int) func() bool {
		return func() bool {
			for _, w := range workers[:n+1] {
				if o := w.heard(); o.Requests != n || o.Prefill != float64(20*n) {
					return false
				}
			}
			return true
		}
	}
	await(t, "the loads of six others at all seven", knows(6))
	time.Sleep(3 * shareEvery)
	if !knows(6)() {
		t.Errorf("later: %v", workers[0].heard())
	}
	stops[6]()
	await(t, "five others at the six that are left", knows(5))
}
