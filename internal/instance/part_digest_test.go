package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaspoke/cassiaspoke/internal/answer"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
)

// TestPartMarksEncoding guards against evidence that never reaches peers, and against a peer's bytes that crash an instance.
func TestPartMarksEncoding(t *testing.T) {
	now := time.Now()
	marks := []suspect.PartMark{{
		Part: 7, Generation: 2, Trials: 1, RefusedAt: now.Add(-3 * time.Second), Companions: []suspect.PartHash{8, 9},
		Deaths: []suspect.EndpointDeath{{Process: 1, Request: 2, At: now.Add(-time.Minute), Reporter: "peer"}},
	}, {Part: 10, Deaths: []suspect.EndpointDeath{{Process: 3, Request: 4, At: now, Reporter: "peer"}}}}
	b := encodePartMarks(now, marks, 512)
	got, err := decodePartMarks(now, "peer", b)
	if err != nil || !cmp.Equal(got, marks) {
		t.Errorf("decoded with error %v: %s", err, cmp.Diff(marks, got))
	}
	for n := range b {
		if l, err := decodePartMarks(now, "peer", b[:n]); err == nil && len(l) > 1 {
			t.Errorf("%d of %d bytes are accepted", n, len(b))
		}
	}
	if b := encodePartMarks(now, append(marks, marks...), 100); len(b) > 100 {
		t.Errorf("%d bytes exceed the limit", len(b))
	}
}

// TestChatPartCrashesEngines guards against chats with a message that crashes engines, none alike and at any instance, that
// crash one engine after the other.
func TestChatPartCrashesEngines(t *testing.T) {
	l := []*suspects{newSuspects(suspect.DefaultSettings("a")), newSuspects(suspect.DefaultSettings("b"))}
	for i, s := range l {
		peer := l[1-i]
		s.claimDelay = 0
		s.notifyPeers = func() {
			marks, err := decodePartMarks(time.Now(), "peer", encodePartMarks(time.Now(), s.partMarks(), 512))
			if err != nil {
				t.Error(err)
			}
			peer.mergePartMarks(marks)
		}
	}
	content := func(i int, parts ...string) answer.Content {
		return answer.Content{Digest: uint64(1000 + i), Parts: append([]string{"system"}, parts...)}
	}
	deaths, refused := 0, false
	settle := suspect.DefaultPartSettings("").SettleTime
	for i := 0; i < 30 && !refused; i++ {
		for _, s := range l {
			sound := content(2*i+500, fmt.Sprint("subject-", i))
			if s.StartRequest(sound, "sound") {
				s.RecordFirstToken(sound, "sound")
				s.EndRequest(sound, "sound", true)
			}
		}
		s, c := l[i%2], content(i, "deadly", fmt.Sprint("rest-", i))
		switch s.Policy(c) {
		case answer.RefuseRequest:
			refused = true
			continue
		case answer.AwaitDecision:
			time.Sleep(settle / 4)
			continue
		}
		engine := fmt.Sprint("engine-", i)
		if s.StartRequest(c, engine) {
			s.EndpointCrashed(engine)
			s.EndRequest(c, engine, false)
			deaths++
		}
		time.Sleep(suspect.DefaultPartSettings("").CommonCauseWindow)
	}
	if !refused || deaths > 6 {
		t.Errorf("refused %v after %d deaths", refused, deaths)
	}
	for _, s := range l {
		if p := s.Policy(content(900, "subject-1")); p != answer.RunAnywhere {
			t.Errorf("a chat with the same system message has policy %d", p)
		}
	}
}
