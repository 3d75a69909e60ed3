package profile

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

func profileChange(name string, base uint64, allow ...string) record.Change {
	return record.Change{Kind: record.ProfilePublish, Name: name, Base: base, Operator: "o", Profile: &record.Profile{
		Name: name, Allow: allow, Safe: allow[0], Quality: record.Quality{MinScore: 0.7, Share: 0.9},
		MaxCost: 1000, Deadline: record.Duration(time.Minute),
	}}
}

func versionChange(k record.Kind, name string, base uint64) record.Change {
	return record.Change{Kind: k, Name: name, Base: base, Version: &record.Version{Name: name}, RollOut: &record.RollOut{}}
}

func fold(t *testing.T, l ...record.Change) (*Catalog, error) {
	t.Helper()
	c, last := New(), error(nil)
	for i, ch := range l {
		c, last = c.Apply(uint64(i), start, ch)
	}
	return c, last
}

// Guards against a change that is accepted in the wrong state or on an old base.
func TestApplyRefuses(t *testing.T) {
	staged := versionChange(record.VersionRollOut, "m@2", 3)
	staged.RollOut = &record.RollOut{Stages: []record.Stage{{Share: 0.5, MinSamples: 1}, {Share: 0.2, MinSamples: 1}}}
	for name, c := range map[string]struct {
		changes []record.Change
		want    ErrorKind
	}{
		"stale base":        {[]record.Change{profileChange("p", 0, "m@*"), profileChange("p", 0, "m@*")}, ErrStale},
		"future base":       {[]record.Change{profileChange("p", 7, "m@*")}, ErrStale},
		"other name":        {[]record.Change{{Kind: record.ProfilePublish, Name: "q", Profile: profileChange("p", 0, "m@*").Profile}}, ErrInvalid},
		"unknown version":   {[]record.Change{versionChange(record.VersionWithdraw, "m@1", 0)}, ErrInvalid},
		"added twice":       {[]record.Change{versionChange(record.VersionAdd, "m@1", 0), versionChange(record.VersionAdd, "m@1", 1)}, ErrState},
		"paused when added": {[]record.Change{versionChange(record.VersionAdd, "m@1", 0), versionChange(record.VersionPause, "m@1", 1)}, ErrState},
		"withdrawn twice": {[]record.Change{
			versionChange(record.VersionAdd, "m@1", 0), versionChange(record.VersionWithdraw, "m@1", 1),
			versionChange(record.VersionWithdraw, "m@1", 2),
		}, ErrState},
		"shares fall": {[]record.Change{
			versionChange(record.VersionAdd, "m@1", 0), versionChange(record.VersionRollOut, "m@1", 1),
			versionChange(record.VersionAdd, "m@2", 0), staged,
		}, ErrInvalid},
		"key hash": {[]record.Change{{
			Kind: record.OrganisationPublish, Name: "o",
			Organisation: &record.Organisation{Name: "o", KeyHashes: []string{"secret"}},
		}}, ErrInvalid},
	} {
		_, err := fold(t, c.changes...)
		var e *Error
		if !errors.As(err, &e) || e.Kind != c.want {
			t.Errorf("%s: got %v, want %s", name, err, c.want)
		}
	}
}

// Guards the share of a canary, and that a withdrawn version leaves every profile at once.
func TestChoices(t *testing.T) {
	roll := versionChange(record.VersionRollOut, "m@2", 4)
	roll.RollOut = &record.RollOut{Stages: []record.Stage{{Share: 0.1, MinSamples: 5}, {Share: 1, MinSamples: 5}}}
	c, err := fold(t,
		profileChange("p", 0, "m@*", "n@1"),
		versionChange(record.VersionAdd, "m@1", 0), versionChange(record.VersionRollOut, "m@1", 2),
		versionChange(record.VersionAdd, "m@2", 0), roll,
	)
	if err != nil {
		t.Fatal(err)
	}
	want := []Choice{{Model: "m", Current: "m@1", Canary: "m@2", Share: 0.1}}
	if d := cmp.Diff(want, c.Choices("p")); d != "" {
		t.Error(d)
	}
	if a, b := want[0].Pick(0.05), want[0].Pick(0.5); a != "m@2" || b != "m@1" {
		t.Errorf("got %s and %s", a, b)
	}
	c, err = c.Apply(5, start, versionChange(record.VersionWithdraw, "m@2", 5))
	if err != nil || c.Allows("p", "m@2") || !c.Permits("p", "m@2") {
		t.Errorf("the withdrawn version is allowed: %v", err)
	}
	if d := cmp.Diff([]Choice{{Model: "m", Current: "m@1"}}, c.Choices("p")); d != "" {
		t.Error(d)
	}
}

// genChange draws changes that are often refused: few names, small bases.
func genChange(t *rapid.T) record.Change {
	base := rapid.Uint64Range(0, 12).Draw(t, "base")
	switch rapid.IntRange(0, 2).Draw(t, "object") {
	case 0:
		return profileChange(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "profile"), base, "m@*")
	case 1:
		return record.Change{Kind: record.OrganisationPublish, Name: "o", Base: base, Organisation: &record.Organisation{Name: "o"}}
	default:
		k := rapid.SampledFrom([]record.Kind{
			record.VersionAdd, record.VersionRollOut, record.VersionHalt, record.VersionResume, record.VersionWithdraw,
		}).Draw(t, "kind")
		return versionChange(k, rapid.SampledFrom([]string{"m@1", "m@2"}).Draw(t, "version"), base)
	}
}

// Guards config-in-force: duplicated and repeated deliveries, and a start from a snapshot, reach the same catalog,
// and no delivery lowers the offset or a revision.
func TestFoldIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := rapid.SliceOfN(rapid.Custom(genChange), 1, 30).Draw(t, "changes")
		cut := rapid.IntRange(0, len(l)).Draw(t, "snapshot")
		plain, seeded := New(), (*Catalog)(nil)
		for i, ch := range l {
			if i == cut {
				seeded = snapshot(t, plain)
			}
			plain, _ = plain.Apply(uint64(i), start, ch)
		}
		if seeded == nil {
			seeded = snapshot(t, plain)
		}
		for seeded.Next < uint64(len(l)) {
			o := rapid.Uint64Range(0, seeded.Next).Draw(t, "delivered")
			n, err := seeded.Apply(o, start, l[o])
			var e *Error
			if n.Next < seeded.Next || (errors.As(err, &e) && e.Kind == ErrGap) {
				t.Fatalf("offset %d after %d: %v", o, seeded.Next, err)
			}
			seeded = n
		}
		opts := []cmp.Option{cmpopts.IgnoreUnexported(Catalog{}), cmpopts.IgnoreFields(Catalog{}, "SnapshotTime"), cmpopts.EquateEmpty()}
		if d := cmp.Diff(plain, seeded, opts...); d != "" {
			t.Fatal(d)
		}
	})
}

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
	r, err := Restore(back)
	if err != nil {
		t.Fatal(err)
	}
	return r
}
