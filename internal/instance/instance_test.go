package instance

import (
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
)

// Guards against a freshness bound that the judgement about the configuration does not use.
func TestFreshnessBound(t *testing.T) {
	o := Default("a", "z", "r")
	o.Freshness = 9 * time.Second
	m := membership.Default(membership.Member{}, 1)
	peerSettings(o).Adjust(&m)
	if m.Window != o.Freshness {
		t.Errorf("the window is %v, want %v", m.Window, o.Freshness)
	}
}
