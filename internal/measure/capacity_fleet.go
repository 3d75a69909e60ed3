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
	configStream       = "config"
	configReadWait     = time.Second // maximum wait of a read of the config stream
	propagationTimeout = time.Minute
	billLogBytes       = 40  // upper bound of a bill in the log
	claimLogBytes      = 120 // a claim in the log
)

// countingCopyStore is a store of witness copies that only counts them.
type countingCopyStore struct{ held, released atomic.Int64 }

// HoldBills counts the bills and keeps none.
func (c *countingCopyStore) HoldBills(_ context.Context, _ string, b []record.Bill) error {
	c.held.Add(int64(len(b)))
	return nil
}

// ReleaseBills counts the released bills.
func (c *countingCopyStore) ReleaseBills(_ string, ids []peer.BillID) {
	c.released.Add(int64(len(ids)))
}

// fleetInstance is one instance of a measured fleet.
type fleetInstance struct {
	*peer.Service
	grouper       *peer.BatchAppender
	appliedOffset atomic.Uint64
	failedAppends *atomic.Int64
	copyLatency   *latencyRecorder
}

// fleet is a set of instances in this process that share an in-memory log.
type fleet struct {
	log            *standin.Log
	scope          tally.TestScope
	instances      []*fleetInstance
	cancel         context.CancelFunc
	ctx            context.Context
	readers        sync.WaitGroup
	logReaderCount atomic.Int64 // instances with a lower index read the log
	failedAppends  atomic.Int64
	copyLatency    latencyRecorder
}

// latencyRecorder collects the latencies of copies to witnesses.
type latencyRecorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func (t *latencyRecorder) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.histogram = hdrhistogram.New(1, time.Minute.Microseconds(), 2)
}

func (t *latencyRecorder) record(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.histogram.RecordValue(min(d, time.Minute).Microseconds())
}

func (t *latencyRecorder) percentile(q float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.histogram.ValueAtQuantile(q)) * time.Microsecond
}

// startFleet starts n instances with a shared log and instance list.
func startFleet(ctx context.Context, n int, o CapacityOptions) (*fleet, error) {
	f := &fleet{log: standin.NewLog(time.Now), scope: tally.NewTestScope("", nil)}
	f.ctx, f.cancel = context.WithCancel(ctx)
	f.logReaderCount.Store(int64(n))
	f.copyLatency.reset()
	list := standin.NewInstanceList()
	for i := range n {
		m := &fleetInstance{failedAppends: &f.failedAppends, copyLatency: &f.copyLatency}
		m.grouper = peer.NewBatchAppender(f.log, concatenateRecords, func(stream string) time.Duration { return m.BatchInterval(stream) })
		s := peer.DefaultSettings(fmt.Sprintf("instance-%04d", i), fmt.Sprintf("zone-%d", i%7), netip.MustParseAddrPort("127.0.0.1:0"))
		s.Seed, s.BytesPerSecond = o.Seed+uint64(i), o.ControlBudget
		m.Service = peer.New(s, peer.Hooks{List: list, WitnessStore: &countingCopyStore{}, Appender: m.grouper}, zap.NewNop(), f.scope)
		if err := m.Start(ctx); err != nil {
			f.close()
			return nil, err
		}
		f.instances = append(f.instances, m)
		list.Put(platform.Instance{ID: s.ID, Role: platform.RoleRouter, AvailabilityZone: s.Zone, Address: m.Address()})
		f.readers.Go(func() { f.followConfig(i, m) })
	}
	return f, nil
}

func concatenateRecords(_ string, records [][]byte) ([]byte, error) {
	return bytes.Join(records, nil), nil
}

func (f *fleet) close() {
	f.cancel()
	f.readers.Wait()
	var wg sync.WaitGroup
	for _, m := range f.instances {
		wg.Go(func() {
			m.Stop()
			m.grouper.Close()
		})
	}
	wg.Wait()
}

// followConfig reads the config stream and reports each read to the peer service, as an instance does.
func (f *fleet) followConfig(i int, m *fleetInstance) {
	for f.ctx.Err() == nil {
		if int64(i) >= f.logReaderCount.Load() {
			sleep(f.ctx, 10*time.Millisecond)
			continue
		}
		sent := time.Now()
		p, err := f.log.Read(f.ctx, configStream, platform.Offset(m.appliedOffset.Load()), 100, configReadWait)
		if err != nil || int64(i) >= f.logReaderCount.Load() {
			continue
		}
		m.appliedOffset.Store(uint64(p.End))
		m.ReportLogRead(sent, p.End)
		m.ReportApplied(p.End)
	}
}

// generateLoad appends bills and claims at the configured rates until ctx ends. Each bill is copied to a witness first
// and released after the append.
func (f *fleet) generateLoad(ctx context.Context, o CapacityOptions) {
	var wg sync.WaitGroup
	for i, m := range f.instances {
		r := rand.New(rand.NewPCG(o.Seed, uint64(i)))
		wg.Go(func() {
			var appends sync.WaitGroup
			nextBill, nextClaim := exponentialInterval(r, o.BillsPerSecond), exponentialInterval(r, o.ClaimsPerSecond)
			at := time.Now()
			for ctx.Err() == nil {
				step := min(nextBill, nextClaim)
				nextBill, nextClaim = nextBill-step, nextClaim-step
				at = at.Add(step)
				sleep(ctx, time.Until(at))
				if nextBill <= 0 {
					nextBill = exponentialInterval(r, o.BillsPerSecond)
					b := record.Bill{Organisation: "lysror", Key: randomKey(r), Profile: "report", Version: "model@1", Input: 4000, Output: 350, Cost: 912, Issued: time.Now(), Instance: fmt.Sprintf("instance-%04d", i)}
					appends.Go(func() { m.appendBill(f.ctx, b) })
				}
				if nextClaim <= 0 {
					nextClaim = exponentialInterval(r, o.ClaimsPerSecond)
					stream := fmt.Sprintf("claims-%02d", r.IntN(16))
					appends.Go(func() { m.appendRecord(f.ctx, stream, claimLogBytes) })
				}
			}
			appends.Wait()
		})
	}
	wg.Wait()
}

// appendBill copies a bill to a witness, appends it and releases the copy.
func (m *fleetInstance) appendBill(ctx context.Context, b record.Bill) {
	began := time.Now()
	if err := m.Witness().HoldBill(ctx, b); err != nil {
		m.failedAppends.Add(1)
	}
	m.copyLatency.record(time.Since(began))
	m.appendRecord(ctx, "bills", billLogBytes)
	m.Witness().ReleaseBills([]peer.BillID{{Organisation: b.Organisation, Key: b.Key}})
}

func (m *fleetInstance) appendRecord(ctx context.Context, stream string, size int) {
	if _, err := m.Append(ctx, stream, make([]byte, size)); err != nil {
		m.failedAppends.Add(1)
	}
}

func exponentialInterval(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
}

// randomKey returns a random key in the form of a UUID of version 7.
func randomKey(r *rand.Rand) string {
	a, b := r.Uint64(), r.Uint64()
	return fmt.Sprintf("%08x-%04x-7%03x-%04x-%012x", uint32(a>>32), uint16(a>>16), uint16(a)&0xfff, uint16(b>>48)&0x3fff|0x8000, b&0xffffffffffff)
}

// counterSnapshot holds the values of a fleet's counters at one time.
type counterSnapshot struct {
	at       time.Time
	bytes    []int64
	messages int64
	cpu      time.Duration
	appends  int64
}

func (f *fleet) snapshot() counterSnapshot {
	r := counterSnapshot{at: time.Now(), cpu: processCPUTime(), appends: f.log.AppendCount()}
	for _, m := range f.instances {
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

// ratesBetween returns the rates per second between two snapshots: mean and maximum bytes of an instance, messages and
// processor time per instance, and appends of the whole fleet.
func ratesBetween(a, b counterSnapshot) (meanBytes, maxBytes, messages, cpu, appends float64) {
	s := b.at.Sub(a.at).Seconds()
	n := float64(len(a.bytes))
	for i := range a.bytes {
		v := float64(b.bytes[i]-a.bytes[i]) / s
		meanBytes += v / n
		maxBytes = max(maxBytes, v)
	}
	return meanBytes, maxBytes, float64(b.messages-a.messages) / s / n, (b.cpu - a.cpu).Seconds() / s / n, float64(b.appends-a.appends) / s
}

func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// measureFleet starts n instances and measures them without load, then how fast a config record reaches all of them,
// and then under load.
func measureFleet(ctx context.Context, n int, o CapacityOptions) (fleetMeasurement, error) {
	m := fleetMeasurement{size: n}
	baseMemory := memoryInUse()
	f, err := startFleet(ctx, n, o)
	if err != nil {
		return m, err
	}
	defer f.close()
	sleep(ctx, o.SettleTime)
	before := f.snapshot()
	sleep(ctx, o.MeasureTime)
	m.idleBytes, _, m.idleMessages, m.idleCPU, _ = ratesBetween(before, f.snapshot())
	m.memory = max(0, memoryInUse()-baseMemory) / float64(n)
	if m.logPropagation, err = f.measurePropagation(ctx, false); err != nil {
		return m, err
	}
	f.logReaderCount.Store(1)
	sleep(ctx, 2*configReadWait) // let pending reads end
	if m.peerPropagation, err = f.measurePropagation(ctx, true); err != nil {
		return m, err
	}
	f.logReaderCount.Store(int64(n))
	loaded, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		f.generateLoad(loaded, o)
		close(done)
	}()
	sleep(ctx, o.WarmUp)
	f.copyLatency.reset()
	before = f.snapshot()
	sleep(ctx, o.MeasureTime)
	m.copyLatencyP50, m.copyLatencyP99 = f.copyLatency.percentile(50), f.copyLatency.percentile(99)
	m.loadBytes, m.maxLoadBytes, _, m.loadCPU, m.appends = ratesBetween(before, f.snapshot())
	cancel()
	<-done
	m.failedAppends = f.failedAppends.Load()
	return m, nil
}

// measurePropagation appends a config record and returns the time until all instances know its offset. With fromPeers it
// counts what instances learned from peers, otherwise what they read from the log.
func (f *fleet) measurePropagation(ctx context.Context, fromPeers bool) (time.Duration, error) {
	began := time.Now()
	o, err := f.log.Append(ctx, configStream, []byte("{}"))
	if err != nil {
		return 0, err
	}
	deadline, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	for _, m := range f.instances {
		for !m.hasRecord(deadline, o, fromPeers) {
			if deadline.Err() != nil {
				return 0, fmt.Errorf("config record %d did not reach all instances: %w", o, deadline.Err())
			}
			sleep(deadline, 2*time.Millisecond)
		}
	}
	return time.Since(began), nil
}

func (m *fleetInstance) hasRecord(ctx context.Context, o platform.Offset, fromPeers bool) bool {
	if !fromPeers {
		return m.appliedOffset.Load() > uint64(o)
	}
	next, err := m.KnownConfigEnd(ctx)
	return err == nil && next > o
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
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
