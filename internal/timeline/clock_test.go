package timeline

import (
	"errors"
	"testing"
	"time"
)

// TestClockNeverStepsBack guards against timestamps that repeat or decrease when the wall clock stands still or is set
// back.
func TestClockNeverStepsBack(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string][]time.Duration{ // readings of the wall clock, relative to start
		"forward":    {0, 1, 2},
		"still":      {5, 5, 5},
		"set back":   {10, 3, 4, 11},
		"large step": {time.Hour, 0, 2 * time.Hour},
	}
	for name, readings := range tests {
		t.Run(name, func(t *testing.T) {
			var wall time.Time
			c := NewClock(func() time.Time { return wall })
			var last Timestamp
			for _, d := range readings {
				wall = start.Add(d)
				s := c.Now()
				if s.Compare(last) <= 0 {
					t.Errorf("%v follows %v", s, last)
				}
				last = s
			}
		})
	}
}

// TestUpdateBound guards against a peer with a broken clock that advances the clocks of other instances.
func TestUpdateBound(t *testing.T) {
	wall := time.Unix(1000, 0)
	tests := map[string]struct {
		ahead    time.Duration
		accepted bool
	}{
		"behind":   {-time.Hour, true},
		"at bound": {MaxClockAhead, true},
		"beyond":   {MaxClockAhead + 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewClock(func() time.Time { return wall })
			remote := Timestamp{Wall: wall.Add(test.ahead).UnixNano(), Count: 7}
			s, err := c.Update(remote)
			var e *Error
			if errors.As(err, &e) == test.accepted {
				t.Fatalf("got error %v", err)
			}
			if after := s.Compare(remote) > 0; after != test.accepted {
				t.Errorf("%v is after %v: %v", s, remote, after)
			}
		})
	}
}

// TestTimestampText guards against timestamps that change when they are formatted and parsed, and against malformed ones
// that are accepted.
func TestTimestampText(t *testing.T) {
	s := Timestamp{Wall: 1764824238000000012, Count: 3}
	const text = "2025-12-04T04:57:18.000000012Z/3"
	if s.String() != text {
		t.Errorf("got %s, want %s", s, text)
	}
	if p, err := ParseTimestamp(text); err != nil || p != s {
		t.Errorf("got %v, %v", p, err)
	}
	for _, bad := range []string{"", "1/2", "2025-12-04T04:57:18.000000012Z", "2025-12-04T04:57:18.000000012Z/-1"} {
		if _, err := ParseTimestamp(bad); err == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
}
