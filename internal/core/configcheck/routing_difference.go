package configcheck

import (
	"maps"
	"slices"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// RoutingDifferences returns the differences of a configuration of the platform from the one in force, by effect.
func RoutingDifferences(before, after *routing.Configuration) []Difference {
	var l differences
	l.compareRoutes(before, after)
	for _, n := range slices.Sorted(maps.Keys(before.Services)) {
		if s, ok := after.Services[n]; ok {
			l.compareService(before.Services[n], s)
		} else {
			l.add(EffectRemoval, "service "+n, "is removed")
		}
	}
	for _, n := range slices.Sorted(maps.Keys(after.Services)) {
		if _, ok := before.Services[n]; !ok {
			l.add(EffectAddition, "service "+n, "is added")
		}
	}
	l.compareOrganisations(before, after)
	b, a := before.Limits, after.Limits
	l.addChange(EffectLimit, "limits", "header bytes", b.HeaderBytes, a.HeaderBytes)
	l.addChange(EffectLimit, "limits", "body bytes", b.BodyBytes, a.BodyBytes)
	l.addChange(EffectLimit, "limits", "header time-out", b.HeaderTimeout, a.HeaderTimeout)
	l.addChange(EffectLimit, "limits", "idle time-out", b.IdleTimeout, a.IdleTimeout)
	return l.sorted()
}

// routesByMatch returns the routes that get requests, by host and prefix.
func routesByMatch(c *routing.Configuration) map[[2]string]*routing.Route {
	m := map[[2]string]*routing.Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if k := [2]string{r.Host, r.Prefix}; m[k] == nil {
			m[k] = r
		}
	}
	return m
}

func (l *differences) compareRoutes(before, after *routing.Configuration) {
	old, current := routesByMatch(before), routesByMatch(after)
	for k, r := range old {
		if current[k] == nil {
			l.add(EffectRemoval, routeObject(r), "is removed")
		}
	}
	for k, r := range current {
		b := old[k]
		if b == nil {
			l.add(EffectAddition, routeObject(r), "is added")
			continue
		}
		o := routeObject(r)
		l.addChange(EffectRouting, o, "name", b.Name, r.Name)
		l.addChange(EffectRouting, o, "services", b.Shares, r.Shares)
		l.addChange(EffectRouting, o, "kind", b.Kind, r.Kind)
		l.addChange(EffectRouting, o, "models", b.Models, r.Models)
		l.addChange(EffectRouting, o, "public", b.Public, r.Public)
		l.addChange(EffectRouting, o, "has prompt", b.HasPrompt, r.HasPrompt)
		l.addChange(EffectRouting, o, "resumable", b.Resumable, r.Resumable)
		l.addChange(EffectRouting, o, "priority", b.Priority, r.Priority)
		l.addChange(EffectLimit, o, "time-out", b.Timeout, r.Timeout)
		l.addChange(EffectLimit, o, "latency objective", b.LatencyObjective, r.LatencyObjective)
		l.addChange(EffectLimit, o, "gap objective", b.GapObjective, r.GapObjective)
		l.addChange(EffectLimit, o, "attempts", b.MaxAttempts, r.MaxAttempts)
	}
}

func routeObject(r *routing.Route) string { return "route " + r.Host + r.Prefix }

func (l *differences) compareService(b, a routing.Service) {
	o := "service " + a.Name
	l.addChange(EffectLimit, o, "connection limit", b.ConnectionLimit, a.ConnectionLimit)
	l.addChange(EffectLimit, o, "cold duration", b.ColdStart.Duration, a.ColdStart.Duration)
	l.addChange(EffectLimit, o, "cold rate", b.ColdStart.PerSecond, a.ColdStart.PerSecond)
	l.addChange(EffectRouting, o, "has engines", b.Engine != nil, a.Engine != nil)
	if b.Engine == nil || a.Engine == nil {
		return
	}
	l.addChange(EffectLimit, o, "slots", b.Engine.Slots, a.Engine.Slots)
	l.addChange(EffectLimit, o, "cache tokens", b.Engine.CacheTokens, a.Engine.CacheTokens)
	l.addItems(o, "model", slices.Sorted(maps.Keys(b.Engine.Models)), slices.Sorted(maps.Keys(a.Engine.Models)))
	for _, n := range slices.Sorted(maps.Keys(a.Engine.Models)) {
		if m, ok := b.Engine.Models[n]; ok {
			l.addChange(EffectRouting, o, "cost of model "+n, m.CostPer1000Tokens, a.Engine.Models[n].CostPer1000Tokens)
		}
	}
}

func (l *differences) compareOrganisations(before, after *routing.Configuration) {
	if b, a := before.RequiresKeys(), after.RequiresKeys(); b && !a {
		l.add(EffectRemoval, "organisations", "none is left: requests need no key")
	} else if a && !b {
		l.add(EffectRemoval, "organisations", "requests without a key are refused now")
	}
	old, current := organisationsByName(before), organisationsByName(after)
	for n, b := range old {
		if _, ok := current[n]; !ok {
			l.add(EffectRemoval, "organisation "+n, "is removed with %d keys", len(b.Keys))
		}
	}
	for n, a := range current {
		b, ok := old[n]
		if !ok {
			l.add(EffectAddition, "organisation "+n, "is added with %d keys", len(a.Keys))
			continue
		}
		l.addKeys("organisation "+n, b.Keys, a.Keys)
		l.addChange(EffectRouting, "organisation "+n, "priority", priorityText(b.Priority), priorityText(a.Priority))
	}
}

// organisationsByName joins the organisations of a name, each of which is in force with its keys.
func organisationsByName(c *routing.Configuration) map[string]routing.Organisation {
	m := map[string]routing.Organisation{}
	for _, o := range c.Organisations {
		o.Keys = append(slices.Clone(m[o.Name].Keys), o.Keys...)
		m[o.Name] = o
	}
	return m
}

// priorityText returns the priority as text, or "that of the route" if there is none.
func priorityText(p *int) any {
	if p == nil {
		return "that of the route"
	}
	return *p
}
