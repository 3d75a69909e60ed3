package peer

import (
	"context"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// TestCallsAfterStop guards against goroutines that are started while or after the service waits for its last ones: the race detector
// reports them, and they outlive the service.
func TestCallsAfterStop(t *testing.T) {
	s := startService(t, 0, standin.NewInstanceList(), Hooks{}, nil)
	go s.Stop()
	for begin := time.Now(); s.ctx.Err() == nil && time.Since(begin) < 10*time.Second; {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond) // Stop has most likely returned, and nothing here has waited for it
	s.Witness().ReleaseBills([]BillID{{"o", "k"}})
	if err := s.Witness().HoldBill(context.Background(), record.Bill{Organisation: "o", Key: "k"}); !hasKind(err, ErrStopped) {
		t.Errorf("bill: got %v, want %s", err, ErrStopped)
	}
	if _, err := s.relay.appendThrough(context.Background(), s, membership.Member{ID: "i1"}, "bills", nil); !hasKind(err, ErrStopped) {
		t.Errorf("append: got %v, want %s", err, ErrStopped)
	}
}
