package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
)

// maxEvent bounds one line of a stream, in bytes.
const maxEvent = 1 << 20

// streamEnd is the data of the event after a whole answer.
const streamEnd = "[DONE]"

// Stream is a streamed answer; read it with Next until io.EOF.
type Stream struct {
	body     io.ReadCloser
	lines    *bufio.Scanner
	finished bool // a finish reason has arrived
}

// Stream starts a streamed answer; the caller closes it.
func (c *Caller) Stream(ctx context.Context, q ChatRequest) (*Stream, error) {
	const op = "stream"
	q.Stream = true
	body, err := json.Marshal(q)
	if err != nil {
		return nil, unknown(op, 0, err)
	}
	res, err := c.send(ctx, op, http.MethodPost, chatPath, body) //nolint:bodyclose // Stream.Close closes it
	if err != nil {
		return nil, err
	}
	s := &Stream{body: res.Body, lines: bufio.NewScanner(res.Body)}
	s.lines.Buffer(nil, maxEvent)
	return s, nil
}

// Next returns the next piece. It returns io.EOF only after the whole answer; an *Error with
// CodeIncomplete means that the pieces so far are not the whole answer.
func (s *Stream) Next() (ChatReply, error) {
	for s.lines.Scan() {
		data, ok := bytes.CutPrefix(s.lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == streamEnd {
			if !s.finished {
				return ChatReply{}, incomplete("stream", nil)
			}
			return ChatReply{}, io.EOF
		}
		return s.piece(data)
	}
	return ChatReply{}, incomplete("stream", s.lines.Err())
}

// Text reads the rest of the answer.
func (s *Stream) Text() (string, error) {
	var b strings.Builder
	for {
		r, err := s.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
		for _, c := range r.Choices {
			if c.Delta != nil {
				b.WriteString(c.Delta.Content)
			}
		}
	}
}

// Close ends the stream.
func (s *Stream) Close() error { return s.body.Close() }

func (s *Stream) piece(data []byte) (ChatReply, error) {
	var e streamEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return ChatReply{}, incomplete("stream", err)
	}
	if len(e.Error) > 0 {
		return ChatReply{}, refusal("stream", http.StatusOK, data)
	}
	for _, c := range e.Choices {
		s.finished = s.finished || c.FinishReason != ""
	}
	return e.ChatReply, nil
}
