package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// TestRegressionAfterCompletion guards against a version that turns bad after its roll-out and of which nobody learns, and
// against warnings about a version that fails as often as the old one did.
func TestRegressionAfterCompletion(t *testing.T) {
	const answers, interval = 300, 200 * time.Millisecond // a minute at an instance with five requests a second
	for name, c := range map[string]struct {
		oldRate, newRate float64
		minWarned        int // of 20 seeds
		maxWarned        int
	}{
		"both good":        {0, 0, 0, 0},
		"both fail rarely": {0.02, 0.02, 0, 1},
		"turns bad":        {0.01, 0.3, 20, 20},
		"turns a bit bad":  {0.005, 0.08, 18, 20},
	} {
		t.Run(name, func(t *testing.T) {
			warned := 0
			for seed := range uint64(20) {
				rng, now := rand.New(rand.NewPCG(seed, 1)), time.Unix(1000, 0)
				r := New(DefaultSettings(0.15, 30))
				r.UpdateVersions(Versions{"v1": {Count: 3}})
				r.ApplyOrder(now, routing.RolloutOrder{Service: "s", Target: "v2", Duration: time.Minute}, true)
				for range 1000 {
					r.evidence.totals.countTotal(false, rng.Float64() < c.oldRate)
				}
				r.ApplyPublished(routing.RolloutStatus{Service: "s", Target: "v2", State: routing.RolloutCompleted})
				warnings := 0
				for range answers {
					now = now.Add(interval)
					if _, ok := r.RecordCompleted(now, "v2", rng.Float64() < c.newRate); ok {
						warnings++
					}
					if _, ok := r.RecordCompleted(now, "v1", true); ok {
						t.Error("a warning about the old version")
					}
				}
				if warnings > 0 {
					warned++
				}
				if limit := int(answers*interval/completedWarnInterval) + 1; warnings > limit {
					t.Errorf("%d warnings", warnings)
				}
			}
			if warned < c.minWarned || warned > c.maxWarned {
				t.Error(fmt.Sprint("warned on ", warned, " of 20 seeds"))
			}
		})
	}
}
