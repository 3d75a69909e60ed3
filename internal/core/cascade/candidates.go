package cascade

import (
	"math/bits"
	"slices"
	"strconv"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
)

// RequestClass returns the request class of a prompt, which consists of the profile and the prompt length in powers of four.
// The ranges are wide enough to give each class sufficient observations, while cost
// and latency vary by at most a factor of four within one.
func RequestClass(profile string, inputTokens int) string {
	var b [64]byte
	l := append(b[:0], profile...)
	l = append(l, '/')
	l = strconv.AppendInt(l, int64(bits.Len(uint(max(0, inputTokens)))/2), 10)
	return string(l)
}

// Candidates returns the versions that a profile allows at present, without duplicates and in the order of the profile.
// The result depends only on the catalog, so that callers can cache it until the catalog changes.
func Candidates(c *config.Catalog, name string) []Candidate {
	var l []Candidate
	for _, h := range c.ModelVersions(name) {
		for _, version := range []string{h.Current, h.Canary} {
			listed := slices.ContainsFunc(l, func(o Candidate) bool { return o.Version == version })
			if version != "" && !listed && c.IsAllowed(name, version) {
				l = append(l, newCandidate(c.Versions[version]))
			}
		}
	}
	markSafe(l, c, c.Profiles[name].Safe)
	return l
}

// PinnedCandidates returns the only candidate of a session that keeps its version, or none if the profile does not allow the
// version at present. Candidates may lack the version, since a session also keeps an active version that is not the newest.
func PinnedCandidates(c *config.Catalog, name, version string) []Candidate {
	if !c.IsAllowed(name, version) {
		return nil
	}
	return []Candidate{newCandidate(c.Versions[version])}
}

func newCandidate(v config.Version) Candidate {
	d := Candidate{Version: v.Name, Model: config.ModelName(v.Name), Price: v.Price, Prior: v.Prior}
	if v.State != config.StateActive && len(v.Stages) > 0 {
		d.Canary, d.CanaryShare = true, v.Stages[v.Stage].Share
	}
	return d
}

// markSafe marks the safe version of the profile, which is the given version or the newest active one of a model.
func markSafe(l []Candidate, c *config.Catalog, safe string) {
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
		// A version that the operator declares safe needs no canary stage, even during its roll-out.
		l[at].Safe, l[at].Canary = true, false
	}
}
