package engine_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/engine"
)

// TestRedirect guards against a prompt, a probe or a command that reaches an address which is no endpoint, because an engine redirects to it.
func TestRedirect(t *testing.T) {
	var redirected atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { redirected.Add(1) }))
	defer other.Close()
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, other.URL+r.URL.Path, http.StatusTemporaryRedirect)
	}))
	defer e.Close()
	a := netip.MustParseAddrPort(e.Listener.Addr().String())
	c := engine.NewClient(engine.Settings{DialTimeout: time.Second, FirstTokenTimeout: time.Second, ProgressTimeout: time.Second, MaxReplyBytes: 1 << 20})
	defer c.Close()
	for name, call := range map[string]func() error{
		"stream": func() error {
			_, err := c.Stream(t.Context(), a, "id", engine.ChatRequest{}, func(string) error { return nil })
			return err
		},
		"probe":   func() error { _, err := c.Probe(t.Context(), a); return err },
		"command": func() error { return c.SendCommand(t.Context(), a, engine.Command{}) },
	} {
		t.Run(name, func(t *testing.T) {
			redirected.Store(0)
			var err *engine.Error
			if !errors.As(call(), &err) || err.Status != http.StatusTemporaryRedirect {
				t.Errorf("error %v, want status %d", err, http.StatusTemporaryRedirect)
			}
			if n := redirected.Load(); n > 0 {
				t.Errorf("%d requests were sent on", n)
			}
		})
	}
}
