package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/internal/feed"
)

// Keys of the board's records.
const (
	keySchedule = "schedule/" // and the service
	keySuspect  = "suspect/"  // and the content
)

// schedule is the start of a roll-out as instances tell each other. Its time comes from the time of day, which may be
// seconds off; a roll-out's phases leave room for that.
type schedule struct {
	Version string    `json:"version"`
	Started time.Time `json:"started"`
}

// board is the topic in which instances tell each other when roll-outs began and which contents crash endpoints.
type board struct {
	options  Options
	balancer *balancer

	mu        sync.Mutex
	loaded    bool
	next      int64
	schedules map[string]schedule
	suspects  *suspect.Register
	marks     map[suspect.Content]suspect.Mark // to be written
	marksDue  time.Time                        // when they are
	startsDue map[string]time.Time             // when the start of a service's roll-out is to be written
}

func newBoard(o Options, b *balancer) *board {
	s := suspect.DefaultSettings(o.Instance)
	s.SuspectFor, s.RefuseFor, s.MassDeaths = suspectTime, refuseTime, massDeaths
	return &board{
		options: o, balancer: b, schedules: map[string]schedule{}, suspects: suspect.New(s),
		marks: map[suspect.Content]suspect.Mark{}, startsDue: map[string]time.Time{},
	}
}

// A content that was running at two deaths is refused for a time in which its client gives up; a content that is
// refused by mistake is served again after it. Many deaths at once are a failure of the platform.
const (
	suspectTime = 30 * time.Second
	refuseTime  = time.Minute
	massDeaths  = 8
)

// apply takes the records of the topic.
func (b *board) apply(u feed.Update) {
	if u.Err != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loaded, b.next = true, u.Next
	for _, r := range u.Records {
		if err := b.read(r); err != nil {
			b.options.Logger.Warn("board: A record can't be read.", zap.String("key", r.Key), zap.Error(err))
		}
	}
}

func (b *board) read(r feed.Record) error {
	if len(r.Value) == 0 {
		return nil
	}
	if s, ok := strings.CutPrefix(r.Key, keySchedule); ok {
		var v schedule
		if err := json.Unmarshal(r.Value, &v); err != nil {
			return fmt.Errorf("schedule: %w", err)
		}
		b.schedules[s] = v
		return nil
	}
	if strings.HasPrefix(r.Key, keySuspect) {
		var m suspect.Mark
		if err := json.Unmarshal(r.Value, &m); err != nil {
			return fmt.Errorf("suspect: %w", err)
		}
		b.suspects.Merge(time.Now(), suspect.Report{Marks: []suspect.Mark{m}})
	}
	return nil
}

// Instances that have something to write at the same time spread it: the start of a roll-out is written by the first one
// only, and the contents that an endpoint was running when it died are written in one call.
const (
	startSpread = 600 * time.Millisecond // a few times what a record takes to all instances
	markDelay   = 200 * time.Millisecond // in which the connections to a dead endpoint break
	markSpread  = 600 * time.Millisecond
	markMost    = 500 // in one call, which may have 2 MB
)

// step settles the starts of roll-outs and writes what other instances have to know.
func (b *board) step(ctx context.Context, now time.Time) {
	for service, own := range b.open() {
		b.mu.Lock()
		k, ok := b.schedules[service]
		loaded, next := b.loaded, b.next
		b.mu.Unlock()
		switch {
		case ok && k.Version == own.Version:
			b.adopt(service, k)
		case loaded && due(now, b.startsDue, service, startSpread):
			b.write(ctx, next, record{keySchedule + service, own})
		}
	}
	l := b.takeMarks(now)
	if len(l) == 0 {
		return
	}
	records := make([]record, 0, len(l))
	for _, m := range l {
		records = append(records, record{keySuspect + strconv.FormatUint(uint64(m.Content), 16), m})
	}
	// The marks commute, so it does not matter where the topic ends.
	if !b.write(ctx, feed.AnyEnd, records...) {
		b.keepMarks(now, l)
	}
}

// due reports whether a time drawn at the first call has come, and forgets it then.
func due(now time.Time, times map[string]time.Time, key string, spread time.Duration) bool {
	if times[key].IsZero() {
		times[key] = now.Add(time.Duration(rand.Int64N(int64(spread) + 1)))
	}
	if now.Before(times[key]) {
		return false
	}
	delete(times, key)
	return true
}

// takeMarks returns the marks if they are due.
func (b *board) takeMarks(now time.Time) []suspect.Mark {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.marks) == 0 {
		return nil
	}
	if b.marksDue.IsZero() {
		b.marksDue = now.Add(markDelay + time.Duration(rand.Int64N(int64(markSpread))))
	}
	if now.Before(b.marksDue) {
		return nil
	}
	b.marksDue = time.Time{}
	var out []suspect.Mark
	for c, m := range b.marks {
		if len(out) == markMost {
			break
		}
		out = append(out, m)
		delete(b.marks, c)
	}
	return out
}

// keepMarks keeps marks that could not be written for a later call, and doubles the time until then.
func (b *board) keepMarks(now time.Time, l []suspect.Mark) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range l {
		if _, ok := b.marks[m.Content]; !ok && now.Sub(m.Last()) < suspectTime {
			b.marks[m.Content] = m
		}
	}
	b.marksDue = now.Add(2*markDelay + time.Duration(rand.Int64N(int64(2*markSpread))))
}

// open returns the starts of roll-outs that are not settled.
func (b *board) open() map[string]schedule {
	b.balancer.mu.Lock()
	defer b.balancer.mu.Unlock()
	out := map[string]schedule{}
	for service, r := range b.balancer.rollouts {
		if v, _, _ := r.Status(); v != "" && !r.Settled() {
			out[service] = schedule{Version: v, Started: time.Now().Add(-time.Since(r.Started()))}
		}
	}
	return out
}

func (b *board) adopt(service string, k schedule) {
	now := time.Now()
	elapsed := now.Round(0).Sub(k.Started)
	b.balancer.mu.Lock()
	b.balancer.rollout(service).Began(now, elapsed)
	b.balancer.mu.Unlock()
	b.options.Logger.Info("roll-out: Start read.", zap.String("service", service), zap.String("version", k.Version), zap.Duration("elapsed", elapsed))
}

// record is a record before it is encoded.
type record struct {
	key   string
	value any
}

// write adds records at an offset of the topic and reports whether that worked.
func (b *board) write(ctx context.Context, at int64, l ...record) bool {
	c, cancel := context.WithTimeout(ctx, b.options.Feeds.Operators.Timeout)
	defer cancel()
	out := make([]feed.Record, 0, len(l))
	var err error
	for _, r := range l {
		raw, e := json.Marshal(r.value)
		err = errors.Join(err, e)
		out = append(out, feed.Record{Key: r.key, Value: raw})
	}
	if err == nil {
		err = b.options.Board.Append(c, at, out...)
	}
	if err != nil {
		b.options.Logger.Info("board: The records were not written.", zap.Int("records", len(l)), zap.String("first", l[0].key), zap.Error(err))
		return false
	}
	return true
}

// judge reports whether a content is refused because it has crashed endpoints.
func (b *board) judge(now time.Time, c suspect.Content) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects.Judge(now, c) == suspect.Refuse
}

// death records that an endpoint died while it began to run a content.
func (b *board) death(now time.Time, endpoint string, c suspect.Content) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.Death(now, endpoint, c)
	for _, m := range b.suspects.Digest().Marks {
		if m.Content == c {
			b.marks[c] = m
		}
	}
}
