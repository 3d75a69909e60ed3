package endpoint

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/spread"
)

// maxExclude bounds the endpoints that one query leaves out; it covers the attempts of one request.
const maxExclude = 6

// kept is how many loads of one zone a search keeps between its two passes; it reads further ones again.
const kept = 128

// overflowZones is how many zones with usable endpoints are searched. Prefixes and draws spread over all zones, so
// a fleet in overload finds free slots wherever they are, and a full fleet costs no search of every zone.
const overflowZones = 4

// unusable marks a member that takes no request; it lies below every load.
const unusable = -1.0

// Bonuses lift endpoints above the rendezvous ranks, which use the lower 62 bits.
const (
	rankMask     = 1<<62 - 1
	bonusCached  = 1 << 62
	bonusSession = 1 << 63
)

// Query asks for an endpoint for one attempt.
type Query struct {
	Version string // exact "model@version", or
	Service string // name of a plain service
	Zone    string // caller's availability zone, tried first
	Prefix  uint64 // hash of the prompt's prefix; 0 means none
	Adapter uint64 // HashAdapter of the adapter that the request uses; 0 means none
	Session Handle // endpoint that ran the session's last request; 0 means none
	Exclude [maxExclude]Handle
	Draws   [2]float64 // random numbers in [0, 1)
	Now     time.Time
}

// Choice is the endpoint for one attempt.
type Choice struct {
	Endpoint Handle
	ID       string
	Zone     string
	Address  netip.AddrPort
	Affine   bool // the request had a prefix, session or adapter to go by
	Full     bool // all slots of the pool seem taken; the request will wait at the endpoint

	count *counter
}

// Begin counts the request as outstanding; call it at once after Choose.
func (c Choice) Begin(now time.Time) {
	c.count.outstanding.Add(1)
	if g := c.count.gate.Load(); g > 0 {
		c.count.nextAt.Store(now.UnixNano() + g)
	}
}

// End counts the request as over; call it once for each Begin.
func (c Choice) End() { c.count.outstanding.Add(-1) }

// Bar stops new work to the endpoint at once in all views, before the table handles the event that states why.
func (c Choice) Bar() { c.count.gate.Store(gateBarred) }

// Barred reports whether the endpoint turned away from new work since the choice; check it just before sending.
func (c Choice) Barred() bool { return c.count.barred() }

// HashAdapter returns the form of an adapter's name that a query carries.
func HashAdapter(name string) uint64 { return xxhash.Sum64String(name) }

// Choose returns an endpoint that reports the exact version and takes new work. The caller's availability zone
// comes first; others follow when it is full or has none.
func (v *View) Choose(q Query) (Choice, bool) {
	p := v.pool(q.Version, q.Service)
	if p == nil {
		return Choice{}, false
	}
	r := search{view: v, query: &q, now: q.Now.UnixNano(), affine: q.Prefix != 0 || q.Session != 0 || q.Adapter != 0}
	r.exclude = q.Exclude != [maxExclude]Handle{}
	if q.Prefix != 0 {
		r.cached = v.hints.get(q.Prefix)
		r.hinted = r.cached != [hintWays]Handle{}
	}
	z, full := r.zone(p)
	if z == nil {
		return Choice{}, false
	}
	m := r.inZone(z, full)
	if m == nil {
		return Choice{}, false // the last usable endpoint was barred meanwhile
	}
	return r.choice(m, full), true
}

// ChooseAlone returns the least used endpoint for a crash suspect, which other suspects do not run on. It walks
// all endpoints of the pool; the few suspects can wait for that.
func (v *View) ChooseAlone(q Query, occupied func(id string) bool) (Choice, bool) {
	p := v.pool(q.Version, q.Service)
	if p == nil {
		return Choice{}, false
	}
	r := search{view: v, query: &q, now: q.Now.UnixNano(), exclude: true}
	var best *member
	for _, z := range p.zones {
		r.mean = z.average()
		for i := range z.members {
			m := &z.members[i]
			if r.usable(m) && !occupied(m.info.id) && (best == nil || r.utilisation(m) < r.utilisation(best)) {
				best = m
			}
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return r.choice(best, !r.free(best)), true
}

// search is the working state of one Choose.
type search struct {
	view    *View
	query   *Query
	now     int64
	mean    float64 // of the zone under search
	cached  [hintWays]Handle
	affine  bool // the request prefers certain endpoints
	hinted  bool
	exclude bool
	loads   [kept]float64 // of the zone surveyed last
	kept    *zone
	last    survey
}

func (r *search) choice(m *member, full bool) Choice {
	return Choice{
		Endpoint: m.handle, ID: m.info.id, Zone: m.info.zone, Address: m.info.address,
		Affine: r.affine, Full: full, count: m.count,
	}
}

// zone returns the zone to search and whether all its slots are taken: the first one with a free slot, unless it is
// near its limit and a later one has clearly more room; else the first with usable endpoints.
func (r *search) zone(p *pool) (*zone, bool) {
	var usable, free *zone
	var used float64
	tried, seen := uint64(0), 0
	for range p.zones {
		i := r.nextZone(p, tried)
		tried |= 1 << i
		z := &p.zones[i]
		s := r.survey(z)
		if s.slots != 0 {
			seen++
		}
		switch {
		case s.slots == 0:
		case !s.free:
			if usable == nil {
				usable = z
			}
		case free == nil:
			free, used = z, s.load/s.slots
			if used < r.view.zoneFull {
				return z, false
			}
		case s.load/s.slots < min(r.view.zoneFull, used-r.view.zoneGap):
			return z, false
		}
		if seen == overflowZones {
			break
		}
	}
	if free != nil {
		return free, false
	}
	return usable, true
}

// nextZone returns the caller's zone first, then the others in an order that the prefix (or a draw) fixes, so
// that all instances overflow a prefix to the same zone.
func (r *search) nextZone(p *pool, tried uint64) int {
	key := r.query.Prefix
	if key == 0 {
		key = uint64(r.query.Draws[0] * (1 << 53))
	}
	if tried == 0 {
		for i := range p.zones {
			if p.zones[i].name == r.query.Zone {
				return i
			}
		}
	}
	best, score := 0, uint64(0)
	for i := range p.zones {
		if tried&(1<<i) != 0 {
			continue
		}
		if s := spread.Mix(key ^ p.zones[i].hash); s >= score {
			best, score = i, s
		}
	}
	return best
}

// inZone returns an endpoint with a free slot, or with full any one.
func (r *search) inZone(z *zone, full bool) *member {
	r.mean = z.average()
	if r.affine {
		return r.byPrefix(z, full)
	}
	m := r.byLoad(z)
	if m == nil || full || r.free(m) {
		return m
	}
	return r.anyFree(z)
}

// byPrefix returns the first endpoint in the prefix's ranking whose load is within the bound. The ranking is the
// same on all instances, so a prefix stays on few endpoints.
func (r *search) byPrefix(z *zone, full bool) *member {
	s := r.last
	if r.kept != z {
		s = r.survey(z)
	}
	bound := max(r.view.bound*s.load/max(1, s.slots), r.view.floor)
	if !full {
		bound = min(bound, 1)
	}
	if m := r.ranked(z, bound); m != nil {
		return m
	}
	if full {
		return r.byLoad(z)
	}
	return r.anyFree(z)
}

// survey is what a zone's usable members have together.
type survey struct {
	load, slots float64
	free        bool // one has a free slot
}

// survey is kept apart from byPrefix because the compiler then holds the sums in registers.
func (r *search) survey(z *zone) (s survey) {
	now, fade, exclude, mean := r.now, r.view.fade, r.exclude, z.average()
	for i := range z.members {
		m := &z.members[i]
		l := unusable
		if m.count.open(now) && (!exclude || !r.excluded(m.handle)) {
			l = m.count.load(now, fade, mean)
			s.load += l
			s.slots += m.slots
			if l+1 <= m.slots {
				s.free = true
			}
		}
		if i < kept {
			r.loads[i] = l
		}
	}
	r.kept, r.last = z, s
	return s
}

// ranked returns the usable member with the highest score whose utilisation with one more request is within the
// bound, or that has a single free slot.
func (r *search) ranked(z *zone, bound float64) *member {
	best, top := -1, uint64(0)
	for i := range z.members {
		m := &z.members[i]
		var l float64
		if i < kept {
			l = r.loads[i]
		} else if l = unusable; r.usable(m) {
			l = m.count.load(r.now, r.view.fade, r.mean)
		}
		if l+1 > max(1, bound*m.slots) || l == unusable {
			continue
		}
		if s := r.score(m); best < 0 || s > top {
			best, top = i, s
		}
	}
	if best < 0 {
		return nil
	}
	return &z.members[best]
}

// score ranks a member for the request: first the session's endpoint, then those known to hold the prefix or
// adapter, then by rendezvous hashing.
func (r *search) score(m *member) uint64 {
	s := spread.Mix(r.query.Prefix^m.seed) & rankMask
	if m.handle == r.query.Session {
		return s | bonusSession
	}
	if r.hinted && slices.Contains(r.cached[:], m.handle) {
		return s | bonusCached
	}
	if r.query.Adapter != 0 && slices.Contains(m.info.adapters, r.query.Adapter) {
		return s | bonusCached
	}
	return s
}

// byLoad returns the less used one of two endpoints drawn at random.
func (r *search) byLoad(z *zone) *member {
	a := r.drawn(z, r.query.Draws[0], nil)
	if a == nil {
		return nil
	}
	b := r.drawn(z, r.query.Draws[1], a)
	if b != nil && r.utilisation(b) < r.utilisation(a) {
		return b
	}
	return a
}

// drawn returns the first usable member at or after the drawn position, other than not.
func (r *search) drawn(z *zone, draw float64, not *member) *member {
	n := len(z.members)
	at := int(draw * float64(n))
	for range n {
		if m := &z.members[at]; m != not && r.usable(m) {
			return m
		}
		if at++; at == n {
			at = 0
		}
	}
	return nil
}

// anyFree returns the least used member that has a free slot.
func (r *search) anyFree(z *zone) *member {
	var best *member
	var least float64
	for i := range z.members {
		m := &z.members[i]
		if !r.usable(m) || !r.free(m) {
			continue
		}
		if u := r.utilisation(m); best == nil || u < least {
			best, least = m, u
		}
	}
	return best
}

func (r *search) free(m *member) bool { return m.count.load(r.now, r.view.fade, r.mean)+1 <= m.slots }

func (r *search) utilisation(m *member) float64 {
	return m.count.load(r.now, r.view.fade, r.mean) / m.slots
}

func (r *search) usable(m *member) bool {
	return m.count.open(r.now) && (!r.exclude || !r.excluded(m.handle))
}

func (r *search) excluded(h Handle) bool { return slices.Contains(r.query.Exclude[:], h) }

func hashText(s string) uint64 { return xxhash.Sum64String(s) }
