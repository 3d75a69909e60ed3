package measure

import (
	"fmt"
	"slices"
	"time"
)

// routingPattern is a traffic peak or an engine fault that lasts for faultDuration.
type routingPattern struct {
	name            string
	rateFactor      float64 // factor on the request rate
	dominantKind    string  // 40 % of the requests get this kind
	hotPrompt       bool    // 30 % of the requests share one prompt
	hotOrganisation bool    // 45 % of the requests are moved to one organisation
	setFault        func(r *routingSimulation, on bool)
}

// faultOnEngines returns a function that sets or clears a fault on a quarter of the engines.
func faultOnEngines(f func(e *routingEngine, on bool)) func(r *routingSimulation, on bool) {
	return func(r *routingSimulation, on bool) {
		for _, e := range r.engines[:routingEngineCount/4] {
			f(e, on)
		}
	}
}

var routingPatterns = []routingPattern{
	{name: "steady"},
	{name: "burst", rateFactor: 1.8},
	{name: "burst of reports", rateFactor: 1.5, dominantKind: "report"},
	{name: "hot prompt", hotPrompt: true, rateFactor: 1.2},
	{name: "hot organisation", hotOrganisation: true, rateFactor: 1.8},
	{name: "engines lost", setFault: faultOnEngines(func(e *routingEngine, on bool) {
		e.dead = on
		e.promptCache = map[string]time.Duration{}
	})},
	{name: "engines slow", setFault: faultOnEngines(func(e *routingEngine, on bool) {
		e.timeFactor = map[bool]float64{true: 5, false: 1}[on]
	})},
	{name: "engines fail", setFault: faultOnEngines(func(e *routingEngine, on bool) {
		e.failureShare = map[bool]float64{true: 0.45}[on]
	})},
	{name: "engines mute", setFault: faultOnEngines(func(e *routingEngine, on bool) { e.unresponsive = on })},
}

// routingResult sums up the requests that start at or after faultStart.
type routingResult struct {
	possibleCredit, credit, cost    float64
	requests, withinObjective, late int
	failed, refused, tooHard        int
	worstKind, worstOrganisation    float64
	largestInTime                   float64 // share answered in time of the 10 % with the longest prompts
}

func (r *routingSimulation) sumResults() routingResult {
	var out routingResult
	kinds, organisations := map[string][2]float64{}, map[int][2]float64{}
	var sizes []*routingRequest
	for _, j := range r.requests {
		if j.arrivedAt < faultStart {
			continue
		}
		w := j.requestKind.credit
		out.requests++
		out.possibleCredit += w
		out.cost += j.cost
		credit := 0.0
		switch {
		case j.result == "refused":
			out.refused++
		case j.result == "failed":
			out.failed++
		case j.firstEvent <= j.requestKind.objective:
			out.withinObjective++
			credit = w
		default:
			out.late++
			credit = w * lateCredit
		}
		if j.result == "served" && !j.answeredWell {
			out.tooHard++
			credit *= tooHardCredit
		}
		out.credit += credit
		k, o := kinds[j.requestKind.name], organisations[j.organisation]
		kinds[j.requestKind.name] = [2]float64{k[0] + credit, k[1] + w}
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
	slices.SortStableFunc(sizes, func(a, b *routingRequest) int { return b.ownTokens - a.ownTokens })
	sizes = sizes[:len(sizes)/10]
	for _, j := range sizes {
		if j.result == "served" && j.firstEvent <= j.requestKind.objective {
			out.largestInTime += 1 / float64(len(sizes))
		}
	}
	return out
}

// worth returns the credit earned less the cost of the models, relative to the possible credit.
func (r routingResult) worth() float64 { return (r.credit - r.cost) / r.possibleCredit }

var routingRates = []float64{60, 120}

func simulateRouting(p routingPolicy, t routingPattern, rate float64, seed uint64) routingResult {
	return newRoutingSimulation(p, t, rate, seed).simulate().sumResults()
}

// Routing compares the placement and model choice of the proxy with simple policies under load and engine faults. Equal
// seeds give equal tables.
func Routing(seed uint64) ([]Table, error) {
	t := Table{
		Name:    "routing: what callers get from the start of a load or failure until the end",
		Columns: []string{"rate", "pattern", "policy", "worth", "credit", "in time", "late", "failed", "refused", "too hard", "worst kind", "worst organisation", "largest tenth in time"},
		Notes: []string{
			"worth is the credit earned less the use of models, over the credit owed; a late answer earns 0.3, one that was too hard for its model 0.1",
			fmt.Sprintf("%d routers that don't hear of each other, %d engines with %d slots; the pattern lasts %v", routingRouterCount, routingEngineCount, routingSlotsPerEngine, faultDuration),
		},
	}
	for _, rate := range routingRates {
		for _, p := range routingPatterns {
			for _, q := range routingPolicies {
				r := simulateRouting(q, p, rate, seed)
				n := func(v int) string { return formatPercent(ratio(v, r.requests)) }
				t.Rows = append(t.Rows, []string{
					fmt.Sprintf("%.0f/s", rate), p.name, q.name, fmt.Sprintf("%.3f", r.worth()), fmt.Sprintf("%.3f", r.credit/r.possibleCredit),
					n(r.withinObjective), n(r.late), n(r.failed), n(r.refused), n(r.tooHard),
					fmt.Sprintf("%.2f", r.worstKind), fmt.Sprintf("%.2f", r.worstOrganisation), formatPercent(r.largestInTime),
				})
			}
		}
	}
	return []Table{t}, nil
}
