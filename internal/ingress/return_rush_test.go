package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
)

// drillTopic is a topic of a store that has come back without the records of instances.
type drillTopic struct {
	recordingTopic

	at      []time.Time // of appends
	records []changefeed.Record
}

func (t *drillTopic) Append(_ context.Context, at changefeed.Position, l ...changefeed.Record) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at = append(t.at, time.Now())
	if at != changefeed.AnyPosition && at != t.next {
		return errors.New("conflict")
	}
	for _, r := range l {
		r.Position = t.next
		t.records, t.next = append(t.records, r), t.next.Add(1)
	}
	return nil
}

// readFrom returns the records from a position on.
func (t *drillTopic) readFrom(p changefeed.Position) changefeed.Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	return changefeed.Update{Records: slices.Clone(t.records[p.Offset:]), Next: t.next}
}

// bySecond adds the number of appends in each second from a time on, before which there must be none.
func (t *drillTopic) bySecond(tt *testing.T, since time.Time, sum map[int]int) {
	tt.Helper()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range t.at {
		if at.Before(since) {
			tt.Fatal("a write before the return")
		}
		sum[int(at.Sub(since)/time.Second)]++
	}
}

// stateCodec encodes the states of roll-outs only.
type stateCodec struct{ RecordCodec }

func (stateCodec) DecodeRolloutStatus(_ string, value []byte) (s routing.RolloutStatus, err error) {
	err = json.Unmarshal(value, &s)
	return s, err
}

func (stateCodec) EncodeRolloutStatus(s routing.RolloutStatus) (changefeed.Record, error) {
	return changefeed.Record{Key: s.Service, Value: encoded(s)}, nil
}

func encoded(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the values always encode
	}
	return b
}

// startDrill starts the publishers of instances that hold the ends and the starts of roll-outs and marks, all of which are stored.
func startDrill(ctx context.Context, g *sync.WaitGroup, states, shared *drillTopic, instances, rollouts, marks int) []*publisher {
	var out []*publisher
	for i := range instances {
		o := Options{Instance: fmt.Sprint(i), StatusTopic: states, InstancesTopic: shared, Logger: zap.NewNop(), Codec: stateCodec{}, BadVersionShare: 0.15}
		o.Feeds.Operators.Timeout = time.Second
		b, now := newBalancer(o), time.Now()
		b.instances = instances
		p := newPublisher(o, b, newCoordinator(o, b))
		s, m := changefeed.Update{IsSnapshot: true}, changefeed.Update{IsSnapshot: true}
		for k := range rollouts {
			order := routing.RolloutOrder{Service: fmt.Sprint(k), Target: "v2", Duration: time.Minute}
			b.rolloutOf(order.Service).ApplyOrder(now, order, false)
			b.rolloutOf(order.Service).AlignStart(now, order.Duration)
			s.Records = append(s.Records, changefeed.Record{Key: order.Service, Value: encoded(routing.RolloutStatus{Service: order.Service, Target: order.Target, State: routing.RolloutCompleted})})
			m.Records = append(m.Records, changefeed.Record{Key: keyRolloutStart + order.Service, Value: encoded(rolloutStart{Version: order.Target, Started: now})})
		}
		for k := range marks {
			r := newPartRecord(now, suspect.PartMark{Part: suspect.PartHash(k + 1), ID: strings.Repeat("x", 64), RefusedAt: now})
			m.Records = append(m.Records, changefeed.Record{Key: r.key, Value: encoded(r.value)})
		}
		p.applyUpdate(s)
		p.coordinator.applyUpdate(m)
		out = append(out, p)
		g.Go(func() { p.publishStates(ctx) })
	}
	return out
}

// TestReturnWrites guards against instances that exceed the store's limit of writes when it comes back from a copy that lacks what they
// have written, as all of them hold the same records.
func TestReturnWrites(t *testing.T) {
	const (
		instances, limit = 300, 1200
		readDelay        = 300 * time.Millisecond // of a record on its way to all instances
		period           = 4 * time.Second
	)
	for name, c := range map[string]struct{ rollouts, marks int }{"a roll-out": {1, 0}, "marks": {0, 50}} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var g sync.WaitGroup
			defer g.Wait()
			defer cancel()
			from := changefeed.Position{Era: 1}
			states, shared := &drillTopic{recordingTopic: recordingTopic{next: from}}, &drillTopic{recordingTopic: recordingTopic{next: from}}
			publishers := startDrill(ctx, &g, states, shared, instances, c.rollouts, c.marks)
			time.Sleep(time.Second)
			since := time.Now()
			u := changefeed.Update{IsSnapshot: true, Next: from, Return: &changefeed.Return{}}
			for next, a, b := [2]changefeed.Position{from, from}, u, u; time.Since(since) < period; {
				var deliveries sync.WaitGroup
				for _, p := range publishers {
					deliveries.Go(func() {
						p.applyUpdate(a)
						p.coordinator.applyUpdate(b)
					})
				}
				deliveries.Wait()
				a, b = states.readFrom(next[0]), shared.readFrom(next[1])
				next = [2]changefeed.Position{a.Next, b.Next}
				time.Sleep(readDelay)
			}
			keys := map[string]bool{}
			for _, r := range append(states.readFrom(from).Records, shared.readFrom(from).Records...) {
				keys[r.Key] = true
			}
			if want := 2*c.rollouts + c.marks; len(keys) != want {
				t.Errorf("%d keys are written again, want %d", len(keys), want)
			}
			writes := map[int]int{}
			states.bySecond(t, since, writes)
			shared.bySecond(t, since, writes)
			t.Logf("writes by second: %v", writes)
			for i, n := range writes {
				if n > limit {
					t.Errorf("%d writes in second %d, limit %d", n, i, limit)
				}
			}
		})
	}
}
