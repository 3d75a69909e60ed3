package canary

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// TestRareFailures guards against a version that is completed although a few in a hundred of its answers fail, so that it
// reaches the limit on bad answers when it gets all requests.
func TestRareFailures(t *testing.T) {
	const rolledBack = 0.9 // share of the seeds
	for instances, seeds := range map[int]int{6: 40, 78: 20, 195: 10, 770: 3} {
		for _, rate := range []float64{0.045, 0.1} {
			t.Run(fmt.Sprint(instances, " instances, ", rate), func(t *testing.T) {
				t.Parallel()
				n := 0
				for seed := range seeds {
					bad, reason := simulateInstances(instances, 150+3*instances, uint64(seed), true, 0, func(g *rand.Rand, _ string) (bool, float64) {
						return g.Float64() < rate, 1
					})
					if reason != "" && bad <= maxFailures {
						n++
					}
				}
				if float64(n) < rolledBack*float64(seeds) {
					t.Errorf("rolled back on %d of %d seeds", n, seeds)
				}
			})
		}
	}
}

// TestRareFailuresOfBothVersions guards against the roll-back of a good version that fails as often as the old one does, for
// example because endpoints of both versions are disturbed.
func TestRareFailuresOfBothVersions(t *testing.T) {
	const seeds, falseAlarms = 100, 0.05
	for _, rate := range []float64{0, 0.001, 0.005, 0.02, 0.06} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			t.Parallel()
			n := 0
			for seed := range uint64(seeds) {
				_, reason := simulateInstances(6, 150, seed, true, rate, func(g *rand.Rand, _ string) (bool, float64) { return g.Float64() < rate, 1 })
				if strings.HasPrefix(reason, "rare") {
					n++
				}
			}
			if n > falseAlarms*seeds {
				t.Errorf("rolled back on %d of %d seeds", n, seeds)
			}
		})
	}
}
