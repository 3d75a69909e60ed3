package ingress

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// TestRouteMovesAfterStallTimeout guards against an answer that is dropped without another attempt: the stall timeout cancelled the
// attempt, as the configuration allowed another one, and a configuration without the route came into force before that was made.
func TestRouteMovesAfterStallTimeout(t *testing.T) {
	for name, path := range map[string]string{"stream": "/stream/x", "call": "/call/x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var i *Ingress
			var url string
			var crossing sync.Once
			protocol := headerProtocol{func() {
				crossing.Do(func() {
					time.Sleep(testObjective + firstByteMargin) // until the timeout has cancelled the attempt
					v := *i.snapshot.Load()
					c := &routing.Configuration{Version: v.configuration.Version + 1, Services: v.configuration.Services}
					for _, r := range v.configuration.Routes {
						r.Prefix = "/moved" + r.Prefix
						c.Routes = append(c.Routes, r)
					}
					c.BuildIndex()
					v.configuration = c
					i.snapshot.Store(&v)
				})
			}}
			i, url = newServingIngress(t, protocol, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				_, _ = io.WriteString(w, "answer")
			})
			q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+path, nil)
			if err != nil {
				t.Fatal(err)
			}
			q.Host = "host"
			q.Header.Set("Id", "crossing")
			resp, err := http.DefaultClient.Do(q)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if b, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK || string(b) != "answer" {
				t.Errorf("status %d, body %q, error %v", resp.StatusCode, b, err)
			}
		})
	}
}
