package cascade

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// rating returns the outcome of a rated answer that was accepted or rejected.
func rating(version string, at time.Time, pass bool) Outcome {
	o := Outcome{Class: "c", Version: version, CompletedAt: at, Rated: true, MinScore: 0.5}
	if pass {
		o.Score = 1
	}
	return o
}

// Estimates must not depend on the order in which late ratings arrive.
func TestObserveInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l []Outcome
		for _, m := range rapid.SliceOfN(rapid.IntRange(0, 120), 1, 25).Draw(t, "minutes") {
			l = append(l, rating("m@1", epoch.Add(time.Duration(m)*time.Minute), m%4 != 0))
		}
		now := epoch.Add(3 * time.Hour)
		passRate := func(l []Outcome) float64 {
			b := NewEstimator(Settings{})
			for _, o := range l {
				b.Observe(now, o)
			}
			h, _ := b.Estimates(now).Health("c", "m@1")
			return h.PassRate
		}
		if a, b := passRate(l), passRate(rapid.Permutation(l).Draw(t, "order")); math.Abs(a-b) > 1e-9 {
			t.Fatalf("pass rate is %v in order and %v out of order", a, b)
		}
	})
}

// A version must lose trust when its pass rate drops and when it gets no more ratings.
func TestTrustEnds(t *testing.T) {
	for name, c := range map[string]struct {
		ratings int
		pass    bool
		later   bool
		wait    time.Duration
		want    string
	}{
		"pass rate stays high":            {20, true, false, 0, "mid@1"},
		"pass rate drops":                 {20, false, false, 0, "best@1"},
		"pass rate drops as a later step": {40, false, true, 0, "best@1"},
		"ratings are too old":             {0, true, false, 6 * time.Minute, "best@1"},
	} {
		b := NewEstimator(Settings{})
		now := epoch
		for range 1500 {
			b.Observe(now, rating("mid@1", now, true))
			o := rating("mid@1", now, true)
			o.Predecessor = MultiplePredecessors
			b.Observe(now, o)
		}
		for range c.ratings {
			o := rating("mid@1", now, c.pass)
			if c.later {
				o.Predecessor = MultiplePredecessors
			}
			b.Observe(now, o)
		}
		now = now.Add(c.wait)
		r := request("mid@1", "best@1")
		r.RaterAvailable = false
		if got := names(b.Estimates(now).Plan(r, noExploration)); got != c.want {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
}

// Each digest of a peer must count exactly once if digests are repeated, reordered or lost.
func TestMergeOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := NewEstimator(Settings{})
		var sent []Digest
		for i := range rapid.IntRange(1, 10).Draw(t, "digests") {
			from.Observe(epoch, rating("m@1", epoch, i%3 != 0))
			d, _ := from.Digest(epoch)
			sent = append(sent, d)
		}
		b, merged := NewEstimator(Settings{}), map[uint64]bool{}
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(sent)-1), 1, 40).Draw(t, "deliveries") {
			d := sent[i]
			if got := b.Merge(epoch, "peer/1", d); got == merged[d.Sequence] {
				t.Fatalf("digest %d: merged %v, merged before %v", d.Sequence, got, merged[d.Sequence])
			}
			merged[d.Sequence] = true
		}
		if h, _ := b.Estimates(epoch).Health("c", "m@1"); h.Ratings != float64(len(merged)) {
			t.Fatalf("%v ratings count, want %d", h.Ratings, len(merged))
		}
		if _, ok := b.Digest(epoch); ok {
			t.Fatal("a digest contains merged outcomes, which would count twice at a third instance")
		}
	})
}

// The limits on memory and on the size of a digest must hold.
func TestBounds(t *testing.T) {
	b := NewEstimator(Settings{MaxClasses: 8})
	for i := range 10000 {
		now := epoch.Add(time.Duration(i) * time.Second)
		o := rating("m@1", now, true)
		o.Class = RequestClass("p", 1) + string(rune('a'+i%1000))
		b.Observe(now, o)
		b.Merge(now, string(rune(i)), Digest{Sequence: 1})
	}
	d, _ := b.Digest(epoch)
	if len(b.classes) > 8 || len(b.pending) > maxPendingItems || len(b.peers) > maxPeers || len(d.Items) > maxDigestItems {
		t.Errorf("%d classes, %d pending items, %d peers, %d items in a digest", len(b.classes), len(b.pending), len(b.peers), len(d.Items))
	}
}

// A view must not change when later outcomes are observed.
func TestViewIsImmutable(t *testing.T) {
	b := NewEstimator(Settings{})
	b.Observe(epoch, rating("m@1", epoch, true))
	v := b.Estimates(epoch)
	before, _ := v.Health("c", "m@1")
	for range 100 {
		b.Observe(epoch, rating("m@1", epoch, false))
		b.Estimates(epoch)
	}
	if after, _ := v.Health("c", "m@1"); after != before {
		t.Errorf("health changed from %+v to %+v", before, after)
	}
}

// Checks the invariants allowed-version and withdrawn-version over random catalog histories: plans contain only versions
// that the catalog allows.
func TestCandidatesAllowed(t *testing.T) {
	versions := []string{"cheap@1", "cheap@2", "best@1", "best@2"}
	kinds := []record.Kind{record.VersionRollOut, record.VersionAdvance, record.VersionPause, record.VersionResume, record.VersionHalt, record.VersionWithdraw}
	rapid.Check(t, func(t *rapid.T) {
		c := config.NewCatalog()
		apply := func(ch record.Change) {
			ch.Base = c.Versions[ch.Name].Revision
			c, _ = c.Apply(c.Next, epoch, ch)
		}
		c, _ = c.Apply(0, epoch, record.Change{Kind: record.ProfilePublish, Name: "p", Profile: &record.Profile{
			Name: "p", Allow: rapid.SampledFrom([][]string{{"cheap@*", "best@*"}, {"cheap@2", "best@*"}, {"best@*", "best@1"}}).Draw(t, "allow"),
			Safe: "best@*", Quality: record.Quality{Share: 0.9, MinScore: 0.5}, MaxCost: 1000, Deadline: 1,
		}})
		for _, v := range versions {
			apply(record.Change{Kind: record.VersionAdd, Name: v, Version: &record.Version{Name: v, Price: price(v)}})
		}
		t.Repeat(map[string]func(*rapid.T){
			"move": func(t *rapid.T) {
				v := rapid.SampledFrom(versions).Draw(t, "version")
				stages := []record.Stage{{Share: 0.1, MinSamples: 1}, {Share: 0.5, MinSamples: 1}}
				apply(record.Change{
					Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Name: v, Stage: c.Versions[v].Stage + 1,
					RollOut: &record.RollOut{Stages: stages[:rapid.IntRange(0, 2).Draw(t, "stages")]},
				})
			},
			"": func(t *rapid.T) {
				r := request()
				r.Candidates = Candidates(c, "p")
				r.InSession = rapid.Bool().Draw(t, "session")
				p := NewEstimator(Settings{}).Estimates(epoch).Plan(r, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
				safe := slices.DeleteFunc(slices.Clone(r.Candidates), func(d Candidate) bool { return !d.Safe })
				if len(safe) > 1 || (len(safe) == 0) != (p.Problem != "") {
					t.Fatalf("safe versions %v, problem %q", safe, p.Problem)
				}
				for i, s := range p.Steps {
					if !c.IsAllowed("p", s.Version) {
						t.Fatalf("step %s is not allowed", s.Version)
					}
					if i == len(p.Steps)-1 && c.Versions[s.Version].State != config.StateActive {
						t.Fatalf("final step %s is %s", s.Version, c.Versions[s.Version].State)
					}
				}
				for _, v := range versions {
					if l := PinnedCandidates(c, "p", v); (len(l) == 1) != c.IsAllowed("p", v) {
						t.Fatalf("pinned %s: %v", v, l)
					}
				}
			},
		})
	})
}

// The decaying counts must match a plain sum over the whole history when time advances in jumps and ratings arrive late.
func TestEstimatorAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Defaults()
		b, now := NewEstimator(s), epoch
		var history []Outcome
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3600).Draw(t, "seconds")) * time.Second)
			},
			"rate": func(t *rapid.T) {
				if len(history) >= int(s.MinSamples) {
					return // more ratings may raise an alarm, which the plain sum does not model
				}
				late := time.Duration(rapid.IntRange(0, 7200).Draw(t, "seconds late")) * time.Second
				o := rating("m@1", now.Add(-late), rapid.Bool().Draw(t, "pass"))
				b.Observe(now, o)
				history = append(history, o)
			},
			"call": func(t *rapid.T) {
				b.Observe(now, Outcome{Class: "c", Version: "m@1", Failed: rapid.Bool().Draw(t, "failed"), Completed: true, Latency: time.Second})
			},
			"": func(t *rapid.T) {
				pass, total := 1.0, 2.0
				for _, o := range history {
					w := math.Exp2(-now.Sub(o.CompletedAt).Minutes() / s.HalfLife.Minutes())
					total += w
					pass += w * o.Score
				}
				h, ok := b.Estimates(now).Health("c", "m@1")
				// An estimate may be MaxRatingAge/4 old. With a half-life of 30 min, 75 s change a weight by 3 % and
				// the pass rate by less than 0.01.
				if ok && math.Abs(h.PassRate-pass/total) > 0.01 {
					t.Fatalf("pass rate is %v, plain sum gives %v", h.PassRate, pass/total)
				}
				if h.PassRateLow > h.PassRate || h.PassRate < 0 || h.PassRate > 1 || h.ErrorRate < 0 || h.ErrorRate > 1 {
					t.Fatalf("health %+v", h)
				}
			},
		})
	})
}

func BenchmarkView(b *testing.B) {
	l := NewEstimator(Settings{})
	outcome := func(i int) Outcome {
		o := rating("m@"+string(rune('a'+i%19)), epoch, i%20 > 0)
		o.Class = "p/" + string(rune(i%512))
		return o
	}
	for i := range 512 * 19 {
		l.Observe(epoch, outcome(i))
	}
	b.ReportAllocs()
	for i := range b.N {
		for j := range 9 { // outcomes of an instance in 250 ms at 34 requests/s
			l.Observe(epoch, outcome(i*9+j))
		}
		l.Estimates(epoch)
	}
}
