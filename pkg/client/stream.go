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

// maxLineBytes limits the length of one line of a stream.
const maxLineBytes = 1 << 20

// streamEndData is the data of the event that follows a complete answer.
const streamEndData = "[DONE]"

// Stream is a streamed answer, read with Next until io.EOF.
type Stream struct {
	body     io.ReadCloser
	lines    *bufio.Scanner
	finished bool // a finish reason has been received
}

// Stream sends a request and returns the streamed answer; the caller closes it.
func (c *Caller) Stream(ctx context.Context, q ChatRequest) (*Stream, error) {
	const op = "stream"
	q.Stream = true
	body, err := json.Marshal(q)
	if err != nil {
		return nil, transportError(op, 0, err)
	}
	res, err := c.send(ctx, op, http.MethodPost, chatPath, body) //nolint:bodyclose // Stream.Close closes it
	if err != nil {
		return nil, err
	}
	s := &Stream{body: res.Body, lines: bufio.NewScanner(res.Body)}
	s.lines.Buffer(nil, maxLineBytes)
	return s, nil
}

// Next returns the next event. It returns io.EOF only after a complete answer; an *Error with CodeIncomplete means that the
// stream ended early.
func (s *Stream) Next() (ChatReply, error) {
	for s.lines.Scan() {
		data, ok := bytes.CutPrefix(s.lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == streamEndData {
			if !s.finished {
				return ChatReply{}, incompleteError("stream", nil)
			}
			return ChatReply{}, io.EOF
		}
		return s.decodeEvent(data)
	}
	return ChatReply{}, incompleteError("stream", s.lines.Err())
}

// Text reads the rest of the stream and returns its text, with an error if the answer is incomplete.
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

// Close closes the stream.
func (s *Stream) Close() error { return s.body.Close() }

// decodeEvent decodes the data of an event; an error in the data is returned as an *Error.
func (s *Stream) decodeEvent(data []byte) (ChatReply, error) {
	var e streamEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return ChatReply{}, incompleteError("stream", err)
	}
	if len(e.Error) > 0 {
		return ChatReply{}, replyError("stream", http.StatusOK, data)
	}
	for _, c := range e.Choices {
		s.finished = s.finished || c.FinishReason != ""
	}
	return e.ChatReply, nil
}
