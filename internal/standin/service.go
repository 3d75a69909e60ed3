package standin

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/engine"
)

// serviceSlots is the number of concurrent calls that a service reports in its load.
const serviceSlots = 64

// maxOrderBytes is the maximum size of an order.
const maxOrderBytes = 1 << 20

// Service is a plain service. GET is a lookup; any other method places an order.
type Service struct {
	faultInjector
	name        string
	honoursKeys bool
	leaving     atomic.Bool
	server      *http.Server

	lock    sync.Mutex
	runs    map[string]int    // orders run by idempotency key
	replies map[string]string // latest reply by idempotency key
	orders  int               // orders run in total
}

// NewService returns a service that is not started. With honoursKeys, it runs an order with a repeated idempotency key
// only once.
func NewService(name string, honoursKeys bool) *Service {
	s := &Service{name: name, honoursKeys: honoursKeys, runs: map[string]int{}, replies: map[string]string{}}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	return s
}

// Serve accepts connections on the listener until the service is closed.
func (s *Service) Serve(l net.Listener) error {
	if err := s.server.Serve(l); err != nil && err != http.ErrServerClosed {
		return fmt.Errorf("serve service %s: %w", s.name, err)
	}
	return nil
}

// Close stops the service immediately, like a crash.
func (s *Service) Close() { _ = s.server.Close() }

// AnnounceLeaving makes the service announce that it accepts no new requests.
func (s *Service) AnnounceLeaving() { s.leaving.Store(true) }

// RunCounts returns the number of orders run with each idempotency key.
func (s *Service) RunCounts() map[string]int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return maps.Clone(s.runs)
}

// ServeHTTP serves the load report, lookups and orders.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" {
		writeReply(w, engine.ProbeReply{ID: s.name, Slots: serviceSlots, Leaving: s.leaving.Load()}, nil)
		return
	}
	w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	if s.leaving.Load() {
		w.Header().Set(engine.HeaderLeaving, "true")
	}
	if !s.acceptCall(r.Context()) {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodGet {
		_, _ = fmt.Fprintf(w, `{"service":%q,"path":%q,"stock":7}`, s.name, r.URL.Path)
		return
	}
	body := s.placeOrder(r.Header.Get(engine.HeaderIdempotencyKey), len(b))
	if s.dropReply() {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, body)
}

// placeOrder runs an order and returns the reply's body. If the service honours keys, it returns the earlier body for a
// repeated key.
func (s *Service) placeOrder(key string, size int) string {
	s.lock.Lock()
	defer s.lock.Unlock()
	if t, ok := s.replies[key]; ok && s.honoursKeys {
		return t
	}
	s.orders++
	s.runs[key]++
	t := fmt.Sprintf(`{"service":%q,"order":%d,"bytes":%d}`, s.name, s.orders, size)
	s.replies[key] = t
	return t
}
