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
	Wait     time.Duration // for which the store holds a read until there is a record
	Interval time.Duration // from the start of one read to the start of the next
	Timeout  time.Duration // of a call, beside Wait
	Retry    time.Duration // mean time from a failed call to the next
}

// Follower follows one topic.
type Follower struct {
	source  Source
	options Options
	emit    func(Update)
	wake    chan struct{}
}

// NewFollower returns a follower that hands each update to emit, from one goroutine.
func NewFollower(s Source, o Options, emit func(Update)) *Follower {
	return &Follower{source: s, options: o, emit: emit, wake: make(chan struct{}, 1)}
}

// Wake makes the follower read at once instead of waiting for its interval to end.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var next int64
	loaded := false
	for ctx.Err() == nil {
		u := f.call(ctx, loaded, next)
		if ctx.Err() != nil {
			return
		}
		pause := f.options.Interval - time.Since(u.At)
		switch {
		case u.Err != nil:
			pause = time.Duration((0.5 + rand.Float64()) * float64(f.options.Retry))
		case u.Next < 0: // trimmed
			loaded, pause = false, 0
		default:
			if !loaded {
				pause = 0 // records may have been added while pages were read
			}
			loaded, next = true, u.Next
		}
		if u.Next >= 0 {
			f.emit(u)
		}
		f.pause(ctx, pause)
	}
}

func (f *Follower) call(ctx context.Context, loaded bool, next int64) Update {
	u := Update{At: time.Now(), Full: !loaded}
	var b Batch
	if loaded {
		c, cancel := context.WithTimeout(ctx, f.options.Wait+f.options.Timeout)
		defer cancel()
		b, u.Err = f.source.Read(c, next, f.options.Wait)
	} else {
		c, cancel := context.WithTimeout(ctx, f.options.Timeout)
		defer cancel()
		b, u.Err = f.source.Newest(c)
	}
	u.Records, u.Next = b.Records, b.Next
	if b.Trimmed {
		u.Next = -1
	}
	return u
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
	case <-f.wake:
	}
}
