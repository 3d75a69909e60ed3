package measure

import (
	"fmt"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
)

// saturationRate is an arrival rate in requests per second far above the capacity of the pool.
const saturationRate = 300

var poolLoadFactors = []float64{0.5, 0.8, 1, 1.5, 2, 3}

// EndpointChoice compares policies for endpoint choice and overload in virtual time. Equal seeds give equal tables.
func EndpointChoice(seed uint64) ([]Table, error) {
	c := roundRobinCapacity(seed)
	if c <= 0 {
		return nil, fmt.Errorf("measure endpoint: no request is answered at saturation")
	}
	return []Table{
		policyTable(seed, c), prefixTable(seed, c), loadBoundTable(seed, c), instanceCountTable(seed, c), reportLagTable(seed, c),
		fairnessTable(seed, c), outageTable(seed, c), cacheMoveTable(),
	}, nil
}

// roundRobinCapacity returns the requests per second that the pool answers under round robin at saturation. It is the 1x
// load of all tables. Policies that save prefill time can exceed it.
func roundRobinCapacity(seed uint64) float64 {
	s := lysroerSettings()
	s.Rate, s.CallerTimeout, s.DrainTime = saturationRate, time.Hour, 0
	r := newPoolModel(s, newBaselineRouter("round-robin", seed), seed).simulate()
	return float64(sumSeconds(r.firstTokensAt, s.WarmUp, s.ArrivalTime)) / r.seconds
}

var poolColumns = []string{"p95-first-token", "p99-first-token", "goodput/s", "goodput/capacity", "prefix-hits", "refused", "gave-up"}

func poolRow(r *poolResult, capacity float64, keys ...string) []string {
	return append(keys, formatDuration(r.percentile(95)), formatDuration(r.percentile(99)),
		fmt.Sprintf("%.1f", r.goodput()), fmt.Sprintf("%.2f", r.goodput()/capacity), formatPercent(r.hitShare()),
		formatPercent(ratio(r.refusals, r.requests)), formatPercent(ratio(r.cancels, r.requests)))
}

func poolTableColumns(keys ...string) []string { return append(keys, poolColumns...) }

// simulatePool simulates the pool at an arrival rate in requests per second. adjust may change the settings.
func simulatePool(seed uint64, rate float64, r poolRouter, adjust func(*poolSettings)) *poolResult {
	s := lysroerSettings()
	s.Rate = rate
	if adjust != nil {
		adjust(&s)
	}
	return newPoolModel(s, r, seed).simulate()
}

func policyTable(seed uint64, capacity float64) Table {
	t := Table{
		Name:    "endpoint choice: first token and goodput by offered load",
		Columns: poolTableColumns("load", "policy"),
		Notes: []string{
			fmt.Sprintf("1x is %.1f requests/s, the throughput of round robin at saturation", capacity),
			"goodput counts first tokens within 1.2 s; callers give up after 10 s; percentiles are over answered requests",
		},
	}
	for _, x := range poolLoadFactors {
		for _, name := range []string{"random", "round-robin", "least-outstanding", "table", "table+admission"} {
			r := simulatePool(seed, x*capacity, newPoolRouter(name, seed), nil)
			t.Rows = append(t.Rows, poolRow(r, capacity, fmt.Sprintf("%.1fx", x), name))
		}
	}
	return t
}

// newPoolRouter returns the router of a policy named in the tables.
func newPoolRouter(name string, seed uint64) poolRouter {
	switch name {
	case "table", "table+admission":
		t := newTableRouter(endpoint.DefaultSettings(lysroerSettings().Instances), seed)
		t.admission = name == "table+admission"
		return t
	default:
		return newBaselineRouter(name, seed)
	}
}

func prefixTable(seed uint64, capacity float64) Table {
	t := Table{
		Name:    "prefix affinity: share of prompts whose prefix is cached",
		Columns: poolTableColumns("load", "choice"),
		Notes:   []string{"72 prefixes of 3,000 tokens; an engine caches 12; cache events come 500 ms late and 30 % are lost"},
	}
	for _, x := range []float64{0.8, 1} {
		for _, c := range []struct {
			name      string
			configure func(*tableRouter)
		}{
			{"load only", func(t *tableRouter) { t.ignorePrefix = true }},
			{"rendezvous", func(t *tableRouter) { t.ignoreCacheEvents = true }},
			{"rendezvous+events", func(*tableRouter) {}},
		} {
			p := newTableRouter(endpoint.DefaultSettings(lysroerSettings().Instances), seed)
			c.configure(p)
			t.Rows = append(t.Rows, poolRow(simulatePool(seed, x*capacity, p, nil), capacity, fmt.Sprintf("%.1fx", x), c.name))
		}
	}
	return t
}

func loadBoundTable(seed uint64, capacity float64) Table {
	t := Table{
		Name:    "bounded load: multiple of the mean utilisation, and floor below which a prefix stays",
		Columns: poolTableColumns("load", "bound", "floor"),
	}
	for _, x := range []float64{0.5, 0.8, 1, 2} {
		for _, c := range [][2]float64{{1.1, 0.25}, {1.25, 0.5}, {1.5, 0.75}, {2, 0.5}, {2, 1}} {
			s := endpoint.DefaultSettings(lysroerSettings().Instances)
			s.MaxRelativeLoad, s.MinAffinityUtilisation = c[0], c[1]
			r := simulatePool(seed, x*capacity, newTableRouter(s, seed), nil)
			t.Rows = append(t.Rows, poolRow(r, capacity, fmt.Sprintf("%.1fx", x), fmt.Sprint(c[0]), fmt.Sprint(c[1])))
		}
	}
	return t
}

func instanceCountTable(seed uint64, capacity float64) Table {
	t := Table{
		Name:    "several instances that each see their own outstanding requests only",
		Columns: poolTableColumns("load", "instances", "policy"),
	}
	for _, x := range []float64{0.8, 1} {
		for _, n := range []int{1, 3, 9, 27} {
			for _, name := range []string{"least-outstanding", "table+admission"} {
				p := newPoolRouter(name, seed)
				if p, ok := p.(*tableRouter); ok {
					p.settings.FleetSize, p.admissionSettings = n, endpoint.DefaultAdmissionSettings(n)
				}
				r := simulatePool(seed, x*capacity, p, func(s *poolSettings) { s.Instances = n })
				t.Rows = append(t.Rows, poolRow(r, capacity, fmt.Sprintf("%.1fx", x), fmt.Sprint(n), name))
			}
		}
	}
	return t
}

func reportLagTable(seed uint64, capacity float64) Table {
	t := Table{Name: "lag of load reports", Columns: poolTableColumns("load", "measured-every")}
	for _, x := range []float64{0.8, 1, 2} {
		for _, interval := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
			r := simulatePool(seed, x*capacity, newPoolRouter("table+admission", seed), func(s *poolSettings) { s.ReportInterval = interval })
			t.Rows = append(t.Rows, poolRow(r, capacity, fmt.Sprintf("%.1fx", x), interval.String()))
		}
	}
	return t
}

func fairnessTable(seed uint64, capacity float64) Table {
	t := Table{
		Name:    "shares under overload: one organisation of four sends 70 %, all have equal shares",
		Columns: []string{"load", "policy", "large-offered/s", "large-goodput/s", "small-offered/s", "small-goodput/s", "small-good-share"},
		Notes:   []string{"small figures are the mean of the three small organisations"},
	}
	for _, x := range []float64{1.5, 2, 3} {
		for _, name := range []string{"least-outstanding", "table", "table+admission"} {
			r := simulatePool(seed, x*capacity, newPoolRouter(name, seed), nil)
			var small, good int
			for _, o := range r.organisations[1:] {
				small, good = small+o.requests, good+o.withinTarget
			}
			t.Rows = append(t.Rows, []string{
				fmt.Sprintf("%.1fx", x), name, formatPerSecond(r.organisations[0].requests, r), formatPerSecond(r.organisations[0].withinTarget, r),
				formatPerSecond(small/3, r), formatPerSecond(good/3, r), formatPercent(ratio(good, small)),
			})
		}
	}
	return t
}

func formatPerSecond(n int, r *poolResult) string { return fmt.Sprintf("%.1f", float64(n)/r.seconds) }

func cacheMoveTable() Table {
	s := endpoint.DefaultKVMoveSettings()
	t := Table{
		Name:    "KV-cache move or recomputation by prompt length",
		Columns: []string{"prompt-tokens", "move", "recompute", "cheaper"},
		Notes: []string{
			fmt.Sprintf("assumed: %.0f KiB per token, %.1f GB/s, %v set-up, prefill %.0f tokens/s and %.0e s per squared token",
				s.TokenBytes/1024, s.Bandwidth/1e9, s.SetupTime, s.PrefillRate, s.AttentionCost),
			fmt.Sprintf("break-even: %d tokens; with half the bandwidth %d, with a tenth %d (0: never below a million)",
				breakEvenTokens(s, 1), breakEvenTokens(s, 2), breakEvenTokens(s, 10)),
		},
	}
	for _, n := range []int{250, 500, 1000, 2000, 4000, 8000, 32000} {
		m := endpoint.EstimateKVMove(s, n, 0, time.Minute)
		cheaper := "recompute"
		if m.PreferMove {
			cheaper = "move"
		}
		t.Rows = append(t.Rows, []string{fmt.Sprint(n), formatDuration(m.MoveTime), formatDuration(m.RecomputeTime), cheaper})
	}
	return t
}

// breakEvenTokens returns the prompt length from which a move is cheaper, or 0 if there is none below a million tokens.
func breakEvenTokens(s endpoint.KVMoveSettings, bandwidthDivisor float64) int {
	s.Bandwidth /= bandwidthDivisor
	if n := endpoint.KVMoveBreakEvenTokens(s); n < 1e6 {
		return n
	}
	return 0
}

func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }

func formatPercent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }
