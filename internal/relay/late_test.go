package relay

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// lateConn passes on what it reads, and what is written to it, after a delay that depends on the bytes passed so far.
type lateConn struct {
	net.Conn

	readDelay  func(n int) time.Duration // of n bytes that were read at once
	writeDelay func(n int) time.Duration

	reader *io.PipeReader
	sent   chan lateBytes
	closed chan struct{}
	once   sync.Once
}

// lateBytes are bytes that are due at a time.
type lateBytes struct {
	b   []byte
	due time.Time
}

const (
	lateBuffer   = 1 << 14 // messages on their way in one direction
	largeMessage = 150     // bytes; messages without records are smaller
)

func newLateConn(c net.Conn, readDelay, writeDelay func(n int) time.Duration) *lateConn {
	r, w := io.Pipe()
	l := &lateConn{Conn: c, readDelay: readDelay, writeDelay: writeDelay, reader: r, sent: make(chan lateBytes, lateBuffer), closed: make(chan struct{})}
	received := make(chan lateBytes, lateBuffer)
	go func() {
		defer close(received)
		for {
			b := make([]byte, 32<<10)
			n, err := c.Read(b)
			if err != nil {
				return // the pipe's reader learns of it below
			}
			received <- lateBytes{b[:n], time.Now().Add(readDelay(n))}
		}
	}()
	go func() {
		defer w.Close()
		for m := range received {
			if !l.waitUntil(m.due) {
				break
			}
			if _, err := w.Write(m.b); err != nil {
				break
			}
		}
		for range received { // the goroutine that reads must not block
		}
	}()
	go func() {
		for {
			select {
			case <-l.closed:
				return
			case m := <-l.sent:
				if !l.waitUntil(m.due) {
					return
				}
				_, _ = c.Write(m.b) // the caller notices a broken connection when it reads
			}
		}
	}()
	return l
}

// waitUntil waits until a time and reports false if the connection is closed before.
func (l *lateConn) waitUntil(t time.Time) bool {
	select {
	case <-l.closed:
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

func (l *lateConn) Read(b []byte) (int, error) { return l.reader.Read(b) }

func (l *lateConn) Write(b []byte) (int, error) {
	select {
	case <-l.closed:
		return 0, net.ErrClosed
	case l.sent <- lateBytes{append([]byte{}, b...), time.Now().Add(l.writeDelay(len(b)))}:
		return len(b), nil
	}
}

func (l *lateConn) Close() error {
	l.once.Do(func() {
		_ = l.reader.Close()
		close(l.closed)
	})
	return l.Conn.Close()
}

// TestLateRecords guards against a follower that takes records which were long on their way for recent ones, and so applies
// changes late although it could read the store.
func TestLateRecords(t *testing.T) {
	none := func(int) time.Duration { return 0 }
	constant := func(d time.Duration) func(int) time.Duration { return func(int) time.Duration { return d } }
	growing := func() func(int) time.Duration {
		start := time.Now()
		return func(int) time.Duration { return time.Since(start) / 2 }
	}
	large := func(n int) time.Duration {
		if n > largeMessage {
			return 2 * time.Second
		}
		return 0
	}
	for name, delays := range map[string]func() (read, write func(int) time.Duration){
		"both ways": func() (read, write func(int) time.Duration) {
			return constant(1500 * time.Millisecond), constant(1500 * time.Millisecond)
		},
		"to the follower":      func() (read, write func(int) time.Duration) { return constant(2500 * time.Millisecond), none },
		"to the seed":          func() (read, write func(int) time.Duration) { return none, constant(2500 * time.Millisecond) },
		"more and more":        func() (read, write func(int) time.Duration) { return growing(), none },
		"large messages":       func() (read, write func(int) time.Duration) { return large, none },
		"longer than the wait": func() (read, write func(int) time.Duration) { return constant(readWait), none },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newFakeStore()
			store.add("first")
			read, write := delays()
			_, others := startInstancesOver(t, store, 1, ReadPolicy{MaxAge: freshTime, Required: true}, func(ctx context.Context, a string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", a)
				if err != nil {
					return nil, err
				}
				return newLateConn(c, read, write), nil
			})
			waitFor(t, "the first record", haveSeen(others, "first"))
			time.Sleep(3 * time.Second) // the follower has received late messages
			for _, k := range []string{"second", "third", "fourth", "fifth"} {
				k += string(make([]byte, largeMessage))
				added := time.Now()
				store.add(k)
				waitFor(t, "record "+k[:6], haveSeen(others, k))
				// The limit is twice the time for which records are used, as the test host may be busy.
				if at, _ := others[0].firstSeen(k); at.Sub(added) > 2*freshTime {
					t.Errorf("record %.6s was seen after %v", k, at.Sub(added))
				}
				time.Sleep(700 * time.Millisecond)
			}
		})
	}
}

// TestLateLoads guards against loads of other instances that are long on their way and taken for current ones. Results of
// new versions count whenever they come.
func TestLateLoads(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration // of what a seed sends
		late  bool
	}{"prompt": {0, false}, "late": {2500 * time.Millisecond, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lis, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			a := netip.MustParseAddrPort(lis.Addr().String())
			dial := func(ctx context.Context, s string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", s)
				if err != nil {
					return nil, err
				}
				return newLateConn(conn, func(int) time.Duration { return c.delay }, func(int) time.Duration { return 0 }), nil
			}
			ctx, cancel := context.WithCancel(t.Context())
			var g sync.WaitGroup
			defer g.Wait()
			defer cancel()
			seed := NewHub(Options{Instance: "seed", Address: a, Seeds: []netip.AddrPort{a}, Logger: zap.NewNop(), Dial: dial})
			seed.SetReporter(&fakeReporter{})
			g.Go(func() {
				if err := seed.Serve(ctx, lis); err != nil {
					t.Error(err)
				}
			})
			follower, reporter := NewHub(Options{Instance: "a", Seeds: []netip.AddrPort{a}, Logger: zap.NewNop(), Dial: dial}), &fakeReporter{}
			follower.SetReporter(reporter)
			g.Go(func() { follower.Run(ctx) })
			received := func() Report {
				reporter.mu.Lock()
				defer reporter.mu.Unlock()
				return reporter.others
			}
			waitFor(t, "the results of the seed", func() bool { return received().Trials[trialKey].Answers > 0 })
			for end := time.Now().Add(maxReportAge); time.Now().Before(end); time.Sleep(reportInterval) {
				if l := received().Loads; (l == nil) != c.late {
					t.Fatalf("loads %v", l)
				}
			}
		})
	}
}
