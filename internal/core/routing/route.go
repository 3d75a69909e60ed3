package routing

import "time"

// RouteKind states whether the requests of a route may be repeated.
type RouteKind string

// Kinds of routes.
const (
	Idempotent RouteKind = "idempotent" // requests may run more than once
	AtMostOnce RouteKind = "once"       // requests run at most once for each attempt of a client
	Stream     RouteKind = "stream"     // responses are event streams; requests run at most once unless the route is resumable
)

// Route maps the requests with a host and path prefix to services.
type Route struct {
	Name             string
	Host             string
	Prefix           string
	Kind             RouteKind
	Timeout          time.Duration // limit on the time to the last byte of the response; 0 means no limit
	LatencyObjective time.Duration // target for the time to the response, or to its first event
	GapObjective     time.Duration // target for the longest gap between events
	Priority         int           // 0 is the most urgent
	Models           []string      // smallest first; empty if the client chooses the model
	Shares           []ServiceShare
	MaxAttempts      int  // maximum number of endpoints for one request
	Public           bool // requests need no API key
	HasPrompt        bool // requests carry a prompt and may belong to a session
	Resumable        bool // another endpoint can continue a stream after the last delivered event
}

// ServiceShare is a service's share of a route's traffic.
type ServiceShare struct {
	Service string
	Weight  float64 // relative to the sum of all weights
}

// Repeatable reports whether a request may be sent again after it may already have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns a service with a probability proportional to its weight, for u drawn uniformly from [0, 1).
func (r *Route) PickService(u float64) string {
	var sum float64
	for _, s := range r.Shares {
		sum += s.Weight
	}
	u *= sum
	for _, s := range r.Shares {
		if u -= s.Weight; u < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// SendsTo reports whether the route sends requests to the service.
func (r *Route) SendsTo(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}
