package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
)

const (
	endlessCalls  = 100      // at once
	endlessMemory = 16 << 20 // bytes; the budget of replies
	endlessTime   = 1500 * time.Millisecond
)

// startEndless runs an endpoint that sends one form until the test ends.
func startEndless(t *testing.T, f standin.EndlessForm) (*standin.EndlessEndpoint, netip.AddrPort) {
	t.Helper()
	e := standin.NewEndlessEndpoint("m@1", f)
	l, a := listen(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Serve(l)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return e, a
}

// peakHeap returns the largest size of the live objects of the heap while run runs, beyond those before.
func peakHeap(run func()) int64 {
	live := func() int64 {
		runtime.GC()
		m := []metrics.Sample{{Name: "/gc/heap/live:bytes"}} // without what was allocated since the collection
		metrics.Read(m)
		return int64(m[0].Value.Uint64())
	}
	before, peak := live(), int64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	for {
		select {
		case <-done:
			return peak
		case <-time.After(50 * time.Millisecond):
			peak = max(peak, live()-before)
		}
	}
}

// kindOf returns the kind of an error of the package, or "".
func kindOf(err error) engine.ErrorKind {
	var e *engine.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// newBoundedClient returns a client with a budget and the limits of the serve command's defaults.
func newBoundedClient(t *testing.T) (*engine.Client, *memory.Budget) {
	b := memory.NewBudget(endlessMemory)
	c := engine.NewClient(engine.Settings{
		DialTimeout: time.Second, FirstTokenTimeout: 10 * time.Second, ProgressTimeout: 5 * time.Second, MaxReplyBytes: 8 << 20, ReplyMemory: b,
	})
	t.Cleanup(c.Close)
	return c, b
}

// TestEndlessReplies guards against replies of services without end, or that stop before their end, that are held without a limit
// on all of them together.
func TestEndlessReplies(t *testing.T) {
	for i, f := range append(standin.EndlessHeads, standin.EndlessBodies...) {
		t.Run(string(f), func(t *testing.T) {
			e, a := startEndless(t, f)
			c, b := newBoundedClient(t)
			peak := peakHeap(func() {
				var w sync.WaitGroup
				for range endlessCalls {
					w.Go(func() {
						r, err := c.CallService(t.Context(), a, engine.ServiceCall{Method: http.MethodGet, Path: "/", ID: "call"}, endlessTime)
						if err == nil {
							t.Errorf("reply with status %d and %d bytes", r.Status, len(r.Body))
						}
					})
				}
				w.Wait()
			})
			t.Logf("peak %d KiB, %d KiB sent", peak>>10, e.Sent()[f]>>10)
			// A call takes less than 200 KiB beside its body, and the bodies take the budget and as much again for buffers that have
			// grown or were released since the last collection.
			most := int64(endlessCalls * 200 << 10)
			if i >= len(standin.EndlessHeads) {
				most += 2 * endlessMemory
			}
			if peak > most {
				t.Errorf("peak %d KiB, more than %d KiB", peak>>10, most>>10)
			}
			if err := b.NewReservation().Grow(b.MaxBodySize()); err != nil {
				t.Errorf("memory of the calls was not released: %v", err)
			}
		})
	}
}

// TestReplyMemory guards against memory that a reply keeps after its release, or gives back before, and against a reply that waits
// for memory until its timeout.
func TestReplyMemory(t *testing.T) {
	const size = 1 << 20
	a := serveText(t, "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n"+strings.Repeat("x", size))
	b := memory.NewBudget(5 << 19)
	c := engine.NewClient(engine.Settings{DialTimeout: time.Second, MaxReplyBytes: 8 << 20, ReplyMemory: b})
	defer c.Close()
	call := func() (engine.ServiceReply, error) {
		return c.CallService(context.Background(), a, engine.ServiceCall{Method: http.MethodGet, Path: "/", ID: "call"}, 10*time.Second)
	}
	first, err := call()
	if err != nil || len(first.Body) != size {
		t.Fatalf("%d bytes, %v", len(first.Body), err)
	}
	begin := time.Now()
	if _, err := call(); kindOf(err) != engine.ErrNoMemory || time.Since(begin) > 2*time.Second {
		t.Errorf("a second reply beside the first: %v after %v", err, time.Since(begin))
	}
	first.Release()
	second, err := call()
	if err != nil || len(second.Body) != size {
		t.Errorf("after the release: %d bytes, %v", len(second.Body), err)
	}
	second.Release()
}

// TestHeadOfLargeReply guards against refusing the reply to a HEAD request because of a length that is not sent.
func TestHeadOfLargeReply(t *testing.T) {
	a := serveText(t, "HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n")
	c, _ := newBoundedClient(t)
	r, err := c.CallService(t.Context(), a, engine.ServiceCall{Method: http.MethodHead, Path: "/", ID: "call"}, 5*time.Second)
	if err != nil || r.Status != http.StatusOK || len(r.Body) != 0 {
		t.Errorf("status %d, %d bytes, %v", r.Status, len(r.Body), err)
	}
	r.Release()
}

// TestEndlessHeadIsNoCrash guards against taking a head without end for the crash of the endpoint, which would count against the
// content of its requests.
func TestEndlessHeadIsNoCrash(t *testing.T) {
	for _, f := range []standin.EndlessForm{standin.EndlessStatusLine, standin.EndlessField, standin.EndlessFields, standin.EndlessInterim} {
		t.Run(string(f), func(t *testing.T) {
			_, a := startEndless(t, f)
			c, _ := newBoundedClient(t)
			q := engine.ChatRequest{Model: "m@1", Messages: []engine.Message{{Role: "user", Content: prompt}}}
			if _, err := c.Stream(t.Context(), a, "chat", q, func(string) error { return nil }); kindOf(err) != engine.ErrTruncated {
				t.Errorf("stream: %v", err)
			}
			call := engine.ServiceCall{Method: http.MethodPost, Path: "/", ID: "call", Key: "key"}
			if _, err := c.CallService(t.Context(), a, call, 5*time.Second); kindOf(err) != engine.ErrTruncated {
				t.Errorf("call: %v", err)
			}
			s, err := c.Connect(t.Context(), a)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := s.Call(t.Context(), call, 5*time.Second); kindOf(err) != engine.ErrTruncated {
				t.Errorf("call that must not be repeated: %v", err)
			}
		})
	}
}

// TestLargestHead guards against refusing a head within the limits, counting the lines of a body as fields, and applying what is left
// of one head to the next one on the same connection.
func TestLargestHead(t *testing.T) {
	lines := strings.Repeat("line\n", 10_000)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		for i := range 240 {
			w.Header().Set(fmt.Sprint("X-Field-", i), strings.Repeat("x", 100))
		}
		_, _ = io.WriteString(w, lines)
	}))
	defer s.Close()
	c, _ := newBoundedClient(t)
	for i := range 5 {
		r, err := c.CallService(t.Context(), s.Listener.Addr().(*net.TCPAddr).AddrPort(), engine.ServiceCall{Method: http.MethodGet, Path: "/", ID: "call"}, 5*time.Second)
		if err != nil || string(r.Body) != lines || len(r.Header) < 240 {
			t.Fatalf("reply %d: %d bytes, %d fields, %v", i, len(r.Body), len(r.Header), err)
		}
		r.Release()
	}
}

// TestEndlessStream guards against a stream without end that is read until the deadline of its request.
func TestEndlessStream(t *testing.T) {
	for _, f := range []standin.EndlessForm{standin.EndlessText, standin.EndlessTiny, standin.EndlessComments} {
		t.Run(string(f), func(t *testing.T) {
			e, a := startEndless(t, f)
			c, _ := newBoundedClient(t)
			q := engine.ChatRequest{Model: "m@1", MaxTokens: 1000, Messages: []engine.Message{{Role: "user", Content: prompt}}}
			begin := time.Now()
			r, err := c.Stream(t.Context(), a, "chat", q, func(string) error { return nil })
			if kindOf(err) != engine.ErrEndless || r.Tokens > 1100 || time.Since(begin) > 3*time.Second {
				t.Errorf("%d tokens, %v after %v, %d KiB sent", r.Tokens, err, time.Since(begin), e.Sent()[f]>>10)
			}
		})
	}
}

// TestLongestStream guards against cutting off an answer with as many tokens as it may have, with keep-alive comments between them.
func TestLongestStream(t *testing.T) {
	const tokens = 2000
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	event := func(choice string) { fmt.Fprintf(&b, "data: {\"model\":\"m@1\",\"choices\":[%s]}\n\n", choice) }
	event(`{"delta":{"role":"assistant","content":""}}`)
	for range tokens {
		b.WriteString(strings.Repeat(": keep-alive\n\n", 20))
		event(`{"delta":{"content":"x"}}`)
	}
	event(`{"delta":{},"finish_reason":"length"}`)
	event("")
	b.WriteString("data: [DONE]\n\n")
	c, _ := newBoundedClient(t)
	q := engine.ChatRequest{Model: "m@1", MaxTokens: tokens, Messages: []engine.Message{{Role: "user", Content: prompt}}}
	r, err := c.Stream(t.Context(), serveText(t, b.String()), "chat", q, func(string) error { return nil })
	if err != nil || r.Tokens != tokens || r.Finish != engine.FinishLength {
		t.Errorf("%d tokens, finish %q, %v", r.Tokens, r.Finish, err)
	}
}

// TestEndlessEvents guards against streams whose events are held without a limit on all of them together.
func TestEndlessEvents(t *testing.T) {
	for _, f := range standin.EndlessStreams {
		t.Run(string(f), func(t *testing.T) {
			e, a := startEndless(t, f)
			c, b := newBoundedClient(t)
			peak := peakHeap(func() {
				var w sync.WaitGroup
				for range endlessCalls {
					w.Go(func() {
						ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
						defer cancel()
						q := engine.ChatRequest{Model: "m@1", MaxTokens: 1000, Messages: []engine.Message{{Role: "user", Content: prompt}}}
						if _, err := c.Stream(ctx, a, "chat", q, func(string) error { return nil }); err == nil {
							t.Error("the stream ended as if it were complete")
						}
					})
				}
				w.Wait()
			})
			t.Logf("peak %d KiB, %d KiB sent", peak>>10, e.Sent()[f]>>10)
			if most := int64(2*endlessMemory + endlessCalls*200<<10); peak > most {
				t.Errorf("peak %d KiB, more than %d KiB", peak>>10, most>>10)
			}
			if err := b.NewReservation().Grow(b.MaxBodySize()); err != nil {
				t.Errorf("memory of the streams was not released: %v", err)
			}
		})
	}
}

// TestLargestEvent guards against refusing or changing a large event while there is room for it.
func TestLargestEvent(t *testing.T) {
	text := strings.Repeat("x", 1000<<10)
	event := fmt.Sprintf(`data: {"model":"m@1","choices":[{"delta":{"content":%q},"finish_reason":"stop"}]}`+"\n\n", text)
	a := serveText(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"+event+event+"data: [DONE]\n\n")
	c, b := newBoundedClient(t)
	q := engine.ChatRequest{Model: "m@1", MaxTokens: 10, Messages: []engine.Message{{Role: "user", Content: prompt}}}
	got := 0
	_, err := c.Stream(t.Context(), a, "chat", q, func(s string) error {
		if s == text {
			got++
		}
		return nil
	})
	if err != nil || got != 2 {
		t.Errorf("%d of 2 events, %v", got, err)
	}
	if err := b.NewReservation().Grow(b.MaxBodySize()); err != nil {
		t.Errorf("memory of the stream was not released: %v", err)
	}
}
