package admission

import "github.com/cespare/xxhash/v2"

// Usages holds the recent work of organisations at services, in milliseconds of endpoints' time a second, by UsageKey.
type Usages map[uint64]float64

// UsageKey returns the key of an organisation at a service in Usages.
func UsageKey(service, organisation string) uint64 {
	return xxhash.Sum64String(service + "\x00" + organisation)
}

// CoverageKey returns the key under which Usages holds the number of instances whose usages of a service it sums up.
func CoverageKey(service string) uint64 {
	return xxhash.Sum64String(service)
}

// Merge adds the usages of others.
func (u Usages) Merge(others Usages) {
	for k, w := range others {
		u[k] += w
	}
}
