package endpoint

import (
	"math"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/bitmix"
)

// maxEjectionLevel bounds the exponent of the ejection time. EjectMax limits the time well before that.
const maxEjectionLevel = 20

// health is the ejection state of an endpoint.
type health struct {
	state             healthState
	requestGap        int64     // minimum nanoseconds between requests while returning
	inView            bool      // whether the current view contains the endpoint
	consecutiveErrors int       // error statuses since the last answer or ejection
	recoveryAnswers   int       // answers since the endpoint returned
	ejectionLevel     int       // doublings of the ejection time plus one; 0 before the first ejection
	ejectedForErrors  bool      // whether error statuses alone caused the ejection
	changedAt         time.Time // time of the last change of state or decrease of ejectionLevel
	returnedAt        time.Time // time of the last successful probe that ended an ejection
	ejectedUntil      time.Time // end of the ejection
	probeDeadline     time.Time // time by which the probe must answer; zero if no probe is under way
}

func (t *Table) applyAnswered(now time.Time, e *entry, ev RequestAnswered) {
	e.answeredAt = now
	e.consecutiveErrors = 0
	t.applyReport(now, e, ev.Report)
	t.recordRecoveryAnswer(now, e, ev)
	t.updateGate(e)
}

// recordRecoveryAnswer counts an answer of a returning endpoint. Each answer halves the minimum time between requests.
func (t *Table) recordRecoveryAnswer(now time.Time, e *entry, ev RequestAnswered) {
	// An answer to a request sent before the ejection says nothing about new connections.
	if e.state != healthReturning || ev.Started.Before(e.returnedAt) {
		return
	}
	e.recoveryAnswers++
	e.counters.maxOutstanding.Store(int64(e.recoveryAnswers) + 1)
	e.requestGap = max(1, e.requestGap/2)
	if e.recoveryAnswers >= t.settings.RecoveryAnswers {
		e.state, e.changedAt = healthLive, now
	}
}

func (t *Table) applyFailed(now time.Time, e *entry, ev RequestFailed) {
	if ev.Kind == FailConnectionLost {
		t.cacheHints.removeEndpoint(e.handle) // a restarted engine has an empty cache
	}
	// Requests that were in flight at the ejection fail one by one, and their failures count once. A failure without a
	// start time always counts.
	if e.state == healthEjected || (!ev.Started.IsZero() && ev.Started.Before(e.returnedAt)) {
		t.updateGate(e)
		return
	}
	switch ev.Kind {
	case FailBusy:
		e.counters.setReportedLoad(int(e.member(t.settings.DefaultSlots).slots)+int(e.counters.outstanding.Load()), now)
	case FailWrongVersion:
		t.denyVersion(now, e, ev.Version)
	case FailErrorStatus:
		e.consecutiveErrors++
		if (e.consecutiveErrors >= t.settings.ConsecutiveErrorStatuses || e.state == healthReturning) && t.mayEjectForErrors(e) {
			t.eject(now, e, true)
		}
	case FailStalled:
		t.eject(now, e, false)
		if e.ejectionLevel == 1 {
			// One stalled connection says little about the endpoint. A probe on a new connection gives a quick answer.
			e.ejectedUntil = now
			t.requestProbe(now, e)
		}
	default:
		t.eject(now, e, false)
	}
	t.updateGate(e)
}

// denyVersion removes a version from an endpoint whose answer stated another one, whatever the endpoint reports.
func (t *Table) denyVersion(now time.Time, e *entry, version string) {
	if e.deniedVersions == nil {
		e.deniedVersions = map[string]time.Time{}
	}
	for v, end := range e.deniedVersions {
		if !now.Before(end) {
			delete(e.deniedVersions, v)
		}
	}
	e.deniedVersions[version] = now.Add(t.settings.OwnReportLifetime)
	e.versionsReportedAt = now
	t.setVersions(e, slices.DeleteFunc(slices.Clone(e.versions), func(v string) bool { return v == version }))
}

func (t *Table) eject(now time.Time, e *entry, forErrors bool) {
	e.ejectionLevel = min(e.ejectionLevel+1, maxEjectionLevel)
	e.state, e.ejectedForErrors, e.changedAt = healthEjected, forErrors, now
	e.consecutiveErrors, e.recoveryAnswers, e.probeDeadline = 0, 0, time.Time{}
	e.ejectedUntil = now.Add(t.ejectionTime(e))
}

// ejectionTime returns how long an endpoint stays ejected. It doubles with each ejection up to a maximum. Jitter that
// differs between instances keeps their probes from arriving together.
func (t *Table) ejectionTime(e *entry) time.Duration {
	d := float64(t.settings.BaseEjectionTime) * math.Exp2(float64(e.ejectionLevel-1))
	return t.withJitter(e, time.Duration(min(d, float64(t.settings.MaxEjectionTime))), uint64(e.ejectionLevel))
}

func (t *Table) withJitter(e *entry, d time.Duration, salt uint64) time.Duration {
	draw := float64(bitmix.Mix(bitmix.Mix(t.settings.Seed)^e.idHash^salt)>>11) / (1 << 53)
	return time.Duration(float64(d) * (1 + t.settings.JitterShare*draw))
}

// mayEjectForErrors reports whether error statuses may eject one more endpoint from each pool that contains e.
func (t *Table) mayEjectForErrors(e *entry) bool {
	if e.service != "" {
		return t.withinErrorShare(e, func(other *entry) bool { return other.service == e.service })
	}
	for _, v := range e.versions {
		if !t.withinErrorShare(e, func(other *entry) bool { return slices.Contains(other.versions, v) }) {
			return false
		}
	}
	return true
}

func (t *Table) withinErrorShare(e *entry, inPool func(*entry) bool) bool {
	ejected, size := 1, 0
	for _, other := range t.entries {
		if !inPool(other) {
			continue
		}
		size++
		if other != e && other.ejectedForErrors && other.state == healthEjected {
			ejected++
		}
	}
	return float64(ejected) <= t.settings.MaxErrorEjectedShare*float64(size)
}

func (t *Table) applyProbed(now time.Time, e *entry, ev ProbeFinished) {
	e.probeDeadline = time.Time{}
	if ev.OK {
		e.answeredAt = now
		t.applyReport(now, e, ev.Report)
	}
	if e.state != healthEjected {
		return
	}
	if !ev.OK {
		// A failed probe is cheap, so an unreachable endpoint is probed at a constant interval. The ejection time grows
		// only if the endpoint fails again after it returned.
		e.ejectedForErrors = false
		e.ejectedUntil = now.Add(t.withJitter(e, t.settings.ProbeInterval, uint64(now.UnixNano())))
		return
	}
	e.state, e.changedAt, e.returnedAt, e.ejectedForErrors = healthReturning, now, now, false
	e.requestGap = max(1, int64(t.settings.RecoveryGap)*int64(t.settings.FleetSize))
	e.counters.nextRequestAt.Store(0)
	e.counters.maxOutstanding.Store(1)
	t.updateGate(e)
}

func (t *Table) requestProbe(now time.Time, e *entry) {
	e.probeDeadline = now.Add(t.settings.ProbeTimeout)
	t.probes = append(t.probes, ProbeRequest{e.handle, e.id, e.address, t.settings.ProbeTimeout})
}

// applyTick requests probes that are due, lowers the ejection level of endpoints that stayed healthy, and removes those
// that are gone.
func (t *Table) applyTick(now time.Time) {
	for i := len(t.entries) - 1; i >= 0; i-- {
		e := t.entries[i]
		switch {
		case !e.probeDeadline.IsZero() && now.After(e.probeDeadline.Add(t.settings.ProbeTimeout)):
			t.applyProbed(now, e, ProbeFinished{Endpoint: e.handle}) // the result of the probe was lost
		case !e.probeDeadline.IsZero():
		case e.state == healthEjected && !now.Before(e.ejectedUntil):
			t.requestProbe(now, e)
		case e.state == healthLive && e.ejectionLevel > 0 && now.Sub(e.changedAt) >= t.settings.EjectionDecayTime:
			e.ejectionLevel--
			e.changedAt = now
		case t.leavingCheckDue(now, e):
			e.nextLeavingCheck = now.Add(t.settings.OwnReportLifetime)
			t.requestProbe(now, e)
		case t.versionsCheckDue(now, e):
			e.nextVersionsCheck = now.Add(t.settings.ProbeInterval)
			t.requestProbe(now, e)
		}
		t.removeIfGone(now, i)
	}
	t.View().updateMeans(now)
}

// leavingCheckDue reports whether an endpoint that only its own earlier answer calls leaving is due for a probe. It
// gets no new requests, so no other answer would correct that state.
func (t *Table) leavingCheckDue(now time.Time, e *entry) bool {
	return e.leavingByReport && !e.leavingByList && e.missingSince.IsZero() &&
		now.Sub(e.answeredAt) >= t.settings.OwnReportLifetime && !now.Before(e.nextLeavingCheck)
}

// versionsCheckDue reports whether an endpoint is due for a probe because the list has changed to other versions since it reported its own.
// Its report takes precedence over the list, and it may get no request whose answer would report them again.
func (t *Table) versionsCheckDue(now time.Time, e *entry) bool {
	return e.state != healthEjected && e.missingSince.IsZero() && e.versionsReportedAt.Before(e.listChangedAt) &&
		now.Sub(e.versionsReportedAt) <= t.settings.OwnReportLifetime && !now.Before(e.nextVersionsCheck) &&
		!slices.Equal(e.versions, e.listedVersions)
}

// removeIfGone removes an endpoint that has been off the list for RemoveAfter and does not answer. One that is not
// ejected is probed first.
func (t *Table) removeIfGone(now time.Time, i int) {
	e := t.entries[i]
	if e.missingSince.IsZero() || now.Sub(e.missingSince) < t.settings.RemoveAfter ||
		now.Sub(e.answeredAt) < t.settings.RemoveAfter {
		return
	}
	finalProbeOver := now.Sub(e.missingSince) >= t.settings.RemoveAfter+2*t.settings.ProbeTimeout
	switch {
	case e.state == healthEjected ||
		(finalProbeOver && now.Sub(e.answeredAt) >= t.settings.RemoveAfter+2*t.settings.ProbeTimeout):
		t.remove(i)
	case e.probeDeadline.IsZero():
		t.requestProbe(now, e)
	}
}
