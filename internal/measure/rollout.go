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
	rolloutHealthyRuns = 10000 // of the first healthy case, the one with the target
	rolloutOtherRuns   = 2000  // of the other healthy cases on one instance
	rolloutPooledRuns  = 300   // of the healthy case on several instances
	rolloutBadRuns     = 300
)

var rolloutHealthy = [5]rolloutCase{
	{"same as the current version", rolloutUsual, 0, false, 1},
	{"short answers 3 % -> 3.5 %, tolerated", rolloutHealth{0.035, 0.002, 1}, 0, false, 1},
	{"half of the ratings lost", rolloutUsual, 0.5, false, 1},
	{"both versions get worse by up to 4x", rolloutUsual, 0, true, 1},
	{"9 instances that pool their samples", rolloutUsual, 0, false, 9},
}

var rolloutBad = []rolloutCase{
	{"short answers 3 % -> 50 %", rolloutHealth{0.5, 0.002, 1}, 0, false, 1},
	{"short answers 3 % -> 50 %, 9 instances", rolloutHealth{0.5, 0.002, 1}, 0, false, 9},
	{"short answers 3 % -> 50 %, 80 % of ratings lost", rolloutHealth{0.5, 0.002, 1}, 0.8, false, 1},
	{"short answers 3 % -> 20 %", rolloutHealth{0.2, 0.002, 1}, 0, false, 1},
	{"short answers 3 % -> 10 %", rolloutHealth{0.1, 0.002, 1}, 0, false, 1},
	{"failures 0.2 % -> 50 %", rolloutHealth{0.03, 0.5, 1}, 0, false, 1},
	{"failures 0.2 % -> 5 %", rolloutHealth{0.03, 0.05, 1}, 0, false, 1},
	{"failures 0.2 % -> 100 %, no answer to rate", rolloutHealth{0.03, 1, 1}, 0, false, 1},
	{"latency x 3", rolloutHealth{0.03, 0.002, 3}, 0, false, 1},
	{"latency x 1.5", rolloutHealth{0.03, 0.002, 1.5}, 0, false, 1},
}

// rolloutJudges lists the product's test and fixed windows of several sizes.
var rolloutJudges = []struct {
	name string
	make func(instances int) (rolloutJudge, error)
}{
	{"cassiaspoke", func(n int) (rolloutJudge, error) { return newRolloutDrivers(n) }},
	{"window 50, +10 points", func(int) (rolloutJudge, error) { return &rolloutWindow{size: 50, margin: 0.10}, nil }},
	{"window 100, +5 points", func(int) (rolloutJudge, error) { return &rolloutWindow{size: 100, margin: 0.05}, nil }},
	{"window 100, +10 points", func(int) (rolloutJudge, error) { return &rolloutWindow{size: 100, margin: 0.10}, nil }},
}

// RollOut compares the sequential test with fixed windows on healthy and bad versions.
func RollOut(seed uint64) ([]Table, error) {
	return rolloutTables(seed, [5]int{rolloutHealthyRuns, rolloutOtherRuns, rolloutOtherRuns, rolloutOtherRuns, rolloutPooledRuns}, rolloutBadRuns)
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
			fmt.Sprintf("stages 5 %%, 25 %%, 50 %% after 100, 200, 400 samples; %d requests/s; ratings after %v on average", rolloutRate, rolloutDelay),
		},
	}
	for _, j := range rolloutJudges {
		for i, c := range rolloutHealthy {
			r, err := runRollouts(c, seed, healthyRuns[i], j.make)
			if err != nil {
				return nil, err
			}
			healthy.Rows = append(healthy.Rows, append([]string{c.name, j.name}, r.healthyRow()...))
		}
		for _, c := range rolloutBad {
			r, err := runRollouts(c, seed, badRuns, j.make)
			if err != nil {
				return nil, err
			}
			bad.Rows = append(bad.Rows, append([]string{c.name, j.name}, r.badRow()...))
		}
	}
	return []Table{healthy, bad}, nil
}

// rolloutResult sums roll-outs of one case.
type rolloutResult struct {
	served  []int
	stopped int
	done    int
	total   int // requests of the roll-outs that were done
}

func (r *rolloutResult) healthyRow() []string {
	n := len(r.served)
	return []string{
		fmt.Sprint(n), fmt.Sprint(r.stopped), fmt.Sprintf("%.2f", 1000*float64(r.stopped)/float64(n)),
		fmt.Sprint(r.done), fmt.Sprint(r.total / max(1, r.done)),
	}
}

func (r *rolloutResult) badRow() []string {
	n := len(r.served)
	return []string{
		fmt.Sprint(n), fmt.Sprint(r.stopped), fmt.Sprint(r.served[n/2]), fmt.Sprint(r.served[n*9/10]), fmt.Sprint(r.served[n-1]),
	}
}

// runRollouts runs roll-outs in parallel; each has its own random numbers, so the order does not matter.
func runRollouts(c rolloutCase, seed uint64, count int, judge func(int) (rolloutJudge, error)) (*rolloutResult, error) {
	parts := make([]rolloutResult, min(runtime.GOMAXPROCS(0), 8))
	errs := make([]error, len(parts))
	var wait sync.WaitGroup
	for w := range parts {
		wait.Go(func() {
			for i := w; i < count && errs[w] == nil; i += len(parts) {
				errs[w] = parts[w].run(c, judge, rand.New(rand.NewPCG(seed, uint64(i))))
			}
		})
	}
	wait.Wait()
	r := &rolloutResult{}
	for _, p := range parts {
		r.served = append(r.served, p.served...)
		r.stopped += p.stopped
		r.done += p.done
		r.total += p.total
	}
	slices.Sort(r.served)
	return r, errors.Join(errs...)
}

// run adds one roll-out.
func (r *rolloutResult) run(c rolloutCase, judge func(int) (rolloutJudge, error), random *rand.Rand) error {
	j, err := judge(c.instances)
	if err != nil {
		return err
	}
	x := rolloutRun{kind: c, judge: j, random: random}
	x.run()
	r.served = append(r.served, x.served)
	switch {
	case j.stopped():
		r.stopped++
	case j.stage() >= len(rolloutStages):
		r.done++
		r.total += x.total
	}
	return nil
}
