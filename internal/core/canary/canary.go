package canary

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
)

// Settings shape a roll-out; times are parts of the duration that the operator ordered.
type Settings struct {
	// Begin is when the new version gets its first requests. Sessions move between instances, so one that has begun on
	// the old version can't be told from a new one; it may change its version in the second half of a roll-out only.
	Begin    float64
	Share    float64 // of the requests, from Begin until all move
	Early    float64 // when all requests may go to the new version at the earliest, as where they are few
	Full     float64 // when they may at a steady rate
	Complete float64 // when the roll-out is completed
	Exposure float64 // largest part of all requests that the new version may have had at the end, if it turns out to be bad
	Slack    float64 // requests of this instance that it may have had beyond that part
}

// Parts of the exposure that the phases of a roll-out take.
const (
	exposureMargin = 0.8 // of the bound; the rest covers instances that know the start or the rate less well
	canaryShare    = 0.5
	fullShare      = 0.45
	slackShare     = 0.6
	// drainShare is the part of the time after Full in which requests on the old version end; streams that last longer go
	// on at the new one. The rest is for the write of the state, and for the operator who reads it about every half second.
	drainShare = 0.25
)

// DefaultSettings returns an instance's settings; exposure is the largest share that a bad version may get of all
// requests of a roll-out, and slack what it may get beyond. A version may fail only under the load of all requests, or late, and nothing tells it from a
// good one before: so all requests move to it shortly before the deadline, and the bound holds without any failure seen.
func DefaultSettings(exposure, slack float64) Settings {
	full := 1 - fullShare*exposure
	return Settings{
		Begin: 0.53, Early: 0.72, Share: exposure * canaryShare, Full: full,
		Complete: full + drainShare*(1-full), Exposure: exposure, Slack: slack,
	}
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
	Exact     bool // this instance saw the order when it was given
}

// Rollout is the state of one service; it is not safe for concurrent use.
type Rollout struct {
	settings Settings
	current  string // version that was in use before any order; empty until endpoints are known
	order    *Order
	state    directory.RolloutState
	reason   string
	fresh    *evidence
	traffic  traffic // since the order
	share    float64 // of the requests from Begin until all move; 0 before
	full     bool    // all requests go to the new version
	fullAt   float64 // when that began
}

// New returns the state of a service without a roll-out.
func New(s Settings) *Rollout {
	return &Rollout{settings: s}
}

// Order starts a roll-out; a repeated order changes nothing. Exact tells whether the order has just been given.
func (r *Rollout) Order(now time.Time, o directory.RolloutOrder, exact bool) bool {
	if r.order != nil && r.order.Target == o.Target && r.order.Duration == o.Duration {
		return false
	}
	if r.state == directory.RolloutCompleted && r.order != nil {
		r.current = r.order.Target
	}
	r.order = &Order{Target: o.Target, Duration: o.Duration, Started: now, Exact: exact}
	if exact {
		r.order.Started = now.Add(-orderLag)
	}
	r.state, r.reason, r.fresh = directory.RolloutRunning, "ordered", newEvidence()
	r.traffic, r.share, r.full = traffic{since: now}, 0, false
	return true
}

// orderLag is about what an order takes through the store and another instance to this one.
const orderLag = 200 * time.Millisecond

// Began corrects the start of a roll-out to one that another instance saw earlier, unless this one saw the order: the
// times of day of two instances may be seconds apart.
func (r *Rollout) Began(now time.Time, elapsed time.Duration) {
	if r.order == nil {
		return
	}
	r.order.Settled = true
	if r.order.Exact {
		return
	}
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
	p := r.progress(now)
	if p < s.Begin {
		return 0
	}
	if r.share == 0 {
		// A service with few requests needs a larger part of them to show a failure, and the slack allows it.
		r.share = min(maxShare, s.Share+slackShare*s.Slack/(r.traffic.mean(now)*(1-s.Begin)*r.order.Duration.Seconds()))
	}
	if r.moves(p, now) {
		return 1
	}
	return r.share
}

// maxShare is the largest share until all requests move.
const maxShare = 0.6

// moves reports whether all requests go to the new version from now on: not before the exposure allows that at the
// present rate, and in any case before the roll-out is completed.
func (r *Rollout) moves(p float64, now time.Time) bool {
	s := r.settings
	if !r.full && p >= s.Early {
		left := r.traffic.rate(now) / r.traffic.mean(now) * (1 - p) / p // of the requests until now
		if p < s.Full {
			left *= burst
		}
		bound := exposureMargin * (s.Exposure*(1+left) + s.Slack/float64(max(1, r.traffic.all)))
		r.full = p >= 1-lastMove*(1-s.Full) || r.traffic.share()+left <= bound
		r.fullAt = p
	}
	return r.full
}

// burst is the factor by which the rate may rise after a move before Full.
const burst = 2

// lastMove is the part of the time after Full in which all requests move in any case, so that the roll-out is completed.
const lastMove = 0.25

func (r *Rollout) progress(now time.Time) float64 {
	return float64(now.Sub(r.order.Started)) / float64(r.order.Duration)
}

// Pick returns the version for a request; u is its place in [0, 1), the same for all requests of a session, so that a
// session that has moved to the new version stays there as the share grows. The version is empty while no endpoint is
// known.
func (r *Rollout) Pick(now time.Time, u float64) string {
	v := r.pick(now, u)
	if r.order != nil {
		r.traffic.add(now, v == r.order.Target)
	}
	return v
}

func (r *Rollout) pick(now time.Time, u float64) string {
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
func (r *Rollout) Outcome(now time.Time, version, route string, failed bool) bool {
	if r.order == nil || r.state != directory.RolloutRunning {
		return false
	}
	if version != r.order.Target {
		r.fresh.old.add(failed)
		return false
	}
	r.fresh.watch(now, false, failed, route)
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

// Streamed records the mean time between the events of a stream that has ended; kind tells which streams are alike.
func (r *Rollout) Streamed(now time.Time, version, kind string, gap time.Duration) bool {
	if r.order == nil || r.state != directory.RolloutRunning {
		return false
	}
	return r.stop(r.fresh.gap(now, kind, version == r.order.Target, float64(gap)/float64(time.Millisecond)))
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
	if r.state == directory.RolloutRunning && r.order.Confirmed && r.done(now) {
		return directory.RolloutCompleted, true
	}
	return r.state, true
}

// done reports whether the roll-out is to be completed: not before the requests have moved for a while.
func (r *Rollout) done(now time.Time) bool {
	p, s := r.progress(now), r.settings
	if p < s.Complete {
		return false
	}
	if !r.moves(p, now) {
		return false
	}
	return p >= r.fullAt+(s.Complete-s.Full)/2
}

// Spread is the time over which instances that reach a state at the same time write it; the first one wins, and the
// others read its record. It leaves time until the deadline after Complete.
func (r *Rollout) Spread() time.Duration {
	if r.order == nil {
		return 0
	}
	left := time.Duration((1 - r.settings.Complete) * float64(r.order.Duration))
	return min(maxSpread, left/4)
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
