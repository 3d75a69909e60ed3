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
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// signer signs the token that a caller returns with the next request of its session.
type signer interface {
	Sign(t session.Token) string
}

// headers tells the caller how its answer is made.
func headers(w http.ResponseWriter, s signer, id string, st answer.StreamInfo) {
	h := w.Header()
	h.Set(engine.HeaderRequestID, id)
	h.Set(client.HeaderVersion, st.Version)
	if st.InSession {
		h.Set(client.HeaderSession, s.Sign(st.Token))
	}
	if st.MoveReason != "" {
		h.Set(client.HeaderSessionChanged, st.MoveReason)
	}
}

// whole collects an answer that is sent at its end.
type whole struct {
	limit int64
	start answer.StreamInfo
	text  strings.Builder
}

// Start notes how the answer is made.
func (s *whole) Start(st answer.StreamInfo) error {
	s.start = st
	return nil
}

// WriteText adds a piece of the answer.
func (s *whole) WriteText(t, _ string) error {
	if int64(s.text.Len()+len(t)) > s.limit {
		return &Error{Op: "collect", Kind: client.CodeIncomplete, Err: errTooLong}
	}
	s.text.WriteString(t)
	return nil
}

// events streams an answer as server-sent events. The last event, which makes the answer whole, is sent by finish.
type events struct {
	w       http.ResponseWriter
	control *http.ResponseController
	signer  signer
	clock   *timeline.Clock
	id      string
	created int64
	limit   int64
	sent    int64
	started bool
	buffer  bytes.Buffer
	encoder *json.Encoder
	chunk   engine.Completion
	delta   engine.Delta
	choices [1]engine.Choice
}

func newEvents(w http.ResponseWriter, s signer, id string, limit int64) *events {
	e := &events{w: w, control: http.NewResponseController(w), signer: s, id: id, created: time.Now().Unix(), limit: limit}
	e.encoder = json.NewEncoder(&e.buffer)
	e.choices[0].Delta = &e.delta
	e.chunk = engine.Completion{ID: id, Object: "chat.completion.chunk", Created: e.created, Choices: e.choices[:]}
	return e
}

// Start sends the header of the reply.
func (e *events) Start(st answer.StreamInfo) error {
	e.started = true
	headers(e.w, e.signer, e.id, st)
	e.clock.Outgoing(e.w.Header())
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
	return nil
}

// WriteText sends a piece of the answer.
func (e *events) WriteText(t, version string) error {
	if e.sent += int64(len(t)); e.sent > e.limit {
		return &Error{Op: "stream", Kind: client.CodeIncomplete, Err: errTooLong}
	}
	e.delta.Content = t
	e.chunk.Model = version
	return e.send(&e.chunk)
}

// finish sends the event that makes the answer whole.
func (e *events) finish(r answer.Result) error {
	e.delta.Content = ""
	e.chunk.Model, e.chunk.Usage = r.Version, &r.Usage
	e.choices[0].Finish = &r.Finish
	if err := e.send(&e.chunk); err != nil {
		return err
	}
	if _, err := e.w.Write([]byte("data: " + engine.DataDone + "\n\n")); err != nil {
		return &Error{Op: "stream", Kind: client.CodeIncomplete, Err: err}
	}
	return nil
}

// fail ends a started stream with an error event and without the final event.
func (e *events) fail(err *Error) {
	_ = e.send(err.body())
}

func (e *events) send(v any) error {
	e.buffer.Reset()
	e.buffer.WriteString("data: ")
	if err := e.encoder.Encode(v); err != nil {
		return &Error{Op: "stream", Kind: client.CodeIncomplete, Err: err}
	}
	e.buffer.WriteByte('\n')
	if _, err := e.w.Write(e.buffer.Bytes()); err != nil {
		return &Error{Op: "stream", Kind: client.CodeIncomplete, Err: err}
	}
	if err := e.control.Flush(); err != nil {
		return &Error{Op: "stream", Kind: client.CodeIncomplete, Err: err}
	}
	return nil
}
