package peer

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

func join(_ string, records [][]byte) ([]byte, error) { return bytes.Join(records, []byte(",")), nil }

// startGroup runs n services that append through one batcher, when the fleet is larger than small.
func startGroup(t *testing.T, n, small int, log platform.Log) []*Service {
	t.Helper()
	list := standin.NewList()
	var l []*Service
	for i := range n {
		groups := map[string]Group{"bills": {Batchers: 1, Appends: 50}}
		var s *Service
		g := NewGrouper(log, join, func(stream string) time.Duration { return s.Interval(stream) })
		s = start(t, i, list, Hooks{Appender: g}, func(s *Settings) {
			s.Groups = groups
			s.Adjust = func(m *membership.Settings) { m.Batch = small }
		})
		t.Cleanup(g.Close)
		l = append(l, s)
	}
	for _, s := range l {
		eventually(t, "all know each other", func() bool { return s.View().Size() == n })
	}
	return l
}

func appendAll(t *testing.T, l []*Service, each int) {
	t.Helper()
	var wg sync.WaitGroup
	for i, s := range l {
		for j := range each {
			wg.Go(func() {
				if _, err := s.Append(context.Background(), "bills", fmt.Appendf(nil, "%d-%d", i, j)); err != nil {
					t.Errorf("append: %v", err)
				}
			})
		}
	}
	wg.Wait()
}

// records counts each record in the stream.
func records(t *testing.T, log platform.Log) map[string]int {
	t.Helper()
	p, err := log.Read(context.Background(), "bills", 0, 10_000, 0)
	if err != nil {
		t.Fatal(err)
	}
	m := map[string]int{}
	for _, e := range p.Entries {
		for _, r := range bytes.Split(e.Data, []byte(",")) {
			m[string(r)]++
		}
	}
	return m
}

// Guards against records that a batcher loses, and against appends that grow with the fleet.
func TestGroupCommit(t *testing.T) {
	log := standin.NewLog(time.Now)
	l := startGroup(t, 4, 1, log)
	appendAll(t, l, 20)
	if m := records(t, log); len(m) != 80 {
		t.Errorf("%d records are in the log, want 80", len(m))
	}
	if n := log.Appends(); n >= 80 {
		t.Errorf("%d appends for 80 records", n)
	}
}

// counting counts the records that reach an appender.
type counting struct {
	Appender
	lock sync.Mutex
	n    int
}

func (c *counting) AppendBatch(ctx context.Context, stream string, r [][]byte) ([]uint64, error) {
	c.lock.Lock()
	c.n += len(r)
	c.lock.Unlock()
	return c.Appender.AppendBatch(ctx, stream, r)
}

// Guards against group commit in a fleet in which each instance appends for itself.
func TestSmallFleetAppendsForItself(t *testing.T) {
	log := standin.NewLog(time.Now)
	list := standin.NewList()
	var l []*Service
	var counts []*counting
	for i := range 3 {
		g := NewGrouper(log, join, func(string) time.Duration { return 0 })
		t.Cleanup(g.Close)
		c := &counting{Appender: g}
		counts = append(counts, c)
		l = append(l, start(t, i, list, Hooks{Appender: c}, nil))
	}
	appendAll(t, l, 5)
	for i, c := range counts {
		if c.n != 5 {
			t.Errorf("instance %d appended %d records, want its own 5", i, c.n)
		}
	}
}

// Guards against an instance that can't append because the batchers can't; a batcher has no authority.
func TestAppendWithoutBatcher(t *testing.T) {
	log := standin.NewLog(time.Now)
	l := startGroup(t, 3, 1, log)
	batcher := l[0].View().Batcher("bills", 1)[0].ID
	i := slices.IndexFunc(l, func(s *Service) bool { return s.s.ID == batcher })
	down := l[i]
	down.server.Stop() // refuses from now on
	others := slices.Delete(slices.Clone(l), i, i+1)
	appendAll(t, others, 5)
	if m := records(t, log); len(m) != 10 {
		t.Errorf("%d records are in the log, want 10", len(m))
	}
	g := NewGrouper(log, join, func(string) time.Duration { return 0 })
	g.Close()
	if _, err := g.AppendBatch(context.Background(), "bills", nil); !isKind(err, ErrStopped) {
		t.Errorf("append after the close: %v", err)
	}
}

// Guards against an append that is reported as done when the log refused it.
func TestAppendReportsFailure(t *testing.T) {
	log := standin.NewLog(time.Now)
	log.Set(standin.Faults{Down: true})
	l := startGroup(t, 2, 1, log)
	if _, err := l[0].Append(context.Background(), "bills", []byte("x")); err == nil {
		t.Error("append succeeded although the log is down")
	}
}

// Guards against traffic above the budget: calls must wait for it, whatever their number.
func TestBudgetIsHeld(t *testing.T) {
	const perSecond, size, callers = 8000, 600, 40
	b := newBudget(perSecond)
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var sent atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for ctx.Err() == nil {
				if within, err := b.bulk(ctx, time.Hour); err != nil || !within {
					return
				}
				b.spend(size)
				sent.Add(size)
			}
		})
	}
	wg.Wait()
	// Each caller may have passed before the balance was below its share.
	if bound := int64(perSecond*time.Since(began).Seconds()) + burstSeconds*perSecond + callers*size; sent.Load() > bound {
		t.Errorf("%d bytes were sent, the budget allows %d", sent.Load(), bound)
	}
	b.spend(burstSeconds * perSecond * 2)
	if b.probe() {
		t.Error("a probe passes although the budget is spent")
	}
}

// Guards against bytes that the budget doesn't see, in either direction.
func TestBudgetCountsConnections(t *testing.T) {
	b := start(t, 2, standin.NewList(), Hooks{}, nil)
	p := newTestPool(t, nil)
	p.budget = newBudget(1)
	began := time.Now()
	if _, err := probe(p, b.Address(), patience, message("x")); err != nil {
		t.Fatal(err)
	}
	in, out := p.budget.in.Load(), p.budget.out.Load()
	if in < 50 || out < 50 {
		t.Errorf("a call took %d bytes in and %d out", in, out)
	}
	most := float64(minBurst) - float64(in+out) + time.Since(began).Seconds() + 1
	if got := p.budget.limit.TokensAt(time.Now()); got > most {
		t.Errorf("balance is %.0f after %d bytes of %d", got, in+out, minBurst)
	}
}

// Guards against copies that never leave an instance whose budget is spent by what it receives.
func TestCopiesAreNotStarved(t *testing.T) {
	list := standin.NewList()
	a := start(t, 1, list, Hooks{}, func(s *Settings) { s.Budget = 1 })
	start(t, 2, list, Hooks{Bills: &vault{bills: map[BillID]record.Bill{}}}, nil)
	eventually(t, "a has a witness", func() bool { return len(a.View().Witnesses(1)) == 1 })
	a.budget.spend(1_000_000)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := a.Witness().Hold(ctx, record.Bill{Organisation: "o", Key: "k"}); err != nil {
		t.Errorf("hold: %v", err)
	}
}
