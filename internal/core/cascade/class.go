package cascade

import (
	"math/bits"
	"slices"
	"strconv"

	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
)

// Class returns the request class of a prompt: the profile and the prompt's size by powers of four.
// Powers of four keep classes large enough to learn from; cost and latency vary by at most four within one.
func Class(profile string, inputTokens int) string {
	var b [64]byte
	l := append(b[:0], profile...)
	l = append(l, '/')
	l = strconv.AppendInt(l, int64(bits.Len(uint(max(0, inputTokens)))/2), 10)
	return string(l)
}

// Candidates returns the versions that a profile allows now, each once, in the profile's order.
// The result depends on the catalog only; callers keep it until the catalog changes.
func Candidates(c *profile.Catalog, name string) []Candidate {
	var l []Candidate
	for _, h := range c.Choices(name) {
		for _, version := range []string{h.Current, h.Canary} {
			known := slices.ContainsFunc(l, func(o Candidate) bool { return o.Version == version })
			if version != "" && !known && c.Allows(name, version) {
				l = append(l, candidate(c.Versions[version]))
			}
		}
	}
	markSafe(l, c, c.Profiles[name].Safe)
	return l
}

// Pinned returns the one candidate of a session that keeps a version, or none if the profile does not allow it now.
// The version need not be among Candidates: a session also keeps an active version that is no longer the newest.
func Pinned(c *profile.Catalog, name, version string) []Candidate {
	if !c.Allows(name, version) {
		return nil
	}
	return []Candidate{candidate(c.Versions[version])}
}

func candidate(v profile.Version) Candidate {
	d := Candidate{Version: v.Name, Model: profile.Model(v.Name), Price: v.Price, Prior: v.Prior}
	if v.State != profile.StateActive && len(v.Stages) > 0 {
		d.Canary, d.Share = true, v.Stages[v.Stage].Share
	}
	return d
}

// markSafe marks the profile's safe version: the named one, or the newest active one of the named model.
func markSafe(l []Candidate, c *profile.Catalog, safe string) {
	at := -1
	for i, d := range l {
		switch {
		case d.Version == safe:
			at = i
		case d.Canary || d.Model+"@*" != safe:
		case at < 0 || c.Versions[d.Version].Activated > c.Versions[l[at].Version].Activated:
			at = i
		}
	}
	if at >= 0 {
		// An operator who names a version as safe vouches for it, also while it is rolled out.
		l[at].Safe, l[at].Canary = true, false
	}
}
