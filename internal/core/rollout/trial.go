package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Verdict is the result of a trial at its current stage.
type Verdict string

// Verdicts of a trial.
const (
	Continue Verdict = "continue" // the evidence suffices for neither of the others
	Stop     Verdict = "stop"     // the new version is worse than the current one
	Pass     Verdict = "pass"     // the stage has enough samples, and the new version is not worse
)

// Metric is a kind of outcome that a trial compares.
type Metric string

// Metrics of a trial, in the order of State.Evidence and State.Tallies.
const (
	MetricRatings Metric = "ratings"
	MetricErrors  Metric = "errors"
	MetricLatency Metric = "latency"
)

var metrics = [3]Metric{MetricRatings, MetricErrors, MetricLatency}

const (
	maxStrata = 256
	maxPeers  = 1024
	// A call is slow if it takes longer than the slowRank-th shortest of the first slowSampleSize latencies of the
	// current version.
	slowRank       = 40
	slowSampleSize = 50
	// slowExcessFactor multiplies the allowed excess for slow calls. By definition one call in five is slow, so the share
	// of slow calls varies more than that of the other bad outcomes.
	slowExcessFactor = 5
)

// Sample is an outcome of the new or the current version. A rating may arrive as a separate sample.
type Sample struct {
	Canary        bool   // the outcome is of the new version
	Class         string // class of the request
	Escalated     bool   // the answer of an earlier step of the plan was not good enough, so the request counts as hard
	Rated         bool   // the answer was rated, and BelowMinScore is set
	BelowMinScore bool   // the score is below the minimum of the profile
	Completed     bool   // the answer is complete, and Latency is set
	Latency       time.Duration
	Failed        bool // the version gave no answer
}

// State sums up the samples of a trial on one instance. It has a fixed size, so that peers can gossip it.
type State struct {
	Evidence [3]Evidence `json:"evidence"`
	Tallies  [3]Tally    `json:"tallies"`
	Stage    int         `json:"stage"`
	Ratings  int         `json:"ratings"` // ratings of the new version compared in this stage
	Calls    int         `json:"calls"`   // calls of the new version compared in this stage
}

// Tally counts the compared outcomes of one metric since an operator started or resumed the roll-out.
type Tally struct {
	Canary     int `json:"canary"`
	CanaryBad  int `json:"canary-bad"`
	Control    int `json:"control"`
	ControlBad int `json:"control-bad"`
}

// add adds the counts of another tally.
func (t *Tally) add(o Tally) {
	t.Canary += o.Canary
	t.CanaryBad += o.CanaryBad
	t.Control += o.Control
	t.ControlBad += o.ControlBad
}

// excess returns the new version's share of bad outcomes minus that of the current version.
func (t *Tally) excess() float64 {
	return outcomes{t.Canary, t.CanaryBad}.badShare() - outcomes{t.Control, t.ControlBad}.badShare()
}

// Trial is a sequential test of a new version against the current one.
// The verdict may be read after each sample: the bound on false stops holds for the whole sequence of verdicts.
type Trial struct {
	settings      Settings
	local         State          // samples of this instance
	peers         []State        // in the order of their first report, so that sums do not depend on the order of a map
	peerIndex     map[string]int // by peer: index in peers
	strata        map[stratum]*stratumSamples
	unrated       float64   // answers of the new version without a rating, decaying with time
	unratedAt     time.Time // when unrated was last updated
	stoppedBy     Metric
	pooled        State   // samples of all instances
	greatestRatio float64 // greatest log-likelihood ratio of a metric in pooled
	pooledValid   bool    // pooled and greatestRatio are up to date
}

// stratum identifies requests that are alike, within which outcomes of the two versions are compared.
type stratum struct {
	class string
	later bool // as in Sample
}

// stratumSamples holds the samples of a stratum that are not compared yet.
type stratumSamples struct {
	pending          [3]pendingBlock // by metric
	controlLatencies []time.Duration // first latencies of the current version
	slowLimit        time.Duration   // latency above which a call is slow; 0 while unknown
}

// pendingBlock collects outcomes until there are enough of both versions for a comparison.
type pendingBlock struct{ canary, control outcomes }

// NewTrial returns a trial without samples.
func NewTrial(s Settings) *Trial {
	return &Trial{settings: s.withDefaults(), peerIndex: map[string]int{}, strata: map[stratum]*stratumSamples{}}
}

// Observe counts a sample and returns the verdict of the current stage. Samples of further strata are ignored once
// there are maxStrata.
func (t *Trial) Observe(now time.Time, minSamples int, o Sample) Verdict {
	t.countUnrated(now, o)
	k := stratum{o.Class, o.Escalated}
	samples := t.strata[k]
	if samples == nil {
		if len(t.strata) >= maxStrata {
			return t.Verdict(minSamples)
		}
		samples = &stratumSamples{}
		t.strata[k] = samples
	}
	if o.Rated {
		t.local.Ratings += t.addOutcome(&samples.pending[0], 0, o.Canary, o.BelowMinScore)
	}
	if o.Completed || o.Failed {
		t.local.Calls += t.addOutcome(&samples.pending[1], 1, o.Canary, o.Failed)
	}
	if o.Completed {
		if samples.slowLimit > 0 {
			t.addOutcome(&samples.pending[2], 2, o.Canary, o.Latency > samples.slowLimit)
		} else if !o.Canary {
			samples.addControlLatency(o.Latency)
		}
	}
	return t.Verdict(minSamples)
}

// addControlLatency adds a latency of the current version and sets slowLimit once there are enough of them.
func (s *stratumSamples) addControlLatency(d time.Duration) {
	s.controlLatencies = append(s.controlLatencies, d)
	if len(s.controlLatencies) == slowSampleSize {
		slices.SortFunc(s.controlLatencies, cmp.Compare[time.Duration])
		s.slowLimit, s.controlLatencies = max(1, s.controlLatencies[slowRank-1]), nil
	}
}

// addOutcome adds an outcome to a block, compares the versions once the block has minBlockSize outcomes of each, and
// returns the number of compared samples of the new version. The time of the comparison depends on counts only, because
// a dependence on the outcomes would bias the test.
func (t *Trial) addOutcome(b *pendingBlock, metric int, canary, bad bool) int {
	if canary {
		b.canary.add(bad)
	} else {
		b.control.add(bad)
	}
	if b.canary.count < minBlockSize || b.control.count < minBlockSize {
		return 0
	}
	n := b.canary.count
	t.local.Tallies[metric].add(Tally{n, b.canary.bad, b.control.count, b.control.bad})
	t.local.Evidence[metric].add(t.settings.ToleratedOddsRatio, b.canary, b.control)
	*b, t.pooledValid = pendingBlock{}, false
	return n
}

// countUnrated updates the number of answers of the new version that have no rating yet. The number decays with time,
// because some answers are never rated.
func (t *Trial) countUnrated(now time.Time, o Sample) {
	if now.After(t.unratedAt) {
		t.unrated *= math.Exp2(-float64(now.Sub(t.unratedAt)) / float64(t.settings.UnratedHalfLife))
		t.unratedAt = now
	}
	if o.Canary && o.Completed {
		t.unrated++
	}
	if o.Canary && o.Rated {
		t.unrated = max(0, t.unrated-1)
	}
}

// Verdict returns the verdict of the current stage, which passes only with minSamples compared ratings and calls.
func (t *Trial) Verdict(minSamples int) Verdict {
	if !t.pooledValid {
		t.updatePooled()
	}
	switch {
	case t.stoppedBy != "":
		return Stop
	case t.pooled.Ratings >= minSamples && t.pooled.Calls >= minSamples &&
		t.greatestRatio < math.Log(t.settings.MaxAdvanceRatio) && t.withinMaxExcess(&t.pooled):
		return Pass
	}
	return Continue
}

// updatePooled sums up the samples of all instances and checks whether a metric stops the version.
func (t *Trial) updatePooled() {
	t.pooled, t.greatestRatio, t.pooledValid = t.poolStates(), math.Inf(-1), true
	for i, e := range t.pooled.Evidence {
		r := e.logMeanRatio()
		t.greatestRatio = max(t.greatestRatio, r)
		// Each metric gets an equal part of the allowed probability of a false stop.
		if t.stoppedBy == "" && r >= math.Log(float64(len(metrics))/t.settings.MaxFalseStopRate) {
			t.stoppedBy = metrics[i]
		}
	}
}

// withinMaxExcess reports whether the new version's shares of bad outcomes exceed those of the current one by no more
// than the settings allow. A version beyond that stays in its stage until the evidence stops it or its shares improve.
func (t *Trial) withinMaxExcess(sum *State) bool {
	m := t.settings.MaxBadShareExcess
	return sum.Tallies[0].excess() <= m && sum.Tallies[1].excess() <= m && sum.Tallies[2].excess() <= slowExcessFactor*m
}

// poolStates returns the sum of the states of this instance and its peers. Samples of the stage are summed only from
// peers in the same stage.
func (t *Trial) poolStates() State {
	sum := t.local
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

// StoppedBy returns the metric that stopped the version, or "".
func (t *Trial) StoppedBy() Metric { return t.stoppedBy }

// AcceptsRequests reports whether the new version may run further requests. It may not once it is stopped, nor while
// too many of its answers are unrated, because the test cannot take unrated answers into account.
func (t *Trial) AcceptsRequests() bool { return t.stoppedBy == "" && t.unrated < t.settings.MaxUnrated }

// State returns the sum of the samples of this instance.
func (t *Trial) State() State { return t.local }

// Merge replaces the state of a peer, unless the given one is older. Further peers are ignored once there are maxPeers.
func (t *Trial) Merge(peer string, s State) {
	i, ok := t.peerIndex[peer]
	if !ok {
		if len(t.peers) >= maxPeers {
			return
		}
		i = len(t.peers)
		t.peerIndex[peer] = i
		t.peers = append(t.peers, State{})
	}
	o := t.peers[i]
	if ok && (s.Stage < o.Stage || (s.Stage == o.Stage && s.Ratings+s.Calls < o.Ratings+o.Calls)) {
		return
	}
	t.peers[i], t.pooledValid = s, false
}

// startStage resets the counts of the stage if it is a new one; evidence and tallies stay.
func (t *Trial) startStage(stage int) {
	if t.local.Stage != stage {
		t.local.Stage, t.local.Ratings, t.local.Calls = stage, 0, 0
		t.pooledValid = false
	}
}
