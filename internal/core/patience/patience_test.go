package patience

import (
	"testing"
	"time"
)

// TestMore guards against giving up on a healthy request because this process was not running, its network link was down
// or the endpoint was busy with a long prompt, and against waiting for a stalled request forever.
func TestMore(t *testing.T) {
	const bound = time.Second
	s := DefaultSettings()
	for name, c := range map[string]struct {
		c    Case
		want time.Duration
	}{
		"no response":                     {Case{Bound: bound, Waits: 1, Others: 5, Silent: 1}, 0},
		"no response, endpoint active":    {Case{Bound: bound, Waits: 1, Alive: true, Others: 5}, 0},
		"stream, endpoint silent":         {Case{Bound: bound, Waits: 1, Begun: true, Others: 5, Silent: 2}, 0},
		"stream, endpoint active":         {Case{Bound: bound, Waits: 1, Begun: true, Alive: true, Others: 5}, bound},
		"stream stalled, endpoint active": {Case{Bound: bound, Waits: 2, Begun: true, Alive: true, Others: 5}, 0},
		"process was not running":         {Case{Bound: bound, Waits: 3, Late: time.Second, Others: 5, Silent: 5}, s.CatchUpWait},
		"all endpoints silent":            {Case{Bound: bound, Waits: 1, Others: 5, Silent: 5}, bound},
		"all endpoints silent for long":   {Case{Bound: bound, Waits: 2, Others: 5, Silent: 5}, 0},
		"only one other endpoint, silent": {Case{Bound: bound, Waits: 1, Others: 1, Silent: 1}, 0},
		"no other endpoint":               {Case{Bound: bound, Waits: 1}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if d := s.More(c.c); d != c.want {
				t.Errorf("More returned %v, want %v", d, c.want)
			}
		})
	}
}

// TestStalledEnds guards against waiting for a stalled request forever, whatever the state of the other endpoints.
func TestStalledEnds(t *testing.T) {
	s := DefaultSettings()
	for _, begun := range []bool{false, true} {
		for _, alive := range []bool{false, true} {
			for silent := range 4 {
				waits := 1
				for ; s.More(Case{Bound: time.Second, Waits: waits, Begun: begun, Alive: alive, Others: 3, Silent: silent}) > 0; waits++ {
					if waits > 5 {
						t.Fatalf("begun %v, alive %v, %d silent: still waiting after 5 waits", begun, alive, silent)
					}
				}
			}
		}
	}
}
