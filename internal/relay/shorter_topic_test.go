package relay

import (
	"testing"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
)

// TestShorterTopicAfterReturn guards against a follower that skips the first records after the store has come back from an older copy, as
// it had more records of the topic before than the copy has.
func TestShorterTopicAfterReturn(t *testing.T) {
	newHub := func() *Hub {
		h := NewHub(Options{Logger: zap.NewNop()})
		h.AddTopic("operators", nil, ReadPolicy{})
		return h
	}
	seed, follower := newHub(), newHub()
	var sent sentRecords
	relay := func() {
		t.Helper()
		m, err := seed.nextBatch(seed.topics[0], &sent, false)
		if err != nil || m == nil {
			t.Fatalf("message %v, error %v", m, err)
		}
		if !follower.mergeBatch(m) {
			t.Error("records before the message are missing")
		}
		if known, want := follower.topics[0].known(), seed.topics[0].known(); known != want {
			t.Errorf("the follower knows the topic up to %v, the seed up to %v", known, want)
		}
	}
	seed.topics[0].setSnapshot(changefeed.Batch{Next: changefeed.Position{Offset: 6}}, 1)
	relay()
	end := changefeed.Position{Era: 1, Offset: 3}
	seed.topics[0].setSnapshot(changefeed.Batch{Next: end}, 2)
	relay()
	seed.topics[0].addBatch(end, changefeed.Batch{Records: []changefeed.Record{{Key: "config", Value: []byte("{}"), Position: end}}, Next: end.Add(1)}, 3)
	relay()
	if _, ok := follower.topics[0].newest["config"]; !ok {
		t.Error("the follower lacks the record after the return")
	}
}
