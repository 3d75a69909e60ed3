package session

import (
	"slices"

	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
)

// Outcome tells what becomes of a session's version.
type Outcome string

// Outcomes of Resolve.
const (
	OutcomeNew     Outcome = "new"     // there is no earlier version to keep
	OutcomeKept    Outcome = "kept"    // the request runs on Pin.Version
	OutcomeMoved   Outcome = "moved"   // the session needs another version; Pin.Reason says why
	OutcomeRefused Outcome = "refused" // the organisation may not use the profile
)

// Reason tells why a session leaves its version.
type Reason string

// Reasons to move a session; there are no others.
const (
	ReasonWithdrawn      Reason = "withdrawn"
	ReasonHalted         Reason = "halted"
	ReasonNotPermitted   Reason = "not-permitted"   // the profile no longer lists the version
	ReasonProfileChanged Reason = "profile-changed" // the session asks under a profile that does not list the version
)

// Pin is the version on which a request of a session must run.
type Pin struct {
	Outcome  Outcome
	Version  string // version to run on, set only when the outcome is kept
	Revision uint64 // catalog revision at which the session started, set only when the outcome is kept
	From     string // version that the session leaves, set only when the outcome is moved
	Reason   Reason
}

// Resolve decides whether a session keeps its version; a nil token starts a new session.
// The token must come from Verify. A session moves only when the catalog allows no new work on its version.
func Resolve(c *profile.Catalog, organisation, name string, t *Token) Pin {
	if _, ok := c.Profiles[name]; !ok || !slices.Contains(c.Organisations[organisation].Profiles, name) {
		return Pin{Outcome: OutcomeRefused}
	}
	if t == nil || t.Organisation != organisation || t.Version == "" {
		return Pin{Outcome: OutcomeNew}
	}
	if c.Allows(name, t.Version) {
		return Pin{Outcome: OutcomeKept, Version: t.Version, Revision: t.Revision}
	}
	return Pin{Outcome: OutcomeMoved, From: t.Version, Reason: reason(c, name, t)}
}

// reason explains why the catalog allows no new work on the token's version.
// The state of the version comes first: it holds under every profile.
func reason(c *profile.Catalog, name string, t *Token) Reason {
	switch c.Versions[t.Version].State {
	case profile.StateWithdrawn:
		return ReasonWithdrawn
	case profile.StateHalted:
		return ReasonHalted
	}
	if name != t.Profile && !c.IsListed(name, t.Version) {
		return ReasonProfileChanged
	}
	if !c.IsListed(name, t.Version) {
		return ReasonNotPermitted
	}
	return ReasonHalted // listed but not runnable: paused out of service
}
