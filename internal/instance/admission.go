package instance

import (
	"fmt"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/gateway"
)

// newRetries returns the retry budget with its burst saved up, so that the death of an endpoint in the first seconds
// of an instance does not fail the requests that it was running.
func newRetries(s endpoint.RetrySettings) *endpoint.Retries {
	r := endpoint.NewRetries(s)
	for range int(float64(s.Burst)/s.Ratio) + 1 {
		r.First()
	}
	return r
}

// measure gives admission the capacity of each pool.
func (c *control) measure(now time.Time) {
	v := c.endpoints.Load()
	c.admitting.Lock()
	defer c.admitting.Unlock()
	for n := range c.catalog.Load().Versions {
		c.measurePool(v, now, n, "")
	}
	for _, n := range c.services {
		c.measurePool(v, now, "", n)
	}
}

func (c *control) measurePool(v *endpoint.View, now time.Time, version, service string) {
	name := version + service // one of them is empty
	if w, ok := v.Wait(version, service, now); ok {
		c.admission.Reported(now, name, w)
	}
	slots, load := v.Capacity(version, service, now)
	c.admission.Update(now, name, slots, load)
}

// Admit decides about a request before any work is sent.
func (c *control) Admit(a gateway.Arrival) (func(), error) {
	start, o := time.Now(), a.Organisation
	c.admitting.Lock()
	defer c.admitting.Unlock()
	r := c.admission.Admit(start, endpoint.Arrival{
		Pool: a.Pool, Organisation: o.Name, Share: o.Share, Priority: a.Priority, Deadline: a.Deadline,
	})
	if r != endpoint.Admitted {
		c.scope.Tagged(map[string]string{"reason": string(r)}).Counter("shed").Inc(1)
		return nil, fmt.Errorf("pool %s sheds work by %s", a.Pool, r)
	}
	return func() {
		c.admitting.Lock()
		defer c.admitting.Unlock()
		c.admission.Done(a.Pool, o.Name, time.Since(start))
	}, nil
}
