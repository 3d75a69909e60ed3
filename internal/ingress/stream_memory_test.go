package ingress

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/memory"
)

// TestStreamWithoutResponseMemory guards against cutting a stream of a sound endpoint, whose client has the first events, because other
// responses hold the memory for a longer event for a moment.
func TestStreamWithoutResponseMemory(t *testing.T) {
	t.Parallel()
	begun, freed := make(chan struct{}), make(chan struct{})
	second := "id: 2\ndata: " + strings.Repeat("x", 200) + "\n\n"
	i, url := newServingIngress(t, refusingProtocol{headerProtocol: headerProtocol{func() {}}}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		if r.Header.Get("Last-Event-Id") != "" {
			w.Header().Set("Refused", "full")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, testEvent(1))
		_ = http.NewResponseController(w).Flush()
		<-begun
		_, _ = io.WriteString(w, second)
	})
	done, parts := startStream(t, url)
	<-parts
	budget := i.options.ResponseMemory
	var others []*memory.Reservation
	for n := int64(1 << 19); n > 0; n /= 2 {
		for {
			r := budget.NewReservation()
			if r.Grow(n) != nil {
				break
			}
			others = append(others, r)
		}
	}
	close(begun)
	go func() {
		defer close(freed)
		time.Sleep(100 * time.Millisecond)
		for _, r := range others {
			r.Release()
		}
	}()
	want := testEvent(1) + second
	if got := <-done; got.err != nil || got.body != want {
		t.Errorf("status %d, error %v, %d bytes of %d", got.status, got.err, len(got.body), len(want))
	}
	<-freed
}
