package session

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// fixture holds a catalog and applies changes to it; a refused change has no effect on its objects.
type fixture struct{ catalog *config.Catalog }

func (f *fixture) apply(ch record.Change) {
	ch.Base = f.catalog.Versions[ch.Name].Revision
	if ch.Kind == record.ProfilePublish {
		ch.Base = f.catalog.Profiles[ch.Name].Revision
	}
	f.catalog, _ = f.catalog.Apply(f.catalog.Next, time.Time{}, ch)
}

func (f *fixture) publishProfile(name string, allow ...string) {
	f.apply(record.Change{Kind: record.ProfilePublish, Name: name, Profile: &record.Profile{
		Name: name, Allow: allow, Safe: allow[0],
		Quality: record.Quality{Share: 0.9}, MaxCost: 1, Deadline: 1,
	}})
}

func (f *fixture) changeVersion(kind record.Kind, name string) {
	f.apply(record.Change{
		Kind: kind, Name: name, Version: &record.Version{Name: name},
		RollOut: &record.RollOut{},
	})
}

// newFixture returns a fixture with an organisation, two profiles and three active versions.
func newFixture() *fixture {
	f := &fixture{config.NewCatalog()}
	f.apply(record.Change{
		Kind: record.OrganisationPublish, Name: "o",
		Organisation: &record.Organisation{Name: "o", Profiles: []string{"p", "q"}},
	})
	f.publishProfile("p", "m@*", "n@*")
	f.publishProfile("q", "n@*")
	for _, v := range []string{"m@1", "m@2", "n@1"} {
		f.changeVersion(record.VersionAdd, v)
		f.changeVersion(record.VersionRollOut, v)
	}
	return f
}

// Checks the invariants session-version and withdrawn-version: a session moves for each of the reasons and for no other.
func TestResolve(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*fixture)
		profile string
		token   *Token
		want    Pin
	}{
		"no token":        {nil, "p", nil, Pin{Outcome: OutcomeNew}},
		"kept":            {nil, "p", &Token{Organisation: "o", Profile: "p", Version: "m@1", Revision: 3}, Pin{Outcome: OutcomeKept, Version: "m@1", Revision: 3}},
		"newer active":    {func(f *fixture) { f.changeVersion(record.VersionRollOut, "m@2") }, "p", &Token{Organisation: "o", Profile: "p", Version: "m@1"}, Pin{Outcome: OutcomeKept, Version: "m@1"}},
		"withdrawn":       {func(f *fixture) { f.changeVersion(record.VersionWithdraw, "m@1") }, "p", &Token{Organisation: "o", Profile: "p", Version: "m@1"}, Pin{Outcome: OutcomeMoved, PreviousVersion: "m@1", Reason: ReasonWithdrawn}},
		"halted":          {func(f *fixture) { f.changeVersion(record.VersionHalt, "m@1") }, "p", &Token{Organisation: "o", Profile: "p", Version: "m@1"}, Pin{Outcome: OutcomeMoved, PreviousVersion: "m@1", Reason: ReasonHalted}},
		"not permitted":   {func(f *fixture) { f.publishProfile("p", "n@*") }, "p", &Token{Organisation: "o", Profile: "p", Version: "m@1"}, Pin{Outcome: OutcomeMoved, PreviousVersion: "m@1", Reason: ReasonNotPermitted}},
		"other profile":   {nil, "q", &Token{Organisation: "o", Profile: "p", Version: "m@1"}, Pin{Outcome: OutcomeMoved, PreviousVersion: "m@1", Reason: ReasonProfileChanged}},
		"shared version":  {nil, "q", &Token{Organisation: "o", Profile: "p", Version: "n@1"}, Pin{Outcome: OutcomeKept, Version: "n@1"}},
		"unknown profile": {nil, "r", nil, Pin{Outcome: OutcomeRefused}},
		"foreign token":   {nil, "p", &Token{Organisation: "x", Profile: "p", Version: "m@1"}, Pin{Outcome: OutcomeNew}},
	} {
		f := newFixture()
		if c.change != nil {
			c.change(f)
		}
		if got := ResolvePin(f.catalog, "o", c.profile, c.token); got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

// Checks the invariants allowed-version, withdrawn-version and session-version over random catalog histories.
func TestResolveHistories(t *testing.T) {
	kinds := []record.Kind{record.VersionHalt, record.VersionResume, record.VersionWithdraw, record.VersionRollOut}
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		token := &Token{Organisation: "o", Profile: "p", Version: "m@1", Revision: 1}
		t.Repeat(map[string]func(*rapid.T){
			"version": func(t *rapid.T) {
				f.changeVersion(rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.SampledFrom([]string{"m@1", "m@2", "n@1"}).Draw(t, "version"))
			},
			"profile": func(t *rapid.T) {
				f.publishProfile("p", rapid.SampledFrom([][]string{{"m@*"}, {"m@2", "n@1"}, {"n@*", "m@1"}}).Draw(t, "allow")...)
			},
			"": func(t *rapid.T) {
				p := ResolvePin(f.catalog, "o", "p", token)
				if allowed := f.catalog.IsAllowed("p", token.Version); allowed != (p.Outcome == OutcomeKept) {
					t.Fatalf("allowed %v, got %+v", allowed, p)
				}
				if p.Outcome == OutcomeKept && p.Version != token.Version {
					t.Fatalf("session moved from %s to %s", token.Version, p.Version)
				}
				if p.Outcome == OutcomeMoved && p.Reason == "" {
					t.Fatal("session moves without a reason")
				}
			},
		})
	})
}
