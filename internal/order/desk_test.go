package order_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/order"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// pool is an endpoint table behind a lock.
type pool struct {
	mu    sync.Mutex
	table *endpoint.Table
}

func (p *pool) View() *endpoint.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.View()
}

func (p *pool) Event(ev endpoint.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Step(time.Now(), ev)
}

// warmUp is the number of lookups that must be answered before one is copied.
const warmUp = 20

// newDesk returns a desk with two endpoints; after the warm-up the one that is asked next never answers.
func newDesk(t *testing.T, share float64) *order.Desk {
	t.Helper()
	p := &pool{table: endpoint.NewTable(endpoint.DefaultSettings(1))}
	var seen atomic.Int64
	end := make(chan struct{})
	var l []platform.Instance
	for _, id := range []string{"a", "b"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if seen.Add(1) == warmUp+1 {
				select {
				case <-r.Context().Done():
				case <-end:
				}
				return
			}
			w.WriteHeader(http.StatusOK)
		}))
		t.Cleanup(s.Close)
		a := s.Listener.Addr().(*net.TCPAddr).AddrPort()
		l = append(l, platform.Instance{ID: id, Role: platform.RoleService, Service: "stock", Zone: "z", Address: a})
	}
	t.Cleanup(func() { close(end) })
	p.Event(endpoint.Listed{Instances: l})
	s := order.DefaultSettings("z")
	s.Lookup = time.Minute
	s.Hedge.Samples, s.Hedge.Ratio = warmUp/2, share
	c := engine.NewClient(engine.Settings{Dial: time.Second, MaxBody: 1 << 10})
	t.Cleanup(c.Close)
	var events *timeline.Writer
	return order.NewDesk(s, func() error { return nil }, p, nil, endpoint.NewRetries(endpoint.DefaultRetries(1)), c, events)
}

// Guards against a setting without effect and against a lookup that waits for a silent endpoint: with a hedge share,
// another endpoint answers; without one, the lookup ends at its deadline.
func TestLookupCopies(t *testing.T) {
	for name, c := range map[string]struct {
		share    float64
		deadline time.Duration
		kind     order.ErrorKind
	}{
		"copied":    {0.2, 30 * time.Second, ""},
		"no copies": {0, 300 * time.Millisecond, order.ErrDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t, c.share)
			look := func(limit time.Duration) error {
				q := order.Call{ID: "r", Service: "stock", Method: http.MethodGet, Path: "/", Deadline: time.Now().Add(limit)}
				_, err := d.Lookup(context.Background(), q)
				return err
			}
			for range warmUp {
				if err := look(30 * time.Second); err != nil {
					t.Fatal(err)
				}
			}
			err := look(c.deadline)
			var e *order.Error
			if errors.As(err, &e) != (c.kind != "") || (e != nil && e.Kind != c.kind) {
				t.Errorf("got %v, want kind %q", err, c.kind)
			}
		})
	}
}
