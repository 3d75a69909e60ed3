package loading

import (
	"cmp"
	"slices"
	"time"
)

// Planner derives commands from the reports of engines. It remembers only the commands that it sent, so that it does
// not repeat them too soon.
type Planner struct {
	limits Limits
	sent   map[Command]time.Time // by command with its token cleared: when it was last sent
}

// NewPlanner returns a planner that has sent no command. After an interruption, a new planner continues from the
// reports alone.
func NewPlanner(l Limits) *Planner { return &Planner{limits: l, sent: map[Command]time.Time{}} }

// MarkSent records that a command was sent.
func (p *Planner) MarkSent(now time.Time, c Command) {
	c.Token = 0
	p.sent[c] = now
}

// Plan returns the commands to send now, loads before unloads. A version is unloaded only from an engine that it is not
// assigned to. One that other engines should hold is unloaded only if the engine needs the slot for another version and
// enough other engines have it ready, and a desired one that no engine has to hold only if the engine needs the slot.
func (p *Planner) Plan(now time.Time, desired []DesiredVersion, pool Pool, engines []Engine, token uint64) []Command {
	live := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Leaving })
	slices.SortFunc(live, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	assigned := assignVersions(desired, pool, live)
	var commands []Command
	for _, e := range live {
		if pool.Role != "" && e.Role != pool.Role {
			commands = append(commands, Command{Kind: SetRole, Engine: e.ID, Role: pool.Role})
		}
	}
	commands = append(commands, p.planLoads(desired, pool, live, assigned)...)
	commands = append(commands, planUnloads(desired, pool, live, assigned)...)
	commands = slices.DeleteFunc(commands, func(c Command) bool {
		at, ok := p.sent[c]
		return ok && now.Sub(at) < p.limits.ResendAfter
	})
	for i := range commands {
		commands[i].Token = token
	}
	p.removeExpired(now)
	return commands
}

// assignVersions returns the versions that each engine should hold, at most as many as it has slots.
func assignVersions(desired []DesiredVersion, pool Pool, live []Engine) map[string][]string {
	assigned := map[string][]string{}
	add := func(version string, n int) {
		has := func(e Engine) bool { return slices.Contains(assigned[e.ID], version) }
		full := func(e Engine) bool { return len(assigned[e.ID]) >= pool.SlotsPerEngine }
		eligible := slices.DeleteFunc(slices.Clone(live), func(e Engine) bool { return has(e) || full(e) })
		for id := range selectEngines(version, n, eligible) {
			assigned[id] = append(assigned[id], version)
		}
	}
	// Each version first gets one engine, in the order of the desired versions. The remaining slots go to the versions that belong on
	// the fewest engines first, so that those that belong on every engine take the slots that are left.
	for _, w := range desired {
		add(w.Version, min(1, w.Engines))
	}
	for _, w := range slices.Backward(desired) {
		add(w.Version, w.Engines-1)
	}
	return assigned
}

// planLoads returns the loads of assigned versions, as far as free slots and the limit of simultaneous loads permit.
func (p *Planner) planLoads(desired []DesiredVersion, pool Pool, live []Engine, assigned map[string][]string) []Command {
	loadingCount := 0
	for _, e := range live {
		if len(e.Loading) > 0 {
			loadingCount++
		}
	}
	var commands []Command
	for _, w := range desired {
		for _, e := range live {
			if !slices.Contains(assigned[e.ID], w.Version) || loadRank(e, w.Version) < 2 || len(e.Loading) > 0 {
				continue
			}
			if loadingCount >= p.limits.ConcurrentLoads || len(e.ReadyVersions) >= pool.SlotsPerEngine {
				continue
			}
			loadingCount++
			commands = append(commands, Command{Kind: Load, Engine: e.ID, Version: w.Version})
		}
	}
	return commands
}

// planUnloads returns the unloads of versions that are assigned to no engine, and of versions whose slot is needed for
// an assigned one while enough other engines have them ready. Desired versions that no engine has to hold are unloaded only if
// their slot is needed.
func planUnloads(desired []DesiredVersion, pool Pool, live []Engine, assigned map[string][]string) []Command {
	assignedCount, ready := map[string]int{}, map[string]int{}
	for _, e := range live {
		for _, v := range assigned[e.ID] {
			assignedCount[v]++
		}
		for _, v := range e.ReadyVersions {
			ready[v]++
		}
	}
	var commands []Command
	for _, e := range live {
		missing := slices.ContainsFunc(assigned[e.ID], func(v string) bool { return loadRank(e, v) == 2 })
		for _, v := range e.ReadyVersions {
			surplus := ready[v] > assignedCount[v]
			if slices.Contains(assigned[e.ID], v) || (assignedCount[v] > 0 && !surplus) {
				continue
			}
			// A version left here by an earlier assignment, but still assigned to other engines, is unloaded only if its
			// slot is needed.
			slotNeeded := missing && len(e.ReadyVersions) >= pool.SlotsPerEngine
			if (assignedCount[v] > 0 || slices.Contains(desired, DesiredVersion{Version: v})) && !slotNeeded {
				continue
			}
			ready[v]--
			commands = append(commands, Command{Kind: Unload, Engine: e.ID, Version: v})
		}
	}
	return commands
}

// removeExpired drops the commands that may be sent again.
func (p *Planner) removeExpired(now time.Time) {
	for c, at := range p.sent {
		if now.Sub(at) >= p.limits.ResendAfter {
			delete(p.sent, c)
		}
	}
}
