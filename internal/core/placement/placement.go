package placement

import (
	"math"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/call"
	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
)

// Settings tune the estimates.
type Settings struct {
	AvailabilityZone string        // of this instance
	ZoneCost         time.Duration // added for an endpoint in another availability zone
	ZoneCostPerKB    time.Duration // added for each 1,024 bytes that are sent there
	CacheFor         time.Duration // for which a prompt is taken to stay in an engine's memory after its last use
	ReportFor        time.Duration // after which an endpoint's own count of its requests is not used any more
	FailureHalf      time.Duration // half-life of the memory of failures
	EjectBase        time.Duration // first time without work after an endpoint could not be reached; it doubles
	EjectMax         time.Duration
	Choices          int // endpoints, and as many of the own availability zone, that are compared for a shared prompt
	Wide             int // further endpoints, others for each request, that are compared for it
}

// DefaultSettings returns an instance's settings.
func DefaultSettings(zone string) Settings {
	return Settings{
		AvailabilityZone: zone,
		ZoneCost:         4 * time.Millisecond, // a round trip between zones and its share of the link
		ZoneCostPerKB:    2500 * time.Microsecond,
		CacheFor:         30 * time.Second,
		ReportFor:        2 * time.Second, // a few mean times of a request
		FailureHalf:      2 * time.Second,
		EjectBase:        300 * time.Millisecond,
		EjectMax:         4 * time.Second, // engines restart within seconds
		Choices:          3,               // one more than two choices, as one may be down
		Wide:             4,               // so that the least busy of them is hardly ever as busy as the mean
	}
}

// Request is what matters of a request for its placement.
type Request struct {
	Service string
	Model   string
	Prompt  int // tokens
	Prefix  []call.Part
	Bytes   int
	Risky   bool            // it must run at most once, so it goes to no endpoint that is under suspicion
	Version string          // only endpoints of this version, unless empty
	Avoid   map[string]bool // endpoints that have had it
}

// Choice is where a request goes and what was expected of it.
type Choice struct {
	Endpoint directory.Endpoint
	Start    time.Duration // estimated time to the first byte of the answer
	Queue    time.Duration // of it, the wait for prompts that are read before
	Prefill  int           // prompt tokens that are not expected to be in the endpoint's memory
	Busy     float64       // share of the endpoint's slots that are taken
}

// Token is the record of one request under way at an endpoint.
type Token struct {
	ID       string
	model    string
	work     float64 // milliseconds of prefill
	expected float64 // milliseconds to the first byte
	prefill  int
	sent     time.Time
	started  bool
	slowness float64
	speed    float64 // of the endpoint at the send
	queue    float64 // milliseconds of prefill ahead of it at the send
}

// Table holds what is known of the load of all endpoints; it is not safe for concurrent use.
type Table struct {
	settings Settings
	services map[string][]directory.Endpoint
	states   map[string]*state
	paces    map[string]*pace // by service and model
	uses     map[uint64]*use  // of shared prompts, by their chain
}

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{settings: s, states: map[string]*state{}, paces: map[string]*pace{}, uses: map[uint64]*use{}}
}

// SetEndpoints replaces the endpoints that may get work; what is known of those that stay is kept.
func (t *Table) SetEndpoints(services map[string][]directory.Endpoint) {
	t.services = services
	known := map[string]*state{}
	for _, l := range services {
		for _, e := range l {
			s := t.states[e.ID]
			if s == nil || s.born != e.Born || s.address != e.Address {
				s = newState(e)
			}
			known[e.ID] = s
		}
	}
	for id, s := range t.states {
		// Requests still run at an endpoint that leaves; their ends are counted until the last one.
		if known[id] == nil && s.own > 0 {
			known[id] = s
		}
	}
	t.states = known
}

// Count returns how many endpoints of each service may get work.
func (t *Table) Count() map[string]int {
	out := make(map[string]int, len(t.services))
	for s, l := range t.services {
		out[s] = len(l)
	}
	return out
}

// Choose returns the best endpoint, or false if none may get the request.
func (t *Table) Choose(now time.Time, r Request) (Choice, bool) {
	best, found := Choice{}, false
	lowest := math.Inf(1)
	p := t.pace(r.Service, r.Model)
	q := t.prompt(now, r, p)
	for i, e := range t.services[r.Service] {
		s := t.states[e.ID]
		if !t.eligible(r, e) || s.ejected(now) || !q.considers(i) {
			continue
		}
		c := t.estimate(now, e, s, p, q.uncached(i))
		v := t.cost(now, r, e, s, c)
		if v < lowest {
			best, lowest, found = c, v, true
		}
	}
	if !found {
		return t.fallback(now, r, p)
	}
	return best, true
}

func (t *Table) eligible(r Request, e directory.Endpoint) bool {
	return !r.Avoid[e.ID] && (r.Version == "" || e.Version == r.Version)
}

// fallback picks an ejected endpoint whose time without work ends first, for a request that may be repeated.
func (t *Table) fallback(now time.Time, r Request, p *pace) (Choice, bool) {
	var best *directory.Endpoint
	for i, e := range t.services[r.Service] {
		if !t.eligible(r, e) {
			continue
		}
		if best == nil || t.states[e.ID].until.Before(t.states[best.ID].until) {
			best = &t.services[r.Service][i]
		}
	}
	if best == nil || r.Risky && t.states[best.ID].until.Sub(now) > t.settings.EjectBase {
		return Choice{}, false
	}
	return t.estimate(now, *best, t.states[best.ID], p, r.Prompt), true
}

func (t *Table) estimate(now time.Time, e directory.Endpoint, s *state, p *pace, uncached int) Choice {
	running := s.running(now, t.settings.ReportFor)
	slots := float64(max(1, e.Slots))
	queue := s.queue(now)
	ms := (p.base+p.perToken*float64(uncached))*s.speed + queue
	if over := running + 1 - slots; over > 0 {
		ms += over / slots * p.whole * s.speed
	}
	return Choice{
		Endpoint: e, Start: time.Duration(ms * float64(time.Millisecond)), Queue: time.Duration(queue * float64(time.Millisecond)),
		Prefill: uncached, Busy: running / slots,
	}
}

// cost orders endpoints: the time to the first byte, what the request takes from others there, the bytes between
// zones, and the risk that the endpoint fails it.
func (t *Table) cost(now time.Time, r Request, e directory.Endpoint, s *state, c Choice) float64 {
	p := t.pace(r.Service, r.Model)
	v := float64(c.Start) / float64(time.Millisecond)
	v += p.perToken * float64(c.Prefill) // it delays the tokens of the requests beside it
	v += c.Busy * p.base
	if e.AvailabilityZone != t.settings.AvailabilityZone {
		v += float64(t.zoneCost(r)) / float64(time.Millisecond)
	}
	f := min(s.failing(now, t.settings.FailureHalf), maxFailing)
	if r.Risky {
		f = min(2*f, maxFailing)
	}
	return (v + f*p.whole) / (1 - f)
}

// zoneCost is the price of an endpoint in another availability zone.
func (t *Table) zoneCost(r Request) time.Duration {
	return t.settings.ZoneCost + time.Duration(r.Bytes)*t.settings.ZoneCostPerKB/1024
}

// maxFailing bounds the share of failures in the cost, so that an endpoint is still compared with others.
const maxFailing = 0.95

// Sent records a request that goes to a chosen endpoint; Started and Ended must follow.
func (t *Table) Sent(now time.Time, r Request, c Choice) *Token {
	s := t.states[c.Endpoint.ID]
	p := t.pace(r.Service, r.Model)
	k := &Token{
		ID: c.Endpoint.ID, model: key(r.Service, r.Model), prefill: c.Prefill, sent: now,
		work: p.perToken * float64(c.Prefill) * s.speed, expected: float64(c.Start) / float64(time.Millisecond), speed: s.speed,
		queue: s.queue(now),
	}
	s.own++
	s.pending += k.work
	t.remember(now, r, s)
	return k
}

// Started records the first byte of an answer.
func (t *Table) Started(now time.Time, k *Token) {
	if k.started {
		return
	}
	k.started = true
	s := t.states[k.ID]
	if s == nil {
		return
	}
	s.pending = max(0, s.pending-k.work)
	ms := float64(now.Sub(k.sent)) / float64(time.Millisecond)
	if k.expected > 0 {
		k.slowness = ms * k.speed / k.expected
	}
	t.paces[k.model].first(max(0, ms-k.queue), k.prefill, s.speed)
	s.learnSpeed(ms, k.expected)
}

// Ended records the end of a request.
func (t *Table) Ended(now time.Time, k *Token, whole bool) {
	s := t.states[k.ID]
	if s == nil {
		return
	}
	s.own--
	if !k.started {
		s.pending = max(0, s.pending-k.work)
	}
	if whole {
		t.paces[k.model].end(float64(now.Sub(k.sent)) / float64(time.Millisecond))
	}
}

// Report records an endpoint's own count of its requests.
func (t *Table) Report(now time.Time, id string, l call.Load) {
	if s := t.states[id]; s != nil {
		s.report, s.reported, s.ownThen = l, now, s.own
	}
}

// Outcome records whether an endpoint did what was asked of it.
func (t *Table) Outcome(now time.Time, id string, ok bool) {
	if s := t.states[id]; s != nil {
		s.outcome(now, ok, t.settings.FailureHalf)
	}
}

// Room estimates when a service can take a request that no endpoint takes now: when the first endpoint that is left out gets
// work again, or when the shortest queue has been worked off. It is 0 for a service without endpoints.
func (t *Table) Room(now time.Time, service string) time.Duration {
	if len(t.services[service]) == 0 {
		return 0
	}
	least := t.settings.EjectMax
	for _, e := range t.services[service] {
		s := t.states[e.ID]
		d := time.Duration(s.queue(now) * float64(time.Millisecond))
		if s.ejected(now) {
			d = s.until.Sub(now)
		}
		least = min(least, d)
	}
	return least
}

// Unreachable records that no connection to an endpoint could be made, or that it went silent.
func (t *Table) Unreachable(now time.Time, id string) time.Duration {
	s := t.states[id]
	if s == nil {
		return 0
	}
	s.outcome(now, false, t.settings.FailureHalf)
	if s.ejected(now) {
		return s.until.Sub(now)
	}
	d := min(t.settings.EjectBase<<min(s.ejections, 10), t.settings.EjectMax)
	s.ejections++
	s.until = now.Add(d)
	s.chains = map[uint64]time.Time{} // it has most likely lost its memory
	return d
}

// Waited returns the time since the send over the expected one, for a request that has no answer yet.
func (k *Token) Waited(now time.Time) float64 {
	if k.expected <= 0 {
		return 0
	}
	return float64(now.Sub(k.sent)) / float64(time.Millisecond) * k.speed / k.expected
}

// Slowness returns the time to the first byte over the expected one, or 0 if it has not come.
func (k *Token) Slowness() float64 { return k.slowness }
