package ingress

import (
	"context"
	"encoding/json"
	"fmt"
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
	marks     []suspect.Mark // to be written
}

func newBoard(o Options, b *balancer) *board {
	s := suspect.DefaultSettings(o.Instance)
	s.SuspectFor, s.RefuseFor, s.MassDeaths = suspectTime, refuseTime, massDeaths
	return &board{options: o, balancer: b, schedules: map[string]schedule{}, suspects: suspect.New(s)}
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
		if err := b.record(r); err != nil {
			b.options.Logger.Warn("board: A record can't be read.", zap.String("key", r.Key), zap.Error(err))
		}
	}
}

func (b *board) record(r feed.Record) error {
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

// step settles the starts of roll-outs and writes what other instances have to know.
func (b *board) step(ctx context.Context) {
	for service, own := range b.open() {
		b.mu.Lock()
		k, ok := b.schedules[service]
		loaded, next := b.loaded, b.next
		b.mu.Unlock()
		switch {
		case ok && k.Version == own.Version:
			b.adopt(service, k)
		case loaded:
			b.write(ctx, keySchedule+service, own, next)
		}
	}
	b.mu.Lock()
	l, next := b.marks, b.next
	b.marks = nil
	b.mu.Unlock()
	for _, m := range l {
		// The marks commute, so a conflict with another instance's record is tried once more at the end that is then known.
		if !b.write(ctx, keySuspect+strconv.FormatUint(uint64(m.Content), 16), m, next) {
			b.mu.Lock()
			b.marks = append(b.marks, m)
			b.mu.Unlock()
			return
		}
		next++
	}
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

// write adds a record if the topic ends where this instance has read to.
func (b *board) write(ctx context.Context, key string, v any, at int64) bool {
	c, cancel := context.WithTimeout(ctx, b.options.Feeds.Operators.Timeout)
	defer cancel()
	raw, err := json.Marshal(v)
	if err == nil {
		err = b.options.Board.Append(c, feed.Record{Key: key, Value: raw}, at)
	}
	if err != nil {
		b.options.Logger.Info("board: The record was not written.", zap.String("key", key), zap.Error(err))
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
			b.marks = append(b.marks, m)
		}
	}
}
