package ingress

import (
	"sync"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Limits on what is kept of unknown headers, since a faulty endpoint may invent names.
const (
	maxUnknownNames      = 8
	maxUnknownNameLength = 64
	furtherUnknownNames  = "other" // stands for the names beyond maxUnknownNames in the metrics
)

// unknownHeaders logs the first response with each header of the protocol that the decoder does not know, and counts them all. Such a header
// may be a new statement of endpoints, which the instance does not follow.
type unknownHeaders struct {
	logger *zap.Logger
	scope  tally.Scope

	mu       sync.Mutex
	counters map[string]tally.Counter // by name, at most maxUnknownNames and furtherUnknownNames
}

func newUnknownHeaders(l *zap.Logger, s tally.Scope) *unknownHeaders {
	return &unknownHeaders{logger: l, scope: s, counters: map[string]tally.Counter{}}
}

// note records the unknown headers of an endpoint's response to a request.
func (u *unknownHeaders) note(endpoint, request string, names []string) {
	if len(names) == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, n := range names {
		u.noteName(endpoint, request, n[:min(len(n), maxUnknownNameLength)])
	}
}

// noteName records one name. The caller holds the mutex.
func (u *unknownHeaders) noteName(endpoint, request, name string) {
	if c := u.counters[name]; c != nil {
		c.Inc(1)
		return
	}
	message, fields := "endpoint: Responses have a header of the platform that is not known here.", []zap.Field{zap.String("header", name)}
	if len(u.counters) >= maxUnknownNames {
		if c := u.counters[furtherUnknownNames]; c != nil {
			c.Inc(1)
			return
		}
		message, fields, name = "endpoint: Further headers of the platform are not known here; their names are not listed.", nil, furtherUnknownNames
	}
	c := u.scope.Tagged(map[string]string{"header": name}).Counter("unknown_response_headers")
	c.Inc(1)
	u.counters[name] = c
	u.logger.Warn(message, append(fields, zap.String("endpoint", endpoint), zap.String("request", request))...)
}
