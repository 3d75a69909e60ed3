package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// benchDelay is the delay of each call to the log stand-in, a little above one round trip between availability zones.
const benchDelay = 4 * time.Millisecond

// BenchmarkClaim measures the time from the start of a claim until the request may be sent, over a log with a delay.
func BenchmarkClaim(b *testing.B) {
	for name, tc := range map[string]struct {
		callers int
		pause   time.Duration // pause of each caller between two claims
	}{
		"callers-1-at-5-per-s":   {1, 200 * time.Millisecond},
		"callers-10-at-50-per-s": {10, 200 * time.Millisecond},
		"callers-16":             {16, 0},
		"callers-128":            {128, 0},
	} {
		b.Run(name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(b.Context())
			log := standin.NewLog(time.Now)
			log.SetFaults(standin.Faults{Delay: benchDelay})
			c := NewClaimer(ctx, Options{Log: log, Instance: "i"}, ClaimSettings{})
			h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			runCallers(b, tc.callers, tc.pause, h, func() error {
				t, err := c.ClaimKey(ctx, ClaimRequest{Organisation: "lys", IdempotencyKey: newKey(b), Deadline: time.Now().Add(time.Minute)})
				if err != nil {
					return err
				}
				err = t.BeginSend()
				t.RecordOutcome(record.Outcome{Status: 200})
				return err
			})
			reportLatency(b, h)
			if err := c.FlushRecords(ctx); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(log.AppendCount())/float64(b.N), "appends/op")
			cancel()
			c.Wait()
		})
	}
}

// BenchmarkBill measures the time until the last byte of an answer may be sent, without a witness, over a log with a
// delay.
func BenchmarkBill(b *testing.B) {
	for _, callers := range []int{16, 128} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) {
			ctx, cancel := context.WithCancel(b.Context())
			log := standin.NewLog(time.Now)
			log.SetFaults(standin.Faults{Delay: benchDelay})
			c := NewBiller(ctx, Options{Log: log, Instance: "i"}, nil, BillSettings{})
			h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			runCallers(b, callers, 0, h, func() error { return c.RecordBill(ctx, record.Bill{Organisation: "lys", Key: newKey(b)}) })
			reportLatency(b, h)
			b.ReportMetric(float64(log.AppendCount())/float64(b.N), "appends/op")
			cancel()
			c.Wait()
		})
	}
}

// runCallers spreads b.N calls of f over a number of goroutines and records the duration of each call.
func runCallers(b *testing.B, callers int, pause time.Duration, latencies *hdrhistogram.Histogram, f func() error) {
	b.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	work := make(chan struct{}, b.N)
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	b.ResetTimer()
	for range callers {
		wg.Go(func() {
			for range work {
				begin := time.Now()
				err := f()
				mu.Lock()
				_ = latencies.RecordValue(time.Since(begin).Microseconds())
				mu.Unlock()
				if err != nil {
					b.Error(err)
				}
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	b.StopTimer()
}

func reportLatency(b *testing.B, h *hdrhistogram.Histogram) {
	b.Helper()
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
}
