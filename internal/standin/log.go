package standin

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

var (
	errDown      = errors.New("service is down")
	errReplyLost = errors.New("reply was lost")
)

// Log is an in-memory log that implements platform.Log.
type Log struct {
	faultInjector
	now func() time.Time

	lock    sync.Mutex
	streams map[string]*stream
	appends int64 // appends that took effect

	era      uint64
	eraStart time.Time
}

// stream holds the entries of one stream of the log.
type stream struct {
	firstOffset platform.Offset // offset of the first entry that is not trimmed
	entries     []platform.Entry
	appended    chan struct{} // closed and replaced by each append and each return from a copy
}

// wakeReaders ends the wait of readers; the caller holds the log's lock.
func (s *stream) wakeReaders() {
	close(s.appended)
	s.appended = make(chan struct{})
}

// NewLog returns an empty log whose entries get their times from now.
func NewLog(now func() time.Time) *Log {
	return &Log{now: now, streams: map[string]*stream{}}
}

// SetFaults replaces the configured faults. With CopyAge set, the log returns from the copy at once.
func (l *Log) SetFaults(f Faults) {
	l.faultInjector.SetFaults(f)
	if f.CopyAge > 0 {
		l.returnFromCopy(f.CopyAge)
	}
}

// returnFromCopy removes the records of the latest age and starts an era.
func (l *Log) returnFromCopy(age time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := l.now()
	l.era++
	l.eraStart = now
	for _, s := range l.streams {
		if n := len(s.entries); n > 0 && s.entries[n-1].Time.After(l.eraStart) {
			l.eraStart = s.entries[n-1].Time
		}
		kept := slices.IndexFunc(s.entries, func(e platform.Entry) bool { return e.Time.After(now.Add(-age)) })
		if kept >= 0 {
			s.entries = s.entries[:kept:kept]
		}
		s.wakeReaders()
	}
}

// Append appends a record to a stream and returns its offset.
func (l *Log) Append(ctx context.Context, name string, data []byte) (platform.Offset, error) {
	if !l.acceptCall(ctx) {
		return 0, &platform.Error{Op: "append", Kind: platform.ErrUnavailable, Err: errDown}
	}
	l.lock.Lock()
	s := l.stream(name)
	t := l.now()
	if t.Before(l.eraStart) {
		t = l.eraStart
	}
	if n := len(s.entries); n > 0 && t.Before(s.entries[n-1].Time) {
		t = s.entries[n-1].Time
	}
	o := s.firstOffset + platform.Offset(len(s.entries))
	s.entries = append(s.entries, platform.Entry{Offset: o, Time: t, Data: append([]byte(nil), data...), Era: l.era})
	l.appends++
	s.wakeReaders()
	l.lock.Unlock()
	if l.dropReply() {
		return 0, &platform.Error{Op: "append", Kind: platform.ErrUnavailable, Err: errReplyLost}
	}
	return o, nil
}

// Read returns up to limit records, starting at offset from. If there are none yet, it waits for the first one for up to
// wait.
func (l *Log) Read(ctx context.Context, name string, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	if !l.acceptCall(ctx) {
		return platform.Page{}, &platform.Error{Op: "read", Kind: platform.ErrUnavailable, Err: errDown}
	}
	p, appended := l.readPage(name, from, limit)
	if len(p.Entries) == 0 && wait > 0 && from >= p.Oldest {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-appended:
		}
		if !l.acceptCall(ctx) {
			return platform.Page{}, &platform.Error{Op: "read", Kind: platform.ErrUnavailable, Err: errDown}
		}
		p, _ = l.readPage(name, from, limit)
	}
	if from < p.Oldest {
		return p, &platform.Error{Op: "read", Kind: platform.ErrTrimmed}
	}
	return p, nil
}

// Trim removes the records of a stream below an offset, like a retention policy.
func (l *Log) Trim(name string, below platform.Offset) {
	l.lock.Lock()
	defer l.lock.Unlock()
	s := l.stream(name)
	if below <= s.firstOffset {
		return
	}
	n := min(int(below-s.firstOffset), len(s.entries))
	s.entries = append([]platform.Entry(nil), s.entries[n:]...)
	s.firstOffset += platform.Offset(n)
}

// AppendCount returns the number of appends that took effect.
func (l *Log) AppendCount() int64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.appends
}

// readPage returns the records from an offset on without waiting, and a channel that the next append closes.
func (l *Log) readPage(name string, from platform.Offset, limit int) (platform.Page, <-chan struct{}) {
	l.lock.Lock()
	defer l.lock.Unlock()
	s := l.stream(name)
	p := platform.Page{Oldest: s.firstOffset, End: s.firstOffset + platform.Offset(len(s.entries)), Now: l.now(), Era: l.era, EraStart: l.eraStart}
	if from >= s.firstOffset && from < p.End {
		e := s.entries[from-s.firstOffset:]
		p.Entries = append(p.Entries, e[:min(limit, len(e))]...)
	}
	return p, s.appended
}

// stream returns a stream and creates it if necessary; the caller holds lock.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}
