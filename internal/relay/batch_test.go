package relay

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
)

// countingListener counts the bytes that are written to its connections.
type countingListener struct {
	net.Listener

	written atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l}, nil
}

type countingConn struct {
	net.Conn

	listener *countingListener
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.written.Add(int64(n))
	return n, err
}

// endpointRecord returns a record as long and as varied as the registry entry of an endpoint.
func endpointRecord(i int, offset int64) changefeed.Record {
	id := xxhash.Sum64String(fmt.Sprint(i))
	return changefeed.Record{Key: fmt.Sprintf("members/i-%010x", id%(1<<40)), Position: changefeed.Position{Offset: offset}, Value: fmt.Appendf(nil,
		`{"location":"10.%d.%d.%d:8389","start":%d,"warm-up-milliseconds":0,"variants":[{"parts":[],"name":"daka510000","version":1}],"number":%d,"group":"dele69a","capacity":32,"kind":"combined","condition":"ready","release":"v1","site":"bilbao-a"}`,
		id%4, id>>8%250, id>>16%250, 1767471980000+id%5000, id>>24%100)}
}

const fleetEndpoints = 3000 // of a fleet of 300 instances

// startSeed starts a seed that knows the registry of a fleet until the test ends, and returns it with its listener.
func startSeed(t *testing.T) (*Hub, *countingListener) {
	t.Helper()
	lis, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &countingListener{Listener: lis}
	a := netip.MustParseAddrPort(lis.Addr().String())
	h := NewHub(Options{Instance: "seed", Address: a, Seeds: []netip.AddrPort{a}, Logger: zap.NewNop()})
	h.AddTopic("registry", nil, ReadPolicy{})
	b := changefeed.Batch{Next: changefeed.Position{Offset: fleetEndpoints}}
	for i := range fleetEndpoints {
		b.Records = append(b.Records, endpointRecord(i, int64(i)))
	}
	h.topics[0].setSnapshot(b, h.now())
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	g.Go(func() {
		if err := h.Serve(ctx, l); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		cancel()
		g.Wait()
	})
	return h, l
}

// newFollowers returns instances that follow a seed each time that the function returned is called, until its context ends.
func newFollowers(seed *Hub, number int) ([]*Hub, func(ctx context.Context) (wait func())) {
	var l []*Hub
	for i := range number {
		h := NewHub(Options{
			Instance: fmt.Sprint(i), Seeds: seed.options.Seeds, Logger: zap.NewNop(), Dial: func(ctx context.Context, a string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", a)
			},
		})
		h.AddTopic("registry", nil, ReadPolicy{MaxAge: time.Minute, Required: true})
		l = append(l, h)
	}
	return l, func(ctx context.Context) func() {
		var g sync.WaitGroup
		for _, h := range l {
			g.Go(func() { h.Run(ctx) })
		}
		return g.Wait
	}
}

// haveRecent returns a condition that holds when all instances have a seed's confirmation that they know its records.
func haveRecent(l []*Hub, seed *Hub) func() bool {
	return func() bool {
		next := seed.topics[0].known()
		for _, h := range l {
			if h.seed.Load() == nil || !h.recordsRecent() || h.topics[0].known().Before(next) {
				return false
			}
		}
		return true
	}
}

// TestFollowAgain guards against followers that get the whole registry when they follow a seed again, or when it has changed a little,
// although they know it. In a fleet of 300 instances this filled the links of the seeds for good: their own reads of the store
// failed, so that the followers left them and followed the next one.
func TestFollowAgain(t *testing.T) {
	const followers, changes = 20, 30
	for name, again := range map[string]bool{"connected": false, "again": true} {
		t.Run(name, func(t *testing.T) {
			seed, l := startSeed(t)
			others, follow := newFollowers(seed, followers)
			start := func() (stop func()) {
				ctx, cancel := context.WithCancel(t.Context())
				wait := follow(ctx)
				return func() {
					cancel()
					wait()
				}
			}
			stop := start()
			defer func() { stop() }()
			waitFor(t, "the registry", haveRecent(others, seed))
			if again {
				stop()
				for _, h := range others {
					h.topics[0].mu.Lock()
					h.topics[0].confirmedAsOf = unknown
					h.topics[0].mu.Unlock()
				}
			}
			before := l.written.Load()
			size := 0
			b := changefeed.Batch{Next: changefeed.Position{Offset: fleetEndpoints + changes}}
			for i := range changes {
				r := endpointRecord(i, int64(fleetEndpoints+i))
				size += len(r.Key) + len(r.Value)
				b.Records = append(b.Records, r)
			}
			if !seed.topics[0].addBatch(changefeed.Position{Offset: fleetEndpoints}, b, seed.now()) {
				t.Fatal("the seed has not taken the changes")
			}
			if again {
				stop = start()
			}
			waitFor(t, "the changes", haveRecent(others, seed))
			time.Sleep(time.Second)
			// Headers, offsets and confirmations of a follower take less than the margin.
			const margin = 4 << 10
			n, limit := l.written.Load()-before, int64(followers*(size+margin))
			t.Logf("%d bytes, limit %d", n, limit)
			if n > limit {
				t.Errorf("%d followers got %d bytes for %d changes of %d bytes, limit %d", followers, n, changes, size, limit)
			}
		})
	}
}

// TestFollowAtOnce guards against a registry that does not fit through the link of a seed before the seed's own calls to the store
// time out, when all its followers start at once.
func TestFollowAtOnce(t *testing.T) {
	const followers = 20
	seed, l := startSeed(t)
	others, follow := newFollowers(seed, followers)
	ctx, cancel := context.WithCancel(t.Context())
	wait := follow(ctx)
	defer wait()
	defer cancel()
	waitFor(t, "the registry", haveRecent(others, seed))
	// A hundred followers share a link of 200 Mbit/s for the time limit of a call to the store, 0.7 s.
	const limit = 200e6 / 8 * 0.7 / 100
	n := l.written.Load() / followers
	t.Logf("%d bytes for each follower", n)
	if n > limit {
		t.Errorf("%d bytes for each follower, limit %.0f", n, limit)
	}
	for i, h := range others {
		b := h.topics[0].snapshot()
		if len(b.Records) != fleetEndpoints {
			t.Fatalf("follower %d has %d records, want %d", i, len(b.Records), fleetEndpoints)
		}
		want := seed.topics[0].snapshot()
		for k, r := range b.Records {
			if w := want.Records[k]; r.Key != w.Key || !bytes.Equal(r.Value, w.Value) || r.Position != w.Position {
				t.Fatalf("follower %d has %+v, want %+v", i, r, w)
			}
		}
	}
}

// TestFollowRequests guards against followers of another release, of another state or with a faulty request that get records which they do not understand, or
// not all that they lack.
func TestFollowRequests(t *testing.T) {
	seed, _ := startSeed(t)
	newer := changefeed.Batch{Next: changefeed.Position{Offset: fleetEndpoints + 2}, Records: []changefeed.Record{endpointRecord(1, fleetEndpoints), {Key: endpointRecord(2, 0).Key, Position: changefeed.Position{Offset: fleetEndpoints + 1}}}}
	if !seed.topics[0].addBatch(changefeed.Position{Offset: fleetEndpoints}, newer, seed.now()) {
		t.Fatal("the seed has not taken the changes")
	}
	const next = fleetEndpoints + 2
	for name, c := range map[string]struct {
		request    *relaypb.FollowRequest
		full       bool
		from, next int64
		records    int
	}{
		"older release":                {&relaypb.FollowRequest{}, true, 0, next, fleetEndpoints - 1},
		"nothing known":                {&relaypb.FollowRequest{Known: []int64{0}, AcceptsCompressed: true}, true, 0, next, fleetEndpoints - 1},
		"nothing known, no compressed": {&relaypb.FollowRequest{Known: []int64{0}}, true, 0, next, fleetEndpoints - 1},
		"changes lacking":              {&relaypb.FollowRequest{Known: []int64{fleetEndpoints}, AcceptsCompressed: true}, false, fleetEndpoints, next, 2},
		"a removal lacking":            {&relaypb.FollowRequest{Known: []int64{next - 1}, AcceptsCompressed: true}, false, next - 1, next, 1},
		"all known":                    {&relaypb.FollowRequest{Known: []int64{next}, AcceptsCompressed: true}, false, next, next, 0},
		"more known than the seed":     {&relaypb.FollowRequest{Known: []int64{next + 5}, AcceptsCompressed: true}, false, next + 5, next + 5, 0},
		"records no longer kept":       {&relaypb.FollowRequest{Known: []int64{fleetEndpoints - 1}, AcceptsCompressed: true}, true, fleetEndpoints - 1, next, fleetEndpoints - 1},
		"negative offset":              {&relaypb.FollowRequest{Known: []int64{-5}, AcceptsCompressed: true}, true, 0, next, fleetEndpoints - 1},
		"more topics":                  {&relaypb.FollowRequest{Known: []int64{next, 3, 4}, AcceptsCompressed: true}, false, next, next, 0},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := grpc.NewClient("passthrough:///"+seed.options.Address.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			s, err := relaypb.NewRelayClient(conn).Follow(ctx, c.request)
			if err != nil {
				t.Fatal(err)
			}
			m, err := s.Recv()
			if err != nil {
				t.Fatal(err)
			}
			if !c.request.GetAcceptsCompressed() && m.GetCompressedRecords() != nil {
				t.Error("compressed records for a follower that does not read them")
			}
			if err := expandRecords(m); err != nil {
				t.Fatal(err)
			}
			if m.GetFull() != c.full || m.GetFrom() != c.from || m.GetNext() != c.next || len(m.GetRecords()) != c.records {
				t.Errorf("full %v, from %d, next %d, %d records; want %v, %d, %d, %d", m.GetFull(), m.GetFrom(), m.GetNext(), len(m.GetRecords()), c.full, c.from, c.next, c.records)
			}
		})
	}
}

// TestExpandRecords guards against compressed records that end an instance or fill its memory.
func TestExpandRecords(t *testing.T) {
	pack := func(b []byte) []byte {
		var out bytes.Buffer
		w := gzip.NewWriter(&out)
		if _, err := w.Write(b); err != nil {
			t.Fatal(err)
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		return out.Bytes()
	}
	valid, err := proto.Marshal(&relaypb.Records{Records: []*relaypb.Record{{Key: []byte("k"), Value: []byte("v"), Offset: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		b  []byte
		ok bool
	}{
		"valid":               {pack(valid), true},
		"no format":           {[]byte("records"), false},
		"cut off":             {pack(valid)[:12], false},
		"no message":          {pack([]byte(strings.Repeat("\xff", 30))), false},
		"larger than allowed": {pack(make([]byte, maxBatchBytes+1)), false},
	} {
		t.Run(name, func(t *testing.T) {
			m := &relaypb.Batch{CompressedRecords: c.b}
			err := expandRecords(m)
			var e *Error
			switch {
			case c.ok && (err != nil || len(m.GetRecords()) != 1 || m.GetCompressedRecords() != nil):
				t.Errorf("%v, message %v", err, m)
			case !c.ok && (!errors.As(err, &e) || e.Kind != ErrFormat):
				t.Errorf("error %v", err)
			}
		})
	}
}

// TestFleetStart guards against a seed that gets all followers because it is the first one to accept connections when a whole
// fleet starts.
func TestFleetStart(t *testing.T) {
	const seeds, followers = 3, 60
	var addresses []netip.AddrPort
	var listeners []net.Listener
	for range seeds {
		lis, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners, addresses = append(listeners, lis), append(addresses, netip.MustParseAddrPort(lis.Addr().String()))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var g sync.WaitGroup
	defer g.Wait()
	defer cancel()
	store := newFakeStore()
	store.add("first")
	policy := ReadPolicy{StartupWait: 2 * time.Second, MaxAge: time.Minute, Required: true}
	var mu sync.Mutex
	ready := map[string]bool{}
	dial := func(ctx context.Context, a string) (net.Conn, error) {
		mu.Lock()
		ok := ready[a]
		mu.Unlock()
		if !ok {
			return nil, errors.New("refused")
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", a)
	}
	start := func(i int) {
		h := NewHub(Options{Instance: fmt.Sprint(i), Address: addresses[i], Seeds: addresses, Logger: zap.NewNop(), Dial: dial})
		s := h.AddTopic("test", &storeClient{store: store}, policy)
		f := changefeed.NewFollower(s, changefeed.Options{Wait: readWait, Timeout: time.Second, RetryInterval: 50 * time.Millisecond}, func(changefeed.Update) {})
		g.Go(func() { f.Run(ctx) })
		g.Go(func() {
			if err := h.Serve(ctx, listeners[i]); err != nil {
				t.Error(err)
			}
		})
		mu.Lock()
		defer mu.Unlock()
		ready[addresses[i].String()] = true
	}
	start(0)
	var others []*Hub
	for i := range followers {
		h := NewHub(Options{Instance: fmt.Sprintf("follower %d", i), Seeds: addresses, Logger: zap.NewNop(), Dial: dial})
		h.AddTopic("test", &storeClient{store: store}, policy)
		g.Go(func() { h.Run(ctx) })
		others = append(others, h)
	}
	time.Sleep(100 * time.Millisecond) // the other seeds accept connections a little later
	start(1)
	start(2)
	waitFor(t, "a seed for each follower", func() bool {
		for _, h := range others {
			if h.seed.Load() == nil {
				return false
			}
		}
		return true
	})
	count := map[netip.AddrPort]int{}
	for _, h := range others {
		count[*h.seed.Load()]++
	}
	t.Logf("followers by seed: %v", count)
	for a, n := range count {
		if n > followers*2/3 {
			t.Errorf("%d of %d followers at %v", n, followers, a)
		}
	}
}
