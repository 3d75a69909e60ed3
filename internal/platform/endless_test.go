package platform_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/memory"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
)

const (
	endlessCalls  = 50 // at once
	endlessMemory = 8 << 20
	maxSinglePage = 8 << 20
)

// newBoundedClient returns a client with a budget.
func newBoundedClient(t *testing.T, base string) (*platform.Client, *memory.Budget) {
	t.Helper()
	b := memory.NewBudget(endlessMemory)
	transport := &http.Transport{MaxResponseHeaderBytes: 8 << 10}
	t.Cleanup(transport.CloseIdleConnections)
	c := platform.NewClient(base, &http.Client{Transport: transport}, 1500*time.Millisecond)
	c.LimitMemory(b)
	return c, b
}

// peakHeap returns the largest size of the live objects of the heap while run runs, beyond those before.
func peakHeap(run func()) int64 {
	live := func() int64 {
		runtime.GC()
		m := []metrics.Sample{{Name: "/gc/heap/live:bytes"}} // without what was allocated since the collection
		metrics.Read(m)
		return int64(m[0].Value.Uint64())
	}
	before, peak := live(), int64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	for {
		select {
		case <-done:
			return peak
		case <-time.After(50 * time.Millisecond):
			peak = max(peak, live()-before)
		}
	}
}

// TestEndlessReplies guards against replies of the platform's services without end, or of many elements, that are held without a
// limit on all of them together.
func TestEndlessReplies(t *testing.T) {
	some, all := []byte(strings.Repeat(",{}", 1<<12)), []byte("[{}"+strings.Repeat(",{}", 300_000)+"]")
	elements := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := "[{}"
		if strings.Contains(r.URL.Path, "streams") {
			text = `{"entries":[{}`
		}
		_, _ = io.WriteString(w, text)
		for err := error(nil); err == nil; {
			_, err = w.Write(some)
		}
	}))
	defer elements.Close()
	many := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(all)
	}))
	defer many.Close()
	bases := map[string]string{"elements": elements.URL, "a list of many": many.URL}
	for _, f := range []standin.EndlessForm{standin.EndlessFields, standin.EndlessInterim, standin.EndlessBody, standin.EndlessLength, standin.EndlessChunks, standin.StalledBody} {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		e, done := standin.NewEndlessEndpoint("", f), make(chan struct{})
		go func() {
			defer close(done)
			e.Serve(l)
		}()
		t.Cleanup(func() {
			_ = l.Close()
			<-done
		})
		bases[string(f)] = "http://" + l.Addr().String()
	}
	calls := map[string]func(ctx context.Context, c *platform.Client) error{
		"read": func(ctx context.Context, c *platform.Client) error {
			_, err := c.Read(ctx, "s", 0, 500, 0)
			return err
		},
		"list": func(ctx context.Context, c *platform.Client) error { _, err := c.Instances(ctx); return err },
		"rate": func(ctx context.Context, c *platform.Client) error {
			_, err := c.Rate(ctx, platform.RatingRequest{})
			return err
		},
	}
	for name, base := range bases {
		for operation, call := range calls {
			t.Run(operation+"/"+name, func(t *testing.T) {
				c, b := newBoundedClient(t, base)
				peak := peakHeap(func() {
					var w sync.WaitGroup
					for range endlessCalls {
						w.Go(func() {
							if err := call(t.Context(), c); err == nil {
								t.Error("the reply was taken for a valid one")
							}
						})
					}
					w.Wait()
				})
				t.Logf("peak %d KiB", peak>>10)
				// The budget and one page beside it, as much again for buffers that have grown or were released since the last
				// collection, and 200 KiB for each call.
				if most := int64(2*endlessMemory + 2*maxSinglePage + endlessCalls*200<<10); peak > most {
					t.Errorf("peak %d KiB, more than %d KiB", peak>>10, most>>10)
				}
				if err := b.NewReservation().Grow(b.MaxBodySize()); err != nil {
					t.Errorf("memory of the replies was not released: %v", err)
				}
			})
		}
	}
}

// TestLargePages guards against a reader that never gets past records that do not fit into its memory together.
func TestLargePages(t *testing.T) {
	const records, size = 10, 4<<20 - 1<<10
	log := standin.NewLog(time.Now)
	for i := range records {
		if _, err := log.Append(t.Context(), "s", []byte(strconv.Itoa(i)+strings.Repeat("x", size))); err != nil {
			t.Fatal(err)
		}
	}
	p := &standin.Platform{Log: log, Rater: standin.NewRater(nil), WeightStore: standin.NewWeightStore(time.Second), InstanceList: standin.NewInstanceList()}
	s := httptest.NewServer(p.Handler())
	defer s.Close()
	c, _ := newBoundedClient(t, s.URL)
	next := platform.Offset(0)
	for calls := 0; next < records && calls < 2*records; calls++ {
		page, err := c.Read(t.Context(), "s", next, 500, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range page.Entries {
			if e.Offset != next || !strings.HasPrefix(string(e.Data), fmt.Sprint(next)+"x") {
				t.Fatalf("record %d in place of %d", e.Offset, next)
			}
			next++
		}
	}
	if next < records {
		t.Errorf("%d of %d records read", next, records)
	}
}
