package measure

import (
	"fmt"
	"slices"
	"time"
)

// routingPattern is a load or a failure that lasts for faultFor.
type routingPattern struct {
	name         string
	burst        float64 // factor of the rate
	kind         string  // much of the traffic is of this kind
	thing        bool    // much of the traffic shares one prompt
	organisation bool    // much of the traffic is of one organisation
	strike       func(r *routing, on bool)
}

// strikeEngines changes a quarter of the engines.
func strikeEngines(f func(e *engineModel, on bool)) func(r *routing, on bool) {
	return func(r *routing, on bool) {
		for _, e := range r.engines[:routingEngines/4] {
			f(e, on)
		}
	}
}

var routingPatterns = []routingPattern{
	{name: "steady"},
	{name: "burst", burst: 1.8},
	{name: "burst of reports", burst: 1.5, kind: "report"},
	{name: "hot prompt", thing: true, burst: 1.2},
	{name: "hot organisation", organisation: true, burst: 1.8},
	{name: "engines lost", strike: strikeEngines(func(e *engineModel, on bool) {
		e.dead = on
		e.memory = map[string]time.Duration{}
	})},
	{name: "engines slow", strike: strikeEngines(func(e *engineModel, on bool) {
		e.slow = map[bool]float64{true: 5, false: 1}[on]
	})},
	{name: "engines fail", strike: strikeEngines(func(e *engineModel, on bool) {
		e.fails = map[bool]float64{true: 0.45}[on]
	})},
	{name: "engines mute", strike: strikeEngines(func(e *engineModel, on bool) { e.mute = on })},
}

// routingResult sums a history up from the start of the fault until the end.
type routingResult struct {
	owed, credit, cost           float64
	asked, inTime, late          int
	failed, refused, poor        int
	worstKind, worstOrganisation float64
	largest                      float64 // share in time of the largest tenth by prompt
}

func (r *routing) result() routingResult {
	var out routingResult
	kinds, organisations := map[string][2]float64{}, map[int][2]float64{}
	var sizes []*job
	for _, j := range r.jobs {
		if j.start < faultFrom {
			continue
		}
		w := j.kind.worth
		out.asked++
		out.owed += w
		out.cost += j.cost
		credit := 0.0
		switch {
		case j.result == "refused":
			out.refused++
		case j.result == "failed":
			out.failed++
		case j.first <= j.kind.objective:
			out.inTime++
			credit = w
		default:
			out.late++
			credit = w * lateWorth
		}
		if j.result == "served" && !j.good {
			out.poor++
			credit *= poorWorth
		}
		out.credit += credit
		k, o := kinds[j.kind.name], organisations[j.organisation]
		kinds[j.kind.name] = [2]float64{k[0] + credit, k[1] + w}
		organisations[j.organisation] = [2]float64{o[0] + credit, o[1] + w}
		sizes = append(sizes, j)
	}
	out.worstKind, out.worstOrganisation = 1, 1
	for _, v := range kinds {
		out.worstKind = min(out.worstKind, v[0]/v[1])
	}
	for _, v := range organisations {
		out.worstOrganisation = min(out.worstOrganisation, v[0]/v[1])
	}
	slices.SortStableFunc(sizes, func(a, b *job) int { return b.prompt - a.prompt })
	sizes = sizes[:len(sizes)/10]
	for _, j := range sizes {
		if j.result == "served" && j.first <= j.kind.objective {
			out.largest += 1 / float64(len(sizes))
		}
	}
	return out
}

// worth is the share of the credit owed that was earned, less the use of models.
func (r routingResult) worth() float64 { return (r.credit - r.cost) / r.owed }

var routingRates = []float64{60, 120}

func playRouting(p routingPolicy, t routingPattern, rate float64, seed uint64) routingResult {
	return newRouting(p, t, rate, seed).play().result()
}

// Routing compares placement and choice of models on the platform's path with naive versions; equal seeds give equal
// tables.
func Routing(seed uint64) ([]Table, error) {
	t := Table{
		Name:    "routing: what callers get from the start of a load or failure until the end",
		Columns: []string{"rate", "pattern", "policy", "worth", "credit", "in time", "late", "failed", "refused", "too hard", "worst kind", "worst organisation", "largest tenth in time"},
		Notes: []string{
			"worth is the credit earned less the use of models, over the credit owed; a late answer earns 0.3, one that was too hard for its model 0.1",
			fmt.Sprintf("%d routers that don't hear of each other, %d engines with %d slots; the pattern lasts %v", routingRouters, routingEngines, routingSlots, faultFor),
		},
	}
	for _, rate := range routingRates {
		for _, p := range routingPatterns {
			for _, q := range routingPolicies {
				r := playRouting(q, p, rate, seed)
				n := func(v int) string { return percent(share(v, r.asked)) }
				t.Rows = append(t.Rows, []string{
					fmt.Sprintf("%.0f/s", rate), p.name, q.name, fmt.Sprintf("%.3f", r.worth()), fmt.Sprintf("%.3f", r.credit/r.owed),
					n(r.inTime), n(r.late), n(r.failed), n(r.refused), n(r.poor),
					fmt.Sprintf("%.2f", r.worstKind), fmt.Sprintf("%.2f", r.worstOrganisation), percent(r.largest),
				})
			}
		}
	}
	return []Table{t}, nil
}
