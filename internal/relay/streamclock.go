package relay

import (
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
)

// maxUnanswered is the number of messages sent on a stream whose times are kept until the other side has received them.
const maxUnanswered = 256

// streamClock tells how old the messages received on a stream are at most. Each names the last message that its sender had
// received, and was written after that one was sent.
type streamClock struct {
	mu       sync.Mutex
	sentAt   []instant // of the messages from number first on
	first    uint32
	received uint32 // number of the last message received
}

// stamp numbers a message that is about to be sent.
func (c *streamClock) stamp(m *relaypb.Loads, now instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentAt = append(c.sentAt, now)
	if n := len(c.sentAt) - maxUnanswered; n > 0 {
		c.sentAt, c.first = c.sentAt[n:], c.first+uint32(n)
	}
	m.Number, m.Answers = c.first+uint32(len(c.sentAt)), c.received
}

// note records that a message was received.
func (c *streamClock) note(m *relaypb.Loads) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = m.GetNumber()
}

// maxAge returns the greatest age that a received message can have. It is 0 if the other side is of an older release, which
// does not number its messages.
func (c *streamClock) maxAge(m *relaypb.Loads, now instant) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := int(m.GetAnswers()) - int(c.first) - 1 // index of the message that the other side has received
	switch {
	case m.GetNumber() == 0:
		return 0
	case n < 0 || n >= len(c.sentAt):
		return now.sub(unknown)
	}
	age := now.sub(c.sentAt[n])
	c.sentAt, c.first = c.sentAt[n:], c.first+uint32(n)
	return age
}
