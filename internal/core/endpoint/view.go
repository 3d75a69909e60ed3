package endpoint

import (
	"net/netip"
	"slices"
	"time"
)

// View is an immutable snapshot of the endpoints that take new work; the load counters in it are live.
type View struct {
	versions map[string]*pool
	services map[string]*pool
	hints    *hints
	bound    float64
	floor    float64
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
		for i := range z.members {
			if m := &z.members[i]; !m.count.barred() {
				slots += m.slots
				load += m.count.load(n, v.fade)
			}
		}
	}
	return slots, load
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
		bound: t.settings.LoadBound, floor: t.settings.LoadFloor, fade: 0.5 / float64(t.settings.ReportHalf),
	}
	for _, e := range t.order {
		if !e.takes() {
			continue
		}
		m := e.member(t.settings.Slots)
		if e.service != "" {
			add(v.services, e.service, m)
		}
		for _, n := range e.versions {
			add(v.versions, n, m)
		}
	}
	return v
}

func add(pools map[string]*pool, name string, m member) {
	p := pools[name]
	if p == nil {
		p = &pool{}
		pools[name] = p
	}
	p.size++
	i := slices.IndexFunc(p.zones, func(z zone) bool { return z.name == m.info.zone })
	if i < 0 {
		i = len(p.zones)
		p.zones = append(p.zones, zone{name: m.info.zone, hash: hashText(m.info.zone)})
	}
	p.zones[i].members = append(p.zones[i].members, m)
}
