package measure

import (
	"reflect"
	"testing"
	"time"
)

// TestSuspectModelIsDeterministic guards against results that differ between two runs with one seed, and against a model
// in which the defence has no effect.
func TestSuspectModelIsDeterministic(t *testing.T) {
	run := func(defence bool) suspectResult {
		m := newSuspectModel(1, 200*time.Millisecond)
		m.defence = defence
		m.schedule(suspectParameters.warmUp, m.sendPoison)
		return m.simulate(time.Minute).result
	}
	a := run(true)
	if b := run(true); !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with one seed differ: %+v, %+v", a, b)
	}
	if a.endpointsLost > 2 || a.innocentLost+a.innocentRefused > 0 {
		t.Errorf("with the defence: %+v", a)
	}
	if b := run(false); b.endpointsLost <= 2 {
		t.Errorf("without the defence %d endpoints are lost; the model has no poison", b.endpointsLost)
	}
}
