package ingress

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestRefusalCrossesFirstEvent guards against a stream that is cut after its first event: the event arrived while the content of the
// request was being refused, which cancelled the attempt as one to which no endpoint had begun a response.
func TestRefusalCrossesFirstEvent(t *testing.T) {
	const deaths = 10 // enough to refuse a content
	var i *Ingress
	var hold sync.Once
	begun, end := make(chan struct{}), make(chan struct{})
	protocol := headerProtocol{func() {
		hold.Do(func() {
			i.coordinator.prompts.mu.Lock() // the evidence is being weighed
			close(begun)
		})
	}}
	i, url := newServingIngress(t, protocol, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, testEvent(1))
		_ = http.NewResponseController(w).Flush()
		<-end
	})
	defer close(end)
	config := i.snapshot.Load().configuration
	for n := range config.Routes {
		config.Routes[n].Resumable = false // a resumable stream may also notice the cancellation by its read deadline
	}
	config.BuildIndex()
	go func() {
		<-begun
		time.Sleep(firstByteMargin) // the first event is read
		g, now := i.coordinator.prompts, time.Now()
		defer g.mu.Unlock()
		for a := range g.waiting {
			for n := range uint64(deaths) {
				g.registry.RecordContentDeath(now, n, fmt.Sprint(n), a.exchange.contentID, nil, false)
			}
		}
		g.evaluateLocked(now)
		g.evaluateLocked(now.Add(g.settings.SettleTime))
		if g.registry.RefusedCount() == 0 {
			t.Error("nothing was refused")
		}
	}()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/stream/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "host"
	q.Header.Set("Id", "refused")
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if b, err := io.ReadAll(resp.Body); resp.StatusCode != http.StatusBadGateway || err != nil {
		t.Errorf("status %d, body %q, error %v; want a complete refusal", resp.StatusCode, b, err)
	}
}
