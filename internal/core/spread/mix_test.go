package spread

import (
	"math/bits"
	"testing"
)

// TestMix guards against values that rank endpoints alike because only their low bits differ.
func TestMix(t *testing.T) {
	for b := range 64 {
		changed := 0
		const values = 64
		for x := uint64(1); x <= values; x++ {
			changed += bits.OnesCount64(Mix(x*0x9e3779b97f4a7c15) ^ Mix(x*0x9e3779b97f4a7c15^1<<b))
		}
		if mean := float64(changed) / values; mean < 24 || mean > 40 {
			t.Errorf("bit %d changes %.1f bits on average", b, mean)
		}
	}
}
