package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Settings configures a Register.
type Settings struct {
	Instance        string        // name of this instance; peers store its leases by this name
	SuspectFor      time.Duration // how long a content is a suspect after one death
	RefuseFor       time.Duration // how long a content is refused after two deaths
	DeathWindow     time.Duration // reports on one endpoint within this time count as one death
	MassDeaths      int           // this many deaths within DeathWindow have a common cause other than a request
	Settle          time.Duration // delay between a claim and the start of the request, in which peers learn of the claim
	LeaseDuration   time.Duration // how long the leases in a peer's report are valid
	MaxContents     int           // how many contents are marked at most
	MaxRecentDeaths int           // how many deaths are kept to detect mass deaths
}

// DefaultSettings returns the settings of an instance; docs/measurements/suspect.md describes their effect.
func DefaultSettings(instance string) Settings {
	return Settings{
		Instance:        instance,
		SuspectFor:      10 * time.Minute,
		RefuseFor:       15 * time.Minute,
		DeathWindow:     3 * time.Second,
		MassDeaths:      4,
		Settle:          250 * time.Millisecond,
		LeaseDuration:   30 * time.Second,
		MaxContents:     1 << 14,
		MaxRecentDeaths: 1 << 8,
	}
}

// Verdict states how a request may run.
type Verdict int

// Verdicts.
const (
	Run    Verdict = iota // on any endpoint
	Alone                 // after Acquire and Confirm, on an endpoint that runs no other suspect
	Refuse                // not at all, so the answer may state that the request was not run
)

// maxDeathsPerContent is the number of deaths kept for each content; two are enough to refuse it.
const maxDeathsPerContent = 2

// Death records that an endpoint died.
type Death struct {
	Endpoint uint64    `json:"endpoint"` // hash of the identifier
	At       time.Time `json:"at"`
	Mass     bool      `json:"mass,omitempty"` // one of many deaths within DeathWindow
}

// Mark records the deaths of endpoints that ran a content.
type Mark struct {
	Content Content   `json:"content"`
	Deaths  []Death   `json:"deaths"`           // at most maxDeathsPerContent
	Cleared time.Time `json:"cleared,omitzero"` // time at which it finished alone; earlier deaths do not count
}

// Register holds the marks and leases of suspects. It is not safe for concurrent use.
type Register struct {
	settings     Settings
	marks        map[Content]*Mark
	recentDeaths []Death               // seen by this instance, oldest first; one per endpoint within DeathWindow
	claims       map[Content]claim     // leases of this instance
	peerLeases   map[string]peerLeases // by name of the peer
	view         *View
}

// New returns an empty register.
func New(s Settings) *Register {
	return &Register{
		settings: s, marks: map[Content]*Mark{}, claims: map[Content]claim{}, peerLeases: map[string]peerLeases{},
	}
}

// Death marks the contents that an endpoint was running when it died. One death may be reported in several calls, one
// for each broken connection.
func (r *Register) Death(now time.Time, endpoint string, contents ...Content) {
	d := r.recordDeath(now, hashEndpoint(endpoint))
	for _, c := range contents {
		r.addDeath(now, c, d)
	}
	if d.Mass {
		r.setMassDeaths(now)
	}
}

// recordDeath adds a death to the recent ones, unless it is known already. It returns the death with Mass set if many
// endpoints died within DeathWindow.
func (r *Register) recordDeath(now time.Time, endpoint uint64) Death {
	d := Death{Endpoint: endpoint, At: now}
	deaths, known := 1, false
	for _, o := range r.recentDeaths {
		switch {
		case now.Sub(o.At) > r.settings.DeathWindow:
		case o.Endpoint == endpoint:
			d.At, known = o.At, true
		default:
			deaths++
		}
	}
	d.Mass = deaths >= r.settings.MassDeaths
	if !known {
		r.recentDeaths = append(r.recentDeaths, d)
		r.recentDeaths = r.recentDeaths[max(0, len(r.recentDeaths)-r.settings.MaxRecentDeaths):]
	}
	return d
}

// setMassDeaths sets Mass on the deaths within the last DeathWindow that were recorded before many others followed.
func (r *Register) setMassDeaths(now time.Time) {
	for _, m := range r.marks {
		for i := range m.Deaths {
			if d := &m.Deaths[i]; !d.Mass && now.Sub(d.At) <= r.settings.DeathWindow {
				d.Mass = true
				r.view = nil
			}
		}
	}
}

// addDeath adds a death to the mark of a content.
func (r *Register) addDeath(now time.Time, c Content, d Death) {
	m := r.marks[c]
	if m == nil {
		r.evict(now)
		m = &Mark{Content: c}
		r.marks[c] = m
	}
	if m.addDeath(d, r.settings.DeathWindow) {
		r.view = nil
	}
}

// addDeath adds a death, or merges it with a report of the same death, and reports whether the mark changed.
func (m *Mark) addDeath(d Death, window time.Duration) bool {
	for i := range m.Deaths {
		o := &m.Deaths[i]
		if o.Endpoint != d.Endpoint || d.At.Sub(o.At).Abs() > window {
			continue
		}
		changed := d.At.Before(o.At) || (d.Mass && !o.Mass)
		if d.At.Before(o.At) {
			o.At = d.At
		}
		o.Mass = o.Mass || d.Mass
		return changed
	}
	if len(m.Deaths) < maxDeathsPerContent {
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

// Judge returns how a request with the content may run.
func (r *Register) Judge(now time.Time, c Content) Verdict {
	if m := r.marks[c]; m != nil {
		return m.verdict(now, r.settings)
	}
	return Run
}

// verdict returns how a request with the content may run.
func (m *Mark) verdict(now time.Time, s Settings) Verdict {
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
	case n >= maxDeathsPerContent && age < s.RefuseFor:
		return Refuse
	case n == 0 || age >= s.SuspectFor:
		return Run
	case mass && age >= s.Settle:
		// Until then, peers may still report that the content ran on several of the dead endpoints.
		return Run
	default:
		return Alone
	}
}

// evict makes room for a new mark if the register is full. It drops expired marks and, if that is not enough, the eighth
// of the marks with the oldest last death, refused ones last. Dropping many marks together keeps the mean cost of adding
// one low when many endpoints die.
func (r *Register) evict(now time.Time) {
	if len(r.marks) < r.settings.MaxContents {
		return
	}
	r.expireMarks(now)
	if len(r.marks) < r.settings.MaxContents {
		return
	}
	l := slices.Collect(maps.Values(r.marks))
	slices.SortFunc(l, func(a, b *Mark) int { return a.compareRelevance(b, now, r.settings) })
	for _, m := range l[:max(1, len(l)/8)] {
		delete(r.marks, m.Content)
	}
	r.view = nil
}

// compareRelevance orders marks for eviction, least relevant first.
func (m *Mark) compareRelevance(o *Mark, now time.Time, s Settings) int {
	a, b := m.verdict(now, s) == Refuse, o.verdict(now, s) == Refuse
	switch {
	case a && !b:
		return 1
	case b && !a:
		return -1
	}
	return cmp.Or(m.Last().Compare(o.Last()), cmp.Compare(m.Content, o.Content))
}

// Last returns the time of the latest death, or the zero time if there is none.
func (m *Mark) Last() time.Time {
	var t time.Time
	for _, d := range m.Deaths {
		if d.At.After(t) {
			t = d.At
		}
	}
	return t
}

// Expire drops expired marks and leases. It should be called about once a minute.
func (r *Register) Expire(now time.Time) {
	r.expireMarks(now)
	for n, p := range r.peerLeases {
		if !now.Before(p.expiresAt) {
			delete(r.peerLeases, n)
		}
	}
}

// expireMarks drops the marks whose last death no longer affects a verdict.
func (r *Register) expireMarks(now time.Time) {
	retention := max(r.settings.SuspectFor, r.settings.RefuseFor)
	for c, m := range r.marks {
		if now.Sub(m.Last()) >= retention {
			delete(r.marks, c)
			r.view = nil
		}
	}
}
