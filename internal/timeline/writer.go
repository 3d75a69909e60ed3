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

// Writer writes the events of one instance in the order of their stamps, without holding up its callers.
// A nil Writer keeps no events.
type Writer struct {
	instance string
	clock    *Clock
	out      io.WriteCloser
	queue    chan Event
	done     chan struct{}
	err      error // read after done

	mu     sync.Mutex
	closed bool
	lost   int64 // events dropped and not yet noted in the file

	written, dropped, cut, failed tally.Counter
}

// Open returns a writer that appends to a file; buffer is the number of events that may wait for the file.
// The clock resumes after the last stamp in the file, so that a step back of the wall clock breaks no order.
func Open(path, instance string, buffer int, clock *Clock, scope tally.Scope) (*Writer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o640)
	if err != nil {
		return nil, &Error{Op: "open", Kind: ErrFile, Err: err}
	}
	if err := resume(f, clock); err != nil {
		return nil, errors.Join(&Error{Op: "open", Kind: ErrFile, Err: err}, f.Close())
	}
	return NewWriter(f, instance, buffer, clock, scope), nil
}

// NewWriter returns a writer of events to out, which Close closes.
func NewWriter(out io.WriteCloser, instance string, buffer int, clock *Clock, scope tally.Scope) *Writer {
	w := &Writer{
		instance: instance,
		clock:    clock,
		out:      out,
		queue:    make(chan Event, buffer),
		done:     make(chan struct{}),
		written:  scope.Counter("timeline-written"),
		dropped:  scope.Counter("timeline-dropped"),
		cut:      scope.Counter("timeline-cut"),
		failed:   scope.Counter("timeline-failed"),
	}
	go w.run()
	return w
}

// Write queues an event with a new stamp, or drops and counts it when the buffer is full.
// The caller must not change the event's Fields afterwards.
func (w *Writer) Write(e Event) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// The stamp is taken under the lock, because the file must be in the order of stamps.
	e.Clock, e.Instance = w.clock.Now(), w.instance
	if w.closed {
		w.dropped.Inc(1)
		return
	}
	select {
	case w.queue <- e:
	default:
		w.dropped.Inc(1)
		w.lost++
	}
}

// Close writes the queued events, closes the file and returns the first error of writing.
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

func (w *Writer) run() {
	defer close(w.done)
	b := bufio.NewWriter(w.out)
	for e := range w.queue {
		w.put(b, e)
		if len(w.queue) == 0 {
			w.noteLost(b, e.Clock)
			w.fail(b.Flush())
		}
	}
	w.fail(b.Flush())
	w.fail(w.out.Close())
}

// noteLost records in the file how many events are missing, with the stamp of the event before.
func (w *Writer) noteLost(b *bufio.Writer, at Stamp) {
	w.mu.Lock()
	n := w.lost
	w.lost = 0
	w.mu.Unlock()
	if n > 0 {
		fields := map[string]string{"events": strconv.FormatInt(n, 10)}
		w.put(b, Event{Clock: at, Instance: w.instance, Part: "timeline", Name: "dropped", Fields: fields})
	}
}

func (w *Writer) put(b *bufio.Writer, e Event) {
	line, cut, err := e.encode()
	if err == nil {
		_, err = b.Write(line)
	}
	if cut {
		w.cut.Inc(1)
	}
	if err != nil {
		w.fail(err)
		return
	}
	w.written.Inc(1)
}

func (w *Writer) fail(err error) {
	if err == nil {
		return
	}
	w.failed.Inc(1)
	if w.err == nil {
		w.err = &Error{Op: "write", Kind: ErrFile, Err: err}
	}
}

// resume raises the clock above the last stamps of the file and ends a line that a crash has torn.
func resume(f *os.File, clock *Clock) error {
	size, err := f.Seek(0, io.SeekEnd)
	if err != nil || size == 0 {
		return err
	}
	// The tail holds at least one whole event besides a torn one.
	if _, err := f.Seek(max(0, size-2*maxLine), io.SeekStart); err != nil {
		return err
	}
	r := newReader(f)
	for r.next() {
		clock.resume(r.event.Clock)
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
