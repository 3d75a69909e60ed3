package placement

import "time"

// SetEvacuatedZones replaces the availability zones whose endpoints get no requests. Requests under way there are not affected.
func (t *Table) SetEvacuatedZones(zones []string) {
	t.evacuatedZones = make(map[string]bool, len(zones))
	for _, z := range zones {
		t.evacuatedZones[z] = true
	}
	t.markEvacuated()
}

// markEvacuated marks the endpoints of evacuated zones, so that a choice looks up no zone. Prompts cached there are forgotten,
// because the endpoints may restart before their zone is restored.
func (t *Table) markEvacuated() {
	t.evacuatedCounts = map[string]int{}
	for s, l := range t.services {
		for _, e := range l {
			state := t.states[e.ID]
			evacuated := t.evacuatedZones[e.AvailabilityZone]
			if evacuated {
				t.evacuatedCounts[s]++
				if !state.evacuated {
					state.prefixes = map[uint64]time.Time{}
				}
			}
			state.evacuated = evacuated
		}
	}
}

// remainingEndpoints returns the number of endpoints of a service outside evacuated zones.
func (t *Table) remainingEndpoints(service string) int {
	return len(t.services[service]) - t.evacuatedCounts[service]
}

// EvacuatedCounts returns the number of endpoints in evacuated zones by service, and of the requests that this instance still
// has under way there.
func (t *Table) EvacuatedCounts() (endpoints map[string]int, requests int) {
	endpoints = make(map[string]int, len(t.services))
	for s, l := range t.services {
		endpoints[s] = t.evacuatedCounts[s]
		for _, e := range l {
			if state := t.states[e.ID]; state.evacuated {
				requests += state.localRequests
			}
		}
	}
	return endpoints, requests
}

// AllEvacuated reports whether there are endpoints and all of them are in evacuated zones.
func (a Availability) AllEvacuated() bool { return a.Endpoints > 0 && a.Evacuated == a.Endpoints }
