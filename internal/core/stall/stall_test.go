package stall

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
		c    Input
		want time.Duration
	}{
		"no response":                     {Input{Timeout: bound, Waits: 1, OtherEndpoints: 5, SilentEndpoints: 1}, 0},
		"no response, endpoint active":    {Input{Timeout: bound, Waits: 1, EndpointActive: true, OtherEndpoints: 5}, 0},
		"stream, endpoint silent":         {Input{Timeout: bound, Waits: 1, Started: true, OtherEndpoints: 5, SilentEndpoints: 2}, 0},
		"stream, endpoint active":         {Input{Timeout: bound, Waits: 1, Started: true, EndpointActive: true, OtherEndpoints: 5}, bound},
		"stream stalled, endpoint active": {Input{Timeout: bound, Waits: 2, Started: true, EndpointActive: true, OtherEndpoints: 5}, 0},
		"process was not running":         {Input{Timeout: bound, Waits: 3, TimerDelay: time.Second, OtherEndpoints: 5, SilentEndpoints: 5}, s.CatchUpWait},
		"all endpoints silent":            {Input{Timeout: bound, Waits: 1, OtherEndpoints: 5, SilentEndpoints: 5}, bound},
		"all endpoints silent for long":   {Input{Timeout: bound, Waits: 2, OtherEndpoints: 5, SilentEndpoints: 5}, 0},
		"only one other endpoint, silent": {Input{Timeout: bound, Waits: 1, OtherEndpoints: 1, SilentEndpoints: 1}, 0},
		"no other endpoint":               {Input{Timeout: bound, Waits: 1}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if d := s.ExtendWait(c.c); d != c.want {
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
				for ; s.ExtendWait(Input{Timeout: time.Second, Waits: waits, Started: begun, EndpointActive: alive, OtherEndpoints: 3, SilentEndpoints: silent}) > 0; waits++ {
					if waits > 5 {
						t.Fatalf("begun %v, alive %v, %d silent: still waiting after 5 waits", begun, alive, silent)
					}
				}
			}
		}
	}
}
