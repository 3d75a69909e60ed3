package measure

import "testing"

// TestRoutingPatterns guards against loads and faults under which a simple policy earns more worth than the proxy, or one
// kind of request or organisation gets far less than the rest.
func TestRoutingPatterns(t *testing.T) {
	const noise = 0.015 // variation of worth between two orders of the same requests
	for _, p := range routingPatterns {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			for _, rate := range routingRates {
				own := simulateRouting(routingPolicies[0], p, rate, 1)
				for _, q := range routingPolicies[1:] {
					if o := simulateRouting(q, p, rate, 1); o.worth() > own.worth()+noise {
						t.Errorf("%.0f/s: worth %.3f, %s has %.3f", rate, own.worth(), q.name, o.worth())
					}
				}
				if own.worstKind < 0.5*own.credit/own.possibleCredit || own.worstOrganisation < 0.5*own.credit/own.possibleCredit {
					t.Errorf("%.0f/s: a kind earns %.2f and an organisation %.2f of its credit, all %.2f", rate, own.worstKind, own.worstOrganisation, own.credit/own.possibleCredit)
				}
			}
		})
	}
}

// TestRoutingIsDeterministic guards against results that differ between two runs with one seed.
func TestRoutingIsDeterministic(t *testing.T) {
	a := simulateRouting(routingPolicies[0], routingPatterns[1], routingRates[0], 3)
	if b := simulateRouting(routingPolicies[0], routingPatterns[1], routingRates[0], 3); a != b {
		t.Errorf("%+v, then %+v", a, b)
	}
}
