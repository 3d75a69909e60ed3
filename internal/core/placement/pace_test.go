package placement

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestPaceOfLongPrompts guards against an estimate that can't tell the fixed time of an answer from that of its prompt: load
// pattern of short and long prompts at the same endpoints. Queues built from it would be off by as much.
func TestPaceOfLongPrompts(t *testing.T) {
	for name, c := range map[string]struct{ base, perToken, stuck float64 }{
		"fast model":         {90, 0.008, 0},
		"slow model":         {95, 0.038, 0},
		"prompt hardly read": {200, 0.0005, 0},
		"some stuck":         {90, 0.02, 0.03},
	} {
		t.Run(name, func(t *testing.T) {
			g := rand.New(rand.NewPCG(7, 7))
			p := New(DefaultSettings("a")).pace(service, "model")
			for range 150 {
				u := 500.0
				if g.IntN(4) == 0 {
					u = 2000 + 18000*g.Float64()
				}
				ms := (c.base + c.perToken*u) * math.Exp(0.2*g.NormFloat64())
				if g.Float64() < c.stuck {
					ms += 5000
				}
				p.first(ms, int(u), 1)
			}
			for _, u := range []float64{0, 5000, 20000} {
				want, got := c.base+c.perToken*u, p.base+p.perToken*u
				if got < want*0.7 || got > want*1.3 {
					t.Errorf("%v tokens: estimated %.0f ms, takes %.0f ms", u, got, want)
				}
			}
		})
	}
}

// TestPaceOfOneSize guards against an estimate that breaks down when all prompts have the same size, or none.
func TestPaceOfOneSize(t *testing.T) {
	for _, u := range []int{0, 700} {
		p := New(DefaultSettings("a")).pace(service, "model")
		for range 300 {
			p.first(40, u, 1)
		}
		if got := p.base + p.perToken*float64(u); math.Abs(got-40) > 4 || p.base < 0 || p.perToken <= 0 {
			t.Errorf("%d tokens: base %.1f ms, per token %.5f ms", u, p.base, p.perToken)
		}
	}
}
