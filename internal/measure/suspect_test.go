package measure

import (
	"reflect"
	"testing"
	"time"
)

// TestSuspectModelIsDeterministic guards equal tables for equal seeds, and that the model without a defence differs
// from the one with it.
func TestSuspectModelIsDeterministic(t *testing.T) {
	run := func(defence bool) suspectResult {
		m := newSuspectModel(1, 200*time.Millisecond)
		m.defence = defence
		m.after(suspectRates.warm, m.poison)
		return m.run(time.Minute).result
	}
	a := run(true)
	if b := run(true); !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with one seed differ: %+v, %+v", a, b)
	}
	if a.lost > 2 || a.innocentLost+a.innocentRefused > 0 {
		t.Errorf("with the defence: %+v", a)
	}
	if b := run(false); b.lost <= 2 {
		t.Errorf("without the defence %d endpoints are lost; the model has no poison", b.lost)
	}
}
