package measure

import (
	"fmt"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
)

// saturation is an arrival rate far above what the pool can start, in requests per second.
const saturation = 300

var poolLoads = []float64{0.5, 0.8, 1, 1.5, 2, 3}

// Endpoint measures endpoint choice and overload policies in virtual time; equal seeds give equal tables.
func Endpoint(seed uint64) ([]Table, error) {
	capacity := poolCapacity(seed)
	l := []Table{policyTable(seed, capacity)}
	return l, nil
}

// poolCapacity returns the requests per second that the pool starts under round robin with every slot always taken
// and the cache hits that this brings; it is the 1x of all tables.
func poolCapacity(seed uint64) float64 {
	s := lysroer()
	s.Rate, s.GiveUp, s.Drain = saturation, time.Hour, 0
	r := newPoolModel(s, newBaseline("round-robin", seed), seed).run()
	return float64(between(r.firstAt, s.Warm, s.Length)) / r.seconds
}

func policyTable(seed uint64, capacity float64) Table {
	t := Table{
		Name:    "endpoint choice: time to first token and goodput by offered load",
		Columns: []string{"load", "policy", "p99-first-token", "goodput/s", "goodput/capacity", "hit-share", "refused", "gave-up"},
	}
	for _, x := range poolLoads {
		for _, p := range poolPolicies(seed) {
			s := lysroer()
			s.Rate = x * capacity
			r := newPoolModel(s, p.router, seed).run()
			t.Rows = append(t.Rows, []string{
				fmt.Sprintf("%.1fx", x), p.name, fmtDuration(r.p99()), fmt.Sprintf("%.1f", r.goodput()),
				fmt.Sprintf("%.2f", r.goodput()/capacity), percent(r.hitShare()),
				percent(share(r.refusals, r.requests)), percent(share(r.cancels, r.requests)),
			})
		}
	}
	t.Notes = append(t.Notes, fmt.Sprintf("1x is %.1f requests/s", capacity))
	return t
}

type poolPolicy struct {
	name   string
	router poolRouter
}

func poolPolicies(seed uint64) []poolPolicy {
	plain := newTabled(endpoint.DefaultSettings(9), seed)
	plain.admission = false
	return []poolPolicy{
		{"random", newBaseline("random", seed)},
		{"round-robin", newBaseline("round-robin", seed)},
		{"least-outstanding", newBaseline("least-outstanding", seed)},
		{"table", plain},
		{"table+admission", newTabled(endpoint.DefaultSettings(9), seed)},
	}
}

func fmtDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }

func percent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }
