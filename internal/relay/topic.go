package relay

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
)

const maxRecent = 1024 // records of a topic that are kept for followers that lag behind

// topic holds the known records of one topic of the store.
type topic struct {
	policy ReadPolicy

	mu          sync.Mutex
	loaded      bool                         // a snapshot has been set
	newest      map[string]changefeed.Record // newest record of each key
	recent      []changefeed.Record          // all records of the era from the offset firstRecent on
	firstRecent int64
	next        changefeed.Position // after the last known record
	notifier    *notifier

	readAsOf      instant      // the records include all that the store had then, by calls of this instance; unknown after a failed call
	confirmedAsOf instant      // the same, by confirmations of a seed
	waiting       confirmation // covers records that have not arrived; zero if there is none

	encodings encodings // of records for followers; its lock is taken before mu
}

// confirmation says that the records of a topic before a position were all of them at a time.
type confirmation struct {
	next changefeed.Position
	asOf instant
}

func newTopic(n *notifier, p ReadPolicy) *topic {
	return &topic{policy: p, newest: map[string]changefeed.Record{}, notifier: n}
}

// notifier wakes all goroutines that wait for a change of any topic.
type notifier struct {
	mu sync.Mutex
	c  chan struct{}
}

func newNotifier() *notifier { return &notifier{c: make(chan struct{})} }

// nextChange returns a channel that is closed at the next change.
func (n *notifier) nextChange() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.c
}

// notifyAll wakes all waiting goroutines.
func (n *notifier) notifyAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.c)
	n.c = make(chan struct{})
}

// setSnapshot replaces all records by the newest record of each key, unless later records are known. The snapshot includes
// all that the store had at readAsOf; this is unknown if another instance sent the snapshot.
func (t *topic) setSnapshot(b changefeed.Batch, readAsOf instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.notifier.notifyAll()
	if t.loaded && b.Next.Era < t.next.Era {
		return
	}
	t.readAsOf = max(t.readAsOf, readAsOf)
	if t.loaded && b.Next.Before(t.next) {
		return
	}
	t.loaded, t.next, t.firstRecent, t.recent = true, b.Next, b.Next.Offset, nil
	t.newest = make(map[string]changefeed.Record, len(b.Records))
	for _, r := range b.Records {
		t.newest[r.Key] = r
	}
	t.applyWaiting()
}

// addBatch adds the records from a position on; it reports false if the records before that position are not all known. Records of
// an earlier era change nothing. The batch ends with the last record that the store had at readAsOf; this is unknown if another
// instance sent the batch.
func (t *topic) addBatch(from changefeed.Position, b changefeed.Batch, readAsOf instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loaded || t.next.Before(from) {
		return false
	}
	if from.Era < t.next.Era {
		return true
	}
	defer t.notifier.notifyAll()
	t.readAsOf = max(t.readAsOf, readAsOf)
	for _, r := range b.Records {
		if r.Position.Before(t.next) {
			continue
		}
		t.recent = append(t.recent, r)
		t.newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
		}
		t.next = r.Position.Add(1)
	}
	t.next = changefeed.Later(t.next, b.Next)
	if n := len(t.recent) - maxRecent; n > 0 {
		t.recent = slices.Clone(t.recent[n:])
		t.firstRecent = t.recent[0].Position.Offset
	}
	t.applyWaiting()
	return true
}

// confirm records that the records before a position were all of them at a time. If some of these are not known yet, the
// confirmation counts when they arrive, unless an earlier one is still waiting.
func (t *topic) confirm(next changefeed.Position, asOf instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.loaded && next.Era < t.next.Era: // the seed has not noticed yet that the store has returned
	case t.loaded && !t.next.Before(next):
		t.setConfirmedAsOf(asOf)
	case t.waiting == confirmation{}:
		t.waiting = confirmation{next, asOf}
	}
}

// applyWaiting takes the confirmation that waits into account if all records that it covers are known. The caller must hold
// the lock.
func (t *topic) applyWaiting() {
	if t.waiting == (confirmation{}) || t.next.Before(t.waiting.next) {
		return
	}
	if t.next.Era == t.waiting.next.Era {
		t.setConfirmedAsOf(t.waiting.asOf)
	}
	t.waiting = confirmation{}
}

// dropWaiting forgets the confirmation of a seed that is not followed any more.
func (t *topic) dropWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = confirmation{}
}

// setConfirmedAsOf records a confirmation and notifies all who wait for a change. The caller must hold the lock.
func (t *topic) setConfirmedAsOf(at instant) {
	if at > t.confirmedAsOf {
		t.confirmedAsOf = at
		t.notifier.notifyAll()
	}
}

// known returns the position after the last known record, zero if none is known.
func (t *topic) known() changefeed.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// recordFailure records that a call of this instance to the store failed, so the records no longer count as recent here.
func (t *topic) recordFailure() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readAsOf = unknown
}

// recordsFrom returns the records from a position on, or a batch marked as trimmed if not all of them are kept. The caller
// must hold the lock.
func (t *topic) recordsFrom(from changefeed.Position) changefeed.Batch {
	if !t.keepsFrom(from) {
		return changefeed.Batch{Trimmed: true}
	}
	i, _ := slices.BinarySearchFunc(t.recent, from, func(r changefeed.Record, p changefeed.Position) int { return r.Position.Compare(p) })
	return changefeed.Batch{Records: slices.Clone(t.recent[i:]), Next: changefeed.Later(from, t.next)}
}

// keepsFrom reports whether all records from a position on are kept. The caller must hold the lock.
func (t *topic) keepsFrom(from changefeed.Position) bool {
	return from.Era == t.next.Era && from.Offset >= t.firstRecent
}

// snapshot returns the newest record of each key, ordered by key. The caller must hold the lock.
func (t *topic) snapshot() changefeed.Batch {
	b := changefeed.Batch{Records: slices.Collect(maps.Values(t.newest)), Next: t.next}
	slices.SortFunc(b.Records, func(a, c changefeed.Record) int { return strings.Compare(a.Key, c.Key) })
	return b
}
