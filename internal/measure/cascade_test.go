package measure

import (
	"reflect"
	"testing"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
)

// TestCascadeIsDeterministic guards against tables that differ between two runs with one seed.
func TestCascadeIsDeterministic(t *testing.T) {
	w := &cascadeWorkloads[1]
	var last []Table
	for range 2 {
		l, err := cascadeTables(w, 7, 1500, 500)
		if err != nil {
			t.Fatal(err)
		}
		if last != nil && !reflect.DeepEqual(l, last) {
			t.Fatal("two runs with the same seed differ")
		}
		last = l
	}
}

// TestCascadeTargets checks that the learned cascade reaches the required quality in every case, costs at most 1.05 times
// as much as the policy that knows the true rates at steady state, and never more than running the best version always.
func TestCascadeTargets(t *testing.T) {
	for i := range cascadeWorkloads {
		w := &cascadeWorkloads[i]
		for _, c := range cascadeCases {
			l := cascadeRequests(w, c, 3, 14000, 6000)
			got, err := simulateCascade(w, c, l, newLearnedCascade(w, cascade.Settings{}))
			if err != nil {
				t.Fatal(err)
			}
			best, err := simulateCascade(w, c, l, uniformCascade(w, cascadeBest))
			if err != nil {
				t.Fatal(err)
			}
			all, err := simulateCascade(w, c, l, uniformCascade(w, 0, 1, cascadeBest))
			if err != nil {
				t.Fatal(err)
			}
			// If rating every version in turn misses the quality, no plan of these versions reaches it.
			if (got.worstClassShare() < w.requiredQuality && all.worstClassShare() >= w.requiredQuality) || got.cost > best.cost {
				t.Errorf("%s, %s: quality %.4f at cost %.0f, always best %.0f", w.name, c.name, got.worstClassShare(), got.cost, best.cost)
			}
			if c.name != "steady state" {
				continue
			}
			_, known, err := optimiseFixedCascade(w, c, l)
			if err != nil {
				t.Fatal(err)
			}
			if got.cost > 1.05*known.cost || got.objective > 1.05*known.objective {
				t.Errorf("%s: cost %.0f and objective %.0f, with known rates %.0f and %.0f", w.name, got.cost, got.objective, known.cost, known.objective)
			}
		}
	}
}
