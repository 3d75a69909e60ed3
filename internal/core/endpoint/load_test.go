package endpoint

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLoadFadesToTheMean guards against taking an endpoint without a fresh report as idle: its load is that of its
// zone, also when nothing was reported in the zone for a while.
func TestLoadFadesToTheMean(t *testing.T) {
	l := fleetOf(21, 1) // three in each zone
	tab := tableOf(l)
	now := epoch
	for range 50 { // 5 s of reports from all but the last endpoint of zone-0
		now = now.Add(100 * time.Millisecond)
		for _, i := range l[:14] {
			tab.Step(now, Answered{Endpoint: tab.Handle(i.ID), Report: Report{Time: now, Load: 20, Slots: 32}})
		}
		tab.Step(now, Tick{})
	}
	fade := 0.5 / float64(tab.settings.ReportHalf)
	load := func() float64 {
		z := tab.View().versions["m@0"].zones[0]
		return z.members[2].count.load(now.UnixNano(), fade, z.average())
	}
	if got := load(); got < 19 || got > 20 {
		t.Errorf("load of a silent endpoint is %.1f among others with 20", got)
	}
	for range 30 { // 3 s without a report
		now = now.Add(100 * time.Millisecond)
		tab.Step(now, Tick{})
	}
	if got := load(); got < 12 {
		t.Errorf("load is %.1f after 3 s without reports, want more than half of 20", got)
	}
}

// TestHintsAreBounded guards the memory of cache events, and that hints of a dead endpoint and late removals of what
// is not there do no harm.
func TestHintsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHints(32)
		size := len(h.words)
		last := map[uint64]Handle{}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			p := rapid.Uint64().Draw(t, "prefix")
			e := Handle(rapid.IntRange(1, 9).Draw(t, "endpoint"))
			if rapid.Bool().Draw(t, "evicted") {
				h.remove(p, e)
				if got := h.get(p); slices.Contains(got[:], e) {
					t.Fatalf("endpoint %d is still a hint for %x", e, p)
				}
				continue
			}
			h.add(p, e)
			last[p] = e
			if got := h.get(p); !slices.Contains(got[:], e) {
				t.Fatalf("endpoint %d is no hint for %x just after its event", e, p)
			}
		}
		if len(h.words) != size || size != 32 {
			t.Fatalf("%d words, want 32", len(h.words))
		}
		h.forget(3)
		for p := range last {
			if got := h.get(p); slices.Contains(got[:], 3) {
				t.Fatalf("a forgotten endpoint is a hint for %x", p)
			}
		}
	})
}

// TestLevelFollowsTheWait guards the pool's level: it falls while the reported wait is too long, not below the
// lowest, and comes back when it is short.
func TestLevelFollowsTheWait(t *testing.T) {
	s := DefaultAdmission(1)
	a := NewAdmission(s)
	now, level := epoch, 1.0
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		a.Reported(now, "m@1", 2*s.Wait)
		a.Update(now, "m@1", 100, 100)
		if l := a.pool("m@1").level; l > level || l < s.Lowest {
			t.Fatalf("level %.2f after %.2f while the wait is long", l, level)
		}
		level = a.pool("m@1").level
	}
	if level != s.Lowest {
		t.Errorf("level %.2f after 30 s of long waits, want %.2f", level, s.Lowest)
	}
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		a.Reported(now, "m@1", 0)
		a.Update(now, "m@1", 100, 10)
	}
	if level = a.pool("m@1").level; level != 1 {
		t.Errorf("level %.2f after 30 s of short waits, want 1", level)
	}
}
