package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/feed"
)

const bound = 20 * time.Second // of each wait; generous, because the machine may be busy

// log is a topic in a store that several instances read.
type log struct {
	mu      sync.Mutex
	records []feed.Record
	wake    chan struct{}
}

func newLog() *log { return &log{wake: make(chan struct{})} }

func (l *log) add(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, feed.Record{Key: key, Value: []byte("v"), Offset: int64(len(l.records))})
	close(l.wake)
	l.wake = make(chan struct{})
}

// reader is one instance's way to the store.
type reader struct {
	log *log

	mu    sync.Mutex
	calls int
	mute  bool // calls get no answer
}

func (r *reader) call() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	return r.mute
}

func (r *reader) setMute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mute = true
}

func (r *reader) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

func (r *reader) Newest(ctx context.Context) (feed.Batch, error) {
	if r.call() {
		<-ctx.Done()
		return feed.Batch{}, ctx.Err()
	}
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	newest := map[string]feed.Record{}
	for _, x := range r.log.records {
		newest[x.Key] = x
	}
	b := feed.Batch{Next: int64(len(r.log.records))}
	for _, x := range newest {
		b.Records = append(b.Records, x)
	}
	return b, nil
}

func (r *reader) Read(ctx context.Context, from int64, wait time.Duration) (feed.Batch, error) {
	if r.call() {
		<-ctx.Done()
		return feed.Batch{}, ctx.Err()
	}
	end := time.After(wait)
	for {
		r.log.mu.Lock()
		l, wake := r.log.records[from:], r.log.wake
		r.log.mu.Unlock()
		if len(l) > 0 {
			return feed.Batch{Records: l, Next: from + int64(len(l))}, nil
		}
		select {
		case <-wake:
		case <-end:
			return feed.Batch{Next: from}, nil
		case <-ctx.Done():
			return feed.Batch{}, ctx.Err()
		}
	}
}

// node is an instance that follows one topic.
type node struct {
	reader *reader
	hub    *Hub
	stop   context.CancelFunc

	mu   sync.Mutex
	keys map[string]time.Time // when each key was first seen
}

func (n *node) seen(key string) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t, ok := n.keys[key]
	return t, ok
}

const (
	wait  = 300 * time.Millisecond
	fresh = wait + 200*time.Millisecond
)

// fleet starts one seed and some followers.
func fleet(t *testing.T, l *log, followers int) (seed *node, others []*node) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := netip.MustParseAddrPort(lis.Addr().String())
	var g sync.WaitGroup
	t.Cleanup(g.Wait)
	start := func(id string, self netip.AddrPort) *node {
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		n := &node{reader: &reader{log: l}, stop: cancel, keys: map[string]time.Time{}}
		n.hub = NewHub(Options{
			Instance: id, Self: self, Seeds: []netip.AddrPort{a}, Logger: zap.NewNop(),
			Dial: func(ctx context.Context, s string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", s)
			},
		})
		s := n.hub.Source(n.reader, Pace{Join: bound, Fresh: fresh})
		f := feed.NewFollower(s, feed.Options{Wait: wait, Timeout: time.Second, Retry: 50 * time.Millisecond}, func(u feed.Update) {
			n.mu.Lock()
			defer n.mu.Unlock()
			for _, r := range u.Records {
				if _, ok := n.keys[r.Key]; !ok {
					n.keys[r.Key] = time.Now()
				}
			}
		})
		g.Go(func() { f.Run(ctx) })
		g.Go(func() { n.hub.Run(ctx) })
		if self == a {
			g.Go(func() {
				if err := n.hub.Serve(ctx, lis); err != nil {
					t.Error(err)
				}
			})
		}
		return n
	}
	seed = start("seed", a)
	for i := range followers {
		others = append(others, start(string(rune('a'+i)), netip.AddrPort{}))
	}
	return seed, others
}

func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("waited %v for %s", bound, what)
}

func all(l []*node, key string) func() bool {
	return func() bool {
		for _, n := range l {
			if _, ok := n.seen(key); !ok {
				return false
			}
		}
		return true
	}
}

// TestShare guards against reads of the store by each instance, and against records that do not reach all.
func TestShare(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("fleet", func(t *testing.T) {
		l := newLog()
		l.add("first")
		_, others := fleet(t, l, 5)
		await(t, "the first record", all(others, "first"))
		for _, k := range []string{"second", "third", "first"} {
			l.add(k)
			await(t, "record "+k, all(others, k))
		}
		time.Sleep(3 * wait)
		for i, n := range others {
			if c := n.reader.count(); c > 0 {
				t.Errorf("follower %d read the store %d times", i, c)
			}
		}
	})
}

// TestSeedFails guards against records that come later than the bound because the instance that reads the store has
// stopped, or has lost the store without noticing.
func TestSeedFails(t *testing.T) {
	for name, fail := range map[string]func(n *node){
		"stops": func(n *node) { n.stop() }, "loses the store": func(n *node) { n.reader.setMute() },
	} {
		t.Run(name, func(t *testing.T) {
			l := newLog()
			l.add("first")
			seed, others := fleet(t, l, 3)
			await(t, "the first record", all(others, "first"))
			fail(seed)
			time.Sleep(wait + 50*time.Millisecond) // a read that was under way may still have been answered
			added := time.Now()
			l.add("second")
			await(t, "the second record", all(others, "second"))
			for i, n := range others {
				// The machine may be busy, so the bound is that of the records' freshness and as much again.
				if at, _ := n.seen("second"); at.Sub(added) > 2*fresh {
					t.Errorf("follower %d saw the record after %v", i, at.Sub(added))
				}
			}
		})
	}
}

// TestOlder guards against the loss of records that an instance knows because another one lags behind it.
func TestOlder(t *testing.T) {
	h := NewHub(Options{Logger: zap.NewNop()})
	s := h.Source(&reader{log: newLog()}, Pace{Fresh: time.Minute})
	now := time.Now()
	record := func(o int64) feed.Record { return feed.Record{Key: "k", Value: []byte{byte(o)}, Offset: o} }
	s.topic.full(feed.Batch{Records: []feed.Record{record(7)}, Next: 8}, now)
	s.topic.full(feed.Batch{Records: []feed.Record{record(3)}, Next: 4}, now.Add(1))
	if !s.topic.add(2, feed.Batch{Records: []feed.Record{record(2), record(3)}, Next: 4}, now.Add(2)) {
		t.Error("an older batch was taken for a gap")
	}
	if s.topic.add(9, feed.Batch{Records: []feed.Record{record(9)}, Next: 10}, now.Add(3)) {
		t.Error("a gap was not noticed")
	}
	if b := s.topic.all(); b.Next != 8 || b.Records[0].Offset != 7 {
		t.Errorf("now at %d with offset %d", b.Next, b.Records[0].Offset)
	}
	if b := s.topic.since(5); !b.Trimmed {
		t.Error("records before the full state are taken to be known")
	}
}

// TestPace guards against more reads than the pace allows, and against a pause that uses up the time for the call, so that
// a store that is well is taken to be lost.
func TestPace(t *testing.T) {
	l := newLog()
	l.add("first")
	h := NewHub(Options{Logger: zap.NewNop()})
	r := &reader{log: l}
	const interval = 250 * time.Millisecond
	s := h.Source(r, Pace{Interval: interval, Fresh: fresh})
	if _, err := s.Newest(t.Context()); err != nil {
		t.Fatal(err)
	}
	next := int64(1)
	start := time.Now()
	for i := range 4 {
		if i%2 == 0 {
			l.add("again") // every second read finds a record at once
		}
		ctx, cancel := context.WithTimeout(t.Context(), wait+interval/2)
		b, err := s.Read(ctx, next, wait)
		cancel()
		if err != nil {
			t.Fatalf("read %d: %v", i, err)
		}
		next = b.Next
	}
	if d := time.Since(start); d < 3*interval {
		t.Errorf("four reads within %v", d)
	}
}
