package endpoint

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRetryRatio guards the fleet's retry ratio, the attempts of each request and the deadline under any order of
// calls.
func TestRetryRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultRetrySettings(1)
		r, now := NewRetryBudget(s), epoch
		firsts, retries := 0, 0
		deadline := epoch.Add(time.Minute)
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			a := r.RecordFirstAttempt()
			firsts++
			for range rapid.IntRange(0, 6).Draw(t, "failures") {
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
				if !r.TakeRetry(now, &a, deadline, 50*time.Millisecond) {
					continue
				}
				retries++
				if a.used > s.MaxAttempts {
					t.Fatalf("%d attempts of one request", a.used)
				}
				if !now.Add(50 * time.Millisecond).Before(deadline) {
					t.Fatalf("a retry was allowed %v before the deadline", deadline.Sub(now))
				}
			}
		}
		floor := int(now.Sub(epoch)/s.FloorInterval) + 1
		if limit := s.RetryRatio*float64(firsts) + float64(floor); float64(retries) > limit {
			t.Fatalf("%d retries of %d first attempts, limit %.1f", retries, firsts, limit)
		}
	})
}

// TestFairShares guards weighted max-min fairness: the whole budget is used if there is enough demand, an organisation
// below its demand has no smaller allotment per share than another of its priority, and a lower priority gets nothing
// while a higher one lacks capacity.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &admissionPool{organisations: map[string]*organisationUsage{}, demandPerShed: 0.5}
		n := rapid.IntRange(1, 8).Draw(t, "organisations")
		demand := 0.0
		for i := range n {
			u := p.organisationUsage(AdmissionRequest{
				Organisation: fmt.Sprint(i), Weight: rapid.IntRange(0, 5).Draw(t, "share"),
				Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
			})
			u.meanRunning, u.recentSheds = rapid.Float64Range(0, 20).Draw(t, "mean"),
				rapid.Float64Range(0, 20).Draw(t, "shed")
			demand += p.demand(u)
		}
		budget := rapid.Float64Range(1, 100).Draw(t, "budget")
		p.divideBudget(budget)
		used := 0.0
		for _, u := range p.organisations {
			used += min(u.allotment, p.demand(u))
			for _, other := range p.organisations {
				below := u.allotment < p.demand(u)-1e-9
				if below && other.priority == u.priority &&
					u.allotment/u.share < min(other.allotment, p.demand(other))/other.share-1e-9 {
					t.Fatalf("organisation %s has %.2f per share, organisation %s has %.2f",
						u.name, u.allotment/u.share, other.name, other.allotment/other.share)
				}
				if below && other.priority < u.priority && min(other.allotment, p.demand(other)) > 1e-9 {
					t.Fatalf("priority %d gets %.2f while priority %d lacks capacity",
						other.priority, other.allotment, u.priority)
				}
			}
		}
		if want := min(budget, demand); math.Abs(used-want) > 1e-6 {
			t.Fatalf("%.3f of the budget is used, want %.3f", used, want)
		}
	})
}

// TestAdmit guards the reasons for shedding. The caller reports each of them as "not run".
func TestAdmit(t *testing.T) {
	for name, c := range map[string]struct {
		slots, load float64
		deadline    time.Duration
		priority    int
		want        ShedReason
	}{
		"room":           {32, 10, time.Minute, 0, Admitted},
		"no endpoint":    {0, 0, time.Minute, 0, ShedCapacity},
		"long queue":     {32, 320, time.Second, 2, ShedWait},
		"share used":     {32, 64, time.Minute, 1, ShedShare},
		"lower priority": {32, 64, time.Minute, 0, ShedPriority},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewAdmissionController(DefaultAdmissionSettings(1))
			for range 40 {
				a.Admit(epoch, AdmissionRequest{Pool: "m@1", Organisation: "high", Priority: 1})
			}
			for range 8 {
				a.Admit(epoch, AdmissionRequest{Pool: "m@1", Organisation: "low"})
				a.Admit(epoch, AdmissionRequest{Pool: "m@1", Organisation: "top", Priority: 2})
			}
			for range 20 {
				a.RecordCompletion("m@1", "top", time.Second)
				a.Admit(epoch, AdmissionRequest{Pool: "m@1", Organisation: "top", Priority: 2})
			}
			for i := range 100 {
				a.UpdateLoad(epoch.Add(time.Duration(i)*time.Second), "m@1", c.slots, c.load)
			}
			organisation := map[int]string{0: "low", 1: "high", 2: "top"}[c.priority]
			got := a.Admit(epoch, AdmissionRequest{
				Pool: "m@1", Organisation: organisation, Priority: c.priority, Deadline: epoch.Add(c.deadline),
			})
			if got != c.want {
				t.Errorf("reason %q, want %q", got, c.want)
			}
		})
	}
}

// TestHedge guards which requests are hedged, after which delay, and how often.
func TestHedge(t *testing.T) {
	s := DefaultHedgeSettings()
	h := NewHedger(s)
	for i := range 200 {
		h.RecordLatency(epoch, "m@1", time.Duration(i+1)*time.Millisecond)
	}
	for name, c := range map[string]struct {
		pool       string
		idempotent bool
		weight     float64
		left       time.Duration
		want       bool
	}{
		"latency weighted": {"m@1", true, 1, time.Minute, true},
		"cost weighted":    {"m@1", true, 0, time.Minute, false},
		"not idempotent":   {"m@1", false, 1, time.Minute, false},
		"unknown pool":     {"m@2", true, 1, time.Minute, false},
		"deadline":         {"m@1", true, 1, 150 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			d, ok := h.CopyDelay(epoch, c.pool, c.idempotent, c.weight, epoch.Add(c.left))
			if ok != c.want || (ok && (d < 185*time.Millisecond || d > 195*time.Millisecond)) {
				t.Errorf("delay %v, allowed %v; want %v near 190ms", d, ok, c.want)
			}
		})
	}
	copies := 0
	for range 1000 {
		if a := h.RecordFirstAttempt(); h.TakeCopy(epoch, &a, time.Time{}) {
			copies++
		}
	}
	if copies != int(1000*s.CopyRatio) {
		t.Errorf("%d copies of 1000, want %v", copies, 1000*s.CopyRatio)
	}
}

// TestMoveCost guards the break-even length and the rule that a move must end before the old endpoint stops.
func TestMoveCost(t *testing.T) {
	s := DefaultKVMoveSettings()
	n := KVMoveBreakEvenTokens(s)
	for name, c := range map[string]struct {
		tokens, hit int
		left        time.Duration
		want        bool
	}{
		"below the break-even": {n - 20, 0, time.Minute, false},
		"above the break-even": {n + 20, 0, time.Minute, true},
		"mostly cached":        {n + 1000, n + 900, time.Minute, false},
		"stops too early":      {n + 20, 0, 10 * time.Millisecond, false},
		"nothing to move":      {0, 0, time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			if m := EstimateKVMove(s, c.tokens, c.hit, c.left); m.PreferMove != c.want {
				t.Errorf("estimate %+v, want cached %v", m, c.want)
			}
		})
	}
}
