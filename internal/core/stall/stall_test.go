package stall

import (
	"testing"
	"time"
)

// TestExtendWait guards against giving up on a healthy request because this process was not running, its network link
// was down or the endpoint was busy with a long prompt, and against waiting for a stalled request forever.
func TestExtendWait(t *testing.T) {
	const timeout = time.Second
	s := DefaultSettings()
	for name, c := range map[string]struct {
		c    Input
		want time.Duration
	}{
		"no response":                     {Input{Timeout: timeout, Waits: 1, OtherEndpoints: 5, SilentEndpoints: 1}, 0},
		"no response, endpoint active":    {Input{Timeout: timeout, Waits: 1, EndpointActive: true, OtherEndpoints: 5}, 0},
		"stream, endpoint silent":         {Input{Timeout: timeout, Waits: 1, Started: true, OtherEndpoints: 5, SilentEndpoints: 2}, 0},
		"stream, endpoint active":         {Input{Timeout: timeout, Waits: 1, Started: true, EndpointActive: true, OtherEndpoints: 5}, timeout},
		"stream stalled, endpoint active": {Input{Timeout: timeout, Waits: 2, Started: true, EndpointActive: true, OtherEndpoints: 5}, 0},
		"process was not running":         {Input{Timeout: timeout, Waits: 3, TimerDelay: time.Second, OtherEndpoints: 5, SilentEndpoints: 5}, s.CatchUpWait},
		"all endpoints silent":            {Input{Timeout: timeout, Waits: 1, OtherEndpoints: 5, SilentEndpoints: 5}, timeout},
		"all endpoints silent for long":   {Input{Timeout: timeout, Waits: 2, OtherEndpoints: 5, SilentEndpoints: 5}, 0},
		"only one other endpoint, silent": {Input{Timeout: timeout, Waits: 1, OtherEndpoints: 1, SilentEndpoints: 1}, 0},
		"no other endpoint":               {Input{Timeout: timeout, Waits: 1}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if d := s.ExtendWait(c.c); d != c.want {
				t.Errorf("ExtendWait returned %v, want %v", d, c.want)
			}
		})
	}
}

// TestStalledEnds guards against waiting for a stalled request forever, whatever the state of the other endpoints.
func TestStalledEnds(t *testing.T) {
	s := DefaultSettings()
	for _, started := range []bool{false, true} {
		for _, active := range []bool{false, true} {
			for silent := range 4 {
				waits := 1
				for ; s.ExtendWait(Input{Timeout: time.Second, Waits: waits, Started: started, EndpointActive: active, OtherEndpoints: 3, SilentEndpoints: silent}) > 0; waits++ {
					if waits > 5 {
						t.Fatalf("started %v, active %v, %d silent: still waiting after 5 waits", started, active, silent)
					}
				}
			}
		}
	}
}
