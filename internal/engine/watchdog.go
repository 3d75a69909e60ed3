package engine

import (
	"context"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/stall"
)

// watchdog cancels a call that makes no progress in time.
type watchdog struct {
	cancel context.CancelFunc
	parent context.Context
	stall  stall.Settings

	mu       sync.Mutex
	timer    *time.Timer // calls onTimer
	deadline time.Time
	expired  bool
}

// startWatchdog returns a context that is cancelled once d has passed without a reset.
func startWatchdog(ctx context.Context, d time.Duration) (context.Context, *watchdog) {
	guarded, cancel := context.WithCancel(ctx)
	w := &watchdog{parent: ctx, cancel: cancel, stall: stall.DefaultSettings(), deadline: time.Now().Add(d)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(d, w.onTimer)
	return guarded, w
}

// onTimer cancels the call, unless it was reset since the timer expired. If this process was not running, it waits for data that has
// arrived meanwhile.
func (w *watchdog) onTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := time.Since(w.deadline)
	if late < 0 {
		return
	}
	if d := w.stall.ExtendWait(stall.Input{TimerDelay: late}); d > 0 {
		w.resetLocked(d)
		return
	}
	w.expired = true
	w.cancel()
}

// reset restarts the wait, unless the call has been cancelled.
func (w *watchdog) reset(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.expired {
		w.resetLocked(d)
	}
}

// resetLocked restarts the wait. The caller holds the mutex.
func (w *watchdog) resetLocked(d time.Duration) {
	w.deadline = time.Now().Add(d)
	w.timer.Reset(d)
}

// stop ends the call and the wait.
func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel()
}

// classify turns a transport error into an *Error: the caller cancelled, the timer expired or the connection failed.
func (w *watchdog) classify(op string, err error) error {
	w.mu.Lock()
	expired := w.expired
	w.mu.Unlock()
	switch {
	case w.parent.Err() != nil:
		return &Error{Op: op, Kind: ErrCancelled, Err: w.parent.Err()}
	case expired:
		return &Error{Op: op, Kind: ErrTimeout, Err: err}
	default:
		return &Error{Op: op, Kind: transportErrorKind(err, ErrConnectionLost), Err: err}
	}
}
