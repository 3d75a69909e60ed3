package measure

import (
	"reflect"
	"testing"
)

// TestRollOutIsDeterministic guards against tables that differ between two runs with one seed.
func TestRollOutIsDeterministic(t *testing.T) {
	var last []Table
	for range 2 {
		l, err := rolloutTables(7, [5]int{5, 2, 2, 2, 1}, 5)
		if err != nil {
			t.Fatal(err)
		}
		if last != nil && !reflect.DeepEqual(l, last) {
			t.Fatal("two runs with the same seed differ")
		}
		last = l
	}
}

// TestRollOutTargets checks that at most 1 of 1,000 healthy roll-outs is stopped and that all clearly bad versions are.
func TestRollOutTargets(t *testing.T) {
	r, err := simulateRollouts(healthyRolloutCases[0], 3, 1000, rolloutEvaluators[0].newEvaluator)
	if err != nil {
		t.Fatal(err)
	}
	if r.stopped > 1 || r.completed+r.stopped != 1000 {
		t.Errorf("%d of 1000 healthy roll-outs stopped, %d done", r.stopped, r.completed)
	}
	for _, i := range []int{0, 1, 5, 7} { // half of the answers short, on 1 and 9 instances; half and all calls failed
		r, err := simulateRollouts(badRolloutCases[i], 3, 20, rolloutEvaluators[0].newEvaluator)
		if err != nil {
			t.Fatal(err)
		}
		if r.stopped != 20 {
			t.Errorf("%s: %d of 20 stopped", badRolloutCases[i].name, r.stopped)
		}
	}
}
