package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/memory"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// clientCallsEnv holds the calls of a test binary that runs as a process of its own with nothing but a client in its heap.
const clientCallsEnv = "CASSIASPOKE_TEST_CLIENT_CALLS"

// clientCalls are calls at once to a service.
type clientCalls struct {
	Base      string
	Operation string // read, list or rate
	Calls     int    // at once
	Rounds    int    // of each of them, one after another
	CertFile  string // of the authority that the client trusts, for a service with TLS
}

// clientResult is what the process saw.
type clientResult struct {
	Peak     int64 // size in bytes of the live objects of the heap, beyond those before the calls
	Samples  int
	Failed   int
	Released bool // the memory of all replies is free again
}

func TestMain(m *testing.M) {
	if s := os.Getenv(clientCallsEnv); s != "" {
		if err := runClientCalls(s); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runClientProcess makes the calls in a process of its own, so that the objects of the test's servers don't count. A concurrent
// collection takes what is allocated while it runs for live; under load that was up to 34 MiB of released buffers. So collections stop
// the process.
func runClientProcess(t *testing.T, c clientCalls) clientResult {
	t.Helper()
	s, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	// The race detector reports a race when it occurs, so the process need not wait a second before it ends.
	cmd.Env = append(os.Environ(), clientCallsEnv+"="+string(s), "GODEBUG=gcstoptheworld=1", "GORACE="+os.Getenv("GORACE")+" atexit_sleep_ms=0")
	if c.CertFile != "" {
		cmd.Env = append(cmd.Env, "SSL_CERT_FILE="+c.CertFile)
	}
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	var r clientResult
	if err := json.Unmarshal(out, &r); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return r
}

// runClientCalls makes the calls and writes the result to the standard output.
func runClientCalls(s string) error {
	var calls clientCalls
	if err := json.Unmarshal([]byte(s), &calls); err != nil {
		return err
	}
	c, b := newBoundedClient(calls.Base, 1500*time.Millisecond)
	call := map[string]func(ctx context.Context) error{
		"read": func(ctx context.Context) error { _, err := c.Read(ctx, "s", 0, 500, 0); return err },
		"list": func(ctx context.Context) error { _, err := c.Instances(ctx); return err },
		"rate": func(ctx context.Context) error { _, err := c.Rate(ctx, platform.RatingRequest{}); return err },
	}[calls.Operation]
	var failed atomic.Int64
	var r clientResult
	r.Peak, r.Samples = peakHeap(func() {
		var w sync.WaitGroup
		for range calls.Calls {
			w.Go(func() {
				for range calls.Rounds {
					if call(context.Background()) != nil {
						failed.Add(1)
					}
				}
			})
		}
		w.Wait()
	})
	r.Failed = int(failed.Load())
	r.Released = b.NewReservation().Grow(b.MaxBodySize()) == nil
	return json.NewEncoder(os.Stdout).Encode(r)
}

// newBoundedClient returns a client with a budget.
func newBoundedClient(base string, timeout time.Duration) (*platform.Client, *memory.Budget) {
	b := memory.NewBudget(endlessMemory)
	c := platform.NewClient(base, &http.Client{Transport: platform.NewTransport()}, timeout)
	c.LimitMemory(b)
	return c, b
}

// peakHeap returns the largest size of the live objects of the heap while run runs, beyond those before, and the number of samples.
func peakHeap(run func()) (peak int64, samples int) {
	live := func() int64 {
		runtime.GC()
		m := []metrics.Sample{{Name: "/gc/heap/live:bytes"}} // without what was allocated since the collection
		metrics.Read(m)
		return int64(m[0].Value.Uint64())
	}
	before := live()
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	for {
		select {
		case <-done:
			return peak, samples
		case <-time.After(2 * time.Millisecond):
			peak = max(peak, live()-before)
			samples++
		}
	}
}
