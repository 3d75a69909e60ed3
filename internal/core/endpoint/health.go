package endpoint

import (
	"math"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/spread"
)

// maxDoublings bounds the exponent of the ejection time; EjectMax takes effect before.
const maxDoublings = 20

// health is an endpoint's place between live, out and returning.
type health struct {
	state    state
	gap      int64     // nanoseconds between requests while returning
	placed   bool      // counted in the current view
	errors   int       // consecutive error statuses
	goods    int       // consecutive answers since the return
	level    int       // doublings of the ejection time, plus one
	byError  bool      // out on error statuses alone
	since    time.Time // when the state began or the level last fell
	returned time.Time // when the last probe on a new connection brought it back
	until    time.Time // end of the ejection
	probing  time.Time // end of the wait for a probe; zero if none is under way
}

func (t *Table) answer(now time.Time, e *entry, ev Answered) {
	e.answered = now
	e.errors = 0
	t.report(now, e, ev.Report)
	t.recover(now, e, ev)
	t.place(e)
}

// recover counts an answer towards the end of the return; each one halves the gap.
func (t *Table) recover(now time.Time, e *entry, ev Answered) {
	// An answer to a request from before the ejection says nothing about new connections.
	if e.state != stateReturning || ev.Started.Before(e.returned) {
		return
	}
	e.goods++
	e.count.allowed.Store(int64(e.goods) + 1)
	e.gap = max(1, e.gap/2)
	if e.goods >= t.settings.ReturnAnswers {
		e.state, e.since = stateLive, now
	}
}

func (t *Table) fail(now time.Time, e *entry, ev Failed) {
	if ev.Kind == FailDied {
		t.hints.forget(e.handle) // a restarted engine has an empty cache
	}
	// Requests that were under way at the ejection fail one by one; they count once. A zero start counts.
	if e.state == stateOut || (!ev.Started.IsZero() && ev.Started.Before(e.returned)) {
		t.place(e)
		return
	}
	switch ev.Kind {
	case FailBusy:
		e.count.setReport(int(e.member(t.settings.Slots).slots)+int(e.count.outstanding.Load()), now)
	case FailVersion:
		t.deny(now, e, ev.Version)
	case FailStatus:
		e.errors++
		if (e.errors >= t.settings.ErrorStatuses || e.state == stateReturning) && t.mayEject(e) {
			t.eject(now, e, true)
		}
	case FailSilent:
		t.eject(now, e, false)
		if e.level == 1 {
			// A silent connection says little about the endpoint; a new one tells at once.
			e.until = now
			t.probe(now, e)
		}
	default:
		t.eject(now, e, false)
	}
	t.place(e)
}

// deny takes a version from an endpoint whose answer stated another one, whatever it reports.
func (t *Table) deny(now time.Time, e *entry, version string) {
	if e.denied == nil {
		e.denied = map[string]time.Time{}
	}
	for v, end := range e.denied {
		if !now.Before(end) {
			delete(e.denied, v)
		}
	}
	e.denied[version] = now.Add(t.settings.OwnReport)
	e.statedAt = now
	t.setVersions(e, slices.DeleteFunc(slices.Clone(e.versions), func(v string) bool { return v == version }))
}

func (t *Table) eject(now time.Time, e *entry, byError bool) {
	e.level = min(e.level+1, maxDoublings)
	e.state, e.byError, e.since = stateOut, byError, now
	e.errors, e.goods, e.probing = 0, 0, time.Time{}
	e.until = now.Add(t.ejection(e))
}

// ejection returns the time for which an endpoint stays out: it doubles with each ejection up to a maximum and
// is lengthened by a share that differs between instances, so that their probes do not arrive together.
func (t *Table) ejection(e *entry) time.Duration {
	d := float64(t.settings.EjectBase) * math.Exp2(float64(e.level-1))
	return t.jittered(e, time.Duration(min(d, float64(t.settings.EjectMax))), uint64(e.level))
}

func (t *Table) jittered(e *entry, d time.Duration, salt uint64) time.Duration {
	draw := float64(spread.Mix(spread.Mix(t.settings.Seed)^e.seed^salt)>>11) / (1 << 53)
	return time.Duration(float64(d) * (1 + t.settings.Jitter*draw))
}

// mayEject reports whether error statuses may eject one more endpoint of each of its pools.
func (t *Table) mayEject(e *entry) bool {
	if e.service != "" {
		return t.below(e, func(o *entry) bool { return o.service == e.service })
	}
	for _, v := range e.versions {
		if !t.below(e, func(o *entry) bool { return slices.Contains(o.versions, v) }) {
			return false
		}
	}
	return true
}

func (t *Table) below(e *entry, in func(*entry) bool) bool {
	out, size := 1, 0
	for _, o := range t.order {
		if !in(o) {
			continue
		}
		size++
		if o != e && o.byError && o.state == stateOut {
			out++
		}
	}
	return float64(out) <= t.settings.ErrorShare*float64(size)
}

func (t *Table) probed(now time.Time, e *entry, ev Probed) {
	e.probing = time.Time{}
	if ev.OK {
		e.answered = now
		t.report(now, e, ev.Report)
	}
	if e.state != stateOut {
		return
	}
	if !ev.OK {
		// A failed probe costs little, so a dead endpoint is probed at an even pace; the ejection time grows only
		// for one that fails again after its return.
		e.byError = false
		e.until = now.Add(t.jittered(e, t.settings.ProbeEvery, uint64(now.UnixNano())))
		return
	}
	e.state, e.since, e.returned, e.byError = stateReturning, now, now, false
	e.gap = max(1, int64(t.settings.TrickleGap)*int64(t.settings.Fleet))
	e.count.nextAt.Store(0)
	e.count.allowed.Store(1)
	t.place(e)
}

func (t *Table) probe(now time.Time, e *entry) {
	e.probing = now.Add(t.settings.ProbeTimeout)
	t.actions = append(t.actions, Action{e.handle, e.id, e.address, t.settings.ProbeTimeout})
}

// tick starts probes that are due, lowers the ejection level of calm endpoints and drops those that are gone.
func (t *Table) tick(now time.Time) {
	for n := len(t.order) - 1; n >= 0; n-- {
		e := t.order[n]
		switch {
		case !e.probing.IsZero() && now.After(e.probing.Add(t.settings.ProbeTimeout)):
			t.probed(now, e, Probed{Endpoint: e.handle}) // the edge lost the probe
		case !e.probing.IsZero():
		case e.state == stateOut && !now.Before(e.until):
			t.probe(now, e)
		case e.state == stateLive && e.level > 0 && now.Sub(e.since) >= t.settings.Calm:
			e.level--
			e.since = now
		case t.unknownLeaving(now, e):
			e.leavingCheck = now.Add(t.settings.OwnReport)
			t.probe(now, e)
		}
		t.gone(now, n)
	}
	t.View().settle(now)
}

// unknownLeaving reports whether only the endpoint's own earlier answer calls it leaving and a probe is due;
// without new work no answer would ever take it back.
func (t *Table) unknownLeaving(now time.Time, e *entry) bool {
	return e.ownLeaving && !e.listLeaving && e.missing.IsZero() && now.Sub(e.answered) >= t.settings.OwnReport &&
		!now.Before(e.leavingCheck)
}

// gone drops an endpoint that has been off the list for long and does not answer; a silent one gets one probe first.
func (t *Table) gone(now time.Time, n int) {
	e := t.order[n]
	if e.missing.IsZero() || now.Sub(e.missing) < t.settings.DropAfter || now.Sub(e.answered) < t.settings.DropAfter {
		return
	}
	last := now.Sub(e.missing) >= t.settings.DropAfter+2*t.settings.ProbeTimeout
	switch {
	case e.state == stateOut || (last && now.Sub(e.answered) >= t.settings.DropAfter+2*t.settings.ProbeTimeout):
		t.drop(n)
	case e.probing.IsZero():
		t.probe(now, e)
	}
}
