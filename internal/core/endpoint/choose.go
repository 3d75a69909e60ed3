package endpoint

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxExclude bounds the endpoints that one query leaves out; it covers the attempts of one request.
const maxExclude = 6

// ranked is how many endpoints of a prefix's ranking are tried before the load alone decides.
const ranked = 4

// Bonuses lift endpoints above the rendezvous ranks, which use the lower 62 bits.
const (
	rankMask     = 1<<62 - 1
	bonusCached  = 1 << 62 // the session ran there, or a cache event or loaded adapter says so
	minimumSlots = 1
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
	Affine   bool // the endpoint was chosen for its prefix, session or adapter
	Full     bool // all slots of the pool seem taken; the request will wait at the endpoint

	count *counter
}

// Begin counts the request as outstanding; call it at once after Choose.
func (c Choice) Begin(now time.Time) {
	c.count.outstanding.Add(1)
	if g := c.count.gap.Load(); g != 0 {
		c.count.nextAt.Store(now.UnixNano() + g)
	}
}

// End counts the request as over; call it once for each Begin.
func (c Choice) End() { c.count.outstanding.Add(-1) }

// Bar stops new work to the endpoint at once in all views, before the table handles the event that states why.
func (c Choice) Bar() { c.count.barred.Store(true) }

// Barred reports whether the endpoint turned away from new work since the choice; check it just before sending.
func (c Choice) Barred() bool { return c.count.barred.Load() }

// HashAdapter returns the form of an adapter's name that a query carries.
func HashAdapter(name string) uint64 { return xxhash.Sum64String(name) }

// Choose returns an endpoint that reports the exact version and takes new work. The caller's availability zone
// comes first; others follow when it is full or has none.
func (v *View) Choose(q Query) (Choice, bool) {
	p := v.pool(q.Version, q.Service)
	if p == nil {
		return Choice{}, false
	}
	r := search{view: v, query: &q, now: q.Now.UnixNano()}
	if q.Prefix != 0 {
		r.cached = v.hints.get(q.Prefix)
	}
	var first pick
	var tried uint64
	for range p.zones {
		z := r.nextZone(p, tried)
		tried |= 1 << z
		c := r.inZone(&p.zones[z])
		if c.member == nil {
			continue
		}
		if !c.full {
			return c.choice(), true
		}
		if first.member == nil {
			first = c
		}
	}
	if first.member == nil {
		return Choice{}, false
	}
	return first.choice(), true
}

// search is the working state of one Choose.
type search struct {
	view   *View
	query  *Query
	now    int64
	cached [hintWays]Handle
}

// pick is a member with its judgement.
type pick struct {
	member *member
	load   float64
	score  uint64
	affine bool
	full   bool
}

func (c pick) choice() Choice {
	m := c.member
	return Choice{
		Endpoint: m.handle, ID: m.info.id, Zone: m.info.zone, Address: m.info.address,
		Affine: c.affine, Full: c.full, count: m.count,
	}
}

// nextZone returns the caller's zone first, then the others in an order that the prefix (or a draw) fixes, so
// that all instances overflow a prefix to the same zone.
func (r *search) nextZone(p *pool, tried uint64) int {
	key := r.query.Prefix
	if key == 0 {
		key = uint64(r.query.Draws[0] * (1 << 53))
	}
	best, score := -1, uint64(0)
	for i := range p.zones {
		if tried&(1<<i) != 0 {
			continue
		}
		if p.zones[i].name == r.query.Zone {
			return i
		}
		if s := mix(key ^ p.zones[i].hash); best < 0 || s > score {
			best, score = i, s
		}
	}
	return best
}

func (r *search) inZone(z *zone) pick {
	if r.query.Prefix == 0 && r.query.Session == 0 && r.query.Adapter == 0 {
		if c := r.byLoad(z); c.member == nil || !c.full {
			return c
		}
		return r.leastLoaded(z)
	}
	return r.byPrefix(z)
}

// byPrefix returns the first endpoint in the prefix's ranking whose load is within the bound. The ranking is the
// same on all instances, so a prefix stays on few endpoints.
func (r *search) byPrefix(z *zone) pick {
	var top [ranked]pick
	var load, slots float64
	for i := range z.members {
		m := &z.members[i]
		if !r.usable(m) {
			continue
		}
		c := pick{member: m, load: m.count.load(r.now, r.view.half), score: r.score(m)}
		load += c.load
		slots += m.slots
		insert(&top, c)
	}
	if slots == 0 {
		return pick{}
	}
	bound := max(r.view.bound*(load+1)/slots, r.view.floor)
	for _, c := range top {
		if c.member != nil && c.load+1 <= max(minimumSlots, min(bound, 1)*c.member.slots) {
			c.affine = true
			return c
		}
	}
	if c := r.byLoad(z); !c.full {
		return c
	}
	return r.leastLoaded(z)
}

func (r *search) score(m *member) uint64 {
	s := mix(r.query.Prefix^m.seed) & rankMask
	if m.handle == r.query.Session {
		return s | bonusCached<<1
	}
	if slices.Contains(r.cached[:], m.handle) || (r.query.Adapter != 0 && slices.Contains(m.adapters, r.query.Adapter)) {
		return s | bonusCached
	}
	return s
}

func insert(top *[ranked]pick, c pick) {
	if l := &top[ranked-1]; l.member != nil && l.score >= c.score {
		return
	}
	i := ranked - 1
	for ; i > 0 && (top[i-1].member == nil || top[i-1].score < c.score); i-- {
		top[i] = top[i-1]
	}
	top[i] = c
}

// byLoad returns the less used one of two endpoints drawn at random.
func (r *search) byLoad(z *zone) pick {
	a := r.drawn(z, r.query.Draws[0], nil)
	if a.member == nil {
		return a
	}
	b := r.drawn(z, r.query.Draws[1], a.member)
	if b.member != nil && b.load/b.member.slots < a.load/a.member.slots {
		return b
	}
	return a
}

// drawn returns the first usable member at or after the drawn position, other than not.
func (r *search) drawn(z *zone, draw float64, not *member) pick {
	n := len(z.members)
	for i := range n {
		m := &z.members[(int(draw*float64(n))+i)%n]
		if m != not && r.usable(m) {
			return r.judged(m)
		}
	}
	return pick{}
}

func (r *search) judged(m *member) pick {
	l := m.count.load(r.now, r.view.half)
	return pick{member: m, load: l, full: l+1 > m.slots}
}

func (r *search) leastLoaded(z *zone) pick {
	var best pick
	for i := range z.members {
		m := &z.members[i]
		if !r.usable(m) {
			continue
		}
		if c := r.judged(m); best.member == nil || c.load/m.slots < best.load/best.member.slots {
			best = c
		}
	}
	return best
}

func (r *search) usable(m *member) bool {
	return m.count.open(r.now) && !slices.Contains(r.query.Exclude[:], m.handle)
}

// mix is the finaliser of splitmix64; it spreads the bits of a prefix and an endpoint's seed.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func hashText(s string) uint64 { return xxhash.Sum64String(s) }
