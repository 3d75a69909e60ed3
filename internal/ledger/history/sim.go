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

// replyTimeout is the time that a caller of AppendRecord waits for a reply.
const replyTimeout = 2 * time.Second

// Start is the virtual time at which every history begins.
var Start = time.Unix(1_800_000_000, 0).UTC()

// event is a function that runs at a virtual time.
type event struct {
	at  time.Time
	seq int // orders events with the same time
	run func()
}

// eventQueue is a heap of events, earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	l := *q
	e := l[len(l)-1]
	*q = l[:len(l)-1]
	return e
}

// Sim runs events in virtual time. The same seed gives the same sequence of events and faults.
type Sim struct {
	Rand          *rand.Rand
	Now           time.Time
	Log           *standin.Log
	Outage        [2]time.Time        // start (inclusive) and end (exclusive) of the time in which the log is down
	ReplyLossRate float64             // probability that the reply to an append is lost
	DelayRate     float64             // probability that an append takes effect late
	MaxDelay      time.Duration       // longest delay of an append through LogClient
	OnAppend      func(stream string) // called after each append

	events eventQueue
	seq    int
}

// New returns a simulation without events whose rates of faults and log outage are drawn from the seed.
func New(seed uint64) *Sim {
	s := &Sim{Rand: rand.New(rand.NewPCG(seed, 7)), Now: Start, OnAppend: func(string) {}}
	s.Log = standin.NewLog(func() time.Time { return s.Now })
	s.ReplyLossRate, s.DelayRate = s.Rand.Float64()*0.4, s.Rand.Float64()*0.2
	s.MaxDelay = []time.Duration{time.Minute, 25 * time.Minute}[s.Rand.IntN(2)]
	if s.Rand.IntN(2) == 0 {
		from := Start.Add(s.RandomDuration(0, 20*time.Minute))
		s.Outage = [2]time.Time{from, from.Add(s.RandomDuration(time.Second, 20*time.Minute))}
	}
	return s
}

// RandomDuration draws a duration of at least from and less than to.
func (s *Sim) RandomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(s.Rand.Int64N(int64(to-from)))
}

// Chance returns true with probability p.
func (s *Sim) Chance(p float64) bool { return s.Rand.Float64() < p }

// LogDown reports whether the log is down at the current virtual time.
func (s *Sim) LogDown() bool { return !s.Now.Before(s.Outage[0]) && s.Now.Before(s.Outage[1]) }

// Schedule runs f after the duration d.
func (s *Sim) Schedule(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{s.Now.Add(d), s.seq, f})
}

// RunEvents runs all events in order of time until none is left.
func (s *Sim) RunEvents() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at.After(s.Now) {
			s.Now = e.at
		}
		e.run()
	}
}

// AppendRecord appends v as JSON soon, late or never. It calls reply with true after a success, and with false after a
// failure or when the reply is lost.
func (s *Sim) AppendRecord(stream string, v any, reply func(ok bool)) {
	if s.LogDown() {
		s.Schedule(s.RandomDuration(time.Millisecond, replyTimeout), func() { reply(false) })
		return
	}
	delay := s.RandomDuration(time.Millisecond, 50*time.Millisecond)
	if s.Chance(s.DelayRate) {
		delay = s.RandomDuration(time.Second, 5*time.Minute)
	}
	if s.Chance(s.ReplyLossRate) || delay > replyTimeout {
		s.Schedule(replyTimeout, func() { reply(false) })
		reply = func(bool) {}
	}
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.Schedule(delay, func() {
		if s.LogDown() {
			reply(false)
			return
		}
		_, err := s.Log.Append(context.Background(), stream, data)
		reply(err == nil)
		s.OnAppend(stream)
	})
}

// PollStream reads the records from an offset on, sometimes with records before it or out of order. It returns false if
// the read failed.
func (s *Sim) PollStream(stream string, from platform.Offset) (p platform.Page, ok bool) {
	if s.LogDown() {
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
