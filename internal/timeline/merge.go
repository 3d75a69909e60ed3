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

// MergeStats counts the lines that a merge read.
type MergeStats struct {
	Events  int64 // events read, whether selected or not
	Skipped int64 // lines that are not valid events, such as an incomplete last line after a crash
}

// MergeFiles merges the files at paths like Merge.
func MergeFiles(paths []string, f Filter, emit func(Event) error) (MergeStats, error) {
	sources := make([]io.Reader, 0, len(paths))
	for _, p := range paths {
		file, err := os.Open(p)
		if err != nil {
			return MergeStats{}, &Error{Op: "merge", Kind: ErrFile, Err: err}
		}
		defer func() { _ = file.Close() }()
		sources = append(sources, file)
	}
	return Merge(sources, f, emit)
}

// Merge calls emit for the selected events of all sources in causal order: each cause comes before its effects.
// It keeps one event of each source in memory.
func Merge(sources []io.Reader, f Filter, emit func(Event) error) (MergeStats, error) {
	readers := make([]*eventReader, len(sources))
	var q readerHeap
	for i, s := range sources {
		readers[i] = newEventReader(s)
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
				return totalStats(readers), err
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
	return totalStats(readers), errors.Join(errs...)
}

// totalStats returns the sum of the readers' counts.
func totalStats(readers []*eventReader) MergeStats {
	var t MergeStats
	for _, r := range readers {
		t.Events += r.events
		t.Skipped += r.skipped
	}
	return t
}

// eventReader reads the events of one source.
type eventReader struct {
	input *bufio.Reader
	index int   // position among the sources, which orders events with equal timestamps
	event Event // event read last
	// sortKey is the highest timestamp read so far. It keeps the events of a source in order, even if the clock was set
	// back between them.
	sortKey         Timestamp
	events, skipped int64
	err             error
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{input: bufio.NewReaderSize(r, 2*maxLineBytes)}
}

// next reads the next event and reports whether there is one. It returns false at the end of the source or after an
// error, which is left in err.
func (r *eventReader) next() bool {
	for {
		line, err := r.input.ReadSlice('\n')
		complete := true
		for errors.Is(err, bufio.ErrBufferFull) {
			complete = false
			_, err = r.input.ReadSlice('\n')
		}
		if err != nil && !errors.Is(err, io.EOF) {
			r.err = &Error{Op: "read", Kind: ErrFile, Err: err}
			return false
		}
		if r.decodeLine(line, complete) {
			return true
		}
		if err != nil {
			return false
		}
	}
}

// decodeLine decodes a line into event and reports whether it is an event. Other lines are counted as skipped, except
// for empty ones. A line longer than the buffer is not complete.
func (r *eventReader) decodeLine(line []byte, complete bool) bool {
	if complete && len(line) <= 1 {
		return false
	}
	var e Event
	if !complete || json.Unmarshal(line, &e) != nil || e.Timestamp == (Timestamp{}) {
		r.skipped++
		return false
	}
	r.events++
	r.event = e
	if e.Timestamp.Compare(r.sortKey) > 0 {
		r.sortKey = e.Timestamp
	}
	return true
}

// readerHeap implements heap.Interface; its first reader holds the earliest event.
type readerHeap []*eventReader

func (q readerHeap) Len() int { return len(q) }

func (q readerHeap) Less(i, j int) bool {
	return cmp.Or(q[i].sortKey.Compare(q[j].sortKey), cmp.Compare(q[i].index, q[j].index)) < 0
}

func (q readerHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends a reader.
func (q *readerHeap) Push(x any) { *q = append(*q, x.(*eventReader)) }

// Pop removes and returns the last reader.
func (q *readerHeap) Pop() any {
	old := *q
	r := old[len(old)-1]
	*q = old[:len(old)-1]
	return r
}
