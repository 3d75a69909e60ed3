package ingress

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
)

// View is what the control goroutine last published; it is never changed.
type View struct {
	Directory   *directory.Directory // nil until a configuration was read
	OperatorsAt time.Time            // the configuration is at least as new as this
	RegistryAt  time.Time            // the endpoints are at least as new as this; zero until they were read
}

// Ready reports whether requests can be served.
func (v *View) Ready() bool { return v.Directory != nil && !v.RegistryAt.IsZero() }
