package forward

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// TestNotAnEvent guards against the text or the head of an error that a client receives among the events of its stream, and
// against events that are taken for such a text.
func TestNotAnEvent(t *testing.T) {
	const first = "id: 1\ndata: x\n\n"
	for name, c := range map[string]struct {
		rest   string
		events int // before the end or the error
		err    error
	}{
		"end":                          {"", 1, io.EOF},
		"comment":                      {":\n\n", 2, io.EOF},
		"empty line":                   {"\n", 2, io.EOF},
		"retry time, line breaks CRLF": {"retry: 5\r\n\r\n", 2, io.EOF},
		"field of the engine":          {"weight-versions: 3\nid: 2\ndata: y\n\n", 2, io.EOF},
		"data without colon":           {"data\n\n", 2, io.EOF},
		"head of a response":           {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno", 1, errNotAnEvent},
		"fields of a head":             {"Content-Length: 2\r\n\r\nno\n\n", 1, errNotAnEvent},
		"text":                         {"the stream failed\n\n", 1, errNotAnEvent},
		"text before an event":         {"failed.\nid: 2\ndata: y\n\n", 1, errNotAnEvent},
		"object":                       {"{\"error\": \"failed\"}\n\n", 1, errNotAnEvent},
		"text without line break":      {"failed", 1, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewEventReader(strings.NewReader(first+c.rest), noLimit)
			n, err := 0, error(nil)
			for {
				if _, err = e.Next(); err != nil {
					break
				}
				n++
			}
			if n != c.events || !errors.Is(err, c.err) {
				t.Errorf("%d events, then %v; want %d, then %v", n, err, c.events, c.err)
			}
		})
	}
}
