package suspect

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PartSettings configures a PartRegistry.
type PartSettings struct {
	Instance          string        // name of this instance
	MinDeaths         int           // deaths that make a part a candidate for refusal, if few requests meet one
	DecisiveDeaths    int           // deaths that do so however many requests meet one
	MaxChance         float64       // largest probability at which a harmless part meets as many deaths as a candidate has
	MaxContentChance  float64       // the same of a content
	MaxContentDeaths  int           // deaths that are enough against a content however many requests meet one
	DeathRateHalfLife time.Duration // of the counts from which the probability is estimated
	MinRequests       int           // requests that must have met them
	SettleTime        time.Duration // from the last of MinDeaths to the refusal, in which other instances may clear the part; shorter with more deaths
	CommonCauseWindow time.Duration // deaths within it count as one
	HarmlessMemory    time.Duration // a death does not count against a part that an engine responded to within this time before
	MinControls       int           // responses to prompts without the part since its first death, so that an outage refuses nothing
	RefusePeriod      time.Duration // before the first trial; doubles with each trial
	MaxRefusePeriod   time.Duration
	Retention         time.Duration // for marks without a refusal, from their last death on
	MaxParts          int           // marks that are kept at most, and as many times of harmless responses
	MaxPromptParts    int           // parts of one prompt that are considered
	MaxDeaths         int           // deaths that are kept for each part
	MaxCompanions     int           // companions that are kept for each part
	RepairDelay       time.Duration // before a mark is sent only because another instance's mark lacks some of its evidence
}

// DefaultPartSettings returns the settings of an instance.
func DefaultPartSettings(instance string) PartSettings {
	return PartSettings{
		Instance:          instance,
		MinDeaths:         3,
		DecisiveDeaths:    5,
		MaxChance:         1e-3,
		MaxContentChance:  1e-5,
		MaxContentDeaths:  5,
		DeathRateHalfLife: 5 * time.Second,
		MinRequests:       2,
		SettleTime:        700 * time.Millisecond,
		CommonCauseWindow: 100 * time.Millisecond,
		HarmlessMemory:    3 * time.Second,
		MinControls:       3,
		RefusePeriod:      time.Minute,
		MaxRefusePeriod:   30 * time.Minute,
		Retention:         10 * time.Minute,
		MaxParts:          1 << 12,
		MaxPromptParts:    32,
		MaxDeaths:         24,
		MaxCompanions:     8,
		RepairDelay:       5 * time.Second,
	}
}

// maxPartIDBytes limits the identifier of a part that is kept for logs.
const maxPartIDBytes = 32

// partState is a mark with what only this instance knows of it.
type partState struct {
	PartMark

	candidateSince  time.Time // when this instance knew of MinDeaths incidents; zero before
	controlsAtStart int       // value of PartRegistry.responses when the generation's first death became known
	updatedAt       time.Time // when the evidence last changed
	pending         bool      // it will be refused unless another instance clears it within the settle time

	local      bool            // of a content that this instance has sent to an endpoint that ended
	prompt     []PartHash      // parts of the prompt of such a content
	attributed map[uint64]bool // processes that ended under repeated contents whose prompts have the part
}

// PartRegistry finds parts of prompts and whole contents of requests that crash endpoints. A part is refused if endpoints ended
// several times while they were to begin a response to it, none has begun one since, and responses to other prompts do begin.
// A content counts as one more part, which only equal requests share, with rules of its own: see RecordContentDeath and
// evaluateContents. It is not safe for concurrent use.
type PartRegistry struct {
	settings   PartSettings
	marks      map[PartHash]*partState
	partMarks  map[PartHash]*partState // marks that are not of contents
	harmlessAt map[PartHash]time.Time  // time of the last response to a prompt with the part
	responses  int                     // responses that began
	recent     deathRate               // of requests before a response begins
	// recentContents is the rate of requests that meet a death before their response is complete.
	recentContents deathRate
	version        int                    // of the evidence
	evaluated      int                    // version of which contents were evaluated last
	contentPending bool                   // the decision on a content depends on time
	changed        map[PartHash]bool      // marks with evidence that other instances lack
	repairAt       map[PartHash]time.Time // when to send marks whose newest record lacks evidence that all instances have seen
}

// NewPartRegistry returns an empty registry.
func NewPartRegistry(s PartSettings) *PartRegistry {
	return &PartRegistry{
		settings: s, marks: map[PartHash]*partState{}, partMarks: map[PartHash]*partState{}, harmlessAt: map[PartHash]time.Time{},
		changed: map[PartHash]bool{}, repairAt: map[PartHash]time.Time{},
	}
}

// ProcessHash returns the hash that identifies a process of an endpoint.
func ProcessHash(endpoint string, startedAtMS int64) uint64 {
	return xxhash.Sum64String(endpoint + "\x00" + strconv.FormatInt(startedAtMS, 10))
}

// hashParts returns the hashes of the identifiers of a prompt's parts.
func (r *PartRegistry) hashParts(ids []string) []PartHash {
	out := make([]PartHash, 0, len(ids))
	for _, id := range ids[:min(len(ids), r.settings.MaxPromptParts)] {
		out = append(out, hashPart(id))
	}
	return out
}

func hashPart(id string) PartHash { return PartHash(xxhash.Sum64String(id)) }

// RecordDeath records that a process of an endpoint ended before it had begun a response to a request whose prompt has the
// parts. Request identifies the request, or its content where that is known.
func (r *PartRegistry) RecordDeath(now time.Time, process uint64, request string, ids []string) {
	hashes := r.hashParts(ids)
	suspects := slices.DeleteFunc(slices.Clone(hashes), func(h PartHash) bool { return r.isHarmless(now, h) })
	r.recent.add(now, true, r.settings.DeathRateHalfLife)
	d := EndpointDeath{Process: process, Request: xxhash.Sum64String(request), At: now, Reporter: r.settings.Instance}
	for i, h := range hashes {
		if !slices.Contains(suspects, h) {
			continue
		}
		companions := slices.DeleteFunc(slices.Clone(suspects), func(c PartHash) bool { return c == h })
		m := r.mark(now, h)
		if m.ID == "" {
			m.ID = shortenID(ids[i])
		}
		if m.addDeath(d, companions, r.settings) {
			r.changed[h], m.updatedAt = true, now
			r.version++
			r.updateCandidate(now, m)
		}
	}
}

// shortenID returns the beginning of a part's identifier.
func shortenID(id string) string { return id[:min(len(id), maxPartIDBytes)] }

// isHarmless reports whether an endpoint has recently begun a response to a prompt with the part.
func (r *PartRegistry) isHarmless(at time.Time, h PartHash) bool {
	t, ok := r.harmlessAt[h]
	return ok && at.Sub(t) < r.settings.HarmlessMemory
}

// RecordResponse records that an endpoint has begun a response to a prompt with the parts and has not ended.
func (r *PartRegistry) RecordResponse(now time.Time, ids []string) {
	r.responses++
	r.recent.add(now, false, r.settings.DeathRateHalfLife)
	hashes := r.hashParts(ids)
	for _, h := range hashes {
		if len(r.harmlessAt) >= r.settings.MaxParts {
			r.pruneHarmless(now)
		}
		r.harmlessAt[h] = now
		if m := r.marks[h]; m != nil && len(m.Deaths) > 0 {
			r.clear(now, m)
		}
	}
	r.dropCompanions(hashes)
}

// clear removes the evidence against a part, which other instances must learn.
func (r *PartRegistry) clear(now time.Time, m *partState) {
	m.reset()
	m.candidateSince, m.controlsAtStart, m.updatedAt, m.pending = time.Time{}, r.responses, now, false
	r.version++
	r.changed[m.Part] = true
}

// dropCompanions removes harmless parts from the companions of refused parts and of candidates.
func (r *PartRegistry) dropCompanions(harmless []PartHash) {
	for h, m := range r.partMarks {
		if len(m.Companions) == 0 || m.candidateSince.IsZero() && m.RefusedAt.IsZero() {
			continue
		}
		before := len(m.Companions)
		m.Companions = slices.DeleteFunc(m.Companions, func(c PartHash) bool { return slices.Contains(harmless, c) })
		if len(m.Companions) < before && !m.RefusedAt.IsZero() {
			r.changed[h] = true
		}
	}
}

// pruneHarmless makes room for further times of harmless responses.
func (r *PartRegistry) pruneHarmless(now time.Time) {
	maps.DeleteFunc(r.harmlessAt, func(_ PartHash, t time.Time) bool { return now.Sub(t) >= r.settings.HarmlessMemory })
	if len(r.harmlessAt) >= r.settings.MaxParts {
		clear(r.harmlessAt)
	}
}

// mark returns the mark of a part and adds one if there is none.
func (r *PartRegistry) mark(now time.Time, h PartHash) *partState {
	m := r.marks[h]
	if m == nil {
		r.evict(now)
		m = &partState{PartMark: PartMark{Part: h}, controlsAtStart: r.responses}
		r.marks[h], r.partMarks[h] = m, m
	}
	return m
}

// contentMark returns the mark of a content and adds one if there is none.
func (r *PartRegistry) contentMark(now time.Time, h PartHash) *partState {
	m := r.mark(now, h)
	m.Content = true
	delete(r.partMarks, h)
	return m
}

// updateCandidate notes when a part has met enough deaths, and drops the companions that are known to be harmless.
func (r *PartRegistry) updateCandidate(now time.Time, m *partState) {
	if m.Content || !m.candidateSince.IsZero() || len(m.Deaths) < r.settings.MinDeaths || !r.suffices(m.evidence(nil, r.settings.CommonCauseWindow)) {
		return
	}
	m.candidateSince = now
	m.Companions = slices.DeleteFunc(m.Companions, func(c PartHash) bool { return r.isHarmless(now, c) })
}

// isSuspicious reports whether evidence may be more than chance.
func (r *PartRegistry) isSuspicious(e evidence) bool {
	return e.requests >= r.settings.MinRequests && e.incidents >= r.settings.MinDeaths
}

// suffices reports whether evidence makes a part a candidate for refusal. The more requests of all kinds meet deaths, the
// more deaths it takes.
func (r *PartRegistry) suffices(e evidence) bool {
	return r.isSuspicious(e) && e.incidents >= r.minDeaths(&r.recent, r.settings.MaxChance, r.settings.DecisiveDeaths)
}

// minDeaths returns how many deaths in a row a harmless part or content meets with a probability of at most maxChance, or limit
// if that is less.
func (r *PartRegistry) minDeaths(rate *deathRate, maxChance float64, limit int) int {
	n := math.Ceil(math.Log(maxChance) / math.Log(min(rate.value(), 0.9)))
	return min(max(r.settings.MinDeaths, int(n)), limit)
}

// Merge adds a mark of another instance, whose times are of this instance's clock.
func (r *PartRegistry) Merge(now time.Time, o PartMark) {
	mark := r.mark
	if o.Content {
		mark = r.contentMark
	}
	m := mark(now, o.Part)
	generation := m.Generation
	if m.merge(o, r.settings) {
		m.updatedAt = now
		r.version++
	}
	if m.Generation != generation {
		m.candidateSince, m.controlsAtStart, m.pending = time.Time{}, r.responses, false
		if !m.Content {
			r.dropCompanions([]PartHash{o.Part})
		}
	}
	if t, ok := r.harmlessAt[o.Part]; ok && len(m.Deaths) > 0 && m.lastDeath().Sub(t) < r.settings.HarmlessMemory {
		r.clear(now, m)
	}
	r.updateCandidate(now, m)
	switch {
	case o.covers(m.PartMark):
		delete(r.changed, o.Part)
		delete(r.repairAt, o.Part)
	case r.repairAt[o.Part].IsZero():
		r.repairAt[o.Part] = now.Add(r.repairDelay(o.Part))
	}
}

// repairDelay returns a delay that differs between instances, so that one of them sends the mark and the others see it.
func (r *PartRegistry) repairDelay(h PartHash) time.Duration {
	x := xxhash.Sum64String(r.settings.Instance + strconv.FormatUint(uint64(h), 16))
	return r.settings.RepairDelay/4 + time.Duration(x%uint64(r.settings.RepairDelay))
}

// RepairMissing schedules the marks for which has returns false to be sent again, as their records were lost, and returns their number. One
// instance sends each first, and the others see it.
func (r *PartRegistry) RepairMissing(now time.Time, has func(PartHash) bool) int {
	n := 0
	for h := range r.marks {
		if !has(h) {
			r.repairAt[h] = now.Add(r.repairDelay(h))
			n++
		}
	}
	return n
}

// TakeChanged returns up to limit marks with evidence that other instances may lack, refused ones first. A mark that could
// not be sent is to be returned by RequeueChanged.
func (r *PartRegistry) TakeChanged(now time.Time, limit int) []PartMark {
	for h, t := range r.repairAt {
		if !now.Before(t) {
			r.changed[h] = true
			delete(r.repairAt, h)
		}
	}
	l := slices.SortedFunc(maps.Keys(r.changed), func(a, b PartHash) int { return r.compareUrgency(a, b) })
	out := make([]PartMark, 0, min(limit, len(l)))
	for _, h := range l[:min(limit, len(l))] {
		delete(r.changed, h)
		if m := r.marks[h]; m != nil {
			out = append(out, m.clone())
		}
	}
	return out
}

// compareUrgency orders parts whose marks are to be sent: refused ones, then those with most deaths.
func (r *PartRegistry) compareUrgency(a, b PartHash) int {
	rank := func(h PartHash) int {
		m := r.marks[h]
		switch {
		case m == nil:
			return 0
		case !m.RefusedAt.IsZero():
			return -r.settings.MaxDeaths - 1
		}
		return -len(m.Deaths)
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
}

// Evidence returns all marks, those that other instances need most first.
func (r *PartRegistry) Evidence() []PartMark {
	hashes := slices.SortedFunc(maps.Keys(r.marks), r.compareUrgency)
	out := make([]PartMark, len(hashes))
	for i, h := range hashes {
		out[i] = r.marks[h].clone()
	}
	return out
}

// RequeueChanged notes that marks from TakeChanged were not sent.
func (r *PartRegistry) RequeueChanged(l []PartMark) {
	for _, m := range l {
		if r.marks[m.Part] != nil {
			r.changed[m.Part] = true
		}
	}
}

// HasChanged reports whether TakeChanged would return a mark.
func (r *PartRegistry) HasChanged(now time.Time) bool {
	if len(r.changed) > 0 {
		return true
	}
	for _, t := range r.repairAt {
		if !now.Before(t) {
			return true
		}
	}
	return false
}

// DropExpired drops the marks that no longer affect a verdict. It should be called about once a minute.
func (r *PartRegistry) DropExpired(now time.Time) {
	for h, m := range r.marks {
		if r.isExpired(now, m) {
			r.drop(h)
		}
	}
}

// drop removes a mark.
func (r *PartRegistry) drop(h PartHash) {
	delete(r.marks, h)
	delete(r.partMarks, h)
	delete(r.changed, h)
	delete(r.repairAt, h)
}

// Has reports whether there is a mark of a part.
func (r *PartRegistry) Has(h PartHash) bool { return r.marks[h] != nil }

// isExpired reports whether a mark no longer affects a verdict. A refusal outlasts its longest period, so that a trial is
// made if requests with the part still come.
func (r *PartRegistry) isExpired(now time.Time, m *partState) bool {
	if !m.RefusedAt.IsZero() {
		return now.Sub(m.RefusedAt) > 2*r.settings.MaxRefusePeriod
	}
	return now.Sub(m.updatedAt) > r.settings.Retention
}

// evict makes room for a new mark: it drops expired marks and, if that is not enough, an eighth of the others, those with
// the fewest and oldest deaths first. Refused parts are kept longest.
func (r *PartRegistry) evict(now time.Time) {
	if len(r.marks) < r.settings.MaxParts {
		return
	}
	r.DropExpired(now)
	if len(r.marks) < r.settings.MaxParts {
		return
	}
	l := slices.SortedFunc(maps.Values(r.marks), func(a, b *partState) int {
		if x, y := a.RefusedAt.IsZero(), b.RefusedAt.IsZero(); x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(a.Deaths), len(b.Deaths)), a.lastDeath().Compare(b.lastDeath()), cmp.Compare(a.Part, b.Part))
	})
	for _, m := range l[:max(1, len(l)/8)] {
		r.drop(m.Part)
	}
}
