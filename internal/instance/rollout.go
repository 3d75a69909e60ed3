package instance

import (
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/core/rollout"
)

// closedVersions are the versions under roll-out that this instance keeps from new work before the log does.
type closedVersions struct {
	stopped map[string]bool // the trial stopped them
	waiting map[string]bool // too many of their answers wait for a rating; sessions go on
	reports []rollout.Report
}

// open reports whether a version may run new work outside the sessions that it has.
func (v *closedVersions) open(version string) bool { return !v.stopped[version] && !v.waiting[version] }

// Candidates returns the versions that a profile allows now and that some endpoint serves. Without the safe version
// no plan could be trusted, so then the request rather waits for an endpoint.
func (c *control) Candidates(name string) []cascade.Candidate {
	all, closed, view := (*c.candidates.Load())[name], c.closed.Load(), c.endpoints.Load()
	usable := func(d cascade.Candidate) bool { return closed.open(d.Version) && view.Size(d.Version) > 0 }
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

// judge gives an event to the roll-outs' driver and appends the changes that it asks for.
func (c *control) judge(now time.Time, e rollout.Event) {
	for _, a := range c.driver.Step(now, e) {
		c.scope.Tagged(map[string]string{"kind": string(a.Change.Kind)}).Counter("roll-out-changes").Inc(1)
		c.publish(a.Change)
	}
	v := &closedVersions{reports: c.driver.Reports()}
	for _, r := range v.reports {
		switch n := r.Version; {
		case c.driver.Stopped(n):
			v.stopped = add(v.stopped, n)
		case !c.driver.Open(n):
			v.waiting = add(v.waiting, n)
		}
	}
	c.closed.Store(v)
}

func add(m map[string]bool, name string) map[string]bool {
	if m == nil {
		m = map[string]bool{}
	}
	m[name] = true
	return m
}

// trials returns the states of the trials for peers.
func (c *control) trials() []rollout.Report { return c.closed.Load().reports }

// Runs reports whether this instance sends work to a version.
func (c *control) Runs(version string) bool { return !c.closed.Load().stopped[version] }

// sampleOf returns what an outcome tells a trial.
func sampleOf(o cascade.Outcome) rollout.Sample {
	return rollout.Sample{
		Class: o.Class, Later: o.After != "", Rated: o.Rated, Short: o.Score < o.MinScore,
		Done: o.Done, Latency: o.Latency, Failed: o.Failed,
	}
}
