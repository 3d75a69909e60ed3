package timeline

import (
	"bufio"
	"errors"
	"io"
	"os"
	"strconv"
	"sync"

	"github.com/uber-go/tally/v4"
)

// Writer writes the events of one instance in the order of their timestamps, without blocking its callers.
// A nil Writer discards all events.
type Writer struct {
	instance string
	clock    *Clock
	out      io.WriteCloser
	queue    chan Event
	done     chan struct{}
	err      error // first error; may be read once done is closed

	mu              sync.Mutex
	closed          bool
	unrecordedDrops int64 // events dropped since the last record of drops in the file

	written, dropped, truncated, failed tally.Counter
}

// Open returns a writer that appends to the file at path. Up to buffer events may wait to be written.
// The clock resumes after the last timestamp in the file, so that events stay in order if the wall clock was set back.
func Open(path, instance string, buffer int, clock *Clock, scope tally.Scope) (*Writer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o640)
	if err != nil {
		return nil, &Error{Op: "open", Kind: ErrFile, Err: err}
	}
	if err := resumeFile(f, clock); err != nil {
		return nil, errors.Join(&Error{Op: "open", Kind: ErrFile, Err: err}, f.Close())
	}
	return NewWriter(f, instance, buffer, clock, scope), nil
}

// NewWriter returns a writer of events to out. Up to buffer events may wait to be written. Close closes out.
func NewWriter(out io.WriteCloser, instance string, buffer int, clock *Clock, scope tally.Scope) *Writer {
	w := &Writer{
		instance:  instance,
		clock:     clock,
		out:       out,
		queue:     make(chan Event, buffer),
		done:      make(chan struct{}),
		written:   scope.Counter("timeline-written"),
		dropped:   scope.Counter("timeline-dropped"),
		truncated: scope.Counter("timeline-cut"),
		failed:    scope.Counter("timeline-failed"),
	}
	go w.writeQueued()
	return w
}

// Write queues an event with a new timestamp, or drops and counts it if the buffer is full or the writer is closed.
// The caller must not change the event's Fields afterwards.
func (w *Writer) Write(e Event) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// The timestamp is taken under the lock, because the file must be in the order of timestamps.
	e.Timestamp, e.Instance = w.clock.Now(), w.instance
	if w.closed {
		w.dropped.Inc(1)
		return
	}
	select {
	case w.queue <- e:
	default:
		w.dropped.Inc(1)
		w.unrecordedDrops++
	}
}

// Close writes the queued events, closes the file and returns the first error of writing or closing it.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	<-w.done
	return w.err
}

// writeQueued writes events from the queue until it is closed, and flushes whenever the queue is empty.
func (w *Writer) writeQueued() {
	defer close(w.done)
	b := bufio.NewWriter(w.out)
	for e := range w.queue {
		w.writeEvent(b, e)
		if len(w.queue) == 0 {
			w.recordDrops(b, e.Timestamp)
			w.recordError(b.Flush())
		}
	}
	w.recordError(b.Flush())
	w.recordError(w.out.Close())
}

// recordDrops writes an event with the number of events dropped since the last such record, if there are any. It has the
// timestamp of the event before it.
func (w *Writer) recordDrops(b *bufio.Writer, at Timestamp) {
	w.mu.Lock()
	n := w.unrecordedDrops
	w.unrecordedDrops = 0
	w.mu.Unlock()
	if n > 0 {
		fields := map[string]string{"events": strconv.FormatInt(n, 10)}
		w.writeEvent(b, Event{Timestamp: at, Instance: w.instance, Component: "timeline", Name: "dropped", Fields: fields})
	}
}

// writeEvent encodes an event into the buffer and counts it.
func (w *Writer) writeEvent(b *bufio.Writer, e Event) {
	line, truncated, err := e.encode()
	if err == nil {
		_, err = b.Write(line)
	}
	if truncated {
		w.truncated.Inc(1)
	}
	if err != nil {
		w.recordError(err)
		return
	}
	w.written.Inc(1)
}

// recordError counts a failed write and keeps the first error.
func (w *Writer) recordError(err error) {
	if err == nil {
		return
	}
	w.failed.Inc(1)
	if w.err == nil {
		w.err = &Error{Op: "write", Kind: ErrFile, Err: err}
	}
}

// resumeFile advances the clock past the last timestamps in the file and terminates a last line that a crash left
// incomplete.
func resumeFile(f *os.File, clock *Clock) error {
	size, err := f.Seek(0, io.SeekEnd)
	if err != nil || size == 0 {
		return err
	}
	// The tail of this size contains at least one complete event besides an incomplete one.
	if _, err := f.Seek(max(0, size-2*maxLineBytes), io.SeekStart); err != nil {
		return err
	}
	r := newEventReader(f)
	for r.next() {
		clock.resume(r.event.Timestamp)
	}
	if r.err != nil {
		return r.err
	}
	last := make([]byte, 1)
	if _, err := f.ReadAt(last, size-1); err != nil {
		return err
	}
	if last[0] != '\n' {
		_, err = f.Write([]byte("\n"))
	}
	return err
}
