package profile

import (
	"maps"
	"slices"
	"strings"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Choice is the set of runnable versions of one model that a profile allows to a new session.
type Choice struct {
	Model   string
	Current string  // newest active version, or the version that the profile names; empty if none runs
	Canary  string  // version being rolled out; empty if there is none
	Share   float64 // share of new sessions that go to the canary
}

// Pick returns the version for a new session; draw is a random number in [0, 1).
func (h Choice) Pick(draw float64) string {
	if h.Canary != "" && (draw < h.Share || h.Current == "") {
		return h.Canary
	}
	return h.Current
}

// Organisation returns the organisation that owns the API key with the given hash.
func (c *Catalog) Organisation(keyHash string) (Organisation, bool) {
	n, ok := c.keys[keyHash]
	if !ok {
		return Organisation{}, false
	}
	return c.Organisations[n], true
}

// Choices returns the runnable versions of each model that a profile allows, in the profile's order.
func (c *Catalog) Choices(profile string) []Choice { return c.choices[profile] }

// Allows reports whether a profile allows new work on a version now.
func (c *Catalog) Allows(profile, version string) bool {
	v, ok := c.Versions[version]
	if !ok || !v.Runnable() {
		return false
	}
	return c.Permits(profile, version)
}

// Permits reports whether a profile lists a version, whatever the version's state.
func (c *Catalog) Permits(profile, version string) bool {
	for _, a := range c.Profiles[profile].Allow {
		if matches(a, version) {
			return true
		}
	}
	return false
}

// matches reports whether an entry of Allow ("model@version" or "model@*") covers a version.
func matches(allow, version string) bool {
	if m, ok := strings.CutSuffix(allow, "@*"); ok {
		return Model(version) == m
	}
	return allow == version
}

func (c *Catalog) index() {
	c.keys = make(map[string]string, len(c.Organisations))
	for n, o := range c.Organisations {
		for _, k := range o.KeyHashes {
			c.keys[k] = n
		}
	}
	c.choices = make(map[string][]Choice, len(c.Profiles))
	for n, p := range c.Profiles {
		c.choices[n] = c.choose(p.Profile)
	}
}

func (c *Catalog) choose(p record.Profile) []Choice {
	var l []Choice
	for _, a := range p.Allow {
		h := c.choice(a)
		if h.Current != "" || h.Canary != "" {
			l = append(l, h)
		}
	}
	return l
}

func (c *Catalog) choice(allow string) Choice {
	if !strings.HasSuffix(allow, "@*") {
		h := Choice{Model: Model(allow)}
		if v, ok := c.Versions[allow]; ok && v.Runnable() {
			h.Current = allow
		}
		return h
	}
	h := Choice{Model: strings.TrimSuffix(allow, "@*")}
	for _, n := range slices.Sorted(maps.Keys(c.Versions)) {
		v := c.Versions[n]
		if Model(n) != h.Model || !v.Runnable() {
			continue
		}
		if v.State == StateActive {
			if h.Current == "" || v.Activated > c.Versions[h.Current].Activated {
				h.Current = n
			}
			continue
		}
		h.Canary, h.Share = n, v.Stages[v.Stage].Share
	}
	return h
}
