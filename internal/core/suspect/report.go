package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report holds the marks and leases that an instance sends to its peers.
type Report struct {
	Instance string  `json:"instance"`
	Marks    []Mark  `json:"marks,omitempty"`
	Leases   []Lease `json:"alone,omitempty"` // leases of this instance's suspects
}

// Report returns the report for the peers. It is sorted, so equal registries return equal reports.
func (r *Registry) Report() Report {
	p := Report{Instance: r.settings.Instance}
	for _, c := range slices.Sorted(maps.Keys(r.claims)) {
		p.Leases = append(p.Leases, Lease{c, r.claims[c].endpoint, r.claims[c].started})
	}
	for _, m := range r.marks {
		c := *m
		c.Deaths = slices.Clone(m.Deaths)
		slices.SortFunc(c.Deaths, func(a, b Death) int {
			return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Endpoint, b.Endpoint))
		})
		p.Marks = append(p.Marks, c)
	}
	slices.SortFunc(p.Marks, func(a, b Mark) int { return cmp.Compare(a.Content, b.Content) })
	return p
}

// MergeReport adds a peer's report to the registry; merging a report again changes nothing. Deaths in the future are
// moved to now, so that a peer with a fast clock cannot extend a refusal.
func (r *Registry) MergeReport(now time.Time, p Report) {
	for _, m := range p.Marks {
		for _, d := range m.Deaths {
			if d.At.After(now) {
				d.At = now
			}
			r.addDeath(now, m.Content, d)
		}
		if o := r.marks[m.Content]; o != nil && m.ClearedAt.After(o.ClearedAt) && !m.ClearedAt.After(now) {
			o.ClearedAt = m.ClearedAt
			r.snapshot = nil
		}
	}
	if len(p.Leases) == 0 {
		delete(r.peerLeases, p.Instance)
		return
	}
	r.peerLeases[p.Instance] = peerLeases{p.Leases, now.Add(r.settings.LeaseDuration)}
}

// Snapshot is an immutable snapshot of the marks that request goroutines can read without a lock.
type Snapshot struct {
	settings Settings
	marks    map[ContentHash]Mark
}

// Snapshot returns a snapshot of the current marks.
func (r *Registry) Snapshot() *Snapshot {
	if r.snapshot == nil {
		s := &Snapshot{settings: r.settings, marks: make(map[ContentHash]Mark, len(r.marks))}
		for c, m := range r.marks {
			n := *m
			n.Deaths = slices.Clone(m.Deaths)
			s.marks[c] = n
		}
		r.snapshot = s
	}
	return r.snapshot
}

// Verdict returns how a request with the content may run.
func (s *Snapshot) Verdict(now time.Time, c ContentHash) Verdict {
	if len(s.marks) == 0 {
		return RunAnywhere
	}
	m, ok := s.marks[c]
	if !ok {
		return RunAnywhere
	}
	return m.verdict(now, s.settings)
}
