package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// maxHistory is the greatest number of revisions kept for each object.
const maxHistory = 20

// State is the state of a version in its life cycle.
type State string

// States of a version.
const (
	StateAdded      State = "added"
	StateRollingOut State = "rolling-out"
	StatePaused     State = "paused"
	StateActive     State = "active"
	StateHalted     State = "halted"
	StateWithdrawn  State = "withdrawn"
)

// Revised holds the revision of an object, which is the position after the record that last changed it; see Position.
type Revised struct {
	Revision uint64 `json:"revision"`
}

// Organisation is a published organisation.
type Organisation struct {
	record.Organisation
	Revised
}

// Profile is a published profile.
type Profile struct {
	record.Profile
	Revised
}

// Version is a version with its state and its progress in a roll-out.
type Version struct {
	record.Version
	Revised
	State       State          `json:"state"`
	Stages      []record.Stage `json:"stages,omitempty"`
	Stage       int            `json:"stage,omitempty"`
	Activated   uint64         `json:"activated,omitempty"` // revision at which the version last became active
	ResumeState State          `json:"resume,omitempty"`    // state that a resume after a pause or halt restores
	Reason      string         `json:"reason,omitempty"`
}

// Revision is one accepted change of an object.
type Revision struct {
	Revision uint64      `json:"revision"`
	Kind     record.Kind `json:"kind"`
	Operator string      `json:"operator"`
	Reason   string      `json:"reason,omitempty"`
	Time     time.Time   `json:"time"`
	ID       string      `json:"id"`
}

// Catalog is the configuration after all records with offsets below Next. A published catalog is never modified.
type Catalog struct {
	Next              uint64                  `json:"next"`
	Era               uint64                  `json:"era,omitempty"` // the log's era in which Next is a position
	NextAfterSnapshot uint64                  `json:"-"`             // offset of the latest snapshot record, plus one
	SnapshotTime      time.Time               `json:"-"`             // log time of that record, or of the first record if there is no snapshot
	Organisations     map[string]Organisation `json:"organisations"`
	Profiles          map[string]Profile      `json:"profiles"`
	Versions          map[string]Version      `json:"versions"`
	Zones             map[string]Zone         `json:"zones"` // availability zones that were ever evacuated
	History           map[string][]Revision   `json:"history"`

	recordEra         uint64            // the log's era at the append of the record that was applied last
	organisationByKey map[string]string // by hash of the API key
	modelsByProfile   map[string][]ModelVersions
}

// NewCatalog returns an empty catalog, to which the record at offset 0 can be applied.
func NewCatalog() *Catalog {
	c := &Catalog{
		Organisations: map[string]Organisation{},
		Profiles:      map[string]Profile{},
		Versions:      map[string]Version{},
		Zones:         map[string]Zone{},
		History:       map[string][]Revision{},
	}
	c.buildIndexes()
	return c
}

// RestoreCatalog returns the catalog stored in a snapshot record.
func RestoreCatalog(ch record.Change) (*Catalog, error) {
	c := NewCatalog()
	if err := json.Unmarshal(ch.State, c); err != nil {
		return nil, newError("restore", ErrInvalid, "snapshot: %w", err)
	}
	if c.Next != ch.Covers {
		return nil, newError("restore", ErrInvalid, "snapshot covers %d, its state %d", ch.Covers, c.Next)
	}
	c.buildIndexes()
	return c, nil
}

// Snapshot returns a record with the state of the catalog, from which a new reader can start at the offset Next.
func (c *Catalog) Snapshot(id string) (record.Change, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return record.Change{}, newError("snapshot", ErrInvalid, "%w", err)
	}
	return record.Change{ID: id, Kind: record.SnapshotWritten, Covers: c.Next, State: b}, nil
}

// Apply applies the record at an offset and returns the next catalog. An *Error of a kind other than ErrGap means that
// every reader refuses the change, and the returned catalog has moved past the offset. A record below Next was applied
// before, and the catalog is returned unchanged.
func (c *Catalog) Apply(offset uint64, t time.Time, ch record.Change) (*Catalog, error) {
	if offset < c.Next {
		return c, nil
	}
	if offset > c.Next {
		return c, newError("apply", ErrGap, "offset %d after %d", offset, c.Next)
	}
	n := *c
	n.Next = offset + 1
	if ch.Kind == record.SnapshotWritten {
		n.NextAfterSnapshot, n.SnapshotTime = n.Next, t
		return &n, nil
	}
	if n.SnapshotTime.IsZero() {
		n.SnapshotTime = t
	}
	object, err := n.applyChange(ch)
	if err != nil {
		n = *c
		n.Next = offset + 1
		n.SnapshotTime = t
		if !c.SnapshotTime.IsZero() {
			n.SnapshotTime = c.SnapshotTime
		}
		return &n, err
	}
	n.History = maps.Clone(c.History)
	h := append(slices.Clone(n.History[object]), Revision{n.LastRevision(), ch.Kind, ch.Operator, ch.Reason, t, ch.ID})
	n.History[object] = h[max(0, len(h)-maxHistory):]
	n.buildIndexes()
	return &n, nil
}

// ApplyRecord works like Apply for a record that was appended in an era of the log.
func (c *Catalog) ApplyRecord(era, offset uint64, t time.Time, ch record.Change) (*Catalog, error) {
	if offset < c.Next {
		return c, nil
	}
	n := *c
	n.recordEra = era
	return n.Apply(offset, t, ch)
}

// eraShift is the number of bits of a position that hold an offset.
const eraShift = 40

// Position returns an offset as a number that rises with the log's era, in which an offset may be given out again. In era 0 it is the offset.
func Position(era, offset uint64) uint64 { return era<<eraShift | offset }

// Position returns the position up to which the records are applied.
func (c *Catalog) Position() uint64 { return Position(c.Era, c.Next) }

// LastRevision returns the revision of the record that was applied last, whether or not it changed an object.
func (c *Catalog) LastRevision() uint64 { return Position(c.recordEra, c.Next) }

// HasChange reports whether a change is among the latest ones of its object.
func (c *Catalog) HasChange(object, id string) bool {
	return slices.ContainsFunc(c.History[object], func(r Revision) bool { return r.ID == id })
}

// SkipOffset returns a catalog that has moved past an offset whose record cannot be decoded.
func (c *Catalog) SkipOffset(offset uint64) *Catalog {
	if offset != c.Next {
		return c
	}
	n := *c
	n.Next++
	return &n
}

// ObjectKey returns the key of an object in History.
func ObjectKey(k record.Kind, name string) string {
	class, _, _ := strings.Cut(string(k), "-")
	return class + "/" + name
}

// applyChange validates a change, applies it to c and returns the key of the object. It copies a map before it changes it.
func (c *Catalog) applyChange(ch record.Change) (string, error) {
	object := ObjectKey(ch.Kind, ch.Name)
	if r := c.CurrentRevision(ch); r != ch.Base {
		return object, newError(string(ch.Kind), ErrStaleBase, "%s is at revision %d, base is %d", object, r, ch.Base)
	}
	switch ch.Kind {
	case record.OrganisationPublish:
		if err := validateOrganisation(ch); err != nil {
			return object, err
		}
		c.Organisations = maps.Clone(c.Organisations)
		c.Organisations[ch.Name] = Organisation{*ch.Organisation, Revised{c.LastRevision()}}
	case record.ProfilePublish:
		if err := validateProfile(ch); err != nil {
			return object, err
		}
		c.Profiles = maps.Clone(c.Profiles)
		c.Profiles[ch.Name] = Profile{*ch.Profile, Revised{c.LastRevision()}}
	case record.ZoneEvacuate, record.ZoneRestore:
		return object, c.changeZone(ch)
	default:
		return object, c.changeVersion(ch)
	}
	return object, nil
}

// CurrentRevision returns the revision of the object that a change is for.
func (c *Catalog) CurrentRevision(ch record.Change) uint64 {
	switch ch.Kind {
	case record.OrganisationPublish:
		return c.Organisations[ch.Name].Revision
	case record.ProfilePublish:
		return c.Profiles[ch.Name].Revision
	case record.ZoneEvacuate, record.ZoneRestore:
		return c.Zones[ch.Name].Revision
	default:
		return c.Versions[ch.Name].Revision
	}
}
