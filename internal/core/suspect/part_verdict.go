package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// PartVerdict states whether a request may be sent.
type PartVerdict int

// Verdicts on the parts of a prompt.
const (
	PartsAllowed PartVerdict = iota
	PartsRefused             // a part or the content crashes endpoints
	PartsOnTrial             // the refusal of a part is due for a trial; see StartTrial
	PartsPending             // a part may be refused within Settings.SettleTime
)

// Verdict returns whether a request with the parts in its prompt may be sent, and the mark that decided it.
func (r *PartRegistry) Verdict(now time.Time, ids []string) (PartVerdict, PartMark) {
	if len(r.marks) == 0 {
		return PartsAllowed, PartMark{}
	}
	hashes := r.hashParts(ids)
	verdict, decisive := PartsAllowed, PartMark{}
	for _, h := range hashes {
		m := r.marks[h]
		if m == nil || m.RefusedAt.IsZero() && !m.pending || !containsAll(hashes, m.Companions) {
			continue
		}
		switch {
		case m.RefusedAt.IsZero():
			verdict, decisive = PartsPending, m.clone()
		case now.Sub(m.RefusedAt) < r.refusePeriod(m.Trials):
			return PartsRefused, m.clone()
		default:
			verdict, decisive = PartsOnTrial, m.clone()
		}
	}
	return verdict, decisive
}

func containsAll(l, subset []PartHash) bool {
	return !slices.ContainsFunc(subset, func(h PartHash) bool { return !slices.Contains(l, h) })
}

// refusePeriod returns how long a part is refused after a number of trials.
func (r *PartRegistry) refusePeriod(trials int) time.Duration {
	d := r.settings.RefusePeriod
	for range trials {
		if d *= 2; d >= r.settings.MaxRefusePeriod {
			return r.settings.MaxRefusePeriod
		}
	}
	return d
}

// StartTrial extends the refusal of a part for everyone and returns the mark to send to the other instances. If that
// succeeds, the caller may send one request with the part.
func (r *PartRegistry) StartTrial(now time.Time, h PartHash) (PartMark, bool) {
	m := r.marks[h]
	if m == nil || m.RefusedAt.IsZero() || now.Sub(m.RefusedAt) < r.refusePeriod(m.Trials) {
		return PartMark{}, false
	}
	m.RefusedAt, m.Trials = now, m.Trials+1
	return m.clone(), true
}

// Evaluate decides on new refusals and returns their marks.
//
// Each death is explained by the part that explains most deaths, so that a part that was only running beside it is not
// blamed. Among parts that were in the same prompts, the most specific one is blamed first: if that is wrong, deaths
// go on and the other one follows.
func (r *PartRegistry) Evaluate(now time.Time) []PartMark {
	out := r.evaluateContents(now)
	suspicious := r.suspicious(now)
	if len(suspicious) == 0 {
		return out
	}
	explained := r.explainedDeaths()
	r.attributeDeaths(suspicious)
	for {
		m, e := r.strongest(suspicious, explained)
		if m == nil {
			return out
		}
		explain(explained, m)
		if !r.suffices(e) {
			continue
		}
		m.pending = !r.isSettled(now, m, e)
		if !m.pending && r.responses-m.controlsAtStart >= r.settings.MinControls {
			m.RefusedAt = now
			r.version++
			r.changed[m.Part] = true
			out = append(out, m.clone())
		}
	}
}

// isSettled reports whether other instances have had the time to clear a part, which is shorter the more deaths count.
func (r *PartRegistry) isSettled(now time.Time, m *partState, e evidence) bool {
	return now.Sub(m.candidateSince) >= r.settings.SettleTime*time.Duration(r.settings.MinDeaths)/time.Duration(e.incidents)
}

// explainedDeaths returns the processes whose end is explained by a refused part, or by a refused content of many requests.
func (r *PartRegistry) explainedDeaths() map[uint64]bool {
	out := map[uint64]bool{}
	for _, m := range r.marks {
		if !m.RefusedAt.IsZero() && (!m.Content || m.contentEvidence(nil).requests >= minExplainingRequests) {
			explain(out, m)
		}
	}
	return out
}

// explain adds the deaths of a part to the explained ones.
func explain(explained map[uint64]bool, m *partState) {
	for _, d := range m.Deaths {
		explained[d.Process] = true
	}
}

// suspicious returns the parts that may have crashed endpoints and are not refused, in a fixed order.
func (r *PartRegistry) suspicious(now time.Time) []*partState {
	var out []*partState
	for _, m := range r.partMarks {
		if len(m.Deaths) >= r.settings.MinDeaths && m.RefusedAt.IsZero() {
			m.pending = false
			r.updateCandidate(now, m)
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *partState) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

// strongest returns the candidate with most evidence or, if it was in the prompt of each request with other suspicious parts,
// the strongest of these. It returns nil if there is no candidate with enough unexplained deaths.
func (r *PartRegistry) strongest(l []*partState, explained map[uint64]bool) (*partState, evidence) {
	best, e := r.heaviest(l, explained, func(m *partState, e evidence) bool { return !m.candidateSince.IsZero() && r.suffices(e) })
	for range l {
		if best == nil {
			break
		}
		specific, weaker := r.heaviest(l, explained, func(m *partState, _ evidence) bool {
			return slices.Contains(m.Companions, best.Part) && !slices.Contains(best.Companions, m.Part)
		})
		if specific == nil {
			break
		}
		best, e = specific, weaker
	}
	return best, e
}

// heaviest returns the suspicious part with most evidence of those that match.
func (r *PartRegistry) heaviest(l []*partState, explained map[uint64]bool, match func(*partState, evidence) bool) (*partState, evidence) {
	var best *partState
	var most evidence
	for _, m := range l {
		e := m.unattributed(explained, r.settings.CommonCauseWindow)
		if !r.isSuspicious(e) || !match(m, e) {
			continue
		}
		if best == nil || cmp.Or(e.compare(most), cmp.Compare(len(m.Companions), len(best.Companions))) > 0 {
			best, most = m, e
		}
	}
	return best, most
}

// unattributed returns what counts against the part besides the deaths that are explained or attributed to contents.
func (m *partState) unattributed(explained map[uint64]bool, commonCauseWindow time.Duration) evidence {
	if len(m.attributed) == 0 {
		return m.evidence(explained, commonCauseWindow)
	}
	all := maps.Clone(m.attributed)
	maps.Copy(all, explained)
	return m.evidence(all, commonCauseWindow)
}

// RemainingRefusal returns how long a part is still refused before a trial is due.
func (r *PartRegistry) RemainingRefusal(now time.Time, m PartMark) time.Duration {
	return max(0, r.refusePeriod(m.Trials)-now.Sub(m.RefusedAt))
}

// IsRefused reports whether a part is refused.
func (r *PartRegistry) IsRefused(h PartHash) bool {
	m := r.marks[h]
	return m != nil && !m.RefusedAt.IsZero()
}

// RefusedCount returns the number of parts that are refused.
func (r *PartRegistry) RefusedCount() int {
	n := 0
	for _, m := range r.marks {
		if !m.RefusedAt.IsZero() {
			n++
		}
	}
	return n
}
