package endpoint

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

var epoch = time.Unix(1_800_000_000, 0)

// engineInstances returns n engines spread evenly over 7 availability zones and the given number of versions.
func engineInstances(n, versions int) []platform.Instance {
	instances := make([]platform.Instance, 0, n)
	for i := range n {
		instances = append(instances, platform.Instance{
			ID:               fmt.Sprintf("engine-%04d", i),
			Role:             platform.RoleEngine,
			AvailabilityZone: fmt.Sprintf("zone-%d", i%7),
			Address:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000),
			Versions:         []string{fmt.Sprintf("m@%d", i/7%versions)},
		})
	}
	return instances
}

func newTestTable(instances []platform.Instance) *Table {
	t := NewTable(DefaultSettings(9))
	t.Apply(epoch, InstancesListed{instances})
	return t
}

// TestChooseAllocatesNothing guards against heap allocations on the request path with 4500 engines.
func TestChooseAllocatesNothing(t *testing.T) {
	v := newTestTable(engineInstances(4500, 19)).View()
	q := Query{Version: "m@3", Zone: "zone-2", Prefix: 99, RandomDraws: [2]float64{0.3, 0.8}, Now: epoch}
	if n := testing.AllocsPerRun(100, func() { v.Choose(q) }); n != 0 {
		t.Fatalf("Choose allocates %v times, want 0", n)
	}
}

// TestChooseDuringUpdates guards against data races on the shared counters and hints while the control goroutine
// changes the table, and against requests that stay counted after EndRequest.
func TestChooseDuringUpdates(t *testing.T) {
	table := newTestTable(engineInstances(70, 2))
	var view atomic.Pointer[View]
	view.Store(table.View())
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 2000 {
				q := Query{Version: "m@1", Zone: "zone-1", Prefix: uint64(i*g) % 7, RandomDraws: [2]float64{0.2, 0.7}, Now: epoch}
				if c, ok := view.Load().Choose(q); ok {
					c.BeginRequest(epoch)
					c.EndRequest()
				}
			}
		})
	}
	for i := range 500 {
		now, h := epoch.Add(time.Duration(i)*time.Millisecond), Handle(i%70+1)
		table.Apply(now, RequestAnswered{Endpoint: h, Report: Report{Time: now, Load: i % 40, Leaving: i%9 == 0, Adapters: []string{"a"}}})
		table.Apply(now, PrefixCacheChanged{Endpoint: h, Prefix: uint64(i % 7)})
		table.Apply(now, RequestFailed{Endpoint: h, Kind: FailConnectionLost})
		table.Apply(now, Tick{})
		view.Store(table.View())
	}
	wg.Wait()
	for _, e := range table.entries {
		if n := e.counters.outstanding.Load(); n != 0 {
			t.Errorf("%s has %d requests outstanding, want 0", e.id, n)
		}
	}
}

func benchmarkChoose(b *testing.B, q Query, versions int, full bool) {
	v := newTestTable(engineInstances(4500, versions)).View()
	for i := range v.versions["m@3"].zones {
		for _, m := range v.versions["m@3"].zones[i].members {
			m.counters.setReportedLoad(10, epoch)
			if full {
				m.counters.outstanding.Store(40)
			}
		}
	}
	q.Version, q.Zone, q.RandomDraws, q.Now = "m@3", "zone-2", [2]float64{0.3, 0.8}, epoch
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := v.Choose(q); !ok {
			b.Fatal("no endpoint was chosen")
		}
		q.Prefix *= 0x9e3779b97f4a7c15
	}
}

func BenchmarkChoose(b *testing.B) {
	b.Run("load-only", func(b *testing.B) { benchmarkChoose(b, Query{}, 19, false) })
	b.Run("prefix", func(b *testing.B) { benchmarkChoose(b, Query{Prefix: 7}, 19, false) })
	b.Run("all-zones-full", func(b *testing.B) { benchmarkChoose(b, Query{Prefix: 7}, 19, true) })
	b.Run("uneven-versions", func(b *testing.B) { benchmarkChoose(b, Query{Prefix: 7}, 5, false) })
}

func BenchmarkBuildView(b *testing.B) {
	t := newTestTable(engineInstances(4500, 19))
	b.ReportAllocs()
	for b.Loop() {
		t.view = nil
		t.View()
	}
}

func BenchmarkTick(b *testing.B) {
	t := newTestTable(engineInstances(4500, 19))
	b.ReportAllocs()
	for b.Loop() {
		t.Apply(epoch, Tick{})
	}
}

func BenchmarkAnswered(b *testing.B) {
	t := newTestTable(engineInstances(4500, 19))
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		t.Apply(now, RequestAnswered{Endpoint: 7, Started: now, Report: Report{Time: now, Load: 3, Slots: 32}})
	}
}
