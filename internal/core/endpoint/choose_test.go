package endpoint

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

var epoch = time.Unix(1_800_000_000, 0)

// fleetOf returns a list of engines spread over 7 availability zones and a number of versions.
func fleetOf(n, versions int) []platform.Instance {
	l := make([]platform.Instance, 0, n)
	for i := range n {
		l = append(l, platform.Instance{
			ID:       fmt.Sprintf("engine-%04d", i),
			Role:     platform.RoleEngine,
			Zone:     fmt.Sprintf("zone-%d", i%7),
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000),
			Versions: []string{fmt.Sprintf("m@%d", i/7%versions)},
		})
	}
	return l
}

func tableOf(l []platform.Instance) *Table {
	t := NewTable(DefaultSettings(9))
	t.Step(epoch, Listed{l})
	return t
}

// TestChooseAllocatesNothing guards the request path against garbage at the target size.
func TestChooseAllocatesNothing(t *testing.T) {
	v := tableOf(fleetOf(4500, 19)).View()
	q := Query{Version: "m@3", Zone: "zone-2", Prefix: 99, Draws: [2]float64{0.3, 0.8}, Now: epoch}
	if n := testing.AllocsPerRun(100, func() { v.Choose(q) }); n != 0 {
		t.Fatalf("Choose allocates %v times", n)
	}
}

func benchmarkChoose(b *testing.B, q Query, versions int, full bool) {
	v := tableOf(fleetOf(4500, versions)).View()
	for i := range v.versions["m@3"].zones {
		for _, m := range v.versions["m@3"].zones[i].members {
			m.count.setReport(10, epoch)
			if full {
				m.count.outstanding.Store(40)
			}
		}
	}
	q.Version, q.Zone, q.Draws, q.Now = "m@3", "zone-2", [2]float64{0.3, 0.8}, epoch
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := v.Choose(q); !ok {
			b.Fatal("no choice")
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

func BenchmarkBuild(b *testing.B) {
	t := tableOf(fleetOf(4500, 19))
	b.ReportAllocs()
	for b.Loop() {
		t.view = nil
		t.View()
	}
}

func BenchmarkTick(b *testing.B) {
	t := tableOf(fleetOf(4500, 19))
	b.ReportAllocs()
	for b.Loop() {
		t.Step(epoch, Tick{})
	}
}

func BenchmarkAnswered(b *testing.B) {
	t := tableOf(fleetOf(4500, 19))
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		t.Step(now, Answered{Endpoint: 7, Started: now, Report: Report{Time: now, Load: 3, Slots: 32}})
	}
}
