package ingress

import (
	"math/rand/v2"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
)

// conditionalWrites schedules writes that several instances would make at the same time and of which only the first takes
// effect, as each is conditional on the end of its topic.
type conditionalWrites struct {
	dueAt  map[string]time.Time   // when to write, by the key of the record
	failed map[string]failedWrite // by the key of the record
}

// failedWrite is a write that did not take effect.
type failedWrite struct {
	position changefeed.Position // at which the topic had to end
	retryAt  time.Time           // when the write may be repeated although the topic is not known to have changed
}

// minWriteRetryDelay is the shortest time until a failed write is repeated with the same condition.
const minWriteRetryDelay = 500 * time.Millisecond

func newConditionalWrites() *conditionalWrites {
	return &conditionalWrites{dueAt: map[string]time.Time{}, failed: map[string]failedWrite{}}
}

// due reports whether a record is to be written now, if its topic is known to end at a position. The first call for a key draws a
// delay of up to spread. After a failed write the topic has probably changed, so that the condition can't hold until this
// instance has read it again.
func (w *conditionalWrites) due(now time.Time, key string, p changefeed.Position, spread time.Duration) bool {
	if f, ok := w.failed[key]; ok {
		if f.position == p && now.Before(f.retryAt) {
			return false
		}
		delete(w.failed, key)
	}
	if w.dueAt[key].IsZero() {
		w.dueAt[key] = now.Add(time.Duration(rand.Int64N(int64(spread) + 1)))
	}
	if now.Before(w.dueAt[key]) {
		return false
	}
	delete(w.dueAt, key)
	return true
}

// recordFailure records that a write did not take effect.
func (w *conditionalWrites) recordFailure(now time.Time, key string, p changefeed.Position, spread time.Duration) {
	w.failed[key] = failedWrite{p, now.Add(max(2*spread, minWriteRetryDelay))}
}

// drop cancels the write of a record that another instance has written.
func (w *conditionalWrites) drop(key string) {
	delete(w.dueAt, key)
	delete(w.failed, key)
}
