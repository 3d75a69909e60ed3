package directory

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Directory is one version of the operators' configuration; it is never changed after Index.
type Directory struct {
	Version       int64
	Routes        []Route
	Services      map[string]Service
	Organisations []Organisation
	Limits        Limits

	hosts map[string][]*Route // longest prefix first
	keys  map[string]*Organisation
}

// Limits bounds what one request of a client may hold and how long a client may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is a caller with its API keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority *int // goes before the route's priority; nil if it has none
}

// Service is a pool of endpoints that answer the same requests.
type Service struct {
	Name            string
	ConnectionLimit int // connections of all callers together to one endpoint
	Engine          *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots       int // requests that run at once
	CacheTokens int
	Models      map[string]Model
}

// Model is one of the models that an engine serves.
type Model struct {
	Name string
	Cost float64 // for 1,000 generated tokens; a prompt token counts as a quarter
}

// Index prepares lookups; call it once after filling the directory.
func (d *Directory) Index() {
	d.hosts, d.keys = map[string][]*Route{}, map[string]*Organisation{}
	for i := range d.Routes {
		r := &d.Routes[i]
		d.hosts[r.Host] = append(d.hosts[r.Host], r)
	}
	for _, l := range d.hosts {
		slices.SortStableFunc(l, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Organisations {
		for _, k := range d.Organisations[i].Keys {
			d.keys[k] = &d.Organisations[i]
		}
	}
}

// Match returns the route with the longest prefix of the path at the host, or nil.
func (d *Directory) Match(host, path string) *Route {
	l, ok := d.hosts[host]
	if !ok {
		if h, _, err := net.SplitHostPort(host); err == nil {
			l = d.hosts[h]
		}
	}
	for _, r := range l {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Holder returns the organisation that holds an API key, or nil.
func (d *Directory) Holder(key string) *Organisation { return d.keys[key] }

// Closed reports whether routes that are not public require a key.
func (d *Directory) Closed() bool { return len(d.Organisations) > 0 }
