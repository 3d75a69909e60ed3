package ingress

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
)

// recordingTopic counts appends and records their keys. Reads return nothing, as if records were not visible yet.
type recordingTopic struct {
	mu           sync.Mutex
	calls        int
	failuresLeft int // how many of the next calls fail
	keys         map[string]bool
	next         changefeed.Position
}

func (t *recordingTopic) Snapshot(context.Context) (changefeed.Batch, error) {
	return changefeed.Batch{}, nil
}

func (t *recordingTopic) Read(context.Context, changefeed.Position, time.Duration) (changefeed.Batch, error) {
	return changefeed.Batch{}, nil
}

// Append fails while failures are left or if the position is wrong.
func (t *recordingTopic) Append(_ context.Context, at changefeed.Position, l ...changefeed.Record) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	if t.failuresLeft > 0 {
		t.failuresLeft--
		return errors.New("unavailable")
	}
	if at != changefeed.AnyPosition && at != t.next {
		return errors.New("conflict")
	}
	for _, r := range l {
		t.keys[r.Key] = true
		t.next = t.next.Add(1)
	}
	return nil
}

// TestMarksWrittenTogether guards against one call to the store for each request that an endpoint was running when it
// died, and against appends that keep failing because other instances append too.
func TestMarksWrittenTogether(t *testing.T) {
	const (
		instances = 20
		contents  = 30
	)
	for name, test := range map[string]struct{ failing, most int }{
		"store available":  {0, instances},
		"store fails once": {instances, 2 * instances},
	} {
		t.Run(name, func(t *testing.T) {
			topic := &recordingTopic{keys: map[string]bool{}, failuresLeft: test.failing}
			now := time.Now()
			var boards []*coordinator
			for i := range instances {
				o := Options{Instance: fmt.Sprint("i", i), InstancesTopic: topic, Logger: zap.NewNop()}
				o.Feeds.Operators.Timeout = time.Second
				b := newCoordinator(o, newBalancer(o))
				b.applyUpdate(changefeed.Update{IsSnapshot: true})
				for k := range contents {
					id := suspect.ContentHash(i*contents + k + 1)
					b.prompts.recordDeath(now, endpointDeath{endpoint: routing.Endpoint{ID: "endpoint"}, request: fmt.Sprint(id), content: contentID(id)})
				}
				boards = append(boards, b)
			}
			for d := time.Duration(0); d < 5*time.Second; d += controlInterval {
				for _, b := range boards {
					b.exchangeRecords(t.Context(), now.Add(d))
				}
			}
			if topic.calls > test.most {
				t.Errorf("%d calls of %d instances, want %d at most", topic.calls, instances, test.most)
			}
			if n := len(topic.keys); n != instances*contents {
				t.Errorf("%d contents written, want %d", n, instances*contents)
			}
		})
	}
}

// TestPartTrialByOneInstance guards against a series of crashes when the refusal of a prompt part is due for a trial at all
// instances, and against a trial that the other instances do not learn of because the store refuses the write.
func TestPartTrialByOneInstance(t *testing.T) {
	topic := &recordingTopic{keys: map[string]bool{}}
	now := time.Now()
	refuse := func(c *coordinator) suspect.PartHash {
		mark := suspect.PartMark{Part: 7, ID: "deadly", RefusedAt: now.Add(-2 * time.Hour)}
		c.prompts.registry.Merge(now, mark)
		return mark.Part
	}
	granted := 0
	for i := range 20 {
		c := newCoordinator(Options{Instance: fmt.Sprint("instance-", i), InstancesTopic: topic, Logger: zap.NewNop()}, nil)
		c.options.Feeds.Operators.Timeout = time.Second
		c.applyUpdate(changefeed.Update{IsSnapshot: true}) // all have read the topic before the first trial
		if c.claimTrial(t.Context(), now, refuse(c)) {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("%d instances may make the trial", granted)
	}
	topic.failuresLeft = 1
	c := newCoordinator(Options{Instance: "last", InstancesTopic: topic, Logger: zap.NewNop()}, nil)
	c.options.Feeds.Operators.Timeout = time.Second
	c.applyUpdate(changefeed.Update{IsSnapshot: true, Next: topic.next})
	if c.claimTrial(t.Context(), now, refuse(c)) {
		t.Error("a trial is granted although the store refused the write")
	}
}
