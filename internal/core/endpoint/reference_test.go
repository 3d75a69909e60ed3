package endpoint

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"

	"github.com/cassiaspoke/cassiaspoke/internal/core/bitmix"
)

// referenceMember is an endpoint in the reference implementation.
type referenceMember struct {
	e    *entry
	load float64
	free bool
}

// referenceChoose implements the rules of Choose with lists and sorting, directly from the table's entries.
func referenceChoose(t *Table, q Query) (Handle, bool) {
	zones := map[string][]referenceMember{}
	means := map[string]float64{}
	for _, z := range t.View().pool(q.Version, q.Service).zonesOrNil() {
		means[z.name] = z.meanLoad()
	}
	for _, e := range t.entries {
		if e.leaving() || e.state == healthEjected || slices.Contains(q.Excluded[:], e.handle) || !servesQuery(e, q) {
			continue
		}
		outstanding := float64(e.counters.outstanding.Load())
		if e.state == healthReturning && (outstanding >= float64(e.recoveryAnswers+1) ||
			q.Now.UnixNano() < e.counters.nextRequestAt.Load()) {
			continue
		}
		load := e.counters.load(q.Now.UnixNano(), 0.5/float64(t.settings.ReportHalfWeightAge), means[e.zone])
		zones[e.zone] = append(zones[e.zone], referenceMember{e, load, load+1 <= effectiveSlots(t, e)})
	}
	names := make([]string, 0, len(zones))
	for n := range zones {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b string) int {
		switch {
		case a == q.Zone:
			return -1
		case b == q.Zone:
			return 1
		case bitmix.Mix(q.Prefix^hashString(a)) > bitmix.Mix(q.Prefix^hashString(b)):
			return -1
		}
		return 1
	})
	names = names[:min(len(names), maxSearchedZones)]
	usage := func(n string) (u float64) {
		var load, slots float64
		for _, m := range zones[n] {
			load, slots = load+m.load, slots+effectiveSlots(t, m.e)
		}
		return load / slots
	}
	free := slices.DeleteFunc(slices.Clone(names), func(n string) bool {
		return !slices.ContainsFunc(zones[n], func(m referenceMember) bool { return m.free })
	})
	if len(free) > 0 {
		best := free[0]
		if u := usage(best); u >= t.settings.SpillUtilisation {
			for _, n := range free[1:] {
				if usage(n) < min(t.settings.SpillUtilisation, u-t.settings.SpillGap) {
					best = n
					break
				}
			}
		}
		return referenceRank(t, q, zones[best], 1)
	}
	if len(names) == 0 {
		return 0, false
	}
	return referenceRank(t, q, zones[names[0]], 1e9)
}

func (p *pool) zonesOrNil() []zonePool {
	if p == nil {
		return nil
	}
	return p.zones
}

func servesQuery(e *entry, q Query) bool {
	if q.Service != "" {
		return e.service == q.Service
	}
	return slices.Contains(e.versions, q.Version)
}

func effectiveSlots(t *Table, e *entry) float64 {
	if e.slots > 0 {
		return float64(e.slots)
	}
	return float64(t.settings.DefaultSlots)
}

// referenceRank sorts the members of an availability zone by score and returns the first one within the bound.
func referenceRank(t *Table, q Query, members []referenceMember, ceiling float64) (Handle, bool) {
	var load, slots float64
	for _, m := range members {
		load += m.load
		slots += effectiveSlots(t, m.e)
	}
	bound := min(ceiling, max(t.settings.MaxRelativeLoad*load/slots, t.settings.MinAffinityUtilisation))
	cached := t.cacheHints.lookup(q.Prefix)
	class := func(m referenceMember) int {
		switch {
		case m.e.handle == q.SessionEndpoint:
			return 2
		case slices.Contains(cached[:], m.e.handle):
			return 1
		}
		return 0
	}
	slices.SortFunc(members, func(a, b referenceMember) int {
		if c := class(b) - class(a); c != 0 {
			return c
		}
		if bitmix.Mix(q.Prefix^a.e.idHash)&rendezvousMask > bitmix.Mix(q.Prefix^b.e.idHash)&rendezvousMask {
			return -1
		}
		return 1
	})
	for _, m := range members {
		if m.load+1 <= max(1, bound*effectiveSlots(t, m.e)) {
			return m.e.handle, true
		}
	}
	return 0, true // no member is within the bound, so Choose may return any of them
}

// TestChooseAgreesWithNaive guards the optimised search by comparing it with the reference implementation, on tables
// with leaving, ejected, returning and loaded endpoints.
func TestChooseAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := drawLoadedTable(t)
		q := Query{
			Version:         rapid.SampledFrom([]string{"m@0", "m@1", "m@2"}).Draw(t, "version"),
			Zone:            rapid.SampledFrom([]string{"zone-0", "zone-3", "elsewhere"}).Draw(t, "zone"),
			Prefix:          rapid.Uint64Min(1).Draw(t, "prefix"),
			SessionEndpoint: Handle(rapid.IntRange(0, 40).Draw(t, "session")),
			RandomDraws:     [2]float64{rapid.Float64Range(0, 0.999).Draw(t, "draw"), rapid.Float64Range(0, 0.999).Draw(t, "draw")},
			Now:             epoch.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "now")) * time.Millisecond),
		}
		for i := range rapid.IntRange(0, 3).Draw(t, "excluded") {
			q.Excluded[i] = Handle(rapid.IntRange(1, 40).Draw(t, "exclude"))
		}
		if rapid.Bool().Draw(t, "hint") {
			table.Apply(epoch, PrefixCacheChanged{Endpoint: Handle(rapid.IntRange(1, 40).Draw(t, "cached")), Prefix: q.Prefix})
		}
		want, ok := referenceChoose(table, q)
		got, found := table.View().Choose(q)
		if ok != found {
			t.Fatalf("Choose found an endpoint: %v, reference: %v", found, ok)
		}
		if ok && want != 0 && got.Endpoint != want {
			t.Fatalf("chose endpoint %d, reference chose %d", got.Endpoint, want)
		}
	})
}

// drawLoadedTable returns a table of up to 40 engines with random loads, reports and failures.
func drawLoadedTable(t *rapid.T) *Table {
	table := newTestTable(engineInstances(rapid.IntRange(1, 40).Draw(t, "size"), rapid.IntRange(1, 3).Draw(t, "versions")))
	for _, e := range table.entries {
		e.counters.outstanding.Store(int64(rapid.IntRange(0, 6).Draw(t, "own")))
		switch rapid.IntRange(0, 6).Draw(t, "case") {
		case 0:
			table.Apply(epoch, RequestFailed{Endpoint: e.handle, Kind: FailConnectionLost})
		case 1:
			table.Apply(epoch, RequestFailed{Endpoint: e.handle, Kind: FailRefused})
			table.Apply(epoch, ProbeFinished{Endpoint: e.handle, OK: true})
		case 2:
			table.Apply(epoch, RequestAnswered{Endpoint: e.handle, Report: Report{Time: epoch, Leaving: true}})
		default:
			table.Apply(epoch, RequestAnswered{Endpoint: e.handle, Report: Report{
				Time: epoch, Load: rapid.IntRange(0, 12).Draw(t, "load"), Slots: rapid.IntRange(0, 8).Draw(t, "slots"),
			}})
		}
	}
	return table
}

// TestChooseRules guards each rule of Choose on a small fleet.
func TestChooseRules(t *testing.T) {
	engine := func(id, zone string, versions ...string) platform.Instance {
		return platform.Instance{ID: id, Role: platform.RoleEngine, AvailabilityZone: zone, Versions: versions}
	}
	list := []platform.Instance{
		engine("a", "north", "m@1"), engine("b", "south", "m@1"), engine("c", "south", "m@2"),
		{ID: "s", Role: platform.RoleService, Service: "booking", AvailabilityZone: "south"},
		{ID: "r", Role: platform.RoleRouter, AvailabilityZone: "north"},
	}
	full := func(id string) func(*Table) {
		return func(t *Table) {
			t.Apply(epoch, RequestAnswered{Endpoint: t.Handle(id), Report: Report{Time: epoch, Load: 32, Slots: 32}})
		}
	}
	for name, c := range map[string]struct {
		setUp func(*Table)
		query Query
		want  string // identifier; empty for no choice
	}{
		"own availability zone":          {nil, Query{Version: "m@1", Zone: "south"}, "b"},
		"other availability zone":        {nil, Query{Version: "m@2", Zone: "north"}, "c"},
		"full availability zone":         {full("a"), Query{Version: "m@1", Zone: "north"}, "b"},
		"full availability zone, prefix": {full("a"), Query{Version: "m@1", Zone: "north", Prefix: 5}, "b"},
		"unknown version":                {nil, Query{Version: "m@3", Zone: "north"}, ""},
		"service":                        {nil, Query{Service: "booking", Zone: "north"}, "s"},
		"router is never chosen":         {nil, Query{Service: "", Zone: "north"}, ""},
		"all full": {
			func(t *Table) { full("a")(t); full("b")(t) }, Query{Version: "m@1", Zone: "south", Prefix: 9}, "b",
		},
		"excluded": {nil, Query{Version: "m@1", Zone: "south", Excluded: [maxExcluded]Handle{2}}, "a"},
		"own report outranks the list": {func(t *Table) {
			t.Apply(epoch, RequestAnswered{Endpoint: t.Handle("c"), Report: Report{Time: epoch, Versions: []string{"m@3"}}})
			t.Apply(epoch.Add(time.Second), InstancesListed{list})
		}, Query{Version: "m@2", Zone: "south"}, ""},
		"wrong version in an answer": {func(t *Table) {
			t.Apply(epoch, RequestFailed{Endpoint: t.Handle("c"), Kind: FailWrongVersion, Version: "m@2"})
			t.Apply(epoch, RequestAnswered{Endpoint: t.Handle("c"), Report: Report{Time: epoch, Versions: []string{"m@2"}}})
		}, Query{Version: "m@2", Zone: "south"}, ""},
		"role change": {func(t *Table) {
			l := slices.Clone(list)
			l[2] = platform.Instance{ID: "c", Role: platform.RoleService, Service: "stock", AvailabilityZone: "south"}
			t.Apply(epoch, InstancesListed{l})
		}, Query{Version: "m@2", Zone: "south"}, ""},
		"empty list": {func(t *Table) { t.Apply(epoch.Add(time.Hour), InstancesListed{}) }, Query{Version: "m@2"}, "c"},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTestTable(list)
			if c.setUp != nil {
				c.setUp(table)
			}
			c.query.Now = epoch
			got, _ := table.View().Choose(c.query)
			if got.ID != c.want {
				t.Errorf("chose %q, want %q", got.ID, c.want)
			}
		})
	}
}
