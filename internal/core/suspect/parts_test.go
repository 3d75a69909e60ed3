package suspect

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newRefusal returns a registry that refuses the part "deadly", which came with the part "companion".
func newRefusal(instance string) *PartRegistry {
	r := NewPartRegistry(DefaultPartSettings(instance))
	for i := range 5 {
		r.RecordDeath(epoch.Add(time.Duration(i)*time.Second), uint64(i+1), fmt.Sprint("request-", i), []string{"companion", "deadly"})
		r.RecordResponse(epoch.Add(time.Duration(i)*time.Second), []string{"another"})
	}
	r.Evaluate(epoch.Add(6 * time.Second))
	return r
}

// TestPartVerdict guards against the refusal of parts that other causes explain.
func TestPartVerdict(t *testing.T) {
	const second = time.Second
	died := func(r *PartRegistry, at time.Duration, process uint64, request string, ids ...string) {
		r.RecordDeath(epoch.Add(at), process, request, ids)
	}
	for name, c := range map[string]struct {
		do   func(r *PartRegistry)
		want PartVerdict
	}{
		"three deaths of three requests": {func(r *PartRegistry) {
			died(r, 0, 1, "a", "x")
			died(r, second, 2, "b", "x")
			died(r, 2*second, 3, "c", "x")
		}, PartsRefused},
		"three deaths of one request": {func(r *PartRegistry) {
			died(r, 0, 1, "a", "x")
			died(r, second, 2, "a", "x")
			died(r, 2*second, 3, "a", "x")
		}, PartsAllowed},
		"two deaths": {func(r *PartRegistry) {
			died(r, 0, 1, "a", "x")
			died(r, second, 2, "b", "x")
		}, PartsAllowed},
		"one death, reported by three requests": {func(r *PartRegistry) {
			died(r, 0, 1, "a", "x")
			died(r, 0, 1, "b", "x")
			died(r, 0, 1, "c", "x")
		}, PartsAllowed},
		"a zone fails": {func(r *PartRegistry) {
			for i := range 6 {
				died(r, time.Duration(i)*time.Millisecond, uint64(i+1), fmt.Sprint(i), "x")
			}
		}, PartsAllowed},
		"a response in between": {func(r *PartRegistry) {
			died(r, 0, 1, "a", "x")
			died(r, second, 2, "b", "x")
			r.RecordResponse(epoch.Add(1500*time.Millisecond), []string{"x", "y"})
			died(r, 5*second, 3, "c", "x")
		}, PartsAllowed},
		"a response shortly before": {func(r *PartRegistry) {
			r.RecordResponse(epoch, []string{"x"})
			for i := range 4 {
				died(r, time.Duration(i)*second/2, uint64(i+1), fmt.Sprint(i), "x")
			}
		}, PartsAllowed},
		"another part explains the deaths": {func(r *PartRegistry) {
			for i := range 5 {
				died(r, time.Duration(i)*second/2, uint64(i+1), fmt.Sprint(i), "deadly")
				if i < 3 {
					died(r, time.Duration(i)*second/2, uint64(i+1), fmt.Sprint("beside-", i), "x")
				}
			}
		}, PartsAllowed},
		"a more specific part explains them": {func(r *PartRegistry) {
			for i := range 4 {
				died(r, time.Duration(i)*second/2, uint64(i+1), fmt.Sprint(i), "x", "deadly")
			}
			died(r, 3*second, 9, "beside", "x")
		}, PartsAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewPartRegistry(DefaultPartSettings("a"))
			for range 100 {
				r.RecordResponse(epoch.Add(-time.Second), []string{"another"})
			}
			c.do(r)
			for range 20 {
				r.RecordResponse(epoch.Add(2500*time.Millisecond), []string{"another"})
			}
			r.Evaluate(epoch.Add(4 * time.Second))
			if v, m := r.Verdict(epoch.Add(4*time.Second), []string{"x"}); v != c.want {
				t.Errorf("verdict %d, want %d; mark %+v", v, c.want, m)
			}
		})
	}
}

// TestOutageRefusesNothing guards against the refusal of the parts that all requests share while no request is served.
func TestOutageRefusesNothing(t *testing.T) {
	r := NewPartRegistry(DefaultPartSettings("a"))
	for i := range 30 {
		now := epoch.Add(time.Duration(i) * time.Second)
		r.RecordDeath(now, uint64(i), fmt.Sprint(i), []string{"first", fmt.Sprint("subject-", i%3)})
		if l := r.Evaluate(now); len(l) > 0 {
			t.Fatalf("refuses %v", l)
		}
	}
}

// TestCompanionsServed guards against the refusal of requests that share only the harmless parts of a prompt.
func TestCompanionsServed(t *testing.T) {
	r, now := newRefusal("a"), epoch.Add(7*time.Second)
	check := func(want PartVerdict, ids ...string) {
		t.Helper()
		if v, _ := r.Verdict(now, ids); v != want {
			t.Errorf("verdict %d on %v, want %d", v, ids, want)
		}
	}
	check(PartsRefused, "companion", "deadly")
	check(PartsAllowed, "companion")
	check(PartsAllowed, "companion", "other")
	r.RecordResponse(now, []string{"companion", "other"})
	r.Evaluate(now)
	check(PartsRefused, "other", "deadly")
	check(PartsAllowed, "companion")
}

// TestPartTrial guards against a refusal that never ends and against one whose end costs a series of crashes.
func TestPartTrial(t *testing.T) {
	r, peer := newRefusal("a"), NewPartRegistry(DefaultPartSettings("b"))
	ids := []string{"companion", "deadly"}
	now := epoch.Add(6 * time.Second)
	for _, m := range r.TakeChanged(now, 100) {
		peer.Merge(now, m)
	}
	for trial, wait := range []time.Duration{time.Minute, 2 * time.Minute, 4 * time.Minute} {
		for _, p := range []*PartRegistry{r, peer} {
			if v, _ := p.Verdict(now.Add(wait-time.Second), ids); v != PartsRefused {
				t.Fatalf("trial %d: verdict %d before it is due", trial, v)
			}
		}
		now = now.Add(wait)
		v, m := r.Verdict(now, ids)
		if v != PartsOnTrial {
			t.Fatalf("trial %d: verdict %d when it is due", trial, v)
		}
		record, ok := r.StartTrial(now, m.Part)
		if !ok {
			t.Fatalf("trial %d is not granted", trial)
		}
		peer.Merge(now, record)
		for _, p := range []*PartRegistry{r, peer} {
			if _, ok := p.StartTrial(now, m.Part); ok {
				t.Fatalf("trial %d is granted twice", trial)
			}
		}
	}
	r.RecordResponse(now.Add(time.Second), ids)
	for _, m := range r.TakeChanged(now, 100) {
		peer.Merge(now.Add(time.Second), m)
	}
	for _, p := range []*PartRegistry{r, peer} {
		if v, _ := p.Verdict(now.Add(time.Second), ids); v != PartsAllowed {
			t.Errorf("verdict %d after a response", v)
		}
	}
}

// TestPartFlood guards against memory that grows with made-up parts, and against the loss of a refusal to them.
func TestPartFlood(t *testing.T) {
	r := newRefusal("a")
	s := DefaultPartSettings("a")
	for i := range 3 * s.MaxParts {
		now := epoch.Add(7*time.Second + time.Duration(i)*time.Millisecond)
		ids := make([]string, 0, 2*s.MaxPromptParts)
		for k := range 2 * s.MaxPromptParts {
			ids = append(ids, fmt.Sprint("made-up-", i, "-", k))
		}
		if i%16 == 0 {
			r.RecordDeath(now, uint64(100+i), fmt.Sprint(i), ids)
		}
		r.RecordResponse(now, ids[:4])
		if len(r.marks) > s.MaxParts || len(r.harmlessAt) > s.MaxParts || len(r.changed) > s.MaxParts {
			t.Fatalf("%d marks, %d harmless parts, %d changed ones", len(r.marks), len(r.harmlessAt), len(r.changed))
		}
	}
	if v, _ := r.Verdict(epoch.Add(20*time.Second), []string{"companion", "deadly"}); v != PartsRefused {
		t.Errorf("verdict %d", v)
	}
}

// TestMarksCommute guards against instances that differ in their view because records reached them in another order, or twice.
func TestMarksCommute(t *testing.T) {
	s := DefaultPartSettings("a")
	marks := rapid.Custom(func(t *rapid.T) PartMark {
		m := PartMark{Part: 1, Generation: rapid.IntRange(0, 1).Draw(t, "generation")}
		for _, p := range rapid.SliceOfNDistinct(rapid.Uint64Range(1, 6), 0, 4, rapid.ID).Draw(t, "processes") {
			m.addDeath(EndpointDeath{Process: p, Request: p, At: epoch.Add(time.Duration(p) * time.Second)}, []PartHash{2, 3, 4}, s)
		}
		if len(m.Deaths) > 0 {
			m.retainCompanions(rapid.SliceOfDistinct(rapid.SampledFrom([]PartHash{2, 3, 4}), rapid.ID).Draw(t, "companions"))
		}
		if rapid.Bool().Draw(t, "refused") {
			m.RefusedAt, m.Trials = epoch.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "at"))*time.Minute), rapid.IntRange(0, 2).Draw(t, "trials")
		}
		return m
	})
	rapid.Check(t, func(t *rapid.T) {
		l := rapid.SliceOfN(marks, 1, 4).Draw(t, "marks")
		order := rapid.Permutation(l).Draw(t, "order")
		a, b := PartMark{Part: 1}, PartMark{Part: 1}
		for _, m := range l {
			a.merge(m, s)
		}
		for _, m := range append(order, order...) {
			b.merge(m, s)
		}
		if !a.covers(b) || !b.covers(a) || !a.RefusedAt.Equal(b.RefusedAt) {
			t.Fatalf("merged to %+v and %+v", a, b)
		}
	})
}
