package measure

import (
	"reflect"
	"testing"
)

// Guards against a measurement that differs between runs of the same seed.
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

// Guards the stated target of at most 1 false stop per 1,000 healthy roll-outs, and that bad versions are stopped.
func TestRollOutTargets(t *testing.T) {
	r, err := runRollouts(rolloutHealthy[0], 3, 1000, rolloutJudges[0].make)
	if err != nil {
		t.Fatal(err)
	}
	if r.stopped > 1 || r.done+r.stopped != 1000 {
		t.Errorf("%d of 1000 healthy roll-outs stopped, %d done", r.stopped, r.done)
	}
	for _, i := range []int{0, 1, 5, 7} { // half of the answers short, on 1 and 9 instances; half and all calls failed
		r, err := runRollouts(rolloutBad[i], 3, 20, rolloutJudges[0].make)
		if err != nil {
			t.Fatal(err)
		}
		if r.stopped != 20 {
			t.Errorf("%s: %d of 20 stopped", rolloutBad[i].name, r.stopped)
		}
	}
}
