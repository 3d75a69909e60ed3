package feed

import (
	"context"
	"math/rand/v2"
	"time"
)

// Record is a keyed record; an empty value removes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Batch is the reply to a read.
type Batch struct {
	Records []Record
	Next    int64 // offset to read from next
	Trimmed bool  // the offset asked for is not kept any more
}

// AnyEnd appends to a topic wherever it ends.
const AnyEnd = -1

// Source reads one topic.
type Source interface {
	// Newest returns the newest record of each key and the offset from which changes are to be read.
	Newest(ctx context.Context) (Batch, error)
	// Read returns the records from an offset on and waits for the first one for the time given.
	Read(ctx context.Context, from int64, wait time.Duration) (Batch, error)
}

// Update is the outcome of one call to the store.
type Update struct {
	Records []Record
	Full    bool // Records hold the newest record of each key that exists
	Next    int64
	At      time.Time // start of the call, so the records are at least as new as this
	Err     error
}

// Options pace a follower.
type Options struct {
	Wait    time.Duration // for which the store holds a read until there is a record
	Timeout time.Duration // of a call, beside Wait
	Retry   time.Duration // mean time from the start of a failed call to the next; it doubles up to RetryMost
	// RetryMost bounds the load of many instances on a store that refuses them.
	RetryMost time.Duration
}

// jitter is the part by which the time to the next call varies, as many instances lose the store at the same time.
const jitter = 0.25

// Follower follows one topic.
type Follower struct {
	source  Source
	options Options
	emit    func(Update)
	restart chan struct{}
}

// NewFollower returns a follower that hands each update to emit, from one goroutine.
func NewFollower(s Source, o Options, emit func(Update)) *Follower {
	return &Follower{source: s, options: o, emit: emit, restart: make(chan struct{}, 1)}
}

// Restart abandons a call that waits and reads anew: a call that was under way while the store failed may never be
// answered.
func (f *Follower) Restart() {
	select {
	case f.restart <- struct{}{}:
	default:
	}
}

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var next int64
	loaded, lost, retry := false, false, f.options.Retry
	for ctx.Err() == nil {
		u, restarted := f.call(ctx, loaded, next, lost)
		if ctx.Err() != nil {
			return
		}
		if restarted {
			continue
		}
		pause := time.Duration(0)
		lost = u.Err != nil
		switch {
		case u.Err != nil:
			// The time for which the call hung counts, so that the store's return is noticed within the longer of both.
			pause = time.Duration((1-jitter+2*jitter*rand.Float64())*float64(retry)) - time.Since(u.At)
			retry = min(2*retry, max(f.options.Retry, f.options.RetryMost))
		case u.Next < 0: // trimmed
			loaded = false
		default:
			loaded, next, retry = true, u.Next, f.options.Retry
		}
		if u.Next >= 0 {
			f.emit(u)
		}
		f.pause(ctx, pause)
	}
}

// call makes one call and reports whether it was abandoned.
func (f *Follower) call(ctx context.Context, loaded bool, next int64, lost bool) (Update, bool) {
	wait := time.Duration(0)
	// A store that was lost is asked without a wait: a call that waits would hang longest just when the store returns.
	if loaded && !lost {
		wait = f.options.Wait
	}
	c, cancel := context.WithTimeout(ctx, wait+f.options.Timeout)
	defer cancel()
	u := Update{At: time.Now(), Full: !loaded}
	done := make(chan struct{})
	var b Batch
	go func() {
		defer close(done)
		if loaded {
			b, u.Err = f.source.Read(c, next, wait)
		} else {
			b, u.Err = f.source.Newest(c)
		}
	}()
	restarted := false
	select {
	case <-done:
	case <-f.restart:
		restarted = true
		cancel()
		<-done
	}
	u.Records, u.Next = b.Records, b.Next
	if b.Trimmed {
		u.Next = -1
	}
	return u, restarted && u.Err != nil
}

func (f *Follower) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-f.restart:
	}
}
