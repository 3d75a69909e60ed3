package endpoint

import (
	"math"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"
)

// Weight of the previous mean relative to a fresh report, and the share of that mean kept at each Tick. At 100 ms per
// Tick the mean halves in about 7 s, which is longer than reports stay fresh and shorter than typical changes of the
// load.
const (
	priorMeanWeight    = 0.5
	priorMeanRetention = 0.99
)

// View is an immutable snapshot of the endpoints that accept new requests. Its load counters are live.
type View struct {
	versions         map[string]*pool
	services         map[string]*pool
	evacuated        map[string]bool // keys of pools with an endpoint that only the evacuation of its availability zone blocks
	cacheHints       *cacheHints
	loadBound        float64
	loadFloor        float64
	spillUtilisation float64
	spillGap         float64
	decayRate        float64
}

// pool holds the endpoints of one version or service.
type pool struct {
	zones []zonePool
	size  int
}

// zonePool holds the endpoints of a pool in one availability zone, in the order of their identifiers.
type zonePool struct {
	name         string
	nameHash     uint64
	reportedMean *atomic.Uint64 // mean reported load of an endpoint, as float64 bits
	members      []member
}

// member is an endpoint in a pool.
type member struct {
	idHash   uint64
	counters *counters
	slots    float64
	details  *details
	handle   Handle
}

// details are the data that a search reads only of the chosen endpoint. They are replaced and never modified.
type details struct {
	id       string
	zone     string
	address  netip.AddrPort
	adapters []uint64
}

// VersionSize returns the number of endpoints that accept new requests for a version.
func (v *View) VersionSize(version string) int {
	if p := v.versions[version]; p != nil {
		return p.size
	}
	return 0
}

// ServiceSize returns the number of endpoints that accept new requests for a service.
func (v *View) ServiceSize(service string) int {
	if p := v.services[service]; p != nil {
		return p.size
	}
	return 0
}

// AllEvacuated reports whether a version, or a service if one is given, has endpoints and all that would accept new requests are in
// evacuated availability zones.
func (v *View) AllEvacuated(version, service string) bool {
	p := v.pool(version, service)
	return (p == nil || p.size == 0) && v.evacuated[poolKey(version, service)]
}

// poolKey returns the name of a version or service that is unique among both.
func poolKey(version, service string) string {
	if service != "" {
		return "service/" + service
	}
	return "version/" + version
}

// Capacity returns the number of slots of a pool and its estimated load.
func (v *View) Capacity(version, service string, now time.Time) (slots, load float64) {
	p := v.pool(version, service)
	if p == nil {
		return 0, 0
	}
	nowNanos := now.UnixNano()
	for _, z := range p.zones {
		mean := z.meanLoad()
		for i := range z.members {
			if m := &z.members[i]; !m.counters.blocked() {
				slots += m.slots
				load += m.counters.load(nowNanos, v.decayRate, mean)
			}
		}
	}
	return slots, load
}

// MeanFirstTokenWait returns the mean wait for the first token that a pool's endpoints report, weighted by the
// freshness of the reports. It returns false if no endpoint reports a wait.
func (v *View) MeanFirstTokenWait(version, service string, now time.Time) (time.Duration, bool) {
	p := v.pool(version, service)
	if p == nil {
		return 0, false
	}
	sum, totalWeight := 0.0, 0.0
	for _, z := range p.zones {
		for i := range z.members {
			counters := z.members[i].counters
			weight := min(1, 1-float64(now.UnixNano()-counters.reportedAt.Load())*v.decayRate)
			if wait := counters.reportedWait.Load(); wait >= 0 && weight > 0 && !counters.blocked() {
				sum += weight * float64(wait)
				totalWeight += weight
			}
		}
	}
	if totalWeight == 0 {
		return 0, false
	}
	return time.Duration(sum / totalWeight), true
}

func (v *View) pool(version, service string) *pool {
	if service != "" {
		return v.services[service]
	}
	return v.versions[version]
}

func (t *Table) buildView() *View {
	v := &View{
		versions: map[string]*pool{}, services: map[string]*pool{}, evacuated: map[string]bool{}, cacheHints: t.cacheHints,
		loadBound: t.settings.MaxRelativeLoad, loadFloor: t.settings.MinAffinityUtilisation,
		spillUtilisation: t.settings.SpillUtilisation, spillGap: t.settings.SpillGap,
		decayRate: 0.5 / float64(t.settings.ReportHalfWeightAge),
	}
	oldMeans := t.zoneMeans
	t.zoneMeans = make(map[string]*atomic.Uint64, len(oldMeans))
	for _, e := range t.entries {
		if e.evacuated && !e.leaving() && e.state != healthEjected {
			v.addEvacuated(e)
		}
		if !e.acceptsWork() {
			continue
		}
		m := e.member(t.settings.DefaultSlots)
		if e.service != "" {
			t.addMember(v.services, oldMeans, "service/", e.service, m)
		}
		for _, version := range e.versions {
			t.addMember(v.versions, oldMeans, "version/", version, m)
		}
	}
	return v
}

// addEvacuated notes the pools of an endpoint in an evacuated zone.
func (v *View) addEvacuated(e *entry) {
	if e.service != "" {
		v.evacuated[poolKey("", e.service)] = true
	}
	for _, version := range e.versions {
		v.evacuated[poolKey(version, "")] = true
	}
}

func (z *zonePool) meanLoad() float64 { return math.Float64frombits(z.reportedMean.Load()) }

// updateMean stores the mean of the reported loads, weighted by the freshness of the reports. An endpoint without a
// fresh report counts as loaded as the mean; if it counted as idle, all instances would send to it at once. The
// previous mean counts too, because an instance that sheds gets few reports and would otherwise take the availability
// zone as idle.
func (z *zonePool) updateMean(nowNanos int64, decayRate float64) {
	sum, totalWeight := priorMeanWeight*priorMeanRetention*z.meanLoad(), priorMeanWeight
	for i := range z.members {
		counters := z.members[i].counters
		weight := min(1, 1-float64(nowNanos-counters.reportedAt.Load())*decayRate)
		if weight > 0 {
			sum += weight * math.Float64frombits(counters.reportedLoad.Load())
			totalWeight += weight
		}
	}
	z.reportedMean.Store(math.Float64bits(sum / totalWeight))
}

// updateMeans updates the mean loads of all pools. Views share them with the request goroutines.
func (v *View) updateMeans(now time.Time) {
	for _, pools := range []map[string]*pool{v.versions, v.services} {
		for _, p := range pools {
			for i := range p.zones {
				p.zones[i].updateMean(now.UnixNano(), v.decayRate)
			}
		}
	}
}

// addMember adds a member to its pool and keeps the mean load of its availability zone from the previous view.
func (t *Table) addMember(pools map[string]*pool, oldMeans map[string]*atomic.Uint64, kind, name string, m member) {
	p := pools[name]
	if p == nil {
		p = &pool{}
		pools[name] = p
	}
	p.size++
	i := slices.IndexFunc(p.zones, func(z zonePool) bool { return z.name == m.details.zone })
	if i < 0 {
		i = len(p.zones)
		key := kind + name + "/" + m.details.zone
		if t.zoneMeans[key] = oldMeans[key]; t.zoneMeans[key] == nil {
			t.zoneMeans[key] = &atomic.Uint64{}
		}
		p.zones = append(p.zones, zonePool{
			name: m.details.zone, nameHash: hashString(m.details.zone), reportedMean: t.zoneMeans[key],
		})
	}
	p.zones[i].members = append(p.zones[i].members, m)
}
