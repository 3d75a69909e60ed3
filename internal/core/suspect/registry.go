package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Settings configures a Registry.
type Settings struct {
	Instance           string        // name of this instance; peers store its leases by this name
	SuspectDuration    time.Duration // how long a content is a suspect after one death
	RefuseDuration     time.Duration // how long a content is refused after two deaths
	DeathWindow        time.Duration // reports on one endpoint within this time count as one death
	MassDeathThreshold int           // this many deaths within DeathWindow have a common cause other than a request
	ClaimDelay         time.Duration // delay between a claim and the start of the request, in which peers learn of the claim
	LeaseDuration      time.Duration // how long the leases in a peer's report are valid
	MaxContents        int           // how many contents are marked at most
	MaxRecentDeaths    int           // how many deaths are kept to detect mass deaths
}

// DefaultSettings returns the settings of an instance; docs/measurements/suspect.md describes their effect.
func DefaultSettings(instance string) Settings {
	return Settings{
		Instance:           instance,
		SuspectDuration:    10 * time.Minute,
		RefuseDuration:     15 * time.Minute,
		DeathWindow:        3 * time.Second,
		MassDeathThreshold: 4,
		ClaimDelay:         250 * time.Millisecond,
		LeaseDuration:      30 * time.Second,
		MaxContents:        1 << 14,
		MaxRecentDeaths:    1 << 8,
	}
}

// Verdict states how a request may run.
type Verdict int

// Verdicts.
const (
	RunAnywhere    Verdict = iota // on any endpoint
	RunExclusively                // after AcquireLease and ConfirmLease, on an endpoint that runs no other suspect
	Refuse                        // not at all, so the answer may state that the request was not run
)

// maxDeathsPerContent is the number of deaths kept for each content; two are enough to refuse it.
const maxDeathsPerContent = 2

// Death records that an endpoint died.
type Death struct {
	Endpoint  uint64    `json:"endpoint"` // hash of the identifier
	At        time.Time `json:"at"`
	MassDeath bool      `json:"mass,omitempty"` // one of many deaths within DeathWindow
}

// Mark records the deaths of endpoints that ran a content.
type Mark struct {
	Content   ContentHash `json:"content"`
	Deaths    []Death     `json:"deaths"`           // at most maxDeathsPerContent
	ClearedAt time.Time   `json:"cleared,omitzero"` // time at which it finished while it ran exclusively; earlier deaths do not count
}

// Registry holds the marks and leases of suspects. It is not safe for concurrent use.
type Registry struct {
	settings     Settings
	marks        map[ContentHash]*Mark
	recentDeaths []Death               // reported to this instance, oldest first; one per endpoint within DeathWindow
	claims       map[ContentHash]claim // leases of this instance
	peerLeases   map[string]peerLeases // by name of the peer
	snapshot     *Snapshot
}

// New returns an empty registry.
func New(s Settings) *Registry {
	return &Registry{
		settings: s, marks: map[ContentHash]*Mark{}, claims: map[ContentHash]claim{}, peerLeases: map[string]peerLeases{},
	}
}

// RecordDeath marks the contents that an endpoint was running when it died. One death may be reported in several calls, one
// for each broken connection.
func (r *Registry) RecordDeath(now time.Time, endpoint string, contents ...ContentHash) {
	d := r.recordDeath(now, hashEndpoint(endpoint))
	for _, c := range contents {
		r.addDeath(now, c, d)
	}
	if d.MassDeath {
		r.setMassDeaths(now)
	}
}

// recordDeath adds a death to the recent ones, unless it is known already. It returns the death with MassDeath set if many
// endpoints died within DeathWindow.
func (r *Registry) recordDeath(now time.Time, endpoint uint64) Death {
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
	d.MassDeath = deaths >= r.settings.MassDeathThreshold
	if !known {
		r.recentDeaths = append(r.recentDeaths, d)
		r.recentDeaths = r.recentDeaths[max(0, len(r.recentDeaths)-r.settings.MaxRecentDeaths):]
	}
	return d
}

// setMassDeaths sets MassDeath on the deaths within the last DeathWindow that were recorded before many others followed.
func (r *Registry) setMassDeaths(now time.Time) {
	for _, m := range r.marks {
		for i := range m.Deaths {
			if d := &m.Deaths[i]; !d.MassDeath && now.Sub(d.At) <= r.settings.DeathWindow {
				d.MassDeath = true
				r.snapshot = nil
			}
		}
	}
}

// addDeath adds a death to the mark of a content.
func (r *Registry) addDeath(now time.Time, c ContentHash, d Death) {
	m := r.marks[c]
	if m == nil {
		r.evict(now)
		m = &Mark{Content: c}
		r.marks[c] = m
	}
	if m.addDeath(d, r.settings.DeathWindow) {
		r.snapshot = nil
	}
}

// addDeath adds a death, or merges it with a report of the same death, and reports whether the mark changed.
func (m *Mark) addDeath(d Death, window time.Duration) bool {
	for i := range m.Deaths {
		o := &m.Deaths[i]
		if o.Endpoint != d.Endpoint || d.At.Sub(o.At).Abs() > window {
			continue
		}
		changed := d.At.Before(o.At) || (d.MassDeath && !o.MassDeath)
		if d.At.Before(o.At) {
			o.At = d.At
		}
		o.MassDeath = o.MassDeath || d.MassDeath
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

// Verdict returns how a request with the content may run.
func (r *Registry) Verdict(now time.Time, c ContentHash) Verdict {
	if m := r.marks[c]; m != nil {
		return m.verdict(now, r.settings)
	}
	return RunAnywhere
}

// verdict returns how a request with the content may run.
func (m *Mark) verdict(now time.Time, s Settings) Verdict {
	n, mass := 0, false
	var last time.Time
	for _, d := range m.Deaths {
		if d.At.After(m.ClearedAt) && now.Sub(d.At) < max(s.SuspectDuration, s.RefuseDuration) {
			n, mass = n+1, d.MassDeath
			if d.At.After(last) {
				last = d.At
			}
		}
	}
	switch age := now.Sub(last); {
	case n >= maxDeathsPerContent && age < s.RefuseDuration:
		return Refuse
	case n == 0 || age >= s.SuspectDuration:
		return RunAnywhere
	case mass && age >= s.ClaimDelay:
		// Until then, peers may still report that the content ran on several of the dead endpoints.
		return RunAnywhere
	default:
		return RunExclusively
	}
}

// evict makes room for a new mark if the registry is full. It drops expired marks and, if that is not enough, the eighth
// of the marks with the oldest last death, refused ones last. Dropping many marks together keeps the mean cost of adding
// one low when many endpoints die.
func (r *Registry) evict(now time.Time) {
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
	r.snapshot = nil
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
	return cmp.Or(m.LastDeath().Compare(o.LastDeath()), cmp.Compare(m.Content, o.Content))
}

// LastDeath returns the time of the latest death, or the zero time if there is none.
func (m *Mark) LastDeath() time.Time {
	var t time.Time
	for _, d := range m.Deaths {
		if d.At.After(t) {
			t = d.At
		}
	}
	return t
}

// DropExpired drops expired marks and leases. It should be called about once a minute.
func (r *Registry) DropExpired(now time.Time) {
	r.expireMarks(now)
	for n, p := range r.peerLeases {
		if !now.Before(p.expiresAt) {
			delete(r.peerLeases, n)
		}
	}
}

// expireMarks drops the marks whose last death no longer affects a verdict.
func (r *Registry) expireMarks(now time.Time) {
	retention := max(r.settings.SuspectDuration, r.settings.RefuseDuration)
	for c, m := range r.marks {
		if now.Sub(m.LastDeath()) >= retention {
			delete(r.marks, c)
			r.snapshot = nil
		}
	}
}
