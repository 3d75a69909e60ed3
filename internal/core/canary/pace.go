package canary

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/bitmix"
)

// The pace of an answer is the mean time between the events of a stream, or the time of a plain answer, relative to the
// mean of the old version for answers of the same kind. A new version serves few requests at first, so that its
// endpoints are idle while those of the old version are busy: compared by their means, a version that is half as fast
// then looks faster than the old one. The fastest answers of the old version show the pace of an endpoint that is idle. A
// good version reaches it often, a slow one never.
const (
	paceBinRatio     = 1.05 // between the limits of two bins of relative paces
	paceBins         = 128
	paceQuantile     = 0.1  // of the old version's answers that had an idle endpoint
	paceTolerance    = 1.13 // a new version's answer is as fast as these if its pace is at most this multiple
	minPaceBaseline  = 40   // answers of the old version
	minKindBaseline  = 4    // answers of the old version of one kind
	minPaceSamples   = 11.0 // answers of the new version; a good one has none as fast with a probability below 0.001
	maxFastShare     = 0.08 // of the answers of a slow version, to tolerate measuring errors
	maxIdlePaceRange = 1.6  // ratio of the quartiles of answers of idle endpoints; loaded ones differ by more
	paceHalfLife     = 6 * time.Second
	maxIdleShare     = 0.3 // share of requests up to which the new version's endpoints count as idle

	// minPlainPaceEvidence is the negative logarithm of the largest probability at which a good version has as few fast plain
	// answers. Their times differ by the work of the requests, on idle endpoints too, so a good version is only known to be as
	// fast as often as the old one is.
	minPlainPaceEvidence = 6.9
)

// PaceSum sums answers of one kind, or in one bin of relative paces. Sums of several instances add up.
type PaceSum struct {
	Answers float64
	LogSum  float64 // sum of the logarithms of the times in milliseconds; only for kinds
}

// PacesByKey holds sums by a hash of service, new version and kind or bin.
type PacesByKey map[uint64]PaceSum

// Merge adds the sums of other instances.
func (p PacesByKey) Merge(others PacesByKey) {
	for k, s := range others {
		o := p[k]
		p[k] = PaceSum{o.Answers + s.Answers, o.LogSum + s.LogSum}
	}
}

// paceEvidence holds the paces of both versions.
type paceEvidence struct {
	kinds     map[string]*PaceSum // old version
	old       [paceBins]float64
	target    [paceBins]float64 // decaying counts of the new version
	decayedAt time.Time
	plain     bool // the answers are not streams
}

func newPaceEvidence() *paceEvidence { return &paceEvidence{kinds: map[string]*PaceSum{}} }

// paceBin returns the bin of a logarithm of a relative pace.
func paceBin(logPace float64) int {
	return min(max(0, paceBins/2+int(math.Floor(logPace/math.Log(paceBinRatio)))), paceBins-1)
}

// decay reduces the counts of the new version.
func (p *paceEvidence) decay(now time.Time) {
	if d := now.Sub(p.decayedAt); d > 0 {
		f := math.Exp2(-float64(d) / float64(paceHalfLife))
		for i := range p.target {
			p.target[i] *= f
		}
		p.decayedAt = now
	}
}

// Keys of the bins of both versions in PacesByKey are derived from these numbers.
const (
	oldBinKey    = 1 << 32
	targetBinKey = 2 << 32
)

// paceKeys derives the keys of one roll-out in PacesByKey.
type paceKeys uint64

func newPaceKeys(service, target string, plain bool) paceKeys {
	s := service + "\x00" + target + "\x00pace"
	if plain {
		s += "\x00plain"
	}
	return paceKeys(xxhash.Sum64String(s))
}

func (k paceKeys) kind(kind string) uint64 { return bitmix.Mix(uint64(k) ^ xxhash.Sum64String(kind)) }

func (k paceKeys) old(bin int) uint64 { return bitmix.Mix(uint64(k) ^ uint64(oldBinKey+bin)) }

func (k paceKeys) target(bin int) uint64 { return bitmix.Mix(uint64(k) ^ uint64(targetBinKey+bin)) }

// RecordPace records the pace of a stream: the mean time between its events.
func (r *Rollout) RecordPace(now time.Time, service, version, kind string, d time.Duration) {
	r.recordPace(now, service, version, kind, d)
}

// RecordPlainPace records the time of a plain answer.
func (r *Rollout) RecordPlainPace(now time.Time, service, version, kind string, d time.Duration) {
	if r.Running() {
		r.evidence.paces.plain = true
		r.recordPace(now, service, version, kind, d)
	}
}

// recordPace records the pace of an answer.
func (r *Rollout) recordPace(now time.Time, service, version, kind string, d time.Duration) {
	if !r.Running() {
		return
	}
	p, x := r.evidence.paces, math.Log(max(float64(d)/float64(time.Millisecond), minGapMS))
	isTarget, keys := version == r.order.target, newPaceKeys(service, r.order.target, p.plain)
	own := p.kinds[kind]
	if own == nil {
		if len(p.kinds) >= maxRoutes {
			return
		}
		own = &PaceSum{}
		p.kinds[kind] = own
	}
	peers := r.recentPeerPaces(now)[keys.kind(kind)]
	if n := own.Answers + peers.Answers; n >= minKindBaseline {
		bin := paceBin(x - (own.LogSum+peers.LogSum)/n)
		if isTarget {
			p.decay(now)
			p.target[bin]++
		} else {
			p.old[bin]++
		}
	}
	if !isTarget {
		own.Answers, own.LogSum = own.Answers+1, own.LogSum+x
	}
}

// LocalPaces returns this instance's sums, to be sent to other instances.
func (r *Rollout) LocalPaces(now time.Time, service string) PacesByKey {
	out := PacesByKey{}
	if !r.Running() {
		return out
	}
	p, keys := r.evidence.paces, newPaceKeys(service, r.order.target, r.evidence.paces.plain)
	p.decay(now)
	for k, s := range p.kinds {
		out[keys.kind(k)] = *s
	}
	for i := range paceBins {
		if p.old[i] > 0 {
			out[keys.old(i)] = PaceSum{Answers: p.old[i]}
		}
		if p.target[i] >= minReportedAnswers {
			out[keys.target(i)] = PaceSum{Answers: p.target[i]}
		}
	}
	return out
}

// SetPeerPaces sets the sums of all other instances.
func (r *Rollout) SetPeerPaces(now time.Time, others PacesByKey) {
	r.peerPaces, r.peerPacesAt = others, now
}

// peerPacesMaxAge is how long sums of other instances are used; they are sent several times a second.
const peerPacesMaxAge = 2 * time.Second

func (r *Rollout) recentPeerPaces(now time.Time) PacesByKey {
	if now.Sub(r.peerPacesAt) >= peerPacesMaxAge {
		return nil
	}
	return r.peerPaces
}

// PaceSummary describes the paces of both versions at all instances, for decisions and logs.
type PaceSummary struct {
	Baseline   float64 // answers of the old version
	Answers    float64 // answers of the new version, older ones less
	Fast       float64 // of these, answers as fast as those of idle endpoints of the old version
	OldFast    float64 // of Baseline, the same
	Plain      bool    // the answers are not streams
	RangeRatio float64 // third quartile of the new version's paces over the first one
	TimesIdle  float64 // median of the new version's paces over the pace of idle endpoints of the old version
}

// PaceSummary returns a summary of the paces at all instances.
func (r *Rollout) PaceSummary(now time.Time, service string) PaceSummary {
	var out PaceSummary
	if r.order == nil {
		return out
	}
	p, peers, keys := r.evidence.paces, r.recentPeerPaces(now), newPaceKeys(service, r.order.target, r.evidence.paces.plain)
	p.decay(now)
	out.Plain = p.plain
	old, target := p.old, p.target
	for i := range paceBins {
		old[i] += peers[keys.old(i)].Answers
		target[i] += peers[keys.target(i)].Answers
		out.Baseline += old[i]
		out.Answers += target[i]
	}
	if out.Baseline == 0 || out.Answers == 0 {
		return out
	}
	idle := quantileBin(&old, paceQuantile)
	limit := idle + math.Log(paceTolerance)/math.Log(paceBinRatio)
	for i := range paceBins {
		if float64(i) <= limit {
			out.Fast += target[i]
			out.OldFast += old[i]
		}
	}
	out.RangeRatio = math.Pow(paceBinRatio, quantileBin(&target, 0.75)-quantileBin(&target, 0.25))
	out.TimesIdle = math.Pow(paceBinRatio, quantileBin(&target, 0.5)-idle)
	return out
}

// quantileBin returns the quantile of a histogram in bins, interpolated within a bin.
func quantileBin(h *[paceBins]float64, q float64) float64 {
	total := 0.0
	for _, n := range h {
		total += n
	}
	rest := q * total
	for i, n := range h {
		if n > 0 && rest <= n {
			return float64(i) + rest/n
		}
		rest -= n
	}
	return paceBins
}

// isSlow reports whether the new version never reaches the pace of an idle endpoint of the old one.
func (s PaceSummary) isSlow() bool {
	if s.Plain {
		return s.Baseline >= minPaceBaseline && s.RangeRatio <= maxIdlePaceRange && s.plainEvidence() >= minPlainPaceEvidence
	}
	return s.Baseline >= minPaceBaseline && s.Answers >= minPaceSamples && s.Fast <= maxFastShare*s.Answers && s.RangeRatio <= maxIdlePaceRange
}

// plainEvidence returns a lower bound of the negative logarithm of the probability that a version as fast as the old one has as
// few fast answers: the Chernoff bound of a binomial distribution.
func (s PaceSummary) plainEvidence() float64 {
	if s.Answers == 0 || s.Baseline == 0 {
		return 0
	}
	share, oldShare := s.Fast/s.Answers, min(s.OldFast/s.Baseline, 0.99)
	if share >= oldShare {
		return 0
	}
	out := (1 - share) * math.Log((1-share)/(1-oldShare))
	if share > 0 {
		out += share * math.Log(share/oldShare)
	}
	return s.Answers * out
}

// EvaluatePace compares the paces at all instances and reports whether it rolled the version back. It needs endpoints of the
// new version that are idle, as they are until all requests shift.
func (r *Rollout) EvaluatePace(now time.Time, service string) bool {
	if !r.Running() || !r.order.stateRead || r.shifted || r.canaryShare > maxIdleShare || !r.PaceSummary(now, service).isSlow() {
		return false
	}
	return r.rollBack("slow pace")
}

// String formats the summary for logs.
func (s PaceSummary) String() string {
	return fmt.Sprintf("%.0f old answers, %.1f new ones, %.1f of them as fast as old idle endpoints, quartiles %.2f, median %.2f times idle",
		s.Baseline, s.Answers, s.Fast, s.RangeRatio, s.TimesIdle)
}
