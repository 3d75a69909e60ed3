package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

var errTrailing = errors.New("text follows the chunk")

// lines decodes chunks one by one with one decoder: json.Unmarshal would allocate its state for each.
type lines struct {
	line    []byte
	fed     int64
	decoder *json.Decoder
}

func newLines() *lines {
	l := &lines{}
	l.decoder = json.NewDecoder(l)
	return l
}

// Read gives the decoder what is left of the line.
func (l *lines) Read(p []byte) (int, error) {
	if len(l.line) == 0 {
		return 0, io.EOF
	}
	n := copy(p, l.line)
	l.line = l.line[n:]
	return n, nil
}

// decode reads the chunk that fills a line; after an error the lines are of no further use.
func (l *lines) decode(data []byte, c *chunk) error {
	l.line = bytes.TrimSpace(data)
	l.fed += int64(len(l.line))
	if err := l.decoder.Decode(c); err != nil {
		return err
	}
	if l.decoder.InputOffset() != l.fed {
		return errTrailing
	}
	return nil
}
