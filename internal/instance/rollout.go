package instance

import (
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

// open returns the candidates that may run new work.
func (v *closedVersions) open(l []cascade.Candidate) []cascade.Candidate {
	if len(v.stopped)+len(v.waiting) == 0 {
		return l
	}
	out := make([]cascade.Candidate, 0, len(l))
	for _, c := range l {
		if !v.stopped[c.Version] && !v.waiting[c.Version] {
			out = append(out, c)
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
