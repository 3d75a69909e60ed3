package instance

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
)

// applyEvacuatedZones passes the evacuated availability zones to the endpoint table and waits until their endpoints are blocked, so that
// an instance is not ready before. Only the goroutine that follows the config stream calls it.
func (c *control) applyEvacuatedZones(zones []string) {
	if slices.Equal(zones, c.evacuatedZones) {
		return
	}
	c.evacuatedZones = zones
	applied := make(chan struct{})
	c.postEvent(endpoint.ZonesEvacuated{Zones: zones})
	c.postEvent(func(time.Time) { close(applied) })
	select {
	case <-applied:
	case <-c.ctx.Done():
	}
	c.scope.Gauge("evacuated-zones").Update(float64(len(zones)))
	c.logger.Info("evacuation: The evacuated availability zones changed.", zap.Strings("zones", zones))
}
