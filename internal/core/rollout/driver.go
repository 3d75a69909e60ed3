package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Event is an input of the driver, one of CatalogChanged, SampleObserved, PeerReported, LeaseChanged and Tick.
type Event interface{ event() }

// CatalogChanged holds the catalog in force.
type CatalogChanged struct{ Catalog *config.Catalog }

// SampleObserved holds an outcome of a version. The driver sets Sample.Canary itself.
type SampleObserved struct {
	Version string
	Sample  Sample
}

// PeerReported holds the trials of another instance. The name of the instance must change with each restart, because its
// counts start anew.
type PeerReported struct {
	Peer    string
	Reports []TrialReport
}

// LeaseChanged states whether this instance holds the lease for roll-outs. Only the holder advances them.
type LeaseChanged struct{ Held bool }

// Tick lets the driver repeat actions that are due.
type Tick struct{}

func (CatalogChanged) event() {}
func (SampleObserved) event() {}
func (PeerReported) event()   {}
func (LeaseChanged) event()   {}
func (Tick) event()           {}

// Action is a change to append to the config stream. The catalog refuses it if another change of the version came
// first.
type Action struct{ Change record.Change }

// TrialReport is the state of a trial as sent to peers.
type TrialReport struct {
	Version string `json:"version"`
	Epoch   uint64 `json:"epoch"` // revision at which the roll-out was started or resumed
	State   State  `json:"state"`
}

// activeRollOut is the roll-out of one version since an operator started or resumed it.
type activeRollOut struct {
	epoch       uint64
	current     string // version that the new one is compared with
	trial       *Trial
	requested   record.Change // last change returned as an action
	requestedAt time.Time
}

// Driver derives actions from the catalog and the trials. It keeps no state that another instance needs to take over.
type Driver struct {
	settings Settings
	catalog  *config.Catalog
	held     bool                      // this instance holds the lease for roll-outs
	rollOuts map[string]*activeRollOut // by new version
	canaries map[string][]string       // by current version: the new versions compared with it
}

// NewDriver returns a driver without a catalog.
func NewDriver(s Settings) *Driver {
	return &Driver{settings: s.withDefaults(), catalog: config.NewCatalog(), rollOuts: map[string]*activeRollOut{}, canaries: map[string][]string{}}
}

// Step processes an event and returns the changes to append now.
// It returns an action that the catalog does not show yet again after Settings.RepeatAfter.
func (d *Driver) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case CatalogChanged:
		if e.Catalog.Next < d.catalog.Next {
			return nil // an older catalog does not replace a newer one
		}
		d.catalog = e.Catalog
		d.updateRollOuts()
	case SampleObserved:
		return d.addSample(now, e)
	case PeerReported:
		d.mergePeer(e)
	case LeaseChanged:
		d.held = e.Held
	}
	return d.dueActions(now, slices.Sorted(maps.Keys(d.rollOuts)))
}

// updateRollOuts starts, keeps and removes roll-outs and their trials according to the catalog.
func (d *Driver) updateRollOuts() {
	clear(d.canaries)
	for _, n := range slices.Sorted(maps.Keys(d.catalog.Versions)) {
		v := d.catalog.Versions[n]
		if v.State == config.StateActive || !v.Runnable() {
			delete(d.rollOuts, n)
			continue
		}
		epoch := d.epoch(n)
		r := d.rollOuts[n]
		if r == nil || r.epoch != epoch {
			r = &activeRollOut{epoch: epoch, trial: NewTrial(d.settings)}
			d.rollOuts[n] = r
		}
		r.trial.startStage(v.Stage)
		if r.current = d.current(n); r.current != "" {
			d.canaries[r.current] = append(d.canaries[r.current], n)
		}
	}
}

// epoch returns the revision at which an operator last started or resumed a roll-out.
// Evidence from before a resume does not count, because the operator has seen it and decided to continue.
func (d *Driver) epoch(version string) uint64 {
	history := d.catalog.History[config.ObjectKey(record.VersionRollOut, version)]
	paused := false // a resume after a pause without a halt continues the same trial
	epoch := uint64(0)
	for _, r := range history {
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
	newest := ""
	for n, v := range d.catalog.Versions {
		if v.State != config.StateActive || config.ModelName(n) != config.ModelName(version) || n == version {
			continue
		}
		if newest == "" || v.Activated > d.catalog.Versions[newest].Activated {
			newest = n
		}
	}
	return newest
}

// addSample counts an outcome in the trials that its version takes part in and returns their due actions.
func (d *Driver) addSample(now time.Time, e SampleObserved) []Action {
	e.Sample.Canary = false
	for _, n := range d.canaries[e.Version] {
		d.observe(now, n, e.Sample)
	}
	if d.rollOuts[e.Version] != nil {
		e.Sample.Canary = true
		d.observe(now, e.Version, e.Sample)
		return d.dueActions(now, []string{e.Version})
	}
	return d.dueActions(now, d.canaries[e.Version])
}

// observe counts a sample in the trial of a new version.
func (d *Driver) observe(now time.Time, version string, o Sample) {
	d.rollOuts[version].trial.Observe(now, d.minSamples(version), o)
}

// minSamples returns the number of samples that the current stage of a version needs to pass.
func (d *Driver) minSamples(version string) int {
	v := d.catalog.Versions[version]
	return v.Stages[v.Stage].MinSamples
}

// mergePeer merges a peer's trials into the trials of the same roll-outs.
func (d *Driver) mergePeer(e PeerReported) {
	for _, r := range e.Reports {
		if o := d.rollOuts[r.Version]; o != nil && o.epoch == r.Epoch {
			o.trial.Merge(e.Peer, r.State)
		}
	}
}

// dueActions returns the actions that follow from the trials of the given versions, except those requested recently.
func (d *Driver) dueActions(now time.Time, versions []string) []Action {
	var actions []Action
	for _, n := range versions {
		r := d.rollOuts[n]
		ch, ok := d.nextChange(n, r)
		if !ok || (ch.ID == r.requested.ID && now.Sub(r.requestedAt) < d.settings.RepeatAfter) {
			continue
		}
		r.requested, r.requestedAt = ch, now
		actions = append(actions, Action{ch})
	}
	return actions
}

// nextChange derives the next change of a version from its state and its trial.
// Every instance gives the same change of the same revision the same id.
func (d *Driver) nextChange(version string, r *activeRollOut) (record.Change, bool) {
	v := d.catalog.Versions[version]
	switch r.trial.Verdict(d.minSamples(version)) {
	case Stop:
		return record.Change{
			ID: fmt.Sprintf("halt/%s/%d", version, v.Revision), Kind: record.VersionHalt, Name: version, Base: v.Revision,
			Reason: fmt.Sprintf("%s are worse than those of %s", r.trial.StoppedBy(), r.current),
		}, true
	case Pass:
		if !d.held || v.State != config.StateRollingOut {
			return record.Change{}, false
		}
		pooled := r.trial.poolStates()
		return record.Change{
			ID: fmt.Sprintf("advance/%s/%d", version, v.Revision), Kind: record.VersionAdvance, Name: version, Base: v.Revision,
			Stage: v.Stage + 1, Reason: fmt.Sprintf("%d ratings and %d calls compared with %s", pooled.Ratings, pooled.Calls, r.current),
		}, true
	}
	return record.Change{}, false
}

// Stopped reports whether the trial on this instance stopped a version, even if the log has not accepted the halt yet.
func (d *Driver) Stopped(version string) bool {
	r := d.rollOuts[version]
	return r != nil && r.trial.StoppedBy() != ""
}

// AcceptsNewWork reports whether a version may run new work outside of its existing sessions. A version in roll-out may
// not while it is stopped or too many of its answers are unrated.
func (d *Driver) AcceptsNewWork(version string) bool {
	r := d.rollOuts[version]
	return r == nil || r.trial.AcceptsRequests()
}

// Reports returns the states of the trials to send to peers.
func (d *Driver) Reports() []TrialReport {
	reports := make([]TrialReport, 0, len(d.rollOuts))
	for _, n := range slices.Sorted(maps.Keys(d.rollOuts)) {
		r := d.rollOuts[n]
		reports = append(reports, TrialReport{Version: n, Epoch: r.epoch, State: r.trial.State()})
	}
	return reports
}
