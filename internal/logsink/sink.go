package logsink

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	buffered   = 4096    // lines that wait for the output
	maxWaiting = 1 << 20 // bytes that wait for the output
	syncWait   = time.Second
)

// Sink is a zapcore.WriteSyncer with a bounded buffer.
type Sink struct {
	lines   chan []byte
	flush   chan chan struct{}
	waiting atomic.Int64
	dropped atomic.Int64
}

// New returns a sink that writes to an output from one goroutine for the rest of the process.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, buffered), flush: make(chan chan struct{})}
	go s.run(out)
	return s
}

// Write queues one line.
func (s *Sink) Write(b []byte) (int, error) {
	if s.waiting.Load() > maxWaiting {
		s.dropped.Add(1)
		return len(b), nil
	}
	// The logger reuses its buffer after the call.
	c := append([]byte(nil), b...)
	select {
	case s.lines <- c:
		s.waiting.Add(int64(len(c)))
	default:
		s.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Sync waits a bounded time until the queued lines are written.
func (s *Sink) Sync() error {
	done := make(chan struct{})
	t := time.NewTimer(syncWait)
	defer t.Stop()
	select {
	case s.flush <- done:
		<-done
	case <-t.C:
	}
	return nil
}

func (s *Sink) run(out io.Writer) {
	for {
		select {
		case b := <-s.lines:
			s.write(out, b)
		case done := <-s.flush:
			for len(s.lines) > 0 {
				s.write(out, <-s.lines)
			}
			close(done)
		}
	}
}

// write joins the lines that wait, as each call of the output costs as much as many lines.
func (s *Sink) write(out io.Writer, b []byte) {
	n := int64(len(b))
	for len(s.lines) > 0 && len(b) < 32<<10 {
		c := <-s.lines
		n += int64(len(c))
		b = append(b, c...)
	}
	s.waiting.Add(-n)
	// An error of the log's own output can't be logged.
	_, _ = out.Write(b)
}
