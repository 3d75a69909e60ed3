package directory

import "time"

// Kind states whether the requests of a route may be repeated.
type Kind string

// Kinds of routes.
const (
	Idempotent Kind = "idempotent" // requests may run more than once
	Once       Kind = "once"       // requests run at most once for each attempt of a client
	Stream     Kind = "stream"     // responses are event streams; requests run at most once unless the route is resumable
)

// Route maps the requests with a host and path prefix to services.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Kind      Kind
	Timeout   time.Duration // limit on the time to the last byte of the response; 0 means no limit
	Objective time.Duration // target for the time to the response, or to its first event
	MaxGap    time.Duration // target for the longest gap between events
	Priority  int           // 0 is the most urgent
	Models    []string      // smallest first; empty if the client chooses the model
	Split     []Share
	Attempts  int  // maximum number of endpoints for one request
	Public    bool // requests need no API key
	Generates bool // requests carry a prompt and may belong to a session
	Resumable bool // another endpoint can continue a stream after the last delivered event
}

// Share is a service's share of a route's traffic.
type Share struct {
	Service string
	Weight  float64 // relative to the sum of all weights
}

// Repeatable reports whether a request may be sent again after it may already have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns a service with a probability proportional to its weight, for u drawn uniformly from [0, 1).
func (r *Route) Pick(u float64) string {
	var sum float64
	for _, s := range r.Split {
		sum += s.Weight
	}
	u *= sum
	for _, s := range r.Split {
		if u -= s.Weight; u < 0 {
			return s.Service
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// Sends reports whether the route sends requests to the service.
func (r *Route) Sends(service string) bool {
	for _, s := range r.Split {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}
