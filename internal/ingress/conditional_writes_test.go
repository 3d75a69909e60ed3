package ingress

import (
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
)

// TestConditionalWritesDuringCut guards against instances that are cut off from the reader of a topic and write to it again and again
// with a condition that can't hold any more. In the first two seconds of a roll-out, 64 instances made 322 calls that way.
func TestConditionalWritesDuringCut(t *testing.T) {
	const (
		instances = 64
		spread    = time.Second
		period    = 2 * time.Second
	)
	start := time.Unix(0, 0)
	calls := 0
	for range instances {
		w := newConditionalWrites()
		for d := time.Duration(0); d < period; d += publishInterval {
			if w.due(start.Add(d), "service", changefeed.Position{Offset: 7}, spread) {
				calls++
				w.recordFailure(start.Add(d), "service", changefeed.Position{Offset: 7}, spread)
			}
		}
	}
	if calls > instances {
		t.Errorf("%d calls, want one of each of the %d instances at most", calls, instances)
	}
}

// TestConditionalWriteAfterRead guards against a write that is not repeated once its topic has been read again, or is never
// repeated because the topic did not change.
func TestConditionalWriteAfterRead(t *testing.T) {
	for name, c := range map[string]struct {
		after       time.Duration
		era, offset int64
		want        bool
	}{
		"same offset, soon":  {100 * time.Millisecond, 0, 7, false},
		"same offset, later": {minWriteRetryDelay, 0, 7, true},
		"new offset, soon":   {100 * time.Millisecond, 0, 8, true},
		"new era, soon":      {100 * time.Millisecond, 1, 7, true},
	} {
		t.Run(name, func(t *testing.T) {
			w, now := newConditionalWrites(), time.Unix(0, 0)
			if !w.due(now, "service", changefeed.Position{Offset: 7}, 0) {
				t.Fatal("the first write is not due")
			}
			w.recordFailure(now, "service", changefeed.Position{Offset: 7}, 0)
			if got := w.due(now.Add(c.after), "service", changefeed.Position{Era: c.era, Offset: c.offset}, 0); got != c.want {
				t.Errorf("due: %v, want %v", got, c.want)
			}
		})
	}
}
