package relay

import (
	"time"

	"golang.org/x/sys/unix"
)

// instant is a point in time on a clock that clock steps do not change. Unlike the monotonic clock it includes the time for
// which the host was suspended, so records read before a suspension are old after it.
type instant time.Duration

// unknown is the instant before all others: nothing is known to be as recent.
const unknown instant = 0

func (i instant) add(d time.Duration) instant { return i + instant(d) }

func (i instant) sub(o instant) time.Duration { return time.Duration(i - o) }

// hostClock returns the time since the start of the host.
func hostClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // only an invalid clock or address fails
	}
	return time.Duration(t.Nano())
}
