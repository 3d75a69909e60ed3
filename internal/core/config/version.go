package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// allowedFrom lists the states of a version in which each kind of change is allowed.
var allowedFrom = map[record.Kind][]State{
	record.VersionRollOut:  {StateAdded, StateActive, StateHalted, StatePaused},
	record.VersionAdvance:  {StateRollingOut},
	record.VersionPause:    {StateRollingOut},
	record.VersionResume:   {StatePaused, StateHalted},
	record.VersionHalt:     {StateRollingOut, StatePaused, StateActive},
	record.VersionWithdraw: {StateAdded, StateRollingOut, StatePaused, StateActive, StateHalted},
}

// changeVersion validates a change of a version and applies it.
func (c *Catalog) changeVersion(ch record.Change) error {
	op := string(ch.Kind)
	v, known := c.Versions[ch.Name]
	if ch.Kind == record.VersionAdd {
		if known {
			return newError(op, ErrWrongState, "version %s exists", ch.Name)
		}
		if err := validateVersion(ch); err != nil {
			return err
		}
		c.setVersion(Version{Version: *ch.Version, State: StateAdded})
		return nil
	}
	states, ok := allowedFrom[ch.Kind]
	switch {
	case !ok:
		return newError(op, ErrInvalid, "unknown kind")
	case !known:
		return newError(op, ErrInvalid, "version %s is unknown", ch.Name)
	case !slices.Contains(states, v.State):
		return newError(op, ErrWrongState, "version %s is %s", ch.Name, v.State)
	}
	if err := c.transition(&v, ch); err != nil {
		return err
	}
	v.Reason = ch.Reason
	c.setVersion(v)
	return nil
}

// transition applies a change to the state and stage of a version.
func (c *Catalog) transition(v *Version, ch record.Change) error {
	switch ch.Kind {
	case record.VersionRollOut:
		return c.startRollOut(v, ch)
	case record.VersionAdvance:
		if ch.Stage != v.Stage+1 {
			return newError(string(ch.Kind), ErrWrongState, "stage %d follows %d", ch.Stage, v.Stage)
		}
		v.Stage = ch.Stage
		if v.Stage >= len(v.Stages) {
			c.activate(v)
		}
	case record.VersionPause:
		v.State, v.ResumeState = StatePaused, v.State
	case record.VersionHalt:
		if v.State != StatePaused {
			v.ResumeState = v.State
		}
		v.State = StateHalted
	case record.VersionResume:
		v.State, v.ResumeState = v.ResumeState, ""
	case record.VersionWithdraw:
		v.State, v.ResumeState = StateWithdrawn, ""
	}
	return nil
}

// startRollOut starts a roll-out, or activates the version if the roll-out has no stages.
func (c *Catalog) startRollOut(v *Version, ch record.Change) error {
	if ch.RollOut == nil {
		return newError(string(ch.Kind), ErrInvalid, "no roll-out given")
	}
	if err := validateStages(ch.RollOut.Stages); err != nil {
		return err
	}
	for _, o := range c.Versions {
		rolling := o.State == StateRollingOut || (o.State == StatePaused && o.ResumeState == StateRollingOut)
		if o.Name != v.Name && rolling && ModelName(o.Name) == ModelName(v.Name) {
			return newError(string(ch.Kind), ErrWrongState, "roll-out of %s is under way", o.Name)
		}
	}
	v.Stages, v.Stage, v.ResumeState = ch.RollOut.Stages, 0, ""
	if len(v.Stages) == 0 {
		c.activate(v)
		return nil
	}
	v.State = StateRollingOut
	return nil
}

// activate marks a version as active and ends its roll-out.
func (c *Catalog) activate(v *Version) {
	v.State, v.Activated = StateActive, c.LastRevision()
	v.Stages, v.Stage = nil, 0
}

// setVersion stores a version with a new revision in a copy of the map.
func (c *Catalog) setVersion(v Version) {
	v.Revision = c.LastRevision()
	c.Versions = maps.Clone(c.Versions)
	c.Versions[v.Name] = v
}

// Runnable reports whether new requests may run on the version.
func (v Version) Runnable() bool {
	return v.State == StateRollingOut || v.State == StateActive ||
		(v.State == StatePaused && v.ResumeState == StateRollingOut)
}

// ModelName returns the model part of a version's name.
func ModelName(version string) string {
	m, _, _ := strings.Cut(version, "@")
	return m
}
