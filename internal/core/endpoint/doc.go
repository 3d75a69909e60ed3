// Package endpoint keeps the table of engines and services. It chooses the endpoint of a request and decides when a
// request is shed, retried or hedged. It uses no clock, sockets or goroutines; callers pass in the time.
package endpoint
