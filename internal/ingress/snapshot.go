package ingress

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// snapshot is the immutable state that the control goroutine published last.
type snapshot struct {
	configuration   *routing.Configuration // nil until the first configuration is read
	configurationAt time.Time              // the configuration is at least as recent as this time
	registryAt      time.Time              // the endpoints are at least as recent as this time; zero until the registry is read
}

// ready reports whether requests can be served.
func (s *snapshot) ready() bool { return s.configuration != nil && !s.registryAt.IsZero() }
