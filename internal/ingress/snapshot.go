package ingress

import (
	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// snapshot is the immutable state that the control goroutine published last.
type snapshot struct {
	configuration         *routing.Configuration // nil until the first configuration is read
	configurationEvidence changefeed.Evidence
	registryRead          bool // the endpoint registry has been read
	registryEvidence      changefeed.Evidence
}

// ready reports whether requests can be served.
func (s *snapshot) ready() bool { return s.configuration != nil && s.registryRead }
