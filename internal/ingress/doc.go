// Package ingress is a reverse proxy that receives requests of organisations, chooses an endpoint for each of them and
// returns the endpoint's response.
//
// A control goroutine follows the configuration and the registry and publishes immutable snapshots. The goroutines that
// serve requests read the latest snapshot and share the load table, which a mutex protects.
package ingress
