package composed

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/google/uuid"

	"github.com/cassiaspoke/cassiaspoke/internal/core/claim"
	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// TestMain fixes the seed and the number of histories to make runs repeatable; -rapid.seed sets another seed and
// CASSIASPOKE_SOAK the number of histories.
func TestMain(m *testing.M) {
	checks := "40"
	if n := os.Getenv("CASSIASPOKE_SOAK"); n != "" {
		checks = n
	}
	for k, v := range map[string]string{"rapid.seed": "1", "rapid.checks": checks, "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against violations of the design page's invariants, and against an organisation that gets more than its entitlement,
// when several failures of the design page happen at the same time or the same one happens twice.
func TestHistories(t *testing.T) {
	sum := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.recoverAndSettle()
		w.checkEnd()
		for k, n := range w.eventCounts {
			sum[k] += n
		}
		sum["histories"]++
	})
	for _, k := range slices.Sorted(maps.Keys(sum)) {
		t.Logf("%s: %d", k, sum[k])
	}
}

// recoverAndSettle ends all failures and waits until all pending work is done.
func (w *world) recoverAndSettle() {
	w.endFailures()
	w.advance(90*time.Second, stepInterval)
	w.endFailures()
	w.advance(30*time.Second, stepInterval)
}

// endFailures ends all failures and replaces dead instances.
func (w *world) endFailures() {
	w.log.down, w.log.appendDelay, w.log.loseReplies = false, 0, 0
	w.list.frozen, w.list.empty, w.raterDown = false, false, false
	clear(w.lostLinks)
	for _, e := range w.endpoints {
		e.leaving, e.reportedVersion, e.truncateAnswers, e.loseReplies = false, "", 0, 0
	}
	for i, inst := range w.instances {
		inst.logCut = false
		if inst.pausedUntil.After(w.now) {
			inst.pausedUntil = w.now
		}
		if inst.dead {
			w.replaceInstance(i)
		}
	}
}

func (w *world) drawSlot(name string) int { return rapid.IntRange(0, instanceCount-1).Draw(w.t, name) }

func (w *world) replaceInstance(i int) {
	w.instances[i] = newInstance(w, i, 1)
	w.instances[i].loadPeerSnapshot()
}

// actions returns the actions of a history: calls, changes by operators and failures, each followed by some time. A history
// draws a few kinds of failure, so that these repeat and coincide; crashes and outages of the log occur in every history.
func (w *world) actions() map[string]func(*rapid.T) {
	failures := w.failures()
	names := slices.Sorted(maps.Keys(failures))
	kinds := rapid.SliceOfN(rapid.SampledFrom(names), 1, 4).Draw(w.t, "failures")
	injectFailure := func(t *rapid.T) {
		k := rapid.SampledFrom(kinds).Draw(t, "failure")
		w.eventCounts["failure: "+k]++
		failures[k](t)
	}
	m := map[string]func(*rapid.T){
		"time passes": func(*rapid.T) {},
		"long time passes": func(t *rapid.T) {
			w.advance(time.Duration(rapid.SampledFrom([]int{20, 40, 60, 660}).Draw(t, "seconds"))*time.Second, 2*time.Second)
		},
		"chat":      func(t *rapid.T) { w.sendChat(t, nil, false) },
		"session":   w.sendSessionChat,
		"session 2": w.sendSessionChat,
		"poison":    func(t *rapid.T) { w.sendChat(t, nil, true) },
		"order":     w.sendOrder,
		"order 2":   w.sendOrder,
		"burst": func(t *rapid.T) {
			for range 5 {
				w.sendOrder(t)
			}
		},
		"same key again": w.resendCall,
		"operator":       w.publishOperatorChange,
		"race":           w.publishConflictingChanges,
		"failure":        injectFailure,
		"failure 2":      injectFailure,
		"failure 3":      injectFailure,
		"crash":          w.crashOrReplace,
		"log down":       failures["log down"],
		"recovery":       func(*rapid.T) { w.endFailures() },
	}
	for k, f := range m {
		m[k] = func(t *rapid.T) {
			f(t)
			w.advance(time.Duration(rapid.SampledFrom([]int{0, 1, 1, 2, 4, 12}).Draw(t, "steps"))*stepInterval, stepInterval)
		}
	}
	return m
}

// failures returns the kinds of failure by name.
func (w *world) failures() map[string]func(*rapid.T) {
	drawEndpoint := func(t *rapid.T) *fakeEndpoint {
		return w.endpoints[rapid.IntRange(0, len(w.endpoints)-1).Draw(t, "endpoint")]
	}
	return map[string]func(*rapid.T){
		"log down": func(*rapid.T) { w.log.down = !w.log.down },
		"log slow": func(t *rapid.T) {
			w.log.appendDelay = rapid.SampledFrom([]time.Duration{0, 0, time.Second, 7 * time.Second, time.Minute}).Draw(t, "slow")
		},
		"replies lost":    func(t *rapid.T) { w.log.loseReplies += rapid.IntRange(1, 6).Draw(t, "lost") },
		"retention":       func(*rapid.T) { w.trimStreams() },
		"crash":           w.crashOrReplace,
		"pause":           w.pauseInstance,
		"stop":            w.stopOrReplace,
		"cut from log":    func(t *rapid.T) { inst := w.instances[w.drawSlot("slot")]; inst.logCut = !inst.logCut },
		"cut from peers":  w.cutFromPeers,
		"one-way loss":    func(t *rapid.T) { k := [2]int{w.drawSlot("from"), w.drawSlot("to")}; w.lostLinks[k] = !w.lostLinks[k] },
		"list stale":      func(*rapid.T) { w.list.frozen = !w.list.frozen },
		"list empty":      func(*rapid.T) { w.list.empty = !w.list.empty },
		"endpoint dies":   func(t *rapid.T) { drawEndpoint(t).crash(w.now) },
		"endpoint silent": func(t *rapid.T) { drawEndpoint(t).silencedAt = w.now },
		"endpoint leaves": func(t *rapid.T) {
			e := drawEndpoint(t)
			e.leaving, e.leavingAt = !e.leaving, w.now
		},
		"endpoint lies": func(t *rapid.T) {
			drawEndpoint(t).reportedVersion = rapid.SampledFrom([]string{"", "m@3", "c@2"}).Draw(t, "states")
		},
		"answers truncated": func(t *rapid.T) { drawEndpoint(t).truncateAnswers++ },
		"order reply lost":  func(t *rapid.T) { drawEndpoint(t).loseReplies++ },
		"ratings away":      func(*rapid.T) { w.raterDown = !w.raterDown },
	}
}

// crashOrReplace ends an instance without a planned stop, or replaces it if it is dead.
func (w *world) crashOrReplace(*rapid.T) {
	i := w.drawSlot("slot")
	if inst := w.instances[i]; !inst.dead {
		inst.dead, inst.crashed = true, true
		return
	}
	w.replaceInstance(i)
}

func (w *world) pauseInstance(t *rapid.T) {
	inst := w.instances[w.drawSlot("slot")]
	inst.pausedUntil = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 3, 7, 20, 45}).Draw(t, "seconds")) * time.Second)
}

// stopOrReplace starts a planned stop as instance.stop does, or replaces an instance that is dead.
func (w *world) stopOrReplace(*rapid.T) {
	i := w.drawSlot("slot")
	inst := w.instances[i]
	switch {
	case inst.dead:
		w.replaceInstance(i)
		return
	case inst.stopping:
		return
	}
	inst.stopping, inst.closesAt = true, w.now.Add(balancerDelay)
	inst.announceLeave()
}

func (w *world) cutFromPeers(*rapid.T) {
	i := w.drawSlot("slot")
	for j := range instanceCount {
		w.lostLinks[[2]int{i, j}], w.lostLinks[[2]int{j, i}] = true, true
	}
}

// sendToInstance sends a call to a random instance; the call is lost if the instance accepts no connections.
func (w *world) sendToInstance(c *call) {
	inst := w.instances[w.drawSlot("slot")]
	if !inst.dead && !w.now.Before(inst.pausedUntil) {
		inst.serveCall(c)
	}
}

// newKey returns a unique key in the format of a version 7 UUID.
func (w *world) newKey() string {
	var u uuid.UUID
	ms := w.now.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	w.sequence++
	u[6], u[8], u[14], u[15] = 0x70, 0x80, byte(w.sequence>>8), byte(w.sequence)
	return u.String()
}

func (w *world) newCall(t *rapid.T) *call {
	c := &call{org: "lys", profile: "p", key: w.newKey(), issuedAt: w.now}
	if rapid.Bool().Draw(t, "kal") {
		c.org, c.profile = "kal", "q"
	}
	c.content = c.key
	w.calls = append(w.calls, c)
	return c
}

func (w *world) sendChat(t *rapid.T, s *sessionChain, poison bool) {
	c := w.newCall(t)
	c.chain, c.poison = s, poison
	if poison {
		c.content = rapid.SampledFrom([]string{"poison 1", "poison 2"}).Draw(t, "content")
	}
	w.sendToInstance(c)
}

// sendSessionChat starts a session or continues an existing one.
func (w *world) sendSessionChat(t *rapid.T) {
	var old []*call
	for _, c := range w.calls {
		if c.chain != nil && c.chain.token != "" {
			old = append(old, c)
		}
	}
	if len(old) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
		w.sendChat(t, &sessionChain{}, false)
		return
	}
	o := old[rapid.IntRange(0, len(old)-1).Draw(t, "session")]
	c := &call{org: o.org, profile: o.profile, key: w.newKey(), issuedAt: w.now, chain: o.chain}
	c.content = c.key
	w.calls = append(w.calls, c)
	w.sendToInstance(c)
}

func (w *world) sendOrder(t *rapid.T) {
	c := w.newCall(t)
	c.order, c.honoursKey = true, rapid.IntRange(0, 3).Draw(t, "honours") == 0
	w.sendToInstance(c)
}

// resendCall sends a recent call again, as callers do that got no answer.
func (w *world) resendCall(t *rapid.T) {
	if len(w.calls) == 0 {
		return
	}
	c := w.calls[len(w.calls)-1-rapid.IntRange(0, min(5, len(w.calls)-1)).Draw(t, "back")]
	if c.order || w.now.Sub(c.issuedAt) < claim.ClaimWindow { // after the window, the key of a chat counts as a new request
		w.sendToInstance(c)
	}
}

// publishOperatorChange publishes an operator's change of a version or profile through an instance.
func (w *world) publishOperatorChange(t *rapid.T) {
	inst := w.instances[w.drawSlot("slot")]
	if inst.dead || w.now.Before(inst.pausedUntil) {
		return
	}
	inst.queueChange(w.drawOperatorChange(t, inst.catalog), true)
}

// publishConflictingChanges publishes the same change, from the same base and under different IDs, through all
// instances that accept connections.
func (w *world) publishConflictingChanges(t *rapid.T) {
	ch := w.drawOperatorChange(t, w.latestCatalog())
	for _, inst := range w.instances {
		if !inst.dead && !w.now.Before(inst.pausedUntil) {
			ch.ID = w.newID("race")
			inst.queueChange(ch, true)
		}
	}
}

func (w *world) drawOperatorChange(t *rapid.T, c *config.Catalog) record.Change {
	if rapid.IntRange(0, 5).Draw(t, "profile") == 0 {
		allow := rapid.SampledFrom([][]string{{"m@*", "c@*"}, {"m@*"}, {"m@1"}, {"m@2", "c@1"}}).Draw(t, "allow")
		name := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "name")
		ch := profileChange(name, c.Profiles[name].Revision, allow)
		ch.ID = w.newID("change")
		return ch
	}
	name := rapid.SampledFrom([]string{"m@1", "m@2", "m@3", "c@1", "c@2"}).Draw(t, "version")
	ch := record.Change{ID: w.newID("change"), Name: name, Base: c.Versions[name].Revision, Operator: "o"}
	ch.Kind = rapid.SampledFrom([]record.Kind{
		record.VersionRollOut, record.VersionRollOut, record.VersionRollOut, record.VersionPause, record.VersionResume,
		record.VersionHalt, record.VersionAdvance, record.VersionWithdraw,
	}).Draw(t, "kind")
	switch ch.Kind {
	case record.VersionRollOut:
		ch.RollOut = &record.RollOut{}
		if rapid.Bool().Draw(t, "staged") {
			ch.RollOut.Stages = []record.Stage{{Share: 0.5, MinSamples: 2}}
		}
	case record.VersionAdvance:
		ch.Stage = c.Versions[name].Stage + 1
	}
	return ch
}
