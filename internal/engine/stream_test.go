package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// streamBody returns the body of a stream with n chunks of text and a final chunk.
func streamBody(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `data: {"id":"chatcmpl-0","object":"chat.completion.chunk","created":1,"model":"m@1","choices":[{"index":0,"delta":{"content":"token%d "}}]}`+"\n\n", i%10)
	}
	b.WriteString(`data: {"id":"chatcmpl-0","object":"chat.completion.chunk","created":1,"model":"m@1","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":2}}` + "\n\ndata: [DONE]\n\n")
	return b.Bytes()
}

func readAll(data []byte, onText func(string) error) (Result, error) {
	_, w := startWatchdog(context.Background(), time.Minute)
	defer w.stop()
	s := streamReader{version: "m@1", onText: onText, watchdog: w, progress: time.Minute, start: time.Now()}
	err := s.read(context.Background(), bufio.NewReaderSize(bytes.NewReader(data), 4096))
	return s.result, err
}

// Guards against text that is lost, repeated or left over from the previous chunk, because the decoder reuses its memory.
func TestRead(t *testing.T) {
	var b strings.Builder
	r, err := readAll(streamBody(12), func(s string) error { b.WriteString(s); return nil })
	want := "token0 token1 token2 token3 token4 token5 token6 token7 token8 token9 token0 token1 "
	if err != nil || b.String() != want || r.Finish != FinishStop || r.Tokens != 12 || r.Usage.Output != 2 {
		t.Errorf("got %q, %+v, %v", b.String(), r, err)
	}
}

// Guards against a malformed chunk that is accepted as a piece of the answer.
func TestReadMalformed(t *testing.T) {
	good, _, _ := strings.Cut(string(streamBody(1)), "\n")
	for name, line := range map[string]string{
		"cut":      good[:len(good)-3],
		"trailing": good + " {}",
		"no JSON":  "data: hello",
		"array":    "data: []",
	} {
		t.Run(name, func(t *testing.T) {
			n := 0
			_, err := readAll([]byte(good+"\n\n"+line+"\n\n"+string(streamBody(1))), func(string) error { n++; return nil })
			var e *Error
			if !errors.As(err, &e) || e.Kind != ErrTruncated || n != 1 {
				t.Errorf("got %d pieces and %v, want 1 and %s", n, err, ErrTruncated)
			}
		})
	}
}

// TestManyChoices guards against an event whose choices, of which only one was asked for, take many times the memory of its text.
func TestManyChoices(t *testing.T) {
	text := []byte(`data: {"model":"m@1","choices":[{"delta":{"content":"text"},"finish_reason":"stop"}` + strings.Repeat(",{}", 300_000) + "]}\n\n")
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	got := ""
	r, err := readAll(text, func(s string) error { got += s; return nil })
	runtime.ReadMemStats(&after)
	if err != nil || got != "text" || r.Finish != FinishStop {
		t.Errorf("got %q, %+v, %v", got, r, err)
	}
	if n := after.TotalAlloc - before.TotalAlloc; n > 10<<20 {
		t.Errorf("%d bytes allocated for an event of %d", n, len(text))
	}
}

// BenchmarkRead reads one chunk of a stream per iteration.
func BenchmarkRead(b *testing.B) {
	data := streamBody(b.N)
	b.ReportAllocs()
	b.ResetTimer()
	if _, err := readAll(data, func(string) error { return nil }); err != nil {
		b.Fatal(err)
	}
}
