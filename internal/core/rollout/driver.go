package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Event is an input of the driver: CatalogChanged, SampleSeen, PeerSeen, LeaseChanged or Tick.
type Event interface{ event() }

// CatalogChanged carries the catalog in force.
type CatalogChanged struct{ Catalog *profile.Catalog }

// SampleSeen carries an outcome of a version; the driver tells new and current versions apart.
type SampleSeen struct {
	Version string
	Sample  Sample
}

// PeerSeen carries the trials of another instance; its name must be another one after each restart.
type PeerSeen struct {
	Peer    string
	Reports []Report
}

// LeaseChanged tells whether this instance holds the lease of roll-outs; only the holder advances them.
type LeaseChanged struct{ Held bool }

// Tick lets time pass.
type Tick struct{}

func (CatalogChanged) event() {}
func (SampleSeen) event()     {}
func (PeerSeen) event()       {}
func (LeaseChanged) event()   {}
func (Tick) event()           {}

// Action is a change to append to the config stream; the fold refuses it if another one came first.
type Action struct{ Change record.Change }

// Report is the state of a trial for the peers.
type Report struct {
	Version string `json:"version"`
	Epoch   uint64 `json:"epoch"` // revision at which the roll-out was started or resumed
	State   State  `json:"state"`
}

// rolling is the roll-out of one version since an operator started or resumed it.
type rolling struct {
	epoch   uint64
	current string // version that it is compared with
	trial   *Trial
	asked   record.Change
	askedAt time.Time
}

// Driver turns the catalog and the trials into actions; it keeps no state that another instance needs.
type Driver struct {
	settings Settings
	catalog  *profile.Catalog
	held     bool
	rolling  map[string]*rolling
	control  map[string][]string // current version to the new versions compared with it
}

// NewDriver returns a driver without a catalog.
func NewDriver(s Settings) *Driver {
	return &Driver{settings: s.filled(), catalog: profile.New(), rolling: map[string]*rolling{}, control: map[string][]string{}}
}

// Step takes an event in and returns the changes to append now.
// An action that the catalog does not show yet is returned again after Settings.Repeat.
func (d *Driver) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case CatalogChanged:
		if e.Catalog.Next < d.catalog.Next {
			return nil // an older state never replaces a newer one
		}
		d.catalog = e.Catalog
		d.follow()
	case SampleSeen:
		return d.sample(now, e)
	case PeerSeen:
		d.merge(e)
	case LeaseChanged:
		d.held = e.Held
	}
	return d.act(now, slices.Sorted(maps.Keys(d.rolling)))
}

// follow starts, keeps and ends trials as the catalog says.
func (d *Driver) follow() {
	clear(d.control)
	for _, n := range slices.Sorted(maps.Keys(d.catalog.Versions)) {
		v := d.catalog.Versions[n]
		if v.State == profile.StateActive || !v.Runnable() {
			delete(d.rolling, n)
			continue
		}
		epoch := d.epoch(n)
		r := d.rolling[n]
		if r == nil || r.epoch != epoch {
			r = &rolling{epoch: epoch, trial: NewTrial(d.settings)}
			d.rolling[n] = r
		}
		r.trial.enter(v.Stage)
		if r.current = d.current(n); r.current != "" {
			d.control[r.current] = append(d.control[r.current], n)
		}
	}
}

// epoch returns the revision at which an operator last started or resumed a roll-out.
// Evidence from before a resume does not count: the operator has judged it.
func (d *Driver) epoch(version string) uint64 {
	h := d.catalog.History[profile.Object(record.VersionRollOut, version)]
	paused := false // a resume after a mere pause continues the same trial
	epoch := uint64(0)
	for _, r := range h {
		switch r.Kind {
		case record.VersionPause:
			paused = true
		case record.VersionHalt:
			paused = false
		case record.VersionRollOut:
			epoch, paused = r.Revision, false
		case record.VersionResume:
			if !paused {
				epoch = r.Revision
			}
			paused = false
		}
	}
	return epoch
}

// current returns the newest active version of the same model, or "".
func (d *Driver) current(version string) string {
	best := ""
	for n, v := range d.catalog.Versions {
		if v.State != profile.StateActive || profile.Model(n) != profile.Model(version) || n == version {
			continue
		}
		if best == "" || v.Activated > d.catalog.Versions[best].Activated {
			best = n
		}
	}
	return best
}

func (d *Driver) sample(now time.Time, e SampleSeen) []Action {
	e.Sample.Canary = false
	for _, n := range d.control[e.Version] {
		d.observe(now, n, e.Sample)
	}
	if d.rolling[e.Version] != nil {
		e.Sample.Canary = true
		d.observe(now, e.Version, e.Sample)
		return d.act(now, []string{e.Version})
	}
	return d.act(now, d.control[e.Version])
}

func (d *Driver) observe(now time.Time, version string, o Sample) {
	d.rolling[version].trial.Observe(now, d.minSamples(version), o)
}

func (d *Driver) minSamples(version string) int {
	v := d.catalog.Versions[version]
	return v.Stages[v.Stage].MinSamples
}

func (d *Driver) merge(e PeerSeen) {
	for _, r := range e.Reports {
		if o := d.rolling[r.Version]; o != nil && o.epoch == r.Epoch {
			o.trial.Merge(e.Peer, r.State)
		}
	}
}

// act returns the actions that the trials ask for and the log has not confirmed.
func (d *Driver) act(now time.Time, versions []string) []Action {
	var l []Action
	for _, n := range versions {
		r := d.rolling[n]
		ch, ok := d.wanted(n, r)
		if !ok || (ch.ID == r.asked.ID && now.Sub(r.askedAt) < d.settings.Repeat) {
			continue
		}
		r.asked, r.askedAt = ch, now
		l = append(l, Action{ch})
	}
	return l
}

// wanted derives the next change of a version from its state and its trial.
// The id is the same on every instance that asks for the same change of the same revision.
func (d *Driver) wanted(version string, r *rolling) (record.Change, bool) {
	v := d.catalog.Versions[version]
	switch r.trial.Verdict(d.minSamples(version)) {
	case Stop:
		return record.Change{
			ID: fmt.Sprintf("halt/%s/%d", version, v.Revision), Kind: record.VersionHalt, Name: version, Base: v.Revision,
			Reason: fmt.Sprintf("%s are worse than those of %s", r.trial.Stopped(), r.current),
		}, true
	case Pass:
		if !d.held || v.State != profile.StateRollingOut {
			return record.Change{}, false
		}
		sum := r.trial.total()
		return record.Change{
			ID: fmt.Sprintf("advance/%s/%d", version, v.Revision), Kind: record.VersionAdvance, Name: version, Base: v.Revision,
			Stage: v.Stage + 1, Reason: fmt.Sprintf("%d ratings and %d calls compared with %s", sum.Ratings, sum.Calls, r.current),
		}, true
	}
	return record.Change{}, false
}

// Stopped reports whether this instance stopped a version, also while the log has not accepted the halt.
func (d *Driver) Stopped(version string) bool {
	r := d.rolling[version]
	return r != nil && r.trial.Stopped() != ""
}

// Open reports whether a version may run new work outside the sessions that it has: a version under
// roll-out may not while it is stopped or too many of its answers wait for their rating.
func (d *Driver) Open(version string) bool {
	r := d.rolling[version]
	return r == nil || r.trial.Open()
}

// Reports returns the states of the trials for the peers.
func (d *Driver) Reports() []Report {
	l := make([]Report, 0, len(d.rolling))
	for _, n := range slices.Sorted(maps.Keys(d.rolling)) {
		r := d.rolling[n]
		l = append(l, Report{Version: n, Epoch: r.epoch, State: r.trial.State()})
	}
	return l
}
