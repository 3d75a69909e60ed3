package standin

import (
	"context"
	"sync"
	"time"
)

// Faults configures the faults of a platform service or plain service. The zero value has none.
type Faults struct {
	Down        bool          `json:"down,omitempty"`         // calls fail without effect
	Delay       time.Duration `json:"delay,omitempty"`        // delay of a call before it takes effect
	LoseReplies int           `json:"lose-replies,omitempty"` // number of calls whose reply is lost after they took effect
	// CopyAge, if positive, makes the log return once from a copy of this age: later records are lost and their offsets are given out again.
	CopyAge time.Duration `json:"copy-age,omitempty"`
}

// faultInjector applies Faults. Each platform service and the plain service embed it.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces the configured faults.
func (s *faultInjector) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// acceptCall waits for the configured delay and reports whether the call may take effect.
func (s *faultInjector) acceptCall(ctx context.Context) bool {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		t := time.NewTimer(f.Delay)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
	return !f.Down
}

// dropReply reports whether the reply of a call that took effect is lost. Each lost reply reduces LoseReplies by one.
func (s *faultInjector) dropReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReplies == 0 {
		return false
	}
	s.faults.LoseReplies--
	return true
}
