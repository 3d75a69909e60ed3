// Package roster tracks the endpoints that may get new requests. It keeps entries that expire during an outage of the
// registry's store for a grace period.
package roster
