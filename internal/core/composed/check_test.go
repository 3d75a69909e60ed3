package composed

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/bill"
	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/core/entitlement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/internal/core/rollout"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// requestLimit is what the organisation with the lower limits may use in each period.
const requestLimit = 12

// oracle holds what is true whatever instances believe.
type oracle struct {
	truth     []*profile.Catalog // truth[i] is the configuration after i records
	seen      []time.Time        // when any instance first knew record i
	withdrawn map[string]uint64  // by version: records up to its withdrawal
	served    [slots]uint64      // newest configuration under which a slot's instances sent work
	reached   map[string]bool    // attempts that an endpoint got
	effects   map[string]int     // orders carried out, by key
	used      map[usage]int64
	issued    map[record.BillID]bool    // bills of whole answers and orders
	released  map[record.BillID]bool    // whose last byte a caller got
	copied    map[record.BillID][]*node // instances that had a copy
	winners   map[string]string         // accepted change by object and base
	counts    map[string]int            // of events, to see that histories are not empty
}

type usage struct {
	org    string
	unit   record.Unit
	period record.Duration
	index  int64
}

func newOracle() oracle {
	return oracle{
		truth: []*profile.Catalog{profile.New()}, withdrawn: map[string]uint64{}, reached: map[string]bool{},
		effects: map[string]int{}, used: map[usage]int64{}, issued: map[record.BillID]bool{},
		released: map[record.BillID]bool{}, copied: map[record.BillID][]*node{}, winners: map[string]string{}, counts: map[string]int{},
	}
}

func (w *world) violated(invariant, format string, a ...any) {
	w.t.Helper()
	w.t.Fatalf("%s at %v: %s", invariant, w.now.Sub(start), fmt.Sprintf(format, a...))
}

// fold extends the truth by a record of the config stream, which it reads from offset 0.
func (w *world) fold(e platform.Entry) {
	var ch record.Change
	if err := json.Unmarshal(e.Data, &ch); err != nil {
		w.t.Fatal(err)
	}
	c, err := w.end().Apply(uint64(e.Offset), e.Time, ch)
	w.truth = append(w.truth, c)
	if err == nil && ch.Kind == record.VersionWithdraw {
		w.withdrawn[ch.Name] = c.Next
	}
}

// accepted returns how many records some instance knew at a time.
func (w *world) accepted(at time.Time) uint64 {
	n := uint64(len(w.seen))
	for n > 0 && w.seen[n-1].After(at) {
		n--
	}
	return n
}

// checkCatalog guards config-in-force: no instance goes back, and each one has what the log says at its offset.
func (w *world) checkCatalog(n *node, c *profile.Catalog) {
	if c.Next < n.catalog.Next {
		w.violated("config-in-force", "%s goes back from %d to %d", n.id, n.catalog.Next, c.Next)
	}
	for uint64(len(w.seen)) < c.Next {
		w.seen = append(w.seen, w.now)
	}
	t := w.truth[c.Next]
	for name, v := range t.Versions {
		if o := c.Versions[name]; o.Revision != v.Revision || o.State != v.State || o.Stage != v.Stage {
			w.violated("config-in-force", "%s has %s at %+v, the log says %+v", n.id, name, o, v)
		}
	}
	for name, p := range t.Profiles {
		if c.Profiles[name].Revision != p.Revision {
			w.violated("config-in-force", "%s has profile %s at revision %d, the log at %d", n.id, name, c.Profiles[name].Revision, p.Revision)
		}
	}
}

// checkWinner guards config-in-force: of the changes of one object from one base, operators see one accepted.
func (w *world) checkWinner(ch record.Change, accepted bool) {
	w.told[ch.ID] = accepted
	k := fmt.Sprintf("%s from %d", profile.Object(ch.Kind, ch.Name), ch.Base)
	if !accepted {
		return
	}
	w.counts["changes"]++
	if o, ok := w.winners[k]; ok {
		w.violated("config-in-force", "%s and %s were both accepted for %s", o, ch.ID, k)
	}
	w.winners[k] = ch.ID
}

// permits tells by the records alone whether a version may run under a profile.
func permits(c *profile.Catalog, name, version string) bool {
	v := c.Versions[version]
	running := v.State == profile.StateActive || v.State == profile.StateRollingOut ||
		v.State == profile.StatePaused && v.Resume == profile.StateRollingOut
	for _, a := range c.Profiles[name].Allow {
		if running && (a == version || strings.TrimSuffix(a, "*") == version[:len(version)-1]) {
			return true
		}
	}
	return false
}

// permitted reports whether a version was permitted in any configuration from number first on.
func (w *world) permitted(first uint64, name, version string) bool {
	for _, c := range w.truth[first:] {
		if permits(c, name, version) {
			return true
		}
	}
	return false
}

// checkSend looks at work that reaches an endpoint.
func (w *world) checkSend(t *task, e *engine, version string) {
	n, old := t.n, w.accepted(w.now.Add(-inForce))
	w.reached[t.id] = true
	w.counts["sent"]++
	if n.catalog.Next < old {
		w.violated("config-in-force", "%s sends work with %d records, %d are in force", n.id, n.catalog.Next, old)
	}
	if n.catalog.Next < w.served[n.slot] {
		w.violated("config-in-force", "%s sends work with %d records after %d", n.id, n.catalog.Next, w.served[n.slot])
	}
	w.served[n.slot] = n.catalog.Next
	if version != "" {
		if k, ok := w.withdrawn[version]; ok && k <= old {
			w.violated("withdrawn-version", "%s sends work to %s", n.id, version)
		}
		if !w.permitted(old, t.c.profile, version) {
			w.violated("allowed-version", "%s sends work of profile %s to %s", n.id, t.c.profile, version)
		}
	}
	if !e.leaving {
		return
	}
	if n.listLeft[e.id] || n.ownLeft[e.id] {
		w.violated("leaving-endpoint", "%s sends work to %s although it was told", n.id, e.id)
	}
	// A list that was wrong since, or an instance that was paused since, leaves only the endpoint's own answers.
	wrong := w.list.brokenAt.Add(listLag+step).After(e.leavingAt) || n.paused.After(e.leavingAt)
	if !wrong && w.now.Sub(e.leavingAt) > leaveIn {
		w.violated("leaving-endpoint", "%s sends work to %s after %v", n.id, e.id, w.now.Sub(e.leavingAt))
	}
}

// checkNotRun guards not-run-is-true.
func (w *world) checkNotRun(t *task) {
	w.counts["not-run"]++
	if w.reached[t.id] {
		w.violated("not-run-is-true", "%s of %s ran", t.id, t.n.id)
	}
}

// order carries an order out and reports whether the reply comes back.
func (w *world) order(t *task, e *engine) bool {
	if e.silentAt.Equal(w.now) {
		return false
	}
	if w.effects[t.c.key] == 0 || !t.c.honours {
		w.effects[t.c.key]++
		w.counts["orders"]++
		w.use(t, entitlement.Amounts{Cost: orderPrice, Requests: 1})
	}
	if w.effects[t.c.key] > 1 {
		w.violated("at-most-once", "order %s ran %d times", t.c.key, w.effects[t.c.key])
	}
	if e.loseReply > 0 {
		e.loseReply--
		return false
	}
	return true
}

// use counts what an organisation got, in the period in which it was reserved.
func (w *world) use(t *task, a entitlement.Amounts) {
	for _, l := range w.end().Organisations[t.c.org].Limits {
		k := usage{t.c.org, l.Unit, l.Period, t.index[l.Period]}
		switch l.Unit {
		case record.UnitCost:
			w.used[k] += int64(a.Cost)
		case record.UnitRequests:
			w.used[k] += a.Requests
		}
		if w.used[k] > l.Amount {
			w.violated("entitlement", "%s used %d %s of %d", t.c.org, w.used[k], l.Unit, l.Amount)
		}
	}
}

// release gives the last byte to the caller.
func (w *world) release(t *task) {
	w.released[t.bill.ID()] = true
	if t.c.order {
		w.counts["replies"]++
		return
	}
	w.counts["answers"]++
	w.use(t, t.used)
	if len(t.delivered) != tokens {
		w.violated("whole-answer", "%s got %d of %d tokens", t.c.key, len(t.delivered), tokens)
	}
	for i, x := range t.delivered {
		if !strings.HasPrefix(x, fmt.Sprintf("%s/%d@", t.c.key, i)) {
			w.violated("whole-answer", "%s got %v", t.c.key, t.delivered)
		}
		if _, v, _ := strings.Cut(x, t.c.key); !strings.HasSuffix(v, "@"+t.version) && permits(w.end(), t.c.profile, t.started) && !t.n.driver.Stopped(t.started) {
			w.violated("whole-answer", "%s changes its version without need: %v", t.c.key, t.delivered)
		}
	}
	if t.c.chain != nil {
		w.checkSession(t)
	}
}

// checkSession guards session-version: a session moves only when its version may not run, and the answer says so.
func (w *world) checkSession(t *task) {
	if t.token != nil && t.started != t.token.Version {
		w.counts["moved"]++
		away := t.n.driver.Stopped(t.token.Version)
		for _, c := range w.truth[t.token.Revision:] {
			away = away || !permits(c, t.c.profile, t.token.Version)
		}
		if !away || t.moved == "" {
			w.violated("session-version", "session moves from %s to %s, reason %q", t.token.Version, t.started, t.moved)
		}
	}
	k := session.Token{Organisation: t.c.org, Profile: t.c.profile, Version: t.started, Revision: t.n.catalog.Next, Issued: w.now}
	if t.pinned {
		k.Revision = t.token.Revision
	}
	t.c.chain.token = w.signer.Sign(k)
}

// checkStop guards graceful-stop.
func (w *world) checkStop(n *node, clean bool) {
	w.counts["stopped"]++
	if len(n.tasks) > 0 || (n.holder.Len() > 0 && clean) {
		w.violated("graceful-stop", "%s ends with %d requests and %d bills", n.id, len(n.tasks), n.holder.Len())
	}
}

// checkAll looks at what must hold at any moment.
func (w *world) checkAll() {
	holder := ""
	for _, n := range w.nodes {
		if !n.dead && n.term.Acts(w.now) {
			if holder != "" {
				w.violated("lease", "%s and %s hold the same duty", holder, n.id)
			}
			holder = n.id
		}
	}
}

// checkEnd reads the whole bills stream, after all failures are over.
func (w *world) checkEnd() {
	f, counted, unproven := bill.NewFold(0), map[record.BillID]int{}, map[record.BillID]bool{}
	for _, e := range w.log.stream("bills").all {
		l, err := f.Apply(uint64(e.Offset), e.Time, w.nodes[0].billBatch(e))
		if err != nil {
			w.t.Fatal(err)
		}
		for _, r := range l {
			switch r.Verdict {
			case bill.First:
				counted[r.Bill.ID()]++
			case bill.Unproven:
				unproven[r.Bill.ID()] = true // retention removed the records; an operator decides
			}
		}
	}
	for k, n := range counted {
		if n > 1 || !w.issued[k] {
			w.violated("billed-once", "%s has %d bills", k.Key, n)
		}
	}
	for k := range w.released {
		if counted[k] == 0 && !unproven[k] && !w.lostAll(k) {
			w.violated("billed-once", "%s has no bill", k.Key)
		}
	}
	for _, n := range w.nodes {
		if len(n.tasks) > 0 {
			w.violated("graceful-stop", "%s still has %d requests", n.id, len(n.tasks))
		}
		if n.catalog.Next != uint64(len(w.truth)-1) {
			w.violated("config-in-force", "%s has %d of %d records", n.id, n.catalog.Next, len(w.truth)-1)
		}
	}
	for id, ok := range w.told {
		if ok && !w.inHistory(id) {
			w.violated("config-in-force", "change %s was accepted and is not in force", id)
		}
	}
}

// lostAll reports whether every instance that had a copy of a bill crashed, or stopped while it reached neither the log
// nor two peers: more than the design page promises.
func (w *world) lostAll(k record.BillID) bool {
	for _, n := range w.copied[k] {
		if !n.crashed && !n.alone {
			return false
		}
	}
	w.counts["bills lost with holder and witness"]++
	return true
}

func (w *world) inHistory(id string) bool {
	for _, h := range w.end().History {
		for _, r := range h {
			if r.ID == id {
				return true
			}
		}
	}
	return false
}

// rate mirrors the rating by instance.rater; version c@2 is bad.
func (w *world) rate(n *node, version string) (float64, bool) {
	if w.noRater {
		n.ratings++
		n.rateAt = w.now.Add(5 * time.Second)
		return 0, false
	}
	n.ratings = 0
	if version == "c@2" || version == "m@3" {
		return 0.1, true
	}
	return 0.9, true
}

// sample mirrors sampleOf.
func sample(o cascade.Outcome) rollout.SampleSeen {
	return rollout.SampleSeen{Version: o.Version, Sample: rollout.Sample{
		Class: o.Class, Later: o.After != "", Rated: o.Rated, Short: o.Score < o.MinScore, Done: o.Done, Latency: o.Latency, Failed: o.Failed,
	}}
}
