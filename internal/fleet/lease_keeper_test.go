package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/lease"
	"github.com/cassiaspoke/cassiaspoke/internal/core/loading"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
)

// waitTimeout limits the wait for a condition that must become true. No assertion depends on how long it takes.
const waitTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out before the condition became true: %s", what)
}

// keeperGroup runs several keepers over one log and stops them at the end of a test.
type keeperGroup struct {
	log        *standin.Log
	goroutines sync.WaitGroup
	stops      []context.CancelFunc
}

// startKeeper runs a keeper that acquires the duty d whenever it is available and then runs work.
func (g *keeperGroup) startKeeper(t *testing.T, id string, work func(context.Context, *HeldLease) error) *runningKeeper {
	t.Helper()
	return g.startKeeperWithTerm(t, id, 400*time.Millisecond, work)
}

// startKeeperWithTerm works like startKeeper with a term of the leases.
func (g *keeperGroup) startKeeperWithTerm(t *testing.T, id string, term time.Duration, work func(context.Context, *HeldLease) error) *runningKeeper {
	t.Helper()
	s := DefaultLeaseKeeperSettings(id)
	s.Term, s.PollInterval = term, 20*time.Millisecond
	k := NewLeaseKeeper(s, g.log, zap.NewNop(), tally.NoopScope)
	followCtx, stopFollowing := context.WithCancel(context.Background())
	holdCtx, stop := context.WithCancel(context.Background())
	g.goroutines.Go(func() { k.FollowStream(followCtx) })
	g.goroutines.Go(func() {
		k.HoldLease(holdCtx, "d", work)
		stopFollowing()
	})
	g.stops = append(g.stops, stop)
	return &runningKeeper{k, stop}
}

// runningKeeper is a keeper with the function that stops it.
type runningKeeper struct {
	*LeaseKeeper
	stop context.CancelFunc
}

func newKeeperGroup(t *testing.T) *keeperGroup {
	g := &keeperGroup{log: standin.NewLog(time.Now)}
	t.Cleanup(func() {
		for _, stop := range g.stops {
			stop()
		}
		g.goroutines.Wait()
	})
	return g
}

// TestKeeperHandsOverDuty guards against a holder that does not release its lease at a planned stop, and against fencing
// tokens that do not increase.
func TestKeeperHandsOverDuty(t *testing.T) {
	g := newKeeperGroup(t)
	var first, second atomic.Pointer[HeldLease]
	a := g.startKeeper(t, "a", func(ctx context.Context, h *HeldLease) error {
		first.Store(h)
		<-ctx.Done()
		return nil
	})
	waitUntil(t, "a holds the duty", func() bool { return first.Load() != nil })
	g.startKeeper(t, "b", func(ctx context.Context, h *HeldLease) error {
		second.Store(h)
		<-ctx.Done()
		return nil
	})
	n := g.log.AppendCount()
	waitUntil(t, "a renews", func() bool { return g.log.AppendCount() > n+2 })
	if second.Load() != nil && first.Load().Valid() {
		t.Error("two holders may act")
	}
	a.stop()
	waitUntil(t, "b holds the duty under a higher token", func() bool {
		return second.Load() != nil && second.Load().Token > first.Load().Token
	})
}

// TestKeeperStopsWithoutLog guards against a holder that continues although it cannot renew, against a lease that is lost
// with the reply to an append, and against an instance that does not reacquire the lease after an outage of the log.
func TestKeeperStopsWithoutLog(t *testing.T) {
	g := newKeeperGroup(t)
	var acquired atomic.Int64
	var last atomic.Pointer[HeldLease]
	g.startKeeper(t, "a", func(ctx context.Context, h *HeldLease) error {
		acquired.Add(1)
		last.Store(h)
		<-ctx.Done()
		return nil
	})
	waitUntil(t, "a holds the duty", func() bool { return acquired.Load() == 1 })
	g.log.SetFaults(standin.Faults{LoseReplies: 1})
	n := g.log.AppendCount()
	waitUntil(t, "the keeper continues to renew", func() bool { return g.log.AppendCount() > n+2 })
	g.log.SetFaults(standin.Faults{Down: true})
	waitUntil(t, "a stops", func() bool { return !last.Load().Valid() })
	before := acquired.Load()
	g.log.SetFaults(standin.Faults{})
	waitUntil(t, "a holds the duty again", func() bool { return acquired.Load() > before && last.Load().Valid() })
}

// TestKeeperWaitsAfterTrimming guards against an instance that acquires a lease after reading a trimmed stream, although
// the trimmed records may have granted the lease to another holder.
func TestKeeperWaitsAfterTrimming(t *testing.T) {
	var clockOffset atomic.Int64
	g := newKeeperGroup(t)
	g.log = standin.NewLog(func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) })
	for range 5 {
		if _, err := g.log.Append(context.Background(), leaseStream, []byte("{}")); err != nil {
			t.Fatal(err)
		}
	}
	g.log.Trim(leaseStream, 4)
	var held atomic.Bool
	k := g.startKeeper(t, "a", func(ctx context.Context, _ *HeldLease) error {
		held.Store(true)
		<-ctx.Done()
		return nil
	})
	waitUntil(t, "a has read the stream", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.leases.Next() == 5 && !k.leases.Now().IsZero()
	})
	if held.Load() || g.log.AppendCount() != 5 {
		t.Errorf("held is %v after %d appends", held.Load(), g.log.AppendCount())
	}
	clockOffset.Store(int64(lease.MaxTerm))
	waitUntil(t, "a acquires the duty after the longest term", held.Load)
}

// fakeEnginePool is a pool of engines that load a version immediately.
type fakeEnginePool struct {
	mu       sync.Mutex
	engines  []loading.Engine
	commands map[uint64]int // number of commands by fencing token
}

func (p *fakeEnginePool) ObserveEngines(context.Context, string) ([]loading.Engine, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]loading.Engine(nil), p.engines...), nil
}

func (p *fakeEnginePool) SendCommand(_ context.Context, c loading.Command) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.commands[c.Token]++
	for i := range p.engines {
		if e := &p.engines[i]; e.ID == c.Engine && c.Kind == loading.Load {
			e.ReadyVersions = append(append([]string(nil), e.ReadyVersions...), c.Version)
		}
	}
	return nil
}

// countLoaded returns the number of versions loaded, summed over the engines.
func (p *fakeEnginePool) countLoaded() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		n += len(e.ReadyVersions)
	}
	return n
}

// TestLoaderResumesUnderNextHolder guards against a roll-out that stops when the holder of the lease stops, and against
// commands that lack the holder's fencing token.
func TestLoaderResumesUnderNextHolder(t *testing.T) {
	g := newKeeperGroup(t)
	p := &fakeEnginePool{engines: []loading.Engine{{ID: "e0"}, {ID: "e1"}, {ID: "e2"}}, commands: map[uint64]int{}}
	weights := standin.NewWeightStore(30 * time.Millisecond)
	l := NewLoader(LoaderSettings{
		Pool:            loading.Pool{Name: "p", SlotsPerEngine: 1},
		Limits:          loading.Limits{ConcurrentLoads: 1, ResendAfter: time.Minute},
		ObserveInterval: time.Millisecond,
	}, p, weights, func(n int) []loading.DesiredVersion { return []loading.DesiredVersion{{Version: "m@1", Engines: n}} }, zap.NewNop(), tally.NoopScope)
	weights.SetFaults(standin.Faults{LoseReplies: 1})
	// The first holder stops after its first load.
	stopped := make(chan struct{})
	a := g.startKeeper(t, "a", func(ctx context.Context, h *HeldLease) error {
		firstCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			defer close(stopped)
			for p.countLoaded() == 0 && firstCtx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		err := l.LoadVersions(firstCtx, h)
		<-ctx.Done()
		return err
	})
	<-stopped
	a.stop()
	g.startKeeper(t, "b", l.LoadVersions)
	waitUntil(t, "the next holder completes the roll-out", func() bool { return p.countLoaded() == 3 })
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.commands) < 2 {
		t.Errorf("tokens of the commands are %v, want some from each holder", p.commands)
	}
}
