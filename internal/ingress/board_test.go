package ingress

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/internal/feed"
)

// slowTopic is a topic whose records reach its readers late.
type slowTopic struct {
	mu      sync.Mutex
	calls   int
	failing int // of the next calls
	keys    map[string]bool
	end     int64
}

func (t *slowTopic) Newest(context.Context) (feed.Batch, error) { return feed.Batch{}, nil }

func (t *slowTopic) Read(context.Context, int64, time.Duration) (feed.Batch, error) {
	return feed.Batch{}, nil
}

func (t *slowTopic) Append(_ context.Context, at int64, l ...feed.Record) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	if t.failing > 0 {
		t.failing--
		return errors.New("unavailable")
	}
	if at != feed.AnyEnd && at != t.end {
		return errors.New("conflict")
	}
	for _, r := range l {
		t.keys[r.Key] = true
		t.end++
	}
	return nil
}

// TestBoardWritesMarksTogether guards against a call to the store for each request that an endpoint was running when it
// died, and against calls that fail again and again because other instances write too.
func TestBoardWritesMarksTogether(t *testing.T) {
	const (
		instances = 20
		contents  = 30
	)
	for name, c := range map[string]struct{ failing, most int }{
		"store well":      {0, instances},
		"store away once": {instances, 2 * instances},
	} {
		t.Run(name, func(t *testing.T) {
			topic := &slowTopic{keys: map[string]bool{}, failing: c.failing}
			now := time.Now()
			var boards []*board
			for i := range instances {
				o := Options{Instance: fmt.Sprint("i", i), Board: topic, Logger: zap.NewNop()}
				o.Feeds.Operators.Timeout = time.Second
				b := newBoard(o, newBalancer(o))
				b.apply(feed.Update{Full: true})
				for k := range contents {
					b.death(now, "endpoint", suspect.Content(i*contents+k+1))
				}
				boards = append(boards, b)
			}
			for d := time.Duration(0); d < 5*time.Second; d += tick {
				for _, b := range boards {
					b.step(t.Context(), now.Add(d))
				}
			}
			if topic.calls > c.most {
				t.Errorf("%d calls of %d instances, want %d at most", topic.calls, instances, c.most)
			}
			if n := len(topic.keys); n != instances*contents {
				t.Errorf("%d contents written, want %d", n, instances*contents)
			}
		})
	}
}
