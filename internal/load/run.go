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

// run is the state of a run.
type run struct {
	o      Options
	caller *client.Caller
	free   chan struct{} // one element for each request under way
	meter  *meter
	wg     sync.WaitGroup
}

// Run sends the requests and returns what was measured when the last answer has ended.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.check(); err != nil {
		return Report{}, err
	}
	t := &http.Transport{MaxIdleConnsPerHost: o.Concurrency, DisableCompression: true}
	defer t.CloseIdleConnections()
	h := &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	r := &run{
		o: o, caller: client.NewCaller(o.Base, o.Key, h, client.Retries{}),
		free: make(chan struct{}, o.Concurrency), meter: newMeter(),
	}
	start := time.Now()
	if o.Rate > 0 {
		r.open(ctx, start)
	} else {
		r.closed(ctx, start.Add(o.Time))
	}
	r.wg.Wait()
	return r.meter.report(time.Since(start)), nil
}

// open sends at the rate. A request's time counts from the moment when it was due, so that a slow server does not
// hide the wait of the requests behind it.
func (r *run) open(ctx context.Context, start time.Time) {
	for n := range r.o.Requests {
		due := start.Add(time.Duration(float64(n) / r.o.Rate * float64(time.Second)))
		if due.Sub(start) >= r.o.Time || !sleep(ctx, time.Until(due)) {
			return
		}
		select {
		case r.free <- struct{}{}:
			r.send(ctx, due)
		default:
			r.meter.unsent()
		}
	}
}

// closed keeps the concurrency until the end.
func (r *run) closed(ctx context.Context, end time.Time) {
	t := time.NewTimer(time.Until(end))
	defer t.Stop()
	for range r.o.Requests {
		select {
		case r.free <- struct{}{}:
			r.send(ctx, time.Now())
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

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

func (r *run) send(ctx context.Context, due time.Time) {
	r.wg.Go(func() {
		defer func() { <-r.free }()
		x, cancel := context.WithTimeout(ctx, r.o.Timeout)
		defer cancel()
		r.meter.ended(r.ask(x, due))
	})
}

// ask sends one request and reads its answer to the end.
func (r *run) ask(ctx context.Context, due time.Time) error {
	s, err := r.caller.Stream(ctx, client.ChatRequest{
		Model: r.o.Profile, MaxTokens: r.o.MaxTokens, Messages: []client.Message{{Role: "user", Content: r.o.Prompt}},
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
				r.meter.token(now.Sub(last), first)
				last, first = now, false
			}
		}
	}
}
