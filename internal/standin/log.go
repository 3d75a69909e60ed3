package standin

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

var (
	errDown = errors.New("service is down")
	errLost = errors.New("reply was lost")
)

// Log is an in-memory platform log; it implements platform.Log.
type Log struct {
	faulty
	now func() time.Time

	lock    sync.Mutex
	streams map[string]*stream
	appends int64
}

type stream struct {
	first   platform.Offset
	entries []platform.Entry
	grown   chan struct{}
}

// NewLog returns an empty log that takes record times from now.
func NewLog(now func() time.Time) *Log {
	return &Log{now: now, streams: map[string]*stream{}}
}

// Append adds a record to a stream.
func (l *Log) Append(ctx context.Context, name string, data []byte) (platform.Offset, error) {
	if !l.before(ctx) {
		return 0, &platform.Error{Op: "append", Kind: platform.ErrUnavailable, Err: errDown}
	}
	l.lock.Lock()
	s := l.stream(name)
	t := l.now()
	if n := len(s.entries); n > 0 && t.Before(s.entries[n-1].Time) {
		t = s.entries[n-1].Time
	}
	o := s.first + platform.Offset(len(s.entries))
	s.entries = append(s.entries, platform.Entry{Offset: o, Time: t, Data: append([]byte(nil), data...)})
	l.appends++
	close(s.grown)
	s.grown = make(chan struct{})
	l.lock.Unlock()
	if l.loses() {
		return 0, &platform.Error{Op: "append", Kind: platform.ErrUnavailable, Err: errLost}
	}
	return o, nil
}

// Read returns up to limit records from an offset on, and waits up to wait for the first one.
func (l *Log) Read(ctx context.Context, name string, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	if !l.before(ctx) {
		return platform.Page{}, &platform.Error{Op: "read", Kind: platform.ErrUnavailable, Err: errDown}
	}
	p, grown := l.page(name, from, limit)
	if len(p.Entries) == 0 && wait > 0 && from >= p.First {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-grown:
		}
		if !l.before(ctx) {
			return platform.Page{}, &platform.Error{Op: "read", Kind: platform.ErrUnavailable, Err: errDown}
		}
		p, _ = l.page(name, from, limit)
	}
	if from < p.First {
		return p, &platform.Error{Op: "read", Kind: platform.ErrTrimmed}
	}
	return p, nil
}

// Trim drops the records of a stream below an offset, as retention does.
func (l *Log) Trim(name string, below platform.Offset) {
	l.lock.Lock()
	defer l.lock.Unlock()
	s := l.stream(name)
	if below <= s.first {
		return
	}
	n := min(int(below-s.first), len(s.entries))
	s.entries = append([]platform.Entry(nil), s.entries[n:]...)
	s.first += platform.Offset(n)
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.appends
}

func (l *Log) page(name string, from platform.Offset, limit int) (platform.Page, <-chan struct{}) {
	l.lock.Lock()
	defer l.lock.Unlock()
	s := l.stream(name)
	p := platform.Page{First: s.first, Next: s.first + platform.Offset(len(s.entries)), Now: l.now()}
	if from >= s.first && from < p.Next {
		e := s.entries[from-s.first:]
		p.Entries = append(p.Entries, e[:min(limit, len(e))]...)
	}
	return p, s.grown
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}
