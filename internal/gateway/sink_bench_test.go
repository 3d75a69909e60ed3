package gateway

import (
	"net/http"
	"testing"

	"github.com/cassiaspoke/cassiaspoke/internal/answer"
)

// discardWriter is an http.ResponseWriter that discards the reply.
type discardWriter struct{ h http.Header }

func (d discardWriter) Header() http.Header         { return d.h }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}
func (d discardWriter) Flush()                      {}

// BenchmarkSinkText sends one piece of an answer per iteration.
func BenchmarkSinkText(b *testing.B) {
	e := newEventSink(discardWriter{http.Header{}}, nil, "r", 1<<40)
	if err := e.Start(answer.StreamInfo{Version: "m@1"}); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if err := e.WriteText("token0 ", "m@1"); err != nil {
			b.Fatal(err)
		}
	}
}
