package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/stall"
)

// TestTimeoutCrossesEvent guards against a stream that is cancelled although its next event was read while the timeout for it was being
// handled.
func TestTimeoutCrossesEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, w := startWatchdog(t.Context(), time.Second)
		defer w.stop()
		w.mu.Lock()
		time.Sleep(time.Second) // the timer expires, and its function waits for the mutex
		w.resetLocked(time.Minute)
		w.mu.Unlock()
		synctest.Wait()
		if ctx.Err() != nil {
			t.Error("cancelled after its next event")
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if ctx.Err() == nil {
			t.Error("not cancelled after a minute without an event")
		}
	})
}

// TestLateTimeout guards against a stream that is cancelled for its silence when this process was not running, so that it could not
// read what has arrived, and against one that is never cancelled then.
func TestLateTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, w := startWatchdog(t.Context(), time.Minute)
		defer w.stop()
		s := stall.DefaultSettings()
		w.mu.Lock()
		w.deadline = time.Now().Add(-2 * s.MaxTimerDelay)
		w.mu.Unlock()
		w.onTimer()
		if ctx.Err() != nil {
			t.Error("cancelled without time to read")
		}
		time.Sleep(s.CatchUpWait)
		synctest.Wait()
		if ctx.Err() == nil {
			t.Error("not cancelled after the time to read")
		}
	})
}
