package platform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// Guards against a call that hangs because a platform service accepts the request and never replies. A read that asks
// the log to wait must time out only after its wait and the timeout.
func TestTimeout(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	const timeout, wait = 100 * time.Millisecond, 400 * time.Millisecond
	h := platform.NewClient(server.URL, server.Client(), timeout)
	for name, c := range map[string]struct {
		minimum time.Duration
		call    func(ctx context.Context) error
	}{
		"append": {timeout, func(ctx context.Context) error { _, err := h.Append(ctx, "s", nil); return err }},
		"read":   {timeout + wait, func(ctx context.Context) error { _, err := h.Read(ctx, "s", 0, 1, wait); return err }},
		"rate":   {timeout, func(ctx context.Context) error { _, err := h.Rate(ctx, platform.RatingRequest{}); return err }},
		"weight": {timeout, func(ctx context.Context) error { _, err := h.Reserve(ctx, "v"); return err }},
		"list":   {timeout, func(ctx context.Context) error { _, err := h.Instances(ctx); return err }},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			start := time.Now()
			err := c.call(ctx)
			var e *platform.Error
			if !errors.As(err, &e) || e.Kind != platform.ErrUnavailable || ctx.Err() != nil || time.Since(start) < c.minimum {
				t.Errorf("got %v after %v, want %s after %v", err, time.Since(start), platform.ErrUnavailable, c.minimum)
			}
		})
	}
}
