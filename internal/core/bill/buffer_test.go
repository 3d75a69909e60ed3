package bill

import (
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Guards against a second bill that counts when a caller repeats a call, or an order, under the same key after the
// projection has evicted the first bill. internal/core/composed found the fault with -rapid.seed=7630: one call, and 13 min
// later the same call at another instance.
func TestSecondBillUnderOneKey(t *testing.T) {
	start := time.Unix(1_800_000_000, 0).UTC()
	for name, c := range map[string]struct {
		service   string
		after     time.Duration
		wantCheck bool // the second bill needs a check, which finds the first one
	}{
		"response at once":                  {"", time.Second, false},
		"response after the eviction":       {"", 13 * time.Minute, true},
		"response at the end of the window": {"", 15*time.Minute + 20*time.Second, true},
		"response under an old key":         {"", 24 * time.Hour, false}, // counts as a new request
		"order after the eviction":          {"order", 13 * time.Minute, true},
		"order after a long outage":         {"order", 2 * time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := record.Bill{Organisation: "lys", Key: newKey(start), Service: c.service, Issued: start}
			f := NewProjection(0)
			if r := applyBatch(t, f, 0, start, record.BillBatch{Bills: []record.Bill{b}}); r[0].Verdict != Accepted {
				t.Fatalf("verdict on the first bill: %s", r[0].Verdict)
			}
			now := start.Add(c.after)
			b.Issued = now
			h := NewBuffer(1, time.Second)
			h.Add(now, b)
			fresh, check := h.TakeDue(now, 1)
			if got := len(check) == 1; got != c.wantCheck {
				t.Fatalf("needs a check: %v, want %v", got, c.wantCheck)
			}
			if !c.wantCheck {
				return
			}
			// The second bill must not count if it reaches the log without a check.
			if r := applyBatch(t, f, 1, now, record.BillBatch{Bills: append(fresh, check...)}); r[0].Verdict != CheckRequired && r[0].Verdict != Duplicate {
				t.Fatalf("verdict on the second bill: %s", r[0].Verdict)
			}
		})
	}
}

// newKey returns a UUIDv7 with a time of issue.
func newKey(at time.Time) string {
	var u uuid.UUID
	for i := range 6 {
		u[i] = byte(at.UnixMilli() >> (40 - 8*i))
	}
	u[6], u[8] = 0x70, 0x80
	return u.String()
}

// applyBatch applies a batch to a projection and fails the test on an error.
func applyBatch(t *testing.T, f *Projection, offset uint64, now time.Time, b record.BillBatch) []Decision {
	t.Helper()
	l, err := f.Apply(offset, now, b)
	if err != nil {
		t.Fatal(err)
	}
	return l
}
