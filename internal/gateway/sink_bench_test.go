package gateway

import (
	"net/http"
	"testing"

	"github.com/cassiaspoke/cassiaspoke/internal/answer"
)

// discard is a connection that takes everything.
type discard struct{ h http.Header }

func (d discard) Header() http.Header         { return d.h }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}
func (d discard) Flush()                      {}

// BenchmarkSinkText sends a piece of an answer in each step.
func BenchmarkSinkText(b *testing.B) {
	e := newEvents(discard{http.Header{}}, nil, "r", 1<<40)
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
