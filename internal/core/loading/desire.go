package loading

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
)

// Role is what an engine does in its pool.
type Role string

// Pool is a set of engines that serve the same models.
type Pool struct {
	Name   string
	Models []string
	Role   Role // of every engine; empty if engines have no roles
	Slots  int  // versions that an engine holds at once
	Spare  int  // engines that keep an older active version for its sessions
}

// Want is how many engines of a pool shall hold a version.
type Want struct {
	Version string
	Engines int
}

// Desire returns the wanted versions of a pool of the given number of engines, the most wanted first.
// The current version of a model is wanted on every engine, a version in roll-out on its share of them, and an older
// active one on a few, because sessions stay on it.
func Desire(c *profile.Catalog, p Pool, engines int) []Want {
	var l []Want
	for _, m := range p.Models {
		current := newest(c, m)
		for name, v := range c.Versions {
			if profile.Model(name) != m || !v.Runnable() {
				continue
			}
			w := Want{Version: name, Engines: min(engines, p.Spare)}
			switch {
			case name == current:
				w.Engines = engines
			case v.State != profile.StateActive:
				w.Engines = max(1, int(math.Ceil(v.Stages[v.Stage].Share*float64(engines))))
			}
			l = append(l, w)
		}
	}
	slices.SortFunc(l, func(a, b Want) int {
		return cmp.Or(cmp.Compare(b.Engines, a.Engines), cmp.Compare(a.Version, b.Version))
	})
	return l
}

func newest(c *profile.Catalog, model string) string {
	var name string
	for n, v := range c.Versions {
		if profile.Model(n) == model && v.State == profile.StateActive &&
			(name == "" || v.Activated > c.Versions[name].Activated) {
			name = n
		}
	}
	return name
}

// Engine is what an engine last reported.
type Engine struct {
	ID       string
	Role     Role
	Versions []string // loaded and ready
	Loading  []string
	Leaving  bool
}

// place returns the engines that shall hold a version: those that hold it, then by rendezvous hashing.
// The choice depends on the reports alone, so every holder of the lease makes the same one.
func place(version string, n int, engines []Engine) map[string]bool {
	l := slices.Clone(engines)
	slices.SortFunc(l, func(a, b Engine) int {
		return cmp.Or(
			cmp.Compare(rankOf(a, version), rankOf(b, version)),
			cmp.Compare(score(version, a.ID), score(version, b.ID)),
			cmp.Compare(a.ID, b.ID))
	})
	out := map[string]bool{}
	for _, e := range l[:max(0, min(n, len(l)))] {
		out[e.ID] = true
	}
	return out
}

func rankOf(e Engine, version string) int {
	switch {
	case slices.Contains(e.Versions, version):
		return 0
	case slices.Contains(e.Loading, version):
		return 1
	}
	return 2
}

func score(version, id string) uint64 { return xxhash.Sum64String(version + "\x00" + id) }

// Kind names what a command makes an engine do.
type Kind string

// Kinds of command.
const (
	Load    Kind = "load"
	Unload  Kind = "unload"
	SetRole Kind = "role"
)

// Command is idempotent: an engine that is in the stated state already does nothing.
type Command struct {
	Kind    Kind
	Engine  string
	Version string // for Load and Unload
	Role    Role   // for SetRole
	Token   uint64 // fencing token of the lease
}

// Limits bound the disturbance that a plan causes at once.
type Limits struct {
	Loads  int           // engines of a pool that load at once
	Repeat time.Duration // until a command whose effect is not reported is sent again
}
