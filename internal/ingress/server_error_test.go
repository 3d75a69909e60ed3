package ingress

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/canary"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// TestServerErrorOfNewVersion guards against a version that is blamed for requests that fail on any version, and against a client
// that gets the error of a new version although the version in use would serve its request.
func TestServerErrorOfNewVersion(t *testing.T) {
	const duration, requests = time.Minute, 60
	for name, c := range map[string]struct {
		failing    map[string]bool // versions
		wantStatus int
		wantState  routing.RolloutState
	}{
		"sound":                  {nil, http.StatusOK, routing.RolloutRunning},
		"new version fails":      {map[string]bool{"v2": true}, http.StatusOK, routing.RolloutRolledBack},
		"request fails anywhere": {map[string]bool{"v1": true, "v2": true}, http.StatusInternalServerError, routing.RolloutRunning},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var versions sync.Map // by the address of the endpoint
			i, url := newServingIngress(t, headerProtocol{func() {}}, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				v, _ := versions.Load(r.Context().Value(http.LocalAddrContextKey).(net.Addr).String())
				if s, _ := v.(string); c.failing[s] {
					w.WriteHeader(http.StatusInternalServerError)
				}
			})
			b := i.balancer
			b.options.Retries.MinRetries = 2 * requests
			r := canary.New(canary.DefaultSettings(0.5, 0))
			b.rollouts[testService] = r
			endpoints := b.services[testService]
			for n, v := range []string{"v1", "v2"} {
				endpoints[n].Version = v
				versions.Store(endpoints[n].Address.String(), v)
			}
			b.setEndpoints(map[string][]routing.Endpoint{testService: endpoints})
			r.ApplyOrder(time.Now().Add(-duration*6/10), routing.RolloutOrder{Service: testService, Target: "v2", Duration: duration}, false)
			r.SetStateRead()
			for n := range requests {
				q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/call/x", nil)
				if err != nil {
					t.Fatal(err)
				}
				q.Host = "host"
				q.Header.Set("Id", fmt.Sprint("request-", n))
				resp, err := http.DefaultClient.Do(q)
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				if resp.StatusCode != c.wantStatus {
					t.Fatalf("request %d: status %d, want %d", n, resp.StatusCode, c.wantStatus)
				}
			}
			if _, state, reason := r.Status(); state != c.wantState {
				t.Errorf("%s (%s), want %s; %s", state, reason, c.wantState, r.Totals(testService, nil))
			}
		})
	}
}
