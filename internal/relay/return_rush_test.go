package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
)

const drillTopics = 4 // of a store

// drillStore is a store that is away for a while and comes back from an older copy.
type drillStore struct {
	mu    sync.Mutex
	away  bool
	era   int64
	wake  chan struct{}
	calls map[string][]time.Time // by operation
}

// change applies a change and ends the calls that wait.
func (s *drillStore) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.wake)
	s.wake = make(chan struct{})
}

// call counts a call.
func (s *drillStore) call(op string) (era int64, wake chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[op] = append(s.calls[op], time.Now())
	if s.away {
		return 0, nil, errors.New("away")
	}
	return s.era, s.wake, nil
}

// callsWithin returns the number of calls by operation from a time on.
func (s *drillStore) callsWithin(from time.Time, d time.Duration) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for op, l := range s.calls {
		for _, at := range l {
			if at.After(from) && at.Before(from.Add(d)) {
				out[op]++
			}
		}
	}
	return out
}

// drillTopic is a topic of a drillStore as an instance reads it.
type drillTopic struct {
	store *drillStore
	ends  []int64 // by era
}

func (c drillTopic) end(era int64) changefeed.Position {
	return changefeed.Position{Era: era, Offset: c.ends[era]}
}

// Snapshot returns one record.
func (c drillTopic) Snapshot(context.Context) (changefeed.Batch, error) {
	era, _, err := c.store.call("newest")
	if err != nil {
		return changefeed.Batch{}, err
	}
	next := c.end(era)
	return changefeed.Batch{Next: next, Records: []changefeed.Record{{Key: "k", Value: []byte("v"), Position: next.Add(-1)}}}, nil
}

// Read returns the records up to the end of the topic, or waits.
func (c drillTopic) Read(ctx context.Context, from changefeed.Position, wait time.Duration) (changefeed.Batch, error) {
	end := time.After(wait)
	era, wake, err := c.store.call("read")
	if err != nil {
		return changefeed.Batch{}, err
	}
	next := c.end(era)
	switch {
	case next.Era > from.Era || next.Before(from):
		return changefeed.Batch{Trimmed: true}, nil
	case from.Before(next):
		b := changefeed.Batch{Next: next}
		for p := from; p.Before(next); p = p.Add(1) {
			b.Records = append(b.Records, changefeed.Record{Key: "k", Value: []byte("v"), Position: p})
		}
		return b, nil
	}
	select {
	case <-ctx.Done():
		return changefeed.Batch{}, ctx.Err()
	case <-wake:
		return changefeed.Batch{}, errors.New("connection lost")
	case <-end:
		return changefeed.Batch{Next: from}, nil
	}
}

// startDrill starts instances with the topics, policies and read options of the product with its default bounds until the context
// ends. It returns the channel on which they send the results of their calls.
func startDrill(ctx context.Context, t *testing.T, g *sync.WaitGroup, store *drillStore, instances int) <-chan changefeed.Update {
	t.Helper()
	const seeds = 3
	const second = time.Second
	type topicPolicy struct {
		wait, minInterval, startup, maxRetry time.Duration
		required                             bool
		ends                                 []int64
	}
	topics := [drillTopics]topicPolicy{
		{1200 * time.Millisecond, 0, 60 * time.Millisecond, 400 * time.Millisecond, true, []int64{100, 95}},
		{1200 * time.Millisecond, 1200 * time.Millisecond, 60 * time.Millisecond, 400 * time.Millisecond, true, []int64{100, 105}},
		{20 * second, 250 * time.Millisecond, 2 * second, 20 * second, false, []int64{100, 95}},
		{20 * second, 250 * time.Millisecond, 2 * second, 20 * second, false, []int64{100, 95}},
	}
	var listeners []net.Listener
	var addresses []netip.AddrPort
	for range seeds {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners, addresses = append(listeners, l), append(addresses, netip.MustParseAddrPort(l.Addr().String()))
	}
	updates := make(chan changefeed.Update, 100*instances)
	for i := range instances {
		o := Options{Instance: fmt.Sprint(i), Seeds: addresses, Logger: zap.NewNop(), Dial: func(ctx context.Context, a string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", a)
		}}
		if i < seeds {
			o.Address = addresses[i]
		}
		h := NewHub(o)
		for k, p := range topics {
			s := h.AddTopic(fmt.Sprint(k), drillTopic{store, p.ends}, ReadPolicy{
				StartupWait: p.startup, MinInterval: p.minInterval, MaxAge: 300*time.Millisecond + max(p.minInterval, p.wait), Timeout: 700 * time.Millisecond, Required: p.required,
			})
			f := changefeed.NewFollower(s, changefeed.Options{
				Wait: p.wait, Timeout: 700 * time.Millisecond, SnapshotTimeout: 10 * second, RetryInterval: 250 * time.Millisecond, MaxRetryInterval: p.maxRetry,
			}, func(u changefeed.Update) {
				if u.Err == nil {
					updates <- u
				}
			})
			g.Go(func() { f.Run(ctx) })
		}
		g.Go(func() { h.Run(ctx) })
		if i < seeds {
			g.Go(func() {
				if err := h.Serve(ctx, listeners[i]); err != nil {
					t.Error(err)
				}
			})
		}
	}
	return updates
}

// TestReturnRush guards against instances that exceed the store's limit of reads when it comes back from an older copy, as all of
// them notice it at once, and against ones that don't notice it.
func TestReturnRush(t *testing.T) {
	const instances, limit = 300, 6000
	for _, away := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var g sync.WaitGroup
			defer g.Wait()
			defer cancel()
			store := &drillStore{wake: make(chan struct{}), calls: map[string][]time.Time{}}
			updates := startDrill(ctx, t, &g, store, instances)
			await := func(what string, counts func(changefeed.Update) bool) {
				n, end := 0, time.After(testTimeout)
				for n < drillTopics*instances {
					select {
					case u := <-updates:
						if counts(u) {
							n++
						}
					case <-end:
						t.Fatalf("%d topics of instances %s, want %d", n, what, drillTopics*instances)
					}
				}
			}
			await("have been read", func(u changefeed.Update) bool { return u.Err == nil && u.IsSnapshot })
			time.Sleep(time.Second) // all instances follow a seed
			store.change(func() { store.away = true })
			time.Sleep(away)
			store.change(func() { store.away, store.era = false, 1 })
			since := time.Now()
			await("have noticed the return", func(u changefeed.Update) bool { return u.Return != nil })
			time.Sleep(time.Until(since.Add(time.Second)))
			n := store.callsWithin(since, time.Second)
			t.Logf("%v calls in the first second", n)
			if n["read"]+n["newest"] > limit {
				t.Errorf("%v calls in the first second, limit %d", n, limit)
			}
		})
	}
}
