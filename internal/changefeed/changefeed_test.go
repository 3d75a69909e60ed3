package changefeed

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedSource is a source that gives the responses of a test in order; each further call blocks until its context ends.
type scriptedSource struct {
	mu        sync.Mutex
	responses []func(ctx context.Context) (Batch, error)
	calls     []string
}

func (s *scriptedSource) next(ctx context.Context, call string) (Batch, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.responses) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	f := s.responses[0]
	s.responses = s.responses[1:]
	s.mu.Unlock()
	return f(ctx)
}

func (s *scriptedSource) Snapshot(ctx context.Context) (Batch, error) { return s.next(ctx, "newest") }

func (s *scriptedSource) Read(ctx context.Context, _ Position, wait time.Duration) (Batch, error) {
	if wait == 0 {
		return s.next(ctx, "read at once")
	}
	return s.next(ctx, "read")
}

// respond returns a function that returns a batch with records of the keys.
func respond(next int64, keys ...string) func(context.Context) (Batch, error) {
	return func(context.Context) (Batch, error) {
		b := Batch{Next: Position{Offset: next}}
		for _, k := range keys {
			b.Records = append(b.Records, Record{Key: k})
		}
		return b, nil
	}
}

// collectUpdates follows a source and returns its first n updates; whileRunning is called after the start unless nil.
func collectUpdates(t *testing.T, s *scriptedSource, o Options, n int, whileRunning func(f *Follower)) []Update {
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
	if whileRunning != nil {
		whileRunning(f)
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

var fastOptions = Options{Wait: 10 * time.Second, Timeout: 10 * time.Second, RetryInterval: time.Millisecond}

// TestTrimmed guards against missing records when the store has trimmed the topic.
func TestTrimmed(t *testing.T) {
	s := &scriptedSource{responses: []func(context.Context) (Batch, error){
		respond(3, "a"), respond(4, "b"),
		func(context.Context) (Batch, error) { return Batch{Trimmed: true}, nil },
		respond(9, "a", "c"), respond(10, "d"),
	}}
	l := collectUpdates(t, s, fastOptions, 4, nil)
	want := []struct {
		full bool
		next int64
	}{{true, 3}, {false, 4}, {true, 9}, {false, 10}}
	for i, w := range want {
		if l[i].IsSnapshot != w.full || l[i].Next.Offset != w.next {
			t.Errorf("update %d: snapshot %v, next %d, want %v", i, l[i].IsSnapshot, l[i].Next.Offset, w)
		}
	}
}

// TestFailure guards against a follower that continues from a wrong offset after a failed call, or stops.
func TestFailure(t *testing.T) {
	s := &scriptedSource{responses: []func(context.Context) (Batch, error){
		func(context.Context) (Batch, error) { return Batch{}, errors.New("away") },
		respond(3, "a"),
		func(context.Context) (Batch, error) { return Batch{}, errors.New("away") },
		respond(4, "b"),
	}}
	l := collectUpdates(t, s, fastOptions, 4, nil)
	if l[0].Err == nil || !l[1].IsSnapshot || l[2].Err == nil || l[3].IsSnapshot || l[3].Next.Offset != 4 {
		t.Errorf("updates %v", l)
	}
}

// TestRestart guards against a follower that is blocked by a call to which a failing store never responds.
func TestRestart(t *testing.T) {
	pending := make(chan struct{})
	s := &scriptedSource{responses: []func(context.Context) (Batch, error){
		respond(3, "a"),
		func(ctx context.Context) (Batch, error) {
			close(pending)
			<-ctx.Done()
			return Batch{}, ctx.Err()
		},
		respond(4, "b"),
	}}
	l := collectUpdates(t, s, fastOptions, 2, func(f *Follower) {
		<-pending
		f.Restart()
	})
	if l[1].Err != nil || l[1].Next.Offset != 4 {
		t.Errorf("update %v", l[1])
	}
}

// TestRetry guards against overloading a store that refuses the calls of many instances.
func TestRetry(t *testing.T) {
	fail := func(context.Context) (Batch, error) { return Batch{}, errors.New("refused") }
	s := &scriptedSource{responses: []func(context.Context) (Batch, error){fail, fail, fail, fail, fail}}
	o := fastOptions
	o.RetryInterval, o.MaxRetryInterval = 20*time.Millisecond, 80*time.Millisecond
	l := collectUpdates(t, s, o, 5, nil)
	// The calls start 20, 40, 80 and 80 ms apart, less the jitter; half of that is required.
	if d := l[4].CalledAt.Sub(l[0].CalledAt); d < 110*time.Millisecond {
		t.Errorf("five calls within %v", d)
	}
}

// TestRetryAfterTimeout guards against noticing the return of the store late because the duration of a failed call was
// added to the retry time.
func TestRetryAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hang := func(ctx context.Context) (Batch, error) {
			<-ctx.Done()
			return Batch{}, ctx.Err()
		}
		s := &scriptedSource{responses: []func(context.Context) (Batch, error){hang, hang, hang, hang, hang}}
		o := Options{Wait: time.Second, Timeout: 700 * time.Millisecond, RetryInterval: 500 * time.Millisecond, MaxRetryInterval: 500 * time.Millisecond}
		l := collectUpdates(t, s, o, 5, nil)
		if d := l[4].CalledAt.Sub(l[0].CalledAt); d > 4*710*time.Millisecond {
			t.Errorf("five calls took %v", d)
		}
	})
}

// TestReadWithoutWaitAfterFailure guards against a read with a wait after a failed call: it would be pending for longest
// just when the store returns.
func TestReadWithoutWaitAfterFailure(t *testing.T) {
	fail := func(context.Context) (Batch, error) { return Batch{}, errors.New("away") }
	s := &scriptedSource{responses: []func(context.Context) (Batch, error){respond(1, "a"), fail, respond(2, "b"), respond(3, "c")}}
	collectUpdates(t, s, fastOptions, 4, nil)
	want := []string{"newest", "read", "read at once", "read"}
	for i, w := range want {
		if s.calls[i] != w {
			t.Errorf("call %d: %s, want %s", i, s.calls[i], w)
		}
	}
}

// TestSnapshotTimeout guards against a snapshot of several calls that never succeeds, because it has the time of one call.
func TestSnapshotTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(ctx context.Context) (Batch, error) {
			select {
			case <-time.After(3 * time.Second):
				return Batch{Next: Position{Offset: 1}}, nil
			case <-ctx.Done():
				return Batch{}, ctx.Err()
			}
		}
		for name, c := range map[string]struct {
			timeout time.Duration
			ok      bool
		}{"of its own": {10 * time.Second, true}, "of a call": {0, false}} {
			s := &scriptedSource{responses: []func(context.Context) (Batch, error){slow}}
			o := Options{Wait: time.Second, Timeout: 700 * time.Millisecond, SnapshotTimeout: c.timeout, RetryInterval: 500 * time.Millisecond}
			if l := collectUpdates(t, s, o, 1, nil); (l[0].Err == nil) != c.ok {
				t.Errorf("timeout %s: error %v", name, l[0].Err)
			}
		}
	})
}
