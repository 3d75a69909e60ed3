package suspect

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const poison = Content(666)

// TestMain fixes the seed of rapid, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// job is a request of one instance.
type job struct {
	content Content
	from    int // instance
	alone   bool
	done    bool
	refused bool
}

// claim is a suspect that waits for its start.
type claim struct {
	job      *job
	endpoint int
}

// fleet is a plain model of instances that send requests to endpoints, some of which a poison content crashes.
type fleet struct {
	registers []*Register
	running   [][]*job // by endpoint
	waiting   []*job
	claims    []claim
	jobs      []*job
	now       time.Time
	lost      int
}

func newFleet(instances, endpoints int) *fleet {
	f := &fleet{running: make([][]*job, endpoints), now: epoch}
	for i := range instances {
		f.registers = append(f.registers, New(DefaultSettings(fmt.Sprintf("instance-%d", i))))
	}
	return f
}

func name(e int) string { return fmt.Sprintf("engine-%d", e) }

func (f *fleet) submit(c Content, from int) {
	j := &job{content: c, from: from}
	f.jobs = append(f.jobs, j)
	f.waiting = append(f.waiting, j)
}

// place sends every waiting job that may run; at draws the first endpoint to try.
func (f *fleet) place(at int) {
	var wait []*job
	for _, j := range f.waiting {
		if !f.send(j, at) {
			wait = append(wait, j)
		}
	}
	f.waiting = wait
	f.confirm()
}

func (f *fleet) send(j *job, at int) bool {
	r := f.registers[j.from]
	switch r.Judge(f.now, j.content) {
	case Refuse:
		j.refused = true
		return true
	case Run:
		e := at % len(f.running)
		f.running[e] = append(f.running[e], j)
		return true
	}
	for i := range f.running {
		e := (at + i) % len(f.running)
		if r.Acquire(f.now, j.content, name(e)) {
			f.claims = append(f.claims, claim{j, e})
			return true
		}
	}
	return false
}

// confirm starts the claims that hold after the peers heard of them.
func (f *fleet) confirm() {
	f.gossip()
	f.now = f.now.Add(DefaultSettings("").Settle)
	for _, c := range f.claims {
		if f.registers[c.job.from].Confirm(f.now, c.job.content) {
			c.job.alone = true
			f.running[c.endpoint] = append(f.running[c.endpoint], c.job)
			continue
		}
		f.waiting = append(f.waiting, c.job)
	}
	f.claims = nil
	f.gossip()
}

// finish ends all jobs of an endpoint: it dies when one is poison, otherwise they succeed.
func (f *fleet) finish(e int) {
	l := f.running[e]
	f.running[e] = nil
	f.now = f.now.Add(time.Second)
	dies := slices.ContainsFunc(l, func(j *job) bool { return j.content == poison })
	if dies {
		f.lost++
		f.now = f.now.Add(10 * time.Second) // a restart takes longer than SameDeath
	}
	for _, j := range l {
		r := f.registers[j.from]
		if dies {
			r.Death(f.now, name(e), j.content)
			f.waiting = append(f.waiting, j)
		}
		if j.alone {
			r.Release(f.now, j.content, !dies)
			j.alone = false
		}
		j.done = !dies
	}
	f.gossip()
}

func (f *fleet) pending(c Content) (n int) {
	for _, j := range f.jobs {
		if j.content == c && !j.done && !j.refused {
			n++
		}
	}
	return n
}

func (f *fleet) gossip() {
	for _, from := range f.registers {
		for _, to := range f.registers {
			if from != to {
				p := from.Digest()
				to.Merge(f.now, p)
			}
		}
	}
}

// TestPoisonBound guards the bound on endpoints lost to one repeating request, at most two, and that every innocent
// request finishes, for any placement and number of instances when peers hear of a death before the repetition.
func TestPoisonBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 4).Draw(t, "instances"), rapid.IntRange(2, 6).Draw(t, "endpoints"))
		next := Content(1)
		at := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		for range 25 {
			for range at(6, "innocents") {
				f.submit(next, at(len(f.registers), "instance"))
				next++
			}
			// The caller sends it again under another key, after a death also several at once.
			for range min(3, 1+2*f.lost) - f.pending(poison) {
				f.submit(poison, at(len(f.registers), "instance"))
			}
			f.place(at(len(f.running), "place"))
			f.finish(at(len(f.running), "finish"))
		}
		for range 200 { // drain
			f.place(0)
			for e := range f.running {
				f.finish(e)
			}
			f.now = f.now.Add(time.Second)
		}
		if f.lost > 2 {
			t.Fatalf("%d endpoints were lost, want at most 2", f.lost)
		}
		for _, j := range f.jobs {
			if j.content != poison && !j.done {
				t.Fatalf("innocent request %d did not finish (refused: %v)", j.content, j.refused)
			}
		}
	})
}

// TestMergeIsIdempotent guards the exchange: merging again changes nothing, and the order of peers does not matter.
func TestMergeIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() Report {
			r := New(DefaultSettings("a"))
			for range rapid.IntRange(0, 6).Draw(t, "deaths") {
				at := epoch.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "at")) * 20 * time.Second)
				r.Death(at, name(rapid.IntRange(0, 2).Draw(t, "endpoint")), Content(rapid.IntRange(1, 3).Draw(t, "content")))
			}
			return r.Digest()
		}
		a, b := draw(), draw()
		now := epoch.Add(2 * time.Minute)
		x, y := New(DefaultSettings("x")), New(DefaultSettings("y"))
		x.Merge(now, a)
		x.Merge(now, b)
		once := x.Digest()
		x.Merge(now, a)
		x.Merge(now, b)
		if !reflect.DeepEqual(once, x.Digest()) {
			t.Fatalf("merging again changed %v to %v", once, x.Digest())
		}
		y.Merge(now, b)
		y.Merge(now, a)
		for c := Content(1); c <= 3; c++ {
			if x.Judge(now, c) != y.Judge(now, c) {
				t.Fatalf("content %d: verdicts %d and %d", c, x.Judge(now, c), y.Judge(now, c))
			}
		}
	})
}

// TestBoundedMemory guards the bound on marks and that a refused content outlives suspects.
func TestBoundedMemory(t *testing.T) {
	s := DefaultSettings("a")
	s.Contents = 64
	r := New(s)
	r.Death(epoch, "a", poison)
	r.Death(epoch.Add(10*time.Second), "b", poison)
	now := epoch.Add(20 * time.Second)
	for c := range Content(1000) {
		r.Death(now, "c", c+1000)
	}
	if n := len(r.Digest().Marks); n > s.Contents {
		t.Errorf("%d marks, want at most %d", n, s.Contents)
	}
	if v := r.Judge(now, poison); v != Refuse {
		t.Errorf("verdict %d after a flood of suspects, want %d", v, Refuse)
	}
	r.Expire(now.Add(time.Hour))
	if n := len(r.Digest().Marks); n != 0 {
		t.Errorf("%d marks after expiry, want none", n)
	}
}

// TestSum guards against contents that differ only in where their parts begin, and against a dependence on order.
func TestSum(t *testing.T) {
	base := Sum("m", []byte("ab"), []byte("c"))
	if base != Sum("m", []byte("ab"), []byte("c")) {
		t.Error("equal contents have different digests")
	}
	for name, o := range map[string]Content{
		"border": Sum("m", []byte("a"), []byte("bc")),
		"target": Sum("n", []byte("ab"), []byte("c")),
		"order":  Sum("m", []byte("c"), []byte("ab")),
	} {
		if o == base {
			t.Errorf("%s: the digest does not change", name)
		}
	}
}
