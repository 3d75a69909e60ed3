package measure

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
)

const (
	rolloutFirstHealthyRuns = 10000 // of the first healthy case, to which the target applies
	rolloutOtherRuns        = 2000  // of the other healthy cases on one instance
	rolloutPooledRuns       = 300   // of the healthy case on several instances
	rolloutBadRuns          = 300
)

var healthyRolloutCases = [5]rolloutCase{
	{"same as the current version", currentVersionHealth, 0, false, 1},
	{"short answers 3 % -> 3.5 %, tolerated", versionHealth{0.035, 0.002, 1}, 0, false, 1},
	{"half of the ratings lost", currentVersionHealth, 0.5, false, 1},
	{"both versions get worse by up to 4x", currentVersionHealth, 0, true, 1},
	{"9 instances that pool their samples", currentVersionHealth, 0, false, 9},
}

var badRolloutCases = []rolloutCase{
	{"short answers 3 % -> 50 %", versionHealth{0.5, 0.002, 1}, 0, false, 1},
	{"short answers 3 % -> 50 %, 9 instances", versionHealth{0.5, 0.002, 1}, 0, false, 9},
	{"short answers 3 % -> 50 %, 80 % of ratings lost", versionHealth{0.5, 0.002, 1}, 0.8, false, 1},
	{"short answers 3 % -> 20 %", versionHealth{0.2, 0.002, 1}, 0, false, 1},
	{"short answers 3 % -> 10 %", versionHealth{0.1, 0.002, 1}, 0, false, 1},
	{"failures 0.2 % -> 50 %", versionHealth{0.03, 0.5, 1}, 0, false, 1},
	{"failures 0.2 % -> 5 %", versionHealth{0.03, 0.05, 1}, 0, false, 1},
	{"failures 0.2 % -> 100 %, no answer to rate", versionHealth{0.03, 1, 1}, 0, false, 1},
	{"latency x 3", versionHealth{0.03, 0.002, 3}, 0, false, 1},
	{"latency x 1.5", versionHealth{0.03, 0.002, 1.5}, 0, false, 1},
}

// rolloutEvaluators lists the sequential test of the proxy and fixed windows of several sizes.
var rolloutEvaluators = []struct {
	name         string
	newEvaluator func(instances int) (rolloutEvaluator, error)
}{
	{"cassiaspoke", func(n int) (rolloutEvaluator, error) { return newDriverEvaluator(n) }},
	{"window 50, +10 points", func(int) (rolloutEvaluator, error) { return &fixedWindowEvaluator{size: 50, margin: 0.10}, nil }},
	{"window 100, +5 points", func(int) (rolloutEvaluator, error) { return &fixedWindowEvaluator{size: 100, margin: 0.05}, nil }},
	{"window 100, +10 points", func(int) (rolloutEvaluator, error) { return &fixedWindowEvaluator{size: 100, margin: 0.10}, nil }},
}

// RollOut compares the sequential test of roll-outs with fixed windows, on healthy and bad versions.
func RollOut(seed uint64) ([]Table, error) {
	return rolloutTables(seed, [5]int{rolloutFirstHealthyRuns, rolloutOtherRuns, rolloutOtherRuns, rolloutOtherRuns, rolloutPooledRuns}, rolloutBadRuns)
}

func rolloutTables(seed uint64, healthyRuns [5]int, badRuns int) ([]Table, error) {
	healthy := Table{
		Name:    "roll-out: healthy versions",
		Columns: []string{"case", "judge", "roll-outs", "false stops", "per 1,000", "rolled out", "requests until rolled out (mean)"},
		Notes:   []string{"target: at most 1 false stop per 1,000 healthy roll-outs"},
	}
	bad := Table{
		Name:    "roll-out: bad versions",
		Columns: []string{"case", "judge", "roll-outs", "stopped", "served p50", "served p90", "served max"},
		Notes: []string{
			"served: requests that ran on the new version until it was stopped, or in all when it was not",
			fmt.Sprintf("stages 5 %%, 25 %%, 50 %% after 100, 200, 400 samples; %d requests/s; ratings after %v on average", rolloutRequestsPerSecond, rolloutMeanRatingDelay),
		},
	}
	for _, j := range rolloutEvaluators {
		for i, c := range healthyRolloutCases {
			r, err := simulateRollouts(c, seed, healthyRuns[i], j.newEvaluator)
			if err != nil {
				return nil, err
			}
			healthy.Rows = append(healthy.Rows, append([]string{c.name, j.name}, r.healthyRow()...))
		}
		for _, c := range badRolloutCases {
			r, err := simulateRollouts(c, seed, badRuns, j.newEvaluator)
			if err != nil {
				return nil, err
			}
			bad.Rows = append(bad.Rows, append([]string{c.name, j.name}, r.badRow()...))
		}
	}
	return []Table{healthy, bad}, nil
}

// rolloutResult sums up the simulated roll-outs of one case.
type rolloutResult struct {
	served            []int
	stopped           int
	completed         int
	completedRequests int // requests of the completed roll-outs
}

func (r *rolloutResult) healthyRow() []string {
	n := len(r.served)
	return []string{
		fmt.Sprint(n), fmt.Sprint(r.stopped), fmt.Sprintf("%.2f", 1000*float64(r.stopped)/float64(n)),
		fmt.Sprint(r.completed), fmt.Sprint(r.completedRequests / max(1, r.completed)),
	}
}

func (r *rolloutResult) badRow() []string {
	n := len(r.served)
	return []string{
		fmt.Sprint(n), fmt.Sprint(r.stopped), fmt.Sprint(r.served[n/2]), fmt.Sprint(r.served[n*9/10]), fmt.Sprint(r.served[n-1]),
	}
}

// simulateRollouts simulates roll-outs in parallel. Each has its own random source, so the result does not depend on
// their order.
func simulateRollouts(c rolloutCase, seed uint64, count int, newEvaluator func(int) (rolloutEvaluator, error)) (*rolloutResult, error) {
	parts := make([]rolloutResult, min(runtime.GOMAXPROCS(0), 8))
	errs := make([]error, len(parts))
	var wait sync.WaitGroup
	for w := range parts {
		wait.Go(func() {
			for i := w; i < count && errs[w] == nil; i += len(parts) {
				errs[w] = parts[w].addRollout(c, newEvaluator, rand.New(rand.NewPCG(seed, uint64(i))))
			}
		})
	}
	wait.Wait()
	r := &rolloutResult{}
	for _, p := range parts {
		r.served = append(r.served, p.served...)
		r.stopped += p.stopped
		r.completed += p.completed
		r.completedRequests += p.completedRequests
	}
	slices.Sort(r.served)
	return r, errors.Join(errs...)
}

// addRollout simulates one roll-out and adds its result.
func (r *rolloutResult) addRollout(c rolloutCase, newEvaluator func(int) (rolloutEvaluator, error), random *rand.Rand) error {
	j, err := newEvaluator(c.instances)
	if err != nil {
		return err
	}
	x := rolloutSimulation{conditions: c, evaluator: j, random: random}
	x.simulate()
	r.served = append(r.served, x.served)
	switch {
	case j.stopped():
		r.stopped++
	case j.stage() >= len(rolloutStages):
		r.completed++
		r.completedRequests += x.total
	}
	return nil
}
