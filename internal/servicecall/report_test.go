package servicecall_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/servicecall"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
)

// heads receives a value for each head of a reply that has arrived.
type heads chan struct{}

// InjectHeader does nothing.
func (heads) InjectHeader(http.Header) {}

// ExtractHeader notes the head of a reply.
func (h heads) ExtractHeader(http.Header) { h <- struct{}{} }

// TestLeavingDuringReply guards against new calls to an endpoint that has announced its stop, after the end of a reply that began before
// that, or if the reply with the announcement is an error.
func TestLeavingDuringReply(t *testing.T) {
	for name, status := range map[string]int{"with a reply": http.StatusOK, "with an error": http.StatusServiceUnavailable} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			goOn := make(chan struct{})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) > 1 {
					w.Header().Set(engine.HeaderLeaving, "true")
					w.WriteHeader(status)
					return
				}
				_ = http.NewResponseController(w).Flush()
				<-goOn
				_, _ = io.WriteString(w, "reply")
			}))
			t.Cleanup(s.Close)
			pool := &lockedTable{table: endpoint.NewTable(endpoint.DefaultSettings(1))}
			pool.Record(endpoint.InstancesListed{Instances: []platform.Instance{
				{ID: "a", Role: platform.RoleService, Service: "stock", AvailabilityZone: "z", Address: s.Listener.Addr().(*net.TCPAddr).AddrPort()},
			}})
			arrived := make(heads, 8)
			c := engine.NewClient(engine.Settings{DialTimeout: time.Second, MaxReplyBytes: 1 << 10, Propagator: arrived})
			t.Cleanup(c.Close)
			settings := servicecall.DefaultSettings("z")
			settings.LookupTimeout, settings.EndpointTimeout = time.Minute, 100*time.Millisecond
			var events *timeline.Writer
			d := servicecall.NewDispatcher(settings, func() error { return nil }, pool, nil, endpoint.NewRetryBudget(endpoint.DefaultRetrySettings(1)), c, events)
			lookup := func() error {
				_, err := d.Lookup(t.Context(), servicecall.Call{Service: "stock", Method: http.MethodGet, Path: "/", Deadline: time.Now().Add(time.Minute)})
				return err
			}
			first := make(chan error)
			go func() { first <- lookup() }()
			<-arrived
			if err := lookup(); err != nil && status == http.StatusOK {
				t.Error(err)
			}
			if n := pool.View().ServiceSize("stock"); n != 0 {
				t.Error("the endpoint accepts calls after its announcement")
			}
			close(goOn)
			if err := <-first; err != nil {
				t.Error(err)
			}
			if n := pool.View().ServiceSize("stock"); n != 0 {
				t.Error("the endpoint accepts calls after the end of the first reply")
			}
		})
	}
}
