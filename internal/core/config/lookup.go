package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// ModelVersions holds the runnable versions of a model that a profile allows for a new session.
type ModelVersions struct {
	Model       string
	Current     string  // newest active version, or the version that the profile lists; empty if none is runnable
	Canary      string  // version in a roll-out; empty if there is none
	CanaryShare float64 // share of new sessions that run on the canary
}

// Pick returns the version for a new session; draw is a random number in [0, 1).
func (m ModelVersions) Pick(draw float64) string {
	if m.Canary != "" && (draw < m.CanaryShare || m.Current == "") {
		return m.Canary
	}
	return m.Current
}

// OrganisationByKeyHash returns the organisation that owns the API key with the given hash.
func (c *Catalog) OrganisationByKeyHash(keyHash string) (Organisation, bool) {
	name, ok := c.organisationByKey[keyHash]
	if !ok {
		return Organisation{}, false
	}
	return c.Organisations[name], true
}

// ModelVersions returns the runnable versions of each model that a profile allows, in the order of the profile.
func (c *Catalog) ModelVersions(profile string) []ModelVersions { return c.modelsByProfile[profile] }

// IsAllowed reports whether a profile lists a version and the version is runnable.
func (c *Catalog) IsAllowed(profile, version string) bool {
	v, ok := c.Versions[version]
	if !ok || !v.Runnable() {
		return false
	}
	return c.IsListed(profile, version)
}

// IsListed reports whether a profile lists a version, regardless of the state of the version.
func (c *Catalog) IsListed(profile, version string) bool {
	for _, allow := range c.Profiles[profile].Allow {
		if MatchesAllow(allow, version) {
			return true
		}
	}
	return false
}

// MatchesAllow reports whether an entry of Profile.Allow ("model@version" or "model@*") includes a version.
func MatchesAllow(allow, version string) bool {
	if model, ok := strings.CutSuffix(allow, "@*"); ok {
		return ModelName(version) == model
	}
	return allow == version
}

// buildIndexes computes the lookup tables for API keys and for the runnable versions of profiles.
func (c *Catalog) buildIndexes() {
	c.organisationByKey = make(map[string]string, len(c.Organisations))
	for n, o := range c.Organisations {
		for _, k := range o.KeyHashes {
			c.organisationByKey[k] = n
		}
	}
	c.modelsByProfile = make(map[string][]ModelVersions, len(c.Profiles))
	for n, p := range c.Profiles {
		c.modelsByProfile[n] = c.resolveProfile(p.Profile)
	}
}

// resolveProfile returns the runnable versions of each entry of Profile.Allow that has any.
func (c *Catalog) resolveProfile(p record.Profile) []ModelVersions {
	var l []ModelVersions
	for _, allow := range p.Allow {
		m := c.resolveEntry(allow)
		if m.Current != "" || m.Canary != "" {
			l = append(l, m)
		}
	}
	return l
}

// resolveEntry returns the runnable versions of an entry of Profile.Allow.
func (c *Catalog) resolveEntry(allow string) ModelVersions {
	if !strings.HasSuffix(allow, "@*") {
		m := ModelVersions{Model: ModelName(allow)}
		if v, ok := c.Versions[allow]; ok && v.Runnable() {
			m.Current = allow
		}
		return m
	}
	m := ModelVersions{Model: strings.TrimSuffix(allow, "@*")}
	for _, n := range slices.Sorted(maps.Keys(c.Versions)) {
		v := c.Versions[n]
		if ModelName(n) != m.Model || !v.Runnable() {
			continue
		}
		if v.State == StateActive {
			if m.Current == "" || v.Activated > c.Versions[m.Current].Activated {
				m.Current = n
			}
			continue
		}
		m.Canary, m.CanaryShare = n, v.Stages[v.Stage].Share
	}
	return m
}
