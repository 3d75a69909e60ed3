package session

import (
	"slices"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
)

// Outcome tells whether a session keeps its version. ResolvePin returns it as a part of Pin.
type Outcome string

// All outcomes.
const (
	OutcomeNew     Outcome = "new"     // the session starts and has no version yet
	OutcomeKept    Outcome = "kept"    // the session keeps Pin.Version
	OutcomeMoved   Outcome = "moved"   // the session needs another version because of Pin.Reason
	OutcomeRefused Outcome = "refused" // the organisation may not use the profile
)

// Reason is the reason why a session moves to another version.
type Reason string

// All reasons to move a session to another version.
const (
	ReasonWithdrawn      Reason = "withdrawn"
	ReasonHalted         Reason = "halted"
	ReasonNotPermitted   Reason = "not-permitted"   // the profile no longer lists the version
	ReasonProfileChanged Reason = "profile-changed" // the request is under another profile, which does not list the version
)

// Pin is the result of ResolvePin. It binds a request to the version of its session if Outcome is OutcomeKept; otherwise
// the caller chooses a version or refuses the request.
type Pin struct {
	Outcome         Outcome
	Version         string // version to run on; set only if Outcome is OutcomeKept
	Revision        uint64 // catalog revision at which the session started; set only if Outcome is OutcomeKept
	PreviousVersion string // version from which the session moves; set only if Outcome is OutcomeMoved
	Reason          Reason // set only if Outcome is OutcomeMoved
}

// ResolvePin determines the version of a session from its token, which must come from Verify. A new session starts if
// the token is nil, belongs to another organisation or has no version. A session moves to another version only if the
// catalog does not allow requests on its own version, that is, if the profile does not list the version or the version
// is not runnable.
func ResolvePin(c *config.Catalog, organisation, profileName string, t *Token) Pin {
	if _, ok := c.Profiles[profileName]; !ok || !slices.Contains(c.Organisations[organisation].Profiles, profileName) {
		return Pin{Outcome: OutcomeRefused}
	}
	if t == nil || t.Organisation != organisation || t.Version == "" {
		return Pin{Outcome: OutcomeNew}
	}
	if c.IsAllowed(profileName, t.Version) {
		return Pin{Outcome: OutcomeKept, Version: t.Version, Revision: t.Revision}
	}
	return Pin{Outcome: OutcomeMoved, PreviousVersion: t.Version, Reason: moveReason(c, profileName, t)}
}

// moveReason returns the reason why IsAllowed is false for the version of a token. The state of the version comes first,
// since it applies to every profile. IsListed ignores the state, so it tells whether the profile is the reason.
func moveReason(c *config.Catalog, profileName string, t *Token) Reason {
	switch c.Versions[t.Version].State {
	case config.StateWithdrawn:
		return ReasonWithdrawn
	case config.StateHalted:
		return ReasonHalted
	}
	if profileName != t.Profile && !c.IsListed(profileName, t.Version) {
		return ReasonProfileChanged
	}
	if !c.IsListed(profileName, t.Version) {
		return ReasonNotPermitted
	}
	// The version is listed but not runnable, for example because it was paused while active. A version that is paused
	// during its roll-out stays runnable.
	return ReasonHalted
}
