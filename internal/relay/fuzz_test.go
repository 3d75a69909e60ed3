package relay

import (
	"testing"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
)

// FuzzMessage guards against messages from another instance that crash this one.
func FuzzMessage(f *testing.F) {
	for _, m := range []proto.Message{
		&relaypb.Batch{Topic: 0, Next: 3, Full: true, Records: []*relaypb.Record{{Key: []byte("k"), Value: []byte("v"), Offset: 2}}},
		&relaypb.Batch{From: 9, Next: 3, AgeMicroseconds: -5},
		&relaypb.ConfirmReply{Topics: []*relaypb.TopicAge{{Next: 3, AgeMicroseconds: 5}, {Topic: 9, AgeMicroseconds: -1}}},
		&relaypb.Loads{Endpoints: []uint32{1, 2}, Requests: []uint32{3}, PrefillMilliseconds: []uint32{4, 5}},
		&relaypb.Loads{LimitedProcesses: []uint32{1, 2}, Limits: []float64{2.6, -1}, LimitAges: []uint32{4}},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		h := NewHub(Options{Logger: zap.NewNop()})
		h.topics = append(h.topics, newTopic(h.notifier, ReadPolicy{}))
		m := &relaypb.Batch{}
		if proto.Unmarshal(b, m) == nil && int(m.GetTopic()) < len(h.topics) {
			h.mergeBatch(m)
			for _, r := range h.topics[0].snapshot().Records {
				if r.Key == "" && len(r.Value) > len(b) {
					t.Errorf("record longer than its message: %+v", r)
				}
			}
		}
		a := &relaypb.ConfirmReply{}
		if proto.Unmarshal(b, a) == nil {
			now := h.now()
			h.applyConfirmation(now, a)
			if at := h.topics[0].confirmedAsOf; at > now {
				t.Errorf("records confirmed for a time %v ahead", at.sub(now))
			}
		}
		l := &relaypb.Loads{}
		if proto.Unmarshal(b, l) == nil {
			if n := decodeLoads(l); len(n) > len(l.GetEndpoints()) {
				t.Errorf("%d loads of %d endpoints", len(n), len(l.GetEndpoints()))
			}
		}
	})
}
