package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Settings tune the register.
type Settings struct {
	Instance   string        // name under which peers keep this instance's leases
	SuspectFor time.Duration // time for which one death makes a content a suspect
	RefuseFor  time.Duration // time for which a content seen at two deaths is refused
	SameDeath  time.Duration // reports on one endpoint this close together are one death
	MassDeaths int           // this many endpoints dying within SameDeath are a common failure, not one request's
	Settle     time.Duration // time from a claim on an endpoint to the start, in which peers hear of it
	LeaseFor   time.Duration // time for which a peer's statement about endpoints with suspects holds
	Contents   int           // contents remembered at most
	Deaths     int           // recent deaths remembered at most
}

// DefaultSettings returns an instance's settings, which docs/measurements/suspect.md measures.
func DefaultSettings(instance string) Settings {
	return Settings{
		Instance:   instance,
		SuspectFor: 10 * time.Minute,
		RefuseFor:  15 * time.Minute,
		SameDeath:  3 * time.Second,
		MassDeaths: 4,
		Settle:     250 * time.Millisecond,
		LeaseFor:   30 * time.Second,
		Contents:   1 << 14,
		Deaths:     1 << 8,
	}
}

// Verdict says how a request may run.
type Verdict int

// Verdicts.
const (
	Run    Verdict = iota // on any endpoint
	Alone                 // after Acquire and Confirm, on an endpoint on which no other suspect runs
	Refuse                // not at all; "not run" is true
)

// maxDeaths is how many deaths of one content are remembered; two are enough to refuse it.
const maxDeaths = 2

// Death is the death of one endpoint as marks carry it.
type Death struct {
	Endpoint uint64    `json:"endpoint"` // hash of the identifier
	At       time.Time `json:"at"`
	Mass     bool      `json:"mass,omitempty"` // one of many at once
}

// Mark is what is known of one content.
type Mark struct {
	Content Content   `json:"content"`
	Deaths  []Death   `json:"deaths"`           // at most two
	Cleared time.Time `json:"cleared,omitzero"` // it finished alone then, so earlier deaths do not count
}

// Register holds the suspects; the control goroutine owns it.
type Register struct {
	settings Settings
	marks    map[Content]*Mark
	recent   []Death             // local deaths, oldest first, one for each endpoint
	running  map[Content]hold    // claims of suspects here
	leases   map[string]peerHold // by peer
	view     *View
}

// New returns an empty register.
func New(s Settings) *Register {
	return &Register{
		settings: s, marks: map[Content]*Mark{}, running: map[Content]hold{}, leases: map[string]peerHold{},
	}
}

// Death marks the contents that an endpoint was running when it died. Reports of one death may come in parts, one
// for each broken connection.
func (r *Register) Death(now time.Time, endpoint string, contents ...Content) {
	d := r.record(now, hashEndpoint(endpoint))
	for _, c := range contents {
		r.mark(now, c, d)
	}
	if d.Mass {
		r.markMass(now)
	}
}

// record notes a death among the recent ones and reports whether many endpoints die now.
func (r *Register) record(now time.Time, endpoint uint64) Death {
	d := Death{Endpoint: endpoint, At: now}
	near, known := 1, false
	for _, o := range r.recent {
		switch {
		case now.Sub(o.At) > r.settings.SameDeath:
		case o.Endpoint == endpoint:
			d.At, known = o.At, true
		default:
			near++
		}
	}
	d.Mass = near >= r.settings.MassDeaths
	if !known {
		r.recent = append(r.recent, d)
		r.recent = r.recent[max(0, len(r.recent)-r.settings.Deaths):]
	}
	return d
}

// markMass tells the contents marked just before that their endpoint died among many.
func (r *Register) markMass(now time.Time) {
	for _, m := range r.marks {
		for i := range m.Deaths {
			if d := &m.Deaths[i]; !d.Mass && now.Sub(d.At) <= r.settings.SameDeath {
				d.Mass = true
				r.view = nil
			}
		}
	}
}

func (r *Register) mark(now time.Time, c Content, d Death) {
	m := r.marks[c]
	if m == nil {
		r.makeRoom(now)
		m = &Mark{Content: c}
		r.marks[c] = m
	}
	if m.add(d, r.settings.SameDeath) {
		r.view = nil
	}
}

// add notes a death that is not known yet and reports whether the mark changed.
func (m *Mark) add(d Death, same time.Duration) bool {
	for i := range m.Deaths {
		o := &m.Deaths[i]
		if o.Endpoint != d.Endpoint || d.At.Sub(o.At).Abs() > same {
			continue
		}
		changed := d.At.Before(o.At) || (d.Mass && !o.Mass)
		if d.At.Before(o.At) {
			o.At = d.At
		}
		o.Mass = o.Mass || d.Mass
		return changed
	}
	if len(m.Deaths) < maxDeaths {
		m.Deaths = append(m.Deaths, d)
		return true
	}
	oldest := 0
	if m.Deaths[1].At.Before(m.Deaths[0].At) {
		oldest = 1
	}
	if !d.At.After(m.Deaths[oldest].At) {
		return false
	}
	m.Deaths[oldest] = d
	return true
}

// Judge says how a request with the content may run.
func (r *Register) Judge(now time.Time, c Content) Verdict {
	if m := r.marks[c]; m != nil {
		return m.judge(now, r.settings)
	}
	return Run
}

func (m *Mark) judge(now time.Time, s Settings) Verdict {
	n, mass := 0, false
	var last time.Time
	for _, d := range m.Deaths {
		if d.At.After(m.Cleared) && now.Sub(d.At) < max(s.SuspectFor, s.RefuseFor) {
			n, mass = n+1, d.Mass
			if d.At.After(last) {
				last = d.At
			}
		}
	}
	switch age := now.Sub(last); {
	case n >= maxDeaths && age < s.RefuseFor:
		return Refuse
	case n == 0 || age >= s.SuspectFor:
		return Run
	case mass && age >= s.Settle:
		// Before that, peers may still report that the content was on several of the dead endpoints.
		return Run
	default:
		return Alone
	}
}

// makeRoom drops what no longer counts and, at the bound, an eighth of the marks: those whose last death is
// oldest, refused ones last. A larger step keeps the cost of each mark low when many endpoints die.
func (r *Register) makeRoom(now time.Time) {
	if len(r.marks) < r.settings.Contents {
		return
	}
	r.expire(now)
	if len(r.marks) < r.settings.Contents {
		return
	}
	l := slices.Collect(maps.Values(r.marks))
	slices.SortFunc(l, func(a, b *Mark) int { return a.compare(b, now, r.settings) })
	for _, m := range l[:max(1, len(l)/8)] {
		delete(r.marks, m.Content)
	}
	r.view = nil
}

// compare orders marks by how little they matter.
func (m *Mark) compare(o *Mark, now time.Time, s Settings) int {
	a, b := m.judge(now, s) == Refuse, o.judge(now, s) == Refuse
	switch {
	case a && !b:
		return 1
	case b && !a:
		return -1
	}
	return cmp.Or(m.Last().Compare(o.Last()), cmp.Compare(m.Content, o.Content))
}

// Last returns the time of the latest death.
func (m *Mark) Last() time.Time {
	var t time.Time
	for _, d := range m.Deaths {
		if d.At.After(t) {
			t = d.At
		}
	}
	return t
}

// Expire drops marks and leases that no longer count; call it about once a minute.
func (r *Register) Expire(now time.Time) {
	r.expire(now)
	for n, h := range r.leases {
		if !now.Before(h.until) {
			delete(r.leases, n)
		}
	}
}

func (r *Register) expire(now time.Time) {
	keep := max(r.settings.SuspectFor, r.settings.RefuseFor)
	for c, m := range r.marks {
		if now.Sub(m.Last()) >= keep {
			delete(r.marks, c)
			r.view = nil
		}
	}
}
