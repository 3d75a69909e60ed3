package session

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// world folds changes as the log would; refused changes leave the catalog as it was.
type world struct{ c *profile.Catalog }

func (w *world) apply(ch record.Change) {
	ch.Base = w.c.Versions[ch.Name].Revision
	if ch.Kind == record.ProfilePublish {
		ch.Base = w.c.Profiles[ch.Name].Revision
	}
	w.c, _ = w.c.Apply(w.c.Next, time.Time{}, ch)
}

func (w *world) profile(name string, allow ...string) {
	w.apply(record.Change{Kind: record.ProfilePublish, Name: name, Profile: &record.Profile{
		Name: name, Allow: allow, Safe: allow[0],
		Quality: record.Quality{Share: 0.9}, MaxCost: 1, Deadline: 1,
	}})
}

func (w *world) version(kind record.Kind, name string) {
	w.apply(record.Change{
		Kind: kind, Name: name, Version: &record.Version{Name: name},
		RollOut: &record.RollOut{},
	})
}

func newWorld() *world {
	w := &world{profile.New()}
	w.apply(record.Change{
		Kind: record.OrganisationPublish, Name: "o",
		Organisation: &record.Organisation{Name: "o", Profiles: []string{"p", "q"}},
	})
	w.profile("p", "m@*", "n@*")
	w.profile("q", "n@*")
	for _, v := range []string{"m@1", "m@2", "n@1"} {
		w.version(record.VersionAdd, v)
		w.version(record.VersionRollOut, v)
	}
	return w
}

// Guards session-version and withdrawn-version: a session moves for the listed reasons only, and then it must.
func TestResolve(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*world)
		profile string
		token   *Token
		want    Pin
	}{
		"no token":        {nil, "p", nil, Pin{Outcome: OutcomeNew}},
		"kept":            {nil, "p", &Token{Organisation: "o", Profile: "p", Version: "m@1", Revision: 3}, Pin{Outcome: OutcomeKept, Version: "m@1", Revision: 3}},
		"newer active":    {func(w *world) { w.version(record.VersionRollOut, "m@2") }, "p", &Token{Organisation: "o", Profile: "p", Version: "m@1"}, Pin{Outcome: OutcomeKept, Version: "m@1"}},
		"withdrawn":       {func(w *world) { w.version(record.VersionWithdraw, "m@1") }, "p", &Token{Organisation: "o", Profile: "p", Version: "m@1"}, Pin{Outcome: OutcomeMoved, From: "m@1", Reason: ReasonWithdrawn}},
		"halted":          {func(w *world) { w.version(record.VersionHalt, "m@1") }, "p", &Token{Organisation: "o", Profile: "p", Version: "m@1"}, Pin{Outcome: OutcomeMoved, From: "m@1", Reason: ReasonHalted}},
		"not permitted":   {func(w *world) { w.profile("p", "n@*") }, "p", &Token{Organisation: "o", Profile: "p", Version: "m@1"}, Pin{Outcome: OutcomeMoved, From: "m@1", Reason: ReasonNotPermitted}},
		"other profile":   {nil, "q", &Token{Organisation: "o", Profile: "p", Version: "m@1"}, Pin{Outcome: OutcomeMoved, From: "m@1", Reason: ReasonProfileChanged}},
		"shared version":  {nil, "q", &Token{Organisation: "o", Profile: "p", Version: "n@1"}, Pin{Outcome: OutcomeKept, Version: "n@1"}},
		"unknown profile": {nil, "r", nil, Pin{Outcome: OutcomeRefused}},
		"foreign token":   {nil, "p", &Token{Organisation: "x", Profile: "p", Version: "m@1"}, Pin{Outcome: OutcomeNew}},
	} {
		w := newWorld()
		if c.change != nil {
			c.change(w)
		}
		if got := Resolve(w.c, "o", c.profile, c.token); got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

// Guards allowed-version, withdrawn-version and session-version over random histories of the catalog.
func TestResolveHistories(t *testing.T) {
	kinds := []record.Kind{record.VersionHalt, record.VersionResume, record.VersionWithdraw, record.VersionRollOut}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		held := &Token{Organisation: "o", Profile: "p", Version: "m@1", Revision: 1}
		t.Repeat(map[string]func(*rapid.T){
			"version": func(t *rapid.T) {
				w.version(rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.SampledFrom([]string{"m@1", "m@2", "n@1"}).Draw(t, "version"))
			},
			"profile": func(t *rapid.T) {
				w.profile("p", rapid.SampledFrom([][]string{{"m@*"}, {"m@2", "n@1"}, {"n@*", "m@1"}}).Draw(t, "allow")...)
			},
			"": func(t *rapid.T) {
				p := Resolve(w.c, "o", "p", held)
				if allowed := w.c.Allows("p", held.Version); allowed != (p.Outcome == OutcomeKept) {
					t.Fatalf("allowed %v, got %+v", allowed, p)
				}
				if p.Outcome == OutcomeKept && p.Version != held.Version {
					t.Fatalf("session moved from %s to %s", held.Version, p.Version)
				}
				if p.Outcome == OutcomeMoved && p.Reason == "" {
					t.Fatal("session moves without a reason")
				}
			},
		})
	})
}
