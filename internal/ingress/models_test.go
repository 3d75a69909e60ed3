package ingress

import (
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// TestModelsRemovedBetweenAttempts guards against a panic, which closes the connection without an answer, when a configuration that
// takes the choice of models from a route comes into force between two attempts.
func TestModelsRemovedBetweenAttempts(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var i *Ingress
	requests := 0
	i, url := newServingIngress(t, refusingProtocol{headerProtocol: headerProtocol{func() {}}}, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		requests++
		w.Header().Set("Id", r.Header.Get("Id"))
		if requests == 1 {
			setModels(i, nil)
			w.Header().Set("Refused", "full")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Confidence", "90")
		_, _ = io.WriteString(w, testEvent(1))
	})
	mu.Lock()
	setModels(i, []string{"small", "large"})
	mu.Unlock()
	done, _ := startStream(t, url, "Model", attributes.AnyModel)
	got := <-done
	mu.Lock()
	defer mu.Unlock()
	if got.err != nil {
		t.Errorf("no answer after %d requests to endpoints: %v", requests, got.err)
	}
}

// setModels publishes a configuration whose routes have other models.
func setModels(i *Ingress, models []string) {
	old := i.snapshot.Load()
	c := &routing.Configuration{Version: old.configuration.Version + 1, Services: old.configuration.Services}
	for _, r := range old.configuration.Routes {
		r.Models = models
		c.Routes = append(c.Routes, r)
	}
	c.BuildIndex()
	v := *old
	v.configuration = c
	i.snapshot.Store(&v)
}
