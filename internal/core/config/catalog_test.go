package config

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// publishProfile returns a change that publishes a profile.
func publishProfile(name string, base uint64, allow ...string) record.Change {
	return record.Change{Kind: record.ProfilePublish, Name: name, Base: base, Operator: "o", Profile: &record.Profile{
		Name: name, Allow: allow, Safe: allow[0], Quality: record.Quality{MinScore: 0.7, Share: 0.9},
		MaxCost: 1000, Deadline: record.Duration(time.Minute),
	}}
}

// versionChange returns a change of a version, with the content that any kind of change needs.
func versionChange(k record.Kind, name string, base uint64) record.Change {
	return record.Change{Kind: k, Name: name, Base: base, Version: &record.Version{Name: name}, RollOut: &record.RollOut{}}
}

// applyChanges applies changes to an empty catalog and returns the last error.
func applyChanges(t *testing.T, l ...record.Change) (*Catalog, error) {
	t.Helper()
	c, last := NewCatalog(), error(nil)
	for i, ch := range l {
		c, last = c.Apply(uint64(i), start, ch)
	}
	return c, last
}

// A change with invalid content, in the wrong state or on another base than the current revision must be refused.
func TestApplyRefuses(t *testing.T) {
	staged := versionChange(record.VersionRollOut, "m@2", 3)
	staged.RollOut = &record.RollOut{Stages: []record.Stage{{Share: 0.5, MinSamples: 1}, {Share: 0.2, MinSamples: 1}}}
	for name, c := range map[string]struct {
		changes []record.Change
		want    ErrorKind
	}{
		"stale base":        {[]record.Change{publishProfile("p", 0, "m@*"), publishProfile("p", 0, "m@*")}, ErrStaleBase},
		"future base":       {[]record.Change{publishProfile("p", 7, "m@*")}, ErrStaleBase},
		"other name":        {[]record.Change{{Kind: record.ProfilePublish, Name: "q", Profile: publishProfile("p", 0, "m@*").Profile}}, ErrInvalid},
		"unknown version":   {[]record.Change{versionChange(record.VersionWithdraw, "m@1", 0)}, ErrInvalid},
		"added twice":       {[]record.Change{versionChange(record.VersionAdd, "m@1", 0), versionChange(record.VersionAdd, "m@1", 1)}, ErrWrongState},
		"paused when added": {[]record.Change{versionChange(record.VersionAdd, "m@1", 0), versionChange(record.VersionPause, "m@1", 1)}, ErrWrongState},
		"withdrawn twice": {[]record.Change{
			versionChange(record.VersionAdd, "m@1", 0), versionChange(record.VersionWithdraw, "m@1", 1),
			versionChange(record.VersionWithdraw, "m@1", 2),
		}, ErrWrongState},
		"shares fall": {[]record.Change{
			versionChange(record.VersionAdd, "m@1", 0), versionChange(record.VersionRollOut, "m@1", 1),
			versionChange(record.VersionAdd, "m@2", 0), staged,
		}, ErrInvalid},
		"key hash": {[]record.Change{{
			Kind: record.OrganisationPublish, Name: "o",
			Organisation: &record.Organisation{Name: "o", KeyHashes: []string{"secret"}},
		}}, ErrInvalid},
	} {
		_, err := applyChanges(t, c.changes...)
		var e *Error
		if !errors.As(err, &e) || e.Kind != c.want {
			t.Errorf("%s: got %v, want %s", name, err, c.want)
		}
	}
}

// A canary must get its share of new sessions, and a withdrawn version must not be runnable under any profile.
func TestChoices(t *testing.T) {
	roll := versionChange(record.VersionRollOut, "m@2", 4)
	roll.RollOut = &record.RollOut{Stages: []record.Stage{{Share: 0.1, MinSamples: 5}, {Share: 1, MinSamples: 5}}}
	c, err := applyChanges(t,
		publishProfile("p", 0, "m@*", "n@1"),
		versionChange(record.VersionAdd, "m@1", 0), versionChange(record.VersionRollOut, "m@1", 2),
		versionChange(record.VersionAdd, "m@2", 0), roll,
	)
	if err != nil {
		t.Fatal(err)
	}
	want := []ModelVersions{{Model: "m", Current: "m@1", Canary: "m@2", CanaryShare: 0.1}}
	if d := cmp.Diff(want, c.ModelVersions("p")); d != "" {
		t.Error(d)
	}
	if a, b := want[0].Pick(0.05), want[0].Pick(0.5); a != "m@2" || b != "m@1" {
		t.Errorf("got %s and %s", a, b)
	}
	c, err = c.Apply(5, start, versionChange(record.VersionWithdraw, "m@2", 5))
	if err != nil || c.IsAllowed("p", "m@2") || !c.IsListed("p", "m@2") {
		t.Errorf("the withdrawn version is allowed: %v", err)
	}
	if d := cmp.Diff([]ModelVersions{{Model: "m", Current: "m@1"}}, c.ModelVersions("p")); d != "" {
		t.Error(d)
	}
}

// drawChange draws a change from few names and small bases, so that many changes are refused.
func drawChange(t *rapid.T) record.Change {
	base := rapid.Uint64Range(0, 12).Draw(t, "base")
	switch rapid.IntRange(0, 2).Draw(t, "object") {
	case 0:
		return publishProfile(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "profile"), base, "m@*")
	case 1:
		return record.Change{Kind: record.OrganisationPublish, Name: "o", Base: base, Organisation: &record.Organisation{Name: "o"}}
	default:
		k := rapid.SampledFrom([]record.Kind{
			record.VersionAdd, record.VersionRollOut, record.VersionHalt, record.VersionResume, record.VersionWithdraw,
		}).Draw(t, "kind")
		return versionChange(k, rapid.SampledFrom([]string{"m@1", "m@2"}).Draw(t, "version"), base)
	}
}

// Checks the invariant config-in-force: readers reach the same catalog when records are delivered more than once and when
// they start from a snapshot, and no delivery lowers the offset.
func TestFoldIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := rapid.SliceOfN(rapid.Custom(drawChange), 1, 30).Draw(t, "changes")
		cut := rapid.IntRange(0, len(changes)).Draw(t, "snapshot")
		full, restored := NewCatalog(), (*Catalog)(nil)
		for i, ch := range changes {
			if i == cut {
				restored = snapshot(t, full)
			}
			full, _ = full.Apply(uint64(i), start, ch)
		}
		if restored == nil {
			restored = snapshot(t, full)
		}
		for restored.Next < uint64(len(changes)) {
			o := rapid.Uint64Range(0, restored.Next).Draw(t, "delivered")
			n, err := restored.Apply(o, start, changes[o])
			var e *Error
			if n.Next < restored.Next || (errors.As(err, &e) && e.Kind == ErrGap) {
				t.Fatalf("offset %d after %d: %v", o, restored.Next, err)
			}
			restored = n
		}
		opts := []cmp.Option{cmpopts.IgnoreUnexported(Catalog{}), cmpopts.IgnoreFields(Catalog{}, "SnapshotTime"), cmpopts.EquateEmpty()}
		if d := cmp.Diff(full, restored, opts...); d != "" {
			t.Fatal(d)
		}
	})
}

// snapshot returns the catalog restored from a snapshot of c after encoding and decoding.
func snapshot(t *rapid.T, c *Catalog) *Catalog {
	ch, err := c.Snapshot("s")
	if err != nil {
		t.Fatal(err)
	}
	b, err := json.Marshal(ch)
	if err != nil {
		t.Fatal(err)
	}
	var back record.Change
	if err := json.Unmarshal(b, &back); err != nil {
		t.Fatal(err)
	}
	r, err := RestoreCatalog(back)
	if err != nil {
		t.Fatal(err)
	}
	return r
}
