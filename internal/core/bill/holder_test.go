package bill

import (
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Guards against a second bill for an order, or an answer, that a caller asks for again under its key after the fold has
// forgotten the first bill: found by internal/core/composed with -rapid.seed=7630, shrunk to one call, 13 min and the
// same call at another instance.
func TestSecondBillUnderOneKey(t *testing.T) {
	start := time.Unix(1_800_000_000, 0).UTC()
	for name, c := range map[string]struct {
		service string
		after   time.Duration
		check   bool // the second bill needs a check, by which its holder finds the first one
	}{
		"answer at once":                    {"", time.Second, false},
		"answer after the fold forgot":      {"", 13 * time.Minute, true},
		"answer at the end of the window":   {"", 15*time.Minute + 20*time.Second, true},
		"answer under a key of another day": {"", 24 * time.Hour, false}, // another request by design
		"order after the fold forgot":       {"order", 13 * time.Minute, true},
		"order after a long outage":         {"order", 2 * time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := record.Bill{Organisation: "lys", Key: key(start), Service: c.service, Issued: start}
			f := NewFold(0)
			if r := apply(t, f, 0, start, record.BillBatch{Bills: []record.Bill{b}}); r[0].Verdict != First {
				t.Fatalf("first bill is %s", r[0].Verdict)
			}
			now := start.Add(c.after)
			b.Issued = now
			h := NewHolder(1, time.Second)
			h.Add(now, b)
			fresh, check := h.Due(now, 1)
			if got := len(check) == 1; got != c.check {
				t.Fatalf("needs a check: %v, want %v", got, c.check)
			}
			if !c.check {
				return
			}
			// A copy that reaches the log without a check does not count either.
			if r := apply(t, f, 1, now, record.BillBatch{Bills: append(fresh, check...)}); r[0].Verdict != Late && r[0].Verdict != Duplicate {
				t.Fatalf("second bill is %s", r[0].Verdict)
			}
		})
	}
}

func key(at time.Time) string {
	var u uuid.UUID
	for i := range 6 {
		u[i] = byte(at.UnixMilli() >> (40 - 8*i))
	}
	u[6], u[8] = 0x70, 0x80
	return u.String()
}

func apply(t *testing.T, f *Fold, offset uint64, now time.Time, b record.BillBatch) []Ruling {
	t.Helper()
	l, err := f.Apply(offset, now, b)
	if err != nil {
		t.Fatal(err)
	}
	return l
}
