package relay

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
)

// TestRush guards against followers that exceed the store's limit of calls when the records of all seeds become late at the
// same moment, and against followers that read the store before.
func TestRush(t *testing.T) {
	// The limit is the smallest one that the platform's sheets state for each instance: 6,000 calls a second at 78 instances.
	const topics, limit = 2, 76
	const maxAge = 2 * time.Second // much longer than the test host takes to confirm the records of all instances
	for _, instances := range []int{78, 195, 770} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			store := newFakeStore()
			store.add("first")
			a := netip.MustParseAddrPort("127.0.0.1:1")
			ctx, cancel := context.WithCancel(t.Context())
			var g sync.WaitGroup
			defer g.Wait()
			defer cancel()
			client := &storeClient{store: store}
			var hubs []*Hub
			confirm := func(h *Hub) {
				m := &relaypb.ConfirmReply{}
				for i := range topics {
					m.Topics = append(m.Topics, &relaypb.TopicAge{Topic: uint32(i), Next: 1})
				}
				h.applyConfirmation(h.now(), m)
			}
			for range instances {
				h := NewHub(Options{Seeds: []netip.AddrPort{a}, Logger: zap.NewNop()})
				h.seed.Store(&a)
				var followers []*changefeed.Follower
				for i := range topics {
					s := h.AddTopic(fmt.Sprint(i), client, ReadPolicy{MaxAge: maxAge})
					h.mergeBatch(&relaypb.Batch{Topic: uint32(i), Full: true, Next: 1, Records: []*relaypb.Record{{Key: []byte("first"), Value: []byte("v")}}})
					followers = append(followers, changefeed.NewFollower(s, changefeed.Options{Wait: readWait, Timeout: time.Second, RetryInterval: 50 * time.Millisecond}, func(changefeed.Update) {}))
				}
				confirm(h)
				for _, f := range followers {
					g.Go(func() { f.Run(ctx) })
				}
				hubs = append(hubs, h)
			}
			var late time.Time
			for range 5 {
				late = time.Now()
				for _, h := range hubs {
					confirm(h)
				}
				time.Sleep(100 * time.Millisecond)
			}
			if n := client.count(); n > 0 {
				t.Errorf("%d calls while the records were confirmed", n)
			}
			waitFor(t, "a read of the store", func() bool { return client.count() > 0 })
			if d := time.Since(late); d < maxAge {
				t.Errorf("the store was read after %v", d)
			}
			rush := client.count()
			time.Sleep(time.Second)
			if n := client.count() - rush; n > limit*instances {
				t.Errorf("%d calls within a second, limit %d", n, limit*instances)
			} else {
				t.Logf("%d calls in the first second", n)
			}
		})
	}
}
