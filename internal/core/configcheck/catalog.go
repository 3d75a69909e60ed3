package configcheck

import (
	"maps"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// smallestRequestTokens is the number of tokens of the smallest request, one of input and one of output.
const smallestRequestTokens = 2

// Object is an object of a catalog to check.
type Object struct {
	Kind record.Kind // of the change that publishes the object
	Name string
	Path string // of the object in the text; empty if it is the whole text
}

// CatalogOptions tells what is known apart from the objects to check.
type CatalogOptions struct {
	FirstTokenTimeout time.Duration // of the engines; 0 if unknown
	VersionsKnown     bool          // the catalog has all versions
	ProfilesKnown     bool          // the catalog has all profiles
}

// catalogCheck checks objects of a catalog.
type catalogCheck struct {
	findings
	catalog *config.Catalog
	options CatalogOptions
}

// Catalog returns the entries of some objects of a catalog that have no effect, and their limits that contradict each other.
func Catalog(c *config.Catalog, objects []Object, o CatalogOptions) []Finding {
	k := catalogCheck{catalog: c, options: o}
	owner := map[string]string{}
	checked := map[string]bool{}
	for _, x := range objects {
		id := config.ObjectKey(x.Kind, x.Name)
		if checked[id] {
			k.add(RuleDuplicateName, x.field("name"), "a second object has the name %q", x.Name)
		}
		checked[id] = true
	}
	for _, n := range slices.Sorted(maps.Keys(c.Organisations)) {
		if checked[config.ObjectKey(record.OrganisationPublish, n)] {
			continue
		}
		for _, h := range c.Organisations[n].KeyHashes {
			owner[h] = n
		}
	}
	for _, x := range objects {
		switch x.Kind {
		case record.OrganisationPublish:
			g := c.Organisations[x.Name].Organisation
			k.checkKeys(x.Path, "key-hashes", g.Name, g.KeyHashes, owner)
			k.checkOrganisation(x, g)
		case record.ProfilePublish:
			k.checkProfile(x, c.Profiles[x.Name].Profile)
		}
	}
	return k.findings
}

// field returns the path of a field of the object.
func (x Object) field(name string) string {
	if x.Path == "" {
		return name
	}
	return x.Path + "." + name
}

func (k *catalogCheck) checkOrganisation(x Object, g record.Organisation) {
	for i, n := range g.Profiles {
		if _, ok := k.catalog.Profiles[n]; !ok && k.options.ProfilesKnown {
			k.add(RuleUnknownProfile, entry(x.field("profiles"), i), "the profile %q doesn't exist", n)
		}
	}
	for i, l := range g.Limits {
		if smallest := k.smallestUse(g, l.Unit); l.Amount < smallest {
			k.add(RuleQuota, entry(x.field("limits"), i)+".amount", "the limit of %d %s doesn't cover the smallest request, which needs %d", l.Amount, l.Unit, smallest)
		}
	}
}

// smallestUse returns what the smallest request of an organisation needs of a unit, or 0 if that is unknown.
func (k *catalogCheck) smallestUse(g record.Organisation, u record.Unit) int64 {
	switch {
	case u == record.UnitRequests:
		return 1
	case len(g.Services) > 0: // a call of a service needs no tokens
		return 0
	case u == record.UnitTokens && len(g.Profiles) > 0:
		return smallestRequestTokens
	case u != record.UnitCost:
		return 0
	}
	smallest, known := record.Micros(0), false
	for _, n := range g.Profiles {
		p, ok := k.catalog.Profiles[n]
		if !ok {
			return 0
		}
		if c, ok := k.cheapest(p.Profile); ok && (!known || c < smallest) {
			smallest, known = c, true
		}
	}
	return int64(smallest)
}

// cheapest returns the cost of the smallest request on the cheapest version that a profile allows, or false if it allows none.
func (k *catalogCheck) cheapest(p record.Profile) (record.Micros, bool) {
	smallest, known := record.Micros(0), false
	for _, v := range k.catalog.Versions {
		allowed := v.State != config.StateWithdrawn && slices.ContainsFunc(p.Allow, func(a string) bool { return config.MatchesAllow(a, v.Name) })
		if c := v.Price.Cost(1, 1); allowed && (!known || c < smallest) {
			smallest, known = c, true
		}
	}
	return smallest, known
}

func (k *catalogCheck) checkProfile(x Object, p record.Profile) {
	for i, a := range p.Allow {
		known := false
		for n, v := range k.catalog.Versions {
			known = known || v.State != config.StateWithdrawn && config.MatchesAllow(a, n)
		}
		if !known && k.options.VersionsKnown {
			k.add(RuleUnknownModel, entry(x.field("allow"), i), "no version matches %q", a)
		}
	}
	if p.Weights == (record.Weights{}) {
		k.add(RuleZeroWeight, x.field("weights"), "all weights are 0, so that versions can't be compared")
	}
	if t := k.options.FirstTokenTimeout; time.Duration(p.Deadline) < t {
		k.add(RuleDeadline, x.field("deadline"), "the deadline %v is below the engines' first-token time-out %v", time.Duration(p.Deadline), t)
	}
	if c, ok := k.cheapest(p); ok && p.MaxCost < c {
		k.add(RuleMaxCost, x.field("max-cost"), "max-cost %d doesn't cover the smallest request on the cheapest allowed version, which costs %d", p.MaxCost, c)
	}
}

// CatalogDifferences returns the differences of some objects of a catalog from those in force, by effect. Objects that are not listed
// stay in force, as the operators' API removes none.
func CatalogDifferences(before, after *config.Catalog, objects []Object) []Difference {
	var l differences
	seen := map[string]bool{}
	for _, x := range objects {
		id := config.ObjectKey(x.Kind, x.Name)
		if seen[id] {
			continue
		}
		seen[id] = true
		switch x.Kind {
		case record.OrganisationPublish:
			l.compareOrganisation(before, after.Organisations[x.Name].Organisation)
		case record.ProfilePublish:
			l.compareProfile(before, after.Profiles[x.Name].Profile)
		default:
			if _, ok := before.Versions[x.Name]; !ok {
				l.add(EffectAddition, "version "+x.Name, "is added")
			}
		}
	}
	return l.sorted()
}

func (l *differences) compareOrganisation(before *config.Catalog, a record.Organisation) {
	o := "organisation " + a.Name
	b, ok := before.Organisations[a.Name]
	if !ok {
		l.add(EffectAddition, o, "is added with %d keys", len(a.KeyHashes))
		return
	}
	l.addKeys(o, b.KeyHashes, a.KeyHashes)
	l.addItems(o, "profile", b.Profiles, a.Profiles)
	l.addItems(o, "service", b.Services, a.Services)
	l.addChange(EffectLimit, o, "limits", limitTexts(b.Limits), limitTexts(a.Limits))
	l.addChange(EffectLimit, o, "share", max(1, b.Share), max(1, a.Share))
	l.addChange(EffectRouting, o, "priority", b.Priority, a.Priority)
}

func limitTexts(limits []record.Limit) []string {
	texts := []string{}
	for _, l := range limits {
		texts = append(texts, formatLimit(l))
	}
	return texts
}

func (l *differences) compareProfile(before *config.Catalog, a record.Profile) {
	o := "profile " + a.Name
	b, ok := before.Profiles[a.Name]
	if !ok {
		l.add(EffectAddition, o, "is added")
		return
	}
	l.addItems(o, "allowed version", b.Allow, a.Allow)
	l.addChange(EffectRouting, o, "safe", b.Safe, a.Safe)
	l.addChange(EffectRouting, o, "quality", b.Quality, a.Quality)
	l.addChange(EffectRouting, o, "weights", b.Weights, a.Weights)
	l.addChange(EffectRouting, o, "priority", b.Priority, a.Priority)
	l.addChange(EffectLimit, o, "max-cost", b.MaxCost, a.MaxCost)
	l.addChange(EffectLimit, o, "deadline", time.Duration(b.Deadline), time.Duration(a.Deadline))
	l.addChange(EffectLimit, o, "max-tokens", b.MaxTokens, a.MaxTokens)
}
