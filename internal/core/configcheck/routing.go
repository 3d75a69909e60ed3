package configcheck

import (
	"maps"
	"slices"
	"strings"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// Routing returns the entries of a configuration of the platform that have no effect, and its limits that contradict each other.
func Routing(c *routing.Configuration) []Finding {
	var l findings
	used := map[string]bool{}
	first := map[[2]string]int{}
	for i := range c.Routes {
		r := &c.Routes[i]
		l.checkMatch(c, i, first)
		l.checkShares(c, i)
		l.checkObjectives(i, r)
		for _, s := range r.Shares {
			used[s.Service] = used[s.Service] || r.SendsTo(s.Service)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(c.Services)) {
		l.checkService(c.Services[n], used[n])
	}
	l.checkOrganisations(c.Organisations)
	return l
}

// checkMatch checks that requests can reach a route. The first route of each host and prefix is kept in first.
func (l *findings) checkMatch(c *routing.Configuration, i int, first map[[2]string]int) {
	r := &c.Routes[i]
	p := entry("routes", i)
	if r.Host == "" {
		l.add(RuleUnreachablePaths, p+".host", "no request has an empty host")
	}
	if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
		l.add(RuleUnreachablePaths, p+".prefix", "the prefix %q doesn't start with /", r.Prefix)
	}
	k := [2]string{r.Host, r.Prefix}
	if j, ok := first[k]; ok {
		l.add(RuleDuplicateRoute, p, "the route %q gets no requests: the route %q has the same host and prefix", r.Name, c.Routes[j].Name)
		return
	}
	first[k] = i
	if w := c.MatchRoute(r.Host, r.Prefix); w != r && w != nil {
		l.add(RuleShadowedRoute, p, "the route %q gets no requests: the route %q gets them", r.Name, w.Name)
	}
}

// checkShares checks the services and models of a route.
func (l *findings) checkShares(c *routing.Configuration, i int) {
	r, p := &c.Routes[i], entry("routes", i)
	if len(r.Shares) == 0 {
		l.add(RuleUnknownService, p, "the route %q has no service", r.Name)
	}
	models := map[string]bool{}
	for j, s := range r.Shares {
		if v, ok := c.Services[s.Service]; !ok {
			l.add(RuleUnknownService, entry(p+".shares", j), "the service %q doesn't exist", s.Service)
		} else if v.Engine != nil {
			for m := range v.Engine.Models {
				models[m] = true
			}
		}
		if s.Weight <= 0 {
			l.add(RuleZeroWeight, entry(p+".shares", j), "the weight of the service %q is %v", s.Service, s.Weight)
		}
	}
	for j, m := range r.Models {
		if !models[m] {
			l.add(RuleUnknownModel, entry(p+".models", j), "no service of the route %q has the model %q", r.Name, m)
		}
	}
}

// checkObjectives compares the objectives of a route with its time-out.
func (l *findings) checkObjectives(i int, r *routing.Route) {
	if r.Timeout <= 0 {
		return
	}
	if r.LatencyObjective > r.Timeout {
		l.add(RuleObjective, entry("routes", i)+".latency-objective", "the latency objective %v is above the time-out %v", r.LatencyObjective, r.Timeout)
	}
	if r.GapObjective > r.Timeout {
		l.add(RuleObjective, entry("routes", i)+".gap-objective", "the gap objective %v is above the time-out %v", r.GapObjective, r.Timeout)
	}
}

func (l *findings) checkService(s routing.Service, used bool) {
	p := "services[" + s.Name + "]"
	if !used {
		l.add(RuleUnusedService, p, "no route sends requests to the service %q", s.Name)
	}
	switch c := s.ColdStart; {
	case c.Duration > 0 && c.PerSecond == 0:
		l.add(RuleColdStart, p+".cold-duration", "the service %q has cold endpoints for %v, but no rate limits them", s.Name, c.Duration)
	case c.Duration <= 0 && c.PerSecond > 0:
		l.add(RuleColdStart, p+".cold-rate", "the service %q has a rate for cold endpoints, but none is ever cold", s.Name)
	}
}

// checkOrganisations checks the keys of organisations.
func (l *findings) checkOrganisations(all []routing.Organisation) {
	names, owner := map[string]bool{}, map[string]string{}
	for i, o := range all {
		p := entry("organisations", i)
		if names[o.Name] {
			l.add(RuleDuplicateName, p+".name", "a second organisation has the name %q", o.Name)
		}
		names[o.Name] = true
		l.checkKeys(p, "keys", o.Name, o.Keys, owner)
	}
}

// checkKeys checks the keys of one organisation and records their owner. Keys are secrets and not printed.
func (l *findings) checkKeys(path, field, name string, keys []string, owner map[string]string) {
	usable := 0
	for j, k := range keys {
		if k == "" {
			continue
		}
		usable++
		if other, ok := owner[k]; ok && other != name {
			l.add(RuleSharedKey, entry(path+"."+field, j), "the organisations %q and %q hold the same key", other, name)
		}
		owner[k] = name
	}
	if usable == 0 {
		l.add(RuleNoKey, path, "the organisation %q has no key", name)
	}
}
