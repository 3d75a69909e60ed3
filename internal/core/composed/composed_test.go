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
	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// TestMain fixes the seed and the number of histories, so that a run is repeated by running it again; -rapid.seed
// tries other seeds and CASSIASPOKE_SOAK sets the number.
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

// Guards against a breach of an invariant, or an organisation that gets more than its entitlement, in histories in
// which the failures of the design page meet, two at a time and the same one twice.
func TestHistories(t *testing.T) {
	sum := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.heal()
		w.checkEnd()
		for k, n := range w.counts {
			sum[k] += n
		}
		sum["histories"]++
	})
	for _, k := range slices.Sorted(maps.Keys(sum)) {
		t.Logf("%s: %d", k, sum[k])
	}
}

// heal ends all failures and waits until nothing is under way.
func (w *world) heal() {
	w.recover()
	w.advance(90*time.Second, step)
	w.recover()
	w.advance(30*time.Second, step)
}

// recover ends all failures; a dead instance is replaced.
func (w *world) recover() {
	w.log.down, w.log.slow, w.log.lose = false, 0, 0
	w.list.frozen, w.list.empty, w.noRater = false, false, false
	clear(w.cuts)
	for _, e := range w.engines {
		e.leaving, e.states, e.truncate, e.loseReply = false, "", 0, 0
	}
	for i, n := range w.nodes {
		n.cut = false
		if n.paused.After(w.now) {
			n.paused = w.now
		}
		if n.dead {
			w.replace(i)
		}
	}
}

func (w *world) pick(what string) int { return rapid.IntRange(0, slots-1).Draw(w.t, what) }

func (w *world) replace(i int) {
	w.nodes[i] = newNode(w, i, 1)
	w.nodes[i].seed()
}

// actions are traffic, changes by operators and failures; some time passes after each one. Each history has a few kinds
// of failure, so that the same one comes again and meets the others; crashes and outages of the log are in all of them.
func (w *world) actions() map[string]func(*rapid.T) {
	failures := w.failures()
	names := slices.Sorted(maps.Keys(failures))
	kinds := rapid.SliceOfN(rapid.SampledFrom(names), 1, 4).Draw(w.t, "failures")
	fail := func(t *rapid.T) {
		k := rapid.SampledFrom(kinds).Draw(t, "failure")
		w.counts["failure: "+k]++
		failures[k](t)
	}
	m := map[string]func(*rapid.T){
		"time passes": func(*rapid.T) {},
		"long time passes": func(t *rapid.T) {
			w.advance(time.Duration(rapid.SampledFrom([]int{20, 40, 60, 660}).Draw(t, "seconds"))*time.Second, 2*time.Second)
		},
		"chat":      func(t *rapid.T) { w.chat(t, nil, false) },
		"session":   w.session,
		"session 2": w.session,
		"poison":    func(t *rapid.T) { w.chat(t, nil, true) },
		"order":     w.order1,
		"order 2":   w.order1,
		"burst": func(t *rapid.T) {
			for range 5 {
				w.order1(t)
			}
		},
		"same key again": w.again,
		"operator":       w.operator,
		"race":           w.race,
		"failure":        fail,
		"failure 2":      fail,
		"failure 3":      fail,
		"crash":          w.crash,
		"log down":       failures["log down"],
		"recovery":       func(*rapid.T) { w.recover() },
	}
	for k, f := range m {
		m[k] = func(t *rapid.T) {
			f(t)
			w.advance(time.Duration(rapid.SampledFrom([]int{0, 1, 1, 2, 4, 12}).Draw(t, "steps"))*step, step)
		}
	}
	return m
}

func (w *world) failures() map[string]func(*rapid.T) {
	engine := func(t *rapid.T) *engine { return w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "endpoint")] }
	return map[string]func(*rapid.T){
		"log down": func(*rapid.T) { w.log.down = !w.log.down },
		"log slow": func(t *rapid.T) {
			w.log.slow = rapid.SampledFrom([]time.Duration{0, 0, time.Second, 7 * time.Second, time.Minute}).Draw(t, "slow")
		},
		"replies lost":    func(t *rapid.T) { w.log.lose += rapid.IntRange(1, 6).Draw(t, "lost") },
		"retention":       func(*rapid.T) { w.trim() },
		"crash":           w.crash,
		"pause":           w.pause,
		"stop":            w.stop,
		"cut from log":    func(t *rapid.T) { n := w.nodes[w.pick("slot")]; n.cut = !n.cut },
		"cut from peers":  w.isolate,
		"one-way loss":    func(t *rapid.T) { k := [2]int{w.pick("from"), w.pick("to")}; w.cuts[k] = !w.cuts[k] },
		"list stale":      func(*rapid.T) { w.list.frozen = !w.list.frozen },
		"list empty":      func(*rapid.T) { w.list.empty = !w.list.empty },
		"endpoint dies":   func(t *rapid.T) { engine(t).die(w.now) },
		"endpoint silent": func(t *rapid.T) { engine(t).silentAt = w.now },
		"endpoint leaves": func(t *rapid.T) {
			e := engine(t)
			e.leaving, e.leavingAt = !e.leaving, w.now
		},
		"endpoint lies": func(t *rapid.T) {
			engine(t).states = rapid.SampledFrom([]string{"", "m@3", "c@2"}).Draw(t, "states")
		},
		"answers truncated": func(t *rapid.T) { engine(t).truncate++ },
		"order reply lost":  func(t *rapid.T) { engine(t).loseReply++ },
		"ratings away":      func(*rapid.T) { w.noRater = !w.noRater },
	}
}

// crash ends an instance at once, or replaces it when it is dead.
func (w *world) crash(*rapid.T) {
	i := w.pick("slot")
	if n := w.nodes[i]; !n.dead {
		n.dead, n.crashed = true, true
		return
	}
	w.replace(i)
}

func (w *world) pause(t *rapid.T) {
	n := w.nodes[w.pick("slot")]
	n.paused = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 3, 7, 20, 45}).Draw(t, "seconds")) * time.Second)
}

// stop starts a planned stop as instance.stop does, or replaces an instance that has stopped.
func (w *world) stop(*rapid.T) {
	i := w.pick("slot")
	n := w.nodes[i]
	switch {
	case n.dead:
		w.replace(i)
		return
	case n.stopping:
		return
	}
	n.stopping, n.closeAt = true, w.now.Add(balancerWait)
	n.leave()
}

func (w *world) isolate(*rapid.T) {
	i := w.pick("slot")
	for j := range slots {
		w.cuts[[2]int{i, j}], w.cuts[[2]int{j, i}] = true, true
	}
}

// send gives a call to an instance, unless it takes no connection.
func (w *world) send(c *call) {
	n := w.nodes[w.pick("slot")]
	if !n.dead && !w.now.Before(n.paused) {
		n.serve(c)
	}
}

func (w *world) key() string {
	var u uuid.UUID
	ms := w.now.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	w.seq++
	u[6], u[8], u[14], u[15] = 0x70, 0x80, byte(w.seq>>8), byte(w.seq)
	return u.String()
}

func (w *world) newCall(t *rapid.T) *call {
	c := &call{org: "lys", profile: "p", key: w.key(), issued: w.now}
	if rapid.Bool().Draw(t, "kal") {
		c.org, c.profile = "kal", "q"
	}
	c.content = c.key
	w.calls = append(w.calls, c)
	return c
}

func (w *world) chat(t *rapid.T, s *chain, poison bool) {
	c := w.newCall(t)
	c.chain, c.poison = s, poison
	if poison {
		c.content = rapid.SampledFrom([]string{"poison 1", "poison 2"}).Draw(t, "content")
	}
	w.send(c)
}

// session starts a session or continues one.
func (w *world) session(t *rapid.T) {
	var old []*call
	for _, c := range w.calls {
		if c.chain != nil && c.chain.token != "" {
			old = append(old, c)
		}
	}
	if len(old) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
		w.chat(t, &chain{}, false)
		return
	}
	o := old[rapid.IntRange(0, len(old)-1).Draw(t, "session")]
	c := &call{org: o.org, profile: o.profile, key: w.key(), issued: w.now, chain: o.chain}
	c.content = c.key
	w.calls = append(w.calls, c)
	w.send(c)
}

func (w *world) order1(t *rapid.T) {
	c := w.newCall(t)
	c.order, c.honours = true, rapid.IntRange(0, 3).Draw(t, "honours") == 0
	w.send(c)
}

// again sends a call of before again, as callers do that got no answer.
func (w *world) again(t *rapid.T) {
	if len(w.calls) == 0 {
		return
	}
	c := w.calls[len(w.calls)-1-rapid.IntRange(0, min(5, len(w.calls)-1)).Draw(t, "back")]
	if c.order || w.now.Sub(c.issued) < claim.Window { // from then on, the key of a chat stands for another request
		w.send(c)
	}
}

// operator asks an instance for a change of a version or profile.
func (w *world) operator(t *rapid.T) {
	n := w.nodes[w.pick("slot")]
	if n.dead || w.now.Before(n.paused) {
		return
	}
	n.publish(w.drawChange(t, n.catalog), true)
}

// race lets two operators change one object from the same base.
func (w *world) race(t *rapid.T) {
	ch := w.drawChange(t, w.end())
	for _, n := range w.nodes {
		if !n.dead && !w.now.Before(n.paused) {
			ch.ID = w.name("race")
			n.publish(ch, true)
		}
	}
}

func (w *world) drawChange(t *rapid.T, c *profile.Catalog) record.Change {
	if rapid.IntRange(0, 5).Draw(t, "profile") == 0 {
		allow := rapid.SampledFrom([][]string{{"m@*", "c@*"}, {"m@*"}, {"m@1"}, {"m@2", "c@1"}}).Draw(t, "allow")
		name := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "name")
		ch := profileChange(name, c.Profiles[name].Revision, allow)
		ch.ID = w.name("change")
		return ch
	}
	name := rapid.SampledFrom([]string{"m@1", "m@2", "m@3", "c@1", "c@2"}).Draw(t, "version")
	ch := record.Change{ID: w.name("change"), Name: name, Base: c.Versions[name].Revision, Operator: "o"}
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
