package examples_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/certificate"
	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/settings"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// instances is the number of instances of each deployment.
const instances = 3

// deployments lists the example deployments with their plain services.
var deployments = map[string]struct{ service string }{
	"lysror":   {"booking"},
	"kallisto": {"print"},
}

// jsonFiles lists the JSON files of a directory; there must be one.
func jsonFiles(t *testing.T, parts ...string) []string {
	t.Helper()
	l, err := filepath.Glob(filepath.Join(append(parts, "*.json")...))
	if err != nil || len(l) == 0 {
		t.Fatalf("no files in %v: %v", parts, err)
	}
	return l
}

// decodeFile decodes a JSON file with comments.
func decodeFile(t *testing.T, path string, out any) {
	t.Helper()
	b, err := os.ReadFile(path)
	if err == nil {
		err = settings.Decode(path, b, out)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// checkKeyHash checks that a hash is that of the example key, "example-key-of-" and the name.
func checkKeyHash(t *testing.T, name, hash string) {
	t.Helper()
	if hash != certificate.HashKey("example-key-of-"+name) {
		t.Errorf("the hash of %s is not that of its example key", name)
	}
}

// Guards against example settings that an instance refuses, or that differ between the instances of a deployment.
func TestSettings(t *testing.T) {
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			var all []settings.Settings
			availabilityZones := map[string]bool{}
			for _, f := range jsonFiles(t, name, "settings") {
				s, err := settings.LoadInstance(f)
				if err != nil {
					t.Fatal(err)
				}
				if want := s.Instance.ID + ".json"; filepath.Base(f) != want {
					t.Errorf("%s is not named %s", f, want)
				}
				for _, k := range s.Operators.Keys {
					checkKeyHash(t, k.Name, string(k.Hash))
				}
				availabilityZones[s.Instance.AvailabilityZone] = true
				all = append(all, s)
			}
			if len(all) != instances || len(availabilityZones) != instances {
				t.Fatalf("%d instances in %d availability zones, want %d", len(all), len(availabilityZones), instances)
			}
			for _, s := range all[1:] {
				s.Instance, s.Callers.Listen, s.Operators.Listen, s.Peers.Listen, s.Events = all[0].Instance,
					all[0].Callers.Listen, all[0].Operators.Listen, all[0].Peers.Listen, all[0].Events
				if !reflect.DeepEqual(s, all[0]) {
					t.Errorf("instances differ in more than identity, addresses and events:\n%+v\n%+v", s, all[0])
				}
			}
			if all[0].Services[0].Name != d.service {
				t.Errorf("the service is %s, want %s", all[0].Services[0].Name, d.service)
			}
		})
	}
}

// Guards against example profiles, versions and organisations that an instance refuses, or that refer to missing objects.
func TestPublish(t *testing.T) {
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			c := config.NewCatalog()
			apply := func(ch record.Change) uint64 {
				var err error
				if c, err = c.Apply(c.Next, time.Unix(0, 0), ch); err != nil {
					t.Fatalf("%s: %v", ch.Name, err)
				}
				return c.Next
			}
			for _, f := range jsonFiles(t, name, "versions") {
				var v record.Version
				decodeFile(t, f, &v)
				base := apply(record.Change{Kind: record.VersionAdd, Name: v.Name, Version: &v})
				if v.Name != "small@2" {
					apply(record.Change{Kind: record.VersionRollOut, Name: v.Name, Base: base, RollOut: &record.RollOut{}})
				}
			}
			for _, f := range jsonFiles(t, name, "profiles") {
				var p client.ProfileChange
				decodeFile(t, f, &p)
				apply(record.Change{Kind: record.ProfilePublish, Name: p.Name, Base: p.Base, Profile: &p.Profile})
				if got := fmt.Sprint(c.ModelVersions(p.Name)); got != "[{small small@1  0} {large large@1  0}]" {
					t.Errorf("profile %s may choose %s", p.Name, got)
				}
			}
			for _, f := range jsonFiles(t, name, "organisations") {
				var o client.OrganisationChange
				decodeFile(t, f, &o)
				apply(record.Change{Kind: record.OrganisationPublish, Name: o.Name, Base: o.Base, Organisation: &o.Organisation})
				checkKeyHash(t, o.Name, o.KeyHashes[0])
				for _, p := range o.Profiles {
					if _, ok := c.Profiles[p]; !ok {
						t.Errorf("organisation %s names profile %s, which no file publishes", o.Name, p)
					}
				}
				if !slices.Equal(o.Services, []string{d.service}) {
					t.Errorf("organisation %s names services %v", o.Name, o.Services)
				}
			}
		})
	}
}
