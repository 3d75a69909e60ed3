package measure

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/peer"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	configStream = "config"
	readWait     = time.Second // of a read of the config stream
	knownTimeout = time.Minute
	billSize     = 40  // bytes of a bill in the log, the design page's bound
	claimSize    = 120 // bytes of a claim
)

// copies is a witness buffer that only counts.
type copies struct{ held, dropped atomic.Int64 }

// HoldBills counts.
func (c *copies) HoldBills(_ context.Context, _ string, b []record.Bill) error {
	c.held.Add(int64(len(b)))
	return nil
}

// ReleaseBills counts.
func (c *copies) ReleaseBills(_ string, ids []peer.BillID) { c.dropped.Add(int64(len(ids))) }

// member is one instance of a measured fleet.
type member struct {
	*peer.Service
	group   *peer.BatchAppender
	applied atomic.Uint64
	failed  *atomic.Int64
	holds   *holdTimes
}

type measuredFleet struct {
	log     *standin.Log
	scope   tally.TestScope
	members []*member
	stop    context.CancelFunc
	ctx     context.Context
	work    sync.WaitGroup
	follow  atomic.Int64 // members below this index read the log
	failed  atomic.Int64
	holds   holdTimes
}

// holdTimes collects how long copies to witnesses take.
type holdTimes struct {
	lock sync.Mutex
	h    *hdrhistogram.Histogram
}

func (t *holdTimes) reset() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.h = hdrhistogram.New(1, time.Minute.Microseconds(), 2)
}

func (t *holdTimes) record(d time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	_ = t.h.RecordValue(min(d, time.Minute).Microseconds())
}

func (t *holdTimes) quantile(q float64) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	return time.Duration(t.h.ValueAtQuantile(q)) * time.Microsecond
}

func startFleet(ctx context.Context, n int, o CapacityOptions) (*measuredFleet, error) {
	f := &measuredFleet{log: standin.NewLog(time.Now), scope: tally.NewTestScope("", nil)}
	f.ctx, f.stop = context.WithCancel(ctx)
	f.follow.Store(int64(n))
	f.holds.reset()
	list := standin.NewInstanceList()
	for i := range n {
		m := &member{failed: &f.failed, holds: &f.holds}
		m.group = peer.NewBatchAppender(f.log, join, func(stream string) time.Duration { return m.BatchInterval(stream) })
		s := peer.DefaultSettings(fmt.Sprintf("instance-%04d", i), fmt.Sprintf("zone-%d", i%7), netip.MustParseAddrPort("127.0.0.1:0"))
		s.Seed, s.BytesPerSecond = o.Seed+uint64(i), o.Budget
		m.Service = peer.New(s, peer.Hooks{List: list, WitnessStore: &copies{}, Appender: m.group}, zap.NewNop(), f.scope)
		if err := m.Start(ctx); err != nil {
			f.close()
			return nil, err
		}
		f.members = append(f.members, m)
		list.Put(platform.Instance{ID: s.ID, Role: platform.RoleRouter, AvailabilityZone: s.Zone, Address: m.Address()})
		f.work.Go(func() { f.tail(i, m) })
	}
	return f, nil
}

func join(_ string, records [][]byte) ([]byte, error) { return bytes.Join(records, nil), nil }

func (f *measuredFleet) close() {
	f.stop()
	f.work.Wait()
	var wg sync.WaitGroup
	for _, m := range f.members {
		wg.Go(func() {
			m.Stop()
			m.group.Close()
		})
	}
	wg.Wait()
}

// tail reads the config stream as an instance does.
func (f *measuredFleet) tail(i int, m *member) {
	for f.ctx.Err() == nil {
		if int64(i) >= f.follow.Load() {
			pause(f.ctx, 10*time.Millisecond)
			continue
		}
		sent := time.Now()
		p, err := f.log.Read(f.ctx, configStream, platform.Offset(m.applied.Load()), 100, readWait)
		if err != nil || int64(i) >= f.follow.Load() {
			continue
		}
		m.applied.Store(uint64(p.End))
		m.ReportLogRead(sent, p.End)
		m.ReportApplied(p.End)
	}
}

// load appends bills and claims at the options' rates, with a witness copy and a release of each bill.
func (f *measuredFleet) load(ctx context.Context, o CapacityOptions) {
	var wg sync.WaitGroup
	for i, m := range f.members {
		r := rand.New(rand.NewPCG(o.Seed, uint64(i)))
		wg.Go(func() {
			var calls sync.WaitGroup
			bill, claim := exponential(r, o.Bills), exponential(r, o.Claims)
			at := time.Now()
			for ctx.Err() == nil {
				step := min(bill, claim)
				bill, claim = bill-step, claim-step
				at = at.Add(step)
				pause(ctx, time.Until(at))
				if bill <= 0 {
					bill = exponential(r, o.Bills)
					b := record.Bill{Organisation: "lysror", Key: key(r), Profile: "report", Version: "model@1", Input: 4000, Output: 350, Cost: 912, Issued: time.Now(), Instance: fmt.Sprintf("instance-%04d", i)}
					calls.Go(func() { m.bill(f.ctx, b) })
				}
				if claim <= 0 {
					claim = exponential(r, o.Claims)
					stream := fmt.Sprintf("claims-%02d", r.IntN(16))
					calls.Go(func() { m.append(f.ctx, stream, claimSize) })
				}
			}
			calls.Wait()
		})
	}
	wg.Wait()
}

func (m *member) bill(ctx context.Context, b record.Bill) {
	began := time.Now()
	if err := m.Witness().HoldBill(ctx, b); err != nil {
		m.failed.Add(1)
	}
	m.holds.record(time.Since(began))
	m.append(ctx, "bills", billSize)
	m.Witness().ReleaseBills([]peer.BillID{{Organisation: b.Organisation, Key: b.Key}})
}

func (m *member) append(ctx context.Context, stream string, size int) {
	if _, err := m.Append(ctx, stream, make([]byte, size)); err != nil {
		m.failed.Add(1)
	}
}

func exponential(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
}

func key(r *rand.Rand) string {
	a, b := r.Uint64(), r.Uint64()
	return fmt.Sprintf("%08x-%04x-7%03x-%04x-%012x", uint32(a>>32), uint16(a>>16), uint16(a)&0xfff, uint16(b>>48)&0x3fff|0x8000, b&0xffffffffffff)
}

// reading is a state of the counters of a fleet.
type reading struct {
	at       time.Time
	bytes    []int64
	messages int64
	cpu      time.Duration
	appends  int64
}

func (f *measuredFleet) read() reading {
	r := reading{at: time.Now(), cpu: processorTime(), appends: f.log.AppendCount()}
	for _, m := range f.members {
		in, out := m.TrafficBytes()
		r.bytes = append(r.bytes, in+out)
	}
	for _, c := range f.scope.Snapshot().Counters() {
		if c.Name() == "control-messages" {
			r.messages += c.Value()
		}
	}
	return r
}

// rates returns mean and largest bytes a second of an instance, messages and processor share of one, and appends of all.
func rates(a, b reading) (mean, most, messages, cpu, appends float64) {
	s := b.at.Sub(a.at).Seconds()
	n := float64(len(a.bytes))
	for i := range a.bytes {
		v := float64(b.bytes[i]-a.bytes[i]) / s
		mean += v / n
		most = max(most, v)
	}
	return mean, most, float64(b.messages-a.messages) / s / n, (b.cpu - a.cpu).Seconds() / s / n, float64(b.appends-a.appends) / s
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memory() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// measureFleet runs a fleet of one size through its phases.
func measureFleet(ctx context.Context, n int, o CapacityOptions) (point, error) {
	p := point{size: n}
	base := memory()
	f, err := startFleet(ctx, n, o)
	if err != nil {
		return p, err
	}
	defer f.close()
	pause(ctx, o.Settle)
	before := f.read()
	pause(ctx, o.Measure)
	p.idleBytes, _, p.idleCalls, p.idleCPU, _ = rates(before, f.read())
	p.memory = max(0, memory()-base) / float64(n)
	if p.throughLog, err = f.spread(ctx, false); err != nil {
		return p, err
	}
	f.follow.Store(1)
	pause(ctx, 2*readWait) // the reads under way end
	if p.throughAll, err = f.spread(ctx, true); err != nil {
		return p, err
	}
	f.follow.Store(int64(n))
	loaded, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		f.load(loaded, o)
		close(done)
	}()
	pause(ctx, o.Warm)
	f.holds.reset()
	before = f.read()
	pause(ctx, o.Measure)
	p.holdMedian, p.holdLate = f.holds.quantile(50), f.holds.quantile(99)
	p.loadBytes, p.loadMost, _, p.loadCPU, p.appends = rates(before, f.read())
	cancel()
	<-done
	p.failed = f.failed.Load()
	return p, nil
}

// spread appends a config record and returns the time until all instances know it, from peers only or from the log.
func (f *measuredFleet) spread(ctx context.Context, fromPeers bool) (time.Duration, error) {
	began := time.Now()
	o, err := f.log.Append(ctx, configStream, []byte("{}"))
	if err != nil {
		return 0, err
	}
	limit, cancel := context.WithTimeout(ctx, knownTimeout)
	defer cancel()
	for _, m := range f.members {
		for !m.knows(limit, o, fromPeers) {
			if limit.Err() != nil {
				return 0, fmt.Errorf("record %d is not known everywhere: %w", o, limit.Err())
			}
			pause(limit, 2*time.Millisecond)
		}
	}
	return time.Since(began), nil
}

func (m *member) knows(ctx context.Context, o platform.Offset, fromPeers bool) bool {
	if !fromPeers {
		return m.applied.Load() > uint64(o)
	}
	next, err := m.KnownConfigEnd(ctx)
	return err == nil && next > o
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
