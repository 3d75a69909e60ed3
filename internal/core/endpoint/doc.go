// Package endpoint keeps the table of engines and services and decides where a request runs, when it is shed,
// retried or copied. It holds no clock, socket or goroutine.
package endpoint
