package load

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// run holds the state of one load run.
type run struct {
	options  Options
	caller   *client.Caller
	inFlight chan struct{} // semaphore with one element for each outstanding request
	recorder *recorder
	wg       sync.WaitGroup
}

// Run sends the requests, waits for their answers and returns the results.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.validate(); err != nil {
		return Report{}, err
	}
	t := &http.Transport{MaxIdleConnsPerHost: o.Concurrency, DisableCompression: true}
	defer t.CloseIdleConnections()
	h := &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	r := &run{
		options: o, caller: client.NewCaller(o.BaseURL, o.APIKey, h, client.Retries{}),
		inFlight: make(chan struct{}, o.Concurrency), recorder: newRecorder(),
	}
	start := time.Now()
	if o.Rate > 0 {
		r.sendAtRate(ctx, start)
	} else {
		r.sendAtConcurrency(ctx, start.Add(o.SendDuration))
	}
	r.wg.Wait()
	return r.recorder.report(time.Since(start)), nil
}

// sendAtRate sends requests at a fixed rate. Latency is measured from the time at which a request was due, so that requests
// delayed behind a slow server count with their full wait.
func (r *run) sendAtRate(ctx context.Context, start time.Time) {
	for i := range r.options.MaxRequests {
		due := start.Add(time.Duration(float64(i) / r.options.Rate * float64(time.Second)))
		if due.Sub(start) >= r.options.SendDuration || !sleep(ctx, time.Until(due)) {
			return
		}
		select {
		case r.inFlight <- struct{}{}:
			r.sendAsync(ctx, due)
		default:
			r.recorder.recordUnsent()
		}
	}
}

// sendAtConcurrency keeps a fixed number of requests outstanding until end.
func (r *run) sendAtConcurrency(ctx context.Context, end time.Time) {
	t := time.NewTimer(time.Until(end))
	defer t.Stop()
	for range r.options.MaxRequests {
		select {
		case r.inFlight <- struct{}{}:
			r.sendAsync(ctx, time.Now())
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// sleep waits for d and reports whether ctx was still active at the end.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// sendAsync sends a request in a new goroutine; the caller has acquired the semaphore.
func (r *run) sendAsync(ctx context.Context, due time.Time) {
	r.wg.Go(func() {
		defer func() { <-r.inFlight }()
		reqCtx, cancel := context.WithTimeout(ctx, r.options.RequestTimeout)
		defer cancel()
		r.recorder.recordResult(r.streamAnswer(reqCtx, due))
	})
}

// streamAnswer sends one request, reads its answer to the end and records the latency of each token.
func (r *run) streamAnswer(ctx context.Context, due time.Time) error {
	s, err := r.caller.Stream(ctx, client.ChatRequest{
		Model: r.options.Profile, MaxTokens: r.options.MaxTokens, Messages: []client.Message{{Role: "user", Content: r.options.Prompt}},
	})
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	last, first := due, true
	for {
		p, err := s.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, c := range p.Choices {
			if c.Delta != nil && c.Delta.Content != "" {
				now := time.Now()
				r.recorder.recordToken(now.Sub(last), first)
				last, first = now, false
			}
		}
	}
}
