package relay

import (
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
)

// TestStreamClock guards against messages that look younger than they are because their numbers are odd.
func TestStreamClock(t *testing.T) {
	c := &streamClock{}
	for i := range instant(3) {
		c.stamp(&relaypb.Loads{}, 10*(i+1))
	}
	for _, x := range []struct {
		number, answers uint32
		want            time.Duration
	}{
		{0, 0, 0}, // an older release
		{1, 0, 100},
		{1, 1, 90},
		{2, 2, 80},
		{3, 2, 80},
		{4, 1, 100}, // not sent in this order
		{5, 9, 100}, // never sent
		{6, 3, 70},
	} {
		if got := c.maxAge(&relaypb.Loads{Number: x.number, Answers: x.answers}, 100); got != x.want {
			t.Errorf("message %d, which answers %d: age %d, want %d", x.number, x.answers, got, x.want)
		}
	}
	for i := range instant(2 * maxUnanswered) {
		c.stamp(&relaypb.Loads{}, 100+i)
	}
	if n := len(c.sentAt); n > maxUnanswered {
		t.Errorf("%d times are kept", n)
	}
}
