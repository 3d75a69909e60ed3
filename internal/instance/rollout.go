package instance

import (
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/core/rollout"
)

// rollOutState lists the versions under roll-out to which this instance sends no new work. It takes effect before the
// corresponding change is in the log.
type rollOutState struct {
	stopped map[string]bool // versions that their trial stopped
	paused  map[string]bool // versions with too many answers that await a rating; their existing sessions continue
	reports []rollout.TrialReport
}

// acceptsNewWork reports whether a version may run new work outside its existing sessions.
func (s *rollOutState) acceptsNewWork(v string) bool { return !s.stopped[v] && !s.paused[v] }

// Candidates returns the versions that a profile allows now and that at least one endpoint serves. It always includes the
// safe version, because every plan needs it: the request waits if no endpoint serves it.
func (c *control) Candidates(profile string) []cascade.Candidate {
	all, state, view := (*c.candidates.Load())[profile], c.rollOuts.Load(), c.endpoints.Load()
	usable := func(d cascade.Candidate) bool {
		return state.acceptsNewWork(d.Version) && view.VersionSize(d.Version) > 0
	}
	if !slices.ContainsFunc(all, func(d cascade.Candidate) bool { return !usable(d) }) {
		return all
	}
	out := make([]cascade.Candidate, 0, len(all))
	for _, d := range all {
		if usable(d) || d.Safe {
			out = append(out, d)
		}
	}
	return out
}

// updateRollOuts passes an event to the roll-out driver and publishes the changes that it requests.
func (c *control) updateRollOuts(now time.Time, e rollout.Event) {
	for _, a := range c.driver.Step(now, e) {
		c.scope.Tagged(map[string]string{"kind": string(a.Change.Kind)}).Counter("roll-out-changes").Inc(1)
		c.publish(a.Change)
	}
	s := &rollOutState{reports: c.driver.Reports()}
	for _, r := range s.reports {
		switch n := r.Version; {
		case c.driver.Stopped(n):
			s.stopped = addName(s.stopped, n)
		case !c.driver.AcceptsNewWork(n):
			s.paused = addName(s.paused, n)
		}
	}
	c.rollOuts.Store(s)
}

// addName adds a name to a set that may be nil.
func addName(set map[string]bool, name string) map[string]bool {
	if set == nil {
		set = map[string]bool{}
	}
	set[name] = true
	return set
}

// trialReports returns the state of each trial, to be sent to peers.
func (c *control) trialReports() []rollout.TrialReport { return c.rollOuts.Load().reports }

// AcceptsVersion reports whether this instance may send work to a version. It returns false for a version that its
// trial stopped.
func (c *control) AcceptsVersion(version string) bool { return !c.rollOuts.Load().stopped[version] }

// newSample converts the outcome of an answer to a sample of a trial.
func newSample(o cascade.Outcome) rollout.Sample {
	return rollout.Sample{
		Class: o.Class, Escalated: o.Predecessor != "", Rated: o.Rated, BelowMinScore: o.Score < o.MinScore,
		Completed: o.Completed, Latency: o.Latency, Failed: o.Failed,
	}
}
