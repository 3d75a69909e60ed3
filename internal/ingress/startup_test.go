package ingress

import (
	"testing"
	"time"
)

// TestStartRetry guards against clients of restarted instances that retry at the same time, or too soon while the store
// is unavailable.
func TestStartRetry(t *testing.T) {
	for name, c := range map[string]struct{ up, least, most time.Duration }{
		"just started":               {0, minStartupRetryAfter, minStartupRetryAfter * 3 / 2},
		"store unavailable for 2 s":  {2 * time.Second, 2 * time.Second, 3 * time.Second},
		"store unavailable for long": {time.Minute, maxStartupRetryAfter, maxStartupRetryAfter * 3 / 2},
	} {
		t.Run(name, func(t *testing.T) {
			seen := map[time.Duration]bool{}
			for range 20 {
				d := startupRetryAfter(c.up)
				if d < c.least || d > c.most {
					t.Errorf("%v, want %v to %v", d, c.least, c.most)
				}
				seen[d] = true
			}
			if len(seen) < 10 {
				t.Errorf("only %d different times", len(seen))
			}
		})
	}
}
