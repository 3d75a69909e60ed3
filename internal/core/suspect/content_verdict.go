package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Weights of the end of an endpoint against the content that it ran. A response that went on for a while before the end makes
// it less likely that the content is the cause.
const (
	earlyDeathWeight = 3
	lateDeathWeight  = 2
	refusalWeight    = 6 // of a content that alone explains all deaths: two early ones or three late ones
)

// RecordContentDeath records that a process of an endpoint ended before it had completed its response to a request with a
// content, whose prompt has the parts. Late tells that the response had gone on for a while. It returns false if the death does
// not count, because a response to the content was completed shortly before.
func (r *PartRegistry) RecordContentDeath(now time.Time, process uint64, request, content string, ids []string, late bool) bool {
	h := hashPart(content)
	r.recentContents.add(now, true, r.settings.DeathRateHalfLife)
	if r.isHarmless(now, h) {
		return false
	}
	m := r.contentMark(now, h)
	m.ID, m.local, m.prompt = shortenID(content), true, r.hashParts(ids)
	d := EndpointDeath{Process: process, Request: xxhash.Sum64String(request), At: now, Reporter: r.settings.Instance, Late: late}
	if m.addDeath(d, nil, r.settings) {
		r.changed[h], m.updatedAt = true, now
		r.version++
	}
	return true
}

// RecordCompletion records that an endpoint has completed a response to a content, which clears it.
func (r *PartRegistry) RecordCompletion(now time.Time, content string) {
	h := hashPart(content)
	r.recentContents.add(now, false, r.settings.DeathRateHalfLife)
	if len(r.harmlessAt) >= r.settings.MaxParts {
		r.pruneHarmless(now)
	}
	r.harmlessAt[h] = now
	if m := r.marks[h]; m != nil && len(m.Deaths) > 0 {
		r.clear(now, m)
	}
}

// contentEvidence is what counts against a content besides the deaths that are explained.
type contentEvidence struct {
	deaths   int
	weight   int
	requests int // requests that met the deaths; the router itself sends a request again after the first one
}

// contentEvidence returns what counts against the content besides the deaths that are explained.
func (m *PartMark) contentEvidence(explained map[uint64]bool) contentEvidence {
	var e contentEvidence
	requests := make([]uint64, 0, len(m.Deaths))
	for _, d := range m.Deaths {
		if explained[d.Process] {
			continue
		}
		e.deaths++
		if d.Late {
			e.weight += lateDeathWeight
		} else {
			e.weight += earlyDeathWeight
		}
		if !slices.Contains(requests, d.Request) {
			requests = append(requests, d.Request)
		}
	}
	e.requests = len(requests)
	return e
}

// compare orders evidence by its weight.
func (e contentEvidence) compare(o contentEvidence) int {
	return cmp.Or(cmp.Compare(e.requests, o.requests), cmp.Compare(e.weight, o.weight))
}

// evaluateContents decides on new refusals of contents, adds the deaths that they explain and returns their marks.
//
// A content is refused at once if nothing else explains the deaths: it was running wherever an endpoint ended, and no other
// content or part was. Otherwise it takes repeats of the request and more deaths than chance makes likely. Each death is
// explained by the content with most evidence, so that requests that were only running beside it are not blamed.
func (r *PartRegistry) evaluateContents(now time.Time) []PartMark {
	if r.version == r.evaluated && !r.contentPending {
		return nil
	}
	r.evaluated, r.contentPending = r.version, false
	candidates := r.suspiciousContents()
	if len(candidates) == 0 {
		return nil
	}
	explained := r.explainedDeaths()
	deaths := r.deathsByProcess()
	var out []PartMark
	for len(candidates) > 0 {
		m, e := strongestContent(candidates, explained)
		if e.deaths < minContentDeaths {
			break
		}
		candidates = slices.DeleteFunc(candidates, func(o *partState) bool { return o == m })
		if !r.convicts(m, e, deaths, explained) {
			m.candidateSince = time.Time{}
			continue
		}
		if m.candidateSince.IsZero() {
			m.candidateSince = now
		}
		if e.requests >= minExplainingRequests {
			explain(explained, m)
		}
		if now.Sub(m.candidateSince) < r.settings.SettleTime*minContentDeaths/time.Duration(e.deaths) {
			m.pending, r.contentPending = true, true
			continue
		}
		m.RefusedAt = now
		r.changed[m.Part] = true
		r.version++
		out = append(out, m.clone())
	}
	for _, m := range candidates {
		m.candidateSince = time.Time{}
	}
	return out
}

// minContentDeaths is the number of deaths that are looked at; a request that runs where one endpoint ends is no suspect.
const minContentDeaths = 2

// minExplainingRequests is the number of requests with a content from which on their deaths do not count against others. A sound
// request and its repeat meet many deaths while most endpoints end for another cause.
const minExplainingRequests = 3

// suspiciousContents returns the contents that may have crashed endpoints and are not refused, in a fixed order. An instance
// decides only on contents that it has sent itself, as it knows their prompts.
func (r *PartRegistry) suspiciousContents() []*partState {
	var out []*partState
	for _, m := range r.marks {
		if m.Content && m.local && m.RefusedAt.IsZero() && len(m.Deaths) >= minContentDeaths {
			m.pending = false
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *partState) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

// strongestContent returns the content with most evidence.
func strongestContent(l []*partState, explained map[uint64]bool) (*partState, contentEvidence) {
	var best *partState
	var most contentEvidence
	for _, m := range l {
		if e := m.contentEvidence(explained); best == nil || e.compare(most) > 0 {
			best, most = m, e
		}
	}
	return best, most
}

// convicts reports whether evidence against a content is enough to refuse it.
func (r *PartRegistry) convicts(m *partState, e contentEvidence, deaths map[uint64][]*partState, explained map[uint64]bool) bool {
	if e.weight >= refusalWeight && !m.hasRival(deaths, explained) && explainsAll(m, deaths, explained) {
		return true
	}
	e = m.contentEvidence(r.explainedByParts(m, e, deaths, explained))
	n := r.minDeaths(&r.recentContents, r.settings.MaxContentChance, r.settings.MaxContentDeaths)
	return e.requests >= r.settings.MinRequests && e.weight >= earlyDeathWeight*n
}

// explainedByParts returns the explained deaths with those that suspicious parts have met, unless they are of the content's own
// prompt or have met fewer deaths than the content.
func (r *PartRegistry) explainedByParts(m *partState, e contentEvidence, deaths map[uint64][]*partState, explained map[uint64]bool) map[uint64]bool {
	out := maps.Clone(explained)
	seen := map[*partState]bool{}
	for _, d := range m.Deaths {
		for _, o := range deaths[d.Process] {
			if o.Content || seen[o] || slices.Contains(m.prompt, o.Part) {
				continue
			}
			seen[o] = true
			if p := o.evidence(explained, r.settings.CommonCauseWindow); r.isSuspicious(p) && p.incidents >= e.deaths {
				explain(out, o)
			}
		}
	}
	return out
}

// explainsAll reports whether the content was running wherever an endpoint ended since its first death.
func explainsAll(m *partState, deaths map[uint64][]*partState, explained map[uint64]bool) bool {
	from := m.Deaths[0].At.Add(-otherDeathsWindow)
	for p, l := range deaths {
		if explained[p] || m.hasMet(p) {
			continue
		}
		for _, o := range l {
			if !o.deathOf(p).At.Before(from) {
				return false
			}
		}
	}
	return true
}

// otherDeathsWindow is the time before the first death of a content in which other endpoints may have ended for the same cause.
const otherDeathsWindow = 3 * time.Second

// hasRival reports whether another content, or a part that is not in its prompt, has met all unexplained deaths of a content.
func (m *partState) hasRival(deaths map[uint64][]*partState, explained map[uint64]bool) bool {
	i := slices.IndexFunc(m.Deaths, func(d EndpointDeath) bool { return !explained[d.Process] })
	return slices.ContainsFunc(deaths[m.Deaths[i].Process], func(o *partState) bool {
		return o != m && !slices.Contains(m.prompt, o.Part) &&
			!slices.ContainsFunc(m.Deaths, func(d EndpointDeath) bool { return !explained[d.Process] && !o.hasMet(d.Process) })
	})
}

// deathOf returns the death of a process, which the mark must have.
func (m *PartMark) deathOf(process uint64) EndpointDeath {
	return m.Deaths[slices.IndexFunc(m.Deaths, func(d EndpointDeath) bool { return d.Process == process })]
}

// attributeDeaths attributes the deaths that a repeated request met to its content instead of the parts of its prompt. It does not if
// a request with another content and the same part met a further death: they have only the part in common.
func (r *PartRegistry) attributeDeaths(parts []*partState) {
	for _, p := range parts {
		p.attributed = nil
		c := r.repeatedContent(p)
		if c == nil || slices.ContainsFunc(p.Deaths, func(d EndpointDeath) bool { return !c.hasMet(d.Process) }) {
			continue
		}
		p.attributed = map[uint64]bool{}
		explain(p.attributed, c)
	}
}

// repeatedContent returns the repeated content with most deaths among those of the requests with a part, or nil if there is none.
func (r *PartRegistry) repeatedContent(p *partState) *partState {
	var best *partState
	for _, d := range p.Deaths {
		c := r.marks[PartHash(d.Request)]
		if c == nil || !c.Content || len(c.Deaths) < minContentDeaths || c.contentEvidence(nil).requests < r.settings.MinRequests {
			continue
		}
		if best == nil || len(c.Deaths) > len(best.Deaths) {
			best = c
		}
	}
	return best
}

// hasMet reports whether the mark has the death of a process.
func (m *PartMark) hasMet(process uint64) bool {
	return slices.ContainsFunc(m.Deaths, func(d EndpointDeath) bool { return d.Process == process })
}

// deathsByProcess returns the marks that have met the end of each process.
func (r *PartRegistry) deathsByProcess() map[uint64][]*partState {
	out := map[uint64][]*partState{}
	for _, m := range r.marks {
		for _, d := range m.Deaths {
			out[d.Process] = append(out[d.Process], m)
		}
	}
	return out
}
