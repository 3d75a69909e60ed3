package ingress

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// claim is an endpoint chosen for the next attempt, with the record of the request as sent to it, before the present response is dropped.
// Without it, several responses could be dropped for an endpoint that then takes only one of the requests, for instance because of its limit.
type claim struct {
	choice        placement.Choice
	inFlight      *placement.InFlightRequest
	configuration *routing.Configuration // with which the endpoint was chosen
}

// claimEndpoint reports whether an endpoint takes the request, and claims it.
func (x *exchange) claimEndpoint(now time.Time, q placement.Request) bool {
	c, inFlight, ok := x.handler.balancer.chooseEndpoint(now, q)
	if ok {
		x.dropClaim()
		x.claimed = &claim{c, inFlight, x.snapshot.configuration}
	}
	return ok
}

// takeClaim returns the claimed endpoint, or false if there is none or the configuration has changed since.
func (x *exchange) takeClaim() (placement.Choice, *placement.InFlightRequest, bool) {
	c := x.claimed
	if c == nil {
		return placement.Choice{}, nil, false
	}
	if c.configuration != x.snapshot.configuration && !x.headSent {
		x.dropClaim()
		return placement.Choice{}, nil, false
	}
	x.claimed = nil
	return c.choice, c.inFlight, true
}

// dropClaim gives back an endpoint that was claimed and is not needed.
func (x *exchange) dropClaim() {
	if c := x.claimed; c != nil {
		x.claimed = nil
		x.handler.balancer.recordEnd(time.Now(), c.inFlight, false)
	}
}
