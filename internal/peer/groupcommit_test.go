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

// startGroupCommit runs n services that append through one batcher if n is larger than maxDirect.
func startGroupCommit(t *testing.T, n, maxDirect int, log platform.Log) []*Service {
	t.Helper()
	list := standin.NewInstanceList()
	var l []*Service
	for i := range n {
		policies := map[string]AppendPolicy{"bills": {MaxBatchers: 1, AppendsPerSecond: 50}}
		var s *Service
		g := NewBatchAppender(log, join, func(stream string) time.Duration { return s.BatchInterval(stream) })
		s = startService(t, i, list, Hooks{Appender: g}, func(s *Settings) {
			s.AppendPolicies = policies
			s.AdjustMembership = func(m *membership.Settings) { m.MaxDirectAppenders = maxDirect }
		})
		t.Cleanup(g.Close)
		l = append(l, s)
	}
	for _, s := range l {
		eventually(t, "all know each other", func() bool { return s.View().Size() == n })
	}
	return l
}

func appendAll(t *testing.T, l []*Service, perService int) {
	t.Helper()
	var wg sync.WaitGroup
	for i, s := range l {
		for j := range perService {
			wg.Go(func() {
				if _, err := s.Append(context.Background(), "bills", fmt.Appendf(nil, "%d-%d", i, j)); err != nil {
					t.Errorf("append: %v", err)
				}
			})
		}
	}
	wg.Wait()
}

// records returns how often each record occurs in the stream.
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

// Guards against a batcher that loses records, and against a rate of appends that grows with the fleet.
func TestGroupCommit(t *testing.T) {
	log := standin.NewLog(time.Now)
	l := startGroupCommit(t, 4, 1, log)
	appendAll(t, l, 20)
	if m := records(t, log); len(m) != 80 {
		t.Errorf("%d records are in the log, want 80", len(m))
	}
	if n := log.AppendCount(); n >= 80 {
		t.Errorf("%d appends for 80 records", n)
	}
}

// countingAppender counts the records passed to an appender.
type countingAppender struct {
	Appender
	lock sync.Mutex
	n    int
}

func (c *countingAppender) AppendBatch(ctx context.Context, stream string, r [][]byte) ([]uint64, error) {
	c.lock.Lock()
	c.n += len(r)
	c.lock.Unlock()
	return c.Appender.AppendBatch(ctx, stream, r)
}

// Guards against the use of batchers in a small fleet, where each instance appends its own records.
func TestSmallFleetAppendsDirectly(t *testing.T) {
	log := standin.NewLog(time.Now)
	list := standin.NewInstanceList()
	var l []*Service
	var counts []*countingAppender
	for i := range 3 {
		g := NewBatchAppender(log, join, func(string) time.Duration { return 0 })
		t.Cleanup(g.Close)
		c := &countingAppender{Appender: g}
		counts = append(counts, c)
		l = append(l, startService(t, i, list, Hooks{Appender: c}, nil))
	}
	appendAll(t, l, 5)
	for i, c := range counts {
		if c.n != 5 {
			t.Errorf("instance %d appended %d records, want its own 5", i, c.n)
		}
	}
}

// Guards against an instance that can't append while the batcher is down: any instance may append directly.
func TestAppendWithoutBatcher(t *testing.T) {
	log := standin.NewLog(time.Now)
	l := startGroupCommit(t, 3, 1, log)
	batcher := l[0].View().BatchersForSelf("bills", 1)[0].ID
	i := slices.IndexFunc(l, func(s *Service) bool { return s.settings.ID == batcher })
	down := l[i]
	down.server.Stop() // connections are refused from now on
	others := slices.Delete(slices.Clone(l), i, i+1)
	appendAll(t, others, 5)
	if m := records(t, log); len(m) != 10 {
		t.Errorf("%d records are in the log, want 10", len(m))
	}
	g := NewBatchAppender(log, join, func(string) time.Duration { return 0 })
	g.Close()
	if _, err := g.AppendBatch(context.Background(), "bills", nil); !hasKind(err, ErrStopped) {
		t.Errorf("append after the close: %v", err)
	}
}

// Guards against an append that is reported as successful although the log rejected it.
func TestAppendReportsFailure(t *testing.T) {
	log := standin.NewLog(time.Now)
	log.SetFaults(standin.Faults{Down: true})
	l := startGroupCommit(t, 2, 1, log)
	if _, err := l[0].Append(context.Background(), "bills", []byte("x")); err == nil {
		t.Error("append succeeded although the log is down")
	}
}

// Guards against traffic above the budget when many calls wait for it concurrently.
func TestBudgetLimitsTraffic(t *testing.T) {
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
				if within, err := b.waitForBulk(ctx, time.Hour); err != nil || !within {
					return
				}
				b.debit(size)
				sent.Add(size)
			}
		})
	}
	wg.Wait()
	// Each caller may have been allowed to send before the others were debited.
	if bound := int64(perSecond*time.Since(began).Seconds()) + burstSeconds*perSecond + callers*size; sent.Load() > bound {
		t.Errorf("%d bytes were sent, the budget allows %d", sent.Load(), bound)
	}
	b.debit(burstSeconds * perSecond * 2)
	if b.allowsProbe() {
		t.Error("a probe passes although the budget is spent")
	}
}

// Guards against traffic that is not debited, in either direction.
func TestBudgetCountsConnections(t *testing.T) {
	b := startService(t, 2, standin.NewInstanceList(), Hooks{}, nil)
	p := newTestPool(t, nil)
	p.budget = newBudget(1)
	began := time.Now()
	if _, err := sendProbe(p, b.Address(), waitTimeout, probeRequest("x")); err != nil {
		t.Fatal(err)
	}
	in, out := p.budget.received.Load(), p.budget.sent.Load()
	if in < 50 || out < 50 {
		t.Errorf("a call took %d bytes in and %d out", in, out)
	}
	maxBalance := float64(minBurst) - float64(in+out) + time.Since(began).Seconds() + 1
	if got := p.budget.limiter.TokensAt(time.Now()); got > maxBalance {
		t.Errorf("balance is %.0f after %d bytes of %d", got, in+out, minBurst)
	}
}

// Guards against copies that are never sent because inbound traffic uses up the budget.
func TestInboundTrafficDoesNotStarveCopies(t *testing.T) {
	list := standin.NewInstanceList()
	a := startService(t, 1, list, Hooks{}, func(s *Settings) { s.BytesPerSecond = 1 })
	startService(t, 2, list, Hooks{WitnessStore: &memoryStore{bills: map[BillID]record.Bill{}}}, nil)
	eventually(t, "a has a witness", func() bool { return len(a.View().Witnesses(1)) == 1 })
	a.budget.debit(1_000_000)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := a.Witness().HoldBill(ctx, record.Bill{Organisation: "o", Key: "k"}); err != nil {
		t.Errorf("hold: %v", err)
	}
}
