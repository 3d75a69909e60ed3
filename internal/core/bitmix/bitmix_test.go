package bitmix

import (
	"math/bits"
	"testing"
)

// TestMix guards against values that give the same ranking of endpoints because only their low bits differ.
func TestMix(t *testing.T) {
	for bit := range 64 {
		changed := 0
		const values = 64
		for x := uint64(1); x <= values; x++ {
			changed += bits.OnesCount64(Mix(x*0x9e3779b97f4a7c15) ^ Mix(x*0x9e3779b97f4a7c15^1<<bit))
		}
		if mean := float64(changed) / values; mean < 24 || mean > 40 {
			t.Errorf("input bit %d changes %.1f output bits on average, want 24 to 40", bit, mean)
		}
	}
}
