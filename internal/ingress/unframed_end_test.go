package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
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

// timedProtocol has a time for requests, which it also tells endpoints, and parts of prompts.
type timedProtocol struct {
	headerProtocol
	timeout time.Duration
}

func (p timedProtocol) DecodeRequest(h http.Header) (attributes.ClientRequest, error) {
	q := attributes.ClientRequest{ID: h.Get("Id"), Timeout: p.timeout, LastEventID: h.Get("Last-Event-Id")}
	if v := h.Get("Part"); v != "" {
		q.PromptParts = []attributes.PromptPart{{ID: v, Tokens: 10}, {ID: "own-" + q.ID, Tokens: 10}}
	}
	return q, nil
}

func (p timedProtocol) EndpointRequestHeader(h http.Header, s attributes.EndpointRequest) http.Header {
	out := p.headerProtocol.EndpointRequestHeader(h, s)
	out.Set("Deadline-Ms", strconv.FormatInt(s.Timeout.Milliseconds(), 10))
	return out
}

// rawEndpoint serves each request on a connection of its own over a real listener.
type rawEndpoint struct {
	l       net.Listener
	limited atomic.Bool // connections that are accepted are reset, as beyond the limit on connections
	runs    atomic.Int32
}

func startRawEndpoint(t *testing.T, serve func(e *rawEndpoint, c *net.TCPConn, q *http.Request)) *rawEndpoint {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &rawEndpoint{l: l}
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			c := n.(*net.TCPConn)
			if e.limited.Load() {
				_ = c.SetLinger(0)
				_ = c.Close()
				continue
			}
			go func() {
				defer c.Close()
				if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					e.runs.Add(1)
					_, _ = io.Copy(io.Discard, q.Body)
					serve(e, c, q)
				}
			}()
		}
	}()
	return e
}

// newRawIngress returns an instance with the endpoints. It serves a call that may run once below /once/, a repeatable one below /call/, a
// stream that may run once below /single/ and a resumable one below /stream/.
func newRawIngress(t *testing.T, p Protocol, list ...*rawEndpoint) (*Ingress, string) {
	t.Helper()
	budget := func() *memory.Budget { return memory.NewBudget(1 << 20) }
	i := New(Options{
		Protocol: p, Logger: zap.NewNop(), MetricsScope: tally.NoopScope, DroppedLogLines: func() int64 { return 0 },
		Dialer: forward.Dialer{Timeout: time.Second}, MaxIdleConnsPerEndpoint: 2, MaxRequestBytes: 1 << 10, MaxResponseBytes: 1 << 10,
		RequestMemory: budget(), ResponseMemory: budget(), Placement: placement.DefaultSettings("zone"), Escalation: escalation.DefaultSettings(),
		Admission: admission.DefaultSettings(), Stall: stall.DefaultSettings(), Retries: retry.Settings{Window: time.Minute, MinRetries: 100},
	})
	t.Cleanup(i.pool.Close)
	var endpoints []routing.Endpoint
	for n, e := range list {
		endpoints = append(endpoints, routing.Endpoint{
			ID: fmt.Sprint("engine-", n), Service: testService, Address: netip.MustParseAddrPort(e.l.Addr().String()), AvailabilityZone: "zone", Slots: 4, Sequence: 1,
		})
	}
	services := map[string]routing.Service{testService: {}}
	i.balancer.setServices(services)
	i.balancer.setEndpoints(map[string][]routing.Endpoint{testService: endpoints})
	c := &routing.Configuration{Services: services}
	for prefix, kind := range map[string]routing.RouteKind{"/once/": routing.AtMostOnce, "/call/": routing.Idempotent, "/single/": routing.Stream, "/stream/": routing.Stream} {
		c.Routes = append(c.Routes, routing.Route{
			Host: "host", Prefix: prefix, Kind: kind, Resumable: prefix == "/stream/", LatencyObjective: testObjective, GapObjective: testObjective,
			Shares: []routing.ServiceShare{{Service: testService, Weight: 1}}, MaxAttempts: 3, Public: true,
		})
	}
	c.BuildIndex()
	i.snapshot.Store(&snapshot{configuration: c, registryRead: true})
	s := httptest.NewServer(i.handler)
	t.Cleanup(s.Close)
	return i, s.URL
}

// getRaw sends a request and returns the status, the body and the error of reading it.
func getRaw(t *testing.T, url, id, part string) (int, string, error) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "host"
	q.Header.Set("Id", id)
	if part != "" {
		q.Header.Set("Part", part)
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// TestStreamEndsAtDeadline guards against a stream without a length that an endpoint ends at its deadline and that counts as complete.
func TestStreamEndsAtDeadline(t *testing.T) {
	for _, path := range []string{"/single/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			e := startRawEndpoint(t, func(_ *rawEndpoint, c *net.TCPConn, q *http.Request) {
				ms, _ := strconv.Atoi(q.Header.Get("Deadline-Ms"))
				deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n", q.Header.Get("Id"))
				for n := 1; n <= lastTestEvent; n++ {
					if time.Until(deadline) < 200*time.Millisecond {
						time.Sleep(time.Until(deadline))
						return // three events are missing
					}
					_, _ = io.WriteString(c, testEvent(n))
					time.Sleep(200 * time.Millisecond)
				}
			})
			_, url := newRawIngress(t, timedProtocol{headerProtocol{func() {}}, 700 * time.Millisecond}, e)
			status, body, err := getRaw(t, url+path, "deadline", "")
			if err == nil && status == http.StatusOK && strings.Count(body, "id:") < lastTestEvent {
				t.Errorf("%d of %d events look complete", strings.Count(body, "id:"), lastTestEvent)
			}
		})
	}
}

// TestBodyEndsAtDeadline guards against a body without a length that an endpoint ends at its deadline and that counts as complete.
func TestBodyEndsAtDeadline(t *testing.T) {
	e := startRawEndpoint(t, func(_ *rawEndpoint, c *net.TCPConn, q *http.Request) {
		ms, _ := strconv.Atoi(q.Header.Get("Deadline-Ms"))
		deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\na part", q.Header.Get("Id"))
		time.Sleep(time.Until(deadline))
	})
	_, url := newRawIngress(t, timedProtocol{headerProtocol{func() {}}, 700 * time.Millisecond}, e)
	if status, body, err := getRaw(t, url+"/once/x", "deadline", ""); err == nil && status == http.StatusOK {
		t.Errorf("a part looks complete: %q", body)
	}
}

// TestEndAtConnectionLimit guards against losing a whole response without a length of an endpoint that resets further connections, but keeps
// those that the instance has.
func TestEndAtConnectionLimit(t *testing.T) {
	serve := func(e *rawEndpoint, c *net.TCPConn, q *http.Request) {
		e.limited.Store(true) // other callers take the remaining places
		time.AfterFunc(300*time.Millisecond, func() { e.limited.Store(false) })
		if strings.HasPrefix(q.URL.Path, "/single/") {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n%s", q.Header.Get("Id"), testEvent(1))
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nwhole", q.Header.Get("Id"))
	}
	for _, path := range []string{"/once/x", "/call/x", "/single/x"} {
		t.Run(path, func(t *testing.T) {
			a, b := startRawEndpoint(t, serve), startRawEndpoint(t, serve)
			i, url := newRawIngress(t, timedProtocol{headerProtocol{func() {}}, 10 * time.Second}, a, b)
			for _, e := range []*rawEndpoint{a, a, b, b} { // the request may take one
				i.pool.Probe(t.Context(), netip.MustParseAddrPort(e.l.Addr().String()))
			}
			status, body, err := getRaw(t, url+path, "limit", "")
			if status != http.StatusOK || err != nil {
				t.Errorf("status %d, body %q, error %v after %d runs, all of which sent a whole answer", status, body, err, a.runs.Load()+b.runs.Load())
			}
		})
	}
}

// TestOldClientAtClose guards against a stream that looks complete to an HTTP/1.0 client when the instance closes all connections at its end.
func TestOldClientAtClose(t *testing.T) {
	e := startRawEndpoint(t, func(_ *rawEndpoint, c *net.TCPConn, q *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"))
		for n := 1; ; n++ {
			s := testEvent(n)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	i, _ := newRawIngress(t, timedProtocol{headerProtocol{func() {}}, 10 * time.Second}, e)
	l, s, a := newTestServer(t, i.handler)
	go func() { _ = s.Serve(l) }()
	conn, r := dialServer(t, a)
	if _, err := io.WriteString(conn, "GET /stream/x HTTP/1.0\r\nHost: host\r\nId: old\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, make([]byte, len(testEvent(1)))); err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	if b, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("a stream without an end looks complete after %d bytes", len(b))
	}
}

// TestNothingToResume guards against cutting a stream without a length whose endpoint has ended after the last event: the other endpoints,
// which end streams in the same way, have nothing to add.
func TestNothingToResume(t *testing.T) {
	var first atomic.Bool
	serve := func(e *rawEndpoint, c *net.TCPConn, q *http.Request) {
		if first.CompareAndSwap(false, true) {
			_ = e.l.Close()
		}
		after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n", q.Header.Get("Id"))
		for n := after + 1; n <= lastTestEvent; n++ {
			_, _ = io.WriteString(c, testEvent(n))
		}
	}
	a, b, d := startRawEndpoint(t, serve), startRawEndpoint(t, serve), startRawEndpoint(t, serve)
	_, url := newRawIngress(t, timedProtocol{headerProtocol{func() {}}, 10 * time.Second}, a, b, d)
	status, body, err := getRaw(t, url+"/stream/x", "stop", "")
	if status != http.StatusOK || err != nil || strings.Count(body, "id:") != lastTestEvent {
		t.Errorf("status %d, %d of %d events, error %v after %d runs", status, strings.Count(body, "id:"), lastTestEvent, err, a.runs.Load()+b.runs.Load()+d.runs.Load())
	}
}

// TestLastResponseOfLeavingEndpoint guards against losing the last response of an endpoint that stops, and against taking stops for
// crashes, so that sound requests are refused.
func TestLastResponseOfLeavingEndpoint(t *testing.T) {
	const stops = 6
	for name, announced := range map[string]bool{"announced": true, "without notice": false} {
		t.Run(name, func(t *testing.T) {
			var list []*rawEndpoint
			var instance atomic.Pointer[Ingress]
			for n := range stops + 2 {
				list = append(list, startRawEndpoint(t, func(e *rawEndpoint, c *net.TCPConn, q *http.Request) {
					if announced {
						instance.Load().balancer.markLeaving(time.Now(), fmt.Sprint("engine-", n))
					}
					_ = e.l.Close()
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\nwhole", q.Header.Get("Id"))
				}))
			}
			i, url := newRawIngress(t, timedProtocol{headerProtocol{func() {}}, 10 * time.Second}, list...)
			instance.Store(i)
			for n := range stops {
				status, _, err := getRaw(t, url+"/once/x"+strconv.Itoa(n), fmt.Sprint("stop-", n), "shared")
				if ok := status == http.StatusOK && err == nil; ok != announced {
					t.Errorf("response %d: status %d, error %v", n, status, err)
				}
			}
			i.coordinator.prompts.evaluate(time.Now())
			if n := i.coordinator.prompts.refusedCount(); n > 0 {
				t.Errorf("%d contents or parts are refused though no endpoint crashed", n)
			}
		})
	}
}
