package relay

import (
	"context"
	"math"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
)

// newTestFollower returns the source of an instance that follows a seed, at a time that the test sets.
func newTestFollower(t *testing.T, now *time.Duration) (*Hub, *Source, *storeClient) {
	t.Helper()
	store := newFakeStore()
	store.add("from the store")
	client := &storeClient{store: store}
	a := netip.MustParseAddrPort("127.0.0.1:1")
	h := NewHub(Options{Seeds: []netip.AddrPort{a}, Logger: zap.NewNop(), Clock: func() time.Duration { return *now }})
	s := h.AddTopic("test", client, ReadPolicy{MaxAge: freshTime, Required: true})
	h.seed.Store(&a)
	return h, s, client
}

// TestConfirmation guards against records of a seed that are used although nothing shows that they are recent.
func TestConfirmation(t *testing.T) {
	const start = time.Hour
	record := &relaypb.Record{Key: []byte("k"), Value: []byte("v"), Offset: 0}
	full := &relaypb.Batch{Full: true, Next: 1, Records: []*relaypb.Record{record}}
	confirmation := func(next int64, age time.Duration) *relaypb.ConfirmReply {
		return &relaypb.ConfirmReply{Topics: []*relaypb.TopicAge{{Next: next, AgeMicroseconds: age.Microseconds()}}}
	}
	for name, c := range map[string]struct {
		act     func(h *Hub, now *time.Duration)
		relayed bool
	}{
		"confirmed": {func(h *Hub, _ *time.Duration) {
			h.mergeBatch(full)
			h.applyConfirmation(h.now(), confirmation(1, 0))
		}, true},
		"confirmed before the records came": {func(h *Hub, _ *time.Duration) {
			h.applyConfirmation(h.now(), confirmation(1, 0))
			h.mergeBatch(full)
		}, true},
		"not confirmed": {func(h *Hub, _ *time.Duration) { h.mergeBatch(full) }, false},
		"a later record is missing": {func(h *Hub, _ *time.Duration) {
			h.mergeBatch(full)
			h.applyConfirmation(h.now(), confirmation(2, 0))
		}, false},
		"old at the seed": {func(h *Hub, _ *time.Duration) {
			h.mergeBatch(full)
			h.applyConfirmation(h.now(), confirmation(1, freshTime))
		}, false},
		"negative age": {func(h *Hub, _ *time.Duration) {
			h.mergeBatch(full)
			h.applyConfirmation(h.now(), confirmation(1, -time.Hour))
		}, false},
		"an age that is no time": {func(h *Hub, _ *time.Duration) {
			h.mergeBatch(full)
			h.applyConfirmation(h.now(), &relaypb.ConfirmReply{Topics: []*relaypb.TopicAge{{Next: 1, AgeMicroseconds: math.MaxInt64}}})
		}, false},
		"the answer took long": {func(h *Hub, now *time.Duration) {
			h.mergeBatch(full)
			calledAt := h.now()
			*now += freshTime
			h.applyConfirmation(calledAt, confirmation(1, 0))
		}, false},
		"suspended since": {func(h *Hub, now *time.Duration) {
			h.mergeBatch(full)
			h.applyConfirmation(h.now(), confirmation(1, 0))
			*now += time.Minute
		}, false},
		"an older answer comes later": {func(h *Hub, now *time.Duration) {
			h.mergeBatch(full)
			first := h.now()
			*now += freshTime
			h.applyConfirmation(h.now(), confirmation(1, 0))
			h.applyConfirmation(first, confirmation(1, 0))
		}, true},
		"seed left": {func(h *Hub, _ *time.Duration) {
			h.mergeBatch(full)
			h.applyConfirmation(h.now(), confirmation(1, 0))
			h.seed.Store(nil)
		}, false},
		"unknown topic": {func(h *Hub, _ *time.Duration) {
			h.mergeBatch(full)
			h.applyConfirmation(h.now(), &relaypb.ConfirmReply{Topics: []*relaypb.TopicAge{{Topic: 7, Next: 1}}})
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := start
			h, s, client := newTestFollower(t, &now)
			c.act(h, &now)
			b, err := s.Snapshot(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if relayed := client.count() == 0; relayed != c.relayed {
				t.Errorf("records of the seed used: %v, want %v", relayed, c.relayed)
			}
			want := changefeed.BasisRead
			if c.relayed {
				want = changefeed.BasisConfirmed
			}
			if e := b.Evidence; e.Basis != want || time.Since(e.AsOf) > freshTime {
				t.Errorf("evidence %+v, want basis %s", e, want)
			}
		})
	}
}

// slowReader is a store whose replies are handled some time after they were written.
type slowReader struct {
	*storeClient
	now   *time.Duration
	delay time.Duration
}

func (r slowReader) Snapshot(ctx context.Context) (changefeed.Batch, error) {
	b, err := r.storeClient.Snapshot(ctx)
	*r.now += r.delay
	return b, err
}

func (r slowReader) Read(ctx context.Context, from changefeed.Position, wait time.Duration) (changefeed.Batch, error) {
	b, err := r.storeClient.Read(ctx, from, 0)
	*r.now += wait + r.delay
	return b, err
}

// TestSeedHandlesReplyLate guards against a seed that was paused or starved and confirms records as recent that it read
// before.
func TestSeedHandlesReplyLate(t *testing.T) {
	const wait, delay = 2 * time.Second, 5 * time.Second
	now := time.Hour
	store := newFakeStore()
	store.add("first")
	a := netip.MustParseAddrPort("127.0.0.1:1")
	h := NewHub(Options{Address: a, Seeds: []netip.AddrPort{a}, Logger: zap.NewNop(), Clock: func() time.Duration { return now }})
	s := h.AddTopic("test", slowReader{&storeClient{store: store}, &now, delay}, ReadPolicy{MaxAge: freshTime})
	checkAge := func(what string, want time.Duration) {
		t.Helper()
		m, err := h.Confirm(t.Context(), nil)
		if err != nil || len(m.GetTopics()) != 1 {
			t.Fatalf("%s: confirmation %v, error %v", what, m, err)
		}
		if d := time.Duration(m.GetTopics()[0].GetAgeMicroseconds()) * time.Microsecond; d.Round(time.Millisecond) != want {
			t.Errorf("%s: age %v, want %v", what, d, want)
		}
	}
	if _, err := s.Snapshot(t.Context()); err != nil {
		t.Fatal(err)
	}
	checkAge("snapshot", delay)
	if _, err := s.Read(t.Context(), changefeed.Position{Offset: 1}, wait); err != nil { // nothing new came within the wait
		t.Fatal(err)
	}
	checkAge("read in vain", delay)
	store.add("second")
	if _, err := s.Read(t.Context(), changefeed.Position{Offset: 1}, wait); err != nil { // the record may have come at once
		t.Fatal(err)
	}
	checkAge("read", wait+delay)
	if _, err := s.Read(t.Context(), changefeed.Position{Offset: 2}, wait); err != nil { // the seed checks at once whether there is more
		t.Fatal(err)
	}
	checkAge("read after a record", delay)
}

// TestFirstDirectRead guards against an instance that notices late records of its seed and then waits for long: for a record
// that may have come long ago, or for a connection to the store that hangs.
func TestFirstDirectRead(t *testing.T) {
	const wait, timeout = time.Minute, 100 * time.Millisecond
	for name, hanging := range map[string]bool{"the store responds": false, "the store hangs": true} {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			h, s, client := newTestFollower(t, &now)
			s.topic.policy.Timeout = timeout
			h.mergeBatch(&relaypb.Batch{Full: true, Next: 1, Records: []*relaypb.Record{{Key: []byte("k"), Value: []byte("v")}}})
			if hanging {
				client.hang()
			}
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			_, err := s.Read(ctx, changefeed.Position{Offset: 1}, wait)
			if (err != nil) != hanging || ctx.Err() != nil {
				t.Errorf("error %v", err)
			}
		})
	}
}
