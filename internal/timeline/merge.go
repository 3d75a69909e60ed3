package timeline

import (
	"bufio"
	"cmp"
	"container/heap"
	"encoding/json"
	"errors"
	"io"
	"os"
)

// Report counts what a merge read.
type Report struct {
	Events  int64 // read, whether selected or not
	Skipped int64 // lines that are no events, such as the torn last line of a process that died
}

// MergeFiles merges files as Merge does.
func MergeFiles(paths []string, f Filter, emit func(Event) error) (Report, error) {
	sources := make([]io.Reader, 0, len(paths))
	for _, p := range paths {
		file, err := os.Open(p)
		if err != nil {
			return Report{}, &Error{Op: "merge", Kind: ErrFile, Err: err}
		}
		defer func() { _ = file.Close() }()
		sources = append(sources, file)
	}
	return Merge(sources, f, emit)
}

// Merge calls emit for the selected events of all sources, with each cause before its effects.
// It keeps one event of each source in memory.
func Merge(sources []io.Reader, f Filter, emit func(Event) error) (Report, error) {
	readers := make([]*reader, len(sources))
	var q queue
	for i, s := range sources {
		readers[i] = newReader(s)
		readers[i].index = i
		if readers[i].next() {
			q = append(q, readers[i])
		}
	}
	heap.Init(&q)
	for len(q) > 0 {
		r := q[0]
		if f.Match(r.event) {
			if err := emit(r.event); err != nil {
				return report(readers), err
			}
		}
		if r.next() {
			heap.Fix(&q, 0)
		} else {
			heap.Pop(&q)
		}
	}
	errs := make([]error, 0, len(readers))
	for _, r := range readers {
		errs = append(errs, r.err)
	}
	return report(readers), errors.Join(errs...)
}

func report(readers []*reader) Report {
	var t Report
	for _, r := range readers {
		t.Events += r.events
		t.Skipped += r.skipped
	}
	return t
}

// reader reads the events of one source.
type reader struct {
	in    *bufio.Reader
	index int
	event Event
	// key is the highest stamp so far: an event that a clock set back has stamped too low stays after the one before.
	key             Stamp
	events, skipped int64
	err             error
}

func newReader(r io.Reader) *reader { return &reader{in: bufio.NewReaderSize(r, 2*maxLine)} }

// next reads the next event, and returns false at the end or at an error.
func (r *reader) next() bool {
	for {
		line, err := r.in.ReadSlice('\n')
		whole := true
		for errors.Is(err, bufio.ErrBufferFull) {
			whole = false
			_, err = r.in.ReadSlice('\n')
		}
		if err != nil && !errors.Is(err, io.EOF) {
			r.err = &Error{Op: "read", Kind: ErrFile, Err: err}
			return false
		}
		if r.take(line, whole) {
			return true
		}
		if err != nil {
			return false
		}
	}
}

func (r *reader) take(line []byte, whole bool) bool {
	if whole && len(line) <= 1 {
		return false
	}
	var e Event
	if !whole || json.Unmarshal(line, &e) != nil || e.Clock == (Stamp{}) {
		r.skipped++
		return false
	}
	r.events++
	r.event = e
	if e.Clock.Compare(r.key) > 0 {
		r.key = e.Clock
	}
	return true
}

// queue is a heap of readers by their next events.
type queue []*reader

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return cmp.Or(q[i].key.Compare(q[j].key), cmp.Compare(q[i].index, q[j].index)) < 0
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a reader.
func (q *queue) Push(x any) { *q = append(*q, x.(*reader)) }

// Pop removes the last reader.
func (q *queue) Pop() any {
	old := *q
	r := old[len(old)-1]
	*q = old[:len(old)-1]
	return r
}
