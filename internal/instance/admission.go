package instance

import (
	"fmt"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/gateway"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// newRetryBudget returns a retry budget that already contains its full burst. Otherwise the loss of an endpoint in the
// first seconds of an instance would fail the requests that were running on it.
func newRetryBudget(s endpoint.RetrySettings) *endpoint.RetryBudget {
	r := endpoint.NewRetryBudget(s)
	for range int(float64(s.MaxSavedRetries)/s.RetryRatio) + 1 {
		r.RecordFirstAttempt()
	}
	return r
}

// updateCapacities passes the current capacity of each pool to admission control.
func (c *control) updateCapacities(now time.Time) {
	v := c.endpoints.Load()
	c.admissionMu.Lock()
	defer c.admissionMu.Unlock()
	for version := range c.catalog.Load().Versions {
		c.updatePoolCapacity(v, now, version, "")
	}
	for _, service := range c.services {
		c.updatePoolCapacity(v, now, "", service)
	}
}

// updatePoolCapacity updates the pool of a version or of a service; the other name is empty.
func (c *control) updatePoolCapacity(v *endpoint.View, now time.Time, version, service string) {
	pool := version + service
	if wait, ok := v.MeanFirstTokenWait(version, service, now); ok {
		c.admission.RecordReportedWait(now, pool, wait)
	}
	slots, load := v.Capacity(version, service, now)
	c.admission.UpdateLoad(now, pool, slots, load)
}

// Admit admits or sheds a request before any work is sent. The caller calls the returned function when the request ends.
func (c *control) Admit(a gateway.AdmissionRequest) (func(), error) {
	start, o := time.Now(), a.Organisation
	c.admissionMu.Lock()
	defer c.admissionMu.Unlock()
	reason := c.admission.Admit(start, endpoint.AdmissionRequest{
		Pool: a.Pool, Organisation: o.Name, Weight: o.Share, Priority: a.Priority, Deadline: a.Deadline,
	})
	if reason != endpoint.Admitted {
		c.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("shed").Inc(1)
		if v := c.endpoints.Load(); reason == endpoint.ShedCapacity && (v.AllEvacuated(a.Pool, "") || v.AllEvacuated("", a.Pool)) {
			return nil, &gateway.Error{Op: "admit", Kind: client.CodeEvacuated, NotRun: true, Err: fmt.Errorf("all endpoints of %s are in evacuated availability zones", a.Pool)}
		}
		return nil, fmt.Errorf("pool %s sheds work by %s", a.Pool, reason)
	}
	return func() {
		c.admissionMu.Lock()
		defer c.admissionMu.Unlock()
		c.admission.RecordCompletion(a.Pool, o.Name, time.Since(start))
	}, nil
}
