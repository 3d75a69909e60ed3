package relay

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
)

// batchOf returns the records of a topic from an offset on, all with the same value.
func batchOf(era, from, next int64, value string) changefeed.Batch {
	b := changefeed.Batch{Next: changefeed.Position{Era: era, Offset: next}}
	for o := from; o < next; o++ {
		b.Records = append(b.Records, changefeed.Record{Key: fmt.Sprint(o), Value: []byte(value), Position: changefeed.Position{Era: era, Offset: o}})
	}
	return b
}

// messageOf returns records as a message of a seed.
func messageOf(full bool, era, from, next int64, value string) *relaypb.Batch {
	m := &relaypb.Batch{Full: full, Era: era, From: from, Next: next}
	for _, r := range batchOf(era, from, next, value).Records {
		m.Records = append(m.Records, &relaypb.Record{Key: []byte(r.Key), Value: r.Value, Offset: r.Position.Offset})
	}
	return m
}

// newKnowing returns an instance with one topic that knows a snapshot.
func newKnowing(b changefeed.Batch) (*Hub, *Source) {
	now := time.Hour
	h := NewHub(Options{Logger: zap.NewNop(), Clock: func() time.Duration { return now }})
	s := h.AddTopic("test", nil, ReadPolicy{MaxAge: time.Minute, Required: true})
	s.topic.setSnapshot(b, h.now())
	return h, s
}

// TestMessagesOfEras guards against a follower that keeps records which the store has lost, or that goes back to them.
func TestMessagesOfEras(t *testing.T) {
	const known, next = "known", 8
	confirm := func(era, offset int64) func(*Hub) bool {
		return func(h *Hub) bool {
			h.applyConfirmation(h.now(), &relaypb.ConfirmReply{Topics: []*relaypb.TopicAge{{Era: era, Next: offset}}})
			return true
		}
	}
	merge := func(l ...*relaypb.Batch) func(*Hub) bool {
		return func(h *Hub) bool {
			ok := true
			for _, m := range l {
				ok = h.mergeBatch(m) && ok
			}
			return ok
		}
	}
	at := func(era, offset int64) changefeed.Position { return changefeed.Position{Era: era, Offset: offset} }
	for name, c := range map[string]struct {
		do        func(*Hub) bool
		next      changefeed.Position
		records   int
		newest    string // value of the first record
		gap       bool
		confirmed bool
	}{
		// The records of before stay, as their offsets are higher.
		"a snapshot of a later era with a lower offset": {merge(messageOf(true, 3, 0, 5, "copy")), at(3, 5), 5, "copy", false, false},
		// What the copy lacks stays, and the records of two eras are mixed.
		"two returns in series": {merge(messageOf(true, 3, 0, 5, "copy"), messageOf(true, 4, 0, 3, "later")), at(4, 3), 3, "later", false, false},
		// A late message brings back records that the store has lost.
		"a snapshot of an earlier era": {merge(messageOf(true, 1, 0, 20, "lost")), at(2, next), next, known, false, false},
		"a batch of an earlier era":    {merge(messageOf(false, 1, next, 20, "lost")), at(2, next), next, known, false, false},
		// A seed of the release before sends no era; its records are of before the first return at best.
		"a snapshot without an era": {merge(messageOf(true, 0, 0, 20, "lost")), at(2, next), next, known, false, false},
		// Records between the snapshot and the batch are missed.
		"a batch of a later era without its snapshot": {merge(messageOf(false, 3, 5, 6, "copy")), at(2, next), next, known, true, false},
		"a batch of a later era after its snapshot":   {merge(messageOf(true, 3, 0, 5, "copy"), messageOf(false, 3, 5, 6, "copy")), at(3, 6), 6, "copy", false, false},
		// The seed's records of before count as recent.
		"a confirmation of an earlier era":      {confirm(1, 20), at(2, next), next, known, false, false},
		"a confirmation of an earlier offset":   {confirm(2, next-1), at(2, next), next, known, false, true},
		"a confirmation of a later era":         {confirm(3, 5), at(2, next), next, known, false, false},
		"a confirmation before its snapshot":    {func(h *Hub) bool { return confirm(3, 5)(h) && merge(messageOf(true, 3, 0, 5, "copy"))(h) }, at(3, 5), 5, "copy", false, true},
		"a confirmation that a return overtook": {func(h *Hub) bool { return confirm(2, 9)(h) && merge(messageOf(true, 3, 0, 12, "copy"))(h) }, at(3, 12), 12, "copy", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			h, s := newKnowing(batchOf(2, 0, next, known))
			if ok := c.do(h); ok == c.gap {
				t.Errorf("gap %v, want %v", !ok, c.gap)
			}
			b := s.topic.snapshot()
			if b.Next != c.next || len(b.Records) != c.records || string(b.Records[0].Value) != c.newest {
				t.Errorf("%d records up to %v, the first %q; want %d up to %v, %q", len(b.Records), b.Next, b.Records[0].Value, c.records, c.next, c.newest)
			}
			if ok := s.topic.confirmedAsOf != unknown; ok != c.confirmed {
				t.Errorf("confirmed %v, want %v", ok, c.confirmed)
			}
		})
	}
}

// TestFollowersOfEras guards against a follower that lacks records of its seed because it knows others of another era.
func TestFollowersOfEras(t *testing.T) {
	at := func(era, offset int64) changefeed.Position { return changefeed.Position{Era: era, Offset: offset} }
	for name, c := range map[string]struct {
		known   changefeed.Position
		sent    bool
		full    bool
		next    changefeed.Position
		records int
	}{
		// The records of before stay in use, and those at offsets that were given out again are missed.
		"an earlier era with a higher offset": {at(1, 20), true, true, at(2, 10), 10},
		"an earlier era with a lower offset":  {at(1, 9), true, true, at(2, 10), 10},
		// It has the release before, which sends no eras.
		"no era with a higher offset": {at(0, 20), true, true, at(2, 10), 10},
		"no era with a lower offset":  {at(0, 9), true, true, at(2, 10), 10},
		"nothing known":               {at(0, 0), true, true, at(2, 10), 10},
		// It is sent what the store has lost.
		"a later era with a lower offset":  {at(3, 5), false, false, at(0, 0), 0},
		"a later era with a higher offset": {at(3, 20), false, false, at(0, 0), 0},
		"the same era":                     {at(2, 9), true, false, at(2, 10), 1},
	} {
		t.Run(name, func(t *testing.T) {
			h, s := newKnowing(batchOf(2, 0, 8, "v"))
			if !s.topic.addBatch(at(2, 8), batchOf(2, 8, 10, "v"), h.now()) {
				t.Fatal("a gap")
			}
			sent := &sentRecords{next: c.known}
			m, err := h.nextBatch(s.topic, sent, false)
			if err != nil || (m != nil) != c.sent {
				t.Fatalf("message %v, error %v", m, err)
			}
			if m == nil {
				return
			}
			if next := at(m.GetEra(), m.GetNext()); m.GetFull() != c.full || next != c.next || len(m.GetRecords()) != c.records {
				t.Errorf("full %v, next %v, %d records; want %v, %v, %d", m.GetFull(), next, len(m.GetRecords()), c.full, c.next, c.records)
			}
			// The next record of the era has an offset that the follower may know of the era before.
			if !s.topic.addBatch(at(2, 10), batchOf(2, 10, 11, "v"), h.now()) {
				t.Fatal("a gap")
			}
			if m, err = h.nextBatch(s.topic, sent, false); err != nil || m == nil || m.GetFull() || m.GetFrom() != 10 || len(m.GetRecords()) != 1 {
				t.Errorf("message %v with the next record, error %v", m, err)
			}
		})
	}
}

// followStream is a stream to a follower.
type followStream struct {
	grpc.ServerStreamingServer[relaypb.Batch]

	ctx  context.Context
	sent chan *relaypb.Batch
}

func (s followStream) Context() context.Context { return s.ctx }

func (s followStream) Send(m *relaypb.Batch) error {
	s.sent <- m
	return nil
}

// TestFollowerOfReleaseBefore guards against a follower without eras that gets no records, or whose known ones are sent again.
func TestFollowerOfReleaseBefore(t *testing.T) {
	for name, c := range map[string]struct {
		era, known int64
		full       bool
		records    int
	}{"before the first return": {0, 9, false, 1}, "after a return": {2, 9, true, 10}, "after a return, further than the seed": {2, 20, true, 10}} {
		t.Run(name, func(t *testing.T) {
			b := batchOf(c.era, 0, 10, "v")
			h, s := newKnowing(changefeed.Batch{Next: changefeed.Position{Era: c.era}})
			if !s.topic.addBatch(changefeed.Position{Era: c.era}, b, h.now()) {
				t.Fatal("a gap")
			}
			ctx, cancel := context.WithCancel(t.Context())
			stream := followStream{ctx: ctx, sent: make(chan *relaypb.Batch, 1)}
			var g sync.WaitGroup
			g.Go(func() { _ = h.Follow(&relaypb.FollowRequest{Known: []int64{c.known}}, stream) }) // ends with the context
			m := <-stream.sent
			cancel()
			g.Wait()
			if m.GetFull() != c.full || m.GetNext() != 10 || len(m.GetRecords()) != c.records {
				t.Errorf("full %v, next %d, %d records", m.GetFull(), m.GetNext(), len(m.GetRecords()))
			}
		})
	}
}

// TestEncodingsOfEras guards against compressed records of one era that are sent for the same offsets of another.
func TestEncodingsOfEras(t *testing.T) {
	const size = 2 * minCompressedBytes
	h, s := newKnowing(batchOf(1, 0, 2, "v"))
	follow := func(known changefeed.Position) *relaypb.Batch {
		t.Helper()
		m, err := h.nextBatch(s.topic, &sentRecords{next: known}, true)
		if err != nil || m == nil || m.GetCompressedRecords() == nil {
			t.Fatalf("message %v, error %v", m, err)
		}
		m, _ = proto.Clone(m).(*relaypb.Batch)
		if err := expandRecords(m); err != nil {
			t.Fatal(err)
		}
		return m
	}
	for era := range int64(3) {
		value := bytes.Repeat([]byte{byte('a' + era)}, size)
		s.topic.setSnapshot(batchOf(era+2, 0, 2, string(value)), h.now())
		if !s.topic.addBatch(changefeed.Position{Era: era + 2, Offset: 2}, batchOf(era+2, 2, 4, string(value)), h.now()) {
			t.Fatal("a gap")
		}
		for name, known := range map[string]changefeed.Position{"snapshot": {}, "changes": {Era: era + 2, Offset: 2}, "era before": {Era: era + 1, Offset: 2}} {
			for range 2 { // the second one is kept compressed
				for _, r := range follow(known).GetRecords() {
					if !bytes.Equal(r.GetValue(), value) {
						t.Errorf("era %d, %s: records with %.1q", era+2, name, r.GetValue())
					}
				}
			}
		}
	}
}
