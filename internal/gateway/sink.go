package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/answer"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// signer signs the session token that a caller sends with the next request of its session.
type signer interface {
	Sign(t session.Token) string
}

// setAnswerHeaders sets the reply headers that describe an answer.
func setAnswerHeaders(w http.ResponseWriter, s signer, id string, info answer.StreamInfo) {
	h := w.Header()
	h.Set(engine.HeaderRequestID, id)
	h.Set(client.HeaderVersion, info.Version)
	if info.InSession {
		h.Set(client.HeaderSession, s.Sign(info.Token))
	}
	if info.MoveReason != "" {
		h.Set(client.HeaderSessionChanged, info.MoveReason)
	}
}

// collectSink collects an answer that is sent when it is complete.
type collectSink struct {
	limit int64 // maximum bytes of text
	info  answer.StreamInfo
	text  strings.Builder
	// reservation is the memory for the text; nil for no limit.
	reservation *memory.Reservation
}

// Start stores the description of the answer.
func (s *collectSink) Start(info answer.StreamInfo) error {
	s.info = info
	return nil
}

// WriteText appends a piece of the answer.
func (s *collectSink) WriteText(text, _ string) error {
	if int64(s.text.Len()+len(text)) > s.limit {
		return &Error{Op: "collect", Kind: client.CodeIncomplete, Err: errAnswerTooLarge}
	}
	if err := reserveText(s.reservation, len(text)); err != nil {
		return err
	}
	s.text.WriteString(text)
	return nil
}

// eventSink streams an answer as server-sent events. finish sends the last events, which mark the answer as complete.
type eventSink struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	signer  signer
	clock   *timeline.Clock
	id      string
	created int64
	limit   int64 // maximum bytes of text
	sent    int64 // bytes of text so far
	started bool
	buffer  bytes.Buffer // one event; reused, like the fields below
	encoder *json.Encoder
	chunk   engine.Completion
	delta   engine.Delta
	choices [1]engine.Choice
}

func newEventSink(w http.ResponseWriter, s signer, id string, limit int64) *eventSink {
	e := &eventSink{w: w, flusher: http.NewResponseController(w), signer: s, id: id, created: time.Now().Unix(), limit: limit}
	e.encoder = json.NewEncoder(&e.buffer)
	e.choices[0].Delta = &e.delta
	e.chunk = engine.Completion{ID: id, Object: "chat.completion.chunk", Created: e.created, Choices: e.choices[:]}
	return e
}

// Start sends the headers of the reply.
func (e *eventSink) Start(info answer.StreamInfo) error {
	e.started = true
	setAnswerHeaders(e.w, e.signer, e.id, info)
	e.clock.InjectHeader(e.w.Header())
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
	return nil
}

// WriteText sends a piece of the answer.
func (e *eventSink) WriteText(text, version string) error {
	if e.sent += int64(len(text)); e.sent > e.limit {
		return &Error{Op: "stream", Kind: client.CodeIncomplete, Err: errAnswerTooLarge}
	}
	e.delta.Content = text
	e.chunk.Model = version
	return e.sendEvent(&e.chunk)
}

// finish sends the finish reason, the usage and the end of the stream, which mark the answer as complete.
func (e *eventSink) finish(r answer.Result) error {
	e.delta.Content = ""
	e.chunk.Model, e.chunk.Usage = r.Version, &r.Usage
	e.choices[0].Finish = &r.Finish
	if err := e.sendEvent(&e.chunk); err != nil {
		return err
	}
	if _, err := e.w.Write([]byte("data: " + engine.DataDone + "\n\n")); err != nil {
		return &Error{Op: "stream", Kind: client.CodeIncomplete, Err: err}
	}
	return nil
}

// sendError ends the stream with an error event instead of the events that finish sends.
func (e *eventSink) sendError(err *Error) {
	_ = e.sendEvent(err.body())
}

// sendEvent sends one server-sent event with the JSON form of v.
func (e *eventSink) sendEvent(v any) error {
	e.buffer.Reset()
	e.buffer.WriteString("data: ")
	if err := e.encoder.Encode(v); err != nil {
		return &Error{Op: "stream", Kind: client.CodeIncomplete, Err: err}
	}
	e.buffer.WriteByte('\n')
	if _, err := e.w.Write(e.buffer.Bytes()); err != nil {
		return &Error{Op: "stream", Kind: client.CodeIncomplete, Err: err}
	}
	if err := e.flusher.Flush(); err != nil {
		return &Error{Op: "stream", Kind: client.CodeIncomplete, Err: err}
	}
	return nil
}
