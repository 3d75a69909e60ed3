package endpoint

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/bitmix"
)

// maxExcluded bounds the endpoints that one query excludes. It covers all attempts of one request.
const maxExcluded = 6

// maxCachedLoads is the number of member loads that a search caches between its two passes over an availability zone.
// The loads of further members are read again.
const maxCachedLoads = 128

// maxSearchedZones is the number of availability zones with usable endpoints that are searched. Prefixes and random
// draws select among all of them, so an overloaded fleet still finds free slots wherever they are, and a full fleet
// does not search every availability zone.
const maxSearchedZones = 4

// unusableLoad marks a member that accepts no request. It is lower than any load.
const unusableLoad = -1.0

// Bonuses raise a member's score above the rendezvous hashes, which use the lower 62 bits.
const (
	rendezvousMask = 1<<62 - 1
	cacheBonus     = 1 << 62
	sessionBonus   = 1 << 63
)

// Query describes the endpoint that one attempt needs.
type Query struct {
	Version         string // exact "model@version"; ignored if Service is set
	Service         string // name of a service; empty for a request to a version
	Zone            string // the caller's availability zone, which is tried first
	Prefix          uint64 // hash of the prompt's prefix; 0 means none
	Adapter         uint64 // HashAdapter of the adapter that the request uses; 0 means none
	SessionEndpoint Handle // endpoint that served the session's last request; 0 means none
	Excluded        [maxExcluded]Handle
	RandomDraws     [2]float64 // random numbers in [0, 1)
	Now             time.Time
}

// Choice is the endpoint chosen for one attempt.
type Choice struct {
	Endpoint    Handle
	ID          string
	Zone        string
	Address     netip.AddrPort
	HasAffinity bool // whether the request has a prefix, session or adapter that prefers certain endpoints
	Full        bool // whether no free slot was found in the pool, so that the request will wait at the endpoint

	counters *counters
}

// BeginRequest counts the request as outstanding. Call it immediately after Choose.
func (c Choice) BeginRequest(now time.Time) {
	c.counters.outstanding.Add(1)
	if gap := c.counters.gate.Load(); gap > 0 {
		c.counters.nextRequestAt.Store(now.UnixNano() + gap)
	}
}

// EndRequest counts the request as finished. Call it once for each BeginRequest.
func (c Choice) EndRequest() { c.counters.outstanding.Add(-1) }

// BlockEndpoint blocks new requests to the endpoint in all views at once, before the table processes the event that gives the
// reason.
func (c Choice) BlockEndpoint() { c.counters.gate.Store(gateBlocked) }

// EndpointBlocked reports whether the endpoint has been blocked since it was chosen. Check it immediately before sending.
func (c Choice) EndpointBlocked() bool { return c.counters.blocked() }

// HashAdapter returns the hash of an adapter's name for Query.Adapter.
func HashAdapter(name string) uint64 { return xxhash.Sum64String(name) }

// Choose returns an endpoint that serves the exact version or the service and accepts new requests. It prefers the
// caller's availability zone and uses others when that one is full or has no usable endpoint.
func (v *View) Choose(q Query) (Choice, bool) {
	p := v.pool(q.Version, q.Service)
	if p == nil {
		return Choice{}, false
	}
	r := search{
		view: v, query: &q, nowNanos: q.Now.UnixNano(),
		hasAffinity: q.Prefix != 0 || q.SessionEndpoint != 0 || q.Adapter != 0,
	}
	r.hasExclusions = q.Excluded != [maxExcluded]Handle{}
	if q.Prefix != 0 {
		r.cacheHolders = v.cacheHints.lookup(q.Prefix)
		r.hasCacheHint = r.cacheHolders != [hintWays]Handle{}
	}
	z, full := r.chooseZone(p)
	if z == nil {
		return Choice{}, false
	}
	m := r.chooseInZone(z, full)
	if m == nil {
		return Choice{}, false // the last usable endpoint was blocked during the search
	}
	return r.newChoice(m, full), true
}

// ChooseForSuspect returns the least utilised endpoint for a request that is suspected of crashing endpoints. It skips those
// for which occupied reports that another suspect runs there. It examines every endpoint of the pool, which is
// acceptable because suspects are rare.
func (v *View) ChooseForSuspect(q Query, occupied func(id string) bool) (Choice, bool) {
	p := v.pool(q.Version, q.Service)
	if p == nil {
		return Choice{}, false
	}
	r := search{view: v, query: &q, nowNanos: q.Now.UnixNano(), hasExclusions: true}
	var best *member
	for _, z := range p.zones {
		r.zoneMean = z.meanLoad()
		for i := range z.members {
			m := &z.members[i]
			if r.usable(m) && !occupied(m.details.id) && (best == nil || r.utilisation(m) < r.utilisation(best)) {
				best = m
			}
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return r.newChoice(best, !r.hasFreeSlot(best)), true
}

// search is the working state of one call of Choose.
type search struct {
	view          *View
	query         *Query
	nowNanos      int64
	zoneMean      float64 // mean reported load of the availability zone being searched
	cacheHolders  [hintWays]Handle
	hasAffinity   bool // whether the request prefers certain endpoints
	hasCacheHint  bool
	hasExclusions bool
	cachedLoads   [maxCachedLoads]float64 // member loads of surveyedZone
	surveyedZone  *zonePool
	lastSurvey    zoneSurvey
}

func (r *search) newChoice(m *member, full bool) Choice {
	return Choice{
		Endpoint: m.handle, ID: m.details.id, Zone: m.details.zone, Address: m.details.address,
		HasAffinity: r.hasAffinity, Full: full, counters: m.counters,
	}
}

// chooseZone returns the availability zone to search and whether all its slots are taken. It returns the first one with
// a free slot, unless that one is close to full and a later one is clearly less utilised. If none has a free slot, it
// returns the first one with usable endpoints.
func (r *search) chooseZone(p *pool) (*zonePool, bool) {
	var usable, free *zonePool
	var utilisation float64
	tried, usableZones := uint64(0), 0
	for range p.zones {
		i := r.nextZone(p, tried)
		tried |= 1 << i
		z := &p.zones[i]
		summary := r.surveyZone(z)
		if summary.slots != 0 {
			usableZones++
		}
		switch {
		case summary.slots == 0:
		case !summary.hasFreeSlot:
			if usable == nil {
				usable = z
			}
		case free == nil:
			free, utilisation = z, summary.load/summary.slots
			if utilisation < r.view.spillUtilisation {
				return z, false
			}
		case summary.load/summary.slots < min(r.view.spillUtilisation, utilisation-r.view.spillGap):
			return z, false
		}
		if usableZones == maxSearchedZones {
			break
		}
	}
	if free != nil {
		return free, false
	}
	return usable, true
}

// nextZone returns the caller's availability zone first, then the others in an order that depends on the prefix (or on
// a random draw without one), so that all instances send the overflow of a prefix to the same availability zone.
func (r *search) nextZone(p *pool, tried uint64) int {
	key := r.query.Prefix
	if key == 0 {
		key = uint64(r.query.RandomDraws[0] * (1 << 53))
	}
	if tried == 0 {
		for i := range p.zones {
			if p.zones[i].name == r.query.Zone {
				return i
			}
		}
	}
	best, bestScore := 0, uint64(0)
	for i := range p.zones {
		if tried&(1<<i) != 0 {
			continue
		}
		if s := bitmix.Mix(key ^ p.zones[i].nameHash); s >= bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// chooseInZone returns an endpoint with a free slot, or any usable one if full is set.
func (r *search) chooseInZone(z *zonePool, full bool) *member {
	r.zoneMean = z.meanLoad()
	if r.hasAffinity {
		return r.chooseByAffinity(z, full)
	}
	m := r.chooseByLoad(z)
	if m == nil || full || r.hasFreeSlot(m) {
		return m
	}
	return r.leastLoadedFree(z)
}

// chooseByAffinity returns the highest-scored endpoint whose load is within the bound. The scores are the same on all
// instances, so the requests with one prefix go to few endpoints.
func (r *search) chooseByAffinity(z *zonePool, full bool) *member {
	summary := r.lastSurvey
	if r.surveyedZone != z {
		summary = r.surveyZone(z)
	}
	bound := max(r.view.loadBound*summary.load/max(1, summary.slots), r.view.loadFloor)
	if !full {
		bound = min(bound, 1)
	}
	if m := r.highestRanked(z, bound); m != nil {
		return m
	}
	if full {
		return r.chooseByLoad(z)
	}
	return r.leastLoadedFree(z)
}

// zoneSurvey sums up the usable members of an availability zone.
type zoneSurvey struct {
	load, slots float64
	hasFreeSlot bool // whether a member has a free slot
}

// surveyZone is a separate function so that the compiler keeps the sums in registers.
func (r *search) surveyZone(z *zonePool) (summary zoneSurvey) {
	nowNanos, decayRate, hasExclusions, zoneMean := r.nowNanos, r.view.decayRate, r.hasExclusions, z.meanLoad()
	for i := range z.members {
		m := &z.members[i]
		load := unusableLoad
		if m.counters.accepts(nowNanos) && (!hasExclusions || !r.excluded(m.handle)) {
			load = m.counters.load(nowNanos, decayRate, zoneMean)
			summary.load += load
			summary.slots += m.slots
			if load+1 <= m.slots {
				summary.hasFreeSlot = true
			}
		}
		if i < maxCachedLoads {
			r.cachedLoads[i] = load
		}
	}
	r.surveyedZone, r.lastSurvey = z, summary
	return summary
}

// highestRanked returns the usable member with the highest score that stays within the utilisation bound with one more
// request. A member is also within it if the request would be its only one.
func (r *search) highestRanked(z *zonePool, bound float64) *member {
	best, bestScore := -1, uint64(0)
	for i := range z.members {
		m := &z.members[i]
		var load float64
		if i < maxCachedLoads {
			load = r.cachedLoads[i]
		} else if load = unusableLoad; r.usable(m) {
			load = m.counters.load(r.nowNanos, r.view.decayRate, r.zoneMean)
		}
		if load+1 > max(1, bound*m.slots) || load == unusableLoad {
			continue
		}
		if score := r.score(m); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return nil
	}
	return &z.members[best]
}

// score ranks a member for the request: first the session's endpoint, then endpoints known to hold the prefix or
// adapter, then the rest by rendezvous hashing.
func (r *search) score(m *member) uint64 {
	s := bitmix.Mix(r.query.Prefix^m.idHash) & rendezvousMask
	if m.handle == r.query.SessionEndpoint {
		return s | sessionBonus
	}
	if r.hasCacheHint && slices.Contains(r.cacheHolders[:], m.handle) {
		return s | cacheBonus
	}
	if r.query.Adapter != 0 && slices.Contains(m.details.adapters, r.query.Adapter) {
		return s | cacheBonus
	}
	return s
}

// chooseByLoad returns the less utilised of two endpoints drawn at random.
func (r *search) chooseByLoad(z *zonePool) *member {
	a := r.firstUsable(z, r.query.RandomDraws[0], nil)
	if a == nil {
		return nil
	}
	b := r.firstUsable(z, r.query.RandomDraws[1], a)
	if b != nil && r.utilisation(b) < r.utilisation(a) {
		return b
	}
	return a
}

// firstUsable returns the first usable member other than skip, starting at the drawn position.
func (r *search) firstUsable(z *zonePool, draw float64, skip *member) *member {
	n := len(z.members)
	index := int(draw * float64(n))
	for range n {
		if m := &z.members[index]; m != skip && r.usable(m) {
			return m
		}
		if index++; index == n {
			index = 0
		}
	}
	return nil
}

// leastLoadedFree returns the least utilised member that has a free slot.
func (r *search) leastLoadedFree(z *zonePool) *member {
	var best *member
	var leastUtilisation float64
	for i := range z.members {
		m := &z.members[i]
		if !r.usable(m) || !r.hasFreeSlot(m) {
			continue
		}
		if utilisation := r.utilisation(m); best == nil || utilisation < leastUtilisation {
			best, leastUtilisation = m, utilisation
		}
	}
	return best
}

func (r *search) hasFreeSlot(m *member) bool {
	return m.counters.load(r.nowNanos, r.view.decayRate, r.zoneMean)+1 <= m.slots
}

func (r *search) utilisation(m *member) float64 {
	return m.counters.load(r.nowNanos, r.view.decayRate, r.zoneMean) / m.slots
}

func (r *search) usable(m *member) bool {
	return m.counters.accepts(r.nowNanos) && (!r.hasExclusions || !r.excluded(m.handle))
}

func (r *search) excluded(h Handle) bool { return slices.Contains(r.query.Excluded[:], h) }

func hashString(s string) uint64 { return xxhash.Sum64String(s) }
