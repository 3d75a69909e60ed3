package directory

import "time"

// Kind says what may be repeated.
type Kind string

// Kinds of route.
const (
	Idempotent Kind = "idempotent" // may run more than once
	Once       Kind = "once"       // runs at most once for each attempt of a client
	Stream     Kind = "stream"     // answers with events; runs once unless it can be resumed
)

// Route sends requests with a path prefix at a host to services.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Kind      Kind
	Timeout   time.Duration // longest time until the last byte of the answer; 0 has no bound
	Objective time.Duration // within which the answer, or its first event, is on time
	MaxGap    time.Duration // longest pause between events of an answer that is on time
	Priority  int           // 0 is the most urgent
	Models    []string      // smallest first; empty if the client names the model
	Split     []Share
	Attempts  int // endpoints that one request may be sent to
	Public    bool
	Generates bool // requests carry a prompt and may belong to a session
	Resumable bool // a stream goes on at another endpoint after the last event delivered
}

// Share is a service's part of a route's traffic.
type Share struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a number drawn evenly from 0 up to 1.
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
