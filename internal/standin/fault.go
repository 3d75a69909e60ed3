package standin

import (
	"context"
	"sync"
	"time"
)

// Faults tells a stand-in how to misbehave.
type Faults struct {
	Down        bool          `json:"down,omitempty"`         // refuse before any effect
	Delay       time.Duration `json:"delay,omitempty"`        // before any effect
	LoseReplies int           `json:"lose-replies,omitempty"` // calls whose reply is lost after the effect
}

// faulty is the switchboard embedded in each platform stand-in.
type faulty struct {
	mu sync.Mutex
	f  Faults
}

// Set replaces the faults.
func (s *faulty) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.f = f
}

// before waits for the delay and reports whether the call may take effect.
func (s *faulty) before(ctx context.Context) bool {
	s.mu.Lock()
	f := s.f
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

// loses reports whether the reply of a call that took effect is lost.
func (s *faulty) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.f.LoseReplies == 0 {
		return false
	}
	s.f.LoseReplies--
	return true
}
