package logsink

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines = 4096
	maxQueuedBytes = 1 << 20
	syncTimeout    = time.Second
)

// Sink is a zapcore.WriteSyncer that queues lines in a bounded buffer.
type Sink struct {
	lines         chan []byte
	flushRequests chan chan struct{} // requests of Sync; each channel is closed once the queue is empty
	queuedBytes   atomic.Int64
	dropped       atomic.Int64 // number of lines
}

// New returns a sink that writes to out. Its goroutine runs until the process ends.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxQueuedLines), flushRequests: make(chan chan struct{})}
	go s.writeLoop(out)
	return s
}

// Write queues one line, or drops it if the buffer is full. It never returns an error.
func (s *Sink) Write(b []byte) (int, error) {
	if s.queuedBytes.Load() > maxQueuedBytes {
		s.dropped.Add(1)
		return len(b), nil
	}
	// The logger reuses its buffer after the call.
	line := append([]byte(nil), b...)
	select {
	case s.lines <- line:
		s.queuedBytes.Add(int64(len(line)))
	default:
		s.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Sync writes out the queued lines. It gives up if the output is blocked and the request is not taken within
// syncTimeout. It never returns an error.
func (s *Sink) Sync() error {
	done := make(chan struct{})
	timeout := time.NewTimer(syncTimeout)
	defer timeout.Stop()
	select {
	case s.flushRequests <- done:
		<-done
	case <-timeout.C:
	}
	return nil
}

// writeLoop writes queued lines to out and handles the requests of Sync.
func (s *Sink) writeLoop(out io.Writer) {
	for {
		select {
		case line := <-s.lines:
			s.writeBatch(out, line)
		case done := <-s.flushRequests:
			for len(s.lines) > 0 {
				s.writeBatch(out, <-s.lines)
			}
			close(done)
		}
	}
}

// writeBatch writes a line together with the lines queued behind it, up to about 32 KiB, because one call to the output
// costs as much as many lines.
func (s *Sink) writeBatch(out io.Writer, batch []byte) {
	n := int64(len(batch))
	for len(s.lines) > 0 && len(batch) < 32<<10 {
		line := <-s.lines
		n += int64(len(line))
		batch = append(batch, line...)
	}
	s.queuedBytes.Add(-n)
	// A failure to write a log line can't be logged either.
	_, _ = out.Write(batch)
}
