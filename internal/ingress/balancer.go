package ingress

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/admission"
	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/canary"
	"github.com/cassiaspoke/cassiaspoke/internal/core/evacuation"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/retry"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
	"github.com/cassiaspoke/cassiaspoke/internal/relay"
)

// balancer protects the load table, the retry budgets and the roll-outs, which the goroutines that serve requests share.
type balancer struct {
	mu           sync.Mutex
	table        *placement.Table
	budgets      map[string]*retry.Budget
	rollouts     map[string]*canary.Rollout
	options      Options
	peerCounts   canary.CountsByKey   // results of new versions at other instances
	peerCountsAt time.Time            // when peerCounts were collected
	logPacesAt   time.Time            // when the paces of roll-outs may be logged again
	warmAt       map[string]time.Time // when an endpoint that is slow after its start has warmed up
	evacuations  *evacuation.Set
	services     map[string][]routing.Endpoint // registered endpoints
	instances    int                           // largest number of instances so far; 0 if it isn't known

	admission              *admission.Controller
	admissionConfiguration *routing.Configuration // whose organisations admission knows
}

// peerCountsMaxAge is how long results of other instances are used; they are sent several times a second.
const peerCountsMaxAge = time.Second

// recentPeerCounts returns the results of other instances, or nil if they are too old.
func (b *balancer) recentPeerCounts(now time.Time) canary.CountsByKey {
	if now.Sub(b.peerCountsAt) >= peerCountsMaxAge {
		return nil
	}
	return b.peerCounts
}

// newBalancer returns a balancer without endpoints.
func newBalancer(o Options) *balancer {
	if o.Placement.ColdSeed == 0 {
		o.Placement.ColdSeed = rand.Uint64()
	}
	b := &balancer{
		table: placement.New(o.Placement), budgets: map[string]*retry.Budget{}, rollouts: map[string]*canary.Rollout{},
		options: o, evacuations: evacuation.NewSet(), admission: admission.New(o.Admission),
	}
	if o.PeerListener == nil {
		b.instances = 1
		b.table.SetAlone()
	}
	return b
}

// setEndpoints replaces the endpoints of all services and tells the roll-outs which versions they have.
func (b *balancer) setEndpoints(services map[string][]routing.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.services = services
	warmAt, now := map[string]time.Time{}, time.Now()
	b.table.SetEndpoints(services)
	b.table.RecordNewEndpoints(now)
	for s, l := range services {
		for _, e := range l {
			if t, ok := b.warmAt[e.ID]; ok {
				warmAt[e.ID] = t
			} else if e.WarmUpRemaining > 0 {
				warmAt[e.ID] = now.Add(e.WarmUpRemaining)
			}
		}
		b.updateVersions(s, b.countVersions(l))
	}
	b.warmAt = warmAt
}

// isAvailable reports whether an endpoint is registered and has not announced that it is about to stop.
func (b *balancer) isAvailable(e routing.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.table.IsLeaving(e.ID) && slices.ContainsFunc(b.services[e.Service], func(o routing.Endpoint) bool { return o.ID == e.ID && o.StartedAtMS == e.StartedAtMS })
}

// setServices sets what the configuration says of the services.
func (b *balancer) setServices(services map[string]routing.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.SetServices(services)
	l := make(map[string]routing.ColdStart, len(services))
	for name, s := range services {
		l[name] = s.ColdStart
	}
	b.table.SetColdStarts(l)
}

// countVersions counts the endpoints of a service by version. The caller holds the mutex.
func (b *balancer) countVersions(l []routing.Endpoint) canary.Versions {
	out := canary.Versions{}
	for _, e := range l {
		v := out[e.Version]
		if b.evacuations.Contains(e.AvailabilityZone) {
			v.Evacuated++
		} else {
			v.Count++
		}
		if start := time.UnixMilli(e.StartedAtMS); e.StartedAtMS > 0 && (v.OldestStart.IsZero() || start.Before(v.OldestStart)) {
			v.OldestStart = start
		}
		out[e.Version] = v
	}
	return out
}

// updateVersions tells the roll-out of a service which endpoints each version has, and logs a change of the version in
// use. The caller holds the mutex.
func (b *balancer) updateVersions(service string, endpoints canary.Versions) {
	r := b.rolloutOf(service)
	old := r.CurrentVersion()
	r.UpdateVersions(endpoints)
	if v := r.CurrentVersion(); v != old {
		target, state, _ := r.Status()
		b.options.Logger.Info("roll-out: The version in use changed.", zap.String("service", service), zap.String("from", old), zap.String("to", v),
			zap.Any("endpoints", endpoints), zap.String("target", target), zap.String("state", string(state)))
	}
}

// endpointCounts returns the number of endpoints of each service that accept work.
func (b *balancer) endpointCounts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.EndpointCounts()
}

// rolloutOf returns the roll-out state of a service. The caller holds the mutex.
func (b *balancer) rolloutOf(service string) *canary.Rollout {
	r := b.rollouts[service]
	if r == nil {
		r = canary.New(canary.DefaultSettings(b.options.BadVersionShare, b.options.BadVersionSlack))
		r.SetInstances(b.instances)
		b.rollouts[service] = r
	}
	return r
}

// retryBudgetOf returns the retry budget of a service. The caller holds the mutex.
func (b *balancer) retryBudgetOf(service string) *retry.Budget {
	r := b.budgets[service]
	if r == nil {
		r = retry.New(b.options.Retries)
		b.budgets[service] = r
	}
	return r
}

// pickVersion returns the version for a request on a route, chosen by a hash of its session or, without a session, of its
// identifier.
func (b *balancer) pickVersion(now time.Time, service, route string, req *attributes.ClientRequest) string {
	key := req.Session
	if key == "" {
		key = req.ID
	}
	u := float64(xxhash.Sum64String(service+"\x00"+key)>>11) / (1 << 53)
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.rolloutOf(service)
	if req.Session == "" {
		return r.PickVersionOnRoute(now, u, route)
	}
	return r.PickVersion(now, u)
}

// chooseEndpoint chooses an endpoint for a request and records the request as sent to it.
func (b *balancer) chooseEndpoint(now time.Time, r placement.Request) (placement.Choice, *placement.InFlightRequest, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.pickEndpoint(now, &r)
	if !ok {
		return c, nil, false
	}
	return c, b.table.RecordSend(now, r, c), true
}

// findEndpoint returns the endpoint that chooseEndpoint would choose, without recording a request.
func (b *balancer) findEndpoint(now time.Time, r placement.Request) (placement.Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pickEndpoint(now, &r)
}

// pickEndpoint chooses an endpoint. It falls back to the other version of a roll-out if no endpoint of the request's
// version can take the request.
func (b *balancer) pickEndpoint(now time.Time, r *placement.Request) (placement.Choice, bool) {
	c, ok := b.table.Choose(now, *r)
	if ok {
		return c, true
	}
	if r.Version = b.rolloutOf(r.Service).FallbackVersion(r.Version); r.Version == "" {
		return c, false
	}
	return b.table.Choose(now, *r)
}

// LocalReport returns this instance's load on the endpoints and its results of new versions.
func (b *balancer) LocalReport() relay.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	report := relay.Report{Loads: b.table.LocalLoads(), Pauses: b.table.LocalPauses(now), Limits: b.table.LocalLimits(now), Trials: canary.CountsByKey{}, Paces: canary.PacesByKey{}, Instances: 1}
	report.Usages = b.admission.LocalUsages(now)
	for s, r := range b.rollouts {
		report.Trials.Merge(r.LocalCounts(now, s))
		report.Paces.Merge(r.LocalPaces(now, s))
	}
	return report
}

// SetRemoteReport records the loads and results of other instances at a time.
func (b *balancer) SetRemoteReport(at time.Time, report relay.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if report.Loads != nil {
		b.table.SetRemoteLoads(at, report.Loads)
		b.table.SetRemotePauses(at, report.Pauses)
		b.table.SetRemoteLimits(at, report.Limits, report.Instances)
	}
	b.table.SetOtherInstances(at, report.Instances)
	b.admission.SetRemote(at, report.Usages, report.Instances)
	b.peerCounts, b.peerCountsAt = report.Trials, at
	if report.Instances > 0 {
		b.instances = max(b.instances, report.Instances+1)
	}
	for s, r := range b.rollouts {
		r.SetInstances(b.instances)
		r.SetPeerPaces(at, report.Paces)
		if r.EvaluatePooled(at, s, report.Trials) || r.EvaluatePace(at, s) {
			v, _, reason := r.Status()
			logRolloutStop(b.options.Logger, s, v, reason, b.rolloutFields(at, s, r))
		}
		b.logPaces(at, s, r)
	}
}

// paceLogInterval is the time between log lines on the paces of a roll-out. The caller of logPaces holds the mutex.
const paceLogInterval = 2 * time.Second

// logPaces logs what all instances know of the paces of both versions while the new one gets requests.
func (b *balancer) logPaces(now time.Time, service string, r *canary.Rollout) {
	if now.Before(b.logPacesAt) || !r.Running() {
		return
	}
	if p := r.PaceSummary(now, service); p.Answers > 0 {
		b.logPacesAt = now.Add(paceLogInterval)
		target, _, _ := r.Status()
		b.options.Logger.Info("roll-out: Paces.", append(b.rolloutFields(now, service, r), zap.String("service", service), zap.String("version", target))...)
	}
}

// rolloutFields returns what decides about a roll-out: sums over all instances, the age of the other instances' share of
// them, the reference and the threshold. The caller holds the mutex.
func (b *balancer) rolloutFields(now time.Time, service string, r *canary.Rollout) []zap.Field {
	s := r.Summary(now, service, b.recentPeerCounts(now))
	fields := []zap.Field{
		zap.Float64("progress", s.Progress), zap.Float64("share", s.Share), zap.Stringer("answers", s.Totals), zap.Float64("good-rate", s.GoodRate),
		zap.Float64("ratio", s.Ratio), zap.Float64("threshold", s.Threshold), zap.Stringer("paces", s.Paces),
	}
	if b.peerCountsAt.IsZero() {
		return append(fields, zap.String("peer-counts", "none"))
	}
	return append(fields, zap.Duration("peer-counts-age", now.Sub(b.peerCountsAt)))
}

// describeRollout returns what decides about the roll-out of a service, for logs.
func (b *balancer) describeRollout(now time.Time, service string) []zap.Field {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rolloutFields(now, service, b.rolloutOf(service))
}

// estimateCapacityWait estimates the time until a service can take a request that no endpoint can take now.
func (b *balancer) estimateCapacityWait(now time.Time, service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.TimeToCapacity(now, service)
}

// countRequest counts a client's request, which raises the service's retry budget.
func (b *balancer) countRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryBudgetOf(service).RecordRequest(now)
}

// takeRetry takes a retry from the service's budget and reports whether the budget allows it. Reserve is the share of the
// budget that stays untouched.
func (b *balancer) takeRetry(now time.Time, service string, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retryBudgetOf(service).TakeRetry(now, reserve)
}

// recordFirstByte records the first byte of a response and the load that the endpoint reported with it, if any.
func (b *balancer) recordFirstByte(now time.Time, inFlight *placement.InFlightRequest, load *attributes.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if load != nil {
		b.table.RecordLoad(now, inFlight.EndpointID, *load)
	}
	b.table.RecordFirstByte(now, inFlight)
}

// recordEnd records the end of an attempt; complete tells whether the response was complete.
func (b *balancer) recordEnd(now time.Time, inFlight *placement.InFlightRequest, complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.RecordEnd(now, inFlight, complete)
}

// markUnreachable records that an endpoint can't be reached and returns the time for which it gets no requests.
func (b *balancer) markUnreachable(now time.Time, id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Eject(now, id)
}

// markLeaving records that an endpoint has announced its stop and reports whether that is news.
func (b *balancer) markLeaving(now time.Time, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.MarkLeaving(now, id)
}

// pause records that an endpoint has asked for no requests for the given time, and reports whether it had not asked before.
func (b *balancer) pause(now time.Time, id string, d time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Pause(now, id, d)
}

// endedPauses returns the endpoints whose pause has ended since the last call.
func (b *balancer) endedPauses(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.EndedPauses(now)
}

// availability counts the endpoints of a service that get no requests.
func (b *balancer) availability(now time.Time, service string) placement.Availability {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Availability(now, service)
}

// recordSlowness records the time to the first byte over the expected time. It returns the reason if that stopped a
// roll-out.
func (b *balancer) recordSlowness(e routing.Endpoint, route string, slowness float64) string {
	if slowness <= 0 {
		return ""
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.rolloutOf(e.Service)
	if !r.RecordFirstByte(e.Version, route, slowness) {
		return ""
	}
	_, _, reason := r.Status()
	return reason
}

// recordPace records the mean time between the events of a stream. It returns the reason if that stopped a roll-out.
func (b *balancer) recordPace(e routing.Endpoint, kind string, d time.Duration) string {
	return b.recordPaceBy((*canary.Rollout).RecordPace, e, kind, d)
}

// recordPlainPace records the time of a plain answer. It returns the reason if that stopped a roll-out.
func (b *balancer) recordPlainPace(e routing.Endpoint, route string, d time.Duration) string {
	return b.recordPaceBy((*canary.Rollout).RecordPlainPace, e, route, d)
}

// recordPaceBy records a pace by a method of the roll-out.
func (b *balancer) recordPaceBy(record func(*canary.Rollout, time.Time, string, string, string, time.Duration), e routing.Endpoint, kind string, d time.Duration) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Before(b.warmAt[e.ID]) {
		return ""
	}
	r := b.rolloutOf(e.Service)
	record(r, now, e.Service, e.Version, kind, d)
	if !r.EvaluatePace(now, e.Service) {
		return ""
	}
	_, _, reason := r.Status()
	return reason
}

// recordEventGap records the mean time between the events of a stream; only streams of the same kind are compared. It
// returns the reason if that stopped a roll-out.
func (b *balancer) recordEventGap(e routing.Endpoint, streamKind string, gap time.Duration) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.rolloutOf(e.Service)
	now := time.Now()
	if !r.RecordStreamGap(now, e.Version, streamKind, gap) && !r.EvaluatePooled(now, e.Service, b.recentPeerCounts(now)) {
		return ""
	}
	_, _, reason := r.Status()
	return reason
}

// recordOutcome records whether an endpoint succeeded.
func (b *balancer) recordOutcome(now time.Time, e routing.Endpoint, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.RecordOutcome(now, e.ID, ok)
}

// recordResult records the result of a version, as far as it tells something about the version. It returns the reason if that
// stopped the roll-out.
func (b *balancer) recordResult(now time.Time, e routing.Endpoint, route string, ok bool) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.rolloutOf(e.Service)
	if g, regressed := r.RecordCompleted(now, e.Version, !ok); regressed {
		b.options.Logger.Warn("roll-out: The version in use fails more often than the one before did.", zap.String("service", e.Service),
			zap.String("version", e.Version), zap.String("endpoint", e.ID), zap.Stringer("answers", g))
		b.options.MetricsScope.Tagged(map[string]string{"service": e.Service}).Counter("rollout_regressions").Inc(1)
	}
	if !r.RecordOutcome(now, e.Version, route, !ok) && !r.EvaluatePooled(now, e.Service, b.recentPeerCounts(now)) {
		return ""
	}
	_, _, reason := r.Status()
	return reason
}

// fallbackVersion returns the version that a request is repeated on after a version has failed it, or "" if that is the same.
func (b *balancer) fallbackVersion(service, version string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rolloutOf(service).FallbackVersion(version)
}
