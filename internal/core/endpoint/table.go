package endpoint

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// healthState says whether an endpoint is live, ejected or returning from an ejection.
type healthState int

const (
	healthLive healthState = iota
	healthEjected
	healthReturning
)

// Table holds what one instance knows of all endpoints. Only the control goroutine uses it.
type Table struct {
	settings   Settings
	entries    []*entry // in the order of their identifiers
	byHandle   map[Handle]*entry
	lastHandle Handle
	cacheHints *cacheHints
	// zoneMeans holds the mean reported load by pool and availability zone, as float64 bits.
	zoneMeans map[string]*atomic.Uint64
	now       time.Time // time of the last event
	view      *View     // nil if an event made it out of date
	probes    []ProbeRequest

	evacuatedZones map[string]bool
}

// entry is the state of one endpoint.
type entry struct {
	*details
	handle   Handle
	idHash   uint64
	counters *counters
	service  string

	versions           []string
	slots              int
	versionsReportedAt time.Time // time at which the endpoint last reported its versions
	listedVersions     []string  // versions in the list, in order
	listChangedAt      time.Time // time of the last change of listedVersions
	nextVersionsCheck  time.Time // time from which a probe may settle whether that change is newer than the endpoint's report
	reportedAt         time.Time
	// deniedVersions maps versions that answers contradicted to the time until which they are denied.
	deniedVersions map[string]time.Time

	evacuated       bool // its availability zone is evacuated
	leavingByList   bool
	leavingByReport bool
	// nextLeavingCheck is when an endpoint that only its own answers call leaving is probed next.
	nextLeavingCheck time.Time
	missingSince     time.Time // time at which it disappeared from the list; zero if it is listed
	answeredAt       time.Time

	health
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{
		settings: s, byHandle: map[Handle]*entry{}, cacheHints: newCacheHints(s.CacheHints),
		zoneMeans: map[string]*atomic.Uint64{},
	}
}

// View returns the current snapshot. It is rebuilt only after an event that changed its contents.
func (t *Table) View() *View {
	if t.view == nil {
		t.view = t.buildView()
	}
	return t.view
}

// Apply applies an event and returns the probes that the caller must send. The slice is valid until the next Apply.
func (t *Table) Apply(now time.Time, ev Event) []ProbeRequest {
	t.probes = t.probes[:0]
	t.now = now
	switch ev := ev.(type) {
	case InstancesListed:
		t.applyList(now, ev.Instances)
	case ZonesEvacuated:
		t.applyEvacuatedZones(ev.Zones)
	case FleetResized:
		t.settings.FleetSize = ev.FleetSize
	case Tick:
		t.applyTick(now)
	case ReportReceived:
		if e := t.byHandle[ev.Endpoint]; e != nil {
			t.applyReport(now, e, ev.Report)
		}
	case RequestAnswered:
		if e := t.byHandle[ev.Endpoint]; e != nil {
			t.applyAnswered(now, e, ev)
		}
	case RequestFailed:
		if e := t.byHandle[ev.Endpoint]; e != nil {
			t.applyFailed(now, e, ev)
		}
	case ProbeFinished:
		if e := t.byHandle[ev.Endpoint]; e != nil {
			t.applyProbed(now, e, ev)
		}
	case PrefixCacheChanged:
		if t.byHandle[ev.Endpoint] != nil {
			t.applyCacheEvent(ev)
		}
	}
	return t.probes
}

// Handle returns the handle of the endpoint with the given identifier, or 0.
func (t *Table) Handle(id string) Handle {
	if i, ok := t.find(id); ok {
		return t.entries[i].handle
	}
	return 0
}

func (t *Table) find(id string) (int, bool) {
	return slices.BinarySearchFunc(t.entries, id, func(e *entry, id string) int { return cmp.Compare(e.id, id) })
}

func (t *Table) applyCacheEvent(ev PrefixCacheChanged) {
	if ev.Evicted {
		t.cacheHints.remove(ev.Prefix, ev.Endpoint)
		return
	}
	t.cacheHints.add(ev.Prefix, ev.Endpoint)
}

// applyList merges the platform's list into the table. An empty list is taken as a fault of the registry, not as the
// absence of all endpoints.
func (t *Table) applyList(now time.Time, instances []platform.Instance) {
	if len(instances) == 0 {
		return
	}
	seen := make(map[string]bool, len(instances))
	for _, instance := range instances {
		if instance.Role == platform.RoleEngine || instance.Role == platform.RoleService {
			seen[instance.ID] = true
			t.applyListedInstance(now, instance)
		}
	}
	for _, e := range t.entries {
		if !seen[e.id] && e.missingSince.IsZero() {
			e.missingSince = now
		}
	}
}

// applyListedInstance merges one listed instance. A new address, availability zone or role means another process, so
// everything known about the old one is discarded.
func (t *Table) applyListedInstance(now time.Time, instance platform.Instance) {
	i, ok := t.find(instance.ID)
	if ok {
		e := t.entries[i]
		if e.address != instance.Address || e.zone != instance.AvailabilityZone || e.service != instance.Service {
			t.remove(i)
			ok = false
		}
	}
	if !ok {
		t.entries = slices.Insert(t.entries, i, t.newEntry(instance))
	}
	e := t.entries[i]
	e.missingSince = time.Time{}
	if e.service == "" {
		t.applyListedVersions(now, e, instance.Versions)
	}
	e.leavingByList, e.evacuated = instance.Leaving, t.evacuatedZones[e.zone]
	t.updateGate(e)
}

// applyListedVersions sets the versions to the listed ones, unless the endpoint's own report takes precedence because the list may be
// out of date.
func (t *Table) applyListedVersions(now time.Time, e *entry, versions []string) {
	if !slices.Equal(e.listedVersions, versions) {
		if listed := sortedVersions(versions); !slices.Equal(e.listedVersions, listed) {
			e.listedVersions, e.listChangedAt = listed, now
		}
	}
	if now.Sub(e.versionsReportedAt) > t.settings.OwnReportLifetime {
		t.setVersions(e, versions)
	}
}

func (t *Table) newEntry(instance platform.Instance) *entry {
	t.lastHandle++
	e := &entry{
		details:  &details{id: instance.ID, zone: instance.AvailabilityZone, address: instance.Address},
		handle:   t.lastHandle,
		idHash:   hashString(instance.ID),
		counters: &counters{},
		service:  instance.Service,
	}
	e.counters.gate.Store(gateBlocked)
	t.byHandle[e.handle] = e
	return e
}

func (t *Table) remove(i int) {
	e := t.entries[i]
	e.counters.gate.Store(gateBlocked)
	delete(t.byHandle, e.handle)
	t.cacheHints.removeEndpoint(e.handle)
	t.entries = slices.Delete(t.entries, i, i+1)
	t.view = nil
}

func (t *Table) setVersions(e *entry, versions []string) {
	if slices.Equal(e.versions, versions) {
		return
	}
	sorted := sortedVersions(versions)
	if slices.Equal(e.versions, sorted) {
		return
	}
	e.versions = sorted
	t.view = nil
}

// sortedVersions returns a copy of versions in order and without duplicates.
func sortedVersions(versions []string) []string {
	out := slices.Clone(versions)
	slices.Sort(out)
	return slices.Compact(out)
}

// updateGate applies the entry's state to the gate, which old views read too, and to the current view.
func (t *Table) updateGate(e *entry) {
	gate := e.gate()
	e.counters.gate.Store(gate)
	if inView := gate != gateBlocked; e.inView != inView {
		e.inView = inView
		t.view = nil
	}
}

func (e *entry) gate() int64 {
	switch {
	case !e.acceptsWork():
		return gateBlocked
	case e.state == healthReturning:
		return e.requestGap
	default:
		return gateOpen
	}
}

// acceptsWork reports whether the endpoint may get new requests.
func (e *entry) acceptsWork() bool { return !e.evacuated && !e.leaving() && e.state != healthEjected }

// leaving reports whether the list or the endpoint itself says that it is leaving.
func (e *entry) leaving() bool { return e.leavingByList || e.leavingByReport }

func (e *entry) member(slots int) member {
	if e.slots > 0 {
		slots = e.slots
	}
	return member{
		idHash: e.idHash, counters: e.counters, slots: float64(max(1, slots)), handle: e.handle,
		details: e.details,
	}
}

// applyReport records an endpoint's report about itself. A report that is not newer than the last one is ignored.
func (t *Table) applyReport(now time.Time, e *entry, r Report) {
	if r.Time.IsZero() || !r.Time.After(e.reportedAt) {
		return
	}
	e.reportedAt = r.Time
	e.counters.setReportedLoad(r.Load, r.Time)
	e.counters.setReportedWait(r)
	if r.Slots != 0 && r.Slots != e.slots {
		e.slots, t.view = r.Slots, nil
	}
	if r.Versions != nil && e.service == "" {
		e.versionsReportedAt = r.Time
		t.setVersions(e, e.withoutDenied(now, r.Versions))
	}
	t.setAdapters(e, r.Adapters)
	e.leavingByReport = r.Leaving
	t.updateGate(e)
}

// withoutDenied returns the reported versions without those that the endpoint's answers contradicted recently.
func (e *entry) withoutDenied(now time.Time, versions []string) []string {
	return slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return now.Before(e.deniedVersions[v]) })
}

func (t *Table) setAdapters(e *entry, adapters []string) {
	if len(adapters) == len(e.adapters) {
		same := true
		for i, a := range adapters {
			same = same && e.adapters[i] == HashAdapter(a)
		}
		if same {
			return
		}
	}
	updated := *e.details
	updated.adapters = make([]uint64, len(adapters))
	for i, a := range adapters {
		updated.adapters[i] = HashAdapter(a)
	}
	e.details = &updated
	t.view = nil
}
