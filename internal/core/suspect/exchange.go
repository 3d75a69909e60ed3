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
	Alone    []Lease `json:"alone,omitempty"` // leases of this instance's suspects
}

// Digest returns the report for the peers. It is sorted, so equal registers return equal reports.
func (r *Register) Digest() Report {
	p := Report{Instance: r.settings.Instance}
	for _, c := range slices.Sorted(maps.Keys(r.claims)) {
		p.Alone = append(p.Alone, Lease{c, r.claims[c].endpoint, r.claims[c].started})
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

// Merge adds a peer's report to the register; merging a report again changes nothing. Deaths in the future are moved to
// now, so that a peer with a fast clock cannot extend a refusal.
func (r *Register) Merge(now time.Time, p Report) {
	for _, m := range p.Marks {
		for _, d := range m.Deaths {
			if d.At.After(now) {
				d.At = now
			}
			r.addDeath(now, m.Content, d)
		}
		if o := r.marks[m.Content]; o != nil && m.Cleared.After(o.Cleared) && !m.Cleared.After(now) {
			o.Cleared = m.Cleared
			r.view = nil
		}
	}
	if len(p.Alone) == 0 {
		delete(r.peerLeases, p.Instance)
		return
	}
	r.peerLeases[p.Instance] = peerLeases{p.Alone, now.Add(r.settings.LeaseDuration)}
}

// View is an immutable snapshot of the marks that request goroutines can read without a lock.
type View struct {
	settings Settings
	marks    map[Content]Mark
}

// View returns a snapshot of the current marks.
func (r *Register) View() *View {
	if r.view == nil {
		v := &View{settings: r.settings, marks: make(map[Content]Mark, len(r.marks))}
		for c, m := range r.marks {
			n := *m
			n.Deaths = slices.Clone(m.Deaths)
			v.marks[c] = n
		}
		r.view = v
	}
	return r.view
}

// Judge returns how a request with the content may run.
func (v *View) Judge(now time.Time, c Content) Verdict {
	if len(v.marks) == 0 {
		return Run
	}
	m, ok := v.marks[c]
	if !ok {
		return Run
	}
	return m.verdict(now, v.settings)
}
