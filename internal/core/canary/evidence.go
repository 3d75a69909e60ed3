package canary

import (
	"math"
	"time"
)

// The test compares two hypotheses on the share of failures: that of a good version and that of a bad one. A false
// stop costs a late roll-out, a missed one exposes callers, so few failures suffice.
const (
	goodShare = 0.05 // or that of the old version, if it is higher
	badShare  = 0.35
	stopAt    = 5.0 // log-likelihood ratio; three failures in a row
	floorAt   = -3  // successes in advance count no more than this against later failures

	slowRatio   = 3.0 // of expected times that counts as slow, against the old version's
	slowLeast   = 0.5 // of the old version's ratio, so that generous expectations don't make every time look slow
	gapRatio    = 2.0 // of the old version's gaps; half of the answers may be as fast as before
	slowSamples = 6
	maxRoutes   = 256
)

// evidence is what the answers say of the new version.
type evidence struct {
	old    tally
	routes map[string]*tally
	all    tally
	gaps   map[string]*gaps // by kind of stream
	slower gapTally
	late   tally // streams of the old version, by whether they were slow
	views  map[view]*fading
}

// gaps are the times between events of one kind of stream, on the old version.
type gaps struct {
	n   int
	sum float64 // of logarithms
}

// gapTally compares the new version's gaps with the old one's of the same kinds. They don't depend on what of a prompt is in
// an engine's memory, which the engines of a new version have yet to read.
type gapTally struct {
	n   int
	sum float64 // of logarithms of ratios
}

type tally struct {
	n, failed  int
	ratio      float64 // log-likelihood ratio for a bad version
	slow       float64 // sum of the logarithms of slowness
	slowNumber int
}

func newEvidence() *evidence {
	return &evidence{routes: map[string]*tally{}, gaps: map[string]*gaps{}, views: map[view]*fading{}}
}

func (t *tally) add(failed bool) {
	t.n++
	if failed {
		t.failed++
	}
}

func (t *tally) start(slowness float64) {
	t.slow += math.Log(min(max(slowness, 0.1), 20))
	t.slowNumber++
}

func (t *tally) test(failed bool, good float64) bool {
	bad := max(badShare, min(2*good, 0.9))
	if failed {
		t.ratio += math.Log(bad / good)
	} else {
		t.ratio += math.Log((1 - bad) / (1 - good))
	}
	t.ratio = max(t.ratio, floorAt)
	return t.ratio >= stopAt
}

func (t *tally) slowness() float64 {
	if t.slowNumber == 0 {
		return 1
	}
	return math.Exp(t.slow / float64(t.slowNumber))
}

// add records an answer of the new version and returns why it is bad, or "".
func (e *evidence) add(route string, failed bool) string {
	good := e.good(false)
	t := e.route(route)
	t.add(failed)
	e.all.add(failed)
	byRoute, byAll := t.test(failed, good), e.all.test(failed, good)
	switch {
	case byAll:
		return "failures"
	case byRoute:
		return "failures on one route"
	}
	return ""
}

// good is the share of failures, or of slow streams, that a good version has.
func (e *evidence) good(slow bool) float64 {
	old := e.old
	if slow {
		old = e.late
	}
	return min(0.6, max(goodShare, (float64(old.failed)+0.5)/float64(old.n+10)))
}

func (e *evidence) route(name string) *tally {
	t := e.routes[name]
	if t == nil {
		t = &tally{}
		if len(e.routes) < maxRoutes {
			e.routes[name] = t
		}
	}
	return t
}

// start records how slow an answer of the new version began and returns why the version is bad, or "".
func (e *evidence) start(route string, slowness float64) string {
	t := e.route(route)
	t.start(slowness)
	e.all.start(slowness)
	old := max(slowLeast, e.old.slowness())
	switch {
	case e.all.slowNumber >= slowSamples && e.all.slowness() > slowRatio*old:
		return "slow"
	case t.slowNumber >= slowSamples && t.slowness() > slowRatio*old:
		return "slow on one route"
	}
	return ""
}

// gap records the mean time between the events of a stream and returns why the new version is bad, or "".
func (e *evidence) gap(now time.Time, kind string, fresh bool, ms float64) string {
	g := e.gaps[kind]
	if g == nil {
		if len(e.gaps) >= maxRoutes {
			return ""
		}
		g = &gaps{}
		e.gaps[kind] = g
	}
	x := math.Log(max(ms, leastGap))
	slow := g.n >= slowSamples && x-g.sum/float64(g.n) > math.Log(slowGap)
	if !fresh {
		e.late.add(slow)
		g.n, g.sum = g.n+1, g.sum+x
		return ""
	}
	if g.n < slowSamples {
		return ""
	}
	e.watch(now, true, slow, kind)
	e.slower.n, e.slower.sum = e.slower.n+1, e.slower.sum+x-g.sum/float64(g.n)
	if e.slower.n >= slowSamples && e.slower.sum/float64(e.slower.n) > math.Log(gapRatio) {
		return "slow streams"
	}
	return ""
}

// leastGap is the shortest time between events that is told apart, in milliseconds.
const leastGap = 0.5
