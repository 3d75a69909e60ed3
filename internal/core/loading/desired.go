package loading

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
)

// Role is the function of an engine in its pool, such as prefill or decode.
type Role string

// Pool is a set of engines that serve the same models.
type Pool struct {
	Name              string
	Models            []string
	Role              Role // role of every engine; empty if engines have no roles
	SlotsPerEngine    int  // number of versions that an engine can hold at once
	OldVersionEngines int  // number of engines that keep an older active version for its sessions
}

// DesiredVersion is the number of engines of a pool that should hold a version.
type DesiredVersion struct {
	Version string
	Engines int // 0 keeps the version where it is loaded, as far as its slots are not needed
}

// DesiredVersions returns the versions that a pool of the given number of engines should hold, those on most engines first.
// The current version of a model belongs on every engine, a version in roll-out on its share of them, and an older
// active version on Pool.OldVersionEngines of them, because sessions stay on it. No engine has to hold a version that was only added,
// but those that do may keep it: if they unloaded it, its roll-out would begin without an engine.
func DesiredVersions(c *config.Catalog, p Pool, engines int) []DesiredVersion {
	var desired []DesiredVersion
	for _, m := range p.Models {
		current := newestActive(c, m)
		for name, v := range c.Versions {
			if config.ModelName(name) != m || (!v.Runnable() && v.State != config.StateAdded) {
				continue
			}
			w := DesiredVersion{Version: name, Engines: min(engines, p.OldVersionEngines)}
			switch {
			case v.State == config.StateAdded:
				w.Engines = 0
			case name == current:
				w.Engines = engines
			case v.State != config.StateActive:
				w.Engines = max(1, int(math.Ceil(v.Stages[v.Stage].Share*float64(engines))))
			}
			desired = append(desired, w)
		}
	}
	slices.SortFunc(desired, func(a, b DesiredVersion) int {
		return cmp.Or(cmp.Compare(b.Engines, a.Engines), cmp.Compare(a.Version, b.Version))
	})
	return desired
}

// newestActive returns the active version of a model that was activated last, or "".
func newestActive(c *config.Catalog, model string) string {
	var name string
	for n, v := range c.Versions {
		if config.ModelName(n) == model && v.State == config.StateActive &&
			(name == "" || v.Activated > c.Versions[name].Activated) {
			name = n
		}
	}
	return name
}

// Engine is the last report of an engine.
type Engine struct {
	ID            string
	Role          Role
	ReadyVersions []string // loaded and ready
	Loading       []string // being loaded
	Leaving       bool     // the engine is about to stop
}

// selectEngines returns the ids of n engines that should hold a version. It prefers engines that have the version, then
// those that are loading it, and orders the others by rendezvous hashing. The choice depends on the reports only, so
// each holder of the lease makes the same one.
func selectEngines(version string, n int, engines []Engine) map[string]bool {
	ranked := slices.Clone(engines)
	slices.SortFunc(ranked, func(a, b Engine) int {
		return cmp.Or(
			cmp.Compare(loadRank(a, version), loadRank(b, version)),
			cmp.Compare(rendezvousHash(version, a.ID), rendezvousHash(version, b.ID)),
			cmp.Compare(a.ID, b.ID))
	})
	ids := map[string]bool{}
	for _, e := range ranked[:max(0, min(n, len(ranked)))] {
		ids[e.ID] = true
	}
	return ids
}

// loadRank orders engines by how far they are with a version: 0 ready, 1 loading, 2 absent.
func loadRank(e Engine, version string) int {
	switch {
	case slices.Contains(e.ReadyVersions, version):
		return 0
	case slices.Contains(e.Loading, version):
		return 1
	}
	return 2
}

// rendezvousHash returns the weight of an engine for a version; the lowest weights are chosen first.
func rendezvousHash(version, id string) uint64 { return xxhash.Sum64String(version + "\x00" + id) }

// Kind is the operation that a command requests from an engine.
type Kind string

// Kinds of command.
const (
	Load    Kind = "load"
	Unload  Kind = "unload"
	SetRole Kind = "role"
)

// Command tells an engine to load or unload a version or to take a role. It is idempotent: an engine already in the
// requested state does nothing.
type Command struct {
	Kind    Kind
	Engine  string
	Version string // for Load and Unload
	Role    Role   // for SetRole
	Token   uint64 // fencing token of the lease that the sender holds
}

// Limits bounds the load that plans put on a pool.
type Limits struct {
	ConcurrentLoads int           // number of engines that may load at the same time
	ResendAfter     time.Duration // time before a command is sent again if no report shows its effect
}
