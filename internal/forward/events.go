package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

const maxEvent = 1 << 20 // bytes

// Event is one event of a stream as it was sent, with the blank line that ends it.
type Event struct {
	Bytes []byte // valid until the next call
	ID    string // empty if it has none
	Data  bool   // carries a piece of the answer, and is not only a sign of life
}

// Events reads whole events of a stream.
type Events struct {
	reader *bufio.Reader
	buffer []byte
	grow   func(n int64) error
}

// NewEvents reads events from the body of an answer; grow is asked before the buffer grows.
func NewEvents(r io.Reader, grow func(n int64) error) *Events {
	return &Events{reader: bufio.NewReaderSize(r, readSize), grow: grow}
}

// Next returns the next event, or io.EOF where the stream ends between two events.
func (e *Events) Next() (Event, error) {
	e.buffer = e.buffer[:0]
	var out Event
	for {
		start := len(e.buffer)
		if err := e.line(); err != nil {
			if errors.Is(err, io.EOF) && len(e.buffer) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		l := bytes.TrimRight(e.buffer[start:], "\r\n")
		if v, ok := bytes.CutPrefix(l, []byte("id:")); ok {
			out.ID = string(bytes.TrimSpace(v))
		}
		out.Data = out.Data || out.ID != "" || bytes.HasPrefix(l, []byte("data:"))
		if len(l) == 0 {
			out.Bytes = e.buffer
			return out, nil
		}
	}
}

// line appends a line with its end to the buffer.
func (e *Events) line() error {
	for {
		b, err := e.reader.ReadSlice('\n')
		if len(e.buffer)+len(b) > maxEvent {
			return fmt.Errorf("an event of more than %d bytes", maxEvent)
		}
		if n := len(e.buffer) + len(b); n > cap(e.buffer) {
			n = max(n, 2*cap(e.buffer))
			if err := e.grow(int64(n - cap(e.buffer))); err != nil {
				return err
			}
			e.buffer = append(make([]byte, 0, n), e.buffer...)
		}
		e.buffer = append(e.buffer, b...)
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return err
		}
	}
}

// Buffered reports whether bytes of the next event are here already.
func (e *Events) Buffered() bool { return e.reader.Buffered() > 0 }
