package measure

import "testing"

// TestRoutingPatterns guards against a load or a failure at which callers get less than a naive version would give them.
func TestRoutingPatterns(t *testing.T) {
	const noise = 0.015 // of worth between two orders of the same requests
	for _, p := range routingPatterns {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			for _, rate := range routingRates {
				own := playRouting(routingPolicies[0], p, rate, 1)
				for _, q := range routingPolicies[1:] {
					if o := playRouting(q, p, rate, 1); o.worth() > own.worth()+noise {
						t.Errorf("%.0f/s: worth %.3f, %s has %.3f", rate, own.worth(), q.name, o.worth())
					}
				}
				if own.worstKind < 0.5*own.credit/own.owed || own.worstOrganisation < 0.5*own.credit/own.owed {
					t.Errorf("%.0f/s: a kind earns %.2f and an organisation %.2f of its credit, all %.2f", rate, own.worstKind, own.worstOrganisation, own.credit/own.owed)
				}
			}
		})
	}
}

// TestRoutingRepeats guards against tables that can't be compared because equal seeds give other histories.
func TestRoutingRepeats(t *testing.T) {
	a := playRouting(routingPolicies[0], routingPatterns[1], routingRates[0], 3)
	if b := playRouting(routingPolicies[0], routingPatterns[1], routingRates[0], 3); a != b {
		t.Errorf("%+v, then %+v", a, b)
	}
}
