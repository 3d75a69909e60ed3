package instance

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
)

// TestSuspectsEncoding guards against suspects that never reach peers. A report that exceeds the limit must be cut and not
// omitted, must keep the contents with two deaths, and must decode to the values that were encoded.
func TestSuspectsEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := suspect.Report{Leases: []suspect.Lease{}}
		for n := range rapid.IntRange(0, 3).Draw(t, "leases") {
			r.Leases = append(r.Leases, suspect.Lease{Content: suspect.ContentHash(n), Endpoint: rapid.Uint64().Draw(t, "endpoint"), Started: rapid.Bool().Draw(t, "started")})
		}
		twoDeaths := 0
		for n := range rapid.IntRange(0, 40).Draw(t, "marks") {
			m := suspect.Mark{Content: suspect.ContentHash(n), ClearedAt: time.UnixMilli(rapid.Int64Range(0, 1<<40).Draw(t, "cleared"))}
			for range rapid.IntRange(1, 2).Draw(t, "deaths") {
				m.Deaths = append(m.Deaths, suspect.Death{
					Endpoint: rapid.Uint64().Draw(t, "at"), At: time.UnixMilli(rapid.Int64Range(0, 1<<40).Draw(t, "time")),
					MassDeath: rapid.Bool().Draw(t, "mass"),
				})
			}
			twoDeaths += len(m.Deaths) - 1
			r.Marks = append(r.Marks, m)
		}
		limit := rapid.SampledFrom([]int{512, 4096}).Draw(t, "limit")
		b := encodeSuspects(r, limit)
		if len(b) > limit {
			t.Fatalf("%d bytes, limit is %d", len(b), limit)
		}
		got, err := decodeSuspects(b)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(r.Leases, got.Leases); d != "" {
			t.Fatal(d)
		}
		if d := cmp.Diff(r.Marks[:len(got.Marks)], got.Marks); d != "" && len(got.Marks) > 0 {
			t.Fatal(d)
		}
		if capacity := (limit - headerSize - 3*leaseSize) / (markSize + 2*deathSize); len(got.Marks) < min(twoDeaths, capacity) {
			t.Fatalf("%d marks were decoded, %d have two deaths and %d fit", len(got.Marks), twoDeaths, capacity)
		}
	})
}
