package history

import (
	"container/heap"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
)

// replyTimeout is how long a caller waits for a reply that is lost.
const replyTimeout = 2 * time.Second

// Start is the virtual time at which every history begins.
var Start = time.Unix(1_800_000_000, 0).UTC()

type event struct {
	at  time.Time
	seq int // orders events of the same time
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

func (q *queue) Pop() any {
	l := *q
	e := l[len(l)-1]
	*q = l[:len(l)-1]
	return e
}

// Sim runs events in virtual time; everything that happens follows from the seed.
type Sim struct {
	Rand    *rand.Rand
	Now     time.Time
	Log     *standin.Log
	Outage  [2]time.Time  // the log is down from the first time until before the second
	Lose    float64       // share of appends whose reply is lost
	Hang    float64       // share of appends that take effect late
	Late    time.Duration // how late appends through Log take effect at most
	Touched func(stream string)

	queue queue
	seq   int
}

// New returns a history without events whose faults are drawn from the seed; Touched is called after each append.
func New(seed uint64) *Sim {
	s := &Sim{Rand: rand.New(rand.NewPCG(seed, 7)), Now: Start, Touched: func(string) {}}
	s.Log = standin.NewLog(func() time.Time { return s.Now })
	s.Lose, s.Hang = s.Rand.Float64()*0.4, s.Rand.Float64()*0.2
	s.Late = []time.Duration{time.Minute, 25 * time.Minute}[s.Rand.IntN(2)]
	if s.Rand.IntN(2) == 0 {
		from := Start.Add(s.Span(0, 20*time.Minute))
		s.Outage = [2]time.Time{from, from.Add(s.Span(time.Second, 20*time.Minute))}
	}
	return s
}

// Span draws a duration from from to below to.
func (s *Sim) Span(from, to time.Duration) time.Duration {
	return from + time.Duration(s.Rand.Int64N(int64(to-from)))
}

// Chance draws true with probability p.
func (s *Sim) Chance(p float64) bool { return s.Rand.Float64() < p }

// Down reports whether the log is down now.
func (s *Sim) Down() bool { return !s.Now.Before(s.Outage[0]) && s.Now.Before(s.Outage[1]) }

// After runs f once the time d has passed.
func (s *Sim) After(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.Now.Add(d), s.seq, f})
}

// Run runs all events in order of time.
func (s *Sim) Run() {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at.After(s.Now) {
			s.Now = e.at
		}
		e.do()
	}
}

// Append takes effect soon, late or never; reply gets true, or false after a failure or a lost reply.
func (s *Sim) Append(stream string, v any, reply func(ok bool)) {
	if s.Down() {
		s.After(s.Span(time.Millisecond, replyTimeout), func() { reply(false) })
		return
	}
	delay := s.Span(time.Millisecond, 50*time.Millisecond)
	if s.Chance(s.Hang) {
		delay = s.Span(time.Second, 5*time.Minute)
	}
	if s.Chance(s.Lose) || delay > replyTimeout {
		s.After(replyTimeout, func() { reply(false) })
		reply = func(bool) {}
	}
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.After(delay, func() {
		if s.Down() {
			reply(false)
			return
		}
		_, err := s.Log.Append(context.Background(), stream, data)
		reply(err == nil)
		s.Touched(stream)
	})
}

// Poll reads what is new, at times with duplicates or out of order; ok is false if the read failed.
func (s *Sim) Poll(stream string, from platform.Offset) (p platform.Page, ok bool) {
	if s.Down() {
		return p, false
	}
	if s.Chance(0.1) {
		from -= min(from, platform.Offset(s.Rand.IntN(3)))
	}
	p, err := s.Log.Read(context.Background(), stream, from, 64, 0)
	if err != nil {
		return p, false
	}
	if s.Chance(0.1) {
		s.Rand.Shuffle(len(p.Entries), func(i, j int) { p.Entries[i], p.Entries[j] = p.Entries[j], p.Entries[i] })
	}
	return p, true
}
