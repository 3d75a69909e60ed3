package ledger

import (
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"
)

// runHistories calls f once per seed, each call in one goroutine, and logs the sums of the counts that f returns.
// CASSIASPOKE_SOAK replaces the number of histories n.
// CASSIASPOKE_SEED sets the first seed and n to 1, so that a failing history can be run alone.
func runHistories(t *testing.T, n int, f func(t *testing.T, seed uint64) map[string]int) {
	t.Helper()
	first := 1
	if v, err := strconv.Atoi(os.Getenv("CASSIASPOKE_SEED")); err == nil {
		n, first = 1, v
	}
	if v, err := strconv.Atoi(os.Getenv("CASSIASPOKE_SOAK")); err == nil {
		n = v
	}
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	sum := map[string]int{}
	for seed := first; seed < first+n && !t.Failed(); seed++ {
		g.Go(func() error {
			counts := f(t, uint64(seed))
			mu.Lock()
			defer mu.Unlock()
			for k, v := range counts {
				sum[k] += v
			}
			return nil
		})
	}
	_ = g.Wait()
	t.Logf("%d histories from seed %d: %v", n, first, sum)
}
