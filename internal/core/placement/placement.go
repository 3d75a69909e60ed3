package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/coldstart"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// Settings are the parameters of the estimates.
type Settings struct {
	AvailabilityZone          string        // availability zone of this instance
	AvailabilityZoneCost      time.Duration // added to the cost of an endpoint in another availability zone
	AvailabilityZoneCostPerKB time.Duration // added for each 1,024 bytes of a request to another availability zone
	PromptCacheTTL            time.Duration // time after its last use for which a prompt is assumed to stay in an engine's cache
	ReportTTL                 time.Duration // time for which an endpoint's report of its load is used
	FailureHalfLife           time.Duration // half-life of the counts of failures and outcomes
	EjectBase                 time.Duration // first ejection time of an unreachable endpoint; it doubles with each further ejection
	EjectMax                  time.Duration // longest ejection time
	Candidates                int           // endpoints compared for a shared prompt, and as many in the own availability zone
	ExtraCandidates           int           // further endpoints compared, chosen by the hash of the request's own part
	SampledCandidates         int           // endpoints compared for a request without a shared prompt, chosen by its SampleKey; 0 compares all
	ColdLimit                 coldstart.Limit
	ColdSeed                  uint64 // random number of the instance, which spreads the requests to cold endpoints over time
	Cache                     CacheSettings
	Speed                     SpeedSettings
	Memory                    MemorySettings
}

// DefaultSettings returns the settings of an instance in an availability zone.
func DefaultSettings(availabilityZone string) Settings {
	return Settings{
		AvailabilityZone:          availabilityZone,
		AvailabilityZoneCost:      4 * time.Millisecond, // a round trip between availability zones and its share of the link
		AvailabilityZoneCostPerKB: 2500 * time.Microsecond,
		PromptCacheTTL:            30 * time.Second,
		ReportTTL:                 2 * time.Second, // a few mean durations of a request
		FailureHalfLife:           2 * time.Second,
		EjectBase:                 300 * time.Millisecond,
		EjectMax:                  4 * time.Second, // engines restart within seconds
		Candidates:                3,               // one more than the usual two choices, because one endpoint may be down
		SampledCandidates:         2,               // the power of two choices: instances that see the same loads don't all send to the same endpoint
		ExtraCandidates:           4,               // the least busy of four is rarely as busy as the mean
		Cache:                     DefaultCacheSettings(),
		Speed:                     DefaultSpeedSettings(),
		Memory:                    DefaultMemorySettings(),
	}
}

// Request holds the attributes of a request that affect its placement.
type Request struct {
	Service           string
	Model             string
	PromptTokens      int                     // length of the prompt
	Prefix            []attributes.PromptPart // parts of the prompt; the last one belongs to this request or its session
	OutputTokens      int                     // largest permitted length of the output, or 0 if there is no limit
	BodyBytes         int
	AtMostOnce        bool            // the request must run at most once, so endpoints with recent failures are avoided
	Version           string          // limits the choice to endpoints of this version, unless empty
	SampleKey         uint64          // hash of the request's identifier; see Settings.SampledCandidates
	ExcludedEndpoints map[string]bool // identifiers of endpoints that have already got the request

	memory memoryNeed // set by Choose
}

// Choice is the endpoint chosen for a request, with the estimates for it.
type Choice struct {
	Endpoint        routing.Endpoint
	TimeToFirstByte time.Duration // estimated time to the first byte of the response
	PrefillWait     time.Duration // part of TimeToFirstByte for the prefill of earlier requests
	SlotWait        time.Duration // part of TimeToFirstByte for the wait for a slot
	UncachedTokens  int           // prompt tokens that are probably not cached at the endpoint
	Utilisation     float64       // requests at the endpoint per slot; above 1, requests wait for a slot
	RelativeWork    float64       // prefill work over that of a mean request to the service; 0 if not known
	passingMS       float64       // part of TimeToFirstByte that is due to the passing speed of the endpoint
}

// Table holds the load and health of all endpoints and chooses among them; it is not safe for concurrent use.
type Table struct {
	settings      Settings
	services      map[string][]routing.Endpoint
	states        map[string]*state        // by endpoint identifier
	serviceStates map[string][]*state      // the states of the endpoints in services, in the same order
	latencyModels map[string]*latencyModel // by service and model
	prefixUses    map[uint64]*prefixUse    // by prefix hash
	cold          coldStarts
	pools         map[string]*pool // by service; only those whose engines state their memory
	instances     int              // that send requests to the endpoints, this one included
	hasLimits     bool             // an endpoint may have a limit; false spares choices a look at each endpoint
	heldBack      bool             // the present choice leaves out an endpoint that has had what its limit allows
	heldBackCount map[string]int64 // such choices since the last call of HeldBack, by service
	loadsAt       time.Time        // when the loads of the other instances were collected

	evacuatedZones  map[string]bool
	evacuatedCounts map[string]int // endpoints in evacuated zones, by service
}

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{settings: s, states: map[string]*state{}, latencyModels: map[string]*latencyModel{}, prefixUses: map[uint64]*prefixUse{}, instances: 1}
}

// SetEndpoints replaces the endpoints that may get requests; it keeps the state of those that remain.
func (t *Table) SetEndpoints(services map[string][]routing.Endpoint) {
	t.services = services
	states := map[string]*state{}
	t.serviceStates = make(map[string][]*state, len(services))
	for name, l := range services {
		list := make([]*state, 0, len(l))
		for _, e := range l {
			s := t.states[e.ID]
			if s == nil || s.startedAtMS != e.StartedAtMS || s.address != e.Address {
				s = s.succeed(e)
			}
			states[e.ID] = s
			list = append(list, s)
		}
		t.serviceStates[name] = list
	}
	for id, s := range t.states {
		// An endpoint that has left keeps its state until its last request has ended. What it has asked for holds if its
		// registration comes back.
		if states[id] == nil && (s.localRequests > 0 || s.leaving || !s.pausedUntil.IsZero() || s.limit.Stated()) {
			states[id] = s
		}
	}
	t.states = states
	t.markEvacuated()
}

// EndpointCounts returns the number of endpoints of each service that may get requests.
func (t *Table) EndpointCounts() map[string]int {
	out := make(map[string]int, len(t.services))
	for s, l := range t.services {
		out[s] = len(l)
	}
	return out
}

// Choose returns the endpoint with the lowest cost, or false if there is no suitable endpoint.
func (t *Table) Choose(now time.Time, r Request) (Choice, bool) {
	m := t.latencyModel(r.Service, r.Model)
	t.heldBack = false
	if r.memory = t.memoryNeed(now, r); r.memory.limit > 0 {
		t.pools[r.Service].scarce++
	}
	best, found := t.cheapest(now, r, m)
	if !found && r.memory.limit > 0 {
		r.memory.share = r.memory.maxShare
		best, found = t.cheapest(now, r, m)
	}
	if !found {
		best, found = t.fallback(now, r, m)
	}
	t.countHeldBack(r.Service)
	best.RelativeWork = t.pools[r.Service].relativeWork(m, best.UncachedTokens)
	return best, found
}

// cheapest returns the endpoint with the lowest cost among those that need not be avoided, or false if there is none.
func (t *Table) cheapest(now time.Time, r Request, m *latencyModel) (Choice, bool) {
	best, found := Choice{}, false
	lowest := math.Inf(1)
	cache := t.estimateCache(now, r, m)
	r.memory.hashes, r.memory.parts = cache.hashes, r.Prefix
	states := t.serviceStates[r.Service]
	l := t.services[r.Service]
	for i := range l {
		e, s := &l[i], states[i]
		limited := t.limited(now, s)
		if !limited && !cache.isCandidate(i) || t.avoid(now, s, &r.memory) || !t.eligible(now, &r, e, s) {
			continue
		}
		c := t.estimate(now, e, s, m, cache.uncached(i))
		v := t.cost(now, &r, m, s, &c)
		if limited {
			v *= limitedCostShare
		}
		if v < lowest {
			best, lowest, found = c, v, true
		}
	}
	return best, found
}

// limitedCostShare is the share of its cost that counts for an endpoint whose limit permits a request now. What is not used of a limit is
// lost, and only responses tell that a limit is over.
const limitedCostShare = 0.5

// eligible reports whether an endpoint may get the request. An ejected one may if there is no other; one that has asked for no
// requests, is cold or has a limit and has had its share, whose memory the request would exceed, or whose availability zone is evacuated, may
// not.
func (t *Table) eligible(now time.Time, r *Request, e *routing.Endpoint, s *state) bool {
	return !s.evacuated && s.acceptsWork(now) && !r.ExcludedEndpoints[e.ID] && (r.Version == "" || e.Version == r.Version) &&
		!r.memory.excludes(s) && t.permits(now, r.Service, s) && t.withinLimit(now, s)
}

// avoid reports whether an eligible endpoint gets the request only if no other can take it.
func (t *Table) avoid(now time.Time, s *state, n *memoryNeed) bool {
	return s.avoided(now) || n.avoids(s)
}

// fallback chooses the eligible endpoint whose ejection ends first, and of those without one an endpoint that has not asked
// other instances for a pause. A request that must run at most once gets none if that ejection lasts for longer than the
// base time.
func (t *Table) fallback(now time.Time, r Request, m *latencyModel) (Choice, bool) {
	var best *routing.Endpoint
	for i, s := range t.serviceStates[r.Service] {
		e := &t.services[r.Service][i]
		if t.eligible(now, &r, e, s) && (best == nil || t.usableBefore(now, e.ID, best.ID)) {
			best = e
		}
	}
	if best == nil || r.AtMostOnce && t.states[best.ID].ejectedUntil.Sub(now) > t.settings.EjectBase {
		return Choice{}, false
	}
	return t.estimate(now, best, t.states[best.ID], m, r.PromptTokens), true
}

// usableBefore reports whether one endpoint stops being avoided earlier than another, or has fewer requests if they do at the
// same time.
func (t *Table) usableBefore(now time.Time, id, other string) bool {
	a, b := t.states[id], t.states[other]
	if c := a.usableAt(now).Compare(b.usableAt(now)); c != 0 {
		return c < 0
	}
	return a.running(now, t.settings.ReportTTL) < b.running(now, t.settings.ReportTTL)
}

// estimate returns the estimates for a request with a number of uncached prompt tokens at an endpoint.
func (t *Table) estimate(now time.Time, e *routing.Endpoint, s *state, m *latencyModel, uncached int) Choice {
	running := s.running(now, t.settings.ReportTTL)
	slots := float64(max(1, e.Slots))
	queue := s.prefillQueue(now)
	own := (m.baseMS + m.perTokenMS*float64(uncached)) * s.latencyFactor
	queueExtra, extra := s.speed.extraMS(now, queue, t.settings.Speed), s.speed.extraMS(now, queue+own, t.settings.Speed)
	queue += queueExtra
	ms := own + queue + extra - queueExtra
	slotWait := max(0, running+1-slots) / slots * m.unitTotalMS * s.latencyFactor
	ms += slotWait
	return Choice{
		Endpoint: *e, TimeToFirstByte: milliseconds(ms), PrefillWait: milliseconds(queue),
		SlotWait: milliseconds(slotWait), UncachedTokens: uncached, Utilisation: running / slots, passingMS: extra,
	}
}

// cost returns the value by which endpoints are compared, in milliseconds. It adds to the time to the first byte the
// delay that the request causes to others, the transfer between availability zones and the risk of a failure.
func (t *Table) cost(now time.Time, r *Request, m *latencyModel, s *state, c *Choice) float64 {
	v := float64(c.TimeToFirstByte) / float64(time.Millisecond)
	v += m.perTokenMS * float64(c.UncachedTokens) // The prefill delays the output tokens of concurrent requests.
	v += c.Utilisation * m.baseMS
	if c.Endpoint.AvailabilityZone != t.settings.AvailabilityZone {
		v += float64(t.availabilityZoneCost(r.BodyBytes)) / float64(time.Millisecond)
	}
	f := min(s.failureRate(now, t.settings.FailureHalfLife), maxFailureRate)
	if r.AtMostOnce {
		f = min(2*f, maxFailureRate)
	}
	return (v + f*m.totalMS) / (1 - f)
}

// availabilityZoneCost returns the cost of sending a request to another availability zone.
func (t *Table) availabilityZoneCost(bodyBytes int) time.Duration {
	return t.settings.AvailabilityZoneCost + time.Duration(bodyBytes)*t.settings.AvailabilityZoneCostPerKB/1024
}

// maxFailureRate bounds the failure rate in the cost, which keeps the cost finite so that endpoints remain comparable.
const maxFailureRate = 0.95

// RecordLoad records the load that an endpoint reports.
func (t *Table) RecordLoad(now time.Time, id string, l attributes.Load) {
	if s := t.states[id]; s != nil {
		s.lastReport, s.reportedAt, s.localAtReport = l, now, s.localRequests
		s.speed.record(now, l.WorkTime)
	}
}

// RecordOutcome records the success or failure of a request at an endpoint.
func (t *Table) RecordOutcome(now time.Time, id string, ok bool) {
	if s := t.states[id]; s != nil {
		s.recordOutcome(now, ok, t.settings.FailureHalfLife)
	}
}

// IsLeaving reports whether an endpoint has announced its stop in a response.
func (t *Table) IsLeaving(id string) bool {
	s := t.states[id]
	return s != nil && s.leaving
}

// MarkLeaving records that an endpoint has announced its stop and reports whether that is news. It gets no further request.
func (t *Table) MarkLeaving(now time.Time, id string) bool {
	s := t.states[id]
	if s == nil || s.leaving {
		return false
	}
	t.forgetUnwilling(now)
	s.leaving, s.askedAt, s.prefixes = true, now, map[uint64]time.Time{}
	return true
}

// Pause records that an endpoint has asked for no requests for the given time, and reports whether it had not asked before.
func (t *Table) Pause(now time.Time, id string, d time.Duration) bool {
	s := t.states[id]
	if s == nil {
		return false
	}
	first := s.acceptsWork(now)
	if first {
		t.forgetUnwilling(now)
	}
	if end := now.Add(d); end.After(s.pausedUntil) {
		s.pausedUntil = end
	}
	s.askedAt, s.pauseNoticed = now, true
	return first
}

// EndedPauses returns the identifiers of the endpoints whose pause has ended since the last call, sorted.
func (t *Table) EndedPauses(now time.Time) []string {
	var out []string
	for id, s := range t.states {
		if s.pauseNoticed && !now.Before(s.pausedUntil) {
			s.pauseNoticed = false
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// unwillingRetention is how long an endpoint without a registration is remembered for what it has asked for. Registrations
// come back within seconds of an outage.
const unwillingRetention = 5 * time.Minute

// forgetUnwilling drops the states of endpoints that have left, have no request in progress and asked long ago.
func (t *Table) forgetUnwilling(now time.Time) {
	registered := map[string]bool{}
	for _, l := range t.services {
		for _, e := range l {
			registered[e.ID] = true
		}
	}
	for id, s := range t.states {
		if !registered[id] && s.localRequests <= 0 && now.Sub(s.askedAt) >= unwillingRetention && !now.Before(s.pausedUntil) {
			delete(t.states, id)
		}
	}
}

// Eject ejects an endpoint that refused a connection or stopped responding, and returns the time until it may get
// requests again.
func (t *Table) Eject(now time.Time, id string) time.Duration {
	s := t.states[id]
	if s == nil {
		return 0
	}
	s.recordOutcome(now, false, t.settings.FailureHalfLife)
	s.cold.RecordFailure(now)
	if s.ejected(now) {
		return s.ejectedUntil.Sub(now)
	}
	d := min(t.settings.EjectBase<<min(s.ejections, 10), t.settings.EjectMax)
	s.ejections++
	s.ejectedUntil = now.Add(d)
	s.prefixes = map[uint64]time.Time{} // The endpoint has probably restarted with an empty cache.
	return d
}
