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

const poison = ContentHash(666)

// TestMain fixes the seed of rapid, so that all runs have the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// job is a request that an instance received.
type job struct {
	content  ContentHash
	instance int
	claimed  bool
	done     bool
	refused  bool
}

// pendingClaim is a suspect that has claimed an endpoint and not started yet.
type pendingClaim struct {
	job      *job
	endpoint int
}

// simulation simulates instances that send requests to endpoints. A request with the content poison crashes its endpoint.
type simulation struct {
	registries []*Registry
	running    [][]*job // by endpoint
	waiting    []*job
	claims     []pendingClaim
	jobs       []*job
	now        time.Time
	deaths     int
}

func newSimulation(instances, endpoints int) *simulation {
	s := &simulation{running: make([][]*job, endpoints), now: epoch}
	for i := range instances {
		s.registries = append(s.registries, New(DefaultSettings(fmt.Sprintf("instance-%d", i))))
	}
	return s
}

func endpointName(e int) string { return fmt.Sprintf("engine-%d", e) }

func (s *simulation) submit(c ContentHash, instance int) {
	j := &job{content: c, instance: instance}
	s.jobs = append(s.jobs, j)
	s.waiting = append(s.waiting, j)
}

// startWaiting starts the waiting jobs that may run; first is the first endpoint to try.
func (s *simulation) startWaiting(first int) {
	var wait []*job
	for _, j := range s.waiting {
		if !s.start(j, first) {
			wait = append(wait, j)
		}
	}
	s.waiting = wait
	s.confirmClaims()
}

// start sends a job to an endpoint, claims an endpoint for it or refuses it. It returns false if the job
// has to wait.
func (s *simulation) start(j *job, first int) bool {
	r := s.registries[j.instance]
	switch r.Verdict(s.now, j.content) {
	case Refuse:
		j.refused = true
		return true
	case RunAnywhere:
		e := first % len(s.running)
		s.running[e] = append(s.running[e], j)
		return true
	}
	for i := range s.running {
		e := (first + i) % len(s.running)
		if r.AcquireLease(s.now, j.content, endpointName(e)) {
			s.claims = append(s.claims, pendingClaim{j, e})
			return true
		}
	}
	return false
}

// confirmClaims starts the jobs whose claims are confirmed after the peers have received them.
func (s *simulation) confirmClaims() {
	s.gossip()
	s.now = s.now.Add(DefaultSettings("").ClaimDelay)
	for _, c := range s.claims {
		if s.registries[c.job.instance].ConfirmLease(s.now, c.job.content) {
			c.job.claimed = true
			s.running[c.endpoint] = append(s.running[c.endpoint], c.job)
			continue
		}
		s.waiting = append(s.waiting, c.job)
	}
	s.claims = nil
	s.gossip()
}

// finishEndpoint ends all jobs of an endpoint. The endpoint crashes if one of them is poison; otherwise they succeed.
func (s *simulation) finishEndpoint(e int) {
	l := s.running[e]
	s.running[e] = nil
	s.now = s.now.Add(time.Second)
	died := slices.ContainsFunc(l, func(j *job) bool { return j.content == poison })
	if died {
		s.deaths++
		s.now = s.now.Add(10 * time.Second) // a restart takes longer than DeathWindow
	}
	for _, j := range l {
		r := s.registries[j.instance]
		if died {
			r.RecordDeath(s.now, endpointName(e), j.content)
			s.waiting = append(s.waiting, j)
		}
		if j.claimed {
			r.ReleaseLease(s.now, j.content, !died)
			j.claimed = false
		}
		j.done = !died
	}
	s.gossip()
}

// unfinished returns the number of jobs with the content that are neither done nor refused.
func (s *simulation) unfinished(c ContentHash) (n int) {
	for _, j := range s.jobs {
		if j.content == c && !j.done && !j.refused {
			n++
		}
	}
	return n
}

// gossip sends the report of each instance to all others.
func (s *simulation) gossip() {
	for _, from := range s.registries {
		for _, to := range s.registries {
			if from != to {
				p := from.Report()
				to.MergeReport(s.now, p)
			}
		}
	}
}

// TestPoisonBound checks that a repeated poison request crashes at most two endpoints and that all harmless requests
// finish, for any placement and number of instances, if peers hear of a death before the request is repeated.
func TestPoisonBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 4).Draw(t, "instances"), rapid.IntRange(2, 6).Draw(t, "endpoints"))
		next := ContentHash(1)
		draw := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		for range 25 {
			for range draw(6, "innocents") {
				s.submit(next, draw(len(s.registries), "instance"))
				next++
			}
			// The caller repeats it with another key and, after a death, several times at once.
			for range min(3, 1+2*s.deaths) - s.unfinished(poison) {
				s.submit(poison, draw(len(s.registries), "instance"))
			}
			s.startWaiting(draw(len(s.running), "place"))
			s.finishEndpoint(draw(len(s.running), "finish"))
		}
		for range 200 { // drain
			s.startWaiting(0)
			for e := range s.running {
				s.finishEndpoint(e)
			}
			s.now = s.now.Add(time.Second)
		}
		if s.deaths > 2 {
			t.Fatalf("%d endpoints crashed, want at most 2", s.deaths)
		}
		for _, j := range s.jobs {
			if j.content != poison && !j.done {
				t.Fatalf("harmless request %d did not finish (refused: %v)", j.content, j.refused)
			}
		}
	})
}

// TestMergeIsIdempotent checks that merging a report again changes nothing and that the order of reports does not matter.
func TestMergeIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() Report {
			r := New(DefaultSettings("a"))
			for range rapid.IntRange(0, 6).Draw(t, "deaths") {
				at := epoch.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "at")) * 20 * time.Second)
				r.RecordDeath(at, endpointName(rapid.IntRange(0, 2).Draw(t, "endpoint")), ContentHash(rapid.IntRange(1, 3).Draw(t, "content")))
			}
			return r.Report()
		}
		a, b := draw(), draw()
		now := epoch.Add(2 * time.Minute)
		x, y := New(DefaultSettings("x")), New(DefaultSettings("y"))
		x.MergeReport(now, a)
		x.MergeReport(now, b)
		once := x.Report()
		x.MergeReport(now, a)
		x.MergeReport(now, b)
		if !reflect.DeepEqual(once, x.Report()) {
			t.Fatalf("merging again changed %v to %v", once, x.Report())
		}
		y.MergeReport(now, b)
		y.MergeReport(now, a)
		for c := ContentHash(1); c <= 3; c++ {
			if x.Verdict(now, c) != y.Verdict(now, c) {
				t.Fatalf("content %d: verdicts %d and %d", c, x.Verdict(now, c), y.Verdict(now, c))
			}
		}
	})
}

// TestBoundedMemory checks the limit on marks and that refused contents are evicted after suspects.
func TestBoundedMemory(t *testing.T) {
	s := DefaultSettings("a")
	s.MaxContents = 64
	r := New(s)
	r.RecordDeath(epoch, "a", poison)
	r.RecordDeath(epoch.Add(10*time.Second), "b", poison)
	now := epoch.Add(20 * time.Second)
	for c := range ContentHash(1000) {
		r.RecordDeath(now, "c", c+1000)
	}
	if n := len(r.Report().Marks); n > s.MaxContents {
		t.Errorf("%d marks, want at most %d", n, s.MaxContents)
	}
	if v := r.Verdict(now, poison); v != Refuse {
		t.Errorf("verdict %d after a flood of suspects, want %d", v, Refuse)
	}
	r.DropExpired(now.Add(time.Hour))
	if n := len(r.Report().Marks); n != 0 {
		t.Errorf("%d marks after expiry, want none", n)
	}
}

// TestContentHash guards against equal hashes of contents that differ only in the boundaries or the order of their parts.
func TestContentHash(t *testing.T) {
	base := HashContent("m", []byte("ab"), []byte("c"))
	if base != HashContent("m", []byte("ab"), []byte("c")) {
		t.Error("equal contents have different hashes")
	}
	for name, o := range map[string]ContentHash{
		"border": HashContent("m", []byte("a"), []byte("bc")),
		"target": HashContent("n", []byte("ab"), []byte("c")),
		"order":  HashContent("m", []byte("c"), []byte("ab")),
	} {
		if o == base {
			t.Errorf("%s: the hash does not change", name)
		}
	}
}
