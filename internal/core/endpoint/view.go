package endpoint

import (
	"math"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"
)

// Weight of a zone's last mean against a fresh report, and the share of it kept at each Tick: it halves in about 7 s
// at 100 ms, longer than reports fade and short against a change of the load.
const (
	meanWeight = 0.5
	meanKeep   = 0.99
)

// View is an immutable snapshot of the endpoints that take new work; the load counters in it are live.
type View struct {
	versions map[string]*pool
	services map[string]*pool
	hints    *hints
	bound    float64
	floor    float64
	zoneFull float64
	zoneGap  float64
	fade     float64
}

// pool holds the endpoints of one version or service.
type pool struct {
	zones []zone
	size  int
}

// zone holds the endpoints of a pool in one availability zone, in the order of their identifiers.
type zone struct {
	name    string
	hash    uint64
	mean    *atomic.Uint64 // reported load of an endpoint on average, float64 bits
	members []member
}

// member is an endpoint in a pool.
type member struct {
	seed   uint64
	count  *counter
	slots  float64
	info   *info
	handle Handle
}

// info is what a search reads of the chosen endpoint only; it is replaced and never modified.
type info struct {
	id       string
	zone     string
	address  netip.AddrPort
	adapters []uint64
}

// Size returns the number of endpoints that take new work on a version.
func (v *View) Size(version string) int {
	if p := v.versions[version]; p != nil {
		return p.size
	}
	return 0
}

// ServiceSize returns the number of endpoints that take new work for a service.
func (v *View) ServiceSize(service string) int {
	if p := v.services[service]; p != nil {
		return p.size
	}
	return 0
}

// Capacity returns the slots of a pool and the estimated load on them.
func (v *View) Capacity(version, service string, now time.Time) (slots, load float64) {
	p := v.pool(version, service)
	if p == nil {
		return 0, 0
	}
	n := now.UnixNano()
	for _, z := range p.zones {
		mean := z.average()
		for i := range z.members {
			if m := &z.members[i]; !m.count.barred() {
				slots += m.slots
				load += m.count.load(n, v.fade, mean)
			}
		}
	}
	return slots, load
}

// Wait returns the mean wait for the first token that a pool's endpoints report, each weighted by its freshness; it is
// false when none states one.
func (v *View) Wait(version, service string, now time.Time) (time.Duration, bool) {
	p := v.pool(version, service)
	if p == nil {
		return 0, false
	}
	sum, weights := 0.0, 0.0
	for _, z := range p.zones {
		for i := range z.members {
			c := z.members[i].count
			w := min(1, 1-float64(now.UnixNano()-c.reportedAt.Load())*v.fade)
			if wait := c.wait.Load(); wait >= 0 && w > 0 && !c.barred() {
				sum += w * float64(wait)
				weights += w
			}
		}
	}
	if weights == 0 {
		return 0, false
	}
	return time.Duration(sum / weights), true
}

func (v *View) pool(version, service string) *pool {
	if service != "" {
		return v.services[service]
	}
	return v.versions[version]
}

func (t *Table) build() *View {
	v := &View{
		versions: map[string]*pool{}, services: map[string]*pool{}, hints: t.hints,
		bound: t.settings.LoadBound, floor: t.settings.LoadFloor,
		zoneFull: t.settings.ZoneFull, zoneGap: t.settings.ZoneGap, fade: 0.5 / float64(t.settings.ReportHalf),
	}
	old := t.means
	t.means = make(map[string]*atomic.Uint64, len(old))
	for _, e := range t.order {
		if !e.takes() {
			continue
		}
		m := e.member(t.settings.Slots)
		if e.service != "" {
			t.add(v.services, old, "service/", e.service, m)
		}
		for _, n := range e.versions {
			t.add(v.versions, old, "version/", n, m)
		}
	}
	return v
}

func (z *zone) average() float64 { return math.Float64frombits(z.mean.Load()) }

// settle stores the mean of the zone's reported loads, each weighted by its freshness. An endpoint without a fresh
// report counts as loaded as the others: taking it as idle sends every instance there at once. The last mean counts
// too, because an instance that sheds gets few reports and would take the zone as idle without it.
func (z *zone) settle(now int64, fade float64) {
	sum, weights := meanWeight*meanKeep*z.average(), meanWeight
	for i := range z.members {
		c := z.members[i].count
		w := min(1, 1-float64(now-c.reportedAt.Load())*fade)
		if w > 0 {
			sum += w * math.Float64frombits(c.report.Load())
			weights += w
		}
	}
	z.mean.Store(math.Float64bits(sum / weights))
}

// settle renews the means of all pools; views share the zones' means with the traffic goroutines.
func (v *View) settle(now time.Time) {
	for _, l := range []map[string]*pool{v.versions, v.services} {
		for _, p := range l {
			for i := range p.zones {
				p.zones[i].settle(now.UnixNano(), v.fade)
			}
		}
	}
}

// add puts a member into its pool. It takes over the zone's mean from the last view.
func (t *Table) add(pools map[string]*pool, old map[string]*atomic.Uint64, kind, name string, m member) {
	p := pools[name]
	if p == nil {
		p = &pool{}
		pools[name] = p
	}
	p.size++
	i := slices.IndexFunc(p.zones, func(z zone) bool { return z.name == m.info.zone })
	if i < 0 {
		i = len(p.zones)
		key := kind + name + "/" + m.info.zone
		if t.means[key] = old[key]; t.means[key] == nil {
			t.means[key] = &atomic.Uint64{}
		}
		p.zones = append(p.zones, zone{name: m.info.zone, hash: hashText(m.info.zone), mean: t.means[key]})
	}
	p.zones[i].members = append(p.zones[i].members, m)
}
