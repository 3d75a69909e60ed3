package feed

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// scripted is a source whose replies a test writes down in order; after them it waits for the end of each call.
type scripted struct {
	mu      sync.Mutex
	replies []func(ctx context.Context) (Batch, error)
	calls   []string
}

func (s *scripted) next(ctx context.Context, call string) (Batch, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.replies) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	f := s.replies[0]
	s.replies = s.replies[1:]
	s.mu.Unlock()
	return f(ctx)
}

func (s *scripted) Newest(ctx context.Context) (Batch, error) { return s.next(ctx, "newest") }

func (s *scripted) Read(ctx context.Context, _ int64, wait time.Duration) (Batch, error) {
	if wait == 0 {
		return s.next(ctx, "read at once")
	}
	return s.next(ctx, "read")
}

func batch(next int64, keys ...string) func(context.Context) (Batch, error) {
	return func(context.Context) (Batch, error) {
		b := Batch{Next: next}
		for _, k := range keys {
			b.Records = append(b.Records, Record{Key: k})
		}
		return b, nil
	}
}

// run follows a source until some updates have come.
func run(t *testing.T, s *scripted, o Options, n int, during func(f *Follower)) []Update {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	out := make(chan Update, 100)
	f := NewFollower(s, o, func(u Update) { out <- u })
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	if during != nil {
		during(f)
	}
	var l []Update
	for len(l) < n {
		select {
		case u := <-out:
			l = append(l, u)
		case <-ctx.Done():
			t.Fatalf("%d updates, want %d; calls %v", len(l), n, s.calls)
		}
	}
	cancel()
	<-done
	return l
}

var quick = Options{Wait: 10 * time.Second, Timeout: 10 * time.Second, Retry: time.Millisecond}

// TestTrimmed guards against records that are missed when the store has dropped its history.
func TestTrimmed(t *testing.T) {
	s := &scripted{replies: []func(context.Context) (Batch, error){
		batch(3, "a"), batch(4, "b"),
		func(context.Context) (Batch, error) { return Batch{Trimmed: true}, nil },
		batch(9, "a", "c"), batch(10, "d"),
	}}
	l := run(t, s, quick, 4, nil)
	want := []struct {
		full bool
		next int64
	}{{true, 3}, {false, 4}, {true, 9}, {false, 10}}
	for i, w := range want {
		if l[i].Full != w.full || l[i].Next != w.next {
			t.Errorf("update %d: full %v, next %d, want %v", i, l[i].Full, l[i].Next, w)
		}
	}
}

// TestFailure guards against a follower that goes on from a wrong place after a failed call, or stops.
func TestFailure(t *testing.T) {
	s := &scripted{replies: []func(context.Context) (Batch, error){
		func(context.Context) (Batch, error) { return Batch{}, errors.New("away") },
		batch(3, "a"),
		func(context.Context) (Batch, error) { return Batch{}, errors.New("away") },
		batch(4, "b"),
	}}
	l := run(t, s, quick, 4, nil)
	if l[0].Err == nil || !l[1].Full || l[2].Err == nil || l[3].Full || l[3].Next != 4 {
		t.Errorf("updates %v", l)
	}
}

// TestRestart guards against a call that a failing store never answers and that keeps a follower from its records.
func TestRestart(t *testing.T) {
	hung := make(chan struct{})
	s := &scripted{replies: []func(context.Context) (Batch, error){
		batch(3, "a"),
		func(ctx context.Context) (Batch, error) {
			close(hung)
			<-ctx.Done()
			return Batch{}, ctx.Err()
		},
		batch(4, "b"),
	}}
	l := run(t, s, quick, 2, func(f *Follower) {
		<-hung
		f.Restart()
	})
	if l[1].Err != nil || l[1].Next != 4 {
		t.Errorf("update %v", l[1])
	}
}

// TestRetry guards against a flood of calls from many instances on a store that refuses them.
func TestRetry(t *testing.T) {
	fail := func(context.Context) (Batch, error) { return Batch{}, errors.New("refused") }
	s := &scripted{replies: []func(context.Context) (Batch, error){fail, fail, fail, fail, fail}}
	o := quick
	o.Retry, o.RetryMost = 20*time.Millisecond, 80*time.Millisecond
	l := run(t, s, o, 5, nil)
	// Pauses of 20, 40, 80 and 80 ms, each at least half of that.
	if d := l[4].At.Sub(l[0].At); d < 110*time.Millisecond {
		t.Errorf("five calls within %v", d)
	}
}

// TestRetryAfterSilence guards against a return of the store that is noticed late because the time for which a call hung
// came on top of the time to the next one.
func TestRetryAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hang := func(ctx context.Context) (Batch, error) {
			<-ctx.Done()
			return Batch{}, ctx.Err()
		}
		s := &scripted{replies: []func(context.Context) (Batch, error){hang, hang, hang, hang, hang}}
		o := Options{Wait: time.Second, Timeout: 700 * time.Millisecond, Retry: 500 * time.Millisecond, RetryMost: 500 * time.Millisecond}
		l := run(t, s, o, 5, nil)
		if d := l[4].At.Sub(l[0].At); d > 4*710*time.Millisecond {
			t.Errorf("five calls took %v", d)
		}
	})
}

// TestReturn guards against a read that waits at a store that was lost: it hangs longest just when the store returns.
func TestReturn(t *testing.T) {
	fail := func(context.Context) (Batch, error) { return Batch{}, errors.New("away") }
	s := &scripted{replies: []func(context.Context) (Batch, error){batch(1, "a"), fail, batch(2, "b"), batch(3, "c")}}
	run(t, s, quick, 4, nil)
	want := []string{"newest", "read", "read at once", "read"}
	for i, w := range want {
		if s.calls[i] != w {
			t.Errorf("call %d: %s, want %s", i, s.calls[i], w)
		}
	}
}
