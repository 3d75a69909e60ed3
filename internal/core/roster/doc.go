// Package roster tracks the endpoints that may get new requests. It keeps entries that expire during an outage of the
// registry's store, or that are lost when the store comes back from an older copy, for a grace period.
package roster
