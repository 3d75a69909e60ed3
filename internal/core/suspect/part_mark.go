package suspect

import (
	"cmp"
	"slices"
	"time"
)

// PartHash is a hash of the identifier of a part of a prompt, or of a request's content.
type PartHash uint64

// EndpointDeath is the end of one process of an endpoint while it was to run requests with a part.
type EndpointDeath struct {
	Process  uint64    `json:"process"` // hash that identifies the process of the endpoint
	Request  uint64    `json:"request"` // hash of the identifier of a request with the part, or of its content
	At       time.Time `json:"at"`
	Reporter string    `json:"reporter"`       // instance whose request had been sent there
	Late     bool      `json:"late,omitempty"` // the response had gone on for a while
}

// PartMark holds the evidence against a part of prompts or a content. Marks of the same part merge in any order.
type PartMark struct {
	Part PartHash `json:"part"`
	ID   string   `json:"id"` // identifier in requests, shortened; for logs
	// Content tells that it is the whole content of requests.
	Content bool `json:"content,omitempty"`
	// Generation counts how often responses have shown the part to be harmless. Only deaths since the last time count.
	Generation int             `json:"generation,omitempty"`
	Deaths     []EndpointDeath `json:"deaths,omitempty"`
	// Companions are parts that were in the prompt of each request with this part that met a death, and have not been
	// shown to be harmless. While there are any, the evidence is only against prompts with all of these parts.
	Companions []PartHash `json:"companions,omitempty"`
	RefusedAt  time.Time  `json:"refused,omitzero"` // when the refusal began or its last trial was made
	Trials     int        `json:"trials,omitempty"` // requests that were sent in spite of the refusal
}

// Rebase converts the times of a mark from the clock of the instance that wrote it to this instance's clock, as both may
// differ by hours. Elapsed is the time since it was written, as far as this instance can tell.
func (m PartMark) Rebase(now, written time.Time, elapsed time.Duration) PartMark {
	rebase := func(t time.Time) time.Time { return now.Add(-elapsed - max(0, written.Sub(t))) }
	out := m.clone()
	for i := range out.Deaths {
		out.Deaths[i].At = rebase(out.Deaths[i].At)
	}
	if !out.RefusedAt.IsZero() {
		out.RefusedAt = rebase(out.RefusedAt)
	}
	return out
}

// clone returns a copy that shares no memory with the mark.
func (m *PartMark) clone() PartMark {
	c := *m
	c.Deaths, c.Companions = slices.Clone(m.Deaths), slices.Clone(m.Companions)
	return c
}

// addDeath adds a death, with the other parts of the request, and reports whether the mark changed.
func (m *PartMark) addDeath(d EndpointDeath, companions []PartHash, limits PartSettings) bool {
	changed := false
	if len(m.Deaths) == 0 {
		m.Companions = slices.Clone(companions[:min(len(companions), limits.MaxCompanions)])
	} else {
		changed = m.retainCompanions(companions)
	}
	if i := slices.IndexFunc(m.Deaths, func(o EndpointDeath) bool { return o.Process == d.Process }); i >= 0 {
		if m.Deaths[i].Late && !d.Late {
			m.Deaths[i].Late, changed = false, true
		}
		return changed
	}
	m.Deaths = append(m.Deaths, d)
	slices.SortFunc(m.Deaths, func(a, b EndpointDeath) int { return a.At.Compare(b.At) })
	m.Deaths = m.Deaths[max(0, len(m.Deaths)-limits.MaxDeaths):]
	return true
}

// retainCompanions drops the companions that are not in a list and reports whether there were any.
func (m *PartMark) retainCompanions(l []PartHash) bool {
	n := len(m.Companions)
	m.Companions = slices.DeleteFunc(m.Companions, func(c PartHash) bool { return !slices.Contains(l, c) })
	return len(m.Companions) < n
}

// reset starts a new generation without evidence.
func (m *PartMark) reset() {
	m.Generation++
	m.Deaths, m.Companions, m.RefusedAt, m.Trials = nil, nil, time.Time{}, 0
}

// merge adds the evidence of another mark of the same part and reports whether the mark changed.
func (m *PartMark) merge(o PartMark, limits PartSettings) bool {
	switch {
	case o.Generation < m.Generation:
		return false
	case o.Generation > m.Generation:
		id := m.ID
		if *m = o.clone(); m.ID == "" {
			m.ID = id
		}
		return true
	}
	if m.ID == "" {
		m.ID = o.ID
	}
	changed := false
	for _, d := range o.Deaths {
		changed = m.addDeath(d, o.Companions, limits) || changed
	}
	if !o.RefusedAt.IsZero() && (m.RefusedAt.IsZero() || o.Trials > m.Trials || o.Trials == m.Trials && o.RefusedAt.Before(m.RefusedAt)) {
		m.RefusedAt, m.Trials = o.RefusedAt, o.Trials
		changed = true
	}
	return changed
}

// covers reports whether the mark holds all the evidence of another mark of the same part.
func (m *PartMark) covers(o PartMark) bool {
	if m.Generation != o.Generation {
		return m.Generation > o.Generation
	}
	for _, d := range o.Deaths {
		if !slices.ContainsFunc(m.Deaths, func(e EndpointDeath) bool { return e.Process == d.Process }) {
			return false
		}
	}
	for _, c := range m.Companions {
		if !slices.Contains(o.Companions, c) {
			return false
		}
	}
	return o.RefusedAt.IsZero() || !m.RefusedAt.IsZero() && m.Trials >= o.Trials
}

// lastDeath returns the time of the latest death, or the zero time if there is none.
func (m *PartMark) lastDeath() time.Time {
	if len(m.Deaths) == 0 {
		return time.Time{}
	}
	return m.Deaths[len(m.Deaths)-1].At
}

// evidence is what counts against a part.
type evidence struct {
	incidents int // deaths; those at the same moment count once, as a zone or a switch that fails ends many endpoints
	requests  int // requests that met them; a harmless request that is sent again may meet several
}

// evidence returns what counts against the part besides the deaths that are explained.
func (m *PartMark) evidence(explained map[uint64]bool, commonCauseWindow time.Duration) evidence {
	var out evidence
	var begin time.Time
	requests := make([]uint64, 0, len(m.Deaths))
	for _, d := range m.Deaths {
		if explained[d.Process] {
			continue
		}
		if out.incidents == 0 || d.At.Sub(begin) >= commonCauseWindow {
			out.incidents, begin = out.incidents+1, d.At
		}
		if !slices.Contains(requests, d.Request) {
			requests = append(requests, d.Request)
		}
	}
	out.requests = len(requests)
	return out
}

// compare orders evidence by its weight.
func (e evidence) compare(o evidence) int {
	return cmp.Or(cmp.Compare(e.requests, o.requests), cmp.Compare(e.incidents, o.incidents))
}
