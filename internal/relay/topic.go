package relay

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/feed"
)

const maxRecent = 1024 // records of a topic that are kept for readers who lag

// topic holds what is known of one topic of the store.
type topic struct {
	mu        sync.Mutex
	loaded    bool
	newest    map[string]feed.Record
	recent    []feed.Record // all records from first on
	first     int64
	next      int64
	completed time.Time // end of the last successful call to the store
	bell      *bell
}

func newTopic(b *bell) *topic { return &topic{newest: map[string]feed.Record{}, bell: b} }

// bell wakes all who wait for a change of any topic.
type bell struct {
	mu sync.Mutex
	c  chan struct{}
}

func newBell() *bell { return &bell{c: make(chan struct{})} }

// next returns a channel that is closed at the next change.
func (b *bell) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.c
}

func (b *bell) ring() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.c)
	b.c = make(chan struct{})
}

// full replaces the records by the newest of each key, unless later records are known.
func (t *topic) full(b feed.Batch, completed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.complete(completed)
	if t.loaded && b.Next < t.next {
		return
	}
	t.loaded, t.next, t.first, t.recent = true, b.Next, b.Next, nil
	t.newest = make(map[string]feed.Record, len(b.Records))
	for _, r := range b.Records {
		t.newest[r.Key] = r
	}
}

// add appends the records from an offset on; it reports false if records between are missing.
func (t *topic) add(from int64, b feed.Batch, completed time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loaded || from > t.next {
		return false
	}
	t.complete(completed)
	for _, r := range b.Records {
		if r.Offset < t.next {
			continue
		}
		t.recent = append(t.recent, r)
		t.newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
		}
		t.next = r.Offset + 1
	}
	t.next = max(t.next, b.Next)
	if n := len(t.recent) - maxRecent; n > 0 {
		t.recent = slices.Clone(t.recent[n:])
		t.first = t.recent[0].Offset
	}
	return true
}

func (t *topic) complete(at time.Time) {
	if at.After(t.completed) {
		t.completed = at
	}
	t.bell.ring()
}

// lost forgets when the store was last reached.
func (t *topic) lost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed = time.Time{}
	t.bell.ring()
}

// since returns the records from an offset on; trimmed if not all of them are kept.
func (t *topic) since(from int64) feed.Batch {
	if from < t.first {
		return feed.Batch{Trimmed: true}
	}
	i, _ := slices.BinarySearchFunc(t.recent, from, func(r feed.Record, o int64) int { return int(r.Offset - o) })
	return feed.Batch{Records: slices.Clone(t.recent[i:]), Next: max(from, t.next)}
}

// all returns the newest record of each key.
func (t *topic) all() feed.Batch {
	b := feed.Batch{Records: slices.Collect(maps.Values(t.newest)), Next: t.next}
	slices.SortFunc(b.Records, func(a, c feed.Record) int { return strings.Compare(a.Key, c.Key) })
	return b
}
