package canary

import (
	"math"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
)

// Settings shape a roll-out; times are parts of the duration that the operator ordered.
type Settings struct {
	// Begin is when the new version gets its first requests. Sessions move between instances, so one that has begun on
	// the old version can't be told from a new one; it may change its version in the second half of a roll-out only.
	Begin    float64
	Share    float64 // of the requests, from Begin until Ramp
	Ramp     float64 // when the share begins to grow
	Full     float64 // when all requests go to the new version
	Complete float64 // when the roll-out is completed; requests on the old version have ended by then
}

// DefaultSettings returns an instance's settings; exposure is the largest share that a bad version may get of all
// requests of a roll-out.
func DefaultSettings(exposure float64) Settings {
	return Settings{Begin: 0.53, Share: exposure * 2 / 3, Ramp: 0.68, Full: 0.76, Complete: 0.9}
}

// Order is a roll-out as this instance knows it.
type Order struct {
	Target   string
	Duration time.Duration
	Started  time.Time
	Settled  bool // all instances count from the same start
	// Confirmed is set once the published state was read: a restarted instance must not send to a version that was
	// rolled back before.
	Confirmed bool
}

// Rollout is the state of one service; it is not safe for concurrent use.
type Rollout struct {
	settings Settings
	current  string // version that was in use before any order; empty until endpoints are known
	order    *Order
	state    directory.RolloutState
	reason   string
	fresh    *evidence
}

// New returns the state of a service without a roll-out.
func New(s Settings) *Rollout {
	return &Rollout{settings: s}
}

// Order starts a roll-out; a repeated order changes nothing.
func (r *Rollout) Order(now time.Time, o directory.RolloutOrder) bool {
	if r.order != nil && r.order.Target == o.Target && r.order.Duration == o.Duration {
		return false
	}
	if r.state == directory.RolloutCompleted && r.order != nil {
		r.current = r.order.Target
	}
	r.order = &Order{Target: o.Target, Duration: o.Duration, Started: now}
	r.state, r.reason, r.fresh = directory.RolloutRunning, "ordered", newEvidence()
	return true
}

// Began corrects the start of a roll-out to one that another instance saw earlier.
func (r *Rollout) Began(now time.Time, elapsed time.Duration) {
	if r.order == nil {
		return
	}
	r.order.Settled = true
	if t := now.Add(-min(elapsed, r.order.Duration)); t.Before(r.order.Started) {
		r.order.Started = t
	}
}

// Confirm records that the published states were read after the order.
func (r *Rollout) Confirm() {
	if r.order != nil {
		r.order.Confirmed = true
	}
}

// Published applies a state that was read from the store.
func (r *Rollout) Published(s directory.RolloutStatus) bool {
	if r.order == nil || s.Target != r.order.Target || s.State == directory.RolloutRunning || s.State == r.state {
		return false
	}
	r.state, r.reason = s.State, "published"
	return true
}

// Versions tells which versions the registered endpoints have.
func (r *Rollout) Versions(count map[string]int) {
	if r.order != nil && r.state == directory.RolloutCompleted && count[r.order.Target] > 0 {
		r.current = r.order.Target
	}
	if count[r.current] > 0 {
		return
	}
	best := ""
	for v, n := range count {
		if r.order != nil && v == r.order.Target && r.state != directory.RolloutCompleted {
			continue
		}
		if best == "" || n > count[best] || n == count[best] && v < best {
			best = v
		}
	}
	if best != "" {
		r.current = best
	}
}

// Share returns the part of the requests for the new version.
func (r *Rollout) Share(now time.Time) float64 {
	if r.order == nil {
		return 0
	}
	switch r.state {
	case directory.RolloutCompleted:
		return 1
	case directory.RolloutRolledBack:
		return 0
	}
	s := r.settings
	switch p := r.progress(now); {
	case p < s.Begin:
		return 0
	case p < s.Ramp:
		return s.Share
	case p < s.Full:
		// Doubling shows a version that fails under load while few requests are exposed to it.
		steps := math.Ceil(math.Log2(1 / s.Share))
		k := math.Floor((p-s.Ramp)/(s.Full-s.Ramp)*steps) + 1
		return min(1, s.Share*math.Exp2(k))
	default:
		return 1
	}
}

func (r *Rollout) progress(now time.Time) float64 {
	return float64(now.Sub(r.order.Started)) / float64(r.order.Duration)
}

// Pick returns the version for a request; u is its place in [0, 1), the same for all requests of a session, so that a
// session that has moved to the new version stays there as the share grows. The version is empty while no endpoint is
// known.
func (r *Rollout) Pick(now time.Time, u float64) string {
	switch {
	case r.order == nil || r.state == directory.RolloutRolledBack || !r.order.Confirmed:
		return r.current
	case r.state == directory.RolloutCompleted || u < r.Share(now):
		return r.order.Target
	}
	return r.current
}

// Other returns the version to use while the picked one has no endpoint, or "".
func (r *Rollout) Other(version string) string {
	switch {
	case r.order == nil || r.state != directory.RolloutRunning || !r.order.Confirmed:
		return ""
	case version == r.order.Target:
		return r.current
	}
	return ""
}

// Outcome records the end of an answer and reports whether the roll-out was stopped by it.
func (r *Rollout) Outcome(version, route string, failed bool) bool {
	if r.order == nil || r.state != directory.RolloutRunning {
		return false
	}
	if version != r.order.Target {
		r.fresh.old.add(failed)
		return false
	}
	return r.stop(r.fresh.add(route, failed))
}

// Answered records the time until the first byte of an answer, or until it was given up, over the expected one.
func (r *Rollout) Answered(version, route string, slowness float64) bool {
	if r.order == nil || r.state != directory.RolloutRunning {
		return false
	}
	if version != r.order.Target {
		r.fresh.old.start(slowness)
		return false
	}
	return r.stop(r.fresh.start(route, slowness))
}

func (r *Rollout) stop(why string) bool {
	if why == "" {
		return false
	}
	r.state, r.reason = directory.RolloutRolledBack, why
	return true
}

// Step returns the state to publish, if it is time for one.
func (r *Rollout) Step(now time.Time) (directory.RolloutState, bool) {
	if r.order == nil {
		return "", false
	}
	if r.state == directory.RolloutRunning && r.order.Confirmed && r.progress(now) >= r.settings.Complete {
		return directory.RolloutCompleted, true
	}
	return r.state, true
}

// Spread is the time over which instances that reach a state at the same time write it; the first one wins, and the
// others read its record. It leaves time until the deadline after Complete.
func (r *Rollout) Spread() time.Duration {
	if r.order == nil {
		return 0
	}
	return min(maxSpread, r.order.Duration/20)
}

// maxSpread is some times what a record takes through the store to all instances.
const maxSpread = time.Second

// Status describes the roll-out for logs.
func (r *Rollout) Status() (target string, state directory.RolloutState, reason string) {
	if r.order == nil {
		return "", "", ""
	}
	return r.order.Target, r.state, r.reason
}

// Started returns when the roll-out began.
func (r *Rollout) Started() time.Time {
	if r.order == nil {
		return time.Time{}
	}
	return r.order.Started
}

// Settled reports whether the start is the one that all instances know.
func (r *Rollout) Settled() bool { return r.order != nil && r.order.Settled }

// Running reports whether a roll-out is under way.
func (r *Rollout) Running() bool { return r.order != nil && r.state == directory.RolloutRunning }
