package command

import (
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/instance"
	"github.com/cassiaspoke/cassiaspoke/internal/settings"
)

// TestInstanceOptions guards against a setting that is read but not copied into the options.
func TestInstanceOptions(t *testing.T) {
	for name, c := range map[string]struct {
		set     func(s *settings.Settings)
		applied func(o instance.Options) bool
	}{
		"endpoints.hedge-share": {
			func(s *settings.Settings) { s.Endpoints.HedgeShare = 0.07 },
			func(o instance.Options) bool { return o.Order.Hedge.CopyRatio == 0.07 },
		},
		"endpoints.retry-share": {
			func(s *settings.Settings) { s.Endpoints.RetryShare = 0.03 },
			func(o instance.Options) bool { return o.Retries.RetryRatio == 0.03 },
		},
		"endpoints.list-interval": {
			func(s *settings.Settings) { s.Endpoints.ListInterval = 123 * time.Millisecond },
			func(o instance.Options) bool { return o.ListInterval == 123*time.Millisecond },
		},
		"freshness.bound": {
			func(s *settings.Settings) { s.Freshness.MaxAge = 7 * time.Second },
			func(o instance.Options) bool { return o.FreshnessBound == 7*time.Second },
		},
		"claims.wait": {
			func(s *settings.Settings) { s.Claims.LogTimeout = time.Second },
			func(o instance.Options) bool { return o.Ledger.Claims.ClaimTimeout == time.Second },
		},
		"claims.flush": {
			func(s *settings.Settings) { s.Claims.FlushInterval = 20 * time.Millisecond },
			func(o instance.Options) bool { return o.Ledger.Claims.BusyFlushDelay == 20*time.Millisecond },
		},
		"services[].honours-keys": {
			func(s *settings.Settings) { s.Services = []settings.Service{{Name: "print", HonoursKeys: true}} },
			func(o instance.Options) bool { return o.Gateway.Services["print"].HonoursIdempotencyKeys },
		},
		"stop.drain-timeout": {
			func(s *settings.Settings) { s.Stop.DrainTimeout = time.Hour },
			func(o instance.Options) bool { return o.DrainTimeout == time.Hour },
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings.Default()
			c.set(&s)
			if c.applied(instanceOptions(settings.Default())) || !c.applied(instanceOptions(s)) {
				t.Error("the setting has no effect, or its default has the tested value")
			}
		})
	}
}
