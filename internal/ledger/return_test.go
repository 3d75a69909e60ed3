package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/standin"
)

// Guards against an order that runs twice because the claim of its first attempt was lost when the log returned from an older copy, and
// against instances that claim no key any more after that.
func TestClaimerReturnedLog(t *testing.T) {
	for name, tc := range map[string]struct {
		following bool          // the second instance has read the lost claim
		regrow    int           // claims of other keys after the return, so that the stream grows past the position of readers
		wait      time.Duration // between the return and the second attempt
	}{
		"following":          {following: true},
		"following, regrown": {following: true, regrow: 4},
		"started later":      {},
		"long after":         {wait: 10 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(ctx context.Context, o Options, log *standin.Log, wait func(interface{ Wait() })) {
				first, second := NewClaimer(ctx, o, ClaimSettings{}), NewClaimer(ctx, o, ClaimSettings{})
				wait(first)
				wait(second)
				order := func() ClaimRequest {
					return ClaimRequest{Organisation: "lys", IdempotencyKey: newKey(t), Deadline: time.Now().Add(30 * time.Second)}
				}
				k := order()
				ticket, err := first.ClaimKey(ctx, k)
				if err != nil || ticket.BeginSend() != nil {
					t.Fatalf("first attempt: %v", err)
				}
				if tc.following {
					if _, err := second.ClaimKey(ctx, k); errorKind(err) != ErrInProgress {
						t.Fatalf("second attempt before the return: %v", err)
					}
				}
				time.Sleep(time.Second)
				log.SetFaults(standin.Faults{CopyAge: 5 * time.Second})
				log.SetFaults(standin.Faults{})
				for range tc.regrow {
					if _, err := log.Append(ctx, second.partitionFor(k).stream, []byte("{}")); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(tc.wait)
				k.Deadline = time.Now().Add(30 * time.Second)
				if again, err := second.ClaimKey(ctx, k); err == nil && again.BeginSend() == nil {
					t.Error("the order may be sent twice")
				}
				time.Sleep(2 * time.Minute)
				late := NewClaimer(ctx, o, ClaimSettings{})
				wait(late)
				// Its claim gets an offset that the other instances have read before.
				next := order()
				for late.partitionFor(next).stream != first.partitionFor(k).stream {
					next = order()
				}
				if ticket, err := late.ClaimKey(ctx, next); err != nil || ticket.BeginSend() != nil {
					t.Fatalf("a key that was issued after the return: %v", err)
				}
				for _, c := range []*Claimer{first, second} {
					if ticket, err := c.ClaimKey(ctx, next); err == nil && ticket.BeginSend() == nil {
						t.Error("an order of the new era may be sent twice")
					}
					if ticket, err := c.ClaimKey(ctx, order()); err != nil || ticket.BeginSend() != nil {
						t.Errorf("a key of the new era: %v", err)
					}
				}
			})
		})
	}
}
