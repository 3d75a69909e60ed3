package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Configuration is one version of the operators' configuration; it is immutable after BuildIndex.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      map[string]Service
	Organisations []Organisation
	Limits        Limits

	routesByHost       map[string][]*Route      // by host, longest prefix first
	organisationsByKey map[string]*Organisation // by API key
}

// Limits bounds the size of a client's request and the time to receive it.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is a caller that authenticates with API keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority *int // overrides the priority of the route; nil if unset
}

// Service is a pool of endpoints that serve the same requests.
type Service struct {
	Name            string
	ConnectionLimit int // maximum number of connections to one endpoint, from all callers together
	Engine          *Engine
	ColdStart       ColdStart
}

// ColdStart describes how the endpoints of a service begin to work. An endpoint that gets far more requests than PerSecond while
// it is cold crashes.
type ColdStart struct {
	Duration  time.Duration // time for which an endpoint is cold after its start
	PerSecond float64       // requests per second that a cold endpoint tolerates, from all instances together; 0 means no limit
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots       int // number of requests that run concurrently
	CacheTokens int // capacity of the KV cache
	Models      map[string]Model
}

// Model is a model that an engine serves.
type Model struct {
	Name              string
	CostPer1000Tokens float64 // cost of 1,000 generated tokens; a prompt token costs a quarter of a generated one
}

// BuildIndex builds the lookup tables; it must be called once, after the fields are set.
func (c *Configuration) BuildIndex() {
	c.routesByHost, c.organisationsByKey = map[string][]*Route{}, map[string]*Organisation{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, l := range c.routesByHost {
		slices.SortStableFunc(l, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Organisations {
		for _, k := range c.Organisations[i].Keys {
			c.organisationsByKey[k] = &c.Organisations[i]
		}
	}
}

// MatchRoute returns the route at the host with the longest prefix that matches the path, or nil.
func (c *Configuration) MatchRoute(host, path string) *Route {
	l, ok := c.routesByHost[host]
	if !ok {
		if h, _, err := net.SplitHostPort(host); err == nil {
			l = c.routesByHost[h]
		}
	}
	for _, r := range l {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// OrganisationByKey returns the organisation with an API key, or nil.
func (c *Configuration) OrganisationByKey(key string) *Organisation { return c.organisationsByKey[key] }

// RequiresKeys reports whether routes that are not public require an API key.
func (c *Configuration) RequiresKeys() bool { return len(c.Organisations) > 0 }
