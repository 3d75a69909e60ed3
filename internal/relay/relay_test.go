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

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
)

const testTimeout = 20 * time.Second // of each wait; long because the test host may be busy

// fakeStore is a store with one topic that several instances read.
type fakeStore struct {
	mu      sync.Mutex
	records []changefeed.Record
	wake    chan struct{}
}

func newFakeStore() *fakeStore { return &fakeStore{wake: make(chan struct{})} }

func (s *fakeStore) add(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, changefeed.Record{Key: key, Value: []byte("v"), Position: changefeed.Position{Offset: int64(len(s.records))}})
	close(s.wake)
	s.wake = make(chan struct{})
}

// storeClient is the connection of one instance to the store.
type storeClient struct {
	store *fakeStore

	mu      sync.Mutex
	calls   int  // number of calls so far
	hanging bool // whether calls get no response
}

// countCall counts a call and reports whether it must get no response.
func (c *storeClient) countCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	return c.hanging
}

func (c *storeClient) hang() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hanging = true
}

func (c *storeClient) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *storeClient) Snapshot(ctx context.Context) (changefeed.Batch, error) {
	if c.countCall() {
		<-ctx.Done()
		return changefeed.Batch{}, ctx.Err()
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	newest := map[string]changefeed.Record{}
	for _, x := range c.store.records {
		newest[x.Key] = x
	}
	b := changefeed.Batch{Next: changefeed.Position{Offset: int64(len(c.store.records))}}
	for _, x := range newest {
		b.Records = append(b.Records, x)
	}
	return b, nil
}

func (c *storeClient) Read(ctx context.Context, from changefeed.Position, wait time.Duration) (changefeed.Batch, error) {
	if c.countCall() {
		<-ctx.Done()
		return changefeed.Batch{}, ctx.Err()
	}
	end := time.After(wait)
	for {
		c.store.mu.Lock()
		l, wake := c.store.records[from.Offset:], c.store.wake
		c.store.mu.Unlock()
		if len(l) > 0 {
			return changefeed.Batch{Records: l, Next: from.Add(int64(len(l)))}, nil
		}
		select {
		case <-wake:
		case <-end:
			return changefeed.Batch{Next: from}, nil
		case <-ctx.Done():
			return changefeed.Batch{}, ctx.Err()
		}
	}
}

// testInstance is an instance that follows one topic.
type testInstance struct {
	client *storeClient
	hub    *Hub
	stop   context.CancelFunc

	mu     sync.Mutex
	seenAt map[string]time.Time // time at which each key was first seen
}

func (n *testInstance) firstSeen(key string) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t, ok := n.seenAt[key]
	return t, ok
}

const (
	readWait  = 300 * time.Millisecond
	freshTime = readWait + 200*time.Millisecond
)

// startInstances starts one seed and a number of followers of one topic.
func startInstances(t *testing.T, store *fakeStore, followers int) (seed *testInstance, others []*testInstance) {
	t.Helper()
	p := ReadPolicy{StartupWait: testTimeout, MaxAge: freshTime, Required: true}
	return startInstancesOver(t, store, followers, p, func(ctx context.Context, s string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", s)
	})
}

// startInstancesOver starts instances with a policy that connect to the seed with dial.
func startInstancesOver(t *testing.T, store *fakeStore, followers int, p ReadPolicy, dial func(context.Context, string) (net.Conn, error)) (seed *testInstance, others []*testInstance) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := netip.MustParseAddrPort(lis.Addr().String())
	var g sync.WaitGroup
	t.Cleanup(g.Wait)
	start := func(id string, self netip.AddrPort) *testInstance {
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		n := &testInstance{client: &storeClient{store: store}, stop: cancel, seenAt: map[string]time.Time{}}
		n.hub = NewHub(Options{
			Instance: id, Address: self, Seeds: []netip.AddrPort{a}, Logger: zap.NewNop(), Dial: dial,
		})
		s := n.hub.AddTopic("test", n.client, p)
		f := changefeed.NewFollower(s, changefeed.Options{Wait: readWait, Timeout: time.Second, RetryInterval: 50 * time.Millisecond}, func(u changefeed.Update) {
			n.mu.Lock()
			defer n.mu.Unlock()
			for _, r := range u.Records {
				if _, ok := n.seenAt[r.Key]; !ok {
					n.seenAt[r.Key] = time.Now()
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

// waitFor waits until a condition holds and fails the test after testTimeout.
func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("waited %v for %s", testTimeout, what)
}

// haveSeen returns a condition that holds when all instances have seen a key.
func haveSeen(l []*testInstance, key string) func() bool {
	return func() bool {
		for _, n := range l {
			if _, ok := n.firstSeen(key); !ok {
				return false
			}
		}
		return true
	}
}

// TestShare guards against followers that read the store although a seed does, and against records that do not reach all
// followers.
func TestShare(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("fleet", func(t *testing.T) {
		store := newFakeStore()
		store.add("first")
		_, others := startInstances(t, store, 5)
		waitFor(t, "the first record", haveSeen(others, "first"))
		for _, k := range []string{"second", "third", "first"} {
			store.add(k)
			waitFor(t, "record "+k, haveSeen(others, k))
		}
		time.Sleep(3 * readWait)
		for i, n := range others {
			if c := n.client.count(); c > 0 {
				t.Errorf("follower %d read the store %d times", i, c)
			}
		}
	})
}

// TestSeedFails guards against records that reach the followers too late because the seed has stopped, or its calls to the
// store get no response.
func TestSeedFails(t *testing.T) {
	for name, fail := range map[string]func(n *testInstance){
		"stops": func(n *testInstance) { n.stop() }, "gets no reply from the store": func(n *testInstance) { n.client.hang() },
	} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore()
			store.add("first")
			seed, others := startInstances(t, store, 3)
			waitFor(t, "the first record", haveSeen(others, "first"))
			fail(seed)
			time.Sleep(readWait + 50*time.Millisecond) // a read that was pending may still have got its response
			added := time.Now()
			store.add("second")
			waitFor(t, "the second record", haveSeen(others, "second"))
			for i, n := range others {
				// The limit is twice the time for which records are fresh, as the test host may be busy.
				if at, _ := n.firstSeen("second"); at.Sub(added) > 2*freshTime {
					t.Errorf("follower %d saw the record after %v", i, at.Sub(added))
				}
			}
		})
	}
}

// TestOlderRecords guards against an older message from an instance that lags behind replacing newer records.
func TestOlderRecords(t *testing.T) {
	h := NewHub(Options{Logger: zap.NewNop()})
	s := h.AddTopic("test", &storeClient{store: newFakeStore()}, ReadPolicy{MaxAge: time.Minute})
	at := func(o int64) changefeed.Position { return changefeed.Position{Offset: o} }
	record := func(o int64) changefeed.Record {
		return changefeed.Record{Key: "k", Value: []byte{byte(o)}, Position: at(o)}
	}
	s.topic.setSnapshot(changefeed.Batch{Records: []changefeed.Record{record(7)}, Next: at(8)}, 1)
	s.topic.setSnapshot(changefeed.Batch{Records: []changefeed.Record{record(3)}, Next: at(4)}, 2)
	if !s.topic.addBatch(at(2), changefeed.Batch{Records: []changefeed.Record{record(2), record(3)}, Next: at(4)}, 3) {
		t.Error("an older batch was reported as a gap")
	}
	if s.topic.addBatch(at(9), changefeed.Batch{Records: []changefeed.Record{record(9)}, Next: at(10)}, 4) {
		t.Error("a gap was not reported")
	}
	if b := s.topic.snapshot(); b.Next != at(8) || b.Records[0].Position != at(7) {
		t.Errorf("snapshot ends at %d and starts with offset %d, want 8 and 7", b.Next.Offset, b.Records[0].Position.Offset)
	}
	if b := s.topic.recordsFrom(at(5)); !b.Trimmed {
		t.Error("records before the snapshot were not reported as trimmed")
	}
}

// TestReadPolicy guards against more frequent reads than MinInterval allows, and against a delay before a read that
// uses up the timeout of the call, so that a working store appears to have failed.
func TestReadPolicy(t *testing.T) {
	store := newFakeStore()
	store.add("first")
	h := NewHub(Options{Logger: zap.NewNop()})
	r := &storeClient{store: store}
	const interval = 250 * time.Millisecond
	s := h.AddTopic("test", r, ReadPolicy{MinInterval: interval, MaxAge: freshTime, Required: true})
	if _, err := s.Snapshot(t.Context()); err != nil {
		t.Fatal(err)
	}
	next := changefeed.Position{Offset: 1}
	start := time.Now()
	for i := range 4 {
		if i%2 == 0 {
			store.add("again") // every second read finds a record immediately
		}
		ctx, cancel := context.WithTimeout(t.Context(), readWait+interval/2)
		b, err := s.Read(ctx, next, readWait)
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

// TestKeyNotText guards against followers that lose the records of a seed because another program has written a key that is
// no text into a topic.
func TestKeyNotText(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("records", func(t *testing.T) {
		store := newFakeStore()
		store.add("a")
		_, others := startInstances(t, store, 1)
		follower := others[0]
		await := func(key string) {
			t.Helper()
			for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				if _, ok := follower.firstSeen(key); ok {
					return
				}
			}
			t.Fatalf("the follower has not received the key %q", key)
		}
		await("a")
		before := follower.client.count()
		store.add("\xff\xfe")
		await("\xff\xfe")
		store.add("b")
		await("b")
		time.Sleep(2 * freshTime)
		if n := follower.client.count(); n != before {
			t.Errorf("the follower called the store %d times", n-before)
		}
	})
}
