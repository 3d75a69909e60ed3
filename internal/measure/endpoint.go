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
	c := poolCapacity(seed)
	if c <= 0 {
		return nil, fmt.Errorf("measure endpoint: the pool answers nothing at saturation")
	}
	return []Table{
		policyTable(seed, c), prefixTable(seed, c), boundTable(seed, c), instanceTable(seed, c), lagTable(seed, c),
		fairTable(seed, c), outageTable(seed, c), moveTable(),
	}, nil
}

// poolCapacity returns the requests per second that the pool answers under round robin when work always waits; it
// is the 1x of all tables. Policies that save prefill time can exceed it.
func poolCapacity(seed uint64) float64 {
	s := lysroer()
	s.Rate, s.GiveUp, s.Drain = saturation, time.Hour, 0
	r := newPoolModel(s, newBaseline("round-robin", seed), seed).run()
	return float64(between(r.firstAt, s.Warm, s.Length)) / r.seconds
}

var poolColumns = []string{"p95-first-token", "p99-first-token", "goodput/s", "goodput/capacity", "prefix-hits", "refused", "gave-up"}

func poolRow(r *poolResult, capacity float64, names ...string) []string {
	return append(names, fmtDuration(r.percentile(95)), fmtDuration(r.percentile(99)),
		fmt.Sprintf("%.1f", r.goodput()), fmt.Sprintf("%.2f", r.goodput()/capacity), percent(r.hitShare()),
		percent(share(r.refusals, r.requests)), percent(share(r.cancels, r.requests)))
}

func poolColumnsAfter(names ...string) []string { return append(names, poolColumns...) }

// runPool runs one history at a multiple of the capacity.
func runPool(seed uint64, rate float64, r poolRouter, change func(*poolSettings)) *poolResult {
	s := lysroer()
	s.Rate = rate
	if change != nil {
		change(&s)
	}
	return newPoolModel(s, r, seed).run()
}

func policyTable(seed uint64, capacity float64) Table {
	t := Table{
		Name:    "endpoint choice: first token and goodput by offered load",
		Columns: poolColumnsAfter("load", "policy"),
		Notes: []string{
			fmt.Sprintf("1x is %.1f requests/s, the throughput of round robin at saturation", capacity),
			"goodput counts first tokens within 1.2 s; callers give up after 10 s; percentiles are over answered requests",
		},
	}
	for _, x := range poolLoads {
		for _, name := range []string{"random", "round-robin", "least-outstanding", "table", "table+admission"} {
			r := runPool(seed, x*capacity, poolPolicy(name, seed), nil)
			t.Rows = append(t.Rows, poolRow(r, capacity, fmt.Sprintf("%.1fx", x), name))
		}
	}
	return t
}

func poolPolicy(name string, seed uint64) poolRouter {
	switch name {
	case "table", "table+admission":
		t := newTabled(endpoint.DefaultSettings(lysroer().Instances), seed)
		t.admission = name == "table+admission"
		return t
	default:
		return newBaseline(name, seed)
	}
}

func prefixTable(seed uint64, capacity float64) Table {
	t := Table{
		Name:    "prefix affinity: share of prompts whose prefix is cached",
		Columns: poolColumnsAfter("load", "choice"),
		Notes:   []string{"72 prefixes of 3,000 tokens; an engine caches 12; cache events come 500 ms late and 30 % are lost"},
	}
	for _, x := range []float64{0.8, 1} {
		for _, c := range []struct {
			name   string
			change func(*tabled)
		}{
			{"load only", func(t *tabled) { t.noPrefix = true }},
			{"rendezvous", func(t *tabled) { t.noHints = true }},
			{"rendezvous+events", func(*tabled) {}},
		} {
			p := newTabled(endpoint.DefaultSettings(lysroer().Instances), seed)
			c.change(p)
			t.Rows = append(t.Rows, poolRow(runPool(seed, x*capacity, p, nil), capacity, fmt.Sprintf("%.1fx", x), c.name))
		}
	}
	return t
}

func boundTable(seed uint64, capacity float64) Table {
	t := Table{
		Name:    "bounded load: multiple of the mean utilisation, and floor below which a prefix stays",
		Columns: poolColumnsAfter("load", "bound", "floor"),
	}
	for _, x := range []float64{0.5, 0.8, 1, 2} {
		for _, c := range [][2]float64{{1.1, 0.25}, {1.25, 0.5}, {1.5, 0.75}, {2, 0.5}, {2, 1}} {
			s := endpoint.DefaultSettings(lysroer().Instances)
			s.MaxRelativeLoad, s.MinAffinityUtilisation = c[0], c[1]
			r := runPool(seed, x*capacity, newTabled(s, seed), nil)
			t.Rows = append(t.Rows, poolRow(r, capacity, fmt.Sprintf("%.1fx", x), fmt.Sprint(c[0]), fmt.Sprint(c[1])))
		}
	}
	return t
}

func instanceTable(seed uint64, capacity float64) Table {
	t := Table{
		Name:    "several instances that each see their own outstanding requests only",
		Columns: poolColumnsAfter("load", "instances", "policy"),
	}
	for _, x := range []float64{0.8, 1} {
		for _, n := range []int{1, 3, 9, 27} {
			for _, name := range []string{"least-outstanding", "table+admission"} {
				p := poolPolicy(name, seed)
				if p, ok := p.(*tabled); ok {
					p.settings.FleetSize, p.admit = n, endpoint.DefaultAdmissionSettings(n)
				}
				r := runPool(seed, x*capacity, p, func(s *poolSettings) { s.Instances = n })
				t.Rows = append(t.Rows, poolRow(r, capacity, fmt.Sprintf("%.1fx", x), fmt.Sprint(n), name))
			}
		}
	}
	return t
}

func lagTable(seed uint64, capacity float64) Table {
	t := Table{Name: "lag of load reports", Columns: poolColumnsAfter("load", "measured-every")}
	for _, x := range []float64{0.8, 1, 2} {
		for _, lag := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
			r := runPool(seed, x*capacity, poolPolicy("table+admission", seed), func(s *poolSettings) { s.ReportEvery = lag })
			t.Rows = append(t.Rows, poolRow(r, capacity, fmt.Sprintf("%.1fx", x), lag.String()))
		}
	}
	return t
}

func fairTable(seed uint64, capacity float64) Table {
	t := Table{
		Name:    "shares under overload: one organisation of four sends 70 %, all have equal shares",
		Columns: []string{"load", "policy", "large-offered/s", "large-goodput/s", "small-offered/s", "small-goodput/s", "small-good-share"},
		Notes:   []string{"small figures are the mean of the three small organisations"},
	}
	for _, x := range []float64{1.5, 2, 3} {
		for _, name := range []string{"least-outstanding", "table", "table+admission"} {
			r := runPool(seed, x*capacity, poolPolicy(name, seed), nil)
			var small, good int
			for _, o := range r.organisations[1:] {
				small, good = small+o.requests, good+o.good
			}
			t.Rows = append(t.Rows, []string{
				fmt.Sprintf("%.1fx", x), name, perSecond(r.organisations[0].requests, r), perSecond(r.organisations[0].good, r),
				perSecond(small/3, r), perSecond(good/3, r), percent(share(good, small)),
			})
		}
	}
	return t
}

func perSecond(n int, r *poolResult) string { return fmt.Sprintf("%.1f", float64(n)/r.seconds) }

func moveTable() Table {
	s := endpoint.DefaultKVMoveSettings()
	t := Table{
		Name:    "KV-cache move or recomputation by prompt length",
		Columns: []string{"prompt-tokens", "move", "recompute", "cheaper"},
		Notes: []string{
			fmt.Sprintf("assumed: %.0f KiB per token, %.1f GB/s, %v set-up, prefill %.0f tokens/s and %.0e s per squared token",
				s.TokenBytes/1024, s.Bandwidth/1e9, s.SetupTime, s.PrefillRate, s.AttentionCost),
			fmt.Sprintf("break-even: %d tokens; with half the bandwidth %d, with a tenth %d (0: never below a million)",
				breakEven(s, 1), breakEven(s, 2), breakEven(s, 10)),
		},
	}
	for _, n := range []int{250, 500, 1000, 2000, 4000, 8000, 32000} {
		m := endpoint.EstimateKVMove(s, n, 0, time.Minute)
		way := "recompute"
		if m.PreferMove {
			way = "move"
		}
		t.Rows = append(t.Rows, []string{fmt.Sprint(n), fmtDuration(m.MoveTime), fmtDuration(m.RecomputeTime), way})
	}
	return t
}

func breakEven(s endpoint.KVMoveSettings, slower float64) int {
	s.Bandwidth /= slower
	if n := endpoint.KVMoveBreakEvenTokens(s); n < 1e6 {
		return n
	}
	return 0
}

func fmtDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }

func percent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }
