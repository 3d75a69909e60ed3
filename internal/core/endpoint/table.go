package endpoint

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// state is where an endpoint is in its health.
type state int

const (
	stateLive state = iota
	stateOut
	stateReturning
)

// Table holds what one instance knows of all endpoints; the control goroutine owns it.
type Table struct {
	settings Settings
	order    []*entry // by identifier
	handles  map[Handle]*entry
	last     Handle
	hints    *hints
	means    map[string]*atomic.Uint64 // reported load by pool and zone, float64 bits
	now      time.Time                 // of the last event
	view     *View                     // nil when an event made it out of date
	actions  []Action
}

// entry is one endpoint.
type entry struct {
	*info
	handle  Handle
	seed    uint64
	count   *counter
	service string

	versions   []string
	slots      int
	statedAt   time.Time // of the endpoint's own versions
	reportedAt time.Time
	denied     map[string]time.Time // versions that answers contradicted, with the end of the denial

	listLeaving  bool
	ownLeaving   bool
	leavingCheck time.Time // next probe of an endpoint that only its own answers call leaving
	missing      time.Time // since when it is off the list; zero if it is on it
	answered     time.Time

	health
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{settings: s, handles: map[Handle]*entry{}, hints: newHints(s.Hints), means: map[string]*atomic.Uint64{}}
}

// View returns the current snapshot; it is built again only after an event changed an endpoint's place in it.
func (t *Table) View() *View {
	if t.view == nil {
		t.view = t.build()
	}
	return t.view
}

// Step folds an event and returns the probes that the edge has to make. The slice is valid until the next Step.
func (t *Table) Step(now time.Time, ev Event) []Action {
	t.actions = t.actions[:0]
	t.now = now
	switch ev := ev.(type) {
	case Listed:
		t.list(now, ev.Instances)
	case Resized:
		t.settings.Fleet = ev.Fleet
	case Tick:
		t.tick(now)
	case Answered:
		if e := t.handles[ev.Endpoint]; e != nil {
			t.answer(now, e, ev)
		}
	case Failed:
		if e := t.handles[ev.Endpoint]; e != nil {
			t.fail(now, e, ev)
		}
	case Probed:
		if e := t.handles[ev.Endpoint]; e != nil {
			t.probed(now, e, ev)
		}
	case CacheEvent:
		if t.handles[ev.Endpoint] != nil {
			t.cache(ev)
		}
	}
	return t.actions
}

// Handle returns the handle of the endpoint with an identifier, or 0.
func (t *Table) Handle(id string) Handle {
	if i, ok := t.find(id); ok {
		return t.order[i].handle
	}
	return 0
}

func (t *Table) find(id string) (int, bool) {
	return slices.BinarySearchFunc(t.order, id, func(e *entry, id string) int { return cmp.Compare(e.id, id) })
}

func (t *Table) cache(ev CacheEvent) {
	if ev.Evicted {
		t.hints.remove(ev.Prefix, ev.Endpoint)
		return
	}
	t.hints.add(ev.Prefix, ev.Endpoint)
}

// list takes over the platform's list. An empty list is a fault of the list service, not the end of all endpoints.
func (t *Table) list(now time.Time, l []platform.Instance) {
	if len(l) == 0 {
		return
	}
	seen := make(map[string]bool, len(l))
	for _, i := range l {
		if i.Role == platform.RoleEngine || i.Role == platform.RoleService {
			seen[i.ID] = true
			t.listed(now, i)
		}
	}
	for _, e := range t.order {
		if !seen[e.id] && e.missing.IsZero() {
			e.missing = now
		}
	}
}

// listed takes over one entry of the list. A new address, zone or role means another process: what was learned
// about the old one does not hold for it.
func (t *Table) listed(now time.Time, i platform.Instance) {
	n, ok := t.find(i.ID)
	if ok {
		e := t.order[n]
		if e.address != i.Address || e.zone != i.Zone || e.service != i.Service {
			t.drop(n)
			ok = false
		}
	}
	if !ok {
		t.order = slices.Insert(t.order, n, t.newEntry(i))
	}
	e := t.order[n]
	e.missing = time.Time{}
	if e.service == "" && now.Sub(e.statedAt) > t.settings.OwnReport {
		t.setVersions(e, i.Versions)
	}
	e.listLeaving = i.Leaving
	t.place(e)
}

func (t *Table) newEntry(i platform.Instance) *entry {
	t.last++
	e := &entry{
		info:    &info{id: i.ID, zone: i.Zone, address: i.Address},
		handle:  t.last,
		seed:    hashText(i.ID),
		count:   &counter{},
		service: i.Service,
	}
	e.count.gate.Store(gateBarred)
	t.handles[e.handle] = e
	return e
}

func (t *Table) drop(n int) {
	e := t.order[n]
	e.count.gate.Store(gateBarred)
	delete(t.handles, e.handle)
	t.hints.forget(e.handle)
	t.order = slices.Delete(t.order, n, n+1)
	t.view = nil
}

func (t *Table) setVersions(e *entry, l []string) {
	if slices.Equal(e.versions, l) {
		return
	}
	e.versions = slices.Clone(l)
	slices.Sort(e.versions)
	e.versions = slices.Compact(e.versions)
	t.view = nil
}

// place brings the gate that old views obey, and the current view, in line with the entry.
func (t *Table) place(e *entry) {
	gate := e.gate()
	e.count.gate.Store(gate)
	if in := gate != gateBarred; e.placed != in {
		e.placed = in
		t.view = nil
	}
}

func (e *entry) gate() int64 {
	switch {
	case !e.takes():
		return gateBarred
	case e.state == stateReturning:
		return e.gap
	default:
		return gateOpen
	}
}

// takes reports whether the endpoint may get new work.
func (e *entry) takes() bool { return !e.leaving() && e.state != stateOut }

// leaving reports whether the list or the endpoint itself says that it leaves.
func (e *entry) leaving() bool { return e.listLeaving || e.ownLeaving }

func (e *entry) member(slots int) member {
	if e.slots > 0 {
		slots = e.slots
	}
	return member{
		seed: e.seed, count: e.count, slots: float64(max(1, slots)), handle: e.handle,
		info: e.info,
	}
}

// report takes over what an endpoint says about itself. An older report than the last one changes nothing.
func (t *Table) report(now time.Time, e *entry, r Report) {
	if r.Time.IsZero() || !r.Time.After(e.reportedAt) {
		return
	}
	e.reportedAt = r.Time
	e.count.setReport(r.Load, r.Time)
	e.count.setWait(r)
	if r.Slots != 0 && r.Slots != e.slots {
		e.slots, t.view = r.Slots, nil
	}
	if r.Versions != nil && e.service == "" {
		e.statedAt = now
		t.setVersions(e, e.allowed(now, r.Versions))
	}
	t.setAdapters(e, r.Adapters)
	e.ownLeaving = r.Leaving
	t.place(e)
}

// allowed returns the stated versions without those that the endpoint's answers contradicted of late.
func (e *entry) allowed(now time.Time, l []string) []string {
	return slices.DeleteFunc(slices.Clone(l), func(v string) bool { return now.Before(e.denied[v]) })
}

func (t *Table) setAdapters(e *entry, l []string) {
	if len(l) == len(e.adapters) {
		same := true
		for i, a := range l {
			same = same && e.adapters[i] == HashAdapter(a)
		}
		if same {
			return
		}
	}
	n := *e.info
	n.adapters = make([]uint64, len(l))
	for i, a := range l {
		n.adapters[i] = HashAdapter(a)
	}
	e.info = &n
	t.view = nil
}
