package loading

import (
	"cmp"
	"slices"
	"time"
)

// Planner derives commands from reports; its memory only keeps it from repeating commands too soon.
type Planner struct {
	limits Limits
	sent   map[Command]time.Time // without tokens
}

// NewPlanner returns a planner that has sent nothing; after an interruption a new one resumes from the reports.
func NewPlanner(l Limits) *Planner { return &Planner{limits: l, sent: map[Command]time.Time{}} }

// Sent remembers that a command was sent.
func (p *Planner) Sent(now time.Time, c Command) {
	c.Token = 0
	p.sent[c] = now
}

// Plan returns the commands that are due. Loads come before unloads; a version is unloaded only when it is wanted
// nowhere on the engine, and never to make room while its replacement is not ready elsewhere.
func (p *Planner) Plan(now time.Time, wants []Want, pool Pool, engines []Engine, token uint64) []Command {
	live := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Leaving })
	slices.SortFunc(live, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	target := assign(wants, pool, live)
	var l []Command
	for _, e := range live {
		if pool.Role != "" && e.Role != pool.Role {
			l = append(l, Command{Kind: SetRole, Engine: e.ID, Role: pool.Role})
		}
	}
	l = append(l, p.loads(wants, pool, live, target)...)
	l = append(l, unloads(pool, live, target)...)
	l = slices.DeleteFunc(l, func(c Command) bool {
		at, ok := p.sent[c]
		return ok && now.Sub(at) < p.limits.Repeat
	})
	for i := range l {
		l[i].Token = token
	}
	p.forget(now)
	return l
}

// assign returns the versions that each engine shall hold, at most as many as it has slots.
func assign(wants []Want, pool Pool, live []Engine) map[string][]string {
	target := map[string][]string{}
	add := func(version string, n int) {
		has := func(e Engine) bool { return slices.Contains(target[e.ID], version) }
		full := func(e Engine) bool { return len(target[e.ID]) >= pool.Slots }
		room := slices.DeleteFunc(slices.Clone(live), func(e Engine) bool { return has(e) || full(e) })
		for id := range place(version, n, room) {
			target[id] = append(target[id], version)
		}
	}
	// Every version gets an engine, the current one first. Of the rest, versions that few engines hold choose first
	// and the ones on every engine take what is left.
	for _, w := range wants {
		add(w.Version, min(1, w.Engines))
	}
	for _, w := range slices.Backward(wants) {
		add(w.Version, w.Engines-1)
	}
	return target
}

func (p *Planner) loads(wants []Want, pool Pool, live []Engine, target map[string][]string) []Command {
	busy := 0
	for _, e := range live {
		if len(e.Loading) > 0 {
			busy++
		}
	}
	var l []Command
	for _, w := range wants {
		for _, e := range live {
			if !slices.Contains(target[e.ID], w.Version) || rankOf(e, w.Version) < 2 || len(e.Loading) > 0 {
				continue
			}
			if busy >= p.limits.Loads || len(e.Versions) >= pool.Slots {
				continue
			}
			busy++
			l = append(l, Command{Kind: Load, Engine: e.ID, Version: w.Version})
		}
	}
	return l
}

// unloads removes what is not wanted at all, and at most one version a time to make room for a wanted one.
func unloads(pool Pool, live []Engine, target map[string][]string) []Command {
	wanted, ready := map[string]int{}, map[string]int{}
	for _, e := range live {
		for _, v := range target[e.ID] {
			wanted[v]++
		}
		for _, v := range e.Versions {
			ready[v]++
		}
	}
	var l []Command
	for _, e := range live {
		missing := slices.ContainsFunc(target[e.ID], func(v string) bool { return rankOf(e, v) == 2 })
		for _, v := range e.Versions {
			surplus := ready[v] > wanted[v]
			if slices.Contains(target[e.ID], v) || (wanted[v] > 0 && !surplus) {
				continue
			}
			// A wanted version that is here by an earlier choice goes only when its slot is needed.
			if wanted[v] > 0 && (!missing || len(e.Versions) < pool.Slots) {
				continue
			}
			ready[v]--
			l = append(l, Command{Kind: Unload, Engine: e.ID, Version: v})
		}
	}
	return l
}

func (p *Planner) forget(now time.Time) {
	for c, at := range p.sent {
		if now.Sub(at) >= p.limits.Repeat {
			delete(p.sent, c)
		}
	}
}
