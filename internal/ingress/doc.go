// Package ingress takes requests of organisations, chooses an endpoint for each and returns the endpoint's own answer.
//
// One control goroutine follows the configuration and the registry and publishes immutable views; traffic goroutines
// read a view and share the load table behind a mutex.
package ingress
