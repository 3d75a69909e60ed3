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

// serviceSlots is the number of calls that a service says it runs at once.
const serviceSlots = 64

// maxOrder bounds the size of an order, in bytes.
const maxOrder = 1 << 20

// Service is a plain service: GET looks up, other methods place an order.
type Service struct {
	faulty
	name        string
	honoursKeys bool
	leaving     atomic.Bool
	server      *http.Server

	lock    sync.Mutex
	runs    map[string]int // orders run by idempotency key
	replies map[string]string
	orders  int
}

// NewService returns a service that is not started; honoursKeys makes it run each idempotency key once.
func NewService(name string, honoursKeys bool) *Service {
	s := &Service{name: name, honoursKeys: honoursKeys, runs: map[string]int{}, replies: map[string]string{}}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	return s
}

// Serve answers on the listener until the service is closed.
func (s *Service) Serve(l net.Listener) error {
	if err := s.server.Serve(l); err != nil && err != http.ErrServerClosed {
		return fmt.Errorf("serve service %s: %w", s.name, err)
	}
	return nil
}

// Close ends the service at once, as a crash does.
func (s *Service) Close() { _ = s.server.Close() }

// Leave makes the service announce that it takes no new work.
func (s *Service) Leave() { s.leaving.Store(true) }

// Runs returns how often the order of each idempotency key ran.
func (s *Service) Runs() map[string]int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return maps.Clone(s.runs)
}

// ServeHTTP looks up or places an order.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" {
		reply(w, engine.Load{ID: s.name, Slots: serviceSlots, Leaving: s.leaving.Load()}, nil)
		return
	}
	if s.leaving.Load() {
		w.Header().Set(engine.HeaderLeaving, "true")
	}
	if !s.before(r.Context()) {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrder))
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodGet {
		_, _ = fmt.Fprintf(w, `{"service":%q,"path":%q,"stock":7}`, s.name, r.URL.Path)
		return
	}
	text := s.run(r.Header.Get(engine.HeaderKey), len(b))
	if s.loses() {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, text)
}

func (s *Service) run(key string, size int) string {
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
