package command

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// TestSilentStoreConnections guards against an instance that reads the store late because it tries several silent connections
// one after the other.
func TestSilentStoreConnections(t *testing.T) {
	var mu sync.Mutex
	silent, silenced := map[net.Conn]bool{}, make(chan struct{})
	all := make(chan struct{}) // closed when all connections of the start are in use
	var started sync.WaitGroup
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		mute := silent[r.Context().Value(connKey{}).(net.Conn)]
		mu.Unlock()
		switch {
		case mute:
			select {
			case <-r.Context().Done():
			case <-silenced:
			}
		case r.URL.Path == "/start":
			started.Done()
			<-all
		}
	}))
	s.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.Config.ConnState = func(c net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		if state == http.StateNew {
			silent[c] = false
		}
	}
	s.Start()
	defer s.Close()
	defer close(silenced)
	const conns = 4
	client := &http.Client{Transport: freshConnTransport{&http.Transport{MaxIdleConnsPerHost: conns}}}
	call := func(path string, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+path, nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	started.Add(conns)
	var g sync.WaitGroup
	for range conns {
		g.Go(func() {
			if err := call("/start", testCallTimeout); err != nil {
				t.Error(err)
			}
		})
	}
	started.Wait()
	close(all)
	g.Wait()
	mu.Lock()
	for c := range silent {
		silent[c] = true
	}
	mu.Unlock()
	if err := call("/", 50*time.Millisecond); err == nil {
		t.Fatal("a silent connection responded")
	}
	if err := call("/", testCallTimeout/2); err != nil {
		t.Errorf("the second call: %v", err)
	}
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

const testCallTimeout = 10 * time.Second // long because the test host may be busy
