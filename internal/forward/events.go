package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

const maxEventBytes = 1 << 20

// errNotAnEvent states that a stream holds something else than events, such as the text or the head of an error.
var errNotAnEvent = errors.New("not an event")

// Event is one server-sent event as received, including the blank line that ends it.
type Event struct {
	Bytes   []byte // valid until the next call of Next
	ID      string // value of the id field, empty if there is none
	HasData bool   // the event carries part of the response and is not only a keep-alive comment
}

// EventReader reads complete events from a stream.
type EventReader struct {
	reader  *bufio.Reader
	buffer  []byte
	reserve func(n int64) error // reserves memory for n more bytes of the buffer
}

// NewEventReader returns a reader of the events in a response body; it calls reserve before its buffer grows by n bytes.
func NewEventReader(r io.Reader, reserve func(n int64) error) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, readBufferSize), reserve: reserve}
}

// Next returns the next event, or io.EOF if the stream ends after a complete event. It fails at lines that form no event.
func (e *EventReader) Next() (Event, error) {
	e.buffer = e.buffer[:0]
	var out Event
	standard := false // a line has a field that the format defines
	for {
		start := len(e.buffer)
		if err := e.readLine(); err != nil {
			if errors.Is(err, io.EOF) && len(e.buffer) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		l := bytes.TrimRight(e.buffer[start:], "\r\n")
		if len(l) == 0 {
			if start > 0 && !standard {
				return Event{}, errNotAnEvent
			}
			out.Bytes = e.buffer
			return out, nil
		}
		name, _, _ := bytes.Cut(l, []byte(":"))
		if !isFieldName(name) {
			return Event{}, errNotAnEvent
		}
		standard = standard || isStandardField(name)
		if v, ok := bytes.CutPrefix(l, []byte("id:")); ok {
			out.ID = string(bytes.TrimSpace(v))
		}
		out.HasData = out.HasData || out.ID != "" || bytes.HasPrefix(l, []byte("data:"))
	}
}

// isFieldName reports whether a name consists of letters, digits, "-" and "_". A comment has an empty name.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if c != '-' && c != '_' && (c < '0' || c > '9') && (c < 'A' || c > 'Z') && (c < 'a' || c > 'z') {
			return false
		}
	}
	return true
}

// isStandardField reports whether the format of event streams defines a field or, for an empty name, a comment. An event may
// have other fields besides.
func isStandardField(name []byte) bool {
	switch string(name) {
	case "", "data", "event", "id", "retry":
		return true
	}
	return false
}

// readLine appends a line and its line break to the buffer.
func (e *EventReader) readLine() error {
	for {
		b, err := e.reader.ReadSlice('\n')
		if len(e.buffer)+len(b) > maxEventBytes {
			return fmt.Errorf("event exceeds %d bytes", maxEventBytes)
		}
		if n := len(e.buffer) + len(b); n > cap(e.buffer) {
			n = max(n, 2*cap(e.buffer))
			if err := e.reserve(int64(n - cap(e.buffer))); err != nil {
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

// Buffered reports whether bytes of the next event have already been read from the stream.
func (e *EventReader) Buffered() bool { return e.reader.Buffered() > 0 }
