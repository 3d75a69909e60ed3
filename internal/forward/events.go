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
}

// Events reads whole events of a stream.
type Events struct {
	reader *bufio.Reader
	buffer []byte
}

// NewEvents reads events from the body of an answer.
func NewEvents(r io.Reader) *Events { return &Events{reader: bufio.NewReaderSize(r, readSize)} }

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
		e.buffer = append(e.buffer, b...)
		switch {
		case len(e.buffer) > maxEvent:
			return fmt.Errorf("an event of more than %d bytes", maxEvent)
		case err == nil:
			return nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return err
		}
	}
}

// Buffered reports whether bytes of the next event are here already.
func (e *Events) Buffered() bool { return e.reader.Buffered() > 0 }
