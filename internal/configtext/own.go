package configtext

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/core/configcheck"
	"github.com/cassiaspoke/cassiaspoke/internal/settings"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// ProfileFile is the content of a file that publishes a profile. Base is the revision that the change is based on, 0 for a new object.
// It is a pointer to tell 0 from a missing value.
type ProfileFile struct {
	Base   *uint64 `json:"base"`
	Reason string  `json:"reason"`
	record.Profile
}

// OrganisationFile is the content of a file that publishes an organisation, with a base as in ProfileFile.
type OrganisationFile struct {
	Base   *uint64 `json:"base"`
	Reason string  `json:"reason"`
	record.Organisation
}

// VersionFile is the content of a file that adds a version.
type VersionFile struct {
	Reason string `json:"reason"`
	record.Version
}

// setFile is the content of a file with several objects. They are checked in the order of the fields.
type setFile struct {
	Versions      []VersionFile      `json:"versions"`
	Profiles      []ProfileFile      `json:"profiles"`
	Organisations []OrganisationFile `json:"organisations"`
}

// publication is a change that publishes an object of a file.
type publication struct {
	object configcheck.Object
	base   *uint64 // nil if the file names none
	change record.Change
}

// decodeOwn decodes a file with one object, as the publish commands do, or with several.
func decodeOwn(file string, src []byte, x *configcheck.Index) ([]publication, error) {
	var p ProfileFile
	var g OrganisationFile
	var v VersionFile
	var s setFile
	switch detectKind(x) {
	case record.ProfilePublish:
		err := settings.Decode(file, src, &p)
		return []publication{p.publication("")}, err
	case record.OrganisationPublish:
		err := settings.Decode(file, src, &g)
		return []publication{g.publication("")}, err
	case record.VersionAdd:
		err := settings.Decode(file, src, &v)
		return []publication{v.publication("")}, err
	}
	if err := settings.Decode(file, src, &s); err != nil {
		return nil, err
	}
	var l []publication
	for i := range s.Versions {
		l = append(l, s.Versions[i].publication(fmt.Sprintf("versions[%d]", i)))
	}
	for i := range s.Profiles {
		l = append(l, s.Profiles[i].publication(fmt.Sprintf("profiles[%d]", i)))
	}
	for i := range s.Organisations {
		l = append(l, s.Organisations[i].publication(fmt.Sprintf("organisations[%d]", i)))
	}
	return l, nil
}

// detectKind returns the kind of change that a file with one object is for, or "" for a file with several.
func detectKind(x *configcheck.Index) record.Kind {
	has := func(names ...string) bool {
		for _, n := range names {
			if x.Has(n) {
				return true
			}
		}
		return false
	}
	switch {
	case has("allow", "safe", "quality", "max-cost", "weights", "deadline", "max-tokens"):
		return record.ProfilePublish
	case has("price", "prior"):
		return record.VersionAdd
	case has("key-hashes", "limits", "services", "share"):
		return record.OrganisationPublish
	case !has("name", "base", "reason", "priority"):
		return ""
	case strings.Contains(x.Text("name"), "@"):
		return record.VersionAdd
	}
	return record.OrganisationPublish
}

func (f *ProfileFile) publication(path string) publication {
	return publication{
		configcheck.Object{Kind: record.ProfilePublish, Name: f.Name, Path: path},
		f.Base,
		record.Change{Kind: record.ProfilePublish, Name: f.Name, Profile: &f.Profile},
	}
}

func (f *OrganisationFile) publication(path string) publication {
	return publication{
		configcheck.Object{Kind: record.OrganisationPublish, Name: f.Name, Path: path},
		f.Base,
		record.Change{Kind: record.OrganisationPublish, Name: f.Name, Organisation: &f.Organisation},
	}
}

func (f *VersionFile) publication(path string) publication {
	return publication{
		configcheck.Object{Kind: record.VersionAdd, Name: f.Name, Path: path},
		new(uint64),
		record.Change{Kind: record.VersionAdd, Name: f.Name, Version: &f.Version},
	}
}

// currentRevision returns the revision of the object of a change.
func currentRevision(c *config.Catalog, ch record.Change) uint64 {
	if ch.Kind == record.OrganisationPublish {
		return c.Organisations[ch.Name].Revision
	}
	return c.Profiles[ch.Name].Revision
}

// apply publishes the changes in a catalog in memory and returns it with the objects that are in force in it and the errors.
// Bases are compared only if the revisions of the catalog are those of an instance.
func apply(c *config.Catalog, l []publication, x *configcheck.Index, compareBases bool) (*config.Catalog, []configcheck.Object, []Finding) {
	var objects []configcheck.Object
	var errs []Finding
	inForce := c
	for _, p := range l {
		// A file with several objects may list the versions in force, which need not be added again.
		if v, ok := inForce.Versions[p.change.Name]; ok && p.object.Path != "" && p.change.Kind == record.VersionAdd && v.Version == *p.change.Version {
			objects = append(objects, p.object)
			continue
		}
		switch {
		case p.change.Kind == record.VersionAdd:
		case compareBases && p.base != nil:
			p.change.Base = *p.base
		default:
			p.change.Base = currentRevision(c, p.change)
		}
		next, err := c.Apply(c.Next, time.Time{}, p.change)
		if err != nil {
			errs = append(errs, refusal(x, p.object, err))
			continue
		}
		c = next
		objects = append(objects, p.object)
	}
	return c, objects, errs
}

// refusal returns the finding of a change that a catalog refuses.
func refusal(x *configcheck.Index, o configcheck.Object, err error) Finding {
	f := configcheck.Finding{Rule: configcheck.RuleRefused, Path: o.Path, Message: err.Error()}
	var e *config.Error
	if !errors.As(err, &e) {
		return locate(x, f, f.Path)
	}
	f.Message = e.Err.Error()
	field := e.Field
	if e.Kind == config.ErrStaleBase {
		field = "base"
	}
	if field != "" {
		f.Path = strings.TrimPrefix(o.Path+"."+field, ".")
	}
	return locate(x, f, f.Path)
}

// checkOwn checks a file with profiles, organisations and versions.
func (r *Report) checkOwn(file string, src []byte, o Options) error {
	x := configcheck.NewIndex(src)
	l, err := decodeOwn(file, src, x)
	if err != nil {
		r.Errors = settingsFindings(err)
		return nil
	}
	before, compared := config.NewCatalog(), o.InForce != nil || o.Against != nil
	switch {
	case o.InForce != nil:
		before = o.InForce
	case o.Against != nil:
		if before, err = decodeInForce(o.Against); err != nil {
			return err
		}
	}
	after, objects, errs := apply(before, l, x, o.InForce != nil)
	r.Errors = append(r.Errors, errs...)
	if len(l) == 0 {
		r.Warnings = append(r.Warnings, Finding{Line: 1, Column: 1, Rule: configcheck.RuleNoEffect, Message: "the file has no profile, organisation or version"})
	}
	for _, f := range configcheck.Catalog(after, objects, configcheck.CatalogOptions{
		FirstTokenTimeout: o.FirstTokenTimeout,
		VersionsKnown:     o.InForce != nil || len(after.Versions) > 0,
		ProfilesKnown:     o.InForce != nil || len(after.Profiles) > 0,
	}) {
		r.Warnings = append(r.Warnings, locate(x, f, f.Path))
	}
	if compared {
		r.Differences = configcheck.CatalogDifferences(before, after, objects)
	}
	return nil
}

// decodeInForce returns the catalog of a file that is in force.
func decodeInForce(src []byte) (*config.Catalog, error) {
	const op = "read the version in force"
	x := configcheck.NewIndex(src)
	l, err := decodeOwn("in force", src, x)
	if err != nil {
		return nil, &Error{op, err}
	}
	c, _, errs := apply(config.NewCatalog(), l, x, false)
	if len(errs) > 0 {
		return nil, &Error{op, fmt.Errorf("line %d: %s", errs[0].Line, errs[0].Message)}
	}
	return c, nil
}
