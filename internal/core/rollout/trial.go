package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Verdict is what a trial says about a new version.
type Verdict string

// Verdicts of a trial.
const (
	Continue Verdict = "continue" // not enough is known
	Stop     Verdict = "stop"     // the version is worse than the current one
	Pass     Verdict = "pass"     // the stage has samples enough and no sign of harm
)

// Metric names what a trial compares.
type Metric string

// Metrics of a trial, in the order of State.Evidence.
const (
	MetricRatings Metric = "ratings"
	MetricErrors  Metric = "errors"
	MetricLatency Metric = "latency"
)

var metrics = [3]Metric{MetricRatings, MetricErrors, MetricLatency}

const (
	maxStrata = 256 // classes that a trial compares within
	maxPeers  = 1024
	// slowRank of slowSize latencies of the current version is the limit above which a call counts as slow.
	slowRank = 40
	slowSize = 50
	// slowMargin widens the margin for slow calls: one in five is slow by definition, so their share varies more.
	slowMargin = 5
)

// Sample is one outcome of the new or the current version; a rating may come as a sample of its own.
type Sample struct {
	Canary  bool // of the new version
	Class   string
	Later   bool // an earlier step of the plan fell short, so the request is a hard one
	Rated   bool // Short holds a rating
	Short   bool // the answer scored less than the profile owes
	Done    bool // Latency holds the time of a complete answer
	Latency time.Duration
	Failed  bool // the version gave no answer
}

// State is the sum of a trial's samples on one instance; it is small enough for gossip.
type State struct {
	Evidence [3]Evidence `json:"evidence"`
	Tallies  [3]Tally    `json:"tallies"`
	Stage    int         `json:"stage"`
	Ratings  int         `json:"ratings"` // compared in this stage
	Calls    int         `json:"calls"`   // compared in this stage
}

// Tally counts the compared outcomes of one metric since the roll-out was started or resumed.
type Tally struct {
	Canary     int `json:"canary"`
	CanaryBad  int `json:"canary-bad"`
	Control    int `json:"control"`
	ControlBad int `json:"control-bad"`
}

func (t *Tally) add(o Tally) {
	t.Canary += o.Canary
	t.CanaryBad += o.CanaryBad
	t.Control += o.Control
	t.ControlBad += o.ControlBad
}

// excess returns by how much the share of bad outcomes of the new version exceeds that of the current one.
func (t *Tally) excess() float64 {
	return outcomes{t.Canary, t.CanaryBad}.share() - outcomes{t.Control, t.ControlBad}.share()
}

// Trial is a sequential test of a new version against the current one.
// It may be looked at after each sample: the probability of a false stop holds for all looks together.
type Trial struct {
	settings Settings
	own      State
	peers    []State // in the order of their first report, so that sums do not depend on the order of a map
	index    map[string]int
	strata   map[stratum]*arms
	unrated  float64
	at       time.Time
	stopped  Metric
	sum      State   // of all instances
	worst    float64 // greatest log-likelihood ratio of a metric
	known    bool    // sum and worst are up to date
}

type stratum struct {
	class string
	later bool
}

// arms holds the samples of a stratum that wait for a comparison, for each metric.
type arms struct {
	waiting [3]block
	times   []time.Duration // first latencies of the current version
	slow    time.Duration   // limit above which a call is slow; 0 while unknown
}

// block holds outcomes that wait until there are enough of both versions.
type block struct{ canary, control outcomes }

// NewTrial returns a trial without samples.
func NewTrial(s Settings) *Trial {
	return &Trial{settings: s.filled(), index: map[string]int{}, strata: map[stratum]*arms{}}
}

// Observe counts a sample and returns the verdict of the current stage.
func (t *Trial) Observe(now time.Time, minSamples int, o Sample) Verdict {
	t.expose(now, o)
	k := stratum{o.Class, o.Later}
	a := t.strata[k]
	if a == nil {
		if len(t.strata) >= maxStrata {
			return t.Verdict(minSamples)
		}
		a = &arms{}
		t.strata[k] = a
	}
	if o.Rated {
		t.own.Ratings += t.compare(&a.waiting[0], 0, o.Canary, o.Short)
	}
	if o.Done || o.Failed {
		t.own.Calls += t.compare(&a.waiting[1], 1, o.Canary, o.Failed)
	}
	if o.Done {
		if a.slow > 0 {
			t.compare(&a.waiting[2], 2, o.Canary, o.Latency > a.slow)
		} else if !o.Canary {
			a.learn(o.Latency)
		}
	}
	return t.Verdict(minSamples)
}

// learn sets the limit of slow calls once enough latencies of the current version are known.
func (a *arms) learn(d time.Duration) {
	a.times = append(a.times, d)
	if len(a.times) == slowSize {
		slices.SortFunc(a.times, cmp.Compare[time.Duration])
		a.slow, a.times = max(1, a.times[slowRank-1]), nil
	}
}

// compare adds an outcome to a block and compares a full one; it returns how many samples of the new version
// were compared. When a block is full depends on numbers only: a choice by outcome would bias the test.
func (t *Trial) compare(b *block, metric int, canary, bad bool) int {
	if canary {
		b.canary.add(bad)
	} else {
		b.control.add(bad)
	}
	if b.canary.count < minBlock || b.control.count < minBlock {
		return 0
	}
	n := b.canary.count
	t.own.Tallies[metric].add(Tally{n, b.canary.bad, b.control.count, b.control.bad})
	t.own.Evidence[metric].add(t.settings.Tolerance, b.canary, b.control)
	*b, t.known = block{}, false
	return n
}

// expose counts answers of the new version that wait for a rating.
func (t *Trial) expose(now time.Time, o Sample) {
	if now.After(t.at) {
		t.unrated *= math.Exp2(-float64(now.Sub(t.at)) / float64(t.settings.Patience))
		t.at = now
	}
	if o.Canary && o.Done {
		t.unrated++
	}
	if o.Canary && o.Rated {
		t.unrated = max(0, t.unrated-1)
	}
}

// Verdict returns the verdict of the current stage, which needs minSamples compared ratings and calls.
func (t *Trial) Verdict(minSamples int) Verdict {
	if !t.known {
		t.weigh()
	}
	switch {
	case t.stopped != "":
		return Stop
	case t.sum.Ratings >= minSamples && t.sum.Calls >= minSamples && t.worst < math.Log(t.settings.Caution) && t.close(&t.sum):
		return Pass
	}
	return Continue
}

// weigh adds up the samples of all instances and looks for a metric that stops the version.
func (t *Trial) weigh() {
	t.sum, t.worst, t.known = t.total(), math.Inf(-1), true
	for i, e := range t.sum.Evidence {
		r := e.ratio()
		t.worst = max(t.worst, r)
		// Each metric gets an equal part of the allowed false stops.
		if t.stopped == "" && r >= math.Log(float64(len(metrics))/t.settings.FalseStops) {
			t.stopped = metrics[i]
		}
	}
}

// close reports whether the new version's shares of bad outcomes are near enough to those of the current one.
// A version that is somewhat worse waits in its stage until the evidence stops it or the shares come closer.
func (t *Trial) close(sum *State) bool {
	m := t.settings.Margin
	return sum.Tallies[0].excess() <= m && sum.Tallies[1].excess() <= m && sum.Tallies[2].excess() <= slowMargin*m
}

// total adds the peers' states to the own one.
func (t *Trial) total() State {
	sum := t.own
	for _, p := range t.peers {
		for i, e := range p.Evidence {
			sum.Evidence[i] = sum.Evidence[i].plus(e)
			sum.Tallies[i].add(p.Tallies[i])
		}
		if p.Stage == sum.Stage {
			sum.Ratings += p.Ratings
			sum.Calls += p.Calls
		}
	}
	return sum
}

// Stopped returns the metric that stopped the version, or "".
func (t *Trial) Stopped() Metric { return t.stopped }

// Open reports whether the new version may run further requests: too many answers that wait for
// their rating close it, since the test could not see them.
func (t *Trial) Open() bool { return t.stopped == "" && t.unrated < t.settings.MaxUnrated }

// State returns the sum of the instance's own samples.
func (t *Trial) State() State { return t.own }

// Merge replaces what is known of a peer's samples; an older state of the peer changes nothing.
func (t *Trial) Merge(peer string, s State) {
	i, ok := t.index[peer]
	if !ok {
		if len(t.peers) >= maxPeers {
			return
		}
		i = len(t.peers)
		t.index[peer] = i
		t.peers = append(t.peers, State{})
	}
	o := t.peers[i]
	if ok && (s.Stage < o.Stage || (s.Stage == o.Stage && s.Ratings+s.Calls < o.Ratings+o.Calls)) {
		return
	}
	t.peers[i], t.known = s, false
}

// enter starts a stage: its samples are counted anew, while the evidence stays.
func (t *Trial) enter(stage int) {
	if t.own.Stage != stage {
		t.own.Stage, t.own.Ratings, t.own.Calls = stage, 0, 0
		t.known = false
	}
}
