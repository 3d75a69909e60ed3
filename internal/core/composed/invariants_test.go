package composed

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/bill"
	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/core/entitlement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/rollout"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// lowRequestLimit is the number of requests in each period of the organisation with the lower limits.
const lowRequestLimit = 12

// oracle holds the true state of the system, against which the behaviour of instances is checked.
type oracle struct {
	configs         []*config.Catalog             // configs[i] is the configuration after i records
	firstKnown      []time.Time                   // firstKnown[i] is when the first instance applied record i
	withdrawnAt     map[string]uint64             // by version: number of config records up to its withdrawal
	newestServed    [instanceCount]uint64         // by slot: newest configuration under which work was sent
	reachedEndpoint map[string]bool               // IDs of attempts that reached an endpoint
	executions      map[string]int                // by key: number of times that an order was carried out
	usedAmounts     map[usageKey]int64            // by organisation, unit and period
	issuedBills     map[record.BillID]bool        // bills of complete answers and orders
	releasedBills   map[record.BillID]bool        // bills of calls whose last byte was sent to the caller
	copyHolders     map[record.BillID][]*instance // instances that have had a copy of a bill
	acceptedChanges map[string]string             // by object and base revision: ID of the accepted change
	eventCounts     map[string]int                // by kind of event; the test logs them to show that histories contain these events
}

type usageKey struct {
	org    string
	unit   record.Unit
	period record.Duration
	index  int64
}

func newOracle() oracle {
	return oracle{
		configs: []*config.Catalog{config.NewCatalog()}, withdrawnAt: map[string]uint64{}, reachedEndpoint: map[string]bool{},
		executions: map[string]int{}, usedAmounts: map[usageKey]int64{}, issuedBills: map[record.BillID]bool{},
		releasedBills: map[record.BillID]bool{}, copyHolders: map[record.BillID][]*instance{},
		acceptedChanges: map[string]string{}, eventCounts: map[string]int{},
	}
}

// failInvariant fails the test because an invariant of the design page, or an entitlement, is violated.
func (w *world) failInvariant(invariant, format string, a ...any) {
	w.t.Helper()
	w.t.Fatalf("%s at %v: %s", invariant, w.now.Sub(startTime), fmt.Sprintf(format, a...))
}

// applyConfig appends the configuration after a new record of the config stream to the oracle.
func (w *world) applyConfig(e platform.Entry) {
	var ch record.Change
	if err := json.Unmarshal(e.Data, &ch); err != nil {
		w.t.Fatal(err)
	}
	c, err := w.latestCatalog().Apply(uint64(e.Offset), e.Time, ch)
	w.configs = append(w.configs, c)
	if err == nil && ch.Kind == record.VersionWithdraw {
		w.withdrawnAt[ch.Name] = c.Next
	}
}

// knownRecords returns the number of config records that at least one instance had applied by a time.
func (w *world) knownRecords(at time.Time) uint64 {
	n := uint64(len(w.firstKnown))
	for n > 0 && w.firstKnown[n-1].After(at) {
		n--
	}
	return n
}

// checkCatalog checks config-in-force: an instance never goes back to an earlier configuration, and its configuration matches
// the log at its offset.
func (w *world) checkCatalog(inst *instance, c *config.Catalog) {
	if c.Next < inst.catalog.Next {
		w.failInvariant("config-in-force", "%s goes back from record %d to %d", inst.id, inst.catalog.Next, c.Next)
	}
	for uint64(len(w.firstKnown)) < c.Next {
		w.firstKnown = append(w.firstKnown, w.now)
	}
	t := w.configs[c.Next]
	for name, v := range t.Versions {
		if o := c.Versions[name]; o.Revision != v.Revision || o.State != v.State || o.Stage != v.Stage {
			w.failInvariant("config-in-force", "%s has %s at %+v, the log says %+v", inst.id, name, o, v)
		}
	}
	for name, p := range t.Profiles {
		if c.Profiles[name].Revision != p.Revision {
			w.failInvariant("config-in-force", "%s has profile %s at revision %d, the log at %d", inst.id, name, c.Profiles[name].Revision, p.Revision)
		}
	}
}

// checkSingleWinner checks config-in-force: at most one of the changes of an object from the same base is reported to
// operators as accepted.
func (w *world) checkSingleWinner(ch record.Change, accepted bool) {
	w.operatorReplies[ch.ID] = accepted
	k := fmt.Sprintf("%s from %d", config.ObjectKey(ch.Kind, ch.Name), ch.Base)
	if !accepted {
		return
	}
	w.eventCounts["changes"]++
	if o, ok := w.acceptedChanges[k]; ok {
		w.failInvariant("config-in-force", "%s and %s were both accepted for %s", o, ch.ID, k)
	}
	w.acceptedChanges[k] = ch.ID
}

// permits reports whether a version may run under a profile. It is computed from the catalog independently of
// Catalog.IsAllowed.
func permits(c *config.Catalog, name, version string) bool {
	v := c.Versions[version]
	running := v.State == config.StateActive || v.State == config.StateRollingOut ||
		v.State == config.StatePaused && v.ResumeState == config.StateRollingOut
	for _, a := range c.Profiles[name].Allow {
		if running && (a == version || strings.TrimSuffix(a, "*") == version[:len(version)-1]) {
			return true
		}
	}
	return false
}

// permittedSince reports whether any configuration from index first on permits a version under a profile.
func (w *world) permittedSince(first uint64, name, version string) bool {
	for _, c := range w.configs[first:] {
		if permits(c, name, version) {
			return true
		}
	}
	return false
}

// checkSend checks the invariants of work that is sent to an endpoint.
func (w *world) checkSend(t *task, e *fakeEndpoint, version string) {
	inst, minRecords := t.inst, w.knownRecords(w.now.Add(-inForceWithin))
	w.reachedEndpoint[t.id] = true
	w.eventCounts["sent"]++
	if inst.catalog.Next < minRecords {
		w.failInvariant("config-in-force", "%s sends work with %d records, %d are in force", inst.id, inst.catalog.Next, minRecords)
	}
	if inst.catalog.Next < w.newestServed[inst.slot] {
		w.failInvariant("config-in-force", "%s sends work with %d records after %d", inst.id, inst.catalog.Next, w.newestServed[inst.slot])
	}
	w.newestServed[inst.slot] = inst.catalog.Next
	if version != "" {
		if k, ok := w.withdrawnAt[version]; ok && k <= minRecords {
			w.failInvariant("withdrawn-version", "%s sends work to %s", inst.id, version)
		}
		if !w.permittedSince(minRecords, t.call.profile, version) {
			w.failInvariant("allowed-version", "%s sends work of profile %s to %s", inst.id, t.call.profile, version)
		}
	}
	if !e.leaving {
		return
	}
	if inst.leavingInList[e.id] || inst.leavingInAnswer[e.id] {
		w.failInvariant("leaving-endpoint", "%s sends work to %s although it was told", inst.id, e.id)
	}
	// If the list has been wrong or the instance has been paused since then, only the endpoint's own answers tell it.
	ownAnswersOnly := w.list.brokenAt.Add(listLag+stepInterval).After(e.leavingAt) || inst.pausedUntil.After(e.leavingAt)
	if !ownAnswersOnly && w.now.Sub(e.leavingAt) > leaveWithin {
		w.failInvariant("leaving-endpoint", "%s sends work to %s after %v", inst.id, e.id, w.now.Sub(e.leavingAt))
	}
}

// checkReportedNotRun checks not-run-is-true: an attempt that is reported as not run never reached an endpoint.
func (w *world) checkReportedNotRun(t *task) {
	w.eventCounts["not-run"]++
	if w.reachedEndpoint[t.id] {
		w.failInvariant("not-run-is-true", "%s of %s ran", t.id, t.inst.id)
	}
}

// executeOrder carries out an order and reports whether the reply arrives.
func (w *world) executeOrder(t *task, e *fakeEndpoint) bool {
	if e.silencedAt.Equal(w.now) {
		return false
	}
	if w.executions[t.call.key] == 0 || !t.call.honoursKey {
		w.executions[t.call.key]++
		w.eventCounts["orders"]++
		w.recordUsage(t, entitlement.Amounts{Cost: orderPrice, Requests: 1})
	}
	if w.executions[t.call.key] > 1 {
		w.failInvariant("at-most-once", "order %s ran %d times", t.call.key, w.executions[t.call.key])
	}
	if e.loseReplies > 0 {
		e.loseReplies--
		return false
	}
	return true
}

// recordUsage adds amounts to the usage of an organisation in the periods in which they were reserved, and checks
// entitlement.
func (w *world) recordUsage(t *task, a entitlement.Amounts) {
	for _, l := range w.latestCatalog().Organisations[t.call.org].Limits {
		k := usageKey{t.call.org, l.Unit, l.Period, t.periodIndex[l.Period]}
		switch l.Unit {
		case record.UnitCost:
			w.usedAmounts[k] += int64(a.Cost)
		case record.UnitRequests:
			w.usedAmounts[k] += a.Requests
		}
		if w.usedAmounts[k] > l.Amount {
			w.failInvariant("entitlement", "%s used %d %s of %d", t.call.org, w.usedAmounts[k], l.Unit, l.Amount)
		}
	}
}

// releaseLastByte sends the last byte to the caller and checks the answer.
func (w *world) releaseLastByte(t *task) {
	w.releasedBills[t.bill.ID()] = true
	if t.call.order {
		w.eventCounts["replies"]++
		return
	}
	w.eventCounts["answers"]++
	w.recordUsage(t, t.usedAmounts)
	if len(t.delivered) != answerTokens {
		w.failInvariant("whole-answer", "%s got %d of %d tokens", t.call.key, len(t.delivered), answerTokens)
	}
	for i, x := range t.delivered {
		if !strings.HasPrefix(x, fmt.Sprintf("%s/%d@", t.call.key, i)) {
			w.failInvariant("whole-answer", "%s got %v", t.call.key, t.delivered)
		}
		if _, v, _ := strings.Cut(x, t.call.key); !strings.HasSuffix(v, "@"+t.version) &&
			permits(w.latestCatalog(), t.call.profile, t.startVersion) && !t.inst.driver.Stopped(t.startVersion) {
			w.failInvariant("whole-answer", "%s changes its version without need: %v", t.call.key, t.delivered)
		}
	}
	if t.call.chain != nil {
		w.checkSession(t)
	}
}

// checkSession checks session-version: a session changes its version only when the old one may not run, and the answer gives
// the reason.
func (w *world) checkSession(t *task) {
	if t.token != nil && t.startVersion != t.token.Version {
		w.eventCounts["moved"]++
		mustMove := t.inst.driver.Stopped(t.token.Version)
		for _, c := range w.configs[t.token.Revision:] {
			mustMove = mustMove || !permits(c, t.call.profile, t.token.Version)
		}
		if !mustMove || t.moveReason == "" {
			w.failInvariant("session-version", "session moves from %s to %s, reason %q", t.token.Version, t.startVersion, t.moveReason)
		}
	}
	k := session.Token{Organisation: t.call.org, Profile: t.call.profile, Version: t.startVersion, Revision: t.inst.catalog.Next, Issued: w.now}
	if t.pinned {
		k.Revision = t.token.Revision
	}
	t.call.chain.token = w.signer.Sign(k)
}

// checkStop checks graceful-stop: an instance ends without requests, and without bills if its stop is clean.
func (w *world) checkStop(inst *instance, clean bool) {
	w.eventCounts["stopped"]++
	if len(inst.tasks) > 0 || (inst.billBuffer.Len() > 0 && clean) {
		w.failInvariant("graceful-stop", "%s ends with %d requests and %d bills", inst.id, len(inst.tasks), inst.billBuffer.Len())
	}
}

// checkLease checks that at most one instance acts under the lease of the duty.
func (w *world) checkLease() {
	holder := ""
	for _, inst := range w.instances {
		if !inst.dead && inst.leaseTerm.Valid(w.now) {
			if holder != "" {
				w.failInvariant("lease", "%s and %s hold the same duty", holder, inst.id)
			}
			holder = inst.id
		}
	}
}

// checkEnd checks the final state after all failures have ended, including the whole bills stream.
func (w *world) checkEnd() {
	f, counted, unproven := bill.NewProjection(0), map[record.BillID]int{}, map[record.BillID]bool{}
	for _, e := range w.log.stream("bills").entries {
		l, err := f.Apply(uint64(e.Offset), e.Time, w.instances[0].billBatch(e))
		if err != nil {
			w.t.Fatal(err)
		}
		for _, r := range l {
			switch r.Verdict {
			case bill.Accepted:
				counted[r.Bill.ID()]++
			case bill.Unverifiable:
				unproven[r.Bill.ID()] = true // retention removed the records that prove it, so an operator has to decide
			}
		}
	}
	for k, n := range counted {
		if n > 1 || !w.issuedBills[k] {
			w.failInvariant("billed-once", "%s has %d bills", k.Key, n)
		}
	}
	for k := range w.releasedBills {
		if counted[k] == 0 && !unproven[k] && !w.allCopiesLost(k) {
			w.failInvariant("billed-once", "%s has no bill", k.Key)
		}
	}
	for _, inst := range w.instances {
		if len(inst.tasks) > 0 {
			w.failInvariant("graceful-stop", "%s still has %d requests", inst.id, len(inst.tasks))
		}
		if inst.catalog.Next != uint64(len(w.configs)-1) {
			w.failInvariant("config-in-force", "%s has %d of %d records", inst.id, inst.catalog.Next, len(w.configs)-1)
		}
	}
	for id, ok := range w.operatorReplies {
		if ok && !w.isInHistory(id) {
			w.failInvariant("config-in-force", "change %s was accepted and is not in force", id)
		}
	}
}

// allCopiesLost reports whether every instance that had a copy of a bill crashed, or stopped while it could hand the bill
// neither to the log nor to two peers. The design page does not promise that a bill survives this.
func (w *world) allCopiesLost(k record.BillID) bool {
	for _, inst := range w.copyHolders[k] {
		if !inst.crashed && !inst.leftUncopiedBills {
			return false
		}
	}
	w.eventCounts["bills lost with holder and witness"]++
	return true
}

func (w *world) isInHistory(id string) bool {
	for _, h := range w.latestCatalog().History {
		for _, r := range h {
			if r.ID == id {
				return true
			}
		}
	}
	return false
}

// rateAnswer mirrors rater.Rate; the answers of versions c@2 and m@3 get a low score.
func (w *world) rateAnswer(inst *instance, version string) (float64, bool) {
	if w.raterDown {
		inst.failedRatings++
		inst.ratingRetryAt = w.now.Add(5 * time.Second)
		return 0, false
	}
	inst.failedRatings = 0
	if version == "c@2" || version == "m@3" {
		return 0.1, true
	}
	return 0.9, true
}

// toSample mirrors newSample of internal/instance.
func toSample(o cascade.Outcome) rollout.SampleObserved {
	return rollout.SampleObserved{Version: o.Version, Sample: rollout.Sample{
		Class: o.Class, Escalated: o.Predecessor != "", Rated: o.Rated, BelowMinScore: o.Score < o.MinScore, Completed: o.Completed, Latency: o.Latency, Failed: o.Failed,
	}}
}
