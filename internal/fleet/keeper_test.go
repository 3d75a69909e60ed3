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

// patience bounds waits for conditions that must become true; no verdict depends on how long they take.
const patience = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never became true: %s", what)
}

type holders struct {
	log   *standin.Log
	work  sync.WaitGroup
	stops []context.CancelFunc
}

// keep runs a keeper that wants the duty d; work reports grants until its context ends.
func (h *holders) keep(t *testing.T, id string, work func(context.Context, *Grant) error) *kept {
	t.Helper()
	s := DefaultKeeperSettings(id)
	s.Term, s.Poll = 400*time.Millisecond, 20*time.Millisecond
	k := NewKeeper(s, h.log, zap.NewNop(), tally.NoopScope)
	reading, stopReading := context.WithCancel(context.Background())
	holding, stop := context.WithCancel(context.Background())
	h.work.Go(func() { k.Run(reading) })
	h.work.Go(func() {
		k.Hold(holding, "d", work)
		stopReading()
	})
	h.stops = append(h.stops, stop)
	return &kept{k, stop}
}

type kept struct {
	*Keeper
	stop context.CancelFunc
}

func newHolders(t *testing.T) *holders {
	h := &holders{log: standin.NewLog(time.Now)}
	t.Cleanup(func() {
		for _, stop := range h.stops {
			stop()
		}
		h.work.Wait()
	})
	return h
}

// Guards against a duty that is not handed over at a planned stop, and against tokens that don't grow.
func TestKeeperHandsOver(t *testing.T) {
	h := newHolders(t)
	var first, second atomic.Pointer[Grant]
	a := h.keep(t, "a", func(ctx context.Context, g *Grant) error {
		first.Store(g)
		<-ctx.Done()
		return nil
	})
	eventually(t, "a holds the duty", func() bool { return first.Load() != nil })
	h.keep(t, "b", func(ctx context.Context, g *Grant) error {
		second.Store(g)
		<-ctx.Done()
		return nil
	})
	n := h.log.Appends()
	eventually(t, "a renews", func() bool { return h.log.Appends() > n+2 })
	if second.Load() != nil && first.Load().Acts() {
		t.Error("two holders may act")
	}
	a.stop()
	eventually(t, "b holds the duty under a higher token", func() bool {
		return second.Load() != nil && second.Load().Token > first.Load().Token
	})
}

// Guards against a holder that goes on when it can't renew, against a lost reply that loses the lease, and against a
// holder that doesn't come back after an outage of the log.
func TestKeeperStopsWithoutLog(t *testing.T) {
	h := newHolders(t)
	var grants atomic.Int64
	var last atomic.Pointer[Grant]
	h.keep(t, "a", func(ctx context.Context, g *Grant) error {
		grants.Add(1)
		last.Store(g)
		<-ctx.Done()
		return nil
	})
	eventually(t, "a holds the duty", func() bool { return grants.Load() == 1 })
	h.log.Set(standin.Faults{LoseReplies: 1})
	n := h.log.Appends()
	eventually(t, "renewals go on", func() bool { return h.log.Appends() > n+2 })
	h.log.Set(standin.Faults{Down: true})
	eventually(t, "a stops", func() bool { return !last.Load().Acts() })
	held := grants.Load()
	h.log.Set(standin.Faults{})
	eventually(t, "a holds the duty again", func() bool { return grants.Load() > held && last.Load().Acts() })
}

// Guards against a reader of a trimmed stream that takes a lease before it can know who holds it.
func TestKeeperWaitsAfterTrimming(t *testing.T) {
	var ahead atomic.Int64
	h := newHolders(t)
	h.log = standin.NewLog(func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) })
	for range 5 {
		if _, err := h.log.Append(context.Background(), stream, []byte("{}")); err != nil {
			t.Fatal(err)
		}
	}
	h.log.Trim(stream, 4)
	var held atomic.Bool
	k := h.keep(t, "a", func(ctx context.Context, _ *Grant) error {
		held.Store(true)
		<-ctx.Done()
		return nil
	})
	eventually(t, "a has read the stream", func() bool {
		k.lock.Lock()
		defer k.lock.Unlock()
		return k.book.Next() == 5 && !k.book.Now().IsZero()
	})
	if held.Load() || h.log.Appends() != 5 {
		t.Errorf("held is %v after %d appends", held.Load(), h.log.Appends())
	}
	ahead.Store(int64(lease.MaxTerm))
	eventually(t, "a takes the duty after the longest term", held.Load)
}

// bench is a pool of engines that load at once.
type bench struct {
	lock    sync.Mutex
	engines []loading.Engine
	tokens  map[uint64]int
}

func (b *bench) Observe(context.Context, string) ([]loading.Engine, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return append([]loading.Engine(nil), b.engines...), nil
}

func (b *bench) Command(_ context.Context, c loading.Command) error {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.tokens[c.Token]++
	for i := range b.engines {
		if e := &b.engines[i]; e.ID == c.Engine && c.Kind == loading.Load {
			e.Versions = append(append([]string(nil), e.Versions...), c.Version)
		}
	}
	return nil
}

func (b *bench) loaded() (n int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, e := range b.engines {
		n += len(e.Versions)
	}
	return n
}

// Guards against a roll-out that ends with its holder, and against commands without the holder's token.
func TestLoaderResumesUnderNextHolder(t *testing.T) {
	h := newHolders(t)
	b := &bench{engines: []loading.Engine{{ID: "e0"}, {ID: "e1"}, {ID: "e2"}}, tokens: map[uint64]int{}}
	weights := standin.NewWeights(30 * time.Millisecond)
	l := NewLoader(LoaderSettings{
		Pool:    loading.Pool{Name: "p", Slots: 1},
		Limits:  loading.Limits{Loads: 1, Repeat: time.Minute},
		Observe: time.Millisecond,
	}, b, weights, func(n int) []loading.Want { return []loading.Want{{Version: "m@1", Engines: n}} }, zap.NewNop(), tally.NoopScope)
	weights.Set(standin.Faults{LoseReplies: 1})
	// The first holder stops after its first load.
	stopped := make(chan struct{})
	a := h.keep(t, "a", func(ctx context.Context, g *Grant) error {
		inner, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			defer close(stopped)
			for b.loaded() == 0 && inner.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		err := l.Run(inner, g)
		<-ctx.Done()
		return err
	})
	<-stopped
	a.stop()
	h.keep(t, "b", l.Run)
	eventually(t, "the next holder completes the roll-out", func() bool { return b.loaded() == 3 })
	b.lock.Lock()
	defer b.lock.Unlock()
	if len(b.tokens) < 2 {
		t.Errorf("tokens of the commands are %v, want some of each holder", b.tokens)
	}
}
