package engine_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const prompt = "Summarise the intake log tokens=20 today"

func newClient(t *testing.T) *engine.Client {
	t.Helper()
	c := engine.NewClient(engine.Settings{DialTimeout: time.Second, FirstTokenTimeout: 5 * time.Second, ProgressTimeout: 100 * time.Millisecond, MaxReplyBytes: 1 << 20})
	t.Cleanup(c.Close)
	return c
}

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort()
}

// startEngine runs an engine until the test ends.
func startEngine(t *testing.T, f standin.EngineFaults) netip.AddrPort {
	t.Helper()
	e := standin.NewEngine(standin.EngineOptions{ID: "e", Versions: []string{"m@1"}, Slots: 4, CachedPrefixes: 4})
	e.SetFaults(f)
	l, a := listen(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Serve(l)
	}()
	t.Cleanup(func() {
		e.Close()
		<-done
	})
	return a
}

// Guards whole-answer and the version check: a fault must never look like the end of a complete answer.
func TestStreamFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults standin.EngineFaults
		kind   engine.ErrorKind
		tokens int
	}{
		"died":          {standin.EngineFaults{CrashAfterTokens: 7}, engine.ErrConnectionLost, 7},
		"silent":        {standin.EngineFaults{StallAfterTokens: 7}, engine.ErrTimeout, 7},
		"truncated":     {standin.EngineFaults{TruncateAfterTokens: 7}, engine.ErrConnectionLost, 7},
		"wrong version": {standin.EngineFaults{ClaimedVersion: "m@2"}, engine.ErrWrongVersion, 0},
		"error status":  {standin.EngineFaults{ErrorShare: 1}, engine.ErrStatus, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var b strings.Builder
			q := engine.ChatRequest{Model: "m@1", Messages: []engine.Message{{Role: "user", Content: prompt}}}
			_, err := newClient(t).Stream(t.Context(), startEngine(t, c.faults), "r", q, func(s string) error {
				b.WriteString(s)
				return nil
			})
			var e *engine.Error
			if !errors.As(err, &e) || e.Kind != c.kind {
				t.Errorf("got %v, want %s", err, c.kind)
			}
			if want := standin.AnswerText("m@1", prompt, c.tokens); b.String() != want {
				t.Errorf("got %q, want %q", b.String(), want)
			}
		})
	}
}

// Guards against a gap or a repetition in an answer that is continued: its text equals that of an uninterrupted answer.
// A fault of this kind: a chunk without text repeated the text of the previous chunk.
func TestStreamContinues(t *testing.T) {
	a, c := startEngine(t, standin.EngineFaults{}), newClient(t)
	whole := standin.AnswerText("m@1", prompt, 20)
	for have := range 20 {
		q := engine.ChatRequest{Model: "m@1", Messages: []engine.Message{{Role: "user", Content: prompt}}}
		text := standin.AnswerText("m@1", prompt, have)
		if have > 0 {
			q.Messages = append(q.Messages, engine.Message{Role: "assistant", Content: text})
			q.ContinueFinal = true
		}
		r, err := c.Stream(t.Context(), a, "r", q, func(s string) error {
			text += s
			return nil
		})
		if err != nil || text != whole || r.Finish != engine.FinishStop {
			t.Fatalf("after %d tokens: got %q, %v", have, text, err)
		}
	}
}

// Guards at-most-once: if a pooled connection fails, net/http repeats a request with an Idempotency-Key on another one.
// An order must therefore be sent on a connection of its own.
func TestLineSendsOnce(t *testing.T) {
	l, a := listen(t)
	var received atomic.Int64
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			return
		}
		received.Add(1)
		panic(http.ErrAbortHandler)
	})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	c := newClient(t)
	if _, err := c.CallService(t.Context(), a, engine.ServiceCall{Method: http.MethodGet, Path: "/"}, time.Second); err != nil {
		t.Fatal(err) // leaves an idle connection in the pool
	}
	line, err := c.Connect(t.Context(), a)
	if err != nil {
		t.Fatal(err)
	}
	_, err = line.Call(t.Context(), engine.ServiceCall{Method: http.MethodPost, Path: "/orders", Key: "k", Body: []byte("{}")}, time.Second)
	var e *engine.Error
	if !errors.As(err, &e) || e.Kind != engine.ErrConnectionLost {
		t.Errorf("got %v, want %s", err, engine.ErrConnectionLost)
	}
	_ = s.Close()
	<-done
	if n := received.Load(); n != 1 {
		t.Errorf("the order was sent %d times", n)
	}
}

// Guards not-run-is-true: ErrRefused is only reported if no connection was established.
func TestConnectRefused(t *testing.T) {
	l, a := listen(t)
	_ = l.Close()
	_, err := newClient(t).Connect(context.Background(), a)
	var e *engine.Error
	if !errors.As(err, &e) || e.Kind != engine.ErrRefused {
		t.Errorf("got %v, want %s", err, engine.ErrRefused)
	}
}

// TestRepeatedReply guards against a caller that receives a reply to an earlier call, because an endpoint sent that reply once
// more on a connection that is in use again.
func TestRepeatedReply(t *testing.T) {
	l, a := listen(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveRepeating(conn)
		}
	}()
	defer func() {
		_ = l.Close()
		<-done
	}()
	c := newClient(t)
	defer c.Close()
	for i := range 6 {
		call := engine.ServiceCall{Method: http.MethodGet, Path: "/", ID: fmt.Sprint("call-", i)}
		r, err := c.CallService(t.Context(), a, call, time.Second)
		checkOwn(t, call.ID, string(r.Body), err)
	}
	for i := range 6 {
		id, text := fmt.Sprint("chat-", i), ""
		q := engine.ChatRequest{Model: "m@1", Messages: []engine.Message{{Role: "user", Content: prompt}}}
		_, err := c.Stream(t.Context(), a, id, q, func(s string) error {
			text += s
			return nil
		})
		checkOwn(t, id, text, err)
	}
}

// checkOwn checks that a call has received its own reply, or an error and no text.
func checkOwn(t *testing.T, id, text string, err error) {
	t.Helper()
	var e *engine.Error
	switch {
	case err == nil && text != id:
		t.Errorf("%s received the reply to %s", id, text)
	case err != nil && (text != "" || !errors.As(err, &e) || e.Kind != engine.ErrWrongReply):
		t.Errorf("%s: text %q, error %v", id, text, err)
	}
}

// serveRepeating replies to each request with its identifier. It sends the reply to the request before it once more first.
func serveRepeating(conn net.Conn) {
	defer conn.Close()
	b := bufio.NewReader(conn)
	previous := ""
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(engine.HeaderRequestID)
		body := id
		if r.Method == http.MethodPost {
			body = fmt.Sprintf(`data: {"model":"m@1","choices":[{"delta":{"content":%q},"finish_reason":"stop"}]}`, id) + "\n\n"
		}
		reply := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", engine.HeaderRequestID, id, len(body), body)
		if _, err := io.WriteString(conn, previous+reply); err != nil {
			return
		}
		previous = reply
	}
}
