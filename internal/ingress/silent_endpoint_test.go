package ingress

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// firstByteTestTimeout is more than the timeout for the first byte of the routes of newServingIngress.
const firstByteTestTimeout = testObjective + firstByteMargin

// silentEngines serve the request that comes nth late, and refuse the later ones. Earlier ones get the first event and a broken connection.
type silentEngines struct {
	silent   int32
	begin    chan struct{} // closed when the late response begins
	requests atomic.Int32
}

// ServeHTTP serves one request.
func (e *silentEngines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := e.requests.Add(1)
	w.Header().Set("Id", r.Header.Get("Id"))
	if n > e.silent {
		w.Header().Set("Refused", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	if n < e.silent {
		_, _ = io.WriteString(w, testEvent(1))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	<-e.begin
	for k := int(e.silent); k <= 2; k++ {
		_, _ = io.WriteString(w, testEvent(k))
	}
}

// TestSilentEndpoint guards against giving up a request because its endpoint has not begun to respond, before another one has taken it:
// the caller got a 502 or, if an earlier endpoint had broken off, the beginning of a stream.
func TestSilentEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		silent int32
	}{
		"call":             {"/call/x", 1},
		"stream":           {"/stream/x", 1},
		"rest of a stream": {"/stream/x", 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &silentEngines{silent: c.silent, begin: make(chan struct{})}
			i, url := newServingIngress(t, refusingProtocol{headerProtocol: headerProtocol{func() {}}}, e.ServeHTTP)
			setTestEndpoints(t, i, 3, e)
			time.AfterFunc(2*firstByteTestTimeout, func() { close(e.begin) })
			status, body := post(t, url+c.path)
			if want := testEvent(1) + testEvent(2); status != http.StatusOK || body != want {
				t.Errorf("status %d, body %q, want %q; the endpoints got %d requests", status, body, want, e.requests.Load())
			}
		})
	}
}

// setTestEndpoints replaces the endpoints of newServingIngress.
func setTestEndpoints(t *testing.T, i *Ingress, n int, h http.Handler) {
	t.Helper()
	var endpoints []routing.Endpoint
	for k := range n {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		endpoints = append(endpoints, routing.Endpoint{
			ID: fmt.Sprint("engine-", k), Service: testService, Address: netip.MustParseAddrPort(s.Listener.Addr().String()),
			AvailabilityZone: "zone", Slots: 4, Sequence: 2,
		})
	}
	i.balancer.setEndpoints(map[string][]routing.Endpoint{testService: endpoints})
}

// post sends a request and returns the status and what arrives of the body.
func post(t *testing.T, url string) (int, string) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "host"
	q.Header.Set("Id", "request")
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("after %d bytes: %v", len(b), err)
	}
	return resp.StatusCode, string(b)
}

// TestSilentEndpointGivenUp guards against a request that runs at two endpoints for long: at the one that was silent after another one has
// taken it, or at that one after the silent one has responded.
func TestSilentEndpointGivenUp(t *testing.T) {
	const longest = 300 * time.Millisecond // the endpoint needs some of the 400 ms for which both may run
	for name, c := range map[string]struct {
		path      string
		responds  int // endpoint that responds after the second one has the request
		wantEnded int
	}{
		"call, second endpoint responds":   {"/call/x", 2, 1},
		"call, first endpoint responds":    {"/call/x", 1, 2},
		"stream, second endpoint responds": {"/stream/x", 2, 1},
		"stream, first endpoint responds":  {"/stream/x", 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int32
			moved := make(chan time.Time, 1)
			ended := make(chan int, 2)
			_, url := newServingIngress(t, refusingProtocol{headerProtocol: headerProtocol{func() {}}}, func(w http.ResponseWriter, r *http.Request) {
				n := int(requests.Add(1))
				if n == 2 {
					moved <- time.Now()
				}
				w.Header().Set("Id", r.Header.Get("Id"))
				if n != c.responds {
					<-r.Context().Done()
					ended <- n
					return
				}
				at := <-moved
				moved <- at
				time.Sleep(refusalWindow / 3) // the first endpoint is still kept
				if strings.HasPrefix(c.path, "/stream/") {
					w.Header().Set("Content-Type", "text/event-stream")
				}
				_, _ = io.WriteString(w, testEvent(n))
			})
			if status, body := post(t, url+c.path); status != http.StatusOK || body != testEvent(c.responds) {
				t.Errorf("status %d, body %q of endpoint %d", status, body, c.responds)
			}
			select {
			case n := <-ended:
				if d := time.Since(<-moved); n != c.wantEnded || d > longest {
					t.Errorf("the request ended at endpoint %d after %v at both, want endpoint %d within %v", n, d, c.wantEnded, longest)
				}
			case <-time.After(5 * time.Second):
				t.Error("the request goes on at an endpoint whose response nobody waits for")
			}
			if n := requests.Load(); n != 2 {
				t.Errorf("%d requests to endpoints, want 2", n)
			}
		})
	}
}
