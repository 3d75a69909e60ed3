package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
)

const configurationKey = "configuration" // its value is a version that rises

// history is what a store has in one era.
type history struct {
	era     int64
	records []changefeed.Record
}

func (h *history) end() changefeed.Position {
	return changefeed.Position{Era: h.era, Offset: int64(len(h.records))}
}

// newest returns the newest value of each key that has one.
func (h *history) newest() map[string]string {
	out := map[string]string{}
	for _, r := range h.records {
		out[r.Key] = string(r.Value)
		if len(r.Value) == 0 {
			delete(out, r.Key)
		}
	}
	return out
}

func (h *history) add(key, value string) {
	h.records = append(h.records, changefeed.Record{Key: key, Value: []byte(value), Position: h.end()})
}

// returningStore is a store that comes back from older copies, with its writers and the instances that read it.
type returningStore struct {
	random    *rand.Rand
	now       time.Duration
	late      bool              // whether some calls are answered by the store of before the last return
	history   []*history        // by era
	ends      []confirmation    // the end of the topic after each change
	written   map[string]string // what operators and endpoints have written last
	lost      []string          // keys that they have yet to write again
	values    int
	instances []*returnInstance
}

func (s *returningStore) current() *history { return s.history[len(s.history)-1] }

// answering returns the store that answers a call.
func (s *returningStore) answering() *history {
	n := len(s.history) - 1
	if s.late && n > 0 && s.random.IntN(5) == 0 {
		n--
	}
	return s.history[n]
}

// Snapshot returns the newest record of each key.
func (s *returningStore) Snapshot(context.Context) (changefeed.Batch, error) {
	h := s.answering()
	b := changefeed.Batch{Next: h.end()}
	for _, r := range h.records {
		b.Records = slices.DeleteFunc(b.Records, func(o changefeed.Record) bool { return o.Key == r.Key })
		if len(r.Value) > 0 {
			b.Records = append(b.Records, r)
		}
	}
	return b, nil
}

// Read returns what the client of the platform's store makes of an answer.
func (s *returningStore) Read(_ context.Context, from changefeed.Position, _ time.Duration) (changefeed.Batch, error) {
	h := s.answering()
	switch {
	case h.era < from.Era:
		return changefeed.Batch{}, errors.New("an answer of an earlier era")
	case h.era > from.Era || h.end().Before(from):
		return changefeed.Batch{Trimmed: true}, nil
	}
	return changefeed.Batch{Records: slices.Clone(h.records[from.Offset:]), Next: h.end()}, nil
}

// write adds a record of an operator or an endpoint.
func (s *returningStore) write(key string) {
	s.values++
	s.written[key] = strconv.Itoa(s.values)
	if key != configurationKey && s.random.IntN(4) == 0 {
		s.written[key] = ""
	}
	s.writeAgain(key)
}

func (s *returningStore) writeAgain(key string) {
	s.current().add(key, s.written[key])
	s.noteEnd()
	s.lost = slices.DeleteFunc(s.lost, func(k string) bool { return k == key })
}

// comeBack brings the store back from a copy that lacks some records, in the next era.
func (s *returningStore) comeBack() {
	h := s.current()
	n := len(h.records) - s.random.IntN(min(len(h.records), 15)+1)
	next := &history{era: h.era + 1}
	for _, r := range h.records[:n] {
		next.add(r.Key, string(r.Value))
	}
	for _, r := range h.records[n:] {
		if !slices.Contains(s.lost, r.Key) {
			s.lost = append(s.lost, r.Key)
		}
	}
	s.random.Shuffle(len(s.lost), func(i, k int) { s.lost[i], s.lost[k] = s.lost[k], s.lost[i] })
	s.history = append(s.history, next)
	s.noteEnd()
}

func (s *returningStore) noteEnd() {
	s.ends = append(s.ends, confirmation{s.current().end(), instant(s.now)})
}

// endBefore returns the end of the topic before a time.
func (s *returningStore) endBefore(at instant) changefeed.Position {
	i, _ := slices.BinarySearchFunc(s.ends, at, func(c confirmation, at instant) int { return cmp.Compare(c.asOf, at) })
	if i == 0 {
		return changefeed.Position{}
	}
	return s.ends[i-1].next
}

// returnInstance is an instance that reads one call at a time, when the test lets it.
type returnInstance struct {
	*Source

	t        *testing.T
	proceed  chan struct{}
	waits    chan struct{}
	records  map[string]string
	inForce  int // version of the configuration
	lastRead int // version of the configuration that was read last
	next     changefeed.Position

	// Followers only.
	seed     *returnInstance
	sent     sentRecords      // by the seed
	messages []*relaypb.Batch // on their way
	delayed  []func()         // messages and confirmations that arrive after newer ones
}

// Snapshot waits until the test lets the instance go on.
func (n *returnInstance) Snapshot(ctx context.Context) (changefeed.Batch, error) {
	if err := n.await(ctx); err != nil {
		return changefeed.Batch{}, err
	}
	return n.Source.Snapshot(ctx)
}

// Read waits until the test lets the instance go on.
func (n *returnInstance) Read(ctx context.Context, from changefeed.Position, wait time.Duration) (changefeed.Batch, error) {
	if err := n.await(ctx); err != nil {
		return changefeed.Batch{}, err
	}
	return n.Source.Read(ctx, from, wait)
}

func (n *returnInstance) await(ctx context.Context) error {
	n.waits <- struct{}{}
	select {
	case <-n.proceed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// read makes one call and waits until its result is applied.
func (n *returnInstance) read() {
	n.proceed <- struct{}{}
	<-n.waits
}

// apply takes the records of an update as the controller does.
func (n *returnInstance) apply(u changefeed.Update) {
	if u.Err != nil {
		return
	}
	if u.Next.Before(n.next) || (u.Return != nil) != (n.records != nil && u.Next.Era > n.next.Era) {
		n.t.Errorf("next position %v after %v, return %v", u.Next, n.next, u.Return)
	}
	n.next = u.Next
	if u.IsSnapshot {
		n.records = map[string]string{}
	}
	if u.Return != nil {
		n.lastRead = 0 // the copy may be older
	}
	for _, r := range u.Records {
		n.records[r.Key] = string(r.Value)
		if len(r.Value) == 0 {
			delete(n.records, r.Key)
		}
		if r.Key != configurationKey {
			continue
		}
		v, err := strconv.Atoi(string(r.Value))
		if err != nil || v < n.lastRead {
			n.t.Errorf("read version %d after %d without a return, %v", v, n.lastRead, err)
		}
		n.lastRead, n.inForce = v, max(n.inForce, v)
	}
}

// follow makes the instance follow a seed, which knows what it has. Messages of the seed before may still arrive.
func (n *returnInstance) follow(seed *returnInstance) {
	for _, m := range n.messages {
		n.delayed = append(n.delayed, func() { n.hub.mergeBatch(m) })
	}
	n.seed, n.messages, n.sent = seed, nil, sentRecords{next: n.topic.known()}
	n.hub.seed.Store(&seed.hub.options.Address)
	n.topic.dropWaiting()
}

// send lets the seed send what the instance lacks.
func (n *returnInstance) send() {
	m, err := n.seed.hub.nextBatch(n.seed.topic, &n.sent, false)
	if err != nil {
		n.t.Error(err)
	}
	if m != nil {
		n.messages = append(n.messages, m)
	}
}

// receive lets the first message arrive.
func (n *returnInstance) receive() {
	if len(n.messages) == 0 {
		return
	}
	m := n.messages[0]
	n.messages = n.messages[1:]
	if !n.hub.mergeBatch(m) {
		n.messages = nil
		n.follow(n.seed)
	}
}

// confirm asks the seed how recent its records are. The answer may arrive later.
func (n *returnInstance) confirm(late bool) {
	at := n.hub.now()
	m, _ := n.seed.hub.Confirm(context.Background(), nil) // it never fails
	f := func() { n.hub.applyConfirmation(at, m) }
	if late {
		n.delayed = append(n.delayed, f)
	} else {
		f()
	}
}

// startReturnInstances starts seeds and followers of them until the context ends.
func startReturnInstances(ctx context.Context, t *testing.T, g *sync.WaitGroup, s *returningStore, seeds, followers int) {
	t.Helper()
	var addresses []netip.AddrPort
	for i := range seeds {
		addresses = append(addresses, netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)))
	}
	for i := range seeds + followers {
		o := Options{Instance: strconv.Itoa(i), Seeds: addresses, Logger: zap.NewNop(), Clock: func() time.Duration { return s.now }}
		if i < seeds {
			o.Address = addresses[i]
		}
		n := &returnInstance{t: t, proceed: make(chan struct{}), waits: make(chan struct{}, 1)}
		n.Source = NewHub(o).AddTopic("test", s, ReadPolicy{MaxAge: 500 * time.Millisecond})
		f := changefeed.NewFollower(n, changefeed.Options{Timeout: time.Minute, RetryInterval: 1}, n.apply)
		g.Go(func() { f.Run(ctx) })
		<-n.waits
		if i >= seeds {
			n.follow(s.instances[s.random.IntN(seeds)])
		}
		s.instances = append(s.instances, n)
	}
}

// TestReturnModel guards against instances that disagree with the store after it has come back from older copies, go back to records
// that it has lost, or never learn of a version of the configuration, whatever the order in which calls and messages are answered.
func TestReturnModel(t *testing.T) {
	keys := []string{configurationKey, "a", "b", "c", "d", "e"}
	for seed := range uint64(1000) {
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		random := rand.New(rand.NewPCG(seed, 0))
		s := &returningStore{random: random, now: time.Hour, late: random.IntN(2) == 0, history: []*history{{}}, written: map[string]string{}}
		for range 5 {
			s.write(keys[random.IntN(len(keys))])
		}
		seeds := 1 + random.IntN(3)
		startReturnInstances(ctx, t, &g, s, seeds, 2+random.IntN(7-seeds+1))
		returns := random.IntN(5)
		for step := range 300 {
			s.now += time.Duration(random.IntN(20)) * time.Millisecond
			i := random.IntN(len(s.instances))
			n := s.instances[i]
			switch random.IntN(12) {
			case 0:
				s.write(keys[random.IntN(len(keys))])
			case 1:
				if len(s.lost) > 0 {
					s.writeAgain(s.lost[0])
				}
			case 2:
				if returns > 0 && random.IntN(5) == 0 {
					returns--
					s.comeBack()
				}
			case 3, 4, 5:
				n.read()
			default:
				if i >= seeds {
					n.act(random, s.instances[random.IntN(seeds)])
				}
			}
			// A late answer of the store of before says nothing of what it has now.
			if at := n.topic.confirmedAsOf; !s.late && n.topic.known().Before(s.endBefore(at)) {
				t.Errorf("step %d: instance %d knows records up to %v, confirmed as of %v, when they ended at %v", step, i, n.topic.known(), at, s.endBefore(at))
			}
		}
		s.comeBack()
		settle(s, seeds)
		checkAgreement(t, s, seed)
		cancel()
		g.Wait()
		if t.Failed() {
			t.Fatalf("seed %d, %d instances, %d of them seeds", seed, len(s.instances), seeds)
		}
	}
}

// act does one of the things that happen between a follower and the seeds.
func (n *returnInstance) act(random *rand.Rand, other *returnInstance) {
	switch random.IntN(8) {
	case 0, 1, 2:
		n.send()
	case 3, 4:
		n.receive()
	case 5:
		n.confirm(random.IntN(3) == 0)
	case 6:
		if random.IntN(4) == 0 {
			n.follow(other)
		}
	default:
		if i := len(n.delayed) - 1; i >= 0 {
			n.delayed[i]()
			n.delayed = n.delayed[:i]
		}
	}
}

// settle lets the writers write again what was lost, all messages arrive and all instances read.
func settle(s *returningStore, seeds int) {
	for range 8 {
		s.now += 20 * time.Millisecond
		s.late = s.late && len(s.lost) > 0
		if len(s.lost) > 0 {
			s.writeAgain(s.lost[0])
		}
		for i, n := range s.instances {
			n.read()
			if i < seeds {
				continue
			}
			for _, f := range n.delayed {
				f()
			}
			n.delayed = nil
			n.send()
			n.receive()
			n.confirm(false)
			n.read()
		}
	}
	for _, n := range s.instances[seeds:] {
		for n.send(); len(n.messages) > 0; {
			n.receive()
		}
		n.read()
		n.read()
	}
}

// checkAgreement compares what the instances know with the store.
func checkAgreement(t *testing.T, s *returningStore, seed uint64) {
	t.Helper()
	want := s.current().newest()
	for i, n := range s.instances {
		if known := n.topic.known(); n.next != s.current().end() || known != n.next || !maps.Equal(n.records, want) {
			t.Errorf("seed %d: instance %d has %v up to %v, its topic up to %v; the store %v up to %v", seed, i, n.records, n.next, known, want, s.current().end())
		}
		if v := fmt.Sprint(n.inForce); v != s.written[configurationKey] && s.written[configurationKey] != "" {
			t.Errorf("seed %d: instance %d has version %s in force, want %s", seed, i, v, s.written[configurationKey])
		}
	}
}
