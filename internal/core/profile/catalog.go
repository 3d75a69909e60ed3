package profile

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// historyLength bounds the revisions remembered for each object.
const historyLength = 20

// State is where a version is in its life.
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

// Revised holds an object's revision: the offset of the record that last changed it, plus one.
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

// Version is a version with its place in a roll-out.
type Version struct {
	record.Version
	Revised
	State     State          `json:"state"`
	Stages    []record.Stage `json:"stages,omitempty"`
	Stage     int            `json:"stage,omitempty"`
	Activated uint64         `json:"activated,omitempty"` // revision at which it became active
	Resume    State          `json:"resume,omitempty"`    // state to return to after a pause or halt
	Reason    string         `json:"reason,omitempty"`
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

// Catalog is the configuration in force after folding all offsets below Next; it is never modified once published.
type Catalog struct {
	Next          uint64                  `json:"next"`
	SnapshotAt    uint64                  `json:"-"` // offset of the latest snapshot record, plus one
	SnapshotTime  time.Time               `json:"-"` // log time of that record, or of the first record folded
	Organisations map[string]Organisation `json:"organisations"`
	Profiles      map[string]Profile      `json:"profiles"`
	Versions      map[string]Version      `json:"versions"`
	History       map[string][]Revision   `json:"history"`

	keys    map[string]string
	choices map[string][]Choice
}

// New returns the empty catalog that stands before offset 0.
func New() *Catalog {
	c := &Catalog{
		Organisations: map[string]Organisation{},
		Profiles:      map[string]Profile{},
		Versions:      map[string]Version{},
		History:       map[string][]Revision{},
	}
	c.index()
	return c
}

// Restore returns the catalog that a snapshot record carries.
func Restore(ch record.Change) (*Catalog, error) {
	c := New()
	if err := json.Unmarshal(ch.State, c); err != nil {
		return nil, refuse("restore", ErrInvalid, "snapshot: %w", err)
	}
	if c.Next != ch.Covers {
		return nil, refuse("restore", ErrInvalid, "snapshot covers %d, its state %d", ch.Covers, c.Next)
	}
	c.index()
	return c, nil
}

// Snapshot returns a record that lets a new reader start at the catalog's offset.
func (c *Catalog) Snapshot(id string) (record.Change, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return record.Change{}, refuse("snapshot", ErrInvalid, "%w", err)
	}
	return record.Change{ID: id, Kind: record.SnapshotWritten, Covers: c.Next, State: b}, nil
}

// Apply folds the record at an offset and returns the next catalog.
// A *Error other than ErrGap means that every reader refuses the change alike; the offset is consumed.
// Offsets below Next were folded before and leave the catalog as it is.
func (c *Catalog) Apply(offset uint64, t time.Time, ch record.Change) (*Catalog, error) {
	if offset < c.Next {
		return c, nil
	}
	if offset > c.Next {
		return c, refuse("apply", ErrGap, "offset %d after %d", offset, c.Next)
	}
	n := *c
	n.Next = offset + 1
	if ch.Kind == record.SnapshotWritten {
		n.SnapshotAt, n.SnapshotTime = n.Next, t
		return &n, nil
	}
	if n.SnapshotTime.IsZero() {
		n.SnapshotTime = t
	}
	object, err := n.change(ch)
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
	h := append(slices.Clone(n.History[object]), Revision{n.Next, ch.Kind, ch.Operator, ch.Reason, t, ch.ID})
	n.History[object] = h[max(0, len(h)-historyLength):]
	n.index()
	return &n, nil
}

// Skip consumes an offset whose record can't be decoded.
func (c *Catalog) Skip(offset uint64) *Catalog {
	if offset != c.Next {
		return c
	}
	n := *c
	n.Next++
	return &n
}

// Object returns the key under which History keeps the changes of an object.
func Object(k record.Kind, name string) string {
	class, _, _ := strings.Cut(string(k), "-")
	return class + "/" + name
}

// change applies an accepted change to c, whose maps it replaces, and returns the object's key.
func (c *Catalog) change(ch record.Change) (string, error) {
	object := Object(ch.Kind, ch.Name)
	if r := c.revision(ch); r != ch.Base {
		return object, refuse(string(ch.Kind), ErrStale, "%s is at revision %d, base is %d", object, r, ch.Base)
	}
	switch ch.Kind {
	case record.OrganisationPublish:
		if err := validateOrganisation(ch); err != nil {
			return object, err
		}
		c.Organisations = maps.Clone(c.Organisations)
		c.Organisations[ch.Name] = Organisation{*ch.Organisation, Revised{c.Next}}
	case record.ProfilePublish:
		if err := validateProfile(ch); err != nil {
			return object, err
		}
		c.Profiles = maps.Clone(c.Profiles)
		c.Profiles[ch.Name] = Profile{*ch.Profile, Revised{c.Next}}
	default:
		return object, c.changeVersion(ch)
	}
	return object, nil
}

func (c *Catalog) revision(ch record.Change) uint64 {
	switch ch.Kind {
	case record.OrganisationPublish:
		return c.Organisations[ch.Name].Revision
	case record.ProfilePublish:
		return c.Profiles[ch.Name].Revision
	default:
		return c.Versions[ch.Name].Revision
	}
}
