package engine

import (
	"testing"
	"testing/synctest"
	"time"
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
