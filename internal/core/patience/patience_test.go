package patience

import (
	"testing"
	"time"
)

// TestMore guards against sound runs that are given up because this process was held up, its own link was cut, or the
// endpoint was busy with a long prompt, and against stalled ones that are waited for without end.
func TestMore(t *testing.T) {
	const bound = time.Second
	s := DefaultSettings()
	for name, c := range map[string]struct {
		c    Case
		want time.Duration
	}{
		"mute from the start":               {Case{Bound: bound, Waits: 1, Others: 5, Silent: 1}, 0},
		"mute, endpoint answers others":     {Case{Bound: bound, Waits: 1, Alive: true, Others: 5}, 0},
		"stream, endpoint dark":             {Case{Bound: bound, Waits: 1, Begun: true, Others: 5, Silent: 2}, 0},
		"stream, endpoint busy":             {Case{Bound: bound, Waits: 1, Begun: true, Alive: true, Others: 5}, bound},
		"stream stalled, endpoint lives":    {Case{Bound: bound, Waits: 2, Begun: true, Alive: true, Others: 5}, 0},
		"process was held up":               {Case{Bound: bound, Waits: 3, Late: time.Second, Others: 5, Silent: 5}, s.Catch},
		"own link silent":                   {Case{Bound: bound, Waits: 1, Others: 5, Silent: 5}, bound},
		"own link silent for long":          {Case{Bound: bound, Waits: 2, Others: 5, Silent: 5}, 0},
		"one other endpoint, silent too":    {Case{Bound: bound, Waits: 1, Others: 1, Silent: 1}, 0},
		"no other endpoint to compare with": {Case{Bound: bound, Waits: 1}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if d := s.More(c.c); d != c.want {
				t.Errorf("waits %v more, want %v", d, c.want)
			}
		})
	}
}

// TestStalledEnds guards against a run that is waited for without end whatever the other endpoints do.
func TestStalledEnds(t *testing.T) {
	s := DefaultSettings()
	for _, begun := range []bool{false, true} {
		for _, alive := range []bool{false, true} {
			for silent := range 4 {
				waits := 1
				for ; s.More(Case{Bound: time.Second, Waits: waits, Begun: begun, Alive: alive, Others: 3, Silent: silent}) > 0; waits++ {
					if waits > 5 {
						t.Fatalf("begun %v, alive %v, %d silent: still waiting", begun, alive, silent)
					}
				}
			}
		}
	}
}
