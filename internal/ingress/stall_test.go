package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/admission"
	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/escalation"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/retry"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
	"github.com/cassiaspoke/cassiaspoke/internal/core/stall"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
)

const (
	testService   = "engines"
	testObjective = 400 * time.Millisecond
	lastTestEvent = 6
)

// headerProtocol is a Protocol whose attributes have header fields with their own names. It calls onResponse when the head of a
// response has arrived.
type headerProtocol struct{ onResponse func() }

func (headerProtocol) DecodeRequest(h http.Header) (attributes.ClientRequest, error) {
	return attributes.ClientRequest{ID: h.Get("Id"), Timeout: 10 * time.Second, LastEventID: h.Get("Last-Event-Id")}, nil
}

func (headerProtocol) EndpointRequestHeader(h http.Header, s attributes.EndpointRequest) http.Header {
	out := http.Header{"Id": {h.Get("Id")}}
	if s.LastEventID != "" {
		out.Set("Last-Event-Id", s.LastEventID)
	}
	return out
}

func (p headerProtocol) DecodeResponse(_ int, h http.Header) attributes.Response {
	p.onResponse()
	return attributes.Response{RequestID: h.Get("Id"), Signed: true, Confidence: attributes.NoConfidence, WarmUpRemaining: attributes.UnknownWarmUp}
}

func (headerProtocol) ClientResponseHeader(h http.Header) http.Header {
	return http.Header{"Content-Type": h["Content-Type"]}
}

func (headerProtocol) RefusalHeader(string, time.Duration) http.Header { return http.Header{} }

// newServingIngress returns an instance with two endpoints that h serves, and the address at which it serves a resumable stream
// below /stream/ and a repeatable call below /call/.
func newServingIngress(t *testing.T, p Protocol, h http.HandlerFunc) (*Ingress, string) {
	t.Helper()
	return newCountingIngress(t, p, h, func(net.Conn, http.ConnState) {})
}

// newCountingIngress is newServingIngress with a hook for the connections of the endpoints.
func newCountingIngress(t *testing.T, p Protocol, h http.HandlerFunc, onState func(net.Conn, http.ConnState)) (*Ingress, string) {
	t.Helper()
	budget := func() *memory.Budget { return memory.NewBudget(1 << 20) }
	i := New(Options{
		Protocol: p, Logger: zap.NewNop(), MetricsScope: tally.NoopScope, DroppedLogLines: func() int64 { return 0 },
		Dialer: forward.Dialer{Timeout: time.Second}, MaxIdleConnsPerEndpoint: 1, MaxRequestBytes: 1 << 10, MaxResponseBytes: 1 << 10,
		RequestMemory: budget(), ResponseMemory: budget(), Placement: placement.DefaultSettings("zone"), Escalation: escalation.DefaultSettings(),
		Admission: admission.DefaultSettings(), Stall: stall.DefaultSettings(), Retries: retry.Settings{Window: time.Minute, MinRetries: 10},
	})
	t.Cleanup(i.pool.Close)
	var endpoints []routing.Endpoint
	for n := range 2 {
		s := httptest.NewUnstartedServer(h)
		s.Config.ConnState = onState
		s.Start()
		t.Cleanup(s.Close)
		endpoints = append(endpoints, routing.Endpoint{
			ID: fmt.Sprint("engine-", n), Service: testService, Address: netip.MustParseAddrPort(s.Listener.Addr().String()),
			AvailabilityZone: "zone", Slots: 4, Sequence: 1,
		})
	}
	services := map[string]routing.Service{testService: {}}
	i.balancer.setServices(services)
	i.balancer.setEndpoints(map[string][]routing.Endpoint{testService: endpoints})
	route := routing.Route{
		Host: "host", Prefix: "/call/", Kind: routing.Idempotent, LatencyObjective: testObjective, GapObjective: testObjective,
		Shares: []routing.ServiceShare{{Service: testService, Weight: 1}}, MaxAttempts: 3, Public: true,
	}
	stream := route
	stream.Prefix, stream.Kind, stream.Resumable = "/stream/", routing.Stream, true
	c := &routing.Configuration{Routes: []routing.Route{route, stream}, Services: services}
	c.BuildIndex()
	i.snapshot.Store(&snapshot{configuration: c, registryRead: true})
	s := httptest.NewServer(i.handler)
	t.Cleanup(s.Close)
	return i, s.URL
}

// TestResponseCrossesStallTimeout guards against a response that is cut off because its first bytes arrive while the timeout for
// them is being handled: the timeout cancelled the attempt that had just begun to deliver, and no other one was made.
func TestResponseCrossesStallTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		path         string
		timeoutFirst bool // the attempt is cancelled before the response is taken
	}{
		"stream":                {"/stream/x", false},
		"call":                  {"/call/x", false},
		"stream, timeout first": {"/stream/x", true},
		"call, timeout first":   {"/call/x", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var delay sync.Once
			protocol := headerProtocol{func() {
				if c.timeoutFirst {
					delay.Do(func() { time.Sleep(testObjective + firstByteMargin) })
				}
			}}
			arrived, begin, end := make(chan struct{}, 10), make(chan struct{}), make(chan struct{})
			var conns atomic.Int32
			countConn := func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					conns.Add(1)
				}
			}
			i, url := newCountingIngress(t, protocol, func(w http.ResponseWriter, r *http.Request) {
				arrived <- struct{}{}
				<-begin
				w.Header().Set("Id", r.Header.Get("Id"))
				after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				if strings.HasPrefix(c.path, "/stream/") {
					w.Header().Set("Content-Type", "text/event-stream")
				}
				for n := after + 1; n <= lastTestEvent; n++ {
					_, _ = io.WriteString(w, testEvent(n))
					_ = http.NewResponseController(w).Flush()
					<-end
				}
			}, countConn)
			q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+c.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			q.Host = "host"
			q.Header.Set("Id", "crossing")
			type result struct {
				status int
				body   string
				err    error
			}
			done := make(chan result, 1)
			go func() {
				resp, err := http.DefaultClient.Do(q)
				if err != nil {
					done <- result{err: err}
					return
				}
				defer resp.Body.Close()
				b, err := io.ReadAll(resp.Body)
				done <- result{resp.StatusCode, string(b), err}
			}()
			<-arrived
			if c.timeoutFirst {
				close(begin)
			} else {
				// The timeout looks for another endpoint, for which it waits for the balancer.
				i.balancer.mu.Lock()
				time.Sleep(testObjective + firstByteMargin)
				close(begin)
				time.Sleep(firstByteMargin) // the first bytes arrive
				i.balancer.mu.Unlock()
			}
			time.Sleep(testObjective + 2*firstByteMargin) // the timeout has been handled
			close(end)
			want := ""
			for n := 1; n <= lastTestEvent; n++ {
				want += testEvent(n)
			}
			if got := <-done; got.err != nil || got.status != http.StatusOK || got.body != want {
				t.Errorf("status %d, error %v, body %q, want %q", got.status, got.err, got.body, want)
			}
			// An attempt that was cancelled is no reason to connect to its endpoint again to see whether it lives.
			if n := conns.Load(); c.timeoutFirst && n != 2 {
				t.Errorf("%d connections to endpoints, want 2", n)
			}
		})
	}
}

// testEvent returns an event of a stream.
func testEvent(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) }
