package canary

import (
	"maps"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// Settings configures a roll-out. All times are fractions of the duration in the operator's order.
type Settings struct {
	// CanaryStart is the time of the first requests to the new version. Sessions move between instances, so an instance
	// cannot tell a session that began on the old version from a new one. A session may change its version only in the
	// second half of a roll-out.
	CanaryStart   float64
	CanaryShare   float64 // share of requests for the new version from CanaryStart until all requests shift
	EarliestShift float64 // earliest time at which all requests may shift, for example if there are few of them
	SteadyShift   float64 // time at which all requests may shift if the request rate is steady
	Completion    float64 // time at which the roll-out is completed
	MaxExposure   float64 // largest share of all requests that a bad version may receive by the end
	ExposureSlack float64 // requests of all instances that a bad version may receive beyond MaxExposure
}

// Fractions of the exposure limit that are spent in each phase of a roll-out.
const (
	exposureMargin = 0.8  // of the limit; the rest covers instances with a less exact start time or request rate
	canaryExposure = 0.5  // of the limit, as CanaryShare
	shiftExposure  = 0.45 // of the limit, as the time after SteadyShift
	canarySlack    = 0.6  // of ExposureSlack, before all requests shift
	// drainFraction is the part of the time after SteadyShift in which requests on the old version end. Streams that
	// last longer continue on the new version. The rest of that time is for writing the state and for the operator, who
	// reads it about every half second.
	drainFraction = 0.25
)

// DefaultSettings returns the settings of an instance. A bad version may receive at most the share exposure of all
// requests of a roll-out, and slack more requests. A version may fail only late or under the load of all requests, and
// cannot be told from a good one before. So all requests shift to it shortly before the deadline, and the limit holds
// even if no failure is detected.
func DefaultSettings(exposure, slack float64) Settings {
	shift := 1 - shiftExposure*exposure
	return Settings{
		CanaryStart: 0.53, EarliestShift: 0.72, CanaryShare: exposure * canaryExposure, SteadyShift: shift,
		Completion: shift + drainFraction*(1-shift), MaxExposure: exposure, ExposureSlack: slack,
	}
}

// activeOrder is the operator's latest order and what this instance knows of it.
type activeOrder struct {
	service     string
	target      string
	duration    time.Duration
	startedAt   time.Time
	startAgreed bool // all instances use the same start time
	// stateRead is set once the published state has been read. Until then, a restarted instance must not send requests
	// to the new version, as it may have been rolled back.
	stateRead bool
	observed  bool // the order had just been given when this instance received it

	receivedAt     time.Time // when this instance received the order
	copiedStart    time.Time // start by the time of day that does not count yet; zero if there is none
	startConfirmed bool      // peers have told the start
}

// Rollout is the roll-out state of one service. It is not safe for concurrent use.
type Rollout struct {
	settings       Settings
	currentVersion string   // version in use before the order; empty until endpoints are known
	substitute     string   // version that gets the requests of currentVersion while all endpoints of the latter are evacuated
	endpoints      Versions // registered endpoints
	order          *activeOrder
	superseded     map[orderKey]time.Time // earlier orders and when a later one came
	state          routing.RolloutState
	statePublished bool                 // the store held the final state
	refused        routing.RolloutState // final state that only the store's copy says
	reason         string
	evidence       *evidence
	traffic        trafficStats       // since the order
	canaryShare    float64            // share of requests for the new version until all shift; 0 before CanaryStart
	routeShares    map[string]float64 // the same of routes that lack answers of the new version
	plannedAt      time.Time          // time of routeShares
	instances      int                // instances that share ExposureSlack; 0 if not known
	peerCounts     CountsByKey        // answers at all other instances
	rates          routeRates         // of failures of the old version
	shifted        bool               // all requests go to the new version
	shiftedAt      float64            // progress at which all requests shifted
	peerPaces      PacesByKey         // sums of all other instances
	peerPacesAt    time.Time          // when these were collected
	completed      completedVersion
}

// New returns the roll-out state of a service that has no order yet.
func New(s Settings) *Rollout {
	return &Rollout{settings: s, instances: 1}
}

// SetInstances sets the number of instances that share the exposure slack. It is 1 at first, and 0 if it isn't known; no slack
// is used then.
func (r *Rollout) SetInstances(n int) { r.instances = n }

// exposureSlack returns this instance's part of the exposure slack.
func (r *Rollout) exposureSlack() float64 {
	if r.instances == 0 {
		return 0
	}
	return r.settings.ExposureSlack / float64(r.instances)
}

// ApplyOrder starts a roll-out and reports whether the order is new; a repeated order changes nothing. The argument
// observed states whether the order has just been given.
func (r *Rollout) ApplyOrder(now time.Time, o routing.RolloutOrder, observed bool) bool {
	if r.order != nil && r.order.key() == keyOf(o) {
		return false
	}
	r.recordSuperseded(now)
	r.start(now, o, observed)
	return true
}

// start starts the roll-out of an order.
func (r *Rollout) start(now time.Time, o routing.RolloutOrder, observed bool) {
	delete(r.superseded, keyOf(o))
	if r.state == routing.RolloutCompleted && r.order != nil {
		r.currentVersion = r.order.target
	}
	r.order = &activeOrder{service: o.Service, target: o.Target, duration: o.Duration, startedAt: now, observed: observed, receivedAt: now}
	if observed {
		r.order.startedAt = now.Add(-orderDelay)
	}
	r.state, r.reason, r.evidence = routing.RolloutRunning, "ordered", newEvidence()
	r.statePublished, r.refused = false, ""
	r.traffic, r.canaryShare, r.routeShares, r.shifted, r.completed = trafficStats{since: now}, 0, nil, false, completedVersion{}
	r.rates = routeRates{}
	r.updateCurrentVersion()
}

// orderDelay is the approximate delay of an order on its way through the store and another instance to this one.
const orderDelay = 200 * time.Millisecond

// SetStateRead records that the published states have been read since the order was given.
func (r *Rollout) SetStateRead() {
	if r.order != nil {
		r.order.stateRead = true
	}
}

// ApplyPublished applies a state that was read from the store and reports whether it changed the roll-out. A roll-back that the
// store held is final, also if another instance has published something else since the store returned from a copy without it.
func (r *Rollout) ApplyPublished(s routing.RolloutStatus) bool {
	if !r.isFinal(s) || s.State == r.refused {
		return false
	}
	r.refused = ""
	if r.statePublished && r.state == routing.RolloutRolledBack {
		return false
	}
	r.statePublished = true
	if s.State == r.state {
		return false
	}
	r.state, r.reason = s.State, "published"
	return true
}

// VersionEndpoints describes the registered endpoints of one version. Those in evacuated availability zones count only as
// Evacuated.
type VersionEndpoints struct {
	Count       int
	Evacuated   int
	OldestStart time.Time // start of the one that has run for longest; zero if no start is known
}

// Versions holds the registered endpoints of each version.
type Versions map[string]VersionEndpoints

// UpdateVersions sets the registered endpoints of each version.
func (r *Rollout) UpdateVersions(endpoints Versions) {
	r.endpoints = endpoints
	r.updateCurrentVersion()
}

// updateCurrentVersion derives the version in use from the order and the registered endpoints. These are read from the store
// separately, so a starting instance may know the endpoints first and count the target of the order as the version in use.
func (r *Rollout) updateCurrentVersion() {
	excluded := "" // the target, until it has replaced the version in use
	if r.order != nil {
		if r.state != routing.RolloutCompleted {
			excluded = r.order.target
		} else if r.endpoints[r.order.target].total() > 0 {
			r.currentVersion = r.order.target
		}
	}
	defer r.updateSubstitute(excluded)
	if r.endpoints[r.currentVersion].total() > 0 && r.currentVersion != excluded {
		return
	}
	best := ""
	for _, v := range slices.Sorted(maps.Keys(r.endpoints)) {
		if v != excluded && (best == "" || r.endpoints[v].precedes(r.endpoints[best])) {
			best = v
		}
	}
	if best != "" {
		r.currentVersion = best
	}
}

// precedes reports whether a version rather than another one was in use first: its oldest endpoint started earlier. If a start
// is not known, the one with more endpoints counts as the first.
func (v VersionEndpoints) precedes(other VersionEndpoints) bool {
	if v.OldestStart.IsZero() || other.OldestStart.IsZero() || v.OldestStart.Equal(other.OldestStart) {
		return v.total() > other.total()
	}
	return v.OldestStart.Before(other.OldestStart)
}

// TargetShare returns the share of requests that go to the new version, besides those of routes with a larger share.
func (r *Rollout) TargetShare(now time.Time) float64 {
	if r.order == nil {
		return 0
	}
	switch r.state {
	case routing.RolloutCompleted:
		return 1
	case routing.RolloutRolledBack:
		return 0
	}
	s := r.settings
	p := r.progress(now)
	if p < s.CanaryStart {
		return 0
	}
	if r.canaryShare == 0 || p < s.SteadyShift && !r.shifted && now.Sub(r.plannedAt) >= planInterval {
		r.planShares(now)
	}
	if r.updateShifted(p, now) {
		return 1
	}
	return r.canaryShare
}

// maxCanaryShare is the largest share of requests for the new version before all requests shift.
const maxCanaryShare = 0.6

// updateShifted decides whether all requests go to the new version from now on. They shift as soon as the exposure limit
// allows it at the current request rate and no route needs what it leaves, and in any case before the roll-out is completed.
func (r *Rollout) updateShifted(p float64, now time.Time) bool {
	s := r.settings
	if !r.shifted && p >= s.EarliestShift && (p >= s.SteadyShift || len(r.routeShares) == 0) {
		// Requests expected until the deadline, relative to those so far.
		remaining := r.traffic.currentRate(now) / r.traffic.meanRate(now) * (1 - p) / p
		if p < s.SteadyShift {
			remaining *= burstFactor
		}
		limit := exposureMargin * (s.MaxExposure*(1+remaining) + r.exposureSlack()/float64(max(1, r.traffic.total)))
		r.shifted = p >= 1-forcedShiftFraction*(1-s.SteadyShift) || r.traffic.targetShare()+remaining <= limit
		r.shiftedAt = p
	}
	return r.shifted
}

// burstFactor is the factor by which the request rate may rise after a shift that precedes SteadyShift.
const burstFactor = 2

// forcedShiftFraction is the last part of the time after SteadyShift. When it begins, all requests shift regardless of
// the exposure limit, so that the roll-out can be completed.
const forcedShiftFraction = 0.25

// progress returns the elapsed fraction of the roll-out's duration.
func (r *Rollout) progress(now time.Time) float64 {
	return float64(now.Sub(r.order.startedAt)) / float64(r.order.duration)
}

// PickVersion returns the version for a request and counts the request. The position u in [0, 1) is the same for all
// requests of a session, so a session that has moved to the new version stays there as the share grows. The version is
// empty while no endpoint is known.
func (r *Rollout) PickVersion(now time.Time, u float64) string {
	return r.countPick(now, r.versionAt(now, u))
}

// PickVersionOnRoute returns the version for a request without a session, like PickVersion. A route that needs a larger share
// of its requests to show a failure has one.
func (r *Rollout) PickVersionOnRoute(now time.Time, u float64, route string) string {
	v := r.versionAt(now, u)
	if r.Running() {
		r.evidence.addSessionless(route)
	}
	if r.order != nil && r.canaryShare > 0 && v == r.CurrentVersion() && u < r.routeShare(route) {
		v = r.versionAt(now, 0)
	}
	return r.countPick(now, v)
}

// countPick counts a request for a version and returns the version.
func (r *Rollout) countPick(now time.Time, v string) string {
	if r.order != nil {
		r.traffic.add(now, v == r.order.target)
	}
	return v
}

// versionAt returns the version for the position u.
func (r *Rollout) versionAt(now time.Time, u float64) string {
	switch {
	case r.order == nil || r.state == routing.RolloutRolledBack || !r.order.stateRead || r.endpoints[r.order.target].allEvacuated():
		return r.CurrentVersion()
	case r.state == routing.RolloutCompleted || u < r.TargetShare(now):
		return r.order.target
	}
	return r.CurrentVersion()
}

// FallbackVersion returns the version to fall back to if the picked version has no endpoint, or "".
func (r *Rollout) FallbackVersion(version string) string {
	switch {
	case r.endpoints[version].allEvacuated() && version != r.CurrentVersion():
		return r.CurrentVersion()
	case r.order == nil || r.state != routing.RolloutRunning || !r.order.stateRead:
		return ""
	case version == r.order.target:
		return r.CurrentVersion()
	}
	return ""
}

// RecordOutcome records how an answer ended and reports whether this rolled the version back.
func (r *Rollout) RecordOutcome(now time.Time, version, route string, failed bool) bool {
	if r.order == nil || r.state != routing.RolloutRunning {
		return false
	}
	goodRate := r.goodRate(now, route)
	if r.progress(now) >= r.settings.CanaryStart && goodRate <= maxRouteRate {
		r.evidence.totals.countTotal(version == r.order.target, failed) // earlier answers had other conditions
	}
	if t := r.evidence.routeTotals(route); t != nil {
		t.countTotal(version == r.order.target, failed)
	}
	if version != r.order.target {
		r.evidence.baseline.addOutcome(failed)
		return false
	}
	r.evidence.countRecent(now, false, failed, route)
	return r.rollBack(r.evidence.addOutcome(route, failed, goodRate))
}

// RecordFirstByte records the time to an answer's first byte, or until the request was given up, and reports whether
// this rolled the version back. The time is given as a ratio to the expected time.
func (r *Rollout) RecordFirstByte(version, route string, latencyRatio float64) bool {
	if r.order == nil || r.state != routing.RolloutRunning {
		return false
	}
	if version != r.order.target {
		r.evidence.baseline.addLatency(latencyRatio)
		return false
	}
	return r.rollBack(r.evidence.addLatency(route, latencyRatio))
}

// RecordStreamGap records the mean time between the events of a stream that has ended and reports whether this rolled the
// version back. Only streams of the same kind are compared.
func (r *Rollout) RecordStreamGap(now time.Time, version, kind string, gap time.Duration) bool {
	if r.order == nil || r.state != routing.RolloutRunning {
		return false
	}
	return r.rollBack(r.evidence.addGap(now, kind, version == r.order.target, float64(gap)/float64(time.Millisecond)))
}

// rollBack rolls the version back unless the reason is empty, and reports whether it did.
func (r *Rollout) rollBack(reason string) bool {
	if reason == "" {
		return false
	}
	r.state, r.reason = routing.RolloutRolledBack, reason
	return true
}

// StateToPublish returns the state to publish. The second result is false if there is no order.
func (r *Rollout) StateToPublish(now time.Time) (routing.RolloutState, bool) {
	if r.order == nil {
		return "", false
	}
	r.settleStart(now)
	if r.state == routing.RolloutRunning && r.order.stateRead && r.readyToComplete(now) {
		return routing.RolloutCompleted, true
	}
	return r.state, true
}

// readyToComplete reports whether the roll-out can be completed. It cannot until some time after the shift, so that
// requests on the old version can end.
func (r *Rollout) readyToComplete(now time.Time) bool {
	p, s := r.progress(now), r.settings
	if p < s.Completion {
		return false
	}
	if !r.updateShifted(p, now) {
		return false
	}
	return p >= r.shiftedAt+(s.Completion-s.SteadyShift)/2 && r.closingReason() == ""
}

// PublishSpread returns the time over which instances that reach a state together spread their writes of it. The first
// write takes effect, and the other instances read its record. PublishSpread leaves time between Completion and the
// deadline.
func (r *Rollout) PublishSpread() time.Duration {
	if r.order == nil {
		return 0
	}
	remaining := time.Duration((1 - r.settings.Completion) * float64(r.order.duration))
	spread := min(maxSpread, remaining/4)
	if r.state == routing.RolloutRolledBack && r.reason != stoppedElsewhere {
		return spread / ownStopFactor
	}
	return spread
}

// ownStopFactor is how much sooner an instance publishes a roll-back that it has decided on than other states, so that no
// other instance completes the roll-out before.
const ownStopFactor = 8

// maxSpread is several times the delay of a record on its way through the store to all instances.
const maxSpread = time.Second

// Status returns the target version, the state and its reason for logs.
func (r *Rollout) Status() (target string, state routing.RolloutState, reason string) {
	if r.order == nil {
		return "", "", ""
	}
	return r.order.target, r.state, r.reason
}

// CurrentVersion returns the version in use besides the new one, or "" while no endpoint is known.
func (r *Rollout) CurrentVersion() string {
	if r.substitute != "" {
		return r.substitute
	}
	return r.currentVersion
}

// StartTime returns the start time of the roll-out.
func (r *Rollout) StartTime() time.Time {
	if r.order == nil {
		return time.Time{}
	}
	return r.order.startedAt
}

// StartAgreed reports whether all instances use the same start time.
func (r *Rollout) StartAgreed() bool { return r.order != nil && r.order.startAgreed }

// Running reports whether a roll-out is in progress.
func (r *Rollout) Running() bool { return r.order != nil && r.state == routing.RolloutRunning }
