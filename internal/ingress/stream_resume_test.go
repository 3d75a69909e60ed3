package ingress

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestEventsWithoutIdentifiers guards against a stream whose events come twice: without an identifier of the last event that the client
// has, another endpoint begins the stream again.
func TestEventsWithoutIdentifiers(t *testing.T) {
	const first, second, named = "data: first\n\n", "data: second\n\n", "id: 1\ndata: first\n\n"
	for name, c := range map[string]struct {
		begun  string // what the first endpoint sends before it breaks off
		whole  string // what an endpoint sends otherwise
		client string // identifier of the last event of an earlier request of the client
		want   string
	}{
		"no event has one":         {begun: first, whole: first + second, want: first},
		"the last event has none":  {begun: named + second, whole: named + second, want: named + second},
		"only the client sent one": {begun: first, whole: first + second, client: "7", want: first},
		"only a comment came":      {begun: ": wait\n\n", whole: first + second, want: ": wait\n\n" + first + second},
	} {
		t.Run(name, func(t *testing.T) {
			requests := make(chan struct{}, 10)
			_, url := newServingIngress(t, refusingProtocol{headerProtocol: headerProtocol{func() {}}}, func(w http.ResponseWriter, r *http.Request) {
				requests <- struct{}{}
				w.Header().Set("Id", r.Header.Get("Id"))
				w.Header().Set("Content-Type", "text/event-stream")
				if len(requests) == 1 {
					_, _ = io.WriteString(w, c.begun)
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, c.whole)
			})
			var header []string
			if c.client != "" {
				header = []string{"Last-Event-Id", c.client}
			}
			done, _ := startStream(t, url, header...)
			got, complete := <-done, strings.HasPrefix(c.begun, ":")
			if got.body != c.want || (got.err == nil) != complete {
				t.Errorf("got %q (error %v) after %d requests to endpoints, want %q, complete: %v", got.body, got.err, len(requests), c.want, complete)
			}
		})
	}
}
