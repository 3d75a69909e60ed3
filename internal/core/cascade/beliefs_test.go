package cascade

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

func rating(version string, at time.Time, pass bool) Outcome {
	o := Outcome{Class: "c", Version: version, At: at, Rated: true, MinScore: 0.5}
	if pass {
		o.Score = 1
	}
	return o
}

// Guards against beliefs that depend on the order in which late ratings arrive.
func TestObserveInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l []Outcome
		for _, m := range rapid.SliceOfN(rapid.IntRange(0, 120), 1, 25).Draw(t, "minutes") {
			l = append(l, rating("m@1", epoch.Add(time.Duration(m)*time.Minute), m%4 != 0))
		}
		now := epoch.Add(3 * time.Hour)
		share := func(l []Outcome) float64 {
			b := New(Settings{})
			for _, o := range l {
				b.Observe(now, o)
			}
			h, _ := b.View(now).Health("c", "m@1")
			return h.Share
		}
		if a, b := share(l), share(rapid.Permutation(l).Draw(t, "order")); math.Abs(a-b) > 1e-9 {
			t.Fatalf("share is %v in order and %v out of order", a, b)
		}
	})
}

// Guards against a version that turns bad and stays trusted, and against trust that outlives the ratings.
func TestTrustEnds(t *testing.T) {
	for name, c := range map[string]struct {
		ratings int
		pass    bool
		later   bool
		wait    time.Duration
		want    string
	}{
		"still good":             {20, true, false, 0, "mid@1"},
		"turned bad":             {20, false, false, 0, "best@1"},
		"bad on hard requests":   {40, false, true, 0, "best@1"},
		"no rating for too long": {0, true, false, 6 * time.Minute, "best@1"},
	} {
		b := New(Settings{})
		now := epoch
		for range 1500 {
			b.Observe(now, rating("mid@1", now, true))
			o := rating("mid@1", now, true)
			o.After = Further
			b.Observe(now, o)
		}
		for range c.ratings {
			o := rating("mid@1", now, c.pass)
			if c.later {
				o.After = Further
			}
			b.Observe(now, o)
		}
		now = now.Add(c.wait)
		r := request("mid@1", "best@1")
		r.RaterUp = false
		if got := names(b.View(now).Plan(r, noTrial)); got != c.want {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
}

// Guards against a peer's digest that counts twice, also when digests are repeated, reordered or lost.
func TestMergeOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := New(Settings{})
		var sent []Digest
		for i := range rapid.IntRange(1, 10).Draw(t, "digests") {
			from.Observe(epoch, rating("m@1", epoch, i%3 != 0))
			d, _ := from.Digest(epoch)
			sent = append(sent, d)
		}
		b, taken := New(Settings{}), map[uint64]bool{}
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(sent)-1), 1, 40).Draw(t, "deliveries") {
			d := sent[i]
			if got := b.Merge(epoch, "peer/1", d); got == taken[d.Sequence] {
				t.Fatalf("digest %d: merged %v, merged before %v", d.Sequence, got, taken[d.Sequence])
			}
			taken[d.Sequence] = true
		}
		if h, _ := b.View(epoch).Health("c", "m@1"); h.Ratings != float64(len(taken)) {
			t.Fatalf("%v ratings count, want %d", h.Ratings, len(taken))
		}
		if _, ok := b.Digest(epoch); ok {
			t.Fatal("merged outcomes are passed on, so they would count twice at a third instance")
		}
	})
}

// Guards the bounds on memory and on the size of a digest.
func TestBounds(t *testing.T) {
	b := New(Settings{MaxClasses: 8})
	for i := range 10000 {
		now := epoch.Add(time.Duration(i) * time.Second)
		o := rating("m@1", now, true)
		o.Class = Class("p", 1) + string(rune('a'+i%1000))
		b.Observe(now, o)
		b.Merge(now, string(rune(i)), Digest{Sequence: 1})
	}
	d, _ := b.Digest(epoch)
	if len(b.classes) > 8 || len(b.own) > maxOwn || len(b.peers) > maxPeers || len(d.Items) > maxItems {
		t.Errorf("%d classes, %d own items, %d peers, %d items in a digest", len(b.classes), len(b.own), len(b.peers), len(d.Items))
	}
}

// Guards against a view that changes under a reader.
func TestViewIsImmutable(t *testing.T) {
	b := New(Settings{})
	b.Observe(epoch, rating("m@1", epoch, true))
	v := b.View(epoch)
	before, _ := v.Health("c", "m@1")
	for range 100 {
		b.Observe(epoch, rating("m@1", epoch, false))
		b.View(epoch)
	}
	if after, _ := v.Health("c", "m@1"); after != before {
		t.Errorf("health changed from %+v to %+v", before, after)
	}
}

// Guards allowed-version and withdrawn-version: plans over random histories run only what the catalog allows.
func TestCandidatesAllowed(t *testing.T) {
	versions := []string{"cheap@1", "cheap@2", "best@1", "best@2"}
	moves := []record.Kind{record.VersionRollOut, record.VersionAdvance, record.VersionPause, record.VersionResume, record.VersionHalt, record.VersionWithdraw}
	rapid.Check(t, func(t *rapid.T) {
		c := profile.New()
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
					Kind: rapid.SampledFrom(moves).Draw(t, "kind"), Name: v, Stage: c.Versions[v].Stage + 1,
					RollOut: &record.RollOut{Stages: stages[:rapid.IntRange(0, 2).Draw(t, "stages")]},
				})
			},
			"": func(t *rapid.T) {
				r := request()
				r.Candidates = Candidates(c, "p")
				r.Session = rapid.Bool().Draw(t, "session")
				p := New(Settings{}).View(epoch).Plan(r, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
				safe := slices.DeleteFunc(slices.Clone(r.Candidates), func(d Candidate) bool { return !d.Safe })
				if len(safe) > 1 || (len(safe) == 0) != (p.Problem != "") {
					t.Fatalf("safe versions %v, problem %q", safe, p.Problem)
				}
				for i, s := range p.Steps {
					if !c.Allows("p", s.Version) {
						t.Fatalf("step %s is not allowed", s.Version)
					}
					if i == len(p.Steps)-1 && c.Versions[s.Version].State != profile.StateActive {
						t.Fatalf("unrated end %s is %s", s.Version, c.Versions[s.Version].State)
					}
				}
				for _, v := range versions {
					if l := Pinned(c, "p", v); (len(l) == 1) != c.Allows("p", v) {
						t.Fatalf("pinned %s: %v", v, l)
					}
				}
			},
		})
	})
}

// Guards the decaying counts against a plain sum over the whole history, with clocks that jump and lag.
func TestBeliefsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Defaults()
		b, now := New(s), epoch
		var history []Outcome
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3600).Draw(t, "seconds")) * time.Second)
			},
			"rate": func(t *rapid.T) {
				if len(history) >= int(s.MinSamples) {
					return // more ratings may raise an alarm, which the plain sum does not know
				}
				late := time.Duration(rapid.IntRange(0, 7200).Draw(t, "seconds late")) * time.Second
				o := rating("m@1", now.Add(-late), rapid.Bool().Draw(t, "pass"))
				b.Observe(now, o)
				history = append(history, o)
			},
			"call": func(t *rapid.T) {
				b.Observe(now, Outcome{Class: "c", Version: "m@1", Failed: rapid.Bool().Draw(t, "failed"), Done: true, Latency: time.Second})
			},
			"": func(t *rapid.T) {
				pass, total := 1.0, 2.0
				for _, o := range history {
					w := math.Exp2(-now.Sub(o.At).Minutes() / s.HalfLife.Minutes())
					total += w
					pass += w * o.Score
				}
				h, ok := b.View(now).Health("c", "m@1")
				// A view may be Stale/4 old: 75 s of a half-life of 30 min change a weight by 3 %, a share by less than 0.01.
				if ok && math.Abs(h.Share-pass/total) > 0.01 {
					t.Fatalf("share is %v, plain sum gives %v", h.Share, pass/total)
				}
				if h.Low > h.Share || h.Share < 0 || h.Share > 1 || h.Errors < 0 || h.Errors > 1 {
					t.Fatalf("health %+v", h)
				}
			},
		})
	})
}

func BenchmarkView(b *testing.B) {
	l := New(Settings{})
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
		for j := range 9 { // outcomes in 250 ms of an instance at 34 requests/s
			l.Observe(epoch, outcome(i*9+j))
		}
		l.View(epoch)
	}
}
