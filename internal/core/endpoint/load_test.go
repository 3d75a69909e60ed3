package endpoint

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLoadDecaysToZoneMean guards against treating an endpoint without a fresh report as idle. Its load must be close
// to the mean of its availability zone, even when no endpoint there has reported for a while.
func TestLoadDecaysToZoneMean(t *testing.T) {
	instances := engineInstances(21, 1) // three in each availability zone
	table := newTestTable(instances)
	now := epoch
	for range 50 { // 5 s of reports from all but the last endpoint of zone-0
		now = now.Add(100 * time.Millisecond)
		for _, i := range instances[:14] {
			table.Apply(now, RequestAnswered{Endpoint: table.Handle(i.ID), Report: Report{Time: now, Load: 20, Slots: 32}})
		}
		table.Apply(now, Tick{})
	}
	decayRate := 0.5 / float64(table.settings.ReportHalfWeightAge)
	load := func() float64 {
		z := table.View().versions["m@0"].zones[0]
		return z.members[2].counters.load(now.UnixNano(), decayRate, z.meanLoad())
	}
	if got := load(); got < 19 || got > 20 {
		t.Errorf("load of an endpoint without reports is %.1f, want 19 to 20 as in its availability zone", got)
	}
	for range 30 { // 3 s without a report
		now = now.Add(100 * time.Millisecond)
		table.Apply(now, Tick{})
	}
	if got := load(); got < 12 {
		t.Errorf("load is %.1f after 3 s without reports, want more than half of 20", got)
	}
}

// TestCacheHintsAreBounded guards against growth of the memory for hints, hints for a removed endpoint, and removals of
// hints that do not exist.
func TestCacheHintsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hints := newCacheHints(32)
		size := len(hints.words)
		added := map[uint64]Handle{}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			p := rapid.Uint64().Draw(t, "prefix")
			e := Handle(rapid.IntRange(1, 9).Draw(t, "endpoint"))
			if rapid.Bool().Draw(t, "evicted") {
				hints.remove(p, e)
				if got := hints.lookup(p); slices.Contains(got[:], e) {
					t.Fatalf("endpoint %d is still a hint for %x", e, p)
				}
				continue
			}
			hints.add(p, e)
			added[p] = e
			if got := hints.lookup(p); !slices.Contains(got[:], e) {
				t.Fatalf("endpoint %d is not a hint for %x after it was added", e, p)
			}
		}
		if len(hints.words) != size || size != 32 {
			t.Fatalf("%d words, want 32", len(hints.words))
		}
		hints.removeEndpoint(3)
		for p := range added {
			if got := hints.lookup(p); slices.Contains(got[:], 3) {
				t.Fatalf("a removed endpoint is still a hint for %x", p)
			}
		}
	})
}

// TestCapacityFactorFollowsWait guards the adjustment of the capacity factor: it falls to its lower bound while the
// reported wait is too long, and returns to 1 when the wait is short.
func TestCapacityFactorFollowsWait(t *testing.T) {
	s := DefaultAdmissionSettings(1)
	a := NewAdmissionController(s)
	now, factor := epoch, 1.0
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		a.RecordReportedWait(now, "m@1", 2*s.MaxWait)
		a.UpdateLoad(now, "m@1", 100, 100)
		if f := a.pool("m@1").capacityFactor; f > factor || f < s.MinCapacityFactor {
			t.Fatalf("capacity factor %.2f after %.2f while the wait is long", f, factor)
		}
		factor = a.pool("m@1").capacityFactor
	}
	if factor != s.MinCapacityFactor {
		t.Errorf("capacity factor %.2f after 30 s of long waits, want %.2f", factor, s.MinCapacityFactor)
	}
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		a.RecordReportedWait(now, "m@1", 0)
		a.UpdateLoad(now, "m@1", 100, 10)
	}
	if factor = a.pool("m@1").capacityFactor; factor != 1 {
		t.Errorf("capacity factor %.2f after 30 s of short waits, want 1", factor)
	}
}
