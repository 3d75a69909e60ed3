package canary

import (
	"maps"
	"slices"
)

// total returns the number of registered endpoints, evacuated ones included.
func (v VersionEndpoints) total() int { return v.Count + v.Evacuated }

// allEvacuated reports whether the version has endpoints and all of them are in evacuated availability zones.
func (v VersionEndpoints) allEvacuated() bool { return v.Count == 0 && v.Evacuated > 0 }

// updateSubstitute chooses the version that gets requests in place of the one in use, if all endpoints of the latter are
// evacuated: of those with endpoints left the one that was in use first. The excluded version is never chosen. It is the
// target of an order, and all requests at once would exceed the limit on the exposure to a bad version.
func (r *Rollout) updateSubstitute(excluded string) {
	r.substitute = ""
	if !r.endpoints[r.currentVersion].allEvacuated() {
		return
	}
	for _, v := range slices.Sorted(maps.Keys(r.endpoints)) {
		e := r.endpoints[v]
		if v != excluded && e.Count > 0 && (r.substitute == "" || e.precedes(r.endpoints[r.substitute])) {
			r.substitute = v
		}
	}
}
